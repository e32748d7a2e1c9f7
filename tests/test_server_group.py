"""Tests of ``cassiahill.server_group``."""

import unittest

from cassiahill.server_group import MAX_TICK_GAP_SECONDS
from tests.session_builders import GroupFixture


class SuspendedProcessTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()
        self.group = self.fixture.group

    def unreachable_since_after(self, tick_gap_seconds):
        """Return since when the primary is unreachable, after a late tick.

        Its probe was not answered before the gap.
        """
        now = self.fixture.loop.clock.now()
        self.group.active = False  # Probes would be answered after the gap.
        self.group.replies.record_unanswered_probe("a", now)
        self.fixture.loop.clock.advance(tick_gap_seconds)
        self.fixture.loop.advance(0.0)
        return self.group.primary_symptoms(now).unreachable_since

    def test_missing_answers_of_a_suspended_process_are_no_symptom(self):
        """Guards against a promotion because the promoter itself was suspended."""
        self.assertIsNone(self.unreachable_since_after(MAX_TICK_GAP_SECONDS + 0.1))

    def test_missing_answers_of_a_busy_process_are_a_symptom(self):
        """Guards against a lost primary that a busy promoter never notices."""
        self.assertIsNotNone(self.unreachable_since_after(MAX_TICK_GAP_SECONDS / 2))


class ServersTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()
        self.group = self.fixture.group

    def test_removed_replica_counts_until_the_primary_has_answered(self):
        """Guards against a replica that acknowledges commits of a cut-off primary."""
        self.fixture.servers.by_id["a"].unreachable = True
        self.fixture.loop.advance(0.1)
        self.group.remove_server("b")
        self.assertEqual(self.group.removed_with_primary(60.0), ["b"])
        self.fixture.servers.by_id["a"].unreachable = False
        self.fixture.loop.advance(2.0)
        self.assertEqual(self.group.removed_with_primary(60.0), [])

    def test_removed_primary_leaves_the_group_without_one(self):
        """Guards against a promotion that is not started when the entry is deleted."""
        self.group.active = False
        self.assertEqual(self.group.primary_domain, "domain-a")
        self.group.remove_server("a")
        now = self.fixture.loop.clock.now()
        self.assertIsNone(self.group.primary_domain)
        self.assertEqual(self.group.primary_symptoms(now).primary_unknown_since, now)
        self.assertEqual(self.group.removed_with_primary(60.0), [])


if __name__ == "__main__":
    unittest.main()
