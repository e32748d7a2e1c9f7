"""Tests of ``cassiahill.server_pool`` on servers in memory."""

import unittest

from cassiahill.server_pool import MAX_QUOTA_FACTOR, OVER_QUOTA_IDLE_SECONDS, ServerPool
from tests.line_group import InMemoryGroup
from tests.stepped_loop import SteppedLoop


class ServerPoolTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.group = InMemoryGroup(self.loop)

    def make_pool(self, quota=1):
        """Return a pool of the server ``a``."""
        server = self.group.registered("a")
        connect = self.group.connect
        return ServerPool(
            self.loop, None, server, "proxy-1", quota, lambda: None, connect
        )

    def open_connections(self, pool, count):
        """Open connections one after another, and return those that were acquired."""
        acquired = []
        for _ in range(count):
            pool.open_if_needed(1, self.loop.clock.now())
            self.loop.advance(0.1)
            connection = pool.acquire({}, self.loop.clock.now())
            if connection is not None:
                acquired.append(connection)
        return acquired

    def test_connections_over_quota_are_bounded(self):
        """Guards against one proxy that takes all connections of a server."""
        pool = self.make_pool(quota=2)
        self.assertEqual(len(self.open_connections(pool, 20)), 2 * MAX_QUOTA_FACTOR)

    def test_idle_connections_over_quota_are_closed(self):
        """Guards against a proxy that keeps more connections than its quota."""
        pool = self.make_pool(quota=1)
        for connection in self.open_connections(pool, 3):
            pool.record_statement_end(self.loop.clock.now())
            pool.release(connection)
        self.loop.advance(2 * OVER_QUOTA_IDLE_SECONDS)
        pool.close_idle_connections(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 1)
        self.assertEqual(self.group.by_id["a"].connections, 1)

    def test_process_that_is_no_owner_keeps_no_connection(self):
        """Guards against owners without a connection because others keep idle ones."""
        pool = self.make_pool(quota=3)
        for connection in self.open_connections(pool, 1):
            pool.record_statement_end(self.loop.clock.now())
            pool.release(connection)
        self.loop.advance(2 * OVER_QUOTA_IDLE_SECONDS)
        pool.close_idle_connections(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 1)
        pool.close_idle_connections(self.loop.clock.now(), 0)
        self.assertEqual(pool.connection_count, 0)

    def test_pause_after_a_refused_connection(self):
        """Guards against a storm of connection attempts at a full server."""
        self.group.by_id["a"].limit = 0
        pool = self.make_pool()
        for _ in range(100):
            pool.open_if_needed(1, self.loop.clock.now())
            self.loop.advance(0.01)
        self.assertEqual(pool.connection_count, 0)
        self.assertEqual(pool.failed_openings, 0)  # The server runs and is only full.

    def test_pause_grows_while_a_server_is_unreachable(self):
        """Guards against a storm of connection attempts at an unreachable server."""
        self.group.by_id["a"].unreachable = True
        pool = self.make_pool()
        for _ in range(1000):
            pool.open_if_needed(1, self.loop.clock.now())
            self.loop.advance(0.01)
        self.assertLess(pool.failed_openings, 25)
        self.assertTrue(pool.has_unanswered_requests(self.loop.clock.now()))

    def test_connection_with_an_unanswered_statement_is_not_reused(self):
        """Guards against a late answer that is taken for another request's answer."""
        pool = self.make_pool()
        (connection,) = self.open_connections(pool, 1)
        self.group.by_id["a"].unreachable = True
        connection.send_statement(object())
        pool.release(connection)
        self.assertTrue(connection.closed)


if __name__ == "__main__":
    unittest.main()
