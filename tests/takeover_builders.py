"""Builders of a group in memory whose primary is taken over."""

import itertools
import unittest

from cassiahill import takeover
from cassiahill.loop import completed_future
from cassiahill.promotion_orders import OrderResult, PromotionOrders
from cassiahill.statements import Access, Run
from cassiahill.successor_nearness import Nearness
from tests.promotion_builders import without_predecessor
from tests.session_builders import GroupFixture


class RecordingOrders(PromotionOrders):
    """Records promotion orders, and carries out those that it accepts.

    Parameters
    ----------
    fixture : GroupFixture
    results : iterable of OrderResult
        Results of the first orders; later orders are accepted.
    """

    def __init__(self, fixture, results=()):
        self._fixture = fixture
        self._results = list(results)
        self.promotions = []

    def promote(self, group, server_id, token):
        self.promotions.append((server_id, token))
        result = self._results.pop(0) if self._results else OrderResult.ACCEPTED
        is_primary = server_id == self._fixture.servers.primary
        if result is OrderResult.ACCEPTED and not is_primary:
            self._fixture.servers.promote(server_id)
        return completed_future(result)


class TakeoverTestCase(unittest.TestCase):
    """A group, the takeover of its promoter, and steps that several tests take."""

    def set_up_group(self, results=(), evidence=None, **deployment):
        """Create a group and its takeover; ``results`` are those of the orders."""
        self.fixture = GroupFixture(**deployment)
        self.orders = RecordingOrders(self.fixture, results)
        self.tokens = itertools.count(1)
        self.resigned_at = []
        self.is_promoter = True
        self.store_answers = True
        group_takeover = takeover.Takeover(
            self.fixture.loop,
            self.fixture.group,
            self.orders,
            lambda: next(self.tokens),
            self.confirm_promoter,
            lambda: self.resigned_at.append(self.fixture.loop.clock.now()),
            self.nearness,
            evidence,
        )
        self.takeover = without_predecessor(group_takeover)
        self.near_domain = None
        self.former_domains = set()

    def confirm_promoter(self, strictly=False):
        """Return the future of whether this process is the promoter."""
        answers = self.store_answers or not strictly
        return completed_future(self.is_promoter and answers)

    def nearness(self, domain, former_domain):
        """Return the nearness of a replica; one domain may be used the most."""
        self.former_domains.add(former_domain)
        return Nearness(region_demand_steps=int(domain == self.near_domain))

    def run_for(self, seconds):
        """Advance the time; the promoter looks at the symptoms every 50 ms."""
        for _ in range(int(seconds / 0.05)):
            now = self.fixture.loop.clock.now()
            self.takeover.start_if_needed(self.fixture.group.primary_symptoms(now))
            self.fixture.loop.advance(0.05)

    def write_and_run(self, seconds):
        """Write every 0.2 s while the promoter looks at the symptoms."""
        for _ in range(int(seconds / 0.2)):
            request = self.fixture.make_request(Run(Access.WRITE, "more"), Access.WRITE)
            self.fixture.loop.spawn(self.fixture.session().run(request))
            self.run_for(0.2)

    def isolate_primary(self):
        """Stop replication from the primary, and start writes that get no answer."""
        for server_id in ("b", "c"):
            self.fixture.servers.by_id[server_id].not_receiving = True
        self.fixture.write(self.fixture.session())
        for number in range(3):
            request = self.fixture.make_request(
                Run(Access.WRITE, f"stuck {number}"), Access.WRITE
            )
            self.fixture.loop.spawn(self.fixture.session().run(request))

    def drain_primary(self):
        """Let the primary report that it drains."""
        servers = self.fixture.servers
        draining = servers.registered("a", draining=True)
        self.fixture.group.put_server(draining, servers.registered("a"))

    def lose_primary_with_a_replica_behind(self):
        """Let ``b`` receive nothing, lose ``a`` and make ``c`` the primary."""
        servers = self.fixture.servers
        self.run_for(0.5)
        servers.by_id["b"].not_receiving = True
        for _ in range(3):
            self.assertIsNone(self.fixture.write(self.fixture.session()).code)
        servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.fixture.group.primary.server_id, "c")

    def assert_nothing_acknowledged_is_lost(self):
        """Check that no promotion lost a commit that the last primary had."""
        servers = self.fixture.servers
        log = servers.by_id[servers.primary].log
        self.assertLessEqual(set(servers.acknowledged), set(log))
