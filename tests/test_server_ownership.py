"""Tests of ``cassiahill.server_ownership``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import server_ownership
from cassiahill.server_ownership import Claim, OwnerCandidate

PROXIES = [OwnerCandidate(f"p{number}", f"d{number % 3}") for number in range(9)]


class ServerOwnerTest(unittest.TestCase):
    def test_prefers_the_servers_failure_domain(self):
        """Guards against requests that cross failure domains without need."""
        for number in range(50):
            name = server_ownership.server_owner(f"s{number}", "d1", PROXIES)
            self.assertIn(name, ("p1", "p4", "p7"))
        self.assertIn(
            server_ownership.server_owner("s", "elsewhere", PROXIES),
            [proxy.name for proxy in PROXIES],
        )

    def test_leaving_proxies_own_nothing(self):
        """Guards against new requests at a proxy that drains."""
        leaving = [OwnerCandidate("p1", "d1", leaving=True), OwnerCandidate("p2", "d2")]
        self.assertEqual(server_ownership.server_owner("s", "d1", leaving), "p2")
        self.assertIsNone(server_ownership.server_owner("s", "d1", leaving[:1]))

    @settings(derandomize=True)
    @given(st.sets(st.sampled_from(PROXIES), min_size=2), st.data())
    def test_only_servers_of_a_removed_proxy_move(self, proxies, data):
        """Guards against changes of owners that a membership change doesn't need."""
        proxies = [
            OwnerCandidate(proxy.name, "d")
            for proxy in sorted(proxies, key=lambda proxy: proxy.name)
        ]
        removed = data.draw(st.sampled_from(proxies))
        remaining = [proxy for proxy in proxies if proxy != removed]
        for number in range(20):
            before = server_ownership.server_owner(f"s{number}", "d", proxies)
            if before != removed.name:
                self.assertEqual(
                    server_ownership.server_owner(f"s{number}", "d", remaining[::-1]),
                    before,
                )

    def test_load_is_spread(self):
        """Guards against a hash that gives one proxy most backend servers."""
        owners = [
            server_ownership.server_owner(f"s{number}", "", PROXIES)
            for number in range(900)
        ]
        self.assertLess(max(owners.count(proxy.name) for proxy in PROXIES), 150)


class ClaimLimiterTest(unittest.TestCase):
    def test_claims_wait_for_a_stable_view(self):
        """Guards against claims after each change while the live proxies flap."""
        limiter = server_ownership.ClaimLimiter("p1", 10.0)
        limiter.observe_view(PROXIES, 10.0)
        self.assertIsNone(limiter.claim("s", 4, 10.4))
        self.assertTrue(limiter.observe_view(PROXIES[1:], 10.4))
        self.assertFalse(limiter.observe_view(PROXIES[1:], 10.8))
        self.assertIsNone(limiter.claim("s", 4, 10.8))
        self.assertEqual(limiter.claim("s", 4, 10.9), Claim("s", 5, "p1"))

    def test_claims_of_a_server_are_spaced(self):
        """Guards against two proxies that claim a server from each other in turn."""
        limiter = server_ownership.ClaimLimiter("p1", 10.0)
        self.assertEqual(limiter.claim("s", 0, 11.0).epoch, 1)
        self.assertIsNone(limiter.claim("s", 2, 12.9))
        self.assertEqual(limiter.claim("other", 0, 11.0).epoch, 1)
        self.assertEqual(limiter.claim("s", 2, 13.0).epoch, 3)
