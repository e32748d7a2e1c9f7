"""Tests of ``cassiahill.acknowledged_commits``."""

import unittest

from cassiahill.acknowledged_commits import AcknowledgedCommits
from cassiahill.positions import LogPosition


class AcknowledgedCommitsTest(unittest.TestCase):
    def test_newest_position_counts_in_any_order_of_answers(self):
        """Guards against a forgotten commit when an older answer arrives later."""
        commits = AcknowledgedCommits()
        self.assertFalse(commits.may_be_beyond(LogPosition(1, 1)))
        for number in (5, 3):
            commits.record(LogPosition(1, number), 10.0 + number)
        commits.record(None, 20.0)
        self.assertEqual(commits.seen_at, 15.0)
        self.assertTrue(commits.may_be_beyond(LogPosition(1, 4)))
        self.assertFalse(commits.may_be_beyond(LogPosition(1, 5)))
        self.assertFalse(commits.may_be_beyond(LogPosition(2, 1)))


if __name__ == "__main__":
    unittest.main()
