"""Tests of ``cassiahill.queue_service``."""

import unittest

from cassiahill import placement
from cassiahill.request_queue import QueuedRequest
from tests.session_builders import TIMEOUT_SECONDS, GroupFixture


class QueueServiceTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture(servers=("a",))
        self.group = self.fixture.group
        self.leases_by_id = {}

    def ask(self, request_id, then=lambda: None):
        """Ask for a connection to the primary; run a function when it is granted."""
        now = self.fixture.loop.clock.now()
        request = QueuedRequest(
            request_id, 0, now, now + TIMEOUT_SECONDS, placement.OnPrimary
        )

        def record(future):
            self.assertNotIn(request_id, self.leases_by_id)
            self.leases_by_id[request_id] = future.result()
            then()

        self.fixture.loop.when_done(self.group.acquire(request), record)

    def test_request_that_a_resumed_task_has_served_gets_no_second_connection(self):
        """Guards against connections that stay in use after a task asks for another."""
        pool = self.group.pools_by_id["a"]
        number = 0
        while len(self.leases_by_id) == number:
            self.ask(f"first-{number}")
            number += 1
            self.fixture.loop.advance(0.02)
        first_leases = list(self.leases_by_id.values())
        # The last one of the first waits as well, and is served before the others.
        self.ask("second", then=lambda: self.ask("fourth"))
        self.ask("third")
        for lease in first_leases:
            lease.record_statement_end(self.fixture.loop.clock.now())
            pool.release(lease.connection)
        self.fixture.loop.advance(0.02)
        self.assertTrue({"second", "third", "fourth"} <= self.leases_by_id.keys())
        self.assertEqual(pool.running_statements, 4)


if __name__ == "__main__":
    unittest.main()
