"""Simulates the tenants of one group at its six owners, in virtual time.

``python -m tests.tenant_load`` compares pools with the constants and owners of a
deployment without tenants against those with tenants, on a calm day and in one tenant's
flood.
"""

import collections
import contextlib
import random
import sys
from unittest import mock

import attrs

from cassiahill import connection_quotas, group_owners, server_pool, tenant_routing
from cassiahill.catalog import Consistency, GroupLimits, Route
from cassiahill.server_group import ServerGroup
from cassiahill.session_executor import SessionExecutor, Transaction
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Access, Code, Commit, Run
from cassiahill.tenants import Tenant, TenantDirectory
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.stepped_loop import SteppedLoop

TENANT_COUNT = 79
RANK_EXPONENT = 1.2
HOST_COUNT = 74
DOMAINS = ("domain-a", "domain-b", "domain-c")
CONNECTION_LIMIT = 56
SLOTS = 4
OPENING_SECONDS = 0.012
WARM_UP_SECONDS = 30.0
MAX_STATEMENTS = 12
MEAN_PAUSE_SECONDS = 0.04
FLOOD_FACTOR = 7.5
FLOOD_PERIOD_SECONDS = (5.0, 15.0)  # After the warm-up.
RATE_MARGIN = 2.0  # A tenant's limit, as a multiple of its usual rate.


@attrs.frozen
class RequestKind:
    """Load and targets of the requests of one route at one group.

    Attributes
    ----------
    route : catalog.Route
    requests_per_second : float
    mean_slot_seconds : float
    write_share, transaction_share : float
    """

    route: Route
    requests_per_second: float
    mean_slot_seconds: float
    write_share: float
    transaction_share: float


REQUEST_KINDS = (
    RequestKind(
        Route("ride", "orders", Consistency.PRIMARY, 1.0, 1.24, 0.155, 0),
        18.0,
        0.0045,
        0.35,
        0.40,
    ),
    RequestKind(
        Route("ward", "orders", Consistency.OWN_WRITES, 2.5, 1.224, 0.255, 1),
        85.0,
        0.014,
        0.12,
        0.12,
    ),
    RequestKind(
        Route("crew", "orders", Consistency.BOUNDED, 1.5, 4.025, 0.805, 2),
        31.5,
        0.022,
        0.0,
        0.10,
    ),
)


def shares_by_tenant():
    """Return each tenant's share of the load."""
    weights = [rank**-RANK_EXPONENT for rank in range(1, TENANT_COUNT + 1)]
    return {
        f"tenant-{rank}": weight / sum(weights)
        for rank, weight in enumerate(weights, 1)
    }


def make_directory(requests_per_second):
    """Return the tenants with their limits for a sum of usual rates."""
    return TenantDirectory.from_tenants(
        Tenant(name, frozenset(), RATE_MARGIN * requests_per_second * share)
        for name, share in shares_by_tenant().items()
    )


@attrs.define
class TenantOutcome:
    """What one tenant's requests met after the warm-up.

    Attributes
    ----------
    on_target, late, refused, failed : int
        Numbers of requests by result.
    wait_seconds : list of float
        Time from each single request's arrival to its answer, less the work.
    """

    on_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    wait_seconds: list = attrs.field(factory=list)

    @property
    def total(self):
        """Number of requests."""
        return self.on_target + self.late + self.refused + self.failed


