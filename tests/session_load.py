"""Simulates heavy load on proxies and one group in memory, in virtual time.

``python -m tests.session_load`` prints the results of callers under four policies.
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
from cassiahill.session_fleet import HEARTBEAT_INTERVAL_SECONDS
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Access, Code, Run
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.stepped_loop import SteppedLoop

PROXY_COUNT = 8
SLOTS_PER_SERVER = 3
DURATION_SECONDS = 12.0
BURST_PERIOD_SECONDS = (3.0, 8.0)  # Start and end.


@attrs.frozen
class RequestKind:
    """Load and service targets of one kind of request.

    Attributes
    ----------
    name : str
    consistency : Consistency
    requests_per_second : float
        Rate outside the burst.
    mean_slot_seconds : float
        Mean time in a slot of a server.
    target_seconds, timeout_seconds : float
        Latency target and time-out.
    write_share : float
        Fraction of writes among the requests.
    burst_factor : float
        Factor of the rate during the burst.
    priority : int
        0 is the most urgent.
    """

    name: str
    consistency: Consistency
    requests_per_second: float
    mean_slot_seconds: float
    target_seconds: float
    timeout_seconds: float
    write_share: float
    burst_factor: float
    priority: int


# Rates of one group of the Safeplate deployment, with bursts of lookups and of filings.
REQUEST_KINDS = (
    RequestKind("filing", Consistency.PRIMARY, 25.0, 0.006, 0.15, 0.8, 0.35, 3.0, 0),
    RequestKind(
        "amendment", Consistency.OWN_WRITES, 110.0, 0.018, 0.25, 0.8, 0.12, 1.0, 1
    ),
    RequestKind("lookup", Consistency.BOUNDED, 25.0, 0.030, 1.0, 2.0, 0.0, 7.0, 2),
)


@attrs.define
class Outcome:
    """Number of requests of one kind by result."""

    on_target: int = 0
    late: int = 0
    refused_early: int = 0
    refused_late: int = 0
    failed: int = 0

    @property
    def total(self):
        """Number of requests."""
        return sum(attrs.astuple(self))

    @property
    def share_on_target(self):
        """Fraction of the requests that were answered within their target."""
        return self.on_target / self.total


class LoadSimulation:
    """One simulation in which requests arrive at random proxies.

    Parameters
    ----------
    seed : int
    lagging : iterable of str
        Ids of the replicas that do not apply the log.
    kinds : iterable of RequestKind
    proxy_weights : sequence of int or None
        Weight of each proxy in the choice of where a request arrives; None for equal.
    shares_demand : bool
        Whether the proxies learn the demand of all at each heartbeat.
    """

    def __init__(
        self,
        seed,
        lagging=(),
        kinds=REQUEST_KINDS,
        proxy_weights=None,
        shares_demand=False,
    ):
        self.random_source = random.Random(seed)
        self.loop = SteppedLoop()
        self.servers = InMemoryGroup(self.loop)
        self.kinds = kinds
        self.proxy_weights = proxy_weights
        self.outcomes_by_kind = collections.defaultdict(Outcome)
        # Seconds until each refusal, by the name of the kind.
        self.refusal_seconds_by_kind = collections.defaultdict(list)
        self._slot_seconds_by_request = {}
        for server in self.servers.by_id.values():
            server.seconds = 0.001
            server.slots_free_at = [0.0] * SLOTS_PER_SERVER
            server.slot_seconds = lambda request_id: self._slot_seconds_by_request[
                request_id
            ]
            server.lagging = server.server_id in lagging
            server.limit = 23
        self.groups = [self._make_group(number) for number in range(PROXY_COUNT)]
        if shares_demand:
            self._share_demand()
        self.loop.advance(2.0)

    def _share_demand(self):
        """Tell each proxy the demand of all, and repeat it."""
        now = self.loop.clock.now()
        total_demand = sum(group.slot_share.demand for group in self.groups)
        for group in self.groups:
            group.slot_share.record_total(total_demand, now)
        self.loop.call_at(now + HEARTBEAT_INTERVAL_SECONDS, self._share_demand)

    def _make_group(self, number):
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
        group.set_limits(GroupLimits("orders", 23, True), PROXY_COUNT)
        for server_id in self.servers.by_id:
            server = self.servers.registered(server_id, slots=SLOTS_PER_SERVER)
            group.put_server(server, None)
        return group

    def run(self):
        """Simulate all requests; return the ``Outcome`` by the name of the kind."""
        started_at = self.loop.clock.now()
        for kind in self.kinds:
            offset = 0.0
            while offset < DURATION_SECONDS:
                factor = (
                    kind.burst_factor
                    if BURST_PERIOD_SECONDS[0] <= offset < BURST_PERIOD_SECONDS[1]
                    else 1.0
                )
                offset += self.random_source.expovariate(
                    kind.requests_per_second * factor
                )
                self.loop.call_at(
                    started_at + offset, lambda kind=kind: self._start_request(kind)
                )
        self.loop.advance(DURATION_SECONDS + 4.0)
        return dict(self.outcomes_by_kind)

    def _start_request(self, kind):
        now = self.loop.clock.now()
        request_id = f"request-{len(self._slot_seconds_by_request)}"
        self._slot_seconds_by_request[request_id] = (
            kind.mean_slot_seconds * self.random_source.lognormvariate(-0.2, 0.6)
        )
        route = Route(
            "shop",
            "orders",
            kind.consistency,
            1.5,
            kind.timeout_seconds,
            kind.target_seconds,
            kind.priority,
        )
        access = (
            Access.WRITE
            if self.random_source.random() < kind.write_share
            else Access.READ
        )
        request = SessionRequest(
            request_id,
            Run(access, "item"),
            None,
            access,
            now,
            now + kind.timeout_seconds,
        )
        (group,) = self.random_source.choices(self.groups, self.proxy_weights)
        session = SessionExecutor(self.loop, group, route, SessionState())
        future = self.loop.spawn(session.run(request))
        self.loop.when_done(
            future, lambda done: self._record_outcome(kind, request, done.result())
        )

    def _record_outcome(self, kind, request, reply):
        seconds = self.loop.clock.now() - request.arrived_at
        outcome = self.outcomes_by_kind[kind.name]
        if reply.code is None:
            field = "on_target" if seconds <= kind.target_seconds else "late"
        elif reply.code is Code.BUSY:
            self.refusal_seconds_by_kind[kind.name].append(seconds)
            # A request that a server has refused counts as refused early, because it
            # did not only wait in the proxy.
            reached_server = request.request_id in self.servers.offered
            early = reached_server or seconds <= kind.timeout_seconds / 2
            field = "refused_early" if early else "refused_late"
        else:
            field = "failed"
        setattr(outcome, field, getattr(outcome, field) + 1)


def with_equal_priority(kinds):
    """Return the kinds with the same priority for all."""
    return tuple(attrs.evolve(kind, priority=0) for kind in kinds)


def with_steady_rates(kinds, factor, target_factor=1.0):
    """Return the kinds without bursts, with other rates and latency targets."""
    return tuple(
        attrs.evolve(
            kind,
            requests_per_second=kind.requests_per_second * factor,
            target_seconds=kind.target_seconds * target_factor,
            burst_factor=1.0,
        )
        for kind in kinds
    )


def without_target_order():
    """Return a patch by which requests of one priority are served by arrival only."""
    return mock.patch.object(request_queue.RequestQueue, "mark_late", lambda *_: None)


def main():
    """Print the results under four policies, with two replicas that do not apply."""
    max_wait_share = request_queue.MAX_WAIT_SHARE
    policies = (
        (
            "first come, first served",
            with_equal_priority(REQUEST_KINDS),
            max_wait_share,
            without_target_order,
        ),
        ("priority, held to the end", REQUEST_KINDS, 1.0, without_target_order),
        (
            "priority, refused early",
            REQUEST_KINDS,
            max_wait_share,
            without_target_order,
        ),
        (
            "and those in target first",
            REQUEST_KINDS,
            max_wait_share,
            contextlib.nullcontext,
        ),
    )
    print("policy, kind: in aim, late, refused early, refused late, failed")
    for name, kinds, wait_share, patch in policies:
        with mock.patch.object(request_queue, "MAX_WAIT_SHARE", wait_share), patch():
            outcomes = LoadSimulation(1, lagging=("b", "c"), kinds=kinds).run()
        for kind in kinds:
            outcome = outcomes[kind.name]
            shares = [count / outcome.total for count in attrs.astuple(outcome)]
            figures = "  ".join(f"{share:6.3f}" for share in shares)
            print(f"{name:26} {kind.name:10} {figures}")


if __name__ == "__main__":
    main()
