"""Tests of ``cassiahill.session_crossings``."""

import unittest

from cassiahill import session_crossings
from cassiahill.catalog import Consistency
from cassiahill.regions import Regions
from cassiahill.session_crossings import SessionPlace, choose_place
from tests.region_builders import regions_seen_from


class ChoosePlaceTest(unittest.TestCase):
    def test_reads_of_the_newest_state_are_relayed_to_the_primarys_region(self):
        """Guards against three round trips between the regions for each read."""
        place = choose_place(
            Consistency.PRIMARY, "south-a", regions_seen_from("north-a")
        )
        self.assertTrue(place.near_primary)

    def test_reads_that_a_replica_may_serve_stay(self):
        """Guards against crossing reads that a replica in the own region serves."""
        for consistency in (Consistency.BOUNDED, Consistency.OWN_WRITES):
            place = choose_place(consistency, "south-a", regions_seen_from("north-a"))
            self.assertFalse(place.near_primary)

    def test_primary_in_the_own_region(self):
        """Guards against sessions that leave a region which has the primary."""
        for domain in ("north-a", "north-b"):
            place = choose_place(
                Consistency.PRIMARY, domain, regions_seen_from("north-a")
            )
            self.assertFalse(place.near_primary)

    def test_unknown_primary_and_no_regions(self):
        """Guards against relays across without a primary there, or without regions."""
        for domain, regions in (
            (None, regions_seen_from("north-a")),
            ("south-a", Regions("north-a")),
        ):
            place = choose_place(Consistency.PRIMARY, domain, regions)
            self.assertFalse(place.near_primary)

    def test_round_trips_of_a_read(self):
        """Guards against a choice by figures that do not match the statements sent."""
        near_client, near_primary = SessionPlace(False), SessionPlace(True)
        for reads_need_primary, expected in ((True, (3, 1)), (False, (0, 1))):
            round_trips = tuple(
                session_crossings.round_trips_of_read(place, reads_need_primary)
                for place in (near_client, near_primary)
            )
            self.assertEqual(round_trips, expected)


if __name__ == "__main__":
    unittest.main()
