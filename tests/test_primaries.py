"""Tests of ``cassiahill.primaries``."""

import math
import unittest

from cassiahill.primaries import KnownPrimary
from tests.line_group import LineGroup
from tests.stepped_loop import SteppedLoop


class PrimaryViewTest(unittest.TestCase):
    def setUp(self):
        self.servers = LineGroup(SteppedLoop())
        self.view = KnownPrimary()

    def entry(self, server_id, says_primary):
        return self.servers.registered(server_id, says_primary=says_primary)

    def test_newer_primary_wins_over_one_that_still_claims(self):
        """Guards against two entries that both say that they lead."""
        self.view.record_registration(self.entry("a", True), None, 1.0)
        self.view.record_registration(
            self.entry("b", True), self.entry("b", False), 2.0
        )
        self.assertEqual(self.view.believed, "b")
        self.view.record_registration(self.entry("a", True), self.entry("a", True), 3.0)
        self.assertEqual(self.view.believed, "b")

    def test_late_proof_of_the_old_primary_is_ignored(self):
        """Guards against an answer that was on its way during a promotion."""
        self.view.proved("b", 5.0)
        self.assertFalse(self.view.proved("a", 4.0))
        self.assertEqual(self.view.believed, "b")

    def test_refusal_by_another_server_changes_nothing(self):
        """Guards against a replica's refusal that unseats the primary."""
        self.view.proved("a", 1.0)
        self.assertFalse(self.view.reject_primary("b", 2.0))
        self.assertTrue(self.view.reject_primary("a", 2.0))

    def test_gap_is_expected_after_a_loss_only(self):
        """Guards against refusals because of one lost answer."""
        self.view.proved("a", 1.0)
        self.assertEqual(self.view.next_primary_expected_at(5.0), 5.0)
        self.assertEqual(self.view.next_primary_expected_at(5.0, 4.9), 5.0)
        self.assertGreater(self.view.next_primary_expected_at(5.0, 4.5), 6.0)

    def test_no_primary_is_expected_behind_a_cut(self):
        """Guards against requests that are held although nobody can serve them."""
        self.view.proved("a", 4.0)
        self.assertEqual(
            self.view.next_primary_expected_at(9.0, 4.5, cut_off=True), math.inf
        )
        self.assertEqual(
            self.view.next_primary_expected_at(9.0, None, cut_off=True), 9.0
        )


if __name__ == "__main__":
    unittest.main()
