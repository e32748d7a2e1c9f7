"""Tests of ``cassiahill.store_readers``, alone and in fleets in memory."""

import random
import unittest

from cassiahill import store_readers
from cassiahill.shared_store import Revision
from cassiahill.store_readers import (
    INDEPENDENT_WATCH_SECONDS,
    ReaderFollowing,
    choose_readers,
)
from tests import region_builders
from tests.fleet_store import WATCH_SECONDS
from tests.memory_fleet import MemoryFleet

CONFIGURATION_BOUND_SECONDS = 6.0  # Of the users' large deployment.


def domains_of_fleet(count, domain_count=5):
    """Return the failure domains of ``count`` proxies by name."""
    return {
        f"proxy-{number}": f"domain-{number % domain_count}" for number in range(count)
    }


class ChooseReadersTest(unittest.TestCase):
    def test_every_proxy_of_a_small_fleet_reads(self):
        """Guards against a detour by peers where the store can serve all."""
        readers = choose_readers(domains_of_fleet(8, 3))
        self.assertTrue(readers.includes_proxy("proxy-7", "domain-1"))

    def test_number_of_readers_does_not_grow_with_the_fleet(self):
        """Guards against store calls that grow with the fleet."""
        for count in (30, 300, 4200):
            domains_by_name = domains_of_fleet(count)
            readers = choose_readers(domains_by_name)
            reader_count = sum(
                readers.includes_proxy(name, domain)
                for name, domain in domains_by_name.items()
            )
            self.assertEqual(reader_count, 5 * store_readers.READERS_PER_DOMAIN)

    def test_one_reader_of_a_domain_announces(self):
        """Guards against followers that get each change twice."""
        domains_by_name = domains_of_fleet(195)
        readers = choose_readers(domains_by_name)
        announcing = [
            domain
            for name, domain in domains_by_name.items()
            if readers.announces(name, domain)
        ]
        self.assertEqual(sorted(announcing), sorted(set(domains_by_name.values())))

    def test_readers_of_the_own_region_come_first(self):
        """Guards against lists fetched across while the region has a reader."""
        readers = choose_readers(region_builders.domains_of_fleet(66))
        own_names, other_names = readers.candidates(
            "south-b", region_builders.regions_seen_from("south-b")
        )
        domains = [readers.domains_by_name[name] for name in other_names]
        self.assertEqual(
            {readers.domains_by_name[name] for name in own_names}, {"south-b"}
        )
        self.assertEqual(set(domains[:4]), {"south-a", "south-c"})
        self.assertEqual(set(domains[4:]), {"north-a", "north-b", "north-c"})


class ReaderFollowingTest(unittest.TestCase):
    def setUp(self):
        domains_by_name = domains_of_fleet(60)
        readers = choose_readers(domains_by_name)
        self.name = next(
            name
            for name, domain in domains_by_name.items()
            if domain == "domain-0" and not readers.includes_proxy(name, domain)
        )
        self.following = ReaderFollowing(
            self.name, "domain-0", random.Random(1), now=100.0
        )
        self.following.update_members(domains_by_name)
        self.following.fleet_known = True

    def test_next_reader_is_asked_after_silence(self):
        """Guards against following a reader that is gone."""
        asked = []
        for _ in range(4):
            asked.append(self.following.reader_to_ask())
            self.following.record_failure(asked[-1], 100.0)
        self.assertEqual(len(set(asked)), 4)
        self.assertIn(asked[0], self.following.readers.names_by_domain["domain-0"])
        self.assertNotIn(asked[2], self.following.readers.names_by_domain["domain-0"])

    def test_reader_that_the_store_turns_away_does_not_count(self):
        """Guards against following a reader that learns nothing itself."""
        asked = self.following.reader_to_ask()
        self.following.record_answer(asked, reads_store=False, now=101.0)
        self.assertNotEqual(self.following.reader_to_ask(), asked)
        self.assertTrue(self.following.reads_store(104.0))

    def test_store_is_read_only_without_an_answer(self):
        """Guards against store calls of proxies that have a reader."""
        for second in range(100, 110):
            self.following.record_answer(
                self.following.reader_to_ask(), True, float(second)
            )
            self.assertFalse(self.following.reads_store(second + 1.9))
        self.assertTrue(self.following.reads_store(113.0))

    def test_fleet_that_still_registers_does_not_read(self):
        """Guards against a fleet in which each proxy takes itself for a small one."""
        following = ReaderFollowing("proxy-0", "domain-0", random.Random(1), now=0.0)
        self.assertFalse(following.reads_store(1.0))


