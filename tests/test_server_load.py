"""Tests of ``cassiahill.server_load``, most of them by plays in virtual time."""

import collections
import functools
import itertools
import random
import unittest
from statistics import fmean

import attrs

from cassiahill import placement, server_load, slot_shares
from tests import load_play
from tests.load_play import SCENES, Scene

# Stated bound of the longest queue, as a multiple of that with perfect knowledge.
LONGEST_QUEUE_FACTOR = 1.2
# Share of the time that may be added to that of perfect knowledge in which one server
# queues while another has a free slot.
ADDED_UNEVEN_SHARE = 0.15
# A heartbeat interval, and the age at which the sum of the demand is no longer used.
AGES_SECONDS = (0.4, 1.2)
SEEDS = (1, 2)
PLAY_SECONDS = 6.0
CHECKED_SCENES = {
    "equal": SCENES["equal, load 0.7"],
    "unequal": SCENES["one half as fast, load 0.7"],
    "uneven proxies": SCENES["uneven proxies, load 0.8"],
}


@functools.cache
def play(scene, way, seed):
    """Return a play that has ended."""
    return load_play.Play(scene, way, PLAY_SECONDS, seed).run()


def excess_over_perfect(scene, age_seconds, way):
    """Compare a way with perfect knowledge, over the fixed seeds.

    Returns
    -------
    tuple of float
        Quotients of the mean of the longest queue and of its 99.9th percentile, and
        the added share of the time in which one server queues while another is free.
    """
    aged = attrs.evolve(scene, report_age_seconds=age_seconds)
    plays = [play(aged, way, seed) for seed in SEEDS]
    perfect_plays = [play(scene, load_play.perfect, seed) for seed in SEEDS]
    return (
        fmean(each.mean_longest() for each in plays)
        / fmean(each.mean_longest() for each in perfect_plays),
        fmean(each.longest(0.999) for each in plays)
        / fmean(each.longest(0.999) for each in perfect_plays),
        fmean(each.uneven_share() for each in plays)
        - fmean(each.uneven_share() for each in perfect_plays),
    )


class EvenLoadTest(unittest.TestCase):
    def check(self, scene, age_seconds, way):
        """Check the stated bounds of the longest queue and of the uneven time."""
        mean, highest, added_uneven_share = excess_over_perfect(scene, age_seconds, way)
        self.assertLessEqual(mean, LONGEST_QUEUE_FACTOR)
        self.assertLessEqual(highest, LONGEST_QUEUE_FACTOR)
        self.assertLessEqual(added_uneven_share, ADDED_UNEVEN_SHARE)

    def test_longest_queue_from_old_knowledge(self):
        """Guards against servers that are overrun while others are idle."""
        for (name, scene), age_seconds in itertools.product(
            CHECKED_SCENES.items(), AGES_SECONDS
        ):
            with self.subTest(scene=name, age=age_seconds):
                self.check(scene, age_seconds, load_play.chosen)

    def test_least_of_the_reported_fails_the_check(self):
        """Guards against a check that herding on old reports would pass."""
        for name, scene in CHECKED_SCENES.items():
            with self.subTest(scene=name), self.assertRaises(AssertionError):
                self.check(scene, 1.2, load_play.least_reported)

    def test_refusing_server_does_not_draw_reads(self):
        """Guards against a server that looks fast because it refuses at once."""
        # The other servers have room, so nothing forces reads to the refusing one.
        scene = Scene(load=0.35, refusing=(1, 0.9))
        sent = play(scene, load_play.chosen, 1).sent_count_by_id
        former_sent = play(scene, load_play.former, 1).sent_count_by_id
        self.assertLess(sent["b"], sent["c"])
        self.assertGreater(former_sent["b"], former_sent["c"])


class SlownessTest(unittest.TestCase):
    def test_one_lost_answer_does_not_decide(self):
        """Guards against a server without reads after a single lost answer."""
        slowness = server_load.Slowness()
        slowness.record(1000.0, 10.0)
        self.assertLess(slowness.at(10.0), 2.0)

    def test_recovered_server_is_tried_again(self):
        """Guards against a server that stays unused because it once was slow."""
        slowness = server_load.Slowness()
        for _ in range(100):
            slowness.record(6.0, 10.0)
        self.assertGreater(slowness.at(10.0), 5.0)
        self.assertLess(slowness.at(10.0 + 5 * server_load.FORGET_SECONDS), 1.1)


class ExpectedLoadTest(unittest.TestCase):
    def expected(self, load, share, now=10.0, primary="a"):
        """Return the expected loads of three servers with four slots."""
        return load.expected(dict.fromkeys("abc", 4), primary, share, now)

    def test_statements_that_need_the_primary_fill_it_first(self):
        """Guards against reads at a primary that others keep busy."""
        load = server_load.ServerLoad(random.Random(1))
        share = slot_shares.SlotShare(demand=2.0)
        share.record_total(12.0, 10.0)
        few = self.expected(load, share)
        load.primary_only_demand = 1.6
        many = self.expected(load, share)
        self.assertLess(few["a"].other_statements, few["b"].other_statements)
        self.assertAlmostEqual(many["a"].other_statements, 8.0)
        self.assertAlmostEqual(many["b"].other_statements, 1.0)

    def test_old_demand_is_not_used(self):
        """Guards against statements of others that ended long ago."""
        load = server_load.ServerLoad(random.Random(1))
        share = slot_shares.SlotShare(demand=2.0)
        share.record_total(12.0, 10.0)
        later = 10.0 + 1.1 * slot_shares.TOTAL_MAX_AGE_SECONDS
        for expected in self.expected(load, share, later).values():
            self.assertEqual(expected.other_statements, 0.0)

    def test_proxies_that_know_nothing_choose_different_servers(self):
        """Guards against restarted proxies that all send to the first server."""
        chosen = collections.Counter()
        for seed in range(30):
            load = server_load.ServerLoad(random.Random(seed))
            expected = self.expected(load, slot_shares.SlotShare(), primary=None)
            candidates = [
                placement.ServerCandidate(
                    server_id=server_id,
                    is_primary=False,
                    has_connection=True,
                    has_slot=True,
                    may_have_position=True,
                    latency_seconds=expected[server_id].latency_seconds,
                    running_statements=0,
                    network_seconds=0.0,
                    may_be_unreachable=False,
                )
                for server_id in "abc"
            ]
            choice = placement.choose_server(load_play.READ, candidates)
            chosen[choice.server_id] += 1
        self.assertGreater(min(chosen[server_id] for server_id in "abc"), 3)

    def test_larger_server_takes_more(self):
        """Guards against equal numbers of statements at servers of unequal size."""
        load = server_load.ServerLoad(random.Random(1))
        expected = load.expected({"a": 4, "b": 8}, None, slot_shares.SlotShare(), 0.0)
        self.assertLess(
            expected["b"].latency_seconds, 0.6 * expected["a"].latency_seconds
        )

    def test_spread_of_the_load(self):
        """Guards against a metric that hides an overrun server."""
        self.assertEqual(server_load.load_spread({"a": 0.0, "b": 0.0}), 1.0)
        self.assertEqual(server_load.load_spread({"a": 3.0, "b": 1.0}), 1.5)


if __name__ == "__main__":
    unittest.main()
