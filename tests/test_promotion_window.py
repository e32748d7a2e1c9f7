"""Tests of ``cassiahill.promotion_window``: what happens between order and effect."""

import unittest

from cassiahill.statements import Access, Code, Run
from tests.line_group import InMemoryServer
from tests.promotion_builders import PromoterFixture


class PromotionWindowTest(unittest.TestCase):
    """The primary ``a`` drains, and the promotion of ``self.successor`` is accepted."""

    def setUp(self):
        self.promoter = PromoterFixture()
        self.promoter.start_promoter(("a", "b", "c"))
        self.promoter.run_for(0.5)
        self.promoter.register("a", draining=True)
        self.promoter.run_for(0.3)
        self.successor = self.promoter.platform.promoted_ids[0]
        self.other = {"b": "c", "c": "b"}[self.successor]
        self.servers = self.promoter.servers

    def write_until_effect(self):
        """Write at all times until the promotion has taken effect."""
        for _ in range(12):
            self.promoter.write()
            self.promoter.run_for(0.05)
        self.promoter.run_for(1.0)
        self.assertEqual(self.promoter.fixture.servers.primary, self.successor)

    def start_server(self):
        """Start a server that receives the log and is not registered."""
        log = self.servers["a"].log[:]
        self.servers["new"] = InMemoryServer("new", "domain-a", log, term=1)

    def test_commits_that_only_a_new_server_receives_are_not_acknowledged(self):
        """Guards against lost commits of a server that nobody can pause yet."""
        self.servers[self.successor].not_receiving = True
        self.promoter.run_for(0.15)
        self.start_server()
        self.write_until_effect()
        self.assertEqual(self.promoter.lost_commits, [])

    def test_commits_that_only_a_restarted_replica_receives_are_not_acknowledged(self):
        """Guards against lost commits of a replica whose pause a restart has ended."""
        self.servers[self.other].paused_term = 0
        self.promoter.run_for(0.15)
        self.assertGreater(self.servers[self.other].paused_term, 0)
        self.servers[self.successor].not_receiving = True
        self.write_until_effect()
        self.assertEqual(self.promoter.lost_commits, [])

    def test_server_that_registers_is_paused(self):
        """Guards against lost commits of a server that starts during a promotion."""
        self.start_server()
        self.promoter.register("new")
        self.promoter.run_for(0.15)
        self.assertGreater(self.servers["new"].paused_term, 0)

    def test_primary_steps_down_when_the_successor_receives_nothing(self):
        """Guards against writes that wait in vain for the end of a promotion."""
        self.servers[self.successor].not_receiving = True
        self.promoter.write(4)
        self.promoter.run_for(0.2)
        self.assertIsNone(self.promoter.fixture.servers.primary)

    def test_commit_is_not_promised_once_the_successor_leads_without_it(self):
        """Guards against an acknowledgement that arrives after the promotion."""
        self.servers[self.successor].not_receiving = True
        self.start_server()
        request = self.promoter.fixture.make_request(
            Run(Access.WRITE, "w"), Access.WRITE
        )
        reply = self.promoter.fixture.loop.spawn(
            self.promoter.fixture.session().run(request)
        )
        self.promoter.run_for(1.5)
        self.assertEqual(reply.result().code, Code.OUTCOME_UNKNOWN)

    def test_primary_serves_until_the_effect_while_the_successor_receives(self):
        """Guards against an outage in each planned replacement."""
        acknowledged_before = len(self.promoter.promised)
        self.promoter.write(8)
        acknowledged = len(self.promoter.promised)
        self.assertEqual(acknowledged - acknowledged_before, 8)
        self.promoter.run_for(1.5)
        self.assertEqual(self.promoter.lost_commits, [])
        self.assertEqual(self.promoter.fixture.servers.primary, self.successor)


if __name__ == "__main__":
    unittest.main()
