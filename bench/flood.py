"""Floods one backend server with work of each rank; compares admission policies.

``python -m bench.flood --seed 1`` starts one ``standins.database`` process for each run
and drives it from this process. The load is open: it does not slow down when answers
are late. Ranked admission runs at one owner; the baseline is eight proxies, each with a
first-in, first-out queue and an equal share of the connections.
"""

import argparse
import contextlib
import random
import subprocess
import sys
import time

import attrs
import hdrh.histogram

from cassiahill import (
    backend,
    backend_http,
    clock,
    errors,
    loop,
    owned_servers,
    settings,
)
from cassiahill.admission import AdmissionSettings, FifoAdmission, RankedAdmission
from cassiahill.messages import Rank

NAIVE_PROXIES = 8
CALLERS = 20
WARM_UP = 1.5  # seconds before the counting starts, more than the floors' window
DEADLINES = {Rank.URGENT: 1.0, Rank.LOOKUP: 1.0, Rank.ROUTINE: 2.0}
STATEMENTS = ({"sql": "SELECT 1", "params": ()},)


@attrs.frozen
class Deployment:
    """Sizes of a backend server."""

    name: str
    slots: int
    open_ms: float
    connections: int
    service_ms: float = 5.0


DEPLOYMENTS = (
    Deployment("safeplate", 3, 10.0, 25),
    Deployment("entulho", 2, 30.0, 30),
)
# Offered load of each rank, in multiples of the capacity.
SCENARIOS = {
    "a: routine flood": {Rank.URGENT: 0.2, Rank.LOOKUP: 0.2, Rank.ROUTINE: 4.0},
    "b: urgent flood": {Rank.URGENT: 4.0, Rank.LOOKUP: 0.4, Rank.ROUTINE: 0.4},
    "c: both floods": {Rank.URGENT: 4.0, Rank.LOOKUP: 0.4, Rank.ROUTINE: 4.0},
}


@attrs.frozen
class Offer:
    """What a caller asks for."""

    rank: Rank
    caller: str
    deadline: float


@attrs.define
class Tally:
    """Counts of one rank."""

    offered: int = 0
    in_time: int = 0
    refused: int = 0
    unknown: int = 0
    histogram: hdrh.histogram.HdrHistogram = attrs.field(
        factory=lambda: hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
    )