class TenantLoad:
    """One simulation of the group.

    Parameters
    ----------
    seed : int
    one_owner : bool
        Whether a small tenant's sessions go to one owner, else to all.
    flooding_tenant : str or None
    seconds : float
        Time after the warm-up.
    """

    def __init__(self, seed, one_owner=True, flooding_tenant=None, seconds=60.0):
        self._random = random.Random(seed)
        self._flooding_tenant = flooding_tenant
        self._seconds = seconds
        self.loop = SteppedLoop()
        self.servers = InMemoryGroup(self.loop)
        self.outcomes_by_tenant = collections.defaultdict(TenantOutcome)
        self._slot_seconds_by_request = {}
        self._tenants_by_request = {}
        self._started_at = 0.0
        for server in self.servers.by_id.values():
            server.seconds = 0.001
            server.slots_free_at = [0.0] * SLOTS
            server.slot_seconds = self._slot_seconds_by_request.get
            server.opening_seconds = OPENING_SECONDS
            server.limit = CONNECTION_LIMIT
        rate = sum(kind.requests_per_second for kind in REQUEST_KINDS)
        self.directory = make_directory(rate)
        domains_by_name = {
            f"host-{number}": DOMAINS[number % len(DOMAINS)]
            for number in range(HOST_COUNT)
        }
        owners = group_owners.choose_owners("orders", domains_by_name, CONNECTION_LIMIT)
        tenant_owners = tenant_routing.TenantOwners.choose(
            "orders", owners, self.directory
        )
        self.groups_by_owner = {
            name: self._make_group(name, domain, owners.connected_proxy_count)
            for domain, names in owners.owner_names_by_domain.items()
            for name in names
        }
        self._owner_by_tenant = {
            tenant: tenant_owners.owner_names(tenant, DOMAINS[0])[0]
            for tenant in self.directory.by_name
            if one_owner and tenant_owners.has_own_owner(tenant)
        }

    def _make_group(self, name, domain, owner_count):
        group = ServerGroup(
            self.loop,
            InMemoryDialect(),
            "orders",
            name,
            domain,
            {}.get,
            self.servers.connect,
        )
        group.active = True
        limits = GroupLimits("orders", CONNECTION_LIMIT, True)
        group.set_limits(limits, owner_count, self.directory)
        for server_id in self.servers.by_id:
            group.put_server(self.servers.registered(server_id, slots=SLOTS), None)
        return group

    def run(self):
        """Simulate all requests; return the connections opened after the warm-up."""
        self._share_demand()
        self.loop.advance(2.0)
        self._started_at = self.loop.clock.now() + WARM_UP_SECONDS
        for kind in REQUEST_KINDS:
            for tenant, share in shares_by_tenant().items():
                self._schedule_requests(kind, tenant, kind.requests_per_second * share)
        self.loop.advance(WARM_UP_SECONDS)
        opened_before = self.counts("opened")
        self.loop.advance(self._seconds)
        opened_count = self.counts("opened") - opened_before
        self.loop.advance(5.0)
        return opened_count

    def _share_demand(self):
        """Tell each owner the demand of all, as heartbeats do, and repeat it."""
        now = self.loop.clock.now()
        shares = [group.slot_share for group in self.groups_by_owner.values()]
        total_demand = sum(share.demand for share in shares)
        for share in shares:
            share.record_total(total_demand, now)
        self.loop.call_at(now + 0.4, self._share_demand)

    def _schedule_requests(self, kind, tenant, requests_per_second):
        offset = -WARM_UP_SECONDS
        while offset < self._seconds:
            flood_starts, flood_ends = FLOOD_PERIOD_SECONDS
            is_flood = (
                tenant == self._flooding_tenant and flood_starts <= offset < flood_ends
            )
            rate = requests_per_second * (FLOOD_FACTOR if is_flood else 1.0)
            # A step of the usual rate ends when the flood begins.
            offset += min(
                self._random.expovariate(rate),
                flood_starts - offset
                if tenant == self._flooding_tenant and offset < flood_starts
                else float("inf"),
            )
            self.loop.call_at(
                self._started_at + offset,
                lambda: self.loop.spawn(self._run_request(kind, tenant)),
            )

    def counts(self, name):
        """Return a sum over the owners' ``ConnectionCounts``."""
        return sum(
            getattr(group.servers.connection_counts, name)
            for group in self.groups_by_owner.values()
        )

    def wrong_tenant_count(self):
        """Return how many statements ran on another tenant's connection."""
        return sum(
            connection.caller != self._tenants_by_request[request_id]
            for request_id, _, _, _, connection in self.servers.ran
            if request_id is not None
        )

    def _run_request(self, kind, tenant):
        """Run one request of a tenant, a single statement or a transaction; a task."""
        owner = self._owner_by_tenant.get(tenant)
        group = self.groups_by_owner[
            owner or self._random.choice(sorted(self.groups_by_owner))
        ]
        session = SessionExecutor(
            self.loop, group, kind.route, SessionState(), tenant=tenant
        )
        writes = self._random.random() < kind.write_share
        if self._random.random() < kind.transaction_share:
            yield from self._run_transaction(session, kind, tenant, writes)
            return
        access = Access.WRITE if writes else Access.READ
        request = self._make_request(kind, tenant, Run(access, "item"), access)
        reply = yield self.loop.spawn(session.run(request))
        self._record_outcome(kind, tenant, request, reply)

    def _run_transaction(self, session, kind, tenant, writes):
        read_only = not writes and kind.route.consistency is not Consistency.PRIMARY
        transaction = Transaction(read_only, self.loop.clock.now())
        for _ in range(self._random.randint(1, MAX_STATEMENTS)):
            access = Access.WRITE if writes else Access.READ
            request = self._make_request(kind, tenant, Run(access, "item"), access)
            reply = yield self.loop.spawn(
                session.run_in_transaction(transaction, request)
            )
            self._record_outcome(kind, tenant, request, reply)
            if reply.code is not None:
                session.roll_back(transaction)
                return
            pause = self._random.expovariate(1.0 / MEAN_PAUSE_SECONDS)
            yield self.loop.sleep_until(self.loop.clock.now() + pause)
        request = self._make_request(kind, tenant, Commit(), None)
        yield self.loop.spawn(session.run_in_transaction(transaction, request))

    def _make_request(self, kind, tenant, statement, access):
        request_id = f"request-{len(self._slot_seconds_by_request)}"
        self._slot_seconds_by_request[request_id] = (
            kind.mean_slot_seconds * self._random.lognormvariate(-0.2, 0.6)
        )
        self._tenants_by_request[request_id] = tenant
        now = self.loop.clock.now()
        deadline = now + kind.route.timeout
        return SessionRequest(request_id, statement, None, access, now, deadline)

    def _record_outcome(self, kind, tenant, request, reply):
        if request.arrived_at < self._started_at:
            return
        outcome = self.outcomes_by_tenant[tenant]
        seconds = self.loop.clock.now() - request.arrived_at
        if reply.code is Code.BUSY:
            outcome.refused += 1
        elif reply.code is not None:
            outcome.failed += 1
        elif seconds <= kind.route.target:
            outcome.on_target += 1
        else:
            outcome.late += 1
        work_seconds = self._slot_seconds_by_request[request.request_id]
        outcome.wait_seconds.append(max(0.0, seconds - work_seconds))


