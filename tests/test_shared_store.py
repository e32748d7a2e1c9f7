"""The contract of ``cassiahill.shared_store``, in memory and over the network."""

import random
import unittest

from cassiahill import clock, errors
from cassiahill.loop import EventLoop
from cassiahill.shared_store import MemorySharedStore
from tests import adapter_path

with adapter_path.importable():
    from adapter import store as platform_store
    from soak import store as stand_in


class SharedStoreContract:
    """Tests that each kind of store passes."""

    def result(self, future):
        """Return the result of a future of the store."""
        raise NotImplementedError

    def write(self, kind, name, value):
        """Write as another client of the store."""
        raise NotImplementedError

    def test_list_and_watch(self):
        """Guards against changes that are missed between a list and a watch."""
        self.write("kind", "a", {"n": 1})
        snapshot = self.result(self.store.list("kind"))
        self.assertEqual([one.name for one in snapshot.objects], ["a"])
        self.write("other", "x", {})
        self.write("kind", "b", {"n": 2})
        changes = self.result(self.store.watch("kind", snapshot.revision))
        self.assertEqual([one.stored.name for one in changes.changes], ["b"])
        self.assertGreater(changes.revision, snapshot.revision)

    def test_deletion_is_told(self):
        """Guards against servers that are used after they have gone."""
        self.write("kind", "a", {})
        revision = self.result(self.store.list("kind")).revision
        self.delete("kind", "a")
        (change,) = self.result(self.store.watch("kind", revision)).changes
        self.assertTrue(change.deleted)

    def test_lost_history_is_an_error(self):
        """Guards against a watch that goes on as if nothing had been missed."""
        revision = self.result(self.store.list("kind")).revision
        self.write("kind", "a", {})
        self.forget()
        with self.assertRaises(errors.HistoryLost):
            self.result(self.store.watch("kind", revision))

    def test_conditional_writes(self):
        """Guards against two promoters that both believe they won."""
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

    def test_store_that_is_away(self):
        """Guards against an outage that looks like an empty store."""
        self.go_away()
        with self.assertRaises(errors.PlatformUnavailable):
            self.result(self.store.list("kind"))


class MemoryStoreTest(SharedStoreContract, unittest.TestCase):
    def setUp(self):
        self.store = MemorySharedStore()
        self.write = self.store.write
        self.delete = self.store.delete
        self.forget = self.store.forget_history

    def result(self, future):
        return future.result()

    def go_away(self):
        self.store.available = False


class PlatformStoreTest(SharedStoreContract, unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.server = stand_in.Store(self.loop, random.Random(1))
        self.store = platform_store.PlatformStore(self.loop, self.server.address)
        self.write = self.server.put
        self.delete = self.server.delete
        self.forget = self.server.forget

    def result(self, future):
        while not future.done():
            self.loop._run_once()
        return future.result()

    def go_away(self):
        self.server.mode = "busy"

    def test_unreadable_object_hides_no_other(self):
        """Guards against another writer's entry that takes all servers away."""
        self.write("kind", "a", {"n": 1})
        broken = (
            b'{"items":[{"meta":7},{"meta":{"name":"b","revision":2},"spec":"\xff"},'
        )
        broken += b'{"meta":{"name":"a","revision":3},"spec":{}}],"storeRevision":9}'
        answer = platform_store._decode_json(broken)
        names = [one.name for one in platform_store._stored_all(answer["items"])]
        self.assertEqual(names, ["b", "a"])


if __name__ == "__main__":
    unittest.main()
