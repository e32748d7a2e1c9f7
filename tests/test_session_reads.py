"""Tests of ``cassiahill.session_reads`` on an in-memory group."""

import unittest

from cassiahill.catalog import Consistency
from tests.session_builders import TIMEOUT_SECONDS, GroupFixture


class SessionReadsTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()

    def test_primary_read_avoids_a_replaced_primary(self):
        """Guards against a read that misses a commit of the new term."""
        session = self.fixture.session(Consistency.PRIMARY)
        self.fixture.servers.promote("b")
        reply = self.fixture.read(session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.fixture.ran("read 1"), ["b"])

    def test_unanswered_read_is_retried_once(self):
        """Guards against waiting for a lost answer, and against repeated retries."""
        session = self.fixture.session(Consistency.BOUNDED)
        for server in self.fixture.servers.by_id.values():
            server.lose_answers = 1
        started_at = self.fixture.loop.clock.now()
        self.fixture.servers.by_id["a"].lose_answers = 0
        self.fixture.servers.by_id["c"].lose_answers = 0
        self.fixture.read(session)
        self.assertLess(self.fixture.loop.clock.now() - started_at, TIMEOUT_SECONDS)
        self.assertLessEqual(len(self.fixture.ran("read 1")), 2)

    def test_slow_read_is_hedged_once(self):
        """Guards against one slow read that occupies slots of all servers."""
        session = self.fixture.session(Consistency.BOUNDED)
        self.fixture.loop.advance(1.2)
        for server in self.fixture.servers.by_id.values():
            server.seconds = 0.5
        reply = self.fixture.read(session)
        self.assertIsNone(reply.code)
        self.assertLessEqual(len(self.fixture.ran("read 1")), 2)


if __name__ == "__main__":
    unittest.main()
