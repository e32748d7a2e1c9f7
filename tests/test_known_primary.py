"""Tests of ``cassiahill.known_primary``."""

import math
import unittest

from cassiahill.known_primary import KnownPrimary
from tests.line_group import InMemoryGroup
from tests.stepped_loop import SteppedLoop


class KnownPrimaryTest(unittest.TestCase):
    def setUp(self):
        self.group = InMemoryGroup(SteppedLoop())
        self.known_primary = KnownPrimary()

    def registration(self, server_id, registered_as_primary):
        return self.group.registered(
            server_id, registered_as_primary=registered_as_primary
        )

    def test_newly_registered_primary_replaces_the_known_one(self):
        """Guards against a return to the old primary while two register as primary."""
        self.known_primary.record_registration(self.registration("a", True), None, 1.0)
        self.known_primary.record_registration(
            self.registration("b", True), self.registration("b", False), 2.0
        )
        self.assertEqual(self.known_primary.server_id, "b")
        self.known_primary.record_registration(
            self.registration("a", True), self.registration("a", True), 3.0
        )
        self.assertEqual(self.known_primary.server_id, "b")

    def test_late_answer_of_the_old_primary_is_ignored(self):
        """Guards against an answer that was sent before a promotion."""
        self.known_primary.confirm_primary("b", 5.0)
        self.assertFalse(self.known_primary.confirm_primary("a", 4.0))
        self.assertEqual(self.known_primary.server_id, "b")

    def test_refusal_by_another_server_changes_nothing(self):
        """Guards against a replica's refusal that rejects the known primary."""
        self.known_primary.confirm_primary("a", 1.0)
        self.assertFalse(self.known_primary.reject_primary("b", 2.0))
        self.assertTrue(self.known_primary.reject_primary("a", 2.0))

    def test_failover_is_expected_only_while_the_primary_is_unreachable(self):
        """Guards against refused requests because of one lost answer."""
        self.known_primary.confirm_primary("a", 1.0)
        self.assertEqual(self.known_primary.next_primary_expected_at(5.0), 5.0)
        self.assertEqual(self.known_primary.next_primary_expected_at(5.0, 4.9), 5.0)
        self.assertGreater(self.known_primary.next_primary_expected_at(5.0, 4.5), 6.0)

    def test_no_primary_is_expected_while_partitioned(self):
        """Guards against requests that stay queued although they cannot be served."""
        self.known_primary.confirm_primary("a", 4.0)
        self.assertEqual(
            self.known_primary.next_primary_expected_at(9.0, 4.5, partitioned=True),
            math.inf,
        )
        self.assertEqual(
            self.known_primary.next_primary_expected_at(9.0, None, partitioned=True),
            9.0,
        )


if __name__ == "__main__":
    unittest.main()
