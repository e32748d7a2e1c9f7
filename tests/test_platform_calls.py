"""Tests of ``cassiahill.platform_calls``."""

import collections
import heapq
import random
import unittest

from cassiahill import platform_calls


class CallBudgetTest(unittest.TestCase):
    def test_limit_of_calls_in_flight(self):
        """Guards against more calls than the platform can serve."""
        budget = platform_calls.CallBudget(limit=2)
        self.assertEqual([budget.try_start(0.0) for _ in range(3)], [True, True, False])
        budget.ended()
        self.assertTrue(budget.try_start(0.0))

    def test_one_call_after_a_failure(self):
        """Guards against sending all waiting calls as soon as the platform is back."""
        budget = platform_calls.CallBudget(limit=3, base=1.0)
        budget.try_start(0.0)
        budget.failed(0.0, 0.5)
        budget.ended()
        self.assertFalse(budget.try_start(0.49))
        self.assertEqual([budget.try_start(0.5), budget.try_start(0.5)], [True, False])
        budget.succeeded()
        self.assertEqual([budget.try_start(0.6), budget.try_start(0.6)], [True, False])

    def test_delay_is_capped(self):
        """Guards against a process that never comes back after a long outage."""
        budget = platform_calls.CallBudget(base=1.0, cap=30.0)
        for _ in range(100):
            budget.failed(0.0, 1.0)
        self.assertEqual(budget.next_attempt, 30.0)

    def test_fleet_does_not_stampede_on_recovery(self):
        """Guards against 4,200 proxies that call in the same second."""
        uniform = random.Random(7).random
        recovery = 120.0
        budgets = [platform_calls.CallBudget() for _ in range(4200)]
        events = [(0.0, index) for index in range(len(budgets))]
        calls_by_second = collections.Counter()
        while events:
            now, index = heapq.heappop(events)
            budget = budgets[index]
            self.assertTrue(budget.try_start(now))
            calls_by_second[int(now)] += 1
            budget.ended()
            if now < recovery:
                budget.failed(now, uniform())
                heapq.heappush(events, (budget.next_attempt, index))
        after_start = [n for second, n in calls_by_second.items() if second >= 60]
        self.assertLess(max(after_start), 600)
