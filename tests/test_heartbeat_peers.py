"""Tests of ``cassiahill.heartbeat_peers``, alone and in a fleet in two regions."""

import unittest

from cassiahill.heartbeat_peers import (
    asks_other_regions,
    confirmation_choices,
    members_with_news,
    usual_choices,
)
from cassiahill.heartbeats import Member
from cassiahill.regions import Regions
from cassiahill.session_fleet import HEARTBEAT_INTERVAL_SECONDS
from cassiahill.store_readers import choose_readers
from tests.memory_fleet import MemoryFleet
from tests.region_builders import REGION_BY_DOMAIN, domains_of_fleet, regions_seen_from

FLEET_SIZE = 66
START_SECONDS = 10.0


def members_of_fleet(domains_by_name):
    """Return the members of a fleet."""
    return [
        Member(name, (name, 1), (name, 2), domain)
        for name, domain in domains_by_name.items()
    ]


def domains_of_choice(choice):
    """Return the failure domains of a choice's members."""
    return {member.failure_domain for member in choice.members}


class PeerChoiceTest(unittest.TestCase):
    def setUp(self):
        self.domains_by_name = domains_of_fleet(FLEET_SIZE)
        self.members = members_of_fleet(self.domains_by_name)
        self.regions = regions_seen_from("north-a")

    def test_most_proxies_stay_in_the_region(self):
        """Guards against heartbeats across that grow with the fleet."""
        (choice,) = usual_choices(self.members, self.regions, asks_across=False)
        self.assertEqual(domains_of_choice(choice), {"north-b", "north-c"})

    def test_some_ask_across(self):
        """Guards against a cut between the regions that nobody notices."""
        near, far = usual_choices(self.members, self.regions, asks_across=True)
        self.assertEqual(domains_of_choice(near), {"north-b", "north-c"})
        self.assertEqual(domains_of_choice(far), {"south-a", "south-b", "south-c"})
        readers = choose_readers(self.domains_by_name)
        asking = [
            domain
            for name, domain in self.domains_by_name.items()
            if asks_other_regions(readers, name, domain)
        ]
        self.assertEqual(sorted(asking), sorted(REGION_BY_DOMAIN))

    def test_region_with_few_domains_asks_all_domains(self):
        """Guards against a partition seen where one process of the region failed."""
        members = members_of_fleet({"p1": "a", "p2": "b", "p3": "c"})
        for region_by_domain in (
            {"a": "north", "b": "south", "c": "south"},
            {"a": "north", "b": "north", "c": "south"},
        ):
            regions = Regions("a", region_by_domain)
            (choice,) = usual_choices(members, regions, asks_across=False)
            self.assertEqual(domains_of_choice(choice), {"b", "c"})
            domains = [
                domains_of_choice(choice)
                for choice in confirmation_choices(members, regions)
            ]
            self.assertEqual(domains, [{"b"}, {"c"}])

    def test_one_peer_across_confirms_a_partition(self):
        """Guards against a burst across when one domain of a region fails."""
        choices = confirmation_choices(self.members, self.regions)
        self.assertEqual([choice.count for choice in choices], [2, 2, 1])
        self.assertEqual(
            domains_of_choice(choices[2]), {"south-a", "south-b", "south-c"}
        )

    def test_without_regions_all_other_domains_are_alike(self):
        """Guards against other peers in deployments that have no regions."""
        regions = Regions("north-a")
        (choice,) = usual_choices(self.members, regions, asks_across=False)
        self.assertEqual(domains_of_choice(choice), set(REGION_BY_DOMAIN) - {"north-a"})
        counts = [
            choice.count for choice in confirmation_choices(self.members, regions)
        ]
        self.assertEqual(counts, [2] * 5)

    def test_news_comes_from_the_region(self):
        """Guards against questions of a whole region across while the store is away."""
        near = members_with_news(self.members, self.members[0], self.regions, False)
        self.assertNotIn(self.members[0], near)
        self.assertEqual(
            {REGION_BY_DOMAIN[member.failure_domain] for member in near}, {"north"}
        )
        every = members_with_news(self.members, self.members[0], self.regions, True)
        self.assertEqual(len(every), FLEET_SIZE - 1)


def make_fleet(knows_regions):
    """Return a running fleet whose domains lie in two regions."""
    region_by_domain = {
        f"domain-{number}": "north" if number < 3 else "south" for number in range(6)
    }
    fleet = MemoryFleet(FLEET_SIZE, domain_count=6, region_by_domain=region_by_domain)
    if not knows_regions:
        # The fleet counts what crosses, but its processes know no regions.
        fleet.region_by_domain = None
    fleet.loop.advance(START_SECONDS)
    fleet.region_by_domain = region_by_domain
    return fleet


class FleetInRegionsTest(unittest.TestCase):
    def crossings_per_interval(self, knows_regions):
        """Return the number of heartbeats across in one heartbeat interval."""
        fleet = make_fleet(knows_regions)
        before = fleet.crossing_count
        fleet.loop.advance(20 * HEARTBEAT_INTERVAL_SECONDS)
        return (fleet.crossing_count - before) / 20

    def test_fewer_heartbeats_cross(self):
        """Guards against control traffic that fills the link between the regions."""
        without, known = map(self.crossings_per_interval, (False, True))
        self.assertLess(known, 0.5 * without)

    def test_cut_between_regions_is_no_partition(self):
        """Guards against a whole region that takes itself for partitioned."""
        fleet = make_fleet(knows_regions=True)
        fleet.regions_are_cut = True
        fleet.loop.advance(4.0)
        now = fleet.loop.clock.now()
        for process in fleet.processes_by_name.values():
            self.assertFalse(process.fleet.peers_indicate_partition(now), process.name)

    def test_partition_of_a_domain_is_noticed_as_soon(self):
        """Guards against a cut domain that takes clients for longer with regions."""
        seconds = {}
        for knows_regions in (False, True):
            fleet = make_fleet(knows_regions)
            fleet.cut_domain = "domain-0"
            seconds[knows_regions] = fleet.seconds_until(
                lambda process: process.fleet.peers_indicate_partition(
                    process.memory_fleet.loop.clock.now()
                ),
                5.0,
                [
                    name
                    for name in fleet.processes_by_name
                    if fleet.domain_of(name) == "domain-0"
                ],
            )
        self.assertLessEqual(seconds[True], seconds[False] + HEARTBEAT_INTERVAL_SECONDS)

    def test_change_reaches_the_region_without_the_store(self):
        """Guards against a region without news while only the other has the store."""
        fleet = make_fleet(knows_regions=True)
        fleet.storeless_names = {
            name
            for name in fleet.processes_by_name
            if fleet.region_by_domain[fleet.domain_of(name)] == "south"
        }
        fleet.loop.advance(3.0)
        fleet.write("config", "main", {"version": 4})
        seconds = fleet.seconds_until(lambda process: process.versions()[0] == 4, 6.0)
        self.assertLess(seconds, 5.0)


if __name__ == "__main__":
    unittest.main()
