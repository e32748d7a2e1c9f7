"""Tests of ``cassiahill.initial_sync``."""

import random
import unittest

from cassiahill import initial_sync, rumors


def offer(generation):
    """Return what a peer answers that holds one generation."""
    return (rumors.Rumor("configuration", "current", generation, b"hash"),)


class FirstValuesTest(unittest.TestCase):
    def setUp(self):
        self.first = initial_sync.FirstValues(random.Random(1), 0.0)

    def test_three_answers_are_needed(self):
        """Guards against a start with the view of the seed alone."""
        peers = ["a", "b", "c", "d"]
        asked = self.first.to_ask(peers)
        self.assertEqual(len(asked), 3)
        self.assertEqual(self.first.to_ask(peers), [])
        self.first.failed(asked[0])
        self.assertEqual(len(self.first.to_ask(peers)), 1)
        for peer in ("a", "b"):
            self.first.answered(peer, offer(1))
        self.assertFalse(self.first.is_complete(peers, 99.0))
        self.assertFalse(self.first.is_complete(["a", "b"], 1.0))
        self.assertTrue(self.first.is_complete(["a", "b"], 2.0))

    def test_an_offer_out_of_reach_is_left_out(self):
        """Guards against one faulty peer that blocks all later generations."""
        for peer, generation in (("a", 7), ("b", 1 << 40), ("c", 9)):
            self.first.answered(peer, offer(generation))
        chosen = self.first.offers(["a", "b", "c"], 100)
        self.assertEqual([rumor.generation for _, rumor in chosen], [9, 7])
