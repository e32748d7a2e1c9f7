"""Tests of ``cassiahill.slot_shares``."""

import random
import unittest
from unittest import mock

from cassiahill import server_candidates
from cassiahill.slot_shares import (
    STATEMENTS_PER_SLOT,
    STATEMENTS_PER_SLOT_IN_OVERLOAD,
    TOTAL_MAX_AGE_SECONDS,
    SlotShare,
    equal_limit,
)
from tests.session_load import REQUEST_KINDS, LoadSimulation, with_steady_rates

# One proxy gets three eighths of the requests, as the owner of a busy domain does.
UNEVEN_WEIGHTS = (6, 3, 2, 1, 1, 1, 1, 1)


def limits_of(demands, slots, now=10.0):
    """Return the limits of proxies with some demands that know the exact sum."""
    limits = []
    for demand in demands:
        share = SlotShare(demand=demand)
        share.record_total(sum(demands), now)
        limits.append(share.statement_limit(slots, len(demands), now))
    return limits


class EqualLimitTest(unittest.TestCase):
    def test_all_proxies_together_send_two_statements_per_slot(self):
        """Guards against a queue in the server that urgent requests cannot overtake."""
        for slots, proxies in ((3, 8), (2, 7), (4, 6), (3, 1), (1, 100)):
            limit = equal_limit(slots, proxies)
            self.assertGreaterEqual(limit * proxies, 2 * slots)
            self.assertLess((limit - 1) * proxies, 2 * slots)


class SlotShareTest(unittest.TestCase):
    def test_busy_proxy_uses_what_others_leave(self):
        """Guards against requests that wait while the server has free slots."""
        limits = limits_of((4.0, 0.5, 0.5, 0.5, 0.5, 0.0), slots=6)
        self.assertEqual(limits[0], 6)
        self.assertEqual(limits[1:], [equal_limit(6, 6)] * 5)

    def test_equal_demand_gives_equal_shares(self):
        """Guards against more statements at a server when all are overloaded."""
        for demand in (0.5, 5.0, 500.0):
            limits = limits_of((demand,) * 6, 6)
            self.assertEqual(len(set(limits)), 1)
            self.assertLessEqual(sum(limits), STATEMENTS_PER_SLOT * 6)

    def test_sum_of_the_statements_is_bounded(self):
        """Guards against an overload of the server by shares of many proxies.

        The shares of the demand add up to the limit of all. A proxy whose share is
        smaller keeps an equal share, so the sum is at most twice that limit.
        """
        rng = random.Random(3)
        for _ in range(500):
            count = rng.randint(1, 20)
            slots = rng.randint(1, 8)
            demands = [rng.expovariate(1.0) ** 3 for _ in range(count)]
            limits = limits_of(demands, slots)
            bound = STATEMENTS_PER_SLOT * slots + count * equal_limit(slots, count)
            self.assertLessEqual(sum(limits), bound)

    def test_sum_of_the_statements_in_overload(self):
        """Guards against a queue in the server while requests wait in the proxies.

        Each proxy may have one statement, and rounding adds less than one for each.
        """
        rng = random.Random(4)
        for _ in range(500):
            count = rng.randint(1, 12)
            slots = rng.randint(1, 8)
            demands = [slots + rng.expovariate(0.2) for _ in range(count)]
            limits = limits_of(demands, slots)
            bound = STATEMENTS_PER_SLOT_IN_OVERLOAD * slots + count
            self.assertLessEqual(sum(limits), bound)

    def test_old_sum_is_not_used(self):
        """Guards against a large share of a proxy that hears nothing of others."""
        share = SlotShare(demand=9.0)
        share.record_total(9.0, 10.0)
        later = 10.0 + 1.1 * TOTAL_MAX_AGE_SECONDS
        self.assertEqual(share.statement_limit(6, 6, later), equal_limit(6, 6))

    def test_demand_follows_the_load(self):
        """Guards against a share that stays large after a burst."""
        share = SlotShare()
        for _ in range(100):
            share.record_statements(8, 0.02)
        self.assertGreater(share.demand, 7.0)
        for _ in range(100):
            share.record_statements(0, 0.02)
        self.assertLess(share.demand, 0.1)

    def test_demand_after_a_suspension(self):
        """Guards against an average that a long pause makes negative or huge."""
        share = SlotShare(demand=2.0)
        share.record_statements(5, 60.0)
        self.assertEqual(share.demand, 5.0)


class UnevenLoadTest(unittest.TestCase):
    def play(self, shares_demand):
        """Play uneven load on a group in which only the primary is fresh."""
        simulation = LoadSimulation(
            2,
            lagging=("b", "c"),
            kinds=with_steady_rates(REQUEST_KINDS, 0.9),
            proxy_weights=UNEVEN_WEIGHTS,
            shares_demand=shares_demand,
        )
        return simulation.run()

    def test_requests_at_the_busy_proxy(self):
        """Guards against requests that a proxy refuses while slots are free elsewhere.

        The server has room for the whole load, so nothing may be refused.
        """
        outcomes = self.play(shares_demand=True)
        equal = self.play(shares_demand=False)
        for name, outcome in outcomes.items():
            refused = outcome.refused_early + outcome.refused_late
            self.assertEqual(refused + outcome.failed, 0, name)
        self.assertGreaterEqual(outcomes["filing"].share_on_target, 0.99)
        self.assertGreaterEqual(outcomes["amendment"].share_on_target, 0.95)
        self.assertGreater(equal["lookup"].refused_early, 0)

    def test_urgent_requests_do_not_wait_for_others(self):
        """Guards against urgent requests behind less urgent ones that run."""
        shares = []
        for urgent_statements in (server_candidates.URGENT_STATEMENTS, 0):
            with mock.patch.object(
                server_candidates, "URGENT_STATEMENTS", urgent_statements
            ):
                outcomes = LoadSimulation(
                    2,
                    lagging=("b", "c"),
                    kinds=with_steady_rates(REQUEST_KINDS, 1.2, target_factor=0.3),
                    proxy_weights=UNEVEN_WEIGHTS,
                    shares_demand=True,
                ).run()
            shares.append(outcomes["filing"].share_on_target)
        self.assertGreater(shares[0], shares[1])


if __name__ == "__main__":
    unittest.main()
