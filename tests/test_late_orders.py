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
        self.assertGreaterEqual(len(promoter.fixture.servers.acknowledged), 5)
        self.assertEqual(promoter.platform.lost_commits, [])


if __name__ == "__main__":
    unittest.main()
