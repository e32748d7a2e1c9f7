"""Tests of ``cassiahill.acknowledgement``."""

import unittest

from cassiahill import acknowledgement
from cassiahill.acknowledgement import Acknowledge, ReportUnknown
from tests import builders

SERVERS = ("s1", "s2", "s3")


class AckTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = acknowledgement.AckTracker(SERVERS)

    def test_waits_for_a_majority_of_logs(self):
        """Guards against an acknowledged write that is only in the primary's log."""
        self.assertEqual(self.tracker.record_write(7, "s1", 1, 5, 0.0, 9.0), [])
        lagging_status = builders.status("s2", position=4)
        self.assertEqual(self.tracker.record_status(lagging_status), [])
        caught_up_status = builders.status("s2", position=5, sent_at=1.0)
        self.assertEqual(self.tracker.record_status(caught_up_status), [Acknowledge(7)])

    def test_replica_in_a_later_term_does_not_confirm(self):
        """Guards against an acknowledgement after a promotion has raised the term."""
        self.tracker.record_write(7, "s1", 1, 5, 0.0, 9.0)
        later_term_status = builders.status("s2", term=2, position=5)
        (decision,) = self.tracker.record_status(later_term_status)
        self.assertIsInstance(decision, ReportUnknown)

    def test_suffix_of_an_older_term_does_not_confirm(self):
        """Guards against counting a replica with a suffix that it will drop."""
        self.tracker.record_write(7, "s1", 2, 5, 0.0, 9.0)
        old_log_status = builders.status("s2", term=2, last_term=1, position=6)
        self.assertEqual(self.tracker.record_status(old_log_status), [])

    def test_deadline_makes_the_outcome_unknown(self):
        """Guards against a caller that waits indefinitely for lagging replicas."""
        self.tracker.record_write(7, "s1", 1, 5, 0.0, 9.0)
        self.assertEqual(self.tracker.expire_writes(8.9), [])
        (decision,) = self.tracker.expire_writes(9.0)
        self.assertIsInstance(decision, ReportUnknown)

    def test_term_mode_needs_polls_sent_after_the_write(self):
        """Guards against a confirmation by a poll older than the write."""
        tracker = acknowledgement.AckTracker(SERVERS, mode="term")
        tracker.record_write(7, "s1", 1, 5, 10.0, 19.0)
        self.assertEqual(tracker.record_status(builders.status("s2", sent_at=9.0)), [])
        self.assertEqual(
            tracker.record_status(builders.status("s2", sent_at=10.5)), [Acknowledge(7)]
        )
