"""Plays heavy load on the decisions of a proxy and checks what callers get."""

import unittest

from tests.session_load import Load


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


if __name__ == "__main__":
    unittest.main()
