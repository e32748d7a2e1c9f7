"""Plays the load of a heavy day on proxies and one group in memory, in virtual time.

``python -m tests.session_load`` prints what callers get under four policies.
"""

import collections
import contextlib
import random
from unittest import mock

import attrs

from cassiahill import request_queue
from cassiahill.catalog import Consistency, GroupLimits, Route
from cassiahill.server_group import ServerGroup
from cassiahill.session_executor import SessionExecutor
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Access, Code, Run
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.stepped_loop import SteppedLoop

PROXIES = 8
SLOTS = 3
SECONDS = 12.0
BURST = (3.0, 8.0)  # Start and end, in seconds.


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes
    ----------
    name : str
    consistency : Consistency
    per_s : float
    work : float
        Mean time in a slot, in seconds.
    aim, timeout : float
        Seconds.
    writes : float
        Share of writes.
    burst : float
        Factor of its rate during the burst.
    priority : int
    """

    name: str
    consistency: Consistency
    per_s: float
    work: float
    aim: float
    timeout: float
    writes: float
    burst: float
    priority: int


# One group of Safeplate's sheet, with a burst of lookups and one of filings.
KINDS = (
    Kind("filing", Consistency.PRIMARY, 25.0, 0.006, 0.15, 0.8, 0.35, 3.0, 0),
    Kind("amendment", Consistency.OWN_WRITES, 110.0, 0.018, 0.25, 0.8, 0.12, 1.0, 1),
    Kind("lookup", Consistency.BOUNDED, 25.0, 0.030, 1.0, 2.0, 0.0, 7.0, 2),
)


@attrs.define
class Outcome:
    """What the callers of one kind got."""

    in_aim: int = 0
    late: int = 0
    refused_early: int = 0
    refused_late: int = 0
    failed: int = 0

    @property
    def total(self):
        """Number of requests."""
        return sum(attrs.astuple(self))

    @property
    def share_in_aim(self):
        """Share of requests answered inside their aim."""
        return self.in_aim / self.total


class Load:
    """One run: requests arrive at random proxies; results by kind."""

    def __init__(self, seed, lagging=(), kinds=KINDS):
        self.rng = random.Random(seed)
        self.loop = SteppedLoop()
        self.servers = InMemoryGroup(self.loop)
        self.kinds = kinds
        self.outcomes_by_kind = collections.defaultdict(Outcome)
        self._work_by_request = {}
        for server in self.servers.by_id.values():
            server.seconds = 0.001
            server.free_at = [0.0] * SLOTS
            server.work_seconds = lambda request_id: self._work_by_request[request_id]
            server.lagging = server.server_id in lagging
            server.limit = 23
        self.groups = [self._proxy(number) for number in range(PROXIES)]
        self.loop.advance(2.0)

    def _proxy(self, number):
        group = ServerGroup(
            self.loop,
            InMemoryDialect(),
            "orders",
            f"proxy-{number}",
            f"domain-{'abc'[number % 3]}",
            {}.get,
            self.servers.connect,
        )
        group.active = True
        group.set_limits(GroupLimits("orders", 23, True), PROXIES)
        for server_id in self.servers.by_id:
            server = self.servers.registered(server_id, slots=SLOTS)
            group.put_server(server, None)
        return group

    def play(self):
        """Play all kinds and return the outcomes by the name of the kind."""
        start = self.loop.clock.now()
        for kind in self.kinds:
            at = 0.0
            while at < SECONDS:
                factor = kind.burst if BURST[0] <= at < BURST[1] else 1.0
                at += self.rng.expovariate(kind.per_s * factor)
                self.loop.call_at(start + at, lambda kind=kind: self._arrive(kind))
        self.loop.advance(SECONDS + 4.0)
        return dict(self.outcomes_by_kind)

    def _arrive(self, kind):
        now = self.loop.clock.now()
        request_id = f"request-{len(self._work_by_request)}"
        self._work_by_request[request_id] = kind.work * self.rng.lognormvariate(
            -0.2, 0.6
        )
        route = Route(
            "shop",
            "orders",
            kind.consistency,
            1.5,
            kind.timeout,
            kind.aim,
            kind.priority,
        )
        access = Access.WRITE if self.rng.random() < kind.writes else Access.READ
        job = SessionRequest(
            request_id, Run(access, "item"), None, access, now, now + kind.timeout
        )
        group = self.rng.choice(self.groups)
        work = SessionExecutor(self.loop, group, route, SessionState())
        future = self.loop.spawn(work.run(job))
        self.loop.when_done(future, lambda done: self._ended(kind, job, done.result()))

    def _ended(self, kind, job, reply):
        seconds = self.loop.clock.now() - job.arrived_at
        outcome = self.outcomes_by_kind[kind.name]
        if reply.code is None:
            field = "in_aim" if seconds <= kind.aim else "late"
        elif reply.code is Code.BUSY:
            # A request that a server itself has refused was not held here in vain.
            offered = job.request_id in self.servers.offered
            early = offered or seconds <= kind.timeout / 2
            field = "refused_early" if early else "refused_late"
        else:
            field = "failed"
        setattr(outcome, field, getattr(outcome, field) + 1)


def first_come(kinds):
    """Return the kinds with one priority for all."""
    return tuple(attrs.evolve(kind, priority=0) for kind in kinds)


def ignore_targets():
    """Let requests of one priority go in the order in which they came."""
    return mock.patch.object(request_queue.RequestQueue, "mark_late", lambda *_: None)


def main():
    """Print the four policies, with two replicas that do not apply."""
    share = request_queue.WAIT_SHARE
    policies = (
        ("first come, first served", first_come(KINDS), share, ignore_targets),
        ("priority, held to the end", KINDS, 1.0, ignore_targets),
        ("priority, refused early", KINDS, share, ignore_targets),
        ("and those in target first", KINDS, share, contextlib.nullcontext),
    )
    print("policy, kind: in aim, late, refused early, refused late, failed")
    for name, kinds, wait_share, targets in policies:
        with mock.patch.object(request_queue, "WAIT_SHARE", wait_share), targets():
            outcomes = Load(1, lagging=("b", "c"), kinds=kinds).play()
        for kind in kinds:
            one = outcomes[kind.name]
            shares = [count / one.total for count in attrs.astuple(one)]
            figures = "  ".join(f"{share:6.3f}" for share in shares)
            print(f"{name:26} {kind.name:10} {figures}")


if __name__ == "__main__":
    main()
