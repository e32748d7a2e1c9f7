"""Share of reads that replicas serve, by lag, stated age and routing policy.

One process: the real views and policies on a model of one group, in model time. Run
``python -m bench.reads --seed 1``.
"""

import argparse
import bisect
import heapq
import random
import sys
import time

from cassiahill import freshness, kernel, messages, routing, tokens

SERVERS = ("s1", "s2", "s3")
DOMAINS = {"s1": "a", "s2": "b", "s3": "c"}
LAGS = (0.001, 0.01, 0.1, 1.0, 5.0)
AGES = (0.05, 0.2, 1.0, 5.0, None)  # None: own writes.
SLOTS = 3
SERVICE = 0.001  # seconds
HOP = 0.001  # seconds, one way
POLL_INTERVAL = 0.02
READ_RATE = 4000.0  # per second; the primary's slots serve 3,000 statements/s
WRITE_RATE = 200.0
SESSIONS = 400
TIMEOUT = 0.2
WARM_UP = 6.0  # Longer than the largest lag.
DURATION = 2.0


class Server:
    """Slots and waiting work of one database."""

    def __init__(self):
        self._free_at = [0.0] * SLOTS
        self._starts = []

    def waiting(self, now):
        """Return the number of statements that have not started."""
        while self._starts and self._starts[0] <= now:
            heapq.heappop(self._starts)
        return len(self._starts)

    def add(self, now):
        """Take a statement."""
        start = max(now, heapq.heappop(self._free_at))
        heapq.heappush(self._free_at, start + SERVICE)
        heapq.heappush(self._starts, start)


class Run:
    """One run with a lag, a stated age and a policy."""

    def __init__(self, lag, age, policy, seed):
        self.rng = random.Random(seed)
        self.lag_by_server = {"s1": 0.0, "s2": lag, "s3": lag * 1.25}
        self.wanted = messages.OwnWrites() if age is None else messages.MaxAge(age)
        self.age = float("inf") if age is None else age
        self.policy = policy
        self.view = freshness.GroupView("g", SERVERS)
        self.servers = {name: Server() for name in SERVERS}
        self.commit_times = []
        self.mark_by_session = {}
        self.events = []
        self.count = 0
        self.served = {"replica": 0, "primary": 0, "refused": 0}
        self.eligible = 0
        self.eligible_by_replica = 0
        self.broken_age = 0

    def push(self, at, action, *args):
        """Schedule an action."""
        self.count += 1
        heapq.heappush(self.events, (at, self.count, action, args))

    def position(self, server, now):
        """Return a server's log position; position 1 starts the term."""
        seen = now - self.lag_by_server[server]
        return 1 + bisect.bisect_right(self.commit_times, seen)

    def true_age(self, server, now):
        """Return the age of a server's data."""
        position = self.position(server, now)
        missing = self.commit_times[position - 1 : position]
        return now - missing[0] if missing else 0.0

    def run(self):
        """Run to the end and return this run."""
        for server in SERVERS:
            self.push(self.rng.uniform(0, POLL_INTERVAL), self.poll, server)
        self.push(0.0, self.write)
        self.push(WARM_UP, self.arrive)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            if now < WARM_UP + DURATION + TIMEOUT:
                action(now, *args)
        return self

    def poll(self, now, server):
        """Send a poll; the answer arrives two hops later."""
        status = freshness.ServerStatus(
            server=server,
            group="g",
            role="primary" if server == "s1" else "replica",
            term=1,
            position=self.position(server, now + HOP),
            last_term=1,
            term_starts=((1, 1),),
            primary="s1",
            primary_unreachable_seconds=0.0,
            sent_at=now,
            received_at=now + 2 * HOP,
        )
        self.push(now + 2 * HOP, lambda _now: self.view.record_status(status))
        self.push(now + POLL_INTERVAL, self.poll, server)

    def write(self, now):
        """Commit a write of some session at the primary."""
        self.servers["s1"].add(now)
        self.commit_times.append(now)
        session = self.rng.randrange(SESSIONS)
        self.mark_by_session[session] = tokens.Mark(1, 1 + len(self.commit_times))
        self.push(now + self.rng.expovariate(WRITE_RATE), self.write)

    def arrive(self, now):
        """Take a read of some session."""
        if now < WARM_UP + DURATION:
            session = self.rng.randrange(SESSIONS)
            self.read(now, self.request(now), session, self.is_eligible(now, session))
            self.push(now + self.rng.expovariate(READ_RATE), self.arrive)

    def request(self, now):
        """Return a read."""
        statement = messages.Statement("SELECT 1")
        return messages.StatementRequest(
            "read", "g", statement, messages.Rank.LOOKUP, now + TIMEOUT, self.wanted,
            None, False, "caller", None,
        )  # fmt: skip

    def is_eligible(self, now, session):
        """Return whether some replica truly satisfies a read."""
        mark = self.mark_by_session.get(session, tokens.Mark(0, 0))
        eligible = any(
            self.true_age(server, now) <= self.age
            and self.position(server, now) >= mark.position
            for server in SERVERS[1:]
        )
        self.eligible += eligible
        return eligible

    def read(self, now, request, session, eligible):
        """Route a read, now and again while it waits."""
        load = {name: server.waiting(now) for name, server in self.servers.items()}
        mark = self.mark_by_session.get(session)
        route = self.policy.route(
            request, mark, self.view, load, set(), "a", DOMAINS, now
        )
        match route:
            case routing.WaitUntil(at):
                self.push(at, self.read, request, session, eligible)
            case routing.Refuse():
                self.served["refused"] += 1
            case routing.ToServer(server):
                stated = self.view.age(server, now)
                self.broken_age += self.true_age(server, now) > stated + 1e-9
                self.servers[server].add(now)
                replica = server != "s1"
                self.served["replica" if replica else "primary"] += 1
                self.eligible_by_replica += replica and eligible


