"""Tests of ``cassiahill.network_delays``."""

import unittest

from cassiahill.network_delays import (
    CROSS_DOMAIN_SECONDS,
    CROSS_REGION_SECONDS,
    RoundTrip,
    network_seconds,
)
from cassiahill.regions import Distance

USUAL_SECONDS = 0.025
FULL_LINK_SECONDS = 0.2


class NetworkSecondsTest(unittest.TestCase):
    def test_delay_grows_with_the_distance(self):
        """Guards against reads that prefer a far server to a near one."""
        delays = [network_seconds(distance) for distance in Distance]
        self.assertEqual(delays, [0.0, CROSS_DOMAIN_SECONDS, CROSS_REGION_SECONDS])

    def test_measured_round_trip_counts_between_regions_only(self):
        """Guards against other choices in deployments with one region."""
        self.assertEqual(network_seconds(Distance.OTHER_REGION, 0.2), 0.2)
        self.assertEqual(
            network_seconds(Distance.OWN_REGION, 0.2), CROSS_DOMAIN_SECONDS
        )


class RoundTripTest(unittest.TestCase):
    def setUp(self):
        """Measure a link without a queue."""
        self.round_trip = RoundTrip()
        for _ in range(20):
            self.round_trip.record(USUAL_SECONDS)

    def test_full_link_shows_as_a_queue(self):
        """Guards against a full link that is noticed only when answers time out."""
        self.assertAlmostEqual(self.round_trip.queue_seconds, 0.0)
        for _ in range(4):
            self.round_trip.record(FULL_LINK_SECONDS)
        self.assertGreater(
            self.round_trip.queue_seconds, (FULL_LINK_SECONDS - USUAL_SECONDS) / 2
        )

    def test_queue_ends(self):
        """Guards against a link that is avoided for good after a burst."""
        for _ in range(10):
            self.round_trip.record(FULL_LINK_SECONDS)
        for _ in range(10):
            self.round_trip.record(USUAL_SECONDS)
        self.assertLess(self.round_trip.queue_seconds, USUAL_SECONDS)

    def test_longer_way_becomes_usual_slowly(self):
        """Guards against a queue of some seconds that counts as the usual delay."""
        for _ in range(10):
            self.round_trip.record(FULL_LINK_SECONDS)
        self.assertLess(self.round_trip.usual_seconds, 2 * USUAL_SECONDS)


if __name__ == "__main__":
    unittest.main()
