"""Tests of ``cassiahill.request_queue``."""

import unittest

from cassiahill.placement import AtPosition, OnPrimary
from cassiahill.positions import LogPosition
from cassiahill.request_queue import QueuedRequest, RequestQueue


def request(request_id, priority=1, arrived_at=0.0, deadline=1.0, primary=False):
    """Return a queued request; ``primary`` tells whether it needs the primary."""
    requirement = OnPrimary() if primary else AtPosition(LogPosition(1, 1))
    return QueuedRequest(
        request_id, priority, arrived_at, deadline, lambda: requirement
    )


def overdue_ids(queue, now, primary_expected_at):
    """Return the ids of the requests to refuse."""
    overdue = queue.overdue(
        now,
        primary_expected_at,
        lambda queued: isinstance(queued.requirement(), OnPrimary),
    )
    return [queued.request_id for queued in overdue]


class RequestQueueTest(unittest.TestCase):
    def test_order_is_by_priority_then_arrival(self):
        """Guards against urgent requests that wait behind a burst of others."""
        queue = RequestQueue()
        for request_id, priority in (("x", 2), ("y", 1), ("z", 0), ("w", 1)):
            queue.add(request(request_id, priority))
        self.assertEqual([queued.request_id for queued in queue], ["z", "y", "w", "x"])

    def test_late_requests_go_behind_others_of_their_priority(self):
        """Guards against an overload in which every request misses its target."""
        queue = RequestQueue()
        for request_id, priority, target_at in (
            ("missed", 1, 0.2),
            ("fresh", 1, 0.5),
            ("lookup", 2, 0.5),
        ):
            queued = request(request_id, priority)
            queued.target_at = target_at
            queue.add(queued)
        queue.mark_late(0.1)
        self.assertEqual(
            [queued.request_id for queued in queue], ["missed", "fresh", "lookup"]
        )
        queue.mark_late(0.3)
        self.assertEqual(
            [queued.request_id for queued in queue], ["fresh", "missed", "lookup"]
        )

    def test_no_room_behind_requests_that_wait_for_long(self):
        """Guards against requests that are let in only to miss their target."""
        queue = RequestQueue()
        oldest = request("oldest")
        oldest.target_at = 0.2
        queue.add(oldest)
        self.assertTrue(queue.has_room_for(request("a", arrived_at=0.1), 0.1))
        self.assertFalse(queue.has_room_for(request("a", arrived_at=0.19), 0.19))
        self.assertTrue(queue.has_room_for(request("b", 0, arrived_at=0.19), 0.19))
        queue.remove(oldest)
        self.assertTrue(queue.has_room_for(request("a", arrived_at=0.19), 0.19))

    def test_one_request_waits_after_others_waited_in_vain(self):
        """Guards against a priority that lets in requests which it never serves.

        One of them waits, so that the end of the overload is noticed.
        """
        queue = RequestQueue()
        queue.record_starved(request("starved"))
        self.assertTrue(queue.has_room_for(request("first"), 1.0))
        queue.add(request("first", arrived_at=1.0))
        self.assertFalse(queue.has_room_for(request("next"), 1.0))
        queue.record_served(request("first"))
        self.assertTrue(queue.has_room_for(request("next"), 1.0))

    def test_refused_while_the_client_has_time_for_another_attempt(self):
        """Guards against a refusal too late for another attempt of the client."""
        queue = RequestQueue()
        queue.add(request("x"))
        self.assertEqual(overdue_ids(queue, 0.4, 0.4), [])
        self.assertEqual(overdue_ids(queue, 0.46, 0.46), ["x"])

    def test_refused_at_once_when_no_primary_is_expected_in_time(self):
        """Guards against requests that stay queued although they cannot be served."""
        queue = RequestQueue()
        queue.add(request("write", primary=True))
        queue.add(request("read"))
        self.assertEqual(overdue_ids(queue, 0.0, 1.8), ["write"])
        self.assertEqual(overdue_ids(queue, 0.0, 0.2), [])

    def test_removal_is_idempotent(self):
        """Guards against an error for a request that was removed already."""
        queue = RequestQueue()
        queued = request("x")
        queue.add(queued)
        queue.remove(queued)
        queue.remove(queued)
        self.assertEqual(len(queue), 0)


if __name__ == "__main__":
    unittest.main()
