"""Tests of ``cassiahill.acknowledgement``."""

import unittest

from cassiahill import acknowledgement
from cassiahill.acknowledgement import Acknowledge, ReportUnknown
from tests import builders

SERVERS = ("s1", "s2", "s3")


class AckTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = acknowledgement.AckTracker(SERVERS)

    def test_waits_for_a_second_log(self):
        """Guards against an acknowledged write that only the primary has."""
        self.assertEqual(self.tracker.record_write(7, "s1", 1, 5, 0.0, 9.0), [])
        behind = builders.status("s2", position=4)
        self.assertEqual(self.tracker.record_status(behind), [])
        caught_up = builders.status("s2", position=5, sent_at=1.0)
        self.assertEqual(self.tracker.record_status(caught_up), [Acknowledge(7)])

    def test_fenced_replica_does_not_confirm(self):
        """Guards against an acknowledgement after a promotion raised the term."""
        self.tracker.record_write(7, "s1", 1, 5, 0.0, 9.0)
        fenced = builders.status("s2", term=2, position=5)
        (decision,) = self.tracker.record_status(fenced)
        self.assertIsInstance(decision, ReportUnknown)

    def test_suffix_of_an_older_term_does_not_confirm(self):
        """Guards against counting a replica that still holds a dropped suffix."""
        self.tracker.record_write(7, "s1", 2, 5, 0.0, 9.0)
        stale = builders.status("s2", term=2, last_term=1, position=6)
        self.assertEqual(self.tracker.record_status(stale), [])

    def test_deadline_makes_the_outcome_unknown(self):
        """Guards against a caller that waits for ever for lagging replicas."""
        self.tracker.record_write(7, "s1", 1, 5, 0.0, 9.0)
        self.assertEqual(self.tracker.expire_writes(8.9), [])
        (decision,) = self.tracker.expire_writes(9.0)
        self.assertIsInstance(decision, ReportUnknown)

    def test_term_mode_needs_polls_sent_after_the_write(self):
        """Guards against a confirmation that is older than the write."""
        tracker = acknowledgement.AckTracker(SERVERS, mode="term")
        tracker.record_write(7, "s1", 1, 5, 10.0, 19.0)
        self.assertEqual(tracker.record_status(builders.status("s2", sent_at=9.0)), [])
        self.assertEqual(
            tracker.record_status(builders.status("s2", sent_at=10.5)), [Acknowledge(7)]
        )
