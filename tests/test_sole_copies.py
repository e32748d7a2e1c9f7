"""Tests of ``cassiahill.sole_copies``."""

import unittest

from cassiahill.positions import LogPosition
from cassiahill.sole_copies import SoleCopies


class SoleCopiesTest(unittest.TestCase):
    def setUp(self):
        self.copies = SoleCopies()

    def test_position_is_that_of_the_first_answer_after_the_loss(self):
        """Guards against a position that lacks what a replica acknowledged last."""
        self.copies.record_primary_position("a", 9.0, LogPosition(1, 5))
        self.copies.record_lost_log(10.0)
        self.copies.record_primary_position("a", 9.9, LogPosition(1, 6))
        self.assertEqual(self.copies.required_position, LogPosition(1, 5))
        self.copies.record_primary_position("a", 10.1, LogPosition(1, 7))
        self.copies.record_primary_position("a", 11.0, LogPosition(1, 8))
        self.assertEqual(self.copies.required_position, LogPosition(1, 7))

    def test_first_answer_counts_for_a_process_that_has_just_started(self):
        """Guards against losses that only processes knew which ran before."""
        self.copies.record_primary_position("a", 9.0, LogPosition(1, 5))
        self.copies.record_primary_position("a", 10.0, LogPosition(1, 6))
        self.assertTrue(self.copies.may_be_beyond(LogPosition(1, 4)))
        self.assertFalse(self.copies.may_be_beyond(LogPosition(1, 5)))

    def test_new_primary_may_have_the_only_copies(self):
        """Guards against commits of the former primary that count as given up."""
        self.copies.record_primary_position("a", 9.0, LogPosition(1, 5))
        self.copies.record_primary_position("b", 12.0, LogPosition(1, 8))
        self.copies.record_primary_position("b", 13.0, LogPosition(2, 9))
        self.assertTrue(self.copies.may_be_beyond(LogPosition(1, 7)))
        self.assertFalse(self.copies.may_be_beyond(LogPosition(1, 8)))

    def test_promotion_counts_until_the_new_primary_answers(self):
        """Guards against a new primary that crashes before it has answered."""
        self.copies.record_primary_position("a", 9.0, LogPosition(1, 5))
        self.copies.record_promotion("b", LogPosition(1, 7))
        self.assertTrue(self.copies.may_be_beyond(LogPosition(1, 6)))
        self.copies.record_primary_position("b", 12.0, LogPosition(1, 8))
        self.assertEqual(self.copies.required_position, LogPosition(1, 8))
        self.copies.record_promotion("b", LogPosition(1, 7))
        self.assertEqual(self.copies.required_position, LogPosition(1, 8))


if __name__ == "__main__":
    unittest.main()
