"""Simulates heavy load on several proxies and checks the results of callers."""

import unittest
from statistics import fmean
from unittest import mock

from cassiahill.request_queue import RequestQueue
from tests.session_load import (
    REQUEST_KINDS,
    LoadSimulation,
    with_steady_rates,
    without_target_order,
)


class HeavyLoadTest(unittest.TestCase):
    def test_bursts_of_lookups_and_filings(self):
        """Guards against urgent requests that wait behind a burst of others."""
        outcomes = LoadSimulation(1).run()
        self.assertGreaterEqual(outcomes["filing"].share_on_target, 0.99)
        self.assertGreaterEqual(outcomes["amendment"].share_on_target, 0.95)

    def test_lagging_replicas_during_the_burst(self):
        """Guards against requests that stay queued although they cannot be served."""
        outcomes = LoadSimulation(1, lagging=("b", "c")).run()
        filing = outcomes["filing"]
        # The stated target: urgent requests complete within their deadline.
        self.assertGreaterEqual((filing.on_target + filing.late) / filing.total, 0.99)
        self.assertGreaterEqual(filing.share_on_target, 0.95)
        for name, outcome in outcomes.items():
            self.assertEqual(outcome.refused_late, 0, name)
            self.assertEqual(outcome.failed, 0, name)

    def test_target_order_under_overload(self):
        """Guards against a queue in which every request just misses its target."""
        with_targets = LoadSimulation(1, lagging=("b", "c")).run()["amendment"]
        with without_target_order():
            by_arrival = LoadSimulation(1, lagging=("b", "c")).run()["amendment"]
        self.assertGreater(with_targets.share_on_target, by_arrival.share_on_target)
        self.assertLess(with_targets.late, by_arrival.late)

    def test_refusals_in_a_lasting_overload(self):
        """Guards against requests that wait in vain, so that no time is left.

        The load is 1.2 times what the only fresh server can run, all the time.
        """
        kinds = with_steady_rates(REQUEST_KINDS, 1.2)
        simulation = LoadSimulation(1, lagging=("b", "c"), kinds=kinds)
        outcomes = simulation.run()
        with mock.patch.object(RequestQueue, "has_room_for", lambda *_: True):
            waiting_simulation = LoadSimulation(1, lagging=("b", "c"), kinds=kinds)
            waiting_simulation.run()
        for name in ("amendment", "lookup"):
            seconds = simulation.refusal_seconds_by_kind[name]
            seconds_before = waiting_simulation.refusal_seconds_by_kind[name]
            self.assertLess(fmean(seconds), 0.6 * fmean(seconds_before), name)
        self.assertGreaterEqual(outcomes["filing"].share_on_target, 0.99)
        self.assertEqual(simulation.refusal_seconds_by_kind["filing"], [])


if __name__ == "__main__":
    unittest.main()
