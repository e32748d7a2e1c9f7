"""Tests of ``cassiahill.initial_sync``."""

import random
import unittest

from cassiahill import initial_sync, rumors


def rumors_of(generation):
    """Return the rumors of a peer that holds one generation."""
    return (rumors.Rumor("configuration", "current", generation, b"hash"),)


class InitialSyncTest(unittest.TestCase):
    def setUp(self):
        self.initial_sync = initial_sync.InitialSync(random.Random(1), 0.0)

    def test_three_answers_are_required(self):
        """Guards against a start with the values of a single peer."""
        peers = ["a", "b", "c", "d"]
        chosen_peers = self.initial_sync.choose_peers(peers)
        self.assertEqual(len(chosen_peers), 3)
        self.assertEqual(self.initial_sync.choose_peers(peers), [])
        self.initial_sync.record_failure(chosen_peers[0])
        self.assertEqual(len(self.initial_sync.choose_peers(peers)), 1)
        for peer in ("a", "b"):
            self.initial_sync.record_answer(peer, rumors_of(1))
        self.assertFalse(self.initial_sync.is_complete(peers, 99.0))
        self.assertFalse(self.initial_sync.is_complete(["a", "b"], 1.0))
        self.assertTrue(self.initial_sync.is_complete(["a", "b"], 2.0))

    def test_generation_far_above_the_median_is_left_out(self):
        """Guards against one faulty peer that blocks all later generations."""
        for peer, generation in (("a", 7), ("b", 1 << 40), ("c", 9)):
            self.initial_sync.record_answer(peer, rumors_of(generation))
        acceptable = self.initial_sync.acceptable_rumors(["a", "b", "c"], 100)
        self.assertEqual([rumor.generation for _, rumor in acceptable], [9, 7])
