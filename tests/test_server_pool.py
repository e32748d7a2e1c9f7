"""Tests of ``cassiahill.server_pool`` on servers in memory."""

import unittest

from cassiahill.server_pool import BORROW_FACTOR, BORROWED_IDLE_SECONDS, ServerPool
from tests.line_group import InMemoryGroup
from tests.stepped_loop import SteppedLoop


class ServerPoolTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.servers = InMemoryGroup(self.loop)

    def make(self, share=1):
        """Return a pool of the server ``a``."""
        server = self.servers.registered("a")
        connect = self.servers.connect
        return ServerPool(
            self.loop, None, server, "proxy-1", share, lambda: None, connect
        )

    def open(self, pool, count):
        """Open connections and take them."""
        taken = []
        for _ in range(count):
            pool.open_if_needed(1, self.loop.clock.now())
            self.loop.advance(0.1)
            connection = pool.lend({}, self.loop.clock.now())
            if connection is not None:
                taken.append(connection)
        return taken

    def test_borrowing_is_bounded(self):
        """Guards against one proxy that takes all connections of a server."""
        pool = self.make(share=2)
        self.assertEqual(len(self.open(pool, 20)), 2 * BORROW_FACTOR)

    def test_borrowed_connections_go_back(self):
        """Guards against proxies that starve because another keeps what it borrowed."""
        pool = self.make(share=1)
        for connection in self.open(pool, 3):
            pool.finished(self.loop.clock.now())
            pool.release(connection)
        self.loop.advance(2 * BORROWED_IDLE_SECONDS)
        pool.trim(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 1)
        self.assertEqual(self.servers.by_id["a"].connections, 1)

    def test_process_that_is_no_owner_keeps_nothing(self):
        """Guards against owners that starve because others hold idle connections."""
        pool = self.make(share=3)
        for connection in self.open(pool, 1):
            pool.finished(self.loop.clock.now())
            pool.release(connection)
        self.loop.advance(2 * BORROWED_IDLE_SECONDS)
        pool.trim(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 1)
        pool.trim(self.loop.clock.now(), 0)
        self.assertEqual(pool.connection_count, 0)

    def test_refused_connection_waits(self):
        """Guards against a storm of connections at a server that is full."""
        self.servers.by_id["a"].limit = 0
        pool = self.make()
        for _ in range(100):
            pool.open_if_needed(1, self.loop.clock.now())
            self.loop.advance(0.01)
        self.assertEqual(pool.connection_count, 0)
        self.assertEqual(pool.failures, 0)  # The server lives; it is only full.

    def test_dark_server_is_asked_less_and_less(self):
        """Guards against openings that never end at a server that is silent."""
        self.servers.by_id["a"].unreachable = True
        pool = self.make()
        for _ in range(1000):
            pool.open_if_needed(1, self.loop.clock.now())
            self.loop.advance(0.01)
        self.assertLess(pool.failures, 25)
        self.assertTrue(pool.failing(self.loop.clock.now()))

    def test_connection_with_an_open_answer_is_not_used_again(self):
        """Guards against a late answer that reaches another request."""
        pool = self.make()
        (connection,) = self.open(pool, 1)
        self.servers.by_id["a"].unreachable = True
        connection.ask(object())
        pool.release(connection)
        self.assertTrue(connection.closed)


if __name__ == "__main__":
    unittest.main()