@contextlib.contextmanager
def database(deployment):
    """Run a database stand-in; yield its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.database", "--name", "s1", "--group", "g"]
        + ["--port", "0", "--role", "primary", "--bootstrap"]
        + ["--slots", str(deployment.slots)]
        + ["--connections", str(deployment.connections)]
        + ["--open-ms", str(deployment.open_ms)]
        + ["--service-ms", str(deployment.service_ms)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield ("127.0.0.1", int(process.stdout.readline().split()[1]))
    finally:
        # A signal that arrives just before the loop waits is only seen at its next
        # event, so one SIGTERM is not always enough.
        while process.poll() is None:
            process.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(timeout=1.0)


class Run:
    """One run against a fresh database; ``servers`` share the load."""

    def __init__(self, deployment, address, seed, ranked):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.address = address
        self.domain = "d"
        self.tallies = {rank: Tally() for rank in Rank}
        self._rng = random.Random(seed)
        self._started_at = self._ends_at = 0.0
        self._seconds = 0.0
        count = 1 if ranked else NAIVE_PROXIES
        share = deployment.connections // count
        # A proxy with its own queue runs as many statements as it has connections.
        slots = deployment.slots if ranked else share
        server = settings.ServerSettings("s1", "g", address, "d", slots, share)
        policy = RankedAdmission if ranked else FifoAdmission
        self.servers = [
            owned_servers.OwnedServer(
                self.loop,
                backend_http.HttpBackend(self.loop, "s1", "g", address, "d"),
                # The pool keeps two connections of the limit free for a takeover.
                server if ranked else attrs.evolve(server, connections=share + 2),
                "p",
                policy(AdmissionSettings(slots)),
                self._rng,
            )
            for _ in range(count)
        ]

    def run(self, task):
        """Claim the server, run a task and close."""
        result = self.loop.spawn(self._main(task))
        self.loop.run()
        for server in self.servers:
            server.close()
        self.loop.close()
        return result.result()

    def _main(self, task):
        try:
            for server in self.servers:
                yield server.claim(0)
            return (yield from task)
        finally:
            self.loop.stop()

    def capacity(self, workers, seconds):
        """Return the reads per second of closed loops on connections of their own."""
        ends_at = self.loop.clock.now() + seconds
        futures = [self.loop.spawn(self._work(ends_at)) for _ in range(workers)]
        done = 0
        for future in futures:
            done += yield future
        return done / seconds

    def _work(self, ends_at):
        adapter = backend_http.HttpBackend(
            self.loop, "s1", "g", self.address, self.domain
        )
        connection = yield adapter.connect(1, "p", self.loop.clock.now() + 5.0)
        done = 0
        while (now := self.loop.clock.now()) < ends_at:
            yield connection.execute(_batch(5.0), now + 5.0)
            done += 1
        return done

    def cpu_per_read(self, count):
        """Return the CPU seconds per read of the adapter alone and of all modules."""
        adapter = backend_http.HttpBackend(
            self.loop, "s1", "g", self.address, self.domain
        )
        connection = yield adapter.connect(1, "p", self.loop.clock.now() + 5.0)
        costs = []
        for through_server in (False, True):
            started = time.thread_time()
            for _ in range(count):
                deadline = self.loop.clock.now() + 5.0
                if through_server:
                    offer = Offer(Rank.LOOKUP, "c", deadline)
                    yield self.servers[0].submit(offer, _batch(5.0))
                else:
                    yield connection.execute(_batch(5.0), deadline)
            costs.append((time.thread_time() - started) / count)
        return costs

    def flood(self, rates, seconds):
        """Offer each rank at its rate, with exponential gaps between arrivals."""
        self._started_at = self.loop.clock.now() + WARM_UP
        self._ends_at = self._started_at + seconds
        for rank, rate in rates.items():
            self._arrive(rank, rate, self.loop.clock.now())
        yield self.loop.sleep_until(self._started_at)
        before = self._handed_over()
        yield self.loop.sleep_until(self._ends_at)
        after = self._handed_over()
        yield self.loop.sleep_until(self._ends_at + max(DEADLINES.values()) + 0.2)
        return {rank: after[rank] - before[rank] for rank in Rank}

    def _handed_over(self):
        return {
            rank: sum(
                server.dump()["counts"].get("handed_over_" + rank.name.lower(), 0)
                for server in self.servers
            )
            for rank in Rank
        }

    def _arrive(self, rank, rate, at):
        # Arrivals that are due are all offered, so a late loop does not lower the load.
        now = self.loop.clock.now()
        while at <= now:
            self._offer(rank, at)
            at += self._rng.expovariate(rate)
        if at < self._ends_at:
            self.loop.call_at(at, lambda: self._arrive(rank, rate, at))

    def _offer(self, rank, at):
        caller = f"{rank.name}-{self._rng.randrange(CALLERS)}"
        offer = Offer(rank, caller, at + DEADLINES[rank])
        counted = self._started_at <= at < self._ends_at
        if counted:
            self.tallies[rank].offered += 1
        server = self._rng.choice(self.servers)
        pending = server.submit(offer, _batch(DEADLINES[rank]))
        if counted:
            pending.add_done_callback(lambda done: self._count(offer, at, done))

    def _count(self, offer, at, done):
        tally = self.tallies[offer.rank]
        now = self.loop.clock.now()
        error = done.exception()
        if error is None:
            tally.in_time += now <= offer.deadline
            tally.histogram.record_value(max(1, int((now - at) * 1e6)))
        elif isinstance(error, errors.NotRunError):
            tally.refused += 1
        else:
            tally.unknown += 1


def _batch(timeout):
    return backend.Batch(STATEMENTS, 1, True, timeout)


def measure_capacity(deployment, workers, seed):
    """Return the reads per second of ``workers`` connections without a queue."""
    with database(deployment) as address:
        run = Run(deployment, address, seed, ranked=True)
        return run.run(run.capacity(workers, 3.0))


def report(title, run, handed_over, capacity, saturated, seconds):
    """Print one run as a table."""
    useful = sum(tally.in_time for tally in run.tallies.values())
    total = max(1, sum(handed_over.values()))
    print(
        f"{title}: useful work {100 * useful / seconds / capacity:.1f} % of capacity,"
        f" {100 * useful / seconds / saturated:.1f} % of the saturated rate"
    )
    print(
        "  rank     offered/s  in time %  refused %  unknown  p50 ms  p99 ms  slots %"
    )
    for rank, tally in run.tallies.items():
        offered = max(1, tally.offered)
        print(
            f"  {rank.name.lower():8} {tally.offered / seconds:9.0f}"
            f"  {100 * tally.in_time / offered:9.2f}"
            f"  {100 * tally.refused / offered:9.2f}  {tally.unknown:7d}"
            f"  {tally.histogram.get_value_at_percentile(50) / 1000:6.1f}"
            f"  {tally.histogram.get_value_at_percentile(99) / 1000:6.1f}"
            f"  {100 * handed_over[rank] / total:7.1f}"
        )


def measure_cpu(seed):
    """Print the CPU time per point read, one read at a time."""
    deployment = attrs.evolve(DEPLOYMENTS[0], service_ms=0.0)
    with database(deployment) as address:
        run = Run(deployment, address, seed, ranked=True)
        adapter, everything = run.run(run.cpu_per_read(10_000))
    print(
        f"CPU per point read: {adapter * 1e6:.0f} us in the loop and the adapter,"
        f" {everything * 1e6:.0f} us with queue and pool"
    )
    return 0


def compare(deployment, name, shares, options):
    """Run one scenario with each policy."""
    # Capacity has one statement in flight for each slot; with more in flight, the
    # database also hides the time between an answer and the next statement. It is
    # measured before each scenario, because other processes share the machine.
    capacity = measure_capacity(deployment, deployment.slots, options.seed)
    saturated = measure_capacity(deployment, 3 * deployment.slots, options.seed)
    nominal = 1000 * deployment.slots / deployment.service_ms
    print(
        f"{deployment.name}: {deployment.slots} slots, capacity {capacity:.0f}"
        f" reads/s, {saturated:.0f} saturated, {nominal:.0f} nominal"
    )
    rates = {rank: share * capacity for rank, share in shares.items()}
    for ranked in (True, False):
        with database(deployment) as address:
            run = Run(deployment, address, options.seed, ranked)
            cpu = time.thread_time()
            handed_over = run.run(run.flood(rates, options.seconds))
            cpu = time.thread_time() - cpu
        title = f"{name}, {'ranked' if ranked else 'fifo at 8 proxies'}"
        report(title, run, handed_over, capacity, saturated, options.seconds)
        print(f"  CPU of the load generator and the proxies: {cpu:.1f} s", flush=True)


def main(argv=None):
    """Run all scenarios."""
    parser = argparse.ArgumentParser(prog="bench.flood", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--deployment", choices=[d.name for d in DEPLOYMENTS])
    parser.add_argument("--cpu", action="store_true", help="measure only the CPU time")
    options = parser.parse_args(argv)
    if options.cpu:
        return measure_cpu(options.seed)
    for deployment in DEPLOYMENTS:
        if options.deployment not in (None, deployment.name):
            continue
        for name, shares in SCENARIOS.items():
            compare(deployment, name, shares, options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
