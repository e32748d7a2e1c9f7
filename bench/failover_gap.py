"""Measures the failover gap, false promotions and lost acknowledged writes.

Each run starts three ``standins.database`` processes, three observers and one writer,
and injects one fault. Run ``python -m bench.failover_gap --seed 1 --runs 20``.
"""

import argparse
import concurrent.futures
import math
import multiprocessing
import random
import signal
import subprocess
import sys
from concurrent.futures import Future

import attrs
import msgspec

from bench import naive_failover
from cassiahill import (
    acknowledgement,
    backend,
    backend_http,
    clock,
    errors,
    failover,
    freshness,
    http1,
    settings,
)
from cassiahill import loop as event_loop

SERVERS = ("s1", "s2", "s3")
PROXY_DELAY = 0.001  # seconds between observers, one way
FAST_LAG_MS, SLOW_LAG_MS = 1, 40  # One slow replica makes the choice of log matter.
POLL_WAIT = 0.1  # seconds
RETURN_AFTER = {"stalled": 0.7}  # seconds after the fault, when it can end
RUN_AFTER_FAULT = 5.0
WRITE_TIMEOUT = 0.5
WRITE_INTERVAL = 0.02  # seconds; bounds the load of a run and the resolution of a gap
SCENARIOS = {
    "killed": True,
    "frozen": True,
    "isolated": True,  # from the databases and observers of the other domains
    "unfollowed": True,  # from its replicas only; all observers reach it
    "killed, platform down": True,
    "slow": False,
    "stalled": False,
    "silent connections": False,
    "platform down": False,
}


@attrs.define
class RunResult:
    """What one run showed; ``gap`` is in seconds."""

    gap: float = math.nan
    acknowledged: int = 0
    lost: int = 0
    promotions: int = 0
    returned: bool = False


