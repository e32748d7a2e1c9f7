"""Tests of ``cassiahill.server_pool`` on servers in memory."""

import unittest

from cassiahill.server_pool import (
    MAX_QUOTA_FACTOR,
    OVER_QUOTA_IDLE_SECONDS,
    TENANT_IDLE_TIMEOUT_SECONDS,
    TENANT_OVER_QUOTA_IDLE_SECONDS,
    ServerPool,
)
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


class TenantConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.group = InMemoryGroup(self.loop)

    def make_pool(self, quota=2, tenant_limit=2, name="proxy-1"):
        """Return a pool of the server ``a`` in a deployment with tenants."""
        server = self.group.registered("a")
        connect = self.group.connect
        pool = ServerPool(self.loop, None, server, name, quota, lambda: None, connect)
        pool.tenant_limit = tenant_limit
        return pool

    def open_connection(self, pool, tenant, waiting_tenants=()):
        """Let a pool open one connection for a tenant, which becomes idle."""
        wanted_count = pool.idle_count_for(tenant) + 1
        pool.open_if_needed(
            wanted_count, self.loop.clock.now(), tenant, waiting_tenants
        )
        self.loop.advance(0.1)

    def acquire(self, pool, tenant):
        """Take an idle connection of a tenant."""
        return pool.acquire({}, self.loop.clock.now(), tenant)

    def test_connection_is_opened_in_the_tenants_name(self):
        """Guards against a server that is told this process's name for a tenant."""
        pool = self.make_pool()
        self.open_connection(pool, "a")
        self.assertEqual(self.acquire(pool, "a").caller, "a")
        self.open_connection(pool, None)
        self.assertEqual(self.acquire(pool, None).caller, "proxy-1")

    def test_no_connection_of_another_tenant(self):
        """Guards against a statement that runs as another tenant."""
        pool = self.make_pool()
        self.open_connection(pool, "a")
        self.assertIsNone(self.acquire(pool, "b"))
        self.assertIsNone(self.acquire(pool, None))
        self.assertEqual(pool.idle_count_for("b"), 0)
        connection = self.acquire(pool, "a")
        pool.record_statement_end(self.loop.clock.now())
        pool.release(connection)
        self.assertIsNone(self.acquire(pool, "b"))
        self.assertIs(self.acquire(pool, "a"), connection)

    def test_own_statements_use_any_connection(self):
        """Guards against probes that fail while tenants have all connections."""
        pool = self.make_pool()
        self.open_connection(pool, "a")
        self.assertIsNotNone(pool.acquire_any(self.loop.clock.now()))
        self.assertIsNone(pool.acquire_any(self.loop.clock.now()))

    def test_connection_unused_longest_is_given_up(self):
        """Guards against a tenant that waits while others keep idle connections."""
        pool = self.make_pool(quota=2)
        for tenant in ("a", "b", "c"):
            self.open_connection(pool, tenant)
        self.assertEqual([pool.idle_count_for(tenant) for tenant in "abc"], [0, 1, 1])
        self.assertEqual(pool.counts.given_up, 1)
        self.assertEqual(self.group.by_id["a"].connections, 2)

    def test_connections_in_use_and_of_waiting_tenants_stay(self):
        """Guards against a transaction that ends because another tenant waits."""
        pool = self.make_pool(quota=2)
        self.open_connection(pool, "a")
        in_use = self.acquire(pool, "a")
        self.open_connection(pool, "b")
        self.open_connection(pool, "c", waiting_tenants={"b", "c"})
        self.assertFalse(in_use.closed)
        self.assertEqual(pool.idle_count_for("b"), 1)
        self.assertEqual(pool.idle_count_for("c"), 1)
        self.assertEqual(pool.connection_count, 3)

    def test_one_tenant_cannot_hold_all_connections(self):
        """Guards against rested transactions that hold other tenants' connections."""
        pool = self.make_pool(quota=3, tenant_limit=2)
        for _ in range(10):
            self.open_connection(pool, "resting")
            self.acquire(pool, "resting")
        self.assertEqual(pool.connection_count, 2)
        self.open_connection(pool, "other")
        self.assertIsNotNone(self.acquire(pool, "other"))

    def test_idle_connections_of_tenants_are_kept(self):
        """Guards against connections that are opened again for every request."""
        pool = self.make_pool(quota=2)
        self.open_connection(pool, "a")
        self.open_connection(pool, "b")
        for _ in range(100):
            self.loop.advance(0.5)
            pool.close_idle_connections(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 2)
        self.loop.advance(TENANT_IDLE_TIMEOUT_SECONDS)
        pool.close_idle_connections(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 1)

    def test_pool_over_its_quota_returns_to_it(self):
        """Guards against one process that keeps what the others' quotas need."""
        pool = self.make_pool(quota=1)
        self.open_connection(pool, "a")
        connection = self.acquire(pool, "a")
        self.open_connection(pool, "b")
        pool.record_statement_end(self.loop.clock.now())
        pool.release(connection)
        self.assertEqual(pool.connection_count, 2)
        self.loop.advance(TENANT_OVER_QUOTA_IDLE_SECONDS + 0.1)
        pool.close_idle_connections(self.loop.clock.now(), 1)
        self.assertEqual(pool.connection_count, 1)

    def test_full_server_gets_an_idle_connection_back(self):
        """Guards against a tenant that waits while its own process keeps room."""
        self.group.by_id["a"].limit = 1
        pool = self.make_pool(quota=2)
        self.open_connection(pool, "a")
        self.open_connection(pool, "b")
        self.assertEqual(pool.counts.refused, 1)
        self.open_connection(pool, "b")
        self.assertIsNotNone(self.acquire(pool, "b"))


if __name__ == "__main__":
    unittest.main()
