"""Tests of ``cassiahill.sample_demand`` and of the probes that it saves."""

import unittest

from cassiahill.catalog import Consistency
from cassiahill.sample_demand import RECENT_READ_SECONDS, SampleDemand
from cassiahill.server_probes import (
    PRIMARY_PROBE_INTERVAL_SECONDS,
    SERVER_PROBE_INTERVAL_SECONDS,
)
from tests.session_builders import GroupFixture

SHORTEST, LONGEST = PRIMARY_PROBE_INTERVAL_SECONDS, SERVER_PROBE_INTERVAL_SECONDS
REGION_BY_DOMAIN = {"domain-a": "south", "domain-b": "north", "domain-c": "south"}


class SampleDemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = SampleDemand()

    def interval(self, now):
        """Return the interval of the samples at an instant."""
        return self.demand.sample_interval(SHORTEST, LONGEST, now)

    def test_no_reads(self):
        """Guards against probes across for a group that nobody reads."""
        self.assertEqual(self.interval(10.0), LONGEST)

    def test_narrow_bound_needs_young_samples(self):
        """Guards against reads that wait because no sample is young enough."""
        self.demand.record_read(2.5, 10.0)
        self.demand.record_read(0.3, 10.1)
        self.demand.record_read(2.5, 10.2)
        self.assertEqual(self.interval(10.3), SHORTEST)

    def test_wide_bound_lets_samples_get_older(self):
        """Guards against probes that no read needs."""
        self.demand.record_read(1.5, 10.0)
        self.assertEqual(self.interval(10.1), LONGEST)
        self.demand.record_read(0.9, 10.2)
        self.assertAlmostEqual(self.interval(10.3), 0.3)

    def test_bound_is_forgotten(self):
        """Guards against probes for good because of one read."""
        self.demand.record_read(0.3, 10.0)
        self.demand.record_read(2.5, 10.1 + RECENT_READ_SECONDS)
        self.assertEqual(self.interval(10.2 + RECENT_READ_SECONDS), LONGEST)


class ProbesAcrossTest(unittest.TestCase):
    def probe_count(self, own_domain, region_by_domain=None, supervised=False):
        """Return how often the idle primary ``a`` is probed in ten seconds."""
        fixture = GroupFixture(own_domain, region_by_domain=region_by_domain)
        fixture.group.supervised = supervised
        pool = fixture.group.pools_by_id["a"]
        before = pool.statement_count
        fixture.loop.advance(10.0)
        return pool.statement_count - before

    def test_probes_across_are_fewer(self):
        """Guards against a link full of probes of a primary that nobody reads."""
        without_regions = self.probe_count("domain-b")
        across = self.probe_count("domain-b", REGION_BY_DOMAIN)
        self.assertGreater(without_regions, 40)
        self.assertLess(across, 0.6 * without_regions)
        self.assertGreater(across, 10.0 / SERVER_PROBE_INTERVAL_SECONDS / 2)

    def test_supervisor_and_own_region_probe_as_often_as_before(self):
        """Guards against a failed primary that is noticed later because of regions."""
        expected = self.probe_count("domain-b")
        self.assertEqual(
            self.probe_count("domain-b", REGION_BY_DOMAIN, supervised=True), expected
        )
        self.assertEqual(self.probe_count("domain-c", REGION_BY_DOMAIN), expected)

    def test_narrow_bound_is_met_across(self):
        """Guards against reads of a narrow bound that are refused in a far region."""
        fixture = GroupFixture("domain-b", region_by_domain=REGION_BY_DOMAIN)
        session = fixture.session(Consistency.BOUNDED, max_age=0.35)
        for _ in range(20):
            self.assertIsNone(fixture.read(session).code)
            fixture.loop.advance(0.3)
        self.assertEqual(set(fixture.ran("read 1")), {"b"})


if __name__ == "__main__":
    unittest.main()
