"""Tests of what a promoter must know that it has not seen itself."""

import unittest

from tests.promotion_builders import PromoterFixture


class UnknownReplicaTest(unittest.TestCase):
    """Replica ``b`` receives nothing, and ``c`` acknowledges the commits."""

    def setUp(self):
        self.promoter = PromoterFixture()

    def write_through_c(self):
        """Let commits be acknowledged that ``b`` does not receive."""
        self.promoter.servers["b"].not_receiving = True
        self.promoter.write(5)

    def test_replica_that_lapsed_before_the_promoter_started_is_awaited(self):
        """Guards against lost commits that only a crashed replica acknowledged."""
        promoter = self.promoter
        self.write_through_c()
        promoter.servers["c"].unreachable = True
        promoter.servers["a"].unreachable = True
        promoter.start_promoter(("a", "b"))
        promoter.run_for(5.0)
        self.assertEqual(promoter.platform.lost_commits, [])
        promoter.servers["c"].unreachable = False
        promoter.register("c")
        promoter.run_for(4.0)
        self.assertEqual(promoter.platform.lost_commits, [])
        self.assertEqual(promoter.fixture.servers.primary, "c")

    def test_replica_that_the_promoters_watch_has_missed_is_asked(self):
        """Guards against lost commits of a replica in the store's list of servers."""
        promoter = self.promoter
        promoter.start_promoter(("a", "b"))
        promoter.run_for(1.0)
        self.write_through_c()
        promoter.servers["a"].unreachable = True
        promoter.run_for(5.0)
        self.assertEqual(promoter.platform.lost_commits, [])
        self.assertEqual(promoter.fixture.servers.primary, "c")


if __name__ == "__main__":
    unittest.main()
