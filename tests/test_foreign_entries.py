"""Tests that no entry of another writer changes what becomes of the own servers."""

import json
import unittest
from unittest import mock

import msgspec
from hypothesis import find, given, settings

from cassiahill import event_log
from cassiahill.shared_store import Revision, Snapshot
from tests import adapter_path, foreign_entries

with adapter_path.importable():
    from adapter import lenient_json
    from adapter import store as platform_store

NO_ITEMS = ((), (), (), ())
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
            objects = tuple(platform_store._stored_all(document["items"], answer.era))
            revision = Revision(answer.era, document["storeRevision"])
            return Snapshot(objects, revision)

        with mock.patch.object(platform_store, "_decode_page", decode_page):
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


if __name__ == "__main__":
    unittest.main()
