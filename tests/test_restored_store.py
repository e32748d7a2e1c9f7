"""Tests of processes whose shared store comes back from an older copy."""

import random
import unittest

from cassiahill.member_registry import MEMBER_PREFIX, PROXIES_KIND
from cassiahill.promoter_election import PROMOTER_NAME
from cassiahill.shared_store import MAX_WATCH_SECONDS
from cassiahill.store_readers import (
    INDEPENDENT_WATCH_SECONDS,
    MAX_INDEPENDENT_PROXIES,
)
from cassiahill.store_watcher import WATCH_PAUSE_SECONDS
from tests.memory_fleet import MemoryFleet

CONFIGURATION_BOUND_SECONDS = 3.0  # Of the users' small deployments.
# Calls that a process may add after a restore: each kind is listed and watched again.
EXTRA_CALLS = 12


class RestoredHistoryTest(unittest.TestCase):
    """One process, which knows three versions that the restored store has lost."""

    def setUp(self):
        self.fleet = MemoryFleet(1)
        self.loop = self.fleet.loop
        self.loop.advance(10.0)
        self.catalog = self.fleet.processes_by_name["proxy-0"].catalog
        self.copied = self.fleet.store.copy()
        for version in (5, 7, 8):
            self.fleet.write("config", "main", {"version": version})
        self.loop.advance(1.0)

    def test_version_with_a_lower_revision_than_known_is_installed(self):
        """Guards against news that is ignored until revisions pass those from before.

        The users' day restored-early: a version that was accepted after the restore was
        not in force.
        """
        self.fleet.restore(self.copied)
        self.fleet.write("config", "main", {"version": 8})
        self.fleet.write("config", "main", {"version": 9})
        self.loop.advance(CONFIGURATION_BOUND_SECONDS)
        self.assertEqual(self.catalog.configuration.version, 9)

    def test_changes_below_the_known_revision_are_not_skipped(self):
        """Guards against a watch that goes on where it was, in another history."""
        self.fleet.store.available = False
        self.loop.advance(1.0)
        self.fleet.store.restore(self.copied)
        self.fleet.write("config", "main", {"version": 9})
        self.fleet.write("servers", "d", {})
        for _ in range(10):
            self.fleet.write("other", "x", {})
        self.fleet.store.available = True
        self.loop.advance(CONFIGURATION_BOUND_SECONDS)
        self.assertEqual(self.catalog.configuration.version, 9)
        self.assertIn("d", self.catalog.servers_by_id)

    def test_older_version_of_the_copy_is_not_installed(self):
        """Guards against falling back to the configuration of the copy."""
        self.fleet.restore(self.copied)
        self.loop.advance(CONFIGURATION_BOUND_SECONDS)
        self.assertEqual(self.catalog.configuration.version, 8)


