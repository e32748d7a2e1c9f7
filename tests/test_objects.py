"""Tests of ``cassiahill.objects``: the same tests run on every object store."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from cassiahill import blocking_http, clock, errors, objects, platform_calls
from tests import operator_builders

DEADLINE = 1e12
KIND = "figures/2026-12-04"


class ObjectStoreContract:
    """Tests for every object store; ``setUp`` of the subclass sets ``self.store``."""

    def test_put_and_get(self):
        """Guards against a slash, a space or an accent that is changed on the way."""
        stored = self.store.put(KIND, "a b", "é".encode(), None, self.deadline())
        self.assertEqual(self.store.get(KIND, "a b", self.deadline()), stored)
        self.assertEqual(stored.value, "é".encode())

    def test_conditional_update(self):
        """Guards against an update of a version that its author has not read."""
        first = self.store.put("c", "x", b"1", 0, self.deadline())
        for wrong_version in (0, first.version + 1):
            with self.assertRaises(errors.Conflict):
                self.store.put("c", "x", b"2", wrong_version, self.deadline())
        second = self.store.put("c", "x", b"2", first.version, self.deadline())
        self.assertGreater(second.version, first.version)

    def test_absent_object_is_reported(self):
        """Guards against a read or update of an absent object that seems to succeed."""
        with self.assertRaises(errors.NotFound):
            self.store.get("c", "none", self.deadline())
        with self.assertRaises(errors.Conflict):
            self.store.put("c", "none", b"", 1, self.deadline())

    def test_list_and_watch(self):
        """Guards against a watch that misses a change or returns older ones again."""
        first = self.store.put("w", "x", b"1", None, self.deadline())
        self.store.put("other", "y", b"1", None, self.deadline())
        self.assertEqual(self.store.list("w", self.deadline()), [first])
        watched = []
        watcher = threading.Thread(
            target=lambda: watched.extend(
                self.store.watch("w", first.version, self.deadline())
            )
        )
        watcher.start()
        second = self.store.put("w", "z", b"2", None, self.deadline())
        watcher.join()
        self.assertEqual(watched, [second])

    def test_watch_ends_at_its_deadline(self):
        """Guards against a watch that holds an executor thread for ever."""
        self.assertEqual(self.store.watch("none", 0, self.deadline(0.3)), [])

    def test_too_large_value_is_refused(self):
        """Guards against sending a value that the platform will refuse for its size."""
        value = b"x" * (objects.MAX_VALUE_BYTES + 1)
        with self.assertRaises(errors.RequestTooLarge):
            self.store.put("c", "large", value, None, self.deadline())

    def deadline(self, seconds=20.0):
        """Return the instant that lies so many seconds ahead."""
        return clock.SystemClock().now() + seconds


class MemoryObjectStoreTest(ObjectStoreContract, unittest.TestCase):
    def setUp(self):
        self.store = objects.MemoryObjectStore()


class HttpObjectStoreTest(ObjectStoreContract, unittest.TestCase):
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

    def test_too_large_answer(self):
        """Guards against a list that is too large and seems to be an outage."""
        for number in range(3):
            self.store.put(KIND, str(number), b"x" * 100, None, self.deadline())
        with (
            mock.patch.object(blocking_http, "MAX_ANSWER_BYTES", 300),
            self.assertRaises(errors.AnswerTooLarge),
        ):
            self.store.list(KIND, self.deadline())

    def test_call_without_an_address_fails(self):
        """Guards against a drain that never ends because storing figures fails.

        A process without a platform must get the error that it handles as an outage.
        """
        store = objects.HttpObjectStore(None)
        with self.assertRaises(errors.PlatformUnavailable):
            store.get("c", "x", self.deadline())

    def test_close_aborts_a_watch(self):
        """Guards against a process that cannot exit while a watch waits."""
        store = self.store
        with ThreadPoolExecutor(1) as executor:
            watch = executor.submit(store.watch, "w", 10**6, self.deadline(30.0))
            sockets_in_flight = store._open_sockets._sockets
            while not sockets_in_flight and not watch.done():
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


class FailingStore(objects.ObjectStore):
    """Fails the first calls and answers the later ones; each call takes one second.

    Parameters
    ----------
    manual_clock : clock.ManualClock
    failures : iterable of str
        ``may_have_run`` of the error of each failing call.
    """

    def __init__(self, manual_clock, failures):
        self._clock = manual_clock
        self.failures = list(failures)
        self.call_count = 0

    def get(self, kind, name, deadline):
        self.call_count += 1
        self._clock.advance(1.0)
        if self.failures:
            raise errors.PlatformUnavailable("down", may_have_run=self.failures.pop(0))
        return "answer"

    def put(self, kind, name, value, expected_version, deadline):
        return self.get(kind, name, deadline)


class RetryingObjectStoreTest(unittest.TestCase):
    def make_stores(self, *failures):
        """Return a failing store and the retrying store that calls it."""
        manual_clock = clock.ManualClock(0.0)
        failing = FailingStore(manual_clock, failures)
        retrying = objects.RetryingObjectStore(
            failing, platform_calls.CallLimiter(), 1, manual_clock, lambda: 0.0
        )
        return failing, retrying

    def test_reads_are_retried(self):
        """Guards against a read that fails although time remains."""
        failing, retrying = self.make_stores("unknown", "no")
        self.assertEqual(retrying.get("c", "x", 10.0), "answer")
        self.assertEqual(failing.call_count, 3)

    def test_put_is_retried_only_when_nothing_was_sent(self):
        """Guards against a change that is made twice."""
        failing, retrying = self.make_stores("no", "unknown")
        with self.assertRaises(errors.PlatformUnavailable):
            retrying.put("c", "x", b"", None, 10.0)
        self.assertEqual(failing.call_count, 2)

    def test_too_large_answer_is_no_outage(self):
        """Guards against a list that is read in vain until the deadline.

        Each attempt takes the largest answer, and its failure held other calls back.
        """
        failing, retrying = self.make_stores()
        too_large = errors.AnswerTooLarge("the answer is too large")
        with mock.patch.object(
            failing, "get", side_effect=[too_large, "answer"]
        ) as get:
            with self.assertRaises(errors.AnswerTooLarge):
                retrying.get("c", "x", 5.0)
            self.assertEqual(get.call_count, 1)
        self.assertEqual(retrying._limiter.consecutive_failures, 0)

    def test_reads_are_not_retried_after_the_deadline(self):
        """Guards against a read that is retried for ever during an outage."""
        failing, retrying = self.make_stores(*["unknown"] * 99)
        with self.assertRaises(errors.PlatformUnavailable):
            retrying.get("c", "x", 5.0)
        self.assertEqual(failing.call_count, 5)
