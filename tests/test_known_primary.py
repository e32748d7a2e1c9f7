"""Tests of ``cassiahill.known_primary``."""

import math
import unittest

from cassiahill.known_primary import PrimaryView
from tests.line_group import InMemoryGroup
from tests.stepped_loop import SteppedLoop


class PrimaryViewTest(unittest.TestCase):
    def setUp(self):
        self.servers = InMemoryGroup(SteppedLoop())
        self.view = PrimaryView()

    def entry(self, server_id, registered_as_primary):
        return self.servers.registered(
            server_id, registered_as_primary=registered_as_primary
        )

    def test_newer_primary_wins_over_one_that_still_claims(self):
        """Guards against two entries that both say that they lead."""
        self.view.registered(self.entry("a", True), None, 1.0)
        self.view.registered(self.entry("b", True), self.entry("b", False), 2.0)
        self.assertEqual(self.view.server_id, "b")
        self.view.registered(self.entry("a", True), self.entry("a", True), 3.0)
        self.assertEqual(self.view.server_id, "b")

    def test_late_proof_of_the_old_primary_is_ignored(self):
        """Guards against an answer that was on its way during a promotion."""
        self.view.confirm_primary("b", 5.0)
        self.assertFalse(self.view.confirm_primary("a", 4.0))
        self.assertEqual(self.view.server_id, "b")

    def test_refusal_by_another_server_changes_nothing(self):
        """Guards against a replica's refusal that unseats the primary."""
        self.view.confirm_primary("a", 1.0)
        self.assertFalse(self.view.refuted("b", 2.0))
        self.assertTrue(self.view.refuted("a", 2.0))

    def test_gap_is_expected_after_a_loss_only(self):
        """Guards against refusals because of one lost answer."""
        self.view.confirm_primary("a", 1.0)
        self.assertEqual(self.view.expected_at(5.0), 5.0)
        self.assertEqual(self.view.expected_at(5.0, 4.9), 5.0)
        self.assertGreater(self.view.expected_at(5.0, 4.5), 6.0)

    def test_no_primary_is_expected_behind_a_cut(self):
        """Guards against requests that are held although nobody can serve them."""
        self.view.confirm_primary("a", 4.0)
        self.assertEqual(self.view.expected_at(9.0, 4.5, partitioned=True), math.inf)
        self.assertEqual(self.view.expected_at(9.0, None, partitioned=True), 9.0)


if __name__ == "__main__":
    unittest.main()