class StartOfFleetTest(unittest.TestCase):
    def calls_of_calm_minute(self, count):
        """Return the store calls of a fleet in its first minute.

        A read that may be stale costs a tenth of a call.
        """
        fleet = MemoryFleet(count, change_seconds=5.0)
        fleet.loop.advance(30.0)
        fleet.write("config", "main", {"version": 4})
        fleet.loop.advance(30.0)
        for process in fleet.processes_by_name.values():
            self.assertEqual(process.catalog.configuration.version, 4)
            self.assertEqual(len(process.fleet.members_by_name), count)
        calls = fleet.call_count()
        stale_calls = calls["stale list"] + calls["stale get"]
        return calls.total() - 0.9 * stale_calls

    def test_calls_of_a_started_fleet_do_not_grow(self):
        """Guards against watches of every proxy that every change ends."""
        fleets = {count: MemoryFleet(count, change_seconds=5.0) for count in (30, 195)}
        calls = {}
        for count, fleet in fleets.items():
            fleet.loop.advance(10.0)
            before = fleet.call_count().total()
            fleet.loop.advance(50.0)
            calls[count] = fleet.call_count().total() - before
        # The promoter reads the store too, and need not be one of the readers.
        self.assertLessEqual(calls[195], calls[30] * 11 / 10)
        self.assertLess(calls[195], 200)

    def test_calls_with_the_start(self):
        """Guards against registrations that end the watches of all proxies.

        The target is a calm day of 195 hosts under 500 calls.
        """
        self.assertLess(self.calls_of_calm_minute(195), 500)

    def test_heartbeats_at_one_proxy(self):
        """Guards against a promoter that hears from every proxy of the fleet."""
        fleet = MemoryFleet(195, connected_share=0.2)
        fleet.loop.advance(10.0)
        fleet.heartbeat_counts.clear()
        fleet.loop.advance(10.0)
        self.assertLess(max(fleet.heartbeat_counts.values()) / 10.0, 195 * 2.5 / 2)


class LostHistoryTest(unittest.TestCase):
    def test_calls_after_a_loss_of_history(self):
        """Guards against stale lists whose history is lost again, without a pause."""
        fleet = MemoryFleet(8)
        fleet.loop.advance(10.0)
        fleet.write("proxies", "proxy.other", {})
        for process in fleet.processes_by_name.values():
            process.fleet.registry.watcher.revision = Revision(1, 1)
        fleet.store.drop_history()
        fleet.calls_by_name.clear()
        duration_seconds = 2.0 + WATCH_SECONDS
        fleet.loop.advance(duration_seconds)
        renewals = 8 * 3 * (duration_seconds / INDEPENDENT_WATCH_SECONDS)
        self.assertLess(fleet.call_count().total() - renewals, 8 * 8)


class LossOfReadersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = MemoryFleet(60)
        self.fleet.loop.advance(10.0)
        self.readers = self.fleet.reader_names()
        self.others = set(self.fleet.processes_by_name) - self.readers

    def change_and_wait(self, names, version=9):
        """Write a version; return the time until the named processes have it."""
        self.fleet.write("config", "main", {"version": version})
        return self.fleet.seconds_until(
            lambda process: process.feed.versions[0] == version,
            20.0,
            names,
        )

    def test_change_reaches_all_by_an_announcement(self):
        """Guards against changes that wait for the next heartbeat of each proxy."""
        self.assertLess(self.change_and_wait(self.fleet.processes_by_name), 0.5)

    def test_large_configuration_is_read_in_the_store(self):
        """Guards against links of the readers that are full of configurations."""
        self.fleet.loop.advance(WATCH_SECONDS)  # Watches of the start have ended.
        calls_before = self.fleet.call_count()
        self.fleet.write("config", "main", {"version": 9, "routes": "x" * 100_000})
        seconds = self.fleet.seconds_until(
            lambda process: process.feed.versions[0] == 9, 10.0
        )
        calls = self.fleet.call_count() - calls_before
        self.assertLess(seconds, 1.0)
        self.assertEqual(calls["get"], len(self.others))

    def test_large_configuration_comes_from_peers_in_an_outage(self):
        """Guards against a proxy that keeps an old version while a peer has a newer."""
        self.fleet.storeless_names |= self.others
        self.fleet.write("config", "main", {"version": 9, "routes": "x" * 100_000})
        seconds = self.fleet.seconds_until(
            lambda process: process.feed.versions[0] == 9, 10.0
        )
        self.assertLess(seconds, CONFIGURATION_BOUND_SECONDS)

    def test_change_of_a_server_reaches_all(self):
        """Guards against proxies that use a server which has left."""
        self.fleet.write("servers", "b", {"draining": True})
        seconds = self.fleet.seconds_until(
            lambda process: process.catalog.servers_by_id["b"].draining, 10.0
        )
        self.assertLess(seconds, 0.5)
        self.fleet.delete("servers", "b")
        seconds = self.fleet.seconds_until(
            lambda process: "b" not in process.catalog.servers_by_id, 10.0
        )
        self.assertLess(seconds, 1.0)

    def test_all_readers_of_a_domain_die_at_once(self):
        """Guards against a domain that learns nothing without its readers."""
        dead = {name for name in self.readers if self.domain_of(name) == "domain-0"}
        self.fleet.silent_names |= dead
        living = set(self.fleet.processes_by_name) - dead
        seconds = self.change_and_wait(living)
        self.assertLess(seconds, CONFIGURATION_BOUND_SECONDS)

    def domain_of(self, name):
        return self.fleet.processes_by_name[name].fleet._own_member.failure_domain

    def test_all_readers_die_at_once(self):
        """Guards against a fleet that learns nothing without its readers."""
        self.fleet.silent_names |= self.readers
        seconds = self.change_and_wait(self.others)
        self.assertLess(seconds, CONFIGURATION_BOUND_SECONDS)

    def test_all_readers_are_turned_away_by_the_store(self):
        """Guards against followers of readers that learn nothing themselves."""
        self.fleet.storeless_names |= self.readers
        seconds = self.change_and_wait(self.others)
        self.assertLess(seconds, CONFIGURATION_BOUND_SECONDS)
        self.assertLess(
            self.change_and_wait(self.readers, 10), CONFIGURATION_BOUND_SECONDS
        )

    def test_followers_go_back_to_their_readers(self):
        """Guards against proxies that go on reading after the loss of a reader."""
        self.fleet.silent_names |= self.readers
        self.fleet.loop.advance(10.0)
        self.assertGreater(len(self.fleet.reader_names() - self.readers), 0)
        self.fleet.silent_names.clear()
        self.fleet.loop.advance(5.0)
        promoters = {
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.fleet.election.is_promoter
        }
        self.assertEqual(self.fleet.reader_names() - self.readers - promoters, set())

    def test_versions_never_go_back(self):
        """Guards against an old copy of a restarted or woken process."""
        rng = random.Random(5)
        names = sorted(self.fleet.processes_by_name)
        for version in range(10, 40):
            self.fleet.write("config", "main", {"version": version})
            self.fleet.silent_names = set(rng.sample(names, 12))
            self.fleet.storeless_names = set(rng.sample(names, 12))
            restarted = rng.choice(names)
            self.fleet.start(restarted, self.domain_of(restarted))
            self.fleet.loop.advance(rng.choice((0.1, 0.5, 2.0)))
        self.fleet.silent_names.clear()
        self.fleet.storeless_names.clear()
        self.assertLess(self.change_and_wait(names, 50), CONFIGURATION_BOUND_SECONDS)
        for process in self.fleet.processes_by_name.values():
            self.assertEqual(process.history, sorted(process.history))

    def test_outage_of_the_store(self):
        """Guards against a start of all proxies while the store is away."""
        self.fleet.store.available = False
        self.fleet.loop.advance(5.0)
        for name in sorted(self.fleet.processes_by_name)[:10]:
            self.fleet.start(name, self.domain_of(name))
        self.fleet.loop.advance(2.0)
        self.fleet.store.available = True
        seconds = self.change_and_wait(self.fleet.processes_by_name, 60)
        self.assertLess(seconds, CONFIGURATION_BOUND_SECONDS)

    def test_calls_in_an_outage_of_the_store(self):
        """Guards against calls of the whole fleet while the store is away.

        A proxy without a reader asks with one cheap call a second at most.
        """
        self.fleet.calls_by_name.clear()
        self.fleet.store.available = False
        self.fleet.loop.advance(8.0)
        for name in self.others:
            calls = self.fleet.calls_by_name[name]
            self.assertEqual(calls.total(), calls["stale get"], name)
            self.assertLessEqual(calls.total(), 8)

    def test_removed_server_is_not_used_after_a_restart(self):
        """Guards against a server that left and comes back from an old copy."""
        self.fleet.delete("servers", "c")
        self.fleet.loop.advance(4.0)
        for name in sorted(self.fleet.processes_by_name)[:20]:
            self.fleet.start(name, self.domain_of(name))
            self.fleet.loop.advance(0.1)
            self.assertNotIn(
                "c", self.fleet.processes_by_name[name].catalog.servers_by_id
            )


if __name__ == "__main__":
    unittest.main()
