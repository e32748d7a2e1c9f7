"""Plays heavy load on the decisions of a proxy and checks what callers get."""

import unittest

from tests.session_load import Load, ignore_targets


class HeavyLoadTest(unittest.TestCase):
    def test_bursts_of_lookups_and_filings(self):
        """Guards against urgent work that waits behind a burst of other work."""
        outcomes = Load(1).play()
        self.assertGreaterEqual(outcomes["filing"].share_in_aim, 0.99)
        self.assertGreaterEqual(outcomes["amendment"].share_in_aim, 0.95)

    def test_lagging_replicas_during_the_burst(self):
        """Guards against callers that are held although they cannot be served."""
        outcomes = Load(1, lagging=("b", "c")).play()
        filing = outcomes["filing"]
        # The stated target: urgent work completes within its deadline.
        self.assertGreaterEqual((filing.in_aim + filing.late) / filing.total, 0.99)
        self.assertGreaterEqual(filing.share_in_aim, 0.95)
        for name, outcome in outcomes.items():
            self.assertEqual(outcome.refused_late, 0, name)
            self.assertEqual(outcome.failed, 0, name)

    def test_overload_leaves_those_in_target_in_time(self):
        """Guards against a queue that answers every request just too late."""
        with_targets = Load(1, lagging=("b", "c")).play()["amendment"]
        with ignore_targets():
            in_order = Load(1, lagging=("b", "c")).play()["amendment"]
        self.assertGreater(with_targets.share_in_aim, in_order.share_in_aim)
        self.assertLess(with_targets.late, in_order.late)


if __name__ == "__main__":
    unittest.main()
