"""Builders of a group that one process serves while another one promotes."""

import itertools

from cassiahill import takeover
from cassiahill.catalog import GroupLimits
from cassiahill.heartbeat_reports import HeartbeatReports
from cassiahill.heartbeats import Member
from cassiahill.loop import completed_future
from cassiahill.promoter_election import PROMOTER_NAME, PromoterElection
from cassiahill.promotion_evidence import PromotionEvidence
from cassiahill.promotion_orders import OrderResult, PromotionOrders
from cassiahill.server_group import ServerGroup
from cassiahill.shared_store import MemorySharedStore, StoredObject
from cassiahill.statements import Access, Run
from tests.line_group import InMemoryDialect
from tests.session_builders import GroupFixture

EFFECT_SECONDS = 1.0  # Time from an accepted order to the new primary.


class MemoryPlatform(PromotionOrders):
    """Carries promotion orders out as the platform does: fenced, and after a while.

    Attributes
    ----------
    orders : list of tuple
        Server id and token of each order.
    unanswered_count : int
        Number of next orders that are neither answered nor carried out yet.
    """

    def __init__(self, fixture):
        self._fixture = fixture
        self._seen_token = 0
        self._late_orders = []
        self.orders = []
        self.unanswered_count = 0

    @property
    def promoted_ids(self):
        """Ids of the servers of all orders."""
        return [server_id for server_id, _ in self.orders]

    def promote(self, group, server_id, token):
        self.orders.append((server_id, token))
        if self.unanswered_count:
            self.unanswered_count -= 1
            self._late_orders.append((server_id, token))
            return completed_future(OrderResult.UNANSWERED)
        return completed_future(self._carry_out(server_id, token))

    def use_token(self, token):
        """Let another promoter use a fencing token."""
        self._seen_token = token

    def carry_out_late_orders(self):
        """Carry out the orders that were not answered, if their tokens still hold."""
        late_orders, self._late_orders = self._late_orders, []
        for server_id, token in late_orders:
            self._carry_out(server_id, token)

    def _carry_out(self, server_id, token):
        if token < self._seen_token:
            return OrderResult.REFUSED
        self._seen_token = token
        if self._fixture.servers.by_id[server_id].unreachable:
            return OrderResult.REFUSED
        if server_id != self._fixture.servers.primary:
            loop = self._fixture.loop
            loop.call_at(
                loop.clock.now() + EFFECT_SECONDS, lambda: self._take_effect(server_id)
            )
        return OrderResult.ACCEPTED

    def _take_effect(self, server_id):
        if self._fixture.servers.primary != server_id:
            self._fixture.servers.promote(server_id)


class AnsweringMembers:
    """Members that answer a notice of a promotion with given futures, by name.

    Attributes
    ----------
    election : promoter_election.PromoterElection
    asked_names : set of str
        Names of the members that the last notice was for.
    """

    def __init__(self, futures_by_name, election):
        self._futures_by_name = futures_by_name
        self.election = election
        self.asked_names = set()
        self.reports = HeartbeatReports()

    def other_members(self, names):
        self.asked_names = names
        return [
            Member(name, (name, 1), (name, 2), "domain-a")
            for name in self._futures_by_name
        ]

    def ask_about_promotion(self, member, _notice, _deadline):
        return (yield self._futures_by_name[member.name])


def promoter_of_term(loop, revision):
    """Return the ``PromoterElection`` of a promoter with a term's revision.

    The store does not answer it.
    """
    store = MemorySharedStore()
    store.available = False
    election = PromoterElection(loop, store, "proxies", "proxy-2", lambda: {})
    election._accept_own_claim(
        StoredObject(PROMOTER_NAME, revision, election._own_document())
    )
    return election


class KnownToOthers(PromotionEvidence):
    """What the store and the process that serves the clients know.

    The store lists the servers that run.

    Attributes
    ----------
    others_are_reachable : bool
        Whether the other process answers the promoter.
    """

    def __init__(self, promoter):
        self._promoter = promoter
        self.others_are_reachable = True

    def update_servers(self):
        known_ids = set(self._promoter.group.pools_by_id)
        for server_id, server in self._promoter.servers.items():
            if server_id not in known_ids and not server.unreachable:
                self._promoter.register(server_id)
        return completed_future(True)

    def ask_about_promotion(self, group, successor):
        if not self.others_are_reachable:
            return completed_future([])
        position = self._promoter.fixture.group.acknowledged_commits.position
        return completed_future([] if position is None else [position])


