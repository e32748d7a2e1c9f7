"""Tests of ``cassiahill.successor_nearness``."""

import unittest

from cassiahill.regions import Regions
from cassiahill.replica_statuses import ReplicaStatus
from cassiahill.successor_choice import choose_successor
from cassiahill.successor_nearness import nearness_of
from tests.region_builders import regions_seen_from


def nearness(domain, demand_by_domain, former_domain=None):
    """Return a replica's nearness in two regions."""
    return nearness_of(
        domain, demand_by_domain, former_domain, regions_seen_from("north-a")
    )


class NearnessTest(unittest.TestCase):
    def test_region_with_the_most_demand(self):
        """Guards against a primary in a region that hardly uses the group."""
        demand = {"north-a": 1.0, "south-a": 2.0, "south-b": 2.0}
        self.assertGreater(
            nearness("south-c", demand, "north-a"),
            nearness("north-b", demand, "north-a"),
        )

    def test_former_region_when_the_demand_is_alike_or_unknown(self):
        """Guards against a primary that moves to another region for no reason."""
        for demand in ({}, {"north-a": 2.0, "south-a": 2.05}):
            self.assertGreater(
                nearness("north-b", demand, "north-a"),
                nearness("south-a", demand, "north-a"),
            )

    def test_all_are_equal_without_regions(self):
        """Guards against other promotions in deployments that have no regions."""
        regions = Regions("a")
        self.assertEqual(
            nearness_of("a", {"a": 5.0}, "a", regions),
            nearness_of("b", {"a": 5.0}, "a", regions),
        )

    def test_nearness_decides_among_equal_logs_only(self):
        """Guards against a lost commit, and against a far primary."""
        near, far = nearness("north-a", {"north-a": 1.0}), nearness("south-a", {})
        for near_received, expected in ((9, "near"), (8, "far")):
            statuses = [
                ReplicaStatus("near", False, near_received),
                ReplicaStatus("far", False, 9),
            ]
            chosen = choose_successor(statuses, True, {"near": near, "far": far})
            self.assertEqual(chosen, expected)
        draining = [ReplicaStatus("near", True, 9), ReplicaStatus("far", False, 9)]
        self.assertEqual(
            choose_successor(draining, True, {"near": near, "far": far}), "far"
        )


if __name__ == "__main__":
    unittest.main()
