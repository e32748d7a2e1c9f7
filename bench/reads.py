"""Measures the share of reads that replicas serve, by lag, age bound and policy.

Runs the proxy's routing policies and group view on a model of one group, in one process
and in simulated time: ``python -m bench.reads --seed 1``.
"""

import argparse
import bisect
import heapq
import random
import sys
import time

from cassiahill import freshness, kernel, messages, routing, tokens

SERVERS = ("s1", "s2", "s3")
DOMAIN_BY_SERVER = {"s1": "a", "s2": "b", "s3": "c"}
REPLICA_LAGS_SECONDS = (0.001, 0.01, 0.1, 1.0, 5.0)
# None stands for reads that need only the session's own writes, of any age.
MAX_AGES_SECONDS = (0.05, 0.2, 1.0, 5.0, None)
SLOTS = 3
SERVICE_SECONDS = 0.001
ONE_WAY_DELAY_SECONDS = 0.001
POLL_INTERVAL_SECONDS = 0.02
READS_PER_SECOND = 4000.0  # More than the 3,000 that the primary's slots serve.
WRITES_PER_SECOND = 200.0
SESSION_COUNT = 400
TIMEOUT_SECONDS = 0.2
WARM_UP_SECONDS = 6.0  # Longer than the largest lag.
DURATION_SECONDS = 2.0


class ServerModel:
    """Slots and queued statements of one database."""

    def __init__(self):
        self._slot_free_at = [0.0] * SLOTS
        self._queued_until = []

    def waiting_count(self, now):
        """Return the number of statements that wait for a slot at an instant."""
        while self._queued_until and self._queued_until[0] <= now:
            heapq.heappop(self._queued_until)
        return len(self._queued_until)

    def enqueue(self, now):
        """Assign a statement to the slot that is free first."""
        starts_at = max(now, heapq.heappop(self._slot_free_at))
        heapq.heappush(self._slot_free_at, starts_at + SERVICE_SECONDS)
        heapq.heappush(self._queued_until, starts_at)


class Simulation:
    """Simulated group with one replica lag, one age bound and one routing policy."""

    def __init__(self, lag_seconds, max_age_seconds, policy, seed):
        self.rng = random.Random(seed)
        self.lag_by_server = {"s1": 0.0, "s2": lag_seconds, "s3": lag_seconds * 1.25}
        self.freshness_bound = (
            messages.OwnWrites()
            if max_age_seconds is None
            else messages.MaxAge(max_age_seconds)
        )
        self.max_age_seconds = (
            float("inf") if max_age_seconds is None else max_age_seconds
        )
        self.policy = policy
        self.group_view = freshness.GroupView("g", SERVERS)
        self.servers = {name: ServerModel() for name in SERVERS}
        self.commit_times = []
        self.mark_by_session = {}
        self.scheduled_events = []
        self.event_count = 0
        self.count_by_result = {"replica": 0, "primary": 0, "refused": 0}
        self.eligible_reads = 0
        self.eligible_from_replica = 0
        self.age_violations = 0

    def schedule(self, due_at, action, *args):
        """Call ``action(instant, *args)`` at an instant of simulated time."""
        self.event_count += 1
        heapq.heappush(self.scheduled_events, (due_at, self.event_count, action, args))

    def log_position(self, server, now):
        """Return a server's log position; the term starts at position 1."""
        replicated_until = now - self.lag_by_server[server]
        return 1 + bisect.bisect_right(self.commit_times, replicated_until)

    def true_age_seconds(self, server, now):
        """Return the seconds since the first commit that a server lacks, or 0."""
        position = self.log_position(server, now)
        missing_commits = self.commit_times[position - 1 : position]
        return now - missing_commits[0] if missing_commits else 0.0

    def run(self):
        """Simulate warm-up and measured time; return this object with its counts."""
        for server in SERVERS:
            self.schedule(
                self.rng.uniform(0, POLL_INTERVAL_SECONDS), self.poll_status, server
            )
        self.schedule(0.0, self.on_write)
        self.schedule(WARM_UP_SECONDS, self.on_read_arrival)
        while self.scheduled_events:
            now, _, action, args = heapq.heappop(self.scheduled_events)
            if now < WARM_UP_SECONDS + DURATION_SECONDS + TIMEOUT_SECONDS:
                action(now, *args)
        return self

    def poll_status(self, now, server):
        """Poll a server's status; the answer arrives after one round trip."""
        status = freshness.ServerStatus(
            server=server,
            group="g",
            role="primary" if server == "s1" else "replica",
            term=1,
            position=self.log_position(server, now + ONE_WAY_DELAY_SECONDS),
            last_term=1,
            term_starts=((1, 1),),
            primary="s1",
            primary_unreachable_seconds=0.0,
            sent_at=now,
            received_at=now + 2 * ONE_WAY_DELAY_SECONDS,
        )
        self.schedule(
            now + 2 * ONE_WAY_DELAY_SECONDS,
            lambda _now: self.group_view.record_status(status),
        )
        self.schedule(now + POLL_INTERVAL_SECONDS, self.poll_status, server)

    def on_write(self, now):
        """Commit a write of a random session at the primary and schedule the next."""
        self.servers["s1"].enqueue(now)
        self.commit_times.append(now)
        session = self.rng.randrange(SESSION_COUNT)
        self.mark_by_session[session] = tokens.Mark(1, 1 + len(self.commit_times))
        self.schedule(now + self.rng.expovariate(WRITES_PER_SECOND), self.on_write)

    def on_read_arrival(self, now):
        """Route a read of a random session and schedule the next arrival."""
        if now < WARM_UP_SECONDS + DURATION_SECONDS:
            session = self.rng.randrange(SESSION_COUNT)
            self.route_read(
                now, self.read_request(now), session, self.is_eligible(now, session)
            )
            self.schedule(
                now + self.rng.expovariate(READS_PER_SECOND), self.on_read_arrival
            )

    def read_request(self, now):
        """Return a read request that arrives at ``now``."""
        statement = messages.Statement("SELECT 1")
        return messages.StatementRequest(
            "read", "g", statement, messages.Rank.LOOKUP, now + TIMEOUT_SECONDS,
            self.freshness_bound, None, False, "caller", None,
        )  # fmt: skip

    def is_eligible(self, now, session):
        """Return whether a replica's data satisfies a read now; count it if so."""
        mark = self.mark_by_session.get(session, tokens.Mark(0, 0))
        eligible = any(
            self.true_age_seconds(server, now) <= self.max_age_seconds
            and self.log_position(server, now) >= mark.position
            for server in SERVERS[1:]
        )
        self.eligible_reads += eligible
        return eligible

    def route_read(self, now, request, session, eligible):
        """Route a read; if the policy lets it wait, route it again later."""
        queue_length_by_server = {
            name: server.waiting_count(now) for name, server in self.servers.items()
        }
        mark = self.mark_by_session.get(session)
        route = self.policy.route(
            request,
            mark,
            self.group_view,
            queue_length_by_server,
            set(),
            "a",
            DOMAIN_BY_SERVER,
            now,
        )
        match route:
            case routing.WaitUntil(retry_at):
                self.schedule(retry_at, self.route_read, request, session, eligible)
            case routing.Refuse():
                self.count_by_result["refused"] += 1
            case routing.ToServer(server):
                age_limit = self.group_view.age(server, now)
                self.age_violations += (
                    self.true_age_seconds(server, now) > age_limit + 1e-9
                )
                self.servers[server].enqueue(now)
                from_replica = server != "s1"
                self.count_by_result["replica" if from_replica else "primary"] += 1
                self.eligible_from_replica += from_replica and eligible