class RestoredFleet:
    """Tests of fleets of one size."""

    def setUp(self):
        self.fleet = MemoryFleet(self.count)
        self.fleet.loop.advance(10.0)

    def write_versions(self, *versions):
        """Write versions and objects of the other kinds, half a second apart."""
        for version in versions:
            self.fleet.write("config", "main", {"version": version})
            self.fleet.write("servers", "a", {"slots": version})
            self.fleet.write(PROXIES_KIND, "other", {"number": version})
            self.fleet.loop.advance(0.5)

    def seconds_until_version(self, version):
        """Return the time until all processes have a version."""
        return self.fleet.seconds_until(
            lambda process: process.feed.versions[0] == version, 20.0
        )

    def stored_promoter(self):
        """Return the name of the promoter in the store, or None."""
        stored = self.fleet.store.get(PROXIES_KIND, PROMOTER_NAME).result()
        return None if stored is None else stored.value["holder"]

    def promoter_names(self):
        """Return the processes that take themselves for the promoter."""
        return [
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.fleet.election.is_promoter
        ]

    def test_version_after_a_restore_reaches_all(self):
        """Guards against processes that ignore what follows in the new history."""
        copied = self.fleet.store.copy()
        self.write_versions(4, 5, 6)
        self.fleet.restore(copied)
        self.write_versions(6, 7)
        self.assertLess(self.seconds_until_version(7), CONFIGURATION_BOUND_SECONDS)

    def test_process_that_starts_after_a_restore_learns_the_newest_version(self):
        """Guards against starting with the older configuration of the copy."""
        copied = self.fleet.store.copy()
        self.write_versions(4, 5, 6)
        self.fleet.restore(copied)
        for name, process in list(self.fleet.processes_by_name.items())[:3]:
            domain = process.fleet._own_member.failure_domain
            self.fleet.start(name, domain, process.connected)
        self.assertLess(self.seconds_until_version(6), CONFIGURATION_BOUND_SECONDS)

    def test_server_after_a_restore_reaches_all(self):
        """Guards against peers that hold back the list of the new history."""
        copied = self.fleet.store.copy()
        self.write_versions(4, 5, 6, 7)
        self.fleet.restore(copied)
        self.fleet.write("servers", "d", {})
        seconds = self.fleet.seconds_until(
            lambda process: "d" in process.catalog.servers_by_id, 20.0
        )
        self.assertLess(seconds, CONFIGURATION_BOUND_SECONDS)

    def test_calls_after_a_restore(self):
        """Guards against lists and watches that repeat without a pause."""
        copied = self.fleet.store.copy()
        self.write_versions(4, 5, 6)
        self.fleet.restore(copied)
        readers = self.fleet.reader_names()
        self.fleet.calls_by_name.clear()
        self.fleet.loop.advance(10.0)
        calls = self.fleet.call_count().total()
        self.assertLess(calls, EXTRA_CALLS * len(readers) + self.count)

    def test_calls_after_a_longer_outage(self):
        """Guards against followers that all read a store that has just come back."""
        copied = self.fleet.store.copy()
        self.write_versions(4, 5, 6)
        readers = self.fleet.reader_names()
        for away_seconds in (2, 3):
            self.fleet.calls_by_name.clear()
            self.fleet.restore(copied, away_seconds)
            self.fleet.loop.advance(12.0)
            calls = self.fleet.call_count()
            self.assertLess(calls.pop("stale get", 0), (away_seconds + 1) * self.count)
            other_calls = calls.total() - self.added_renewals(12.0)
            self.assertLess(other_calls, EXTRA_CALLS * len(readers) + self.count)

    def added_renewals(self, seconds):
        """Return how many regular renewals of watches come on top of those of 17 s."""
        if self.count > MAX_INDEPENDENT_PROXIES:
            return 0
        interval = INDEPENDENT_WATCH_SECONDS + WATCH_PAUSE_SECONDS
        renewals_of_a_watch = seconds / interval - seconds / MAX_WATCH_SECONDS
        return int(3 * self.count * renewals_of_a_watch)

    def test_lost_member_entries_are_written_again(self):
        """Guards against members that nobody who starts later knows."""
        copied = self.fleet.store.copy()
        names = sorted(self.fleet.processes_by_name)[:3]
        for name in names:
            copied.delete(PROXIES_KIND, MEMBER_PREFIX + name)
        self.write_versions(4, 5, 6, 7, 8)
        self.fleet.restore(copied)
        self.fleet.loop.advance(5.0)
        for name in names:
            stored = self.fleet.store.get(PROXIES_KIND, MEMBER_PREFIX + name).result()
            self.assertIsNotNone(stored, name)

    def copy_without_members(self):
        """Return a copy of the store from before the processes registered."""
        copied = self.fleet.store.copy()
        for name in self.fleet.processes_by_name:
            copied.delete(PROXIES_KIND, MEMBER_PREFIX + name)
        return copied

    def test_members_stay_until_they_have_registered_again(self):
        """Guards against processes that each take themselves for the whole fleet."""
        copied = self.copy_without_members()
        self.write_versions(*range(4, 4 + self.count))
        readers = self.fleet.reader_names()
        self.fleet.restore(copied)
        for _ in range(100):
            self.fleet.loop.advance(0.1)
            self.assertEqual(
                {len(p.fleet.members_by_name) for p in self.processes()}, {self.count}
            )
            self.assertEqual(self.fleet.reader_names(), readers)

    def test_member_that_does_not_register_again_is_dropped(self):
        """Guards against members that nobody can remove."""
        copied = self.copy_without_members()
        self.write_versions(*range(4, 4 + self.count))
        gone = min(self.fleet.processes_by_name)
        self.fleet.processes_by_name.pop(gone).stop()
        self.fleet.silent_names.add(gone)
        self.fleet.restore(copied)
        self.fleet.loop.advance(10.0)
        for process in self.processes():
            self.assertNotIn(gone, process.fleet.members_by_name)
            self.assertEqual(len(process.fleet.members_by_name), self.count - 1)

    def processes(self):
        """Return the processes that run."""
        return list(self.fleet.processes_by_name.values())

    def test_store_names_the_promoter_again(self):
        """Guards against a promoter of which the store knows nothing."""
        copied = self.fleet.store.copy()
        copied.delete(PROXIES_KIND, PROMOTER_NAME)
        self.write_versions(4, 5, 6, 7, 8)
        self.fleet.restore(copied)
        self.fleet.loop.advance(3.0)
        self.assertEqual([self.stored_promoter()], self.promoter_names())

    def test_promoter_stays_although_its_claim_is_lost(self):
        """Guards against a change of the promoter only because the store lost it."""
        promoter = self.stored_promoter()
        copied = self.fleet.store.copy()
        copied.delete(PROXIES_KIND, PROMOTER_NAME)
        self.write_versions(4, 5, 6, 7, 8)
        self.fleet.restore(copied)
        self.fleet.loop.advance(4.0)
        self.assertEqual(self.stored_promoter(), promoter)
        self.assertEqual(self.promoter_names(), [promoter])

    def test_tokens_after_a_restore_are_higher(self):
        """Guards against tokens that are refused or that two promoters use."""
        election = self.fleet.processes_by_name[self.stored_promoter()].fleet.election
        copied = self.fleet.store.copy()
        copied.delete(PROXIES_KIND, PROMOTER_NAME)
        self.write_versions(*range(4, 14))
        self.fleet.silent_names.add(election.promoter.name)
        self.fleet.loop.advance(8.0)
        (successor,) = set(self.promoter_names()) - {election.promoter.name}
        successor_election = self.fleet.processes_by_name[successor].fleet.election
        token_before = successor_election.next_token()
        self.fleet.silent_names.add(successor)
        self.fleet.restore(copied)
        self.fleet.loop.advance(8.0)
        (promoter,) = set(self.promoter_names()) - self.fleet.silent_names
        token = self.fleet.processes_by_name[promoter].fleet.election.next_token()
        self.assertGreater(token, token_before)