@contextlib.contextmanager
def without_tenant_limits():
    """Use quota and idle time-outs of a deployment without tenants."""
    with contextlib.ExitStack() as patches:
        for module, name, value in (
            (server_pool, "TENANT_IDLE_TIMEOUT_SECONDS", 4.0),
            (server_pool, "TENANT_OVER_QUOTA_IDLE_SECONDS", 0.25),
            (connection_quotas, "TENANT_QUOTA_SHARE", 0.5),
            (connection_quotas, "TENANT_LIMIT_SHARE", 1.5),
        ):
            patches.enter_context(mock.patch.object(module, name, value))
        patches.enter_context(
            mock.patch.object(
                server_pool.ServerPool, "_give_up_idle_connection", lambda *_: None
            )
        )
        yield


def describe(outcomes):
    """Return requests, shares and waits of some outcomes as one line."""
    outcomes = list(outcomes)
    total = sum(outcome.total for outcome in outcomes)
    waits = sorted(wait for outcome in outcomes for wait in outcome.wait_seconds)
    on_target = sum(outcome.on_target for outcome in outcomes) / total
    refused = sum(outcome.refused for outcome in outcomes) / total
    mean_ms = 1000.0 * sum(waits) / len(waits)
    p99_ms = 1000.0 * waits[int(0.99 * len(waits))]
    return f"{total:7} {on_target:9.4f} {refused:8.4f} {mean_ms:8.1f} {p99_ms:7.1f}"


def main(seed=1):
    """Print both ways, on a calm day and in a flood of a large and a middle tenant."""
    print("way, load, tenants: requests, on target, refused, mean and p99 wait in ms;")
    print("connections opened a second, refused, given up since the start")
    for flooding_tenant in (None, "tenant-1", "tenant-4"):
        for way, patch, one_owner in (
            ("without", without_tenant_limits, False),
            ("with", contextlib.nullcontext, True),
        ):
            with patch():
                load = TenantLoad(seed, one_owner, flooding_tenant)
                opened_count = load.run()
            rate = opened_count / 60.0
            print(
                f"{way:8} {flooding_tenant or 'calm':9}"
                f" opened/s {rate:5.2f} refused {load.counts('refused'):5}"
                f" given up {load.counts('given_up'):5}"
            )
            others = [
                outcome
                for tenant, outcome in load.outcomes_by_tenant.items()
                if tenant != flooding_tenant
            ]
            print(f"    others  {describe(others)}")
            if flooding_tenant:
                flooding = load.outcomes_by_tenant[flooding_tenant]
                print(f"    flooding{describe([flooding])}")


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