def decision_microseconds(policy, freshness_bound, mark):
    """Return the CPU time of one routing decision, in microseconds."""
    simulation = Simulation(0.01, 1.0, policy, 1)
    for step in range(2000):
        simulation.commit_times.append(step * 0.005)
        if step % 4 == 0:
            for server in SERVERS:
                simulation.poll_status(step * 0.005, server)
    while simulation.scheduled_events:
        now, _, action, args = heapq.heappop(simulation.scheduled_events)
        if now < 10.0 and action != simulation.poll_status:
            action(now, *args)
    simulation.freshness_bound = freshness_bound
    request, decision_count = simulation.read_request(10.0), 50_000
    cpu_started_at = time.process_time()
    for _ in range(decision_count):
        policy.route(
            request, mark, simulation.group_view, {}, set(), "a", DOMAIN_BY_SERVER, 10.0
        )
    return (time.process_time() - cpu_started_at) / decision_count * 1e6


def percent(part, total):
    """Return a share in percent as text of fixed width."""
    return f"{100 * part / total:6.1f}" if total else "     -"


def main(argv=None):
    """Print the share of reads by server and the CPU time per routing decision."""
    parser = argparse.ArgumentParser(prog="bench.reads", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(argv).seed
    print(
        f"seed {seed}; {READS_PER_SECOND:.0f} reads/s,"
        f" {WRITES_PER_SECOND:.0f} writes/s;"
    )
    print(
        f"polls every {POLL_INTERVAL_SECONDS * 1000:.0f} ms,"
        f" deadline {TIMEOUT_SECONDS * 1000:.0f} ms"
    )
    print("shares in %; eligible: a replica truly satisfies the read on arrival")
    print(
        "lag ms   age ms  policy  reads replica primary refused eligible (by replica)"
    )
    violations = 0
    for lag_seconds in REPLICA_LAGS_SECONDS:
        for max_age_seconds in MAX_AGES_SECONDS:
            for policy_name in ("fresh", "naive"):
                result = Simulation(
                    lag_seconds,
                    max_age_seconds,
                    kernel.plugin("routing", policy_name)(),
                    seed,
                ).run()
                total = sum(result.count_by_result.values())
                shares = "  ".join(
                    percent(count, total) for count in result.count_by_result.values()
                )
                age_text = (
                    "own"
                    if max_age_seconds is None
                    else f"{max_age_seconds * 1000:.0f}"
                )
                print(
                    f"{lag_seconds * 1000:6.0f}  {age_text:>7}"
                    f"  {policy_name:6} {total:6d}  {shares}  "
                    f" {percent(result.eligible_reads, total)}  "
                    f"({percent(result.eligible_from_replica, result.eligible_reads)})",
                    flush=True,
                )
                violations += result.age_violations
    print(f"reads whose true age exceeded the stated bound: {violations}")
    for policy_name in ("fresh", "naive"):
        for bound_name, freshness_bound, mark in (
            ("max_age", messages.MaxAge(1.0), None),
            ("own_writes", messages.OwnWrites(), tokens.Mark(1, 1900)),
        ):
            microseconds = decision_microseconds(
                kernel.plugin("routing", policy_name)(), freshness_bound, mark
            )
            print(
                f"CPU per decision, {policy_name}, {bound_name}: {microseconds:.1f} us"
            )


if __name__ == "__main__":
    sys.exit(main())