class SmallRestoredFleetTest(RestoredFleet, unittest.TestCase):
    count = 8


class LargeRestoredFleetTest(RestoredFleet, unittest.TestCase):
    count = 60


class RestoreSearchTest(unittest.TestCase):
    """Restores in series, beside silent and restarted processes, by seed."""

    SEEDS = range(12)
    STEPS = 80
    STEP_SECONDS = 0.5
    SETTLING_SECONDS = 10.0

    def test_fleet_recovers_from_restores_in_series(self):
        """Guards against what only several restores, silence and restarts show."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        """Play a course of events, then check that the fleet has recovered."""
        self.fleet = MemoryFleet(8, seed=rng.random())
        self.fleet.loop.advance(10.0)
        self.holders_by_token = {}
        self.version = 3
        copies = []
        for _ in range(self.STEPS):
            copies = [*copies[-20:], self.fleet.store.copy()]
            self.disturb(rng, copies)
            self.fleet.loop.advance(self.STEP_SECONDS)
            self.check_tokens()
        self.fleet.silent_names.clear()
        self.write_version(self.version + 1)
        self.fleet.loop.advance(self.SETTLING_SECONDS)
        self.check_recovery()

    def disturb(self, rng, copies):
        """Let one thing happen, or nothing."""
        name = rng.choice(sorted(self.fleet.processes_by_name))
        match rng.choice(("restore", "write", "silence", "speak", "restart", "rest")):
            case "restore":
                self.fleet.restore(rng.choice(copies), rng.uniform(0.1, 2.5))
                self.write_version(self.version)
            case "write":
                self.write_version(self.version + rng.randint(1, 3))
            case "silence" if len(self.fleet.silent_names) < 3:
                self.fleet.silent_names.add(name)
            case "speak":
                self.fleet.silent_names.clear()
            case "restart":
                member = self.fleet.processes_by_name[name].fleet._own_member
                self.fleet.start(name, member.failure_domain)

    def write_version(self, version):
        """Write a configuration as the operator does, who repeats a lost one."""
        self.version = version
        self.fleet.write("config", "main", {"version": version})

    def check_tokens(self):
        """Check that no two terms of the promoter share a token."""
        for name, process in self.fleet.processes_by_name.items():
            election = process.fleet.election
            token = election.next_token()
            if token is not None:
                holder = (name, election._incarnation)
                known_holder = self.holders_by_token.setdefault(token, holder)
                self.assertEqual(holder, known_holder)

    def check_recovery(self):
        """Check versions, members, promoter and the calls of a fleet at rest."""
        processes = self.fleet.processes_by_name
        for process in processes.values():
            self.assertEqual(process.feed.versions[0], self.version)
            self.assertEqual(set(process.fleet.members_by_name), set(processes))
        stored = self.fleet.store.get(PROXIES_KIND, PROMOTER_NAME).result()
        promoters = [
            name
            for name, process in processes.items()
            if process.fleet.election.is_promoter
        ]
        self.assertEqual(promoters, [stored.value["holder"]])
        self.fleet.calls_by_name.clear()
        self.fleet.loop.advance(10.0)
        renewals = 3 * len(processes) * (10.0 / INDEPENDENT_WATCH_SECONDS)
        self.assertLess(self.fleet.call_count().total() - renewals, 4 * len(processes))


if __name__ == "__main__":
    unittest.main()
