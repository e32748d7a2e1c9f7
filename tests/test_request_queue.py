"""Tests of ``cassiahill.request_queue``."""

import unittest

from cassiahill.placement import AtPosition, OnPrimary
from cassiahill.positions import LogPosition
from cassiahill.request_queue import QueuedRequest, RequestQueue


def request(request_id, priority=1, arrived_at=0.0, deadline=1.0, primary=False):
    """Return a request that waits."""
    need = OnPrimary() if primary else AtPosition(LogPosition(1, 1))
    return QueuedRequest(request_id, priority, arrived_at, deadline, lambda: need)


def overdue(waiting, now, expected_at):
    """Return the ids of the requests to refuse."""
    found = waiting.overdue(
        now, expected_at, lambda one: isinstance(one.requirement(), OnPrimary)
    )
    return [one.request_id for one in found]


class WaitingListTest(unittest.TestCase):
    def test_urgent_first_then_in_order(self):
        """Guards against urgent requests that wait behind a burst of others."""
        waiting = RequestQueue()
        for request_id, priority in (("x", 2), ("y", 1), ("z", 0), ("w", 1)):
            waiting.add(request(request_id, priority))
        self.assertEqual([one.request_id for one in waiting], ["z", "y", "w", "x"])

    def test_those_that_miss_their_target_go_behind_their_equals(self):
        """Guards against an overload in which every request is answered late."""
        waiting = RequestQueue()
        for request_id, priority, target_at in (
            ("missed", 1, 0.2),
            ("fresh", 1, 0.5),
            ("lookup", 2, 0.5),
        ):
            one = request(request_id, priority)
            one.target_at = target_at
            waiting.add(one)
        waiting.mark_late(0.1)
        self.assertEqual(
            [one.request_id for one in waiting], ["missed", "fresh", "lookup"]
        )
        waiting.mark_late(0.3)
        self.assertEqual(
            [one.request_id for one in waiting], ["fresh", "missed", "lookup"]
        )

    def test_refused_while_the_client_has_time_for_another_attempt(self):
        """Guards against a refusal that comes too late to be of use."""
        waiting = RequestQueue()
        waiting.add(request("x"))
        self.assertEqual(overdue(waiting, 0.4, 0.4), [])
        self.assertEqual(overdue(waiting, 0.46, 0.46), ["x"])

    def test_refused_at_once_when_no_primary_is_near(self):
        """Guards against requests that are held although they cannot be served."""
        waiting = RequestQueue()
        waiting.add(request("write", primary=True))
        waiting.add(request("read"))
        self.assertEqual(overdue(waiting, 0.0, 1.8), ["write"])
        self.assertEqual(overdue(waiting, 0.0, 0.2), [])

    def test_removal_is_idempotent(self):
        """Guards against a request that is granted and refused."""
        waiting = RequestQueue()
        one = request("x")
        waiting.add(one)
        waiting.remove(one)
        waiting.remove(one)
        self.assertEqual(len(waiting), 0)


if __name__ == "__main__":
    unittest.main()
