"""Tests of ``cassiahill.group_servers``."""

import unittest

import attrs

from tests.session_builders import GroupFixture

REGION_BY_DOMAIN = {"domain-a": "south", "domain-b": "north", "domain-c": "south"}


class GroupServersTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture(region_by_domain=REGION_BY_DOMAIN)
        self.group = self.fixture.group
        self.servers = self.group.servers

    def restart(self, server_id):
        """Register a server again that has restarted."""
        entry = self.fixture.servers.registered(server_id)
        self.group.put_server(attrs.evolve(entry, started_at_ms=2), entry)

    def test_restarted_server_keeps_its_place(self):
        """Guards against a change of the order in which equal servers are chosen."""
        former_pool = self.servers.pools_by_id["a"]
        self.restart("a")
        self.assertEqual(list(self.servers.pools_by_id), ["a", "b", "c"])
        self.assertIsNot(self.servers.pools_by_id["a"], former_pool)
        self.assertTrue(former_pool.closed)

    def test_changed_entry_keeps_the_connections(self):
        """Guards against connections that are lost when a server begins to drain."""
        pool = self.servers.pools_by_id["a"]
        entry = self.fixture.servers.registered("a")
        self.group.put_server(attrs.evolve(entry, draining=True), entry)
        self.assertIs(self.servers.pools_by_id["a"], pool)
        self.assertTrue(pool.server.draining)
        self.assertFalse(pool.closed)

    def test_counts_include_former_processes(self):
        """Guards against counters that fall when a server restarts or leaves."""
        opened = self.servers.connection_counts.opened
        crossed = self.servers.crossings().statement_count
        self.assertGreater(opened, 0)
        self.assertGreater(crossed, 0)
        self.restart("b")
        self.assertEqual(self.servers.connection_counts.opened, opened)
        self.assertEqual(self.servers.crossings().statement_count, crossed)
        self.group.remove_server("b")
        self.assertEqual(self.servers.connection_counts.opened, opened)
        self.assertEqual(self.servers.crossings().statement_count, crossed)

    def test_servers_by_failure_domain(self):
        """Guards against a commit that is confirmed by the wrong failure domain."""
        self.assertEqual(self.servers.ids_in_own_domain(), ["a"])
        for server_id in ("b", "c"):
            domain = self.servers.pools_by_id[server_id].server.failure_domain
            self.assertNotEqual(domain, "domain-a")


if __name__ == "__main__":
    unittest.main()
