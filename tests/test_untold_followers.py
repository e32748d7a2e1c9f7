"""Tests of followers whose readers do not tell them that the configuration changed."""

import unittest

from tests.memory_fleet import MemoryFleet
from tests.region_builders import REGION_BY_DOMAIN

CHANGE_SECONDS = 5.0
# The change comes at any moment after the followers last heard of the store.
DELAYS_SECONDS = (0.05, 0.3, 2.0)


def started_fleet():
    """Return a fleet of two regions that has been running for a while."""
    fleet = MemoryFleet(
        30, 6, change_seconds=CHANGE_SECONDS, region_by_domain=REGION_BY_DOMAIN
    )
    fleet.loop.advance(12.0)
    return fleet


class UntoldFollowersTest(unittest.TestCase):
    def assert_followers_are_in_time(self, begin_fault):
        """Check the processes that no fault concerns, for a change in the fault.

        Parameters
        ----------
        begin_fault : callable
            Takes the fleet and the names of its readers and its followers; returns the
            followers that are to have the change in time.
        """
        for delay_seconds in DELAYS_SECONDS:
            fleet = started_fleet()
            readers = fleet.reader_names()
            followers = fleet.processes_by_name.keys() - readers
            names = begin_fault(fleet, readers, followers)
            fleet.loop.advance(delay_seconds)
            fleet.write("config", "main", {"version": 4})
            fleet.loop.advance(CHANGE_SECONDS)
            versions = {
                name: fleet.processes_by_name[name].catalog.configuration.version
                for name in names
            }
            self.assertEqual(versions, dict.fromkeys(names, 4), delay_seconds)

    def test_readers_whose_calls_are_lost(self):
        """Guards against followers that trust a reader whose watch was lost."""

        def lose_calls(fleet, readers, followers):
            fleet.unanswered_names = readers
            return followers

        self.assert_followers_are_in_time(lose_calls)

    def test_readers_that_the_store_refuses(self):
        """Guards against a wait for readers that takes longer than a change may."""

        def refuse(fleet, readers, followers):
            fleet.storeless_names = readers
            return followers

        self.assert_followers_are_in_time(refuse)

    def test_readers_that_are_gone(self):
        """Guards against the same after a loss of all readers."""

        def end(fleet, readers, followers):
            fleet.silent_names = readers
            return followers

        self.assert_followers_are_in_time(end)

    def test_followers_that_reach_no_member(self):
        """Guards against followers that hear nothing although the store answers."""

        def isolate(fleet, _readers, followers):
            fleet.isolated_names = followers
            return followers

        self.assert_followers_are_in_time(isolate)


if __name__ == "__main__":
    unittest.main()