def decision_cost(policy, wanted, mark):
    """Return the CPU time of one routing decision, in microseconds."""
    run = Run(0.01, 1.0, policy, 1)
    for step in range(2000):
        run.commit_times.append(step * 0.005)
        if step % 4 == 0:
            for server in SERVERS:
                run.poll(step * 0.005, server)
    while run.events:
        now, _, action, args = heapq.heappop(run.events)
        if now < 10.0 and action != run.poll:
            action(now, *args)
    run.wanted = wanted
    request, rounds = run.request(10.0), 50_000
    started = time.process_time()
    for _ in range(rounds):
        policy.route(request, mark, run.view, {}, set(), "a", DOMAINS, 10.0)
    return (time.process_time() - started) / rounds * 1e6


def percent(part, whole):
    """Return a share as text."""
    return f"{100 * part / whole:6.1f}" if whole else "     -"


def main(argv=None):
    """Print the tables."""
    parser = argparse.ArgumentParser(prog="bench.reads", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(argv).seed
    print(f"seed {seed}; {READ_RATE:.0f} reads/s, {WRITE_RATE:.0f} writes/s;")
    print(
        f"polls every {POLL_INTERVAL * 1000:.0f} ms, deadline {TIMEOUT * 1000:.0f} ms"
    )
    print("shares in %; eligible: a replica truly satisfies the read on arrival")
    print(
        "lag ms   age ms  policy  reads replica primary refused eligible (by replica)"
    )
    violations = 0
    for lag in LAGS:
        for age in AGES:
            for name in ("fresh", "naive"):
                run = Run(lag, age, kernel.plugin("routing", name)(), seed).run()
                total = sum(run.served.values())
                shares = "  ".join(percent(n, total) for n in run.served.values())
                stated = "own" if age is None else f"{age * 1000:.0f}"
                print(
                    f"{lag * 1000:6.0f}  {stated:>7}  {name:6} {total:6d}  {shares}  "
                    f" {percent(run.eligible, total)}  "
                    f"({percent(run.eligible_by_replica, run.eligible)})",
                    flush=True,
                )
                violations += run.broken_age
    print(f"reads whose true age exceeded the stated bound: {violations}")
    for name in ("fresh", "naive"):
        for label, wanted, mark in (
            ("max_age", messages.MaxAge(1.0), None),
            ("own_writes", messages.OwnWrites(), tokens.Mark(1, 1900)),
        ):
            cost = decision_cost(kernel.plugin("routing", name)(), wanted, mark)
            print(f"CPU per decision, {name}, {label}: {cost:.1f} us")


if __name__ == "__main__":
    sys.exit(main())
