"""Tests that every ``cassiahill.shared_store.SharedStore`` must pass."""

import random
import unittest
from unittest import mock

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import clock, errors, http1
from cassiahill.loop import EventLoop
from cassiahill.shared_store import MemorySharedStore, Snapshot
from tests import adapter_path

with adapter_path.importable():
    from adapter import lenient_json, store_answers
    from adapter import store as platform_store
    from soak import store as stand_in


class SharedStoreContract:
    """Tests for all implementations of the store."""

    def result(self, future):
        """Wait for a future of the store and return its result."""
        raise NotImplementedError

    def write(self, kind, name, value):
        """Write an object as another client of the store."""
        raise NotImplementedError

    def prepare_restore(self):
        """Copy the content; return a function with which the store returns to it."""
        raise NotImplementedError

    def test_watch_continues_after_a_list(self):
        """Guards against missing a change between a list and a watch."""
        self.write("kind", "a", {"n": 1})
        snapshot = self.result(self.store.list("kind"))
        self.assertEqual([stored.name for stored in snapshot.objects], ["a"])
        self.write("other", "x", {})
        self.write("kind", "b", {"n": 2})
        changes = self.result(self.store.watch("kind", snapshot.revision))
        self.assertEqual([change.stored.name for change in changes.changes], ["b"])
        self.assertGreater(changes.revision, snapshot.revision)

    def test_deletion_is_reported(self):
        """Guards against using servers after their entries were deleted."""
        self.write("kind", "a", {})
        revision = self.result(self.store.list("kind")).revision
        self.delete("kind", "a")
        (change,) = self.result(self.store.watch("kind", revision)).changes
        self.assertTrue(change.deleted)

    def test_lost_history_is_an_error(self):
        """Guards against a watch that silently skips dropped changes."""
        revision = self.result(self.store.list("kind")).revision
        self.write("kind", "a", {})
        self.drop_history()
        with self.assertRaises(errors.HistoryLost):
            self.result(self.store.watch("kind", revision))

    def test_changes_since_a_revision(self):
        """Guards against an answer that hides a change or reports it twice."""
        revision = self.result(self.store.list("kind")).revision
        self.assertEqual(
            self.result(self.store.changes_since("kind", revision)).changes, ()
        )
        self.write("kind", "a", {"n": 1})
        batch = self.result(self.store.changes_since("kind", revision))
        self.assertEqual([change.stored.name for change in batch.changes], ["a"])
        batch = self.result(self.store.changes_since("kind", batch.revision))
        self.assertEqual(batch.changes, ())

    def test_changes_since_a_lost_revision_is_an_error(self):
        """Guards against a proof that the store cannot give."""
        revision = self.result(self.store.list("kind")).revision
        self.write("kind", "a", {})
        self.drop_history()
        with self.assertRaises(errors.HistoryLost):
            self.result(self.store.changes_since("kind", revision))

    def test_changes_since_a_revision_of_an_earlier_era_is_an_error(self):
        """Guards against no changes from a store that has lost some."""
        restore = self.prepare_restore()
        revision = self.result(self.store.list("kind")).revision
        restore()
        self.write("kind", "a", {})
        with self.assertRaises(errors.HistoryLost):
            self.result(self.store.changes_since("kind", revision))

    def test_conditional_write_fails_on_conflict(self):
        """Guards against two proxies that both become the promoter."""
        created = self.result(self.store.create("kind", "a", {"n": 1}))
        with self.assertRaises(errors.Conflict):
            self.result(self.store.create("kind", "a", {"n": 2}))
        changed = self.result(
            self.store.replace("kind", "a", {"n": 3}, created.revision)
        )
        self.assertGreater(changed.revision, created.revision)
        with self.assertRaises(errors.Conflict):
            self.result(self.store.replace("kind", "a", {"n": 4}, created.revision))
        self.assertEqual(self.result(self.store.get("kind", "a")).value, {"n": 3})
        self.assertIsNone(self.result(self.store.get("kind", "none")))

    def test_watch_of_an_earlier_era_is_an_error(self):
        """Guards against a watch that skips what was written again below it."""
        revision = self.result(self.store.list("kind")).revision
        self.write("kind", "lost", {})
        restore = self.prepare_restore()
        later_revision = self.result(self.store.list("kind")).revision
        restore()
        for _ in range(5):
            self.write("kind", "a", {})
        for known in (revision, later_revision):
            with self.assertRaises(errors.HistoryLost):
                self.result(self.store.watch("kind", known))

    def test_list_of_a_later_era_is_newer(self):
        """Guards against a list that is dropped because its number is lower."""
        restore = self.prepare_restore()
        for _ in range(5):
            self.write("kind", "a", {})
        revision = self.result(self.store.list("kind")).revision
        restore()
        self.assertGreater(self.result(self.store.list("kind")).revision, revision)

    def test_conditional_write_of_an_earlier_era_is_a_conflict(self):
        """Guards against replacing another object that has the same number."""
        restore = self.prepare_restore()
        stored = self.result(self.store.create("kind", "a", {"n": 1}))
        restore()
        self.result(self.store.create("kind", "a", {"n": 2}))
        with self.assertRaises(errors.Conflict):
            self.result(self.store.replace("kind", "a", {"n": 3}, stored.revision))

    def test_unavailable_store_is_an_error(self):
        """Guards against treating an outage as an empty store."""
        self.make_unavailable()
        with self.assertRaises(errors.PlatformUnavailable):
            self.result(self.store.list("kind"))


