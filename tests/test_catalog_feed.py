"""Tests of ``cassiahill.catalog_feed`` and ``cassiahill.store_watcher``."""

import json
import random
import unittest

import attrs

from cassiahill import errors
from cassiahill.catalog import (
    REMOVAL_DELAY_SECONDS,
    Catalog,
    Configuration,
    ServerAdded,
    ServerRemoved,
)
from cassiahill.catalog_feed import CatalogFeed, CatalogSource
from cassiahill.configuration_age import ERA_SETTLE_SECONDS, ConfigurationAge
from cassiahill.heartbeats import View
from cassiahill.loop import LoopFuture
from cassiahill.shared_store import MemorySharedStore
from tests.line_group import InMemoryGroup
from tests.log_lines import captured_log_lines
from tests.stepped_loop import SteppedLoop


class FeedTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.store = MemorySharedStore()
        self.servers = InMemoryGroup(self.loop)
        self.catalog = Catalog()
        self.changes = []
        self.decoded_documents = []
        source = CatalogSource(
            "config",
            "main",
            "servers",
            self.decode_configuration,
            self.decode_server,
        )
        self.store.write("config", "main", {"version": 3})
        self.store.write("servers", "a", {})
        self.age = ConfigurationAge(5.0, self.loop.clock.now())
        self.feed = CatalogFeed(
            self.loop,
            self.store,
            self.catalog,
            source,
            random.Random(1),
            lambda: None,
            self.changes.append,
            self.age,
        )
        self.loop.advance(1.0)

    def decode_configuration(self, document):
        """Return a configuration, or None for the invalid document ``None``."""
        self.decoded_documents.append(document)
        if document is None:
            return None
        return Configuration(document["version"], {}, {}, 3.0, document)

    def decode_server(self, server_id, document):
        """Return a server, or None for the invalid document ``None``."""
        if document is None:
            return None
        return self.servers.registered(server_id, **document)

    def test_configuration_is_never_replaced_by_an_older_one(self):
        """Guards against installing an older version from the store or a peer."""
        self.store.write("config", "main", {"version": 9})
        self.loop.advance(1.0)
        self.store.write("config", "main", {"version": 5})
        self.feed.apply_view(View({"version": 7}, 1, {}, servers_era=1), "p2")
        self.loop.advance(1.0)
        self.assertEqual(self.catalog.configuration.version, 9)

    def test_log_tells_how_long_a_version_was_known_before(self):
        """Guards against a late version of which nobody can tell why it was late."""
        self.store.available = False
        self.age.record_known(8, self.loop.clock.now())
        self.loop.advance(2.0)
        with captured_log_lines() as lines:
            self.feed.apply_view(View({"version": 8}, 1, {}, servers_era=1), "p2")
        (installed,) = [
            json.loads(line) for line in lines if "configuration_installed" in line
        ]
        self.assertEqual(installed["source"], "peer p2")
        self.assertAlmostEqual(installed["known_for"], 2.0)
        self.assertGreaterEqual(installed["proof_age"], 2.0)

    def test_log_tells_how_long_a_lost_watch_has_waited(self):
        """Guards against a silent store that looks like one that refuses calls."""
        waiting = LoopFuture()
        self.store.watch = lambda *_: waiting
        self.loop.advance(1.0)
        with captured_log_lines() as lines:
            self.loop.advance(3.0)
            waiting.set_exception(errors.PlatformUnavailable("no answer"))
            self.loop.advance(0.05)
        lost = [json.loads(line) for line in lines if "watch_lost" in line]
        self.assertEqual({line["kind"] for line in lost}, {"config", "servers"})
        self.assertTrue(all(3.0 < line["waited"] < 4.1 for line in lost), lost)

    def test_known_configuration_is_not_decoded_again(self):
        """Guards against the work for thousands of tenants at each copy of a version.

        The store, peers and the proof of the age bring the same version.
        """
        self.feed.apply_view(View({"version": 3}, 1, {}, servers_era=1), "p2")
        self.feed.request_lists()
        self.loop.advance(1.0)
        self.assertEqual(self.decoded_documents, [{"version": 3}])

    def test_peer_view_is_applied_while_the_store_is_down(self):
        """Guards against an outdated catalog while the store does not answer."""
        self.store.available = False
        self.loop.advance(1.0)
        view = View({"version": 8}, 10**6, {"b": {}}, servers_era=1)
        self.feed.apply_view(view, "p2")
        self.assertEqual(self.catalog.configuration.version, 8)
        self.assertIn("b", self.catalog.servers_by_id)

    def test_peer_servers_are_ignored_while_the_store_answers(self):
        """Guards against an outdated list of servers from a peer."""
        self.feed.apply_view(View(None, 10**6, {}, servers_era=1), "p2")
        self.loop.advance(10.0)
        self.assertIn("a", self.catalog.servers_by_id)

    def test_objects_are_listed_again_after_lost_history(self):
        """Guards against missing changes after the store has dropped its history."""
        self.store.available = False
        self.loop.advance(1.0)
        self.store.write("servers", "b", {})
        self.store.drop_history()
        self.store.available = True
        self.loop.advance(3.0)
        self.assertIn("b", self.catalog.servers_by_id)

    def test_entry_that_returns_in_time_is_not_removed(self):
        """Guards against removing live servers after an outage of the store."""
        self.store.delete("servers", "a")
        self.loop.advance(REMOVAL_DELAY_SECONDS / 2)
        self.store.write("servers", "a", {})
        self.loop.advance(2 * REMOVAL_DELAY_SECONDS)
        self.assertFalse(
            [change for change in self.changes if isinstance(change, ServerRemoved)]
        )

    def test_entry_that_returns_after_a_second_outage_is_not_removed(self):
        """Guards against removing live servers that no store lets register."""
        self.store.delete("servers", "a")
        self.loop.advance(0.5)
        self.store.available = False
        self.loop.advance(3 * REMOVAL_DELAY_SECONDS)
        self.store.available = True
        self.loop.advance(REMOVAL_DELAY_SECONDS / 2)
        self.store.write("servers", "a", {})
        self.loop.advance(2 * REMOVAL_DELAY_SECONDS)
        self.assertFalse(
            [change for change in self.changes if isinstance(change, ServerRemoved)]
        )

    def test_missing_entry_is_removed_after_the_delay(self):
        """Guards against using an address that now belongs to another server."""
        self.store.delete("servers", "a")
        self.loop.advance(2 * REMOVAL_DELAY_SECONDS)
        self.assertNotIn("a", self.catalog.servers_by_id)

    def test_missing_entry_is_removed_after_an_outage(self):
        """Guards against a server that is kept for good once the store was away."""
        self.store.delete("servers", "a")
        self.loop.advance(0.5)
        self.store.available = False
        self.loop.advance(3.0)
        self.store.available = True
        self.loop.advance(2 * REMOVAL_DELAY_SECONDS + 1.0)
        self.assertNotIn("a", self.catalog.servers_by_id)

    def test_deleted_draining_server_is_removed_at_once(self):
        """Guards against a promotion that waits for a server that was shut down."""
        self.store.write("servers", "a", {"draining": True})
        self.loop.advance(1.0)
        self.store.delete("servers", "a")
        self.loop.advance(1.0)
        self.assertNotIn("a", self.catalog.servers_by_id)

    def test_draining_server_is_not_ready_again_in_an_older_copy(self):
        """Guards against new work for a leaving server after the store was restored."""
        self.store.write("servers", "a", {"write_count": 4})
        copied = self.store.copy()
        self.store.write("servers", "a", {"draining": True, "write_count": 5})
        self.loop.advance(1.0)
        self.store.restore(copied)
        self.loop.advance(1.0)
        self.assertTrue(self.catalog.servers_by_id["a"].draining)

    def test_server_that_has_left_is_not_used_again_in_an_older_copy(self):
        """Guards against a server that returns with the store's older copy."""
        self.store.write("servers", "a", {"write_count": 4})
        copied = self.store.copy()
        self.store.write("servers", "a", {"draining": True, "write_count": 5})
        self.store.delete("servers", "a")
        self.loop.advance(1.0)
        self.store.restore(copied)
        self.loop.advance(1.0)
        self.assertEqual(self.catalog.servers_by_id, {})

    def test_server_that_has_left_may_start_again_under_its_id(self):
        """Guards against a server that is ignored because a former run has left."""
        self.store.write("servers", "a", {"draining": True, "write_count": 5})
        self.store.delete("servers", "a")
        self.loop.advance(1.0)
        self.store.write("servers", "a", {"started_at_ms": 2, "write_count": 1})
        self.loop.advance(1.0)
        self.assertFalse(self.catalog.servers_by_id["a"].draining)

    def test_watch_goes_on_after_an_unexpected_error(self):
        """Guards against a process that one object leaves without news for good."""
        errors_left = [ZeroDivisionError()]

        def decode_or_fail(server_id, document):
            if errors_left:
                raise errors_left.pop()
            return self.decode_server(server_id, document)

        self.feed._source = attrs.evolve(
            self.feed._source, decode_server=decode_or_fail
        )
        with self.assertLogs("absl", "ERROR"):
            self.store.write("servers", "b", {})
            self.loop.advance(1.0)
        self.store.write("servers", "c", {})
        self.loop.advance(2.0)
        self.assertEqual(set(self.catalog.servers_by_id), {"a", "b", "c"})

    def test_malformed_entry_does_not_affect_others(self):
        """Guards against one invalid entry that makes other servers unavailable."""
        self.store.write("servers", "x", None)
        self.store.write("servers", "b", {})
        self.loop.advance(1.0)
        self.assertEqual(set(self.catalog.servers_by_id), {"a", "b"})
        added = [
            change.server.server_id
            for change in self.changes
            if isinstance(change, ServerAdded)
        ]
        self.assertEqual(added, ["a", "b"])

    # Proofs of the configuration's age. The watcher rests, so that it gives none.

    def rest_until_settled(self):
        """Let the watcher rest, until proofs of the store's era count."""
        self.feed.set_resting(True)
        self.loop.advance(ERA_SETTLE_SECONDS)

    def verify(self):
        """Ask the store for a proof; return whether it was asked and gave one."""
        self.loop.advance(0.1)
        proved_at = self.age.proved_at
        answered = self.loop.result(self.feed.verify_configuration())
        return answered and self.age.proved_at > proved_at

    def test_proof_without_changes_reads_no_list(self):
        """Guards against reading a large configuration again for each proof."""
        self.rest_until_settled()
        lists = []
        self.store.list = lambda kind, may_be_stale=False: lists.append(kind)
        self.assertTrue(self.verify())
        self.assertTrue(self.verify())
        self.assertEqual(lists, [])

    def test_answer_after_the_deadline_is_applied(self):
        """Guards against a busy process that drops each answer and asks again."""
        self.rest_until_settled()
        late_batch = LoopFuture()
        revision = self.feed._complete_revision
        self.store.changes_since = lambda _kind, _revision: late_batch
        self.assertFalse(self.verify())
        self.store.write("config", "main", {"version": 5})
        late_batch.set_result(self.store.watch("config", revision).result())
        self.loop.advance(0.1)
        self.assertEqual(self.catalog.configuration.version, 5)

    def test_proof_installs_what_has_changed(self):
        """Guards against a proof of a version that is not in force."""
        self.rest_until_settled()
        self.store.write("config", "main", {"version": 6})
        self.assertTrue(self.verify())
        self.assertEqual(self.catalog.configuration.version, 6)
        self.assertEqual(self.age.proved_version, 6)

    def test_lost_history_is_replaced_by_a_list(self):
        """Guards against a proxy that gets no proof after the history was dropped."""
        self.rest_until_settled()
        self.store.write("config", "main", {"version": 6})
        self.store.drop_history()
        self.assertTrue(self.verify())
        self.assertEqual(self.catalog.configuration.version, 6)

    def test_unreadable_configuration_is_not_proved(self):
        """Guards against a proof of an old version by a new one that is unreadable."""
        self.rest_until_settled()
        self.store.write("config", "main", None)
        self.assertFalse(self.verify())
        self.store.write("config", "main", {"version": 6})
        self.assertTrue(self.verify())

    def test_copy_of_a_peer_is_not_proved(self):
        """Guards against an age that a peer's copy resets."""
        proved_at = self.age.proved_at
        self.rest_until_settled()
        self.feed.apply_view(View({"version": 8}, 1, {}, servers_era=1), "p2")
        self.assertEqual(self.age.proved_at, proved_at)
        self.assertFalse(self.verify(), "the store does not hold version 8")

    def test_read_that_may_be_stale_is_not_proved(self):
        """Guards against a proof by an answer that is some seconds old."""
        self.rest_until_settled()
        proved_at = self.age.proved_at
        self.loop.result(self.feed.read_configuration(3))
        self.assertEqual(self.age.proved_at, proved_at)
        self.store.write("config", "main", {"version": 6})
        stale = self.store.copy()
        stale.write("config", "main", {"version": 5})
        current_get = self.store.get
        self.store.get = lambda kind, name, may_be_stale=False: (
            stale.get if may_be_stale else current_get
        )(kind, name, may_be_stale)
        self.loop.result(self.feed.read_configuration(6))
        self.assertGreater(self.age.proved_at, proved_at)
        self.assertEqual(self.age.proved_version, 6)

    def test_restored_store_proves_only_what_it_holds_again(self):
        """Guards against a proof by a store that has lost the newest version."""
        copied = self.store.copy()
        self.store.write("config", "main", {"version": 6})
        self.rest_until_settled()
        self.assertTrue(self.verify())
        self.store.restore(copied)
        self.assertFalse(self.verify())
        self.loop.advance(ERA_SETTLE_SECONDS)
        self.assertFalse(self.verify())
        self.store.write("config", "main", {"version": 6})
        self.assertTrue(self.verify())


if __name__ == "__main__":
    unittest.main()