class Group:
    """Three database processes."""

    def __init__(self, rng):
        self.processes = {}
        self.ports = {}
        slow = rng.choice(SERVERS[1:])
        for name in SERVERS:
            self._start(name, SLOW_LAG_MS if name == slow else FAST_LAG_MS)

    def _start(self, name, lag):
        command = [sys.executable, "-m", "standins.database", "--bootstrap"]
        command += ["--group", "g", "--port", "0", "--name", name]
        command += ["--domain", name.replace("s", "d"), "--lag-ms", str(lag)]
        if name == "s1":
            command += ["--role", "primary"]
        else:
            command += ["--follow", f"127.0.0.1:{self.ports['s1']}"]
            command += ["--follow-name", "s1"]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.processes[name] = process
        self.ports[name] = int(process.stdout.readline().split()[1])

    def settings(self):
        """Return the settings of the group."""
        servers = {
            name: settings.ServerSettings(
                name, "g", ("127.0.0.1", port), name.replace("s", "d"), 3, 25
            )
            for name, port in self.ports.items()
        }
        return settings.GroupSettings("g", servers)

    def close(self):
        """End the processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()
            process.stdout.close()


class Poller:
    """Keeps a view current, as the daemon does."""

    def __init__(self, loop, group_settings, domain, on_status=None):
        self.loop = loop
        self.interval = 0.05 if on_status is None else 0.002  # Writers need positions.
        self.view = freshness.GroupView("g", SERVERS)
        self.on_status = on_status or (lambda status: None)
        self.backends = {
            name: backend_http.HttpBackend(loop, name, "g", server.address, domain)
            for name, server in group_settings.servers_by_name.items()
        }
        for database in self.backends.values():
            loop.spawn(self._poll(database))

    def _poll(self, database):
        known = None
        while True:
            until = self.loop.clock.now() + POLL_WAIT + 0.5
            try:
                known = yield database.status(known, POLL_WAIT, until)
            except errors.CassiahillError:
                known = None
                yield self.loop.sleep_until(self.loop.clock.now() + 0.1)
                continue
            self.view.record_status(known)
            self.on_status(known)
            yield self.loop.sleep_until(self.loop.clock.now() + self.interval)


class Writer:
    """Writes to the primary one row after another and records what is acknowledged."""

    def __init__(self, loop, group_settings):
        self.loop = loop
        self.tracker = acknowledgement.AckTracker(SERVERS)
        self.acknowledged = []  # (write id, term, instant)
        self.next_id = 0
        self.workers = 0
        self._waiting = {}
        self._terms_by_id = {}
        self.poller = Poller(loop, group_settings, "clients", self._on_status)

    def _on_status(self, status):
        self._settle(self.tracker.record_status(status))
        view = self.poller.view
        if view.primary and view.term > self.workers:
            self.workers = view.term
            self.loop.spawn(self._work(view.term, view.primary))

    def _settle(self, decisions):
        now = self.loop.clock.now()
        for decision in decisions:
            if isinstance(decision, acknowledgement.Acknowledge):
                term = self._terms_by_id[decision.write_id]
                self.acknowledged.append((decision.write_id, term, now))
            self._waiting.pop(decision.write_id).set_result(None)

    def _work(self, term, primary):
        connection = None
        while self.workers == term:
            deadline = self.loop.clock.now() + WRITE_TIMEOUT
            try:
                if connection is None or connection.closed:
                    database = self.poller.backends[primary]
                    connection = yield database.connect(1, "bench", deadline)
                yield from self._write(connection, term, primary, deadline)
            except errors.CassiahillError:
                yield self.loop.sleep_until(self.loop.clock.now() + 0.02)
            yield self.loop.sleep_until(self.loop.clock.now() + WRITE_INTERVAL)

    def _write(self, connection, term, primary, deadline):
        self.next_id += 1
        write_id = self.next_id
        statements = (
            {"sql": "CREATE TABLE IF NOT EXISTS w (id INTEGER)", "params": []},
            {"sql": "INSERT INTO w VALUES (?)", "params": [write_id]},
        )
        batch = backend.Batch(statements, term, False, WRITE_TIMEOUT)
        result = yield connection.execute(batch, deadline)
        self._waiting[write_id] = confirmed = Future()
        self._terms_by_id[write_id] = result.term
        now = self.loop.clock.now()
        self.loop.call_at(
            deadline,
            lambda: self._settle(self.tracker.expire_writes(self.loop.clock.now())),
        )
        self._settle(
            self.tracker.record_write(
                write_id, primary, result.term, result.position, now, deadline
            )
        )
        yield confirmed


class Run:
    """One run of one scenario."""

    def __init__(self, scenario, policy, seed):
        self.scenario = scenario
        self.rng = random.Random(f"{scenario}/{seed}")
        self.loop = event_loop.EventLoop(clock.SystemClock())
        self.policy = policy
        self.changes = []
        self.claims = {}
        self.drivers = []
        self.group = Group(self.rng)
        self.settings = self.group.settings()

    def start(self):
        """Start the writer and the observers."""
        self.writer = Writer(self.loop, self.settings)
        if self.policy == "naive":
            poller = Poller(self.loop, self.settings, "d2")
            naive = naive_failover.NaiveDriver(
                self.loop,
                self.settings,
                poller.backends,
                poller.view,
                self.changes.append,
            )
            self.drivers = [naive]
        else:
            self._start_observers()

    def _start_observers(self):
        prefix = "e" if self.scenario == "unfollowed" else "d"
        domains_by_proxy = {f"p{n}": f"{prefix}{n}" for n in (1, 2, 3)}
        for name, domain in domains_by_proxy.items():
            poller = Poller(self.loop, self.settings, domain)
            driver = failover.FailoverDriver(
                self.loop,
                {"g": self.settings},
                poller.backends,
                {"g": poller.view},
                name,
                domain,
                random.Random(self.rng.random()),
                self._claim,
                self._spread,
                self.changes.append,
            )
            driver.set_live_proxies(domains_by_proxy)
            self.drivers.append(driver)

    def _claim(self, group, term, by):
        future = Future()
        if "platform down" not in self.scenario:
            future.set_result(self.claims.setdefault((group, term), by) == by)
        return future

    def _spread(self, observation):
        for driver in self.drivers:
            if driver.own_name != observation.observer:
                self.loop.call_at(
                    self.loop.clock.now() + PROXY_DELAY,
                    lambda driver=driver: driver.record_observation(observation),
                )

    def execute(self):
        """Run the scenario and return a ``RunResult``."""
        done = self.loop.spawn(self._steps())
        done.add_done_callback(lambda _: self.loop.stop())
        self.loop.run()
        return done.result()

    def close(self):
        """End the observers and the databases."""
        for driver in self.drivers:
            driver.close()
        self.group.close()
        self.loop.close()

    def _steps(self):
        warm_up = self.loop.clock.now() + 1.0 + self.rng.uniform(0, 0.5)
        yield self.loop.sleep_until(warm_up)
        yield from self._inject()
        failed_at = self.loop.clock.now()
        yield self.loop.sleep_until(failed_at + RETURN_AFTER.get(self.scenario, 3.5))
        yield from self._heal()
        yield self.loop.sleep_until(failed_at + RUN_AFTER_FAULT)
        self.writer.workers = math.inf
        yield self.loop.sleep_until(self.loop.clock.now() + 0.2)
        return (yield from self._result())

    def _inject(self):
        match self.scenario:
            case "killed" | "killed, platform down":
                self.group.processes["s1"].kill()
            case "frozen" | "stalled":
                self.group.processes["s1"].send_signal(signal.SIGSTOP)
            case "isolated" | "unfollowed":
                yield from self._set_faults(cut=["d2", "d3"])
            case "slow":
                yield from self._set_faults(service_ms=400)
            case "silent connections":
                yield from self._set_faults(silence_open=True)

    def _heal(self):
        if self.scenario in ("frozen", "stalled"):
            self.group.processes["s1"].send_signal(signal.SIGCONT)
        elif self.scenario in ("isolated", "unfollowed"):
            yield from self._set_faults(cut=[])

    def _set_faults(self, **faults):
        address = self.settings.servers_by_name["s1"].address
        client = http1.ClientConnection(self.loop, address)
        yield client.request("POST", "/fault", msgspec.json.encode(faults))
        client.close()

    def _result(self):
        view = self.writer.poller.view
        acknowledged = self.writer.acknowledged
        result = RunResult(acknowledged=len(acknowledged))
        result.promotions = len({change.term for change in self.changes})
        new = [at for _, term, at in acknowledged if term > 1]
        if new:
            result.gap = min(new) - max(at for _, term, at in acknowledged if term == 1)
        deadline = self.loop.clock.now() + 2.0
        connection = yield self.writer.poller.backends[view.primary].connect(
            1, "check", deadline
        )
        statements = ({"sql": "SELECT id FROM w", "params": []},)
        answer = yield connection.execute(
            backend.Batch(statements, view.term, True, 1.0), deadline
        )
        kept = {row[0] for row in answer.results[0].rows}
        result.lost = sum(write_id not in kept for write_id, _, _ in acknowledged)
        result.returned = view.status_by_server["s1"].primary == view.primary != "s1"
        return result


def run_once(arguments):
    """Run one scenario in a process of its own."""
    run = Run(*arguments)
    try:
        run.start()
        return run.execute()
    finally:
        run.close()


def percentile(values, share):
    """Return the nearest-rank percentile; NaN when there are no values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def print_row(policy, scenario, results):
    """Print one row of the table."""
    must_promote = SCENARIOS[scenario]
    gaps = [r.gap for r in results if not math.isnan(r.gap)]
    false = sum(max(0, r.promotions - must_promote) for r in results)
    missed = sum(must_promote and math.isnan(r.gap) for r in results)
    figures = " ".join(
        f"{percentile(gaps, share):7.3f}" if must_promote else "      -"
        for share in (0.5, 0.99, 1.0)
    )
    print(
        f"{policy:9} {scenario:22} {len(results):4} {figures} {missed:6} {false:6}"
        f" {sum(r.acknowledged for r in results):8}"
        f" {sum(r.lost for r in results):5} {sum(r.returned for r in results):8}",
        flush=True,
    )


def main(argv=None):
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser(prog="bench.failover_gap", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--policy", action="append", choices=("majority", "naive"))
    options = parser.parse_args(argv)
    print("gaps in seconds; missed: runs without acknowledgement in a new term;")
    print("false: promotions beyond the expected ones; returned: old primary follows")
    print(
        f"{'policy':9} {'scenario':22} {'runs':>4} {'median':>7} {'99th':>7} {'max':>7}"
        f" {'missed':>6} {'false':>6} {'acked':>8} {'lost':>5} {'returned':>8}"
    )
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(options.parallel, context) as pool:
        for policy in options.policy or ("majority", "naive"):
            for scenario in options.scenario or SCENARIOS:
                seeds = range(options.seed, options.seed + options.runs)
                runs = [(scenario, policy, seed) for seed in seeds]
                print_row(policy, scenario, list(pool.map(run_once, runs)))


if __name__ == "__main__":
    main()
