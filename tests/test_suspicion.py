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
        self.suspicion.watch(1, "s1", 100.0)

    def fail_probes(self):
        for sent_at in (100.25, 100.5, 100.75):
            self.suspicion.observe_probe(False, sent_at, sent_at + 0.25)

    def report(self, observer, unreachable_seconds, received_at=101.0):
        self.suspicion.record_observation(
            Observation("g", 1, "s1", observer, unreachable_seconds), received_at
        )

    def replicas(self, *silences, at=101.0):
        for server, silence in zip(SERVERS[1:], silences, strict=False):
            self.suspicion.observe_replica(
                builders.status(
                    server,
                    primary_unreachable_seconds=silence,
                    sent_at=at,
                    received_at=at,
                )
            )

    def test_majority_of_observers_and_silent_replicas(self):
        """Guards against a killed primary that stays, and against a lone observer."""
        self.fail_probes()
        self.replicas(0.8, 0.9)
        self.assertEqual(self.suspicion.verdict(101.0), Healthy())
        self.report("p2", 1.0)
        self.assertEqual(self.suspicion.verdict(101.0), Failed(Reason.SILENT))

    def test_replica_that_hears_the_primary_prevents_a_promotion(self):
        """Guards against a false promotion when only the observers are cut off."""
        self.fail_probes()
        self.report("p2", 2.0)
        self.replicas(0.1, 0.9)
        self.assertEqual(self.suspicion.verdict(101.0), Healthy())

    def test_isolated_primary_that_answers_probes(self):
        """Guards against a primary that executes writes nobody can confirm."""
        self.suspicion.observe_probe(True, 100.9, 100.95)
        self.replicas(1.5, 1.6)
        self.assertEqual(self.suspicion.verdict(101.0), Failed(Reason.ISOLATED))
        self.replicas(1.5, 1.4, at=101.1)
        self.assertEqual(self.suspicion.verdict(101.1), Healthy())

    def test_old_reports_do_not_grow(self):
        """Guards against a pending long poll or a pause that looks like silence."""
        self.report("p2", 0.9, received_at=101.0)
        self.replicas(0.6, 0.6)
        self.fail_probes()
        self.assertEqual(self.suspicion.verdict(101.7), Healthy())
        self.assertEqual(self.suspicion.verdict(110.0), Healthy())
        self.suspicion.restart(110.0)
        self.assertEqual(self.suspicion.unreachable_seconds(110.0), 0.0)

    def test_one_lost_probe_is_not_silence(self):
        """Guards against a promotion after one lost packet."""
        self.suspicion.observe_probe(False, 100.5, 101.0)
        self.assertEqual(self.suspicion.unreachable_seconds(105.0), 0.0)

    def test_term_without_primary(self):
        """Guards against a group that stays without primary after a promoter died."""
        self.suspicion.watch(2, "", 101.0)
        self.replicas(0.0, 0.0, at=101.9)
        self.assertEqual(self.suspicion.verdict(101.9), Healthy())
        self.assertEqual(self.suspicion.verdict(102.0), Failed(Reason.NO_PRIMARY))

    def test_observers_are_spread_over_domains(self):
        """Guards against observers that one failure domain takes away together."""
        domains = {f"p{n}": f"d{n % 3}" for n in range(12)}
        chosen = suspicion.choose_observers("g", domains)
        self.assertEqual(len(set(chosen)), 5)
        self.assertEqual({domains[p] for p in chosen[:3]}, {"d0", "d1", "d2"})
        del domains[chosen[0]]
        kept = set(suspicion.choose_observers("g", domains))
        self.assertGreaterEqual(len(kept & set(chosen[1:])), 3)
