"""Tests of promotion orders that are carried out after their attempt has ended."""

import unittest

from tests.promotion_builders import PromoterFixture


class LateOrderTest(unittest.TestCase):
    def test_order_is_not_carried_out_after_its_attempt(self):
        """Guards against a promotion of a server that has been down since its order."""
        promoter = PromoterFixture()
        promoter.start_promoter(("a", "b", "c"))
        promoter.run_for(0.5)
        promoter.platform.unanswered_count = 1
        promoter.servers["a"].unreachable = True
        promoter.run_for(1.5)
        successor = promoter.platform.promoted_ids[0]
        promoter.servers["a"].unreachable = False
        promoter.servers[successor].unreachable = True
        promoter.run_for(4.0)
        promoter.write(5)
        promoter.servers[successor].unreachable = False
        promoter.servers[successor].not_receiving = True
        promoter.platform.carry_out_late_orders()
        promoter.run_for(2.0)
        self.assertGreaterEqual(len(promoter.promised), 5)
        self.assertEqual(promoter.lost_commits, [])

    def test_new_promoter_closes_an_accepted_order_of_its_predecessor(self):
        """Guards against commits acknowledged while a former order takes effect."""
        promoter = PromoterFixture()
        promoter.start_promoter(("a", "b", "c"))
        promoter.run_for(0.5)
        promoter.register("a", draining=True)
        promoter.run_for(0.3)
        [successor] = promoter.platform.promoted_ids
        # A restart has ended the only pause that could tell of the order.
        promoter.fixture.servers.restart({"b": "c", "c": "b"}[successor])
        promoter.start_promoter(("a", "b", "c"))
        promoter.register("a", draining=True)
        promoter.servers[successor].not_receiving = True
        for _ in range(20):
            promoter.write()
            promoter.run_for(0.05)
        self.assertEqual(promoter.platform.promoted_ids[1], "a")
        self.assertEqual(promoter.lost_commits, [])

    def test_closing_order_that_comes_late_undoes_no_promotion(self):
        """Guards against a former primary that is promoted back without an answer."""
        promoter = PromoterFixture()
        promoter.start_promoter(("a", "b", "c"))
        promoter.run_for(0.5)
        promoter.register("a", draining=True)
        promoter.run_for(0.3)
        promoter.start_promoter(("a", "b", "c"))
        promoter.platform.unanswered_count = 5
        promoter.register("a", draining=True)
        promoter.run_for(4.0)
        self.assertEqual(promoter.platform.promoted_ids[1], "a")
        new_primary = promoter.fixture.servers.primary
        self.assertNotEqual(new_primary, "a")
        promoter.servers["a"].not_receiving = True
        promoter.write(5)
        promoter.platform.carry_out_late_orders()
        promoter.run_for(2.0)
        self.assertEqual(promoter.fixture.servers.primary, new_primary)
        self.assertEqual(promoter.lost_commits, [])

    def test_new_promoter_closes_orders_although_it_cannot_promote(self):
        """Guards against a late order of a lost promoter while a replica is away."""
        promoter = PromoterFixture()
        promoter.start_promoter(("a", "b", "c"))
        promoter.run_for(0.5)
        promoter.platform.unanswered_count = 1
        promoter.register("a", draining=True)
        promoter.run_for(0.3)
        [successor] = promoter.platform.promoted_ids
        other = {"b": "c", "c": "b"}[successor]
        promoter.start_promoter(("a", "b", "c"))
        promoter.register("a", draining=True)
        promoter.servers[successor].not_receiving = True
        promoter.servers[successor].unreachable = True
        promoter.run_for(3.0)
        promoter.servers[other].paused_term = 0
        promoter.write(5)
        promoter.servers[successor].unreachable = False
        promoter.platform.carry_out_late_orders()
        promoter.run_for(5.0)
        self.assertGreaterEqual(len(promoter.promised), 5)
        self.assertEqual(promoter.lost_commits, [])

    def test_refused_promoter_ends_no_pause(self):
        """Guards against a promoter that ends pauses of a newer one by their term."""
        promoter = PromoterFixture()
        promoter.start_promoter(("a", "b", "c"))
        promoter.run_for(0.5)
        promoter.platform.use_token(100)
        promoter.register("a", draining=True)
        promoter.run_for(0.6)
        paused = [server.paused_term for server in promoter.servers.values()]
        self.assertGreater(max(paused), 0)


if __name__ == "__main__":
    unittest.main()
