"""Tests of ``cassiahill.catalogfeed`` and ``cassiahill.following``."""

import random
import unittest

from cassiahill.catalog import LAPSE_SECONDS, Added, Catalog, Configuration, Removed
from cassiahill.catalogfeed import CatalogFeed, CatalogSource
from cassiahill.pulses import View
from cassiahill.sharedstore import MemorySharedStore
from tests.line_group import LineGroup
from tests.stepped_loop import SteppedLoop


class FeedTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.store = MemorySharedStore()
        self.servers = LineGroup(self.loop)
        self.catalog = Catalog()
        self.changes = []
        source = CatalogSource(
            "config",
            "main",
            "servers",
            lambda document: Configuration(document["version"], {}, {}, 3.0, document),
            self.decode_server,
        )
        self.store.write("config", "main", {"version": 3})
        self.store.write("servers", "a", {})
        self.feed = CatalogFeed(
            self.loop,
            self.store,
            self.catalog,
            source,
            random.Random(1),
            lambda: None,
            self.changes.append,
        )
        self.loop.advance(1.0)

    def decode_server(self, server_id, document):
        """Return a server; a document ``None`` stands for another writer's."""
        if document is None:
            return None
        return self.servers.registered(server_id, **document)

    def test_configuration_never_goes_back(self):
        """Guards against an older version from the store or from a peer."""
        self.store.write("config", "main", {"version": 9})
        self.loop.advance(1.0)
        self.store.write("config", "main", {"version": 5})
        self.feed.apply_view(View({"version": 7}, 1, {}), "p2")
        self.loop.advance(1.0)
        self.assertEqual(self.catalog.configuration.version, 9)

    def test_peer_brings_what_the_store_refuses(self):
        """Guards against a proxy that stays behind while the store turns it away."""
        self.store.available = False
        self.loop.advance(1.0)
        view = View({"version": 8}, 10**6, {"b": {}})
        self.feed.apply_view(view, "p2")
        self.assertEqual(self.catalog.configuration.version, 8)
        self.assertIn("b", self.catalog.servers_by_id)

    def test_peer_is_not_believed_while_the_store_answers(self):
        """Guards against an older list of servers from a peer."""
        self.feed.apply_view(View(None, 10**6, {}), "p2")
        self.loop.advance(10.0)
        self.assertIn("a", self.catalog.servers_by_id)

    def test_lost_history_is_listed_anew(self):
        """Guards against changes that nobody learns of after the history is dropped."""
        self.store.available = False
        self.loop.advance(1.0)
        self.store.write("servers", "b", {})
        self.store.forget_history()
        self.store.available = True
        self.loop.advance(3.0)
        self.assertIn("b", self.catalog.servers_by_id)

    def test_lapsed_entry_that_returns_was_never_gone(self):
        """Guards against live servers that are dropped after an outage of the store."""
        self.store.delete("servers", "a")
        self.loop.advance(LAPSE_SECONDS / 2)
        self.store.write("servers", "a", {})
        self.loop.advance(2 * LAPSE_SECONDS)
        self.assertFalse([one for one in self.changes if isinstance(one, Removed)])

    def test_missing_entry_is_gone_in_the_end(self):
        """Guards against an address that is used for another server's."""
        self.store.delete("servers", "a")
        self.loop.advance(2 * LAPSE_SECONDS)
        self.assertNotIn("a", self.catalog.servers_by_id)

    def test_server_that_drained_is_gone_at_once(self):
        """Guards against a takeover that waits for a server that has left."""
        self.store.write("servers", "a", {"draining": True})
        self.loop.advance(1.0)
        self.store.delete("servers", "a")
        self.loop.advance(1.0)
        self.assertNotIn("a", self.catalog.servers_by_id)

    def test_malformed_entry_hides_no_other(self):
        """Guards against another writer that takes the servers away."""
        self.store.write("servers", "x", None)
        self.store.write("servers", "b", {})
        self.loop.advance(1.0)
        self.assertEqual(set(self.catalog.servers_by_id), {"a", "b"})
        added = [one.server.server_id for one in self.changes if isinstance(one, Added)]
        self.assertEqual(added, ["a", "b"])


if __name__ == "__main__":
    unittest.main()
