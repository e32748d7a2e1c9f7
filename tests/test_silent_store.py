"""Tests of watches whose request or answer was lost while their connection lives on."""

import unittest

from cassiahill import store_watcher
from tests.memory_fleet import MemoryFleet

REGIONS = {f"domain-{number}": "ab"[number % 2] for number in range(6)}
SILENT_SECONDS = 4.5
# Too short for calls that fail in it to show it, or for the watches to end soon after.
SHORT_SILENCES_SECONDS = (0.4, 0.8, 1.2, 2.0, 2.6)


class SilentStoreTest(unittest.TestCase):
    def fleet_after_silence(self, count, drained=("a",)):
        """Return a fleet whose watches were lost, some time after the silence.

        A change ends all watches just before it, so that all new ones are lost.
        """
        fleet = MemoryFleet(count)
        fleet.loop.advance(12.0)
        for server_id in drained:
            fleet.write("servers", server_id, {"slots": 3})
        fleet.loop.advance(0.1)
        fleet.store_is_silent = True
        fleet.loop.advance(SILENT_SECONDS)
        fleet.store_is_silent = False
        return fleet

    def assert_change_is_known_within(self, fleet, seconds):
        """Check that a new configuration and a draining server are known to all."""
        fleet.write("config", "main", {"version": 4})
        fleet.write("servers", "a", {"slots": 3, "draining": True})
        fleet.loop.advance(seconds)
        processes = fleet.processes_by_name.values()
        versions = {process.catalog.configuration.version for process in processes}
        self.assertEqual(versions, {4})
        for process in processes:
            server = process.catalog.servers_by_id["a"]
            self.assertTrue(server.draining, process.name)

    def test_change_after_a_silent_moment_reaches_a_small_fleet(self):
        """Guards against changes that stay unseen until lost watches time out.

        The processes used a draining server and an old configuration for up to 18.5 s
        (review/4). Seven seconds are the store's stable time and the bound of a change.
        """
        for stable_seconds in (0.5, 2.0, 4.0):
            fleet = self.fleet_after_silence(8)
            fleet.loop.advance(stable_seconds)
            self.assert_change_is_known_within(fleet, 7.0 - stable_seconds)

    def test_change_after_a_silent_moment_reaches_a_large_fleet(self):
        """Guards against the same in a fleet that follows a few readers."""
        fleet = self.fleet_after_silence(60)
        fleet.loop.advance(5.0)
        self.assert_change_is_known_within(fleet, 5.0)

    def assert_version_in_force(self, fleet, stable_seconds):
        """Check each process once the change and the store are old enough.

        Parameters
        ----------
        fleet : MemoryFleet
        stable_seconds : float
            Time after the end of the silence from which on the bound holds.
        """
        fleet.write("config", "main", {"version": 4})
        fleet.loop.advance(0.1)
        for silent_seconds in SHORT_SILENCES_SECONDS:
            version = fleet.store.list("config").result().objects[0].value["version"]
            fleet.store_is_silent = True
            fleet.loop.advance(silent_seconds)
            fleet.store_is_silent = False
            fleet.loop.advance(0.3)
            fleet.write("config", "main", {"version": version + 1})
            fleet.loop.advance(max(fleet.change_seconds, stable_seconds - 0.3))
            for name, process in fleet.processes_by_name.items():
                installed = process.catalog.configuration.version
                self.assertEqual(installed, version + 1, (name, silent_seconds))
            fleet.loop.advance(10.0)
            fleet.write("config", "main", {"version": version + 2})
            fleet.loop.advance(0.1)

    def test_change_after_a_short_silence_is_in_force_in_a_small_fleet(self):
        """Guards against versions that come late because all watches were lost."""
        for count in (1, 8):
            self.assert_version_in_force(self.started(count, 3.0), 4.0)

    def test_change_after_a_short_silence_is_in_force_in_a_large_fleet(self):
        """Guards against the same in a fleet of two regions that follows readers."""
        fleet = self.started(66, 5.0, domain_count=6, region_by_domain=REGIONS)
        self.assert_version_in_force(fleet, 6.0)

    def started(self, count, change_seconds, **options):
        """Return a fleet that has been running for a while."""
        fleet = MemoryFleet(count, change_seconds=change_seconds, **options)
        fleet.loop.advance(12.0)
        return fleet

    def test_process_whose_watch_alone_was_lost_learns_from_its_peers(self):
        """Guards against one process that is blind while the others know the change."""
        fleet = MemoryFleet(8)
        fleet.loop.advance(12.0)
        fleet.write("servers", "a", {"slots": 3})
        fleet.loop.advance(0.1)
        process = fleet.processes_by_name["proxy-3"]
        watcher = process.feed._server_watcher
        watcher._watch_began_at = fleet.loop.clock.now()
        revision = process.fleet.registry.watcher.revision
        known = watcher.changed_revision
        abandoned_kinds = []
        process.feed._store.abandon_watch = abandoned_kinds.append
        watcher.record_announcement(known)
        fleet.loop.advance(store_watcher.MISSED_CHANGE_SECONDS + 0.1)
        self.assertEqual(abandoned_kinds, [])
        watcher._watch_began_at = fleet.loop.clock.now()
        watcher.record_announcement(
            max(revision, known).__class__(known.era, known.number + 5)
        )
        fleet.loop.advance(store_watcher.MISSED_CHANGE_SECONDS + 0.1)
        self.assertEqual(abandoned_kinds, ["servers"])


if __name__ == "__main__":
    unittest.main()
