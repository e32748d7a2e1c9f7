"""Tests of ``cassiahill.suspicion``."""

import unittest

from cassiahill import suspicion
from cassiahill.suspicion import Failed, Healthy, Observation, Reason
from tests import builders

SERVERS = ("s1", "s2", "s3")


class PrimarySuspicionTest(unittest.TestCase):
    def setUp(self):
        self.suspicion = suspicion.PrimarySuspicion(SERVERS, "p1")
        self.suspicion.set_observers(["p1", "p2", "p3"])
        self.suspicion.set_primary(1, "s1", 100.0)

    def fail_probes(self):
        for sent_at in (100.25, 100.5, 100.75):
            self.suspicion.record_probe(False, sent_at, sent_at + 0.25)

    def record_other_observer(self, observer, unreachable_seconds, received_at=101.0):
        self.suspicion.record_observation(
            Observation("g", 1, "s1", observer, unreachable_seconds), received_at
        )

    def record_replicas(self, *unreachable_seconds, polled_at=101.0):
        for server, seconds in zip(SERVERS[1:], unreachable_seconds, strict=False):
            self.suspicion.record_status(
                builders.status(
                    server,
                    primary_unreachable_seconds=seconds,
                    sent_at=polled_at,
                    received_at=polled_at,
                )
            )

    def test_majority_of_observers_and_replicas_without_contact(self):
        """Guards against a failed primary that stays, and one observer's decision."""
        self.fail_probes()
        self.record_replicas(0.8, 0.9)
        self.assertEqual(self.suspicion.verdict(101.0), Healthy())
        self.record_other_observer("p2", 1.0)
        self.assertEqual(self.suspicion.verdict(101.0), Failed(Reason.SILENT))

    def test_replica_with_contact_to_the_primary_prevents_a_promotion(self):
        """Guards against a promotion when only the observers are partitioned."""
        self.fail_probes()
        self.record_other_observer("p2", 2.0)
        self.record_replicas(0.1, 0.9)
        self.assertEqual(self.suspicion.verdict(101.0), Healthy())

    def test_isolated_primary_that_answers_probes(self):
        """Guards against a primary whose writes no replica can acknowledge."""
        self.suspicion.record_probe(True, 100.9, 100.95)
        self.record_replicas(1.5, 1.6)
        self.assertEqual(self.suspicion.verdict(101.0), Failed(Reason.ISOLATED))
        self.record_replicas(1.5, 1.4, polled_at=101.1)
        self.assertEqual(self.suspicion.verdict(101.1), Healthy())

    def test_time_since_an_observation_does_not_count(self):
        """Guards against a long poll or a pause taken for an unreachable primary."""
        self.record_other_observer("p2", 0.9, received_at=101.0)
        self.record_replicas(0.6, 0.6)
        self.fail_probes()
        self.assertEqual(self.suspicion.verdict(101.7), Healthy())
        self.assertEqual(self.suspicion.verdict(110.0), Healthy())
        self.suspicion.discard_observations(110.0)
        self.assertEqual(self.suspicion.unreachable_seconds(110.0), 0.0)

    def test_one_failed_probe_does_not_count(self):
        """Guards against a promotion after one lost packet."""
        self.suspicion.record_probe(False, 100.5, 101.0)
        self.assertEqual(self.suspicion.unreachable_seconds(105.0), 0.0)

    def test_term_without_a_primary(self):
        """Guards against a group without a primary after its promoter has stopped."""
        self.suspicion.set_primary(2, "", 101.0)
        self.record_replicas(0.0, 0.0, polled_at=101.9)
        self.assertEqual(self.suspicion.verdict(101.9), Healthy())
        self.assertEqual(self.suspicion.verdict(102.0), Failed(Reason.NO_PRIMARY))

    def test_observers_are_spread_over_domains(self):
        """Guards against observers that all fail with one failure domain."""
        domain_by_proxy = {f"p{number}": f"d{number % 3}" for number in range(12)}
        observers = suspicion.choose_observers("g", domain_by_proxy)
        self.assertEqual(len(set(observers)), 5)
        self.assertEqual(
            {domain_by_proxy[proxy] for proxy in observers[:3]}, {"d0", "d1", "d2"}
        )
        del domain_by_proxy[observers[0]]
        remaining_observers = set(suspicion.choose_observers("g", domain_by_proxy))
        self.assertGreaterEqual(len(remaining_observers & set(observers[1:])), 3)
