"""Tests of the servers that reads use when a group's servers lie in two regions."""

import unittest

from cassiahill import network_delays
from tests.session_builders import GroupFixture

REGION_BY_DOMAIN = {"domain-a": "south", "domain-b": "north", "domain-c": "south"}
READ_COUNT = 20


class ReadsAcrossRegionsTest(unittest.TestCase):
    def setUp(self):
        """Start a proxy beside the replica ``b``; the others are in another region."""
        self.fixture = GroupFixture(
            own_domain="domain-b", region_by_domain=REGION_BY_DOMAIN
        )

    def test_reads_stay_and_only_probes_cross(self):
        """Guards against reads that cross while a replica in the region is idle."""
        session = self.fixture.session()
        before = self.fixture.group.servers.crossings().statement_count
        for _ in range(READ_COUNT):
            self.fixture.read(session)
        self.assertEqual(self.fixture.ran("read 1"), ["b"] * READ_COUNT)
        crossed = self.fixture.group.servers.crossings().statement_count - before
        self.assertLess(crossed, READ_COUNT)

    def test_reads_cross_when_the_near_replica_is_gone(self):
        """Guards against a region without reads because its only replica failed."""
        self.fixture.group.remove_server("b")
        self.fixture.read(self.fixture.session())
        self.assertEqual(self.fixture.ran("read 1"), ["c"])

    def test_probes_measure_the_round_trip(self):
        """Guards against a full link that nothing measures while no read crosses."""
        round_trip = self.fixture.group.pools_by_id["c"].round_trip
        self.assertIsNotNone(round_trip.seconds)
        self.fixture.servers.by_id["c"].seconds = 0.2
        self.fixture.loop.advance(3.0)
        self.assertGreater(
            round_trip.queue_seconds, network_delays.CROSS_REGION_SECONDS
        )

    def test_count_of_statements_survives_a_restart(self):
        """Guards against a counter that falls when a server leaves."""
        before = self.fixture.group.servers.crossings().statement_count
        self.assertGreater(before, 0)
        self.fixture.group.remove_server("c")
        self.assertEqual(self.fixture.group.servers.crossings().statement_count, before)


if __name__ == "__main__":
    unittest.main()
