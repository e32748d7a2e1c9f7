"""Tests of processes that learn late that a server drains."""

import unittest

from cassiahill.server_candidates import DRAINING_PRIMARY_SERVICE_SECONDS
from tests.memory_fleet import MemoryFleet

# A draining server must get no request later than this after its report.
DRAIN_SECONDS = 7.0


class LateDrainTest(unittest.TestCase):
    def setUp(self):
        self.fleet = None
        self.drained_at = 0.0

    def start_fleet(self, count):
        """Start processes that know all servers, and let server a drain."""
        self.fleet = MemoryFleet(count)
        self.fleet.loop.advance(10.0)
        self.fleet.write("servers", "a", {"draining": True})
        self.drained_at = self.fleet.loop.clock.now()

    def assert_unused_in_time(self):
        """Check that each process knows the drain and ends the service in time."""
        self.fleet.loop.advance(DRAIN_SECONDS - 1.0)
        for name, process in self.fleet.processes_by_name.items():
            with self.subTest(name):
                self.assertTrue(process.catalog.servers_by_id["a"].draining)
                since = process.catalog.draining_since_by_id["a"]
                used_until = since + DRAINING_PRIMARY_SERVICE_SECONDS
                self.assertLess(used_until, self.drained_at + DRAIN_SECONDS)

    def test_fleet_that_is_in_touch(self):
        """Guards against a bound that no process keeps."""
        self.start_fleet(8)
        self.assert_unused_in_time()

    def test_restarted_process(self):
        """Guards against a process that counts the drain from its own start."""
        for count in (8, 60):
            with self.subTest(count=count):
                self.start_fleet(count)
                self.fleet.loop.advance(4.0)
                self.fleet.start("proxy-3", "domain-3")
                self.assert_unused_in_time()

    def test_process_that_was_cut_off_from_the_store(self):
        """Guards against a process that counts the drain from the end of a cut."""
        for count in (8, 60):
            with self.subTest(count=count):
                self.fleet = MemoryFleet(count)
                self.fleet.loop.advance(10.0)
                self.cut_off("proxy-3")
                self.fleet.write("servers", "a", {"draining": True})
                self.drained_at = self.fleet.loop.clock.now()
                self.fleet.loop.advance(4.0)
                self.fleet.storeless_names.clear()
                self.fleet.silent_names.clear()
                self.assert_unused_in_time()

    def test_instant_does_not_move_back(self):
        """Guards against a drain that seems older with each answer of a peer."""
        self.start_fleet(8)
        self.fleet.message_seconds = 0.1
        self.fleet.loop.advance(DRAIN_SECONDS)
        for process in self.fleet.processes_by_name.values():
            since = process.catalog.draining_since_by_id["a"]
            self.assertGreaterEqual(since, self.drained_at)

    def cut_off(self, name):
        """Let a process reach neither the store nor other processes."""
        self.fleet.storeless_names.add(name)
        self.fleet.silent_names.add(name)


if __name__ == "__main__":
    unittest.main()
