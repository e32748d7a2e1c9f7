"""Tests of ``cassiahill.server_replies``."""

import unittest
from unittest import mock

from cassiahill.positions import LogPosition
from cassiahill.server_replies import REPLICA_READS_WITHOUT_PRIMARY_SECONDS
from cassiahill.statements import Code
from tests.session_builders import GroupFixture


class ServerRepliesTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()
        self.group = self.fixture.group
        self.replies = self.group.replies
        self.group.active = False  # Probes would confirm the primary again.
        self.now = self.fixture.loop.clock.now()

    def connection_to(self, server_id):
        """Return a stand-in of a connection to a server."""
        return mock.Mock(server=self.fixture.servers.registered(server_id))

    def test_primary_that_is_behind_its_samples_takes_them_along(self):
        """Guards against reads that require a position which was rolled back."""
        self.assertIsNotNone(self.group.primary_positions.latest_sample)
        self.replies.record_refusal(
            self.connection_to("a"), Code.NOT_CURRENT, LogPosition(1, 9)
        )
        self.assertIsNone(self.group.primary.server_id)
        self.assertIsNone(self.group.primary_positions.latest_sample)

    def test_samples_outlast_a_replica_behind_and_a_primary_that_steps_down(self):
        """Guards against replicas that serve no reads during a promotion."""
        self.replies.record_refusal(
            self.connection_to("b"), Code.NOT_CURRENT, LogPosition(1, 9)
        )
        self.assertEqual(self.group.primary.server_id, "a")
        self.replies.record_refusal(self.connection_to("a"), Code.NOT_PRIMARY)
        self.assertIsNone(self.group.primary.server_id)
        self.assertIsNotNone(self.group.primary_positions.latest_sample)

    def test_primary_is_unreachable_until_it_answers(self):
        """Guards against requests that wait for a primary which is back."""
        self.replies.record_unanswered_probe("b", self.now)
        self.assertTrue(self.replies.reaches_primary)
        self.replies.record_unanswered_probe("a", self.now)
        self.replies.record_unanswered_probe("a", self.now + 1.0)
        self.assertFalse(self.replies.reaches_primary)
        limit_at = self.now + REPLICA_READS_WITHOUT_PRIMARY_SECONDS
        self.assertFalse(self.replies.is_primary_unreachable(limit_at))
        self.assertTrue(self.replies.is_primary_unreachable(limit_at + 0.1))
        self.replies.confirm_primary(
            self.connection_to("a"), self.now, mock.Mock(position=None)
        )
        self.assertTrue(self.replies.reaches_primary)
        self.assertFalse(self.replies.is_primary_unreachable(limit_at + 0.1))


if __name__ == "__main__":
    unittest.main()