def without_predecessor(group_takeover):
    """Return the takeover of a process that has been the promoter for long."""
    group_takeover._promotions.record_first_promoter()
    return group_takeover


class PromoterFixture:
    """A promoter beside the process that serves the clients; ``a`` is the primary.

    Attributes
    ----------
    fixture : GroupFixture
        The process that serves the clients, and the group in memory.
    group : server_group.ServerGroup
        What the promoter knows of the group.
    platform : MemoryPlatform
    evidence : KnownToOthers
    promised : list of LogPosition
        Commits of which clients were told.
    """

    def __init__(self):
        self.fixture = GroupFixture()
        self.fixture.group.start_proving_commits()
        # By a promoter before those of the tests.
        now = self.fixture.loop.clock.now()
        self.fixture.group.commit_witnesses.record_statement(
            list(self.servers), now, now
        )
        self.platform = MemoryPlatform(self.fixture)
        self.evidence = KnownToOthers(self)
        self.promised = []
        self._tokens = itertools.count(1)
        self.group = None
        self._takeover = None
        self._confirmed_at = float("-inf")

    @property
    def servers(self):
        """The servers in memory, by id."""
        return self.fixture.servers.by_id

    @property
    def lost_commits(self):
        """Commits of which clients were told and that the primary's log lacks."""
        servers = self.fixture.servers
        log = servers.by_id[servers.primary].log
        return [position for position in self.promised if position not in log]

    def start_promoter(self, server_ids):
        """Start a promoter that finds these servers in the list of servers.

        A second one follows the first, which does nothing more.
        """
        follows_other = self.group is not None
        if follows_other:
            self.group.close()
        fixture = self.fixture
        self.group = ServerGroup(
            fixture.loop,
            InMemoryDialect(),
            "orders",
            "proxy-2",
            "domain-b",
            lambda _server_id: None,
            fixture.servers.connect,
        )
        self.group.active = True
        self.group.set_limits(GroupLimits("orders", 20, True), 1)
        for server_id in server_ids:
            self.register(server_id)
        group_takeover = takeover.Takeover(
            fixture.loop,
            self.group,
            self.platform,
            lambda: next(self._tokens),
            lambda strictly=False: completed_future(True),
            lambda: None,
            evidence=self.evidence,
        )
        if not follows_other:
            group_takeover = without_predecessor(group_takeover)
        self._takeover = group_takeover

    def register(self, server_id, **changes):
        """Let the promoter learn of a server's entry."""
        pool = self.group.pools_by_id.get(server_id)
        previous = None if pool is None else pool.server
        entry = self.fixture.servers.registered(server_id, **changes)
        self.group.put_server(entry, previous)

    def write(self, count=1):
        """Let the other process write; the commits are acknowledged or not."""
        for _ in range(count):
            request = self.fixture.make_request(Run(Access.WRITE, "w"), Access.WRITE)
            reply = self.fixture.loop.spawn(self.fixture.session().run(request))
            self.fixture.loop.when_done(reply, self._record_reply)
            self.fixture.loop.advance(0.05)

    def _record_reply(self, future):
        reply = future.result()
        if reply.code is None:
            self.promised.append(reply.position)

    def run_for(self, seconds):
        """Advance the time; the promoter looks at the symptoms every 50 ms."""
        for _ in range(round(seconds / 0.05)):
            now = self.fixture.loop.clock.now()
            self._takeover.start_if_needed(self.group.primary_symptoms(now))
            if self._takeover._confirm_promoter().result():
                self._confirmed_at = now
            if self.evidence.others_are_reachable and self._takeover.is_idle:
                self.fixture.group.commit_witnesses.record_statement(
                    list(self.group.pools_by_id), self._confirmed_at, now
                )
            self.fixture.loop.advance(0.05)