class MemoryStoreTest(SharedStoreContract, unittest.TestCase):
    def setUp(self):
        self.store = MemorySharedStore()
        self.write = self.store.write
        self.delete = self.store.delete
        self.drop_history = self.store.drop_history

    def result(self, future):
        return future.result()

    def prepare_restore(self):
        copied = self.store.copy()
        return lambda: self.store.restore(copied)

    def make_unavailable(self):
        self.store.available = False


class LongAnswersTest(unittest.TestCase):
    """Changes in quick succession whose sum exceeds the limit of an answer."""

    def setUp(self):
        self.loop = EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.server = stand_in.Store(self.loop, random.Random(1))
        self.store = platform_store.PlatformStore(self.loop, self.server.address)
        self.server.put("kind", "a", {"n": 0})
        self.revision = self.result(self.store.list("kind")).revision
        for number in range(4):
            text = "x" * (http1.MAX_BODY_BYTES // 3)
            self.server.put("kind", "a", {"n": number, "text": text})

    def result(self, future):
        while not future.done():
            self.loop._run_once()
        return future.result()

    def test_watch_with_a_long_answer_is_a_lost_history(self):
        """Guards against a watch that asks for more and more changes for ever."""
        with self.assertRaises(errors.HistoryLost):
            self.result(self.store.watch("kind", self.revision))
        with self.assertRaises(errors.HistoryLost):
            self.result(self.store.changes_since("kind", self.revision))
        (stored,) = self.result(self.store.list("kind")).objects
        self.assertEqual(stored.value["n"], 3)


class PagedListTest(unittest.TestCase):
    """Lists of several pages, between which the store changes."""

    def setUp(self):
        self.start_store()

    def start_store(self):
        """Start a store with six objects and pages of two."""
        self.loop = EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.server = stand_in.Store(self.loop, random.Random(1))
        self.server.page_items = 2
        self.store = platform_store.PlatformStore(self.loop, self.server.address)
        for number in range(0, 12, 2):
            self.server.put("kind", f"n{number:02}", {"state": 0})

    def result(self, future):
        while not future.done():
            self.loop._run_once()
        return future.result()

    def act_after_pages(self, *actions):
        """Let each action follow one page of the next list."""
        remaining = list(actions)

        def after_page(_kind, _more):
            if remaining:
                remaining.pop(0)()

        self.server.after_page = after_page

    def held_by_store(self):
        """Return what the store holds, by name."""
        return {
            name: self.server.read_spec("kind", name)
            for name in self.server.list_names("kind")
        }

    def list_and_watch(self, may_be_stale=False):
        """Return what a list and a watch from its revision know, by name."""
        snapshot = self.result(self.store.list("kind", may_be_stale))
        known = {stored.name: stored.value for stored in snapshot.objects}
        revision = attrs.evolve(snapshot.revision, era=self.server.era)
        self.server.put("kind", "last", {})
        batch = self.result(self.store.watch("kind", revision))
        for change in batch.changes:
            if change.deleted:
                known.pop(change.stored.name, None)
            else:
                known[change.stored.name] = change.stored.value
        return known, snapshot

    def test_change_between_two_pages_is_known(self):
        """Guards against a drain that is missed because its page was read before."""
        self.act_after_pages(lambda: self.server.put("kind", "n00", {"state": 1}))
        known, snapshot = self.list_and_watch()
        self.assertEqual(known["n00"], {"state": 1})
        values_by_name = {stored.name: stored.value for stored in snapshot.objects}
        self.assertEqual(values_by_name["n00"], {"state": 1})

    def test_removal_between_two_pages_is_known(self):
        """Guards against a server that is never removed and blocks promotions."""
        self.act_after_pages(lambda: self.server.delete("kind", "n02"))
        known, _ = self.list_and_watch()
        self.assertEqual(known, self.held_by_store())

    def test_list_begins_anew_without_the_history_between_its_pages(self):
        """Guards against pages that nothing can join, and against an endless list."""

        def lose_history():
            self.server.put("kind", "n00", {"state": 1})
            self.server.forget()

        def restore():
            self.server.restore(self.server.copy_content())

        for action in (lose_history, restore):
            self.act_after_pages(lambda: None, action)
            known, _ = self.list_and_watch()
            self.assertEqual(known, self.held_by_store())
        self.act_after_pages(*[lose_history] * 20)
        with self.assertRaises(errors.PlatformUnavailable):
            self.result(self.store.list("kind"))

    @given(
        st.lists(
            st.tuples(st.integers(0, 12), st.sampled_from(("put", "delete"))),
            max_size=5,
        ),
        st.booleans(),
    )
    @settings(derandomize=True, max_examples=100, deadline=None)
    def test_list_and_watch_join_whatever_changes_meanwhile(self, changes, is_stale):
        """Guards against a gap between the pages and the watch that follows."""
        self.start_store()
        actions = []
        for state, (number, action) in enumerate(changes):
            name = f"n{number:02}"
            actions.append(
                (lambda name=name: self.server.delete("kind", name))
                if action == "delete"
                else lambda name=name, state=state: self.server.put(
                    "kind", name, {"state": state}
                )
            )
        self.act_after_pages(*actions)
        known, _ = self.list_and_watch(is_stale)
        self.assertEqual(known, self.held_by_store())

    def test_last_page_counts_for_all_is_found(self):
        """Guards against a search that finds nothing in the former version."""

        def join_nothing(store, _kind, pages):
            yield from ()
            objects = tuple(store_answers.objects_by_name(pages).values())
            return Snapshot(objects, pages[-1].revision)

        with mock.patch.object(
            platform_store.PlatformStore, "_join_pages", join_nothing
        ):
            for change in (
                lambda: self.server.put("kind", "n00", {"state": 1}),
                lambda: self.server.delete("kind", "n02"),
            ):
                self.start_store()
                self.act_after_pages(change)
                known, _ = self.list_and_watch()
                self.assertNotEqual(known, self.held_by_store())

    def test_names_that_cannot_be_sent_back(self):
        """Guards against a page after which the rest of the list is left out."""
        for number in range(5):
            self.server.put("kind", f"n05-{chr(0xDC80 + number)}", {"state": 0})
        known, _ = self.list_and_watch()
        self.assertLessEqual({"n00", "n06", "n10"}, set(known))


class LargeObjectTest(unittest.TestCase):
    def test_largest_object_that_the_settings_allow(self):
        """Guards against a configuration that no process can ever read."""
        event_loop = EventLoop(clock.SystemClock())
        self.addCleanup(event_loop.close)
        server = stand_in.Store(event_loop, random.Random(1))
        value_bytes = 4 * http1.MAX_BODY_BYTES
        text = "x" * (value_bytes - 100)
        server.put("kind", "a", {"text": text})
        store = platform_store.PlatformStore(event_loop, server.address, value_bytes)
        for future in (store.get("kind", "a"), store.list("kind")):
            while not future.done():
                event_loop._run_once()
            self.assertIn(text, str(future.result()))


class PlatformStoreTest(SharedStoreContract, unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.server = stand_in.Store(self.loop, random.Random(1))
        self.store = platform_store.PlatformStore(self.loop, self.server.address)
        self.write = self.server.put
        self.delete = self.server.delete
        self.drop_history = self.server.forget

    def result(self, future):
        while not future.done():
            self.loop._run_once()
        return future.result()

    def prepare_restore(self):
        content = self.server.copy_content()
        return lambda: self.server.restore(content)

    def make_unavailable(self):
        self.server.mode = "busy"

    def test_waiting_watch_ends_when_another_call_shows_a_new_era(self):
        """Guards against a silent connection that hides what follows a restore."""
        revision = self.result(self.store.list("kind")).revision
        watch = self.store.watch("kind", revision)
        self.result(self.store.list("kind"))
        self.assertFalse(watch.done())
        self.server.restore(self.server.copy_content())
        self.result(self.store.list("kind"))
        self.loop.call_at(self.loop.clock.now(), lambda: None)
        self.loop._run_once()
        self.assertIsInstance(watch.exception(), errors.HistoryLost)

    def test_changes_are_read_while_a_watch_waits(self):
        """Guards against a proof that waits for the end of a long watch."""
        revision = self.result(self.store.list("kind")).revision
        watch = self.store.watch("kind", revision)
        batch = self.result(self.store.changes_since("kind", revision))
        self.assertEqual(batch.changes, ())
        self.assertFalse(watch.done())

    def test_unreadable_object_does_not_hide_others(self):
        """Guards against one unreadable entry that makes all servers unavailable."""
        self.write("kind", "a", {"n": 1})
        unreadable_list = (
            b'{"items":[{"meta":7},{"meta":{"name":"b","revision":2},"spec":"\xff"},'
        )
        unreadable_list += (
            b'{"meta":{"name":"a","revision":3},"spec":{}}],"storeRevision":9}'
        )
        answer = lenient_json.decode(unreadable_list)
        names = [
            stored.name for stored in store_answers._decode_objects(answer["items"], 1)
        ]
        self.assertEqual(names, ["b", "a"])


if __name__ == "__main__":
    unittest.main()
