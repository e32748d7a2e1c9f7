"""Tests that no entry of another writer changes what becomes of the own servers."""

import json
import time
import unittest
from unittest import mock

import msgspec
from hypothesis import find, given, settings

from cassiahill import event_log
from cassiahill.shared_store import MemorySharedStore, Revision, Snapshot
from tests import adapter_path, foreign_entries
from tests.loop_waits import let_time_pass
from tests.proxy_process import running_proxy

with adapter_path.importable():
    from adapter import lenient_json, store_answers

NO_ITEMS = ((), (), (), ())
LIMIT_SECONDS = 20.0
SEARCH_SETTINGS = settings(derandomize=True, max_examples=150, deadline=None)


def differs(foreign_items):
    """Return whether items of other writers change anything for the own servers."""
    expected = foreign_entries.outcome(NO_ITEMS)
    try:
        return foreign_entries.outcome(foreign_items) != expected
    except Exception:  # noqa: BLE001 what a broken version raises
        return True


def find_difference():
    """Return items that change something; raises ``NoSuchExample`` without any."""
    return find(foreign_entries.draw_foreign_items(), differs, settings=SEARCH_SETTINGS)


class ForeignEntriesTest(unittest.TestCase):
    def test_own_servers_are_known_without_foreign_entries(self):
        """Guards against a comparison of two empty lists."""
        outcome = foreign_entries.outcome(NO_ITEMS)
        self.assertEqual(set(outcome.listed), set(foreign_entries.OWN_IDS))
        self.assertTrue(outcome.watched["i-1"].draining)
        self.assertTrue(outcome.of_peer["i-2"].registered_as_primary)
        self.assertIn(("server_entry_gone", "i-3"), outcome.log)
        self.assertIsNotNone(outcome.dump)

    @SEARCH_SETTINGS
    @given(foreign_entries.draw_foreign_items())
    def test_drawn_entries_change_nothing(self, foreign_items):
        """Guards against one entry that hides, adds or ends others."""
        self.assertEqual(
            foreign_entries.outcome(foreign_items), foreign_entries.outcome(NO_ITEMS)
        )

    def test_many_entries_leave_the_log_readable(self):
        """Guards against lines of own servers that are dropped."""
        items = [
            foreign_entries.encode_item(b'"a-%03d"' % n, b"{}") for n in range(600)
        ]
        self.assertFalse(differs((items, (), (), ())))


class ForeignServiceTest(unittest.TestCase):
    """Sound entries of services that the configuration does not name."""

    def setUp(self):
        self.store = MemorySharedStore()
        for number in range(3):
            self.write_server(f"i-{number}", "orders")
            self.write_server(f"x-{number}", f"elsewhere-{number}")
        self.write_configuration(1, ["orders"])
        manager = running_proxy(self.store)
        self.proxy, _ = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        self.wait_for_server("i-2")

    def write_server(self, server_id, service):
        entry = {**foreign_entries.OWN_ENTRY, "service": service}
        self.store.write("servers", server_id, entry)

    def write_configuration(self, version, services):
        document = {
            "version": version,
            "routes": [{"host": "shop", "service": "orders"}],
            "services": [{"name": name, "maxConns": 20} for name in services],
        }
        self.store.write("config", "main", document)

    def wait_for_server(self, server_id):
        """Wait until a group of the proxy has a server."""
        deadline = time.monotonic() + LIMIT_SECONDS
        while not any(
            server_id in group.pools_by_id
            for group in list(self.proxy.groups_by_name.values())
        ):
            self.assertLess(time.monotonic(), deadline, server_id)
            let_time_pass(self.proxy._loop, 0.02)

    def test_no_group_is_made_for_them(self):
        """Guards against promotions and connections for what nobody configured."""
        self.assertEqual(set(self.proxy.groups_by_name), {"orders"})

    def test_servers_of_an_added_service_are_used(self):
        """Guards against a service without servers that registered before it."""
        self.write_configuration(2, ["orders", "elsewhere-1"])
        self.wait_for_server("x-1")
        self.assertEqual(set(self.proxy.groups_by_name), {"orders", "elsewhere-1"})


class BrokenVersionsTest(unittest.TestCase):
    """The search finds each place where one entry could decide about others."""

    def test_bodies_that_are_decoded_as_a_whole(self):
        """Guards against a search that misses numbers and texts no decoder takes."""

        def decode_whole(body):
            try:
                return msgspec.json.decode(body)
            except (msgspec.DecodeError, RecursionError):
                return json.loads(body.decode("utf-8", "replace"), strict=False)

        def decode_page(answer):
            document = decode_whole(answer.body)
            objects = tuple(
                store_answers._decode_objects(document["items"], answer.era)
            )
            revision = Revision(answer.era, document["storeRevision"])
            return Snapshot(objects, revision)

        with mock.patch.object(store_answers, "decode_page", decode_page):
            find_difference()

    def test_log_lines_that_cannot_be_encoded(self):
        """Guards against a search that misses names that end a list at a log line."""

        def decode_any_text(body):
            try:
                return json.loads(body, strict=False)
            except (ValueError, RecursionError):
                return None

        with (
            mock.patch.object(lenient_json, "decode_or_none", decode_any_text),
            mock.patch.object(event_log, "printable", lambda text: text),
            mock.patch.object(
                event_log.BoundedWriter,
                "_line",
                lambda writer, record: writer.format(record),
            ),
        ):
            find_difference()

    def test_entries_with_missing_fields(self):
        """Guards against a search that misses servers that do not exist."""
        defaults = {"seq": 0, "born": 0, "version": "", "coldLeftMs": 0}
        decode = lenient_json.decode_or_none

        def decode_with_defaults(*args):
            value = decode(*args)
            if isinstance(value, dict) and isinstance(value.get("spec"), dict):
                value["spec"] = {**defaults, **value["spec"]}
            return value

        with mock.patch.object(lenient_json, "decode_or_none", decode_with_defaults):
            find_difference()


if __name__ == "__main__":
    unittest.main()
