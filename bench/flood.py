"""Compares admission policies while reads of each rank overload a backend server.

``python -m bench.flood --seed 1`` starts one ``standins.database`` process for each run
and sends it the load from this process. The load is an open loop: requests arrive at a
fixed rate, however late the answers are. Ranked admission runs at one server owner; the
baseline is eight proxies, each with a first-in, first-out queue and an equal quota of
the connections.
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

FIFO_PROXY_COUNT = 8
CALLERS_PER_RANK = 20
# Longer than the window over which admission measures the slot time of each rank.
WARM_UP_SECONDS = 1.5
TIMEOUT_SECONDS_BY_RANK = {Rank.URGENT: 1.0, Rank.LOOKUP: 1.0, Rank.ROUTINE: 2.0}
READ_STATEMENTS = ({"sql": "SELECT 1", "params": ()},)


@attrs.frozen
class Deployment:
    """Sizes of one backend server, as in a customer's deployment.

    Opening a connection takes ``open_ms``, running a statement ``service_ms``.
    """

    name: str
    slots: int
    open_ms: float
    connections: int
    service_ms: float = 5.0


DEPLOYMENTS = (
    Deployment("safeplate", 3, 10.0, 25),
    Deployment("entulho", 2, 30.0, 30),
)
# Arrival rate of each rank, in multiples of the measured capacity.
SCENARIOS_BY_NAME = {
    "a: routine flood": {Rank.URGENT: 0.2, Rank.LOOKUP: 0.2, Rank.ROUTINE: 4.0},
    "b: urgent flood": {Rank.URGENT: 4.0, Rank.LOOKUP: 0.4, Rank.ROUTINE: 0.4},
    "c: both floods": {Rank.URGENT: 4.0, Rank.LOOKUP: 0.4, Rank.ROUTINE: 4.0},
}


@attrs.frozen
class ReadRequest:
    """What admission needs to know of one read; the deadline is an instant."""

    rank: Rank
    caller: str
    deadline: float


@attrs.define
class Tally:
    """Numbers of requests of one rank by result, and latencies of those answered.

    ``unknown`` counts the requests that may or may not have run.
    """

    offered: int = 0
    in_time: int = 0
    refused: int = 0
    unknown: int = 0
    latencies_us: hdrh.histogram.HdrHistogram = attrs.field(
        factory=lambda: hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
    )


@contextlib.contextmanager
def database(deployment):
    """Run a database stand-in while the context is open; yield its address."""
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
        # A signal that arrives just before the event loop waits is handled only after
        # its next event, so one SIGTERM is not always enough.
        while process.poll() is None:
            process.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(timeout=1.0)


class FloodRun:
    """One run against a new database.

    ``servers`` holds one ``OwnedServer`` for each simulated proxy; each request goes to
    a random one of them.
    """

    def __init__(self, deployment, address, seed, ranked):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.address = address
        self.failure_domain = "d"
        self.tallies_by_rank = {rank: Tally() for rank in Rank}
        self._rng = random.Random(seed)
        self._measured_from = self._measured_until = 0.0
        self._seconds = 0.0
        proxy_count = 1 if ranked else FIFO_PROXY_COUNT
        quota = deployment.connections // proxy_count
        # A proxy with its own queue runs as many statements as it has connections.
        slots = deployment.slots if ranked else quota
        server = settings.ServerSettings("s1", "g", address, "d", slots, quota)
        policy_class = RankedAdmission if ranked else FifoAdmission
        self.servers = [
            owned_servers.OwnedServer(
                self.loop,
                backend_http.HttpBackend(self.loop, "s1", "g", address, "d"),
                # The pool leaves two connections of the server's limit for a takeover.
                server if ranked else attrs.evolve(server, connections=quota + 2),
                "p",
                policy_class(AdmissionSettings(slots)),
                self._rng,
            )
            for _ in range(proxy_count)
        ]

    def run(self, task):
        """Claim the server, run a task to its end, close and return its result."""
        result = self.loop.spawn(self._claim_and_run(task))
        self.loop.run()
        for server in self.servers:
            server.close()
        self.loop.close()
        return result.result()

    def _claim_and_run(self, task):
        try:
            for server in self.servers:
                yield server.claim(0)
            return (yield from task)
        finally:
            self.loop.stop()

    def measure_reads_per_second(self, connection_count, seconds):
        """Return the rate of reads in closed loops, each on its own connection."""
        ends_at = self.loop.clock.now() + seconds
        futures = [
            self.loop.spawn(self._read_until(ends_at)) for _ in range(connection_count)
        ]
        read_count = 0
        for future in futures:
            read_count += yield future
        return read_count / seconds

    def _read_until(self, ends_at):
        adapter = backend_http.HttpBackend(
            self.loop, "s1", "g", self.address, self.failure_domain
        )
        connection = yield adapter.connect(1, "p", self.loop.clock.now() + 5.0)
        read_count = 0
        while (now := self.loop.clock.now()) < ends_at:
            yield connection.execute(_read_batch(5.0), now + 5.0)
            read_count += 1
        return read_count

    def cpu_seconds_per_read(self, read_count):
        """Return the CPU seconds per read of the adapter alone and of the full path."""
        adapter = backend_http.HttpBackend(
            self.loop, "s1", "g", self.address, self.failure_domain
        )
        connection = yield adapter.connect(1, "p", self.loop.clock.now() + 5.0)
        seconds_per_read = []
        for through_owned_server in (False, True):
            started_at = time.thread_time()
            for _ in range(read_count):
                deadline = self.loop.clock.now() + 5.0
                if through_owned_server:
                    request = ReadRequest(Rank.LOOKUP, "c", deadline)
                    yield self.servers[0].submit(request, _read_batch(5.0))
                else:
                    yield connection.execute(_read_batch(5.0), deadline)
            seconds_per_read.append((time.thread_time() - started_at) / read_count)
        return seconds_per_read

    def flood(self, rate_by_rank, seconds):
        """Submit reads of each rank at its rate, with exponential arrival gaps.

        Returns
        -------
        dict of Rank to int
            Number of reads handed to connections in the measured time.
        """
        self._measured_from = self.loop.clock.now() + WARM_UP_SECONDS
        self._measured_until = self._measured_from + seconds
        for rank, rate in rate_by_rank.items():
            self._submit_due_requests(rank, rate, self.loop.clock.now())
        yield self.loop.sleep_until(self._measured_from)
        counts_before = self._handed_over_by_rank()
        yield self.loop.sleep_until(self._measured_until)
        counts_after = self._handed_over_by_rank()
        yield self.loop.sleep_until(
            self._measured_until + max(TIMEOUT_SECONDS_BY_RANK.values()) + 0.2
        )
        return {rank: counts_after[rank] - counts_before[rank] for rank in Rank}

    def _handed_over_by_rank(self):
        return {
            rank: sum(
                server.dump()["counts"].get("handed_over_" + rank.name.lower(), 0)
                for server in self.servers
            )
            for rank in Rank
        }

    def _submit_due_requests(self, rank, rate, due_at):
        # Submits every request that is due, so a late event loop keeps up the load.
        now = self.loop.clock.now()
        while due_at <= now:
            self._submit_request(rank, due_at)
            due_at += self._rng.expovariate(rate)
        if due_at < self._measured_until:
            self.loop.call_at(
                due_at, lambda: self._submit_due_requests(rank, rate, due_at)
            )

    def _submit_request(self, rank, due_at):
        caller = f"{rank.name}-{self._rng.randrange(CALLERS_PER_RANK)}"
        request = ReadRequest(rank, caller, due_at + TIMEOUT_SECONDS_BY_RANK[rank])
        in_measured_window = self._measured_from <= due_at < self._measured_until
        if in_measured_window:
            self.tallies_by_rank[rank].offered += 1
        server = self._rng.choice(self.servers)
        answer_future = server.submit(
            request, _read_batch(TIMEOUT_SECONDS_BY_RANK[rank])
        )
        if in_measured_window:
            answer_future.add_done_callback(
                lambda future: self._record_request_end(request, due_at, future)
            )

    def _record_request_end(self, request, due_at, answer_future):
        tally = self.tallies_by_rank[request.rank]
        now = self.loop.clock.now()
        error = answer_future.exception()
        if error is None:
            tally.in_time += now <= request.deadline
            tally.latencies_us.record_value(max(1, int((now - due_at) * 1e6)))
        elif isinstance(error, errors.NotRunError):
            tally.refused += 1
        else:
            tally.unknown += 1


def _read_batch(timeout_seconds):
    return backend.Batch(READ_STATEMENTS, 1, True, timeout_seconds)


def measure_capacity(deployment, connection_count, seed):
    """Return the reads per second of a number of connections without a queue."""
    with database(deployment) as address:
        run = FloodRun(deployment, address, seed, ranked=True)
        return run.run(run.measure_reads_per_second(connection_count, 3.0))


def print_run(title, run, handed_over_by_rank, capacity, saturated, seconds):
    """Print one run as a table.

    ``capacity`` and ``saturated`` are in reads per second.
    """
    in_time_count = sum(tally.in_time for tally in run.tallies_by_rank.values())
    handed_over_total = max(1, sum(handed_over_by_rank.values()))
    print(
        f"{title}:"
        f" useful work {100 * in_time_count / seconds / capacity:.1f} % of capacity,"
        f" {100 * in_time_count / seconds / saturated:.1f} % of the saturated rate"
    )
    print(
        "  rank     offered/s  in time %  refused %  unknown  p50 ms  p99 ms  slots %"
    )
    for rank, tally in run.tallies_by_rank.items():
        offered_count = max(1, tally.offered)
        print(
            f"  {rank.name.lower():8} {tally.offered / seconds:9.0f}"
            f"  {100 * tally.in_time / offered_count:9.2f}"
            f"  {100 * tally.refused / offered_count:9.2f}  {tally.unknown:7d}"
            f"  {tally.latencies_us.get_value_at_percentile(50) / 1000:6.1f}"
            f"  {tally.latencies_us.get_value_at_percentile(99) / 1000:6.1f}"
            f"  {100 * handed_over_by_rank[rank] / handed_over_total:7.1f}"
        )


def measure_cpu(seed):
    """Print the CPU time per point read, one read at a time."""
    deployment = attrs.evolve(DEPLOYMENTS[0], service_ms=0.0)
    with database(deployment) as address:
        run = FloodRun(deployment, address, seed, ranked=True)
        adapter_seconds, full_path_seconds = run.run(run.cpu_seconds_per_read(10_000))
    print(
        f"CPU per point read: {adapter_seconds * 1e6:.0f} us in the loop and the"
        f" adapter,"
        f" {full_path_seconds * 1e6:.0f} us with queue and pool"
    )
    return 0


def compare(deployment, scenario_name, load_by_rank, options):
    """Run one scenario with each admission policy and print the results."""
    # Capacity is measured with one statement in flight for each slot. With more in
    # flight, the database has no idle time between an answer and the next statement.
    # Both are measured before each scenario, because other processes use the machine.
    capacity = measure_capacity(deployment, deployment.slots, options.seed)
    saturated = measure_capacity(deployment, 3 * deployment.slots, options.seed)
    nominal = 1000 * deployment.slots / deployment.service_ms
    print(
        f"{deployment.name}: {deployment.slots} slots, capacity {capacity:.0f}"
        f" reads/s, {saturated:.0f} saturated, {nominal:.0f} nominal"
    )
    rate_by_rank = {rank: load * capacity for rank, load in load_by_rank.items()}
    for ranked in (True, False):
        with database(deployment) as address:
            run = FloodRun(deployment, address, options.seed, ranked)
            cpu_seconds = time.thread_time()
            handed_over_by_rank = run.run(run.flood(rate_by_rank, options.seconds))
            cpu_seconds = time.thread_time() - cpu_seconds
        title = f"{scenario_name}, {'ranked' if ranked else 'fifo at 8 proxies'}"
        print_run(
            title,
            run,
            handed_over_by_rank,
            capacity,
            saturated,
            options.seconds,
        )
        print(
            f"  CPU of the load generator and the proxies: {cpu_seconds:.1f} s",
            flush=True,
        )


def main(argv=None):
    """Run all scenarios, or with ``--cpu`` only the CPU measurement."""
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
        for scenario_name, load_by_rank in SCENARIOS_BY_NAME.items():
            compare(deployment, scenario_name, load_by_rank, options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
