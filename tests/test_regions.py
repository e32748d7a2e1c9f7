"""Tests of ``cassiahill.regions``."""

import unittest

from cassiahill.regions import Distance, Regions
from tests.region_builders import REGION_BY_DOMAIN, regions_seen_from


class RegionsTest(unittest.TestCase):
    def test_distances_are_ordered(self):
        """Guards against a far server that is taken for a near one."""
        regions = regions_seen_from("north-a")
        self.assertIs(regions.distance("north-a"), Distance.OWN_DOMAIN)
        self.assertIs(regions.distance("north-c"), Distance.OWN_REGION)
        self.assertIs(regions.distance("south-b"), Distance.OTHER_REGION)
        self.assertLess(Distance.OWN_REGION, Distance.OTHER_REGION)

    def test_domains_without_a_region_are_near(self):
        """Guards against a new failure domain that is avoided until it has a region."""
        regions = regions_seen_from("north-a")
        self.assertIs(regions.distance("new"), Distance.OWN_REGION)

    def test_deployment_with_one_region(self):
        """Guards against other decisions in deployments that have no regions."""
        for region_by_domain in (
            {},
            {"a": "north", "b": "north"},
            {"b": "north", "c": "south"},
        ):
            regions = Regions("a", region_by_domain)
            self.assertFalse(regions.are_several)
            self.assertTrue(regions.is_same_region("b"))
            self.assertTrue(regions.is_same_region("c"))

    def test_nearest_first(self):
        """Guards against an order in which a far domain comes before a near one."""
        self.assertEqual(
            regions_seen_from("south-b").nearest_first(REGION_BY_DOMAIN),
            ["south-b", "south-a", "south-c", "north-a", "north-b", "north-c"],
        )


if __name__ == "__main__":
    unittest.main()
