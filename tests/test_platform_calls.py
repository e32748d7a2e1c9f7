"""Tests of ``cassiahill.platform_calls``."""

import collections
import heapq
import random
import unittest

from cassiahill import platform_calls


class CallLimiterTest(unittest.TestCase):
    def test_calls_in_flight_are_limited(self):
        """Guards against more calls than the platform can serve."""
        limiter = platform_calls.CallLimiter(max_in_flight=2)
        self.assertEqual(
            [limiter.try_start(0.0) for _ in range(3)], [True, True, False]
        )
        limiter.record_end()
        self.assertTrue(limiter.try_start(0.0))

    def test_one_call_after_a_failure(self):
        """Guards against sending all waiting calls as soon as the platform is back."""
        limiter = platform_calls.CallLimiter(max_in_flight=3, first_backoff_seconds=1.0)
        limiter.try_start(0.0)
        limiter.record_failure(0.0, 0.5)
        limiter.record_end()
        self.assertFalse(limiter.try_start(0.49))
        self.assertEqual(
            [limiter.try_start(0.5), limiter.try_start(0.5)], [True, False]
        )
        limiter.record_success()
        self.assertEqual(
            [limiter.try_start(0.6), limiter.try_start(0.6)], [True, False]
        )

    def test_delay_is_capped(self):
        """Guards against a process that does not call again after a long outage."""
        limiter = platform_calls.CallLimiter(
            first_backoff_seconds=1.0, max_backoff_seconds=30.0
        )
        for _ in range(100):
            limiter.record_failure(0.0, 1.0)
        self.assertEqual(limiter.next_attempt_at, 30.0)

    def test_fleet_does_not_stampede_on_recovery(self):
        """Guards against 4,200 proxies that call in the same second."""
        random_fraction = random.Random(7).random
        recovery_at = 120.0
        limiters = [platform_calls.CallLimiter() for _ in range(4200)]
        attempts = [(0.0, index) for index in range(len(limiters))]
        calls_by_second = collections.Counter()
        while attempts:
            now, index = heapq.heappop(attempts)
            limiter = limiters[index]
            self.assertTrue(limiter.try_start(now))
            calls_by_second[int(now)] += 1
            limiter.record_end()
            if now < recovery_at:
                limiter.record_failure(now, random_fraction())
                heapq.heappush(attempts, (limiter.next_attempt_at, index))
        # The first minute is left out, because all proxies start at the same instant.
        counts_after_start = [
            count for second, count in calls_by_second.items() if second >= 60
        ]
        self.assertLess(max(counts_after_start), 600)
