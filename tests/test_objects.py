"""Tests of ``cassiahill.objects``: one contract for every store."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from cassiahill import clock, errors, objects, platform_calls
from tests import operator_builders

DEADLINE = 1e12
KIND = "figures/2026-12-04"


class ContractMixin:
    """Tests that every store passes; ``setUp`` sets ``store``."""

    def test_put_and_get(self):
        """Guards against values or names that are changed on the way."""
        stored = self.store.put(KIND, "a b", "é".encode(), None, self.deadline())
        self.assertEqual(self.store.get(KIND, "a b", self.deadline()), stored)
        self.assertEqual(stored.value, "é".encode())

    def test_conditional_update(self):
        """Guards against an update that replaces another version."""
        first = self.store.put("c", "x", b"1", 0, self.deadline())
        for wrong in (0, first.version + 1):
            with self.assertRaises(errors.Conflict):
                self.store.put("c", "x", b"2", wrong, self.deadline())
        second = self.store.put("c", "x", b"2", first.version, self.deadline())
        self.assertGreater(second.version, first.version)

    def test_absent(self):
        """Guards against an update of an object that does not exist."""
        with self.assertRaises(errors.NotFound):
            self.store.get("c", "none", self.deadline())
        with self.assertRaises(errors.Conflict):
            self.store.put("c", "none", b"", 1, self.deadline())

    def test_list_and_watch(self):
        """Guards against a watch that misses a change or repeats old ones."""
        first = self.store.put("w", "x", b"1", None, self.deadline())
        self.store.put("other", "y", b"1", None, self.deadline())
        self.assertEqual(self.store.list("w", self.deadline()), [first])
        found = []
        watcher = threading.Thread(
            target=lambda: found.extend(
                self.store.watch("w", first.version, self.deadline())
            )
        )
        watcher.start()
        second = self.store.put("w", "z", b"2", None, self.deadline())
        watcher.join()
        self.assertEqual(found, [second])

    def test_watch_ends_at_its_deadline(self):
        """Guards against a watch that holds an executor thread for ever."""
        self.assertEqual(self.store.watch("none", 0, self.deadline(0.3)), [])

    def test_too_large(self):
        """Guards against values that the platform refuses."""
        value = b"x" * (objects.MAX_VALUE_BYTES + 1)
        with self.assertRaises(errors.RequestTooLarge):
            self.store.put("c", "large", value, None, self.deadline())

    def deadline(self, seconds=20.0):
        return clock.SystemClock().now() + seconds


class MemoryObjectStoreTest(ContractMixin, unittest.TestCase):
    def setUp(self):
        self.store = objects.MemoryObjectStore()


class HttpObjectStoreTest(ContractMixin, unittest.TestCase):
    def setUp(self):
        self.address = self.enterContext(operator_builders.platform_standin())
        self.store = objects.HttpObjectStore(self.address)

    def test_lost_answer_is_unknown(self):
        """Guards against reporting a change as failed although it took effect."""
        operator_builders.set_fault(self.address, lose_answers=1)
        with self.assertRaises(errors.PlatformUnavailable) as caught:
            self.store.put("c", "x", b"1", 0, self.deadline(0.3))
        self.assertEqual(caught.exception.may_have_run, "unknown")
        self.assertEqual(self.store.get("c", "x", self.deadline()).value, b"1")

    def test_no_address(self):
        """Guards against a drain that never ends because storing figures fails."""
        store = objects.HttpObjectStore(None)
        with self.assertRaises(errors.PlatformUnavailable):
            store.get("c", "x", self.deadline())

    def test_close_ends_a_watch(self):
        """Guards against a process that cannot end while a watch waits."""
        store = self.store
        with ThreadPoolExecutor(1) as executor:
            watch = executor.submit(store.watch, "w", 10**6, self.deadline(30.0))
            in_flight = store._open_sockets._sockets
            while not in_flight and not watch.done():
                threading.Event().wait(0.01)
            self.assertFalse(watch.done())
            store.close()
            with self.assertRaises(errors.PlatformUnavailable):
                watch.result(timeout=5.0)
        with self.assertRaises(errors.PlatformUnavailable):
            store.get("w", "x", self.deadline(1.0))

    def test_refused_connection_is_not_run(self):
        """Guards against an unknown outcome where nothing was sent."""
        store = objects.HttpObjectStore(("127.0.0.1", 1))
        with self.assertRaises(errors.PlatformUnavailable) as caught:
            store.put("c", "x", b"1", 0, self.deadline())
        self.assertEqual(caught.exception.may_have_run, "no")


class ScriptedStore(objects.ObjectStore):
    """Fails as told before it answers; moves the clock with each call."""

    def __init__(self, manual, failures):
        self._clock = manual
        self.failures = list(failures)
        self.calls = 0

    def get(self, kind, name, deadline):
        self.calls += 1
        self._clock.advance(1.0)
        if self.failures:
            raise errors.PlatformUnavailable("down", may_have_run=self.failures.pop(0))
        return "answer"

    def put(self, kind, name, value, expected_version, deadline):
        return self.get(kind, name, deadline)


class BoundedStoreTest(unittest.TestCase):
    def bounded(self, *failures):
        manual = clock.ManualClock(0.0)
        scripted = ScriptedStore(manual, failures)
        store = objects.RetryingObjectStore(
            scripted, platform_calls.CallBudget(), 1, manual, lambda: 0.0
        )
        return scripted, store

    def test_reads_are_repeated(self):
        """Guards against a read that gives up although time remains."""
        scripted, store = self.bounded("unknown", "no")
        self.assertEqual(store.get("c", "x", 10.0), "answer")
        self.assertEqual(scripted.calls, 3)

    def test_put_is_repeated_only_when_nothing_was_sent(self):
        """Guards against a change that is made twice."""
        scripted, store = self.bounded("no", "unknown")
        with self.assertRaises(errors.PlatformUnavailable):
            store.put("c", "x", b"", None, 10.0)
        self.assertEqual(scripted.calls, 2)

    def test_reads_end_at_the_deadline(self):
        """Guards against repeating for ever during an outage."""
        scripted, store = self.bounded(*["unknown"] * 99)
        with self.assertRaises(errors.PlatformUnavailable):
            store.get("c", "x", 5.0)
        self.assertEqual(scripted.calls, 5)
