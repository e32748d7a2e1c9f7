"""Promoters that start while a cut hides the primary and a replica from them."""

import unittest

from tests.promotion_history import PromotionHistory


class CutBesideFreshPromoterTest(unittest.TestCase):
    """A promoter that starts during a cut knows none of the servers behind it."""

    def setUp(self):
        self.run_ = PromotionHistory()
        self.addCleanup(self.run_.close)
        self.run_.wait(160)

    def cut(self, seconds):
        """Cut the primary, one replica and one proxy off from all others."""
        run = self.run_
        now = run.loop.clock.now()
        run.servers.by_id["c"].not_receiving = True
        for server_id in ("a", "b"):
            run.servers.by_id[server_id].silent_since = now
        behind = run.proxies[1]
        for proxy in run.proxies:
            if proxy is not behind:
                proxy.silent_ids |= {"a", "b"}
        behind.silent_ids |= {"c"}
        # The store is on the other side, so the proxy behind the cut can't claim.
        run.resign = lambda _proxy: None
        behind.unreachable_until = behind.watch_lost_until = now + seconds

    def start_promoter(self):
        run = self.run_
        promoter = run._start_proxy()
        promoter.silent_ids |= {"a", "b"}
        run.proxies.append(promoter)
        run._install(promoter)

    def test_fresh_promoter_waits_for_the_servers_behind_a_cut(self):
        """Guards against lost commits that only servers behind the cut have."""
        self.cut(10.0)
        self.run_.wait(70)
        self.start_promoter()
        self.run_.wait(60)
        self.assertEqual(self.run_.lost_commits, [])

    def test_start_times(self):
        """Guards against a promoter that starts before others remove the servers."""
        lost_by_start = {}
        for steps in (30, 40, 50, 60, 80, 90):
            self.doCleanups()
            self.setUp()
            self.cut(10.0)
            self.run_.wait(steps)
            self.start_promoter()
            self.run_.wait(100 - steps + 20)
            lost_by_start[steps] = len(self.run_.lost_commits)
        self.assertEqual(set(lost_by_start.values()), {0}, lost_by_start)

    def test_standing_promoter_waits(self):
        """Guards against a promotion by a promoter that has removed the servers."""
        self.cut(10.0)
        self.run_.wait(130)
        self.assertEqual(self.run_.lost_commits, [])


if __name__ == "__main__":
    unittest.main()
