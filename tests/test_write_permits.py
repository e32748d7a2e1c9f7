"""Tests of ``cassiahill.write_permits``."""

import types
import unittest

from cassiahill import write_permits
from cassiahill.write_permits import WritePermits

SLOTS = 3
LOCKING = types.SimpleNamespace(holds_locks=True)
OTHER = types.SimpleNamespace(holds_locks=False)


def make_request(request_id, rank=1, read_only=False, ends=False, transaction=None):
    """Return a stand-in for a ``BackendRequest``."""
    return types.SimpleNamespace(
        request_id=request_id,
        rank=rank,
        read_only=read_only,
        ends_transaction=ends,
        transaction=transaction,
    )


class WritePermitsTest(unittest.TestCase):
    def setUp(self):
        self.permits = WritePermits(SLOTS)

    def acquire(self, request, open_transactions=(OTHER, LOCKING)):
        return self.permits.acquire(request, open_transactions)

    def test_one_slot_is_free_of_writes_that_wait_for_locks(self):
        """Guards against slots that are all held by writes that wait for locks."""
        granted = [self.acquire(make_request(number)) for number in range(SLOTS)]
        self.assertEqual(granted, [True, True, False])
        self.assertTrue(self.acquire(make_request(0)))
        self.assertTrue(self.permits.release(0))
        self.assertFalse(self.permits.release(0))
        self.assertTrue(self.acquire(make_request(SLOTS - 1)))

    def test_request_that_cannot_wait_for_locks_needs_no_permit(self):
        """Guards against a transaction that can't go on, and against idle slots."""
        for number in range(SLOTS - 1):
            self.acquire(make_request(number))
        self.assertTrue(self.acquire(make_request(7, read_only=True)))
        self.assertTrue(self.acquire(make_request(8, ends=True, transaction=LOCKING)))
        self.assertTrue(self.acquire(make_request(9, transaction=LOCKING)))
        self.assertFalse(self.acquire(make_request(10, transaction=OTHER)))
        self.assertTrue(self.acquire(make_request(11), open_transactions=(OTHER,)))

    def test_highest_rank_gets_the_next_permit(self):
        """Guards against an urgent write behind the others."""
        for request_id, rank in ((1, 3), (2, 1), (3, 1)):
            self.assertTrue(self.permits.defer(make_request(request_id, rank)))
        self.permits.drop_deferred(3)
        self.assertEqual(self.permits.deferred_ids, [1, 2])
        taken = [self.permits.take_deferred() for _ in range(2)]
        self.assertEqual([request.request_id for request in taken], [2, 1])
        self.assertIsNone(self.permits.take_deferred())

    def test_waiting_writes_are_bounded(self):
        """Guards against a queue without limit behind one open transaction."""
        deferred = [
            self.permits.defer(make_request(number))
            for number in range(write_permits.MAX_DEFERRED_WRITES + 1)
        ]
        self.assertEqual(deferred.count(False), 1)
        self.assertFalse(deferred[-1])


if __name__ == "__main__":
    unittest.main()
