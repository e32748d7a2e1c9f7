"""Searches for versions of the configuration that are in force too late."""

import random
import unittest

from tests.change_model import Bounds, ChangeModel, LateVersion
from tests.memory_fleet import MemoryFleet
from tests.region_builders import REGION_BY_DOMAIN

PLAY_SECONDS = 40.0
SMALL_BOUNDS = Bounds(change_seconds=3.0, stable_seconds=4.0)
LARGE_BOUNDS = Bounds(change_seconds=5.0, stable_seconds=6.0)


def start_small_fleet(seed, change_seconds):
    """Return a fleet in which each process reads the store."""
    return MemoryFleet(6, 3, seed=seed, change_seconds=change_seconds)


def start_large_fleet(seed, change_seconds):
    """Return a fleet in two regions that follows a few readers of the store."""
    fleet = MemoryFleet(
        0, change_seconds=change_seconds, region_by_domain=REGION_BY_DOMAIN
    )
    domains = sorted(REGION_BY_DOMAIN)
    for number in range(24):
        fleet.start(f"proxy-{number}", domains[number % len(domains)], number % 3 == 0)
    return fleet


def play(seed, start_fleet, bounds, change_seconds):
    """Play one random history; raises ``LateVersion``."""
    fleet = start_fleet(seed, change_seconds)
    ChangeModel(random.Random(seed), fleet, bounds).run(PLAY_SECONDS)


class ChangeSearchTest(unittest.TestCase):
    def test_each_version_is_in_force_in_time_in_a_small_fleet(self):
        """Guards against versions that come late after faults of store and hosts."""
        for seed in range(20):
            with self.subTest(seed=seed):
                play(seed, start_small_fleet, SMALL_BOUNDS, SMALL_BOUNDS.change_seconds)

    def test_each_version_is_in_force_in_time_in_a_large_fleet(self):
        """Guards against the same where most processes follow a few readers."""
        for seed in range(16):
            with self.subTest(seed=seed):
                play(seed, start_large_fleet, LARGE_BOUNDS, LARGE_BOUNDS.change_seconds)

    def test_fleets_that_rely_on_their_watches_are_found(self):
        """Guards against a search that would not find lost watches (issue 36)."""
        for start_fleet, bounds in (
            (start_small_fleet, SMALL_BOUNDS),
            (start_large_fleet, LARGE_BOUNDS),
        ):
            self.assertTrue(
                any(
                    self.is_late(seed, start_fleet, bounds, change_seconds=None)
                    for seed in range(40)
                ),
                start_fleet,
            )

    def is_late(self, *arguments, **options):
        try:
            play(*arguments, **options)
        except LateVersion:
            return True
        return False


if __name__ == "__main__":
    unittest.main()
