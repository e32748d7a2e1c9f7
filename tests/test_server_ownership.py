"""Tests of ``cassiahill.server_ownership``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import server_ownership
from cassiahill.server_ownership import Claim, OwnerCandidate

PROXIES = [OwnerCandidate(f"p{i}", f"d{i % 3}") for i in range(9)]


class OwnerTest(unittest.TestCase):
    def test_prefers_the_failure_domain(self):
        """Guards against forwarding to another failure domain without need."""
        for i in range(50):
            name = server_ownership.server_owner(f"s{i}", "d1", PROXIES)
            self.assertIn(name, ("p1", "p4", "p7"))
        self.assertIn(
            server_ownership.server_owner("s", "elsewhere", PROXIES),
            [p.name for p in PROXIES],
        )

    def test_leaving_proxies_own_nothing(self):
        """Guards against new work at a proxy that drains."""
        leaving = [OwnerCandidate("p1", "d1", leaving=True), OwnerCandidate("p2", "d2")]
        self.assertEqual(server_ownership.server_owner("s", "d1", leaving), "p2")
        self.assertIsNone(server_ownership.server_owner("s", "d1", leaving[:1]))

    @settings(derandomize=True)
    @given(st.sets(st.sampled_from(PROXIES), min_size=2), st.data())
    def test_only_servers_of_a_lost_proxy_move(self, proxies, data):
        """Guards against takeovers that a membership change did not require."""
        proxies = [
            OwnerCandidate(p.name, "d") for p in sorted(proxies, key=lambda p: p.name)
        ]
        gone = data.draw(st.sampled_from(proxies))
        left = [proxy for proxy in proxies if proxy != gone]
        for i in range(20):
            before = server_ownership.server_owner(f"s{i}", "d", proxies)
            if before != gone.name:
                self.assertEqual(
                    server_ownership.server_owner(f"s{i}", "d", left[::-1]), before
                )

    def test_load_is_spread(self):
        """Guards against a hash that gives one proxy most servers."""
        owners = [
            server_ownership.server_owner(f"s{i}", "", PROXIES) for i in range(900)
        ]
        self.assertLess(max(owners.count(p.name) for p in PROXIES), 150)


class ClaimsTest(unittest.TestCase):
    def test_waits_for_a_stable_view(self):
        """Guards against claims that follow every change of a flapping view."""
        claims = server_ownership.ClaimLimiter("p1", 10.0)
        claims.observe_view(PROXIES, 10.0)
        self.assertIsNone(claims.claim("s", 4, 10.4))
        self.assertTrue(claims.observe_view(PROXIES[1:], 10.4))
        self.assertFalse(claims.observe_view(PROXIES[1:], 10.8))
        self.assertIsNone(claims.claim("s", 4, 10.8))
        self.assertEqual(claims.claim("s", 4, 10.9), Claim("s", 5, "p1"))

    def test_claims_are_not_repeated_at_once(self):
        """Guards against two proxies that take a server from each other in turn."""
        claims = server_ownership.ClaimLimiter("p1", 10.0)
        self.assertEqual(claims.claim("s", 0, 11.0).epoch, 1)
        self.assertIsNone(claims.claim("s", 2, 12.9))
        self.assertEqual(claims.claim("other", 0, 11.0).epoch, 1)
        self.assertEqual(claims.claim("s", 2, 13.0).epoch, 3)
