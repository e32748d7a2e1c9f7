"""Tests of ``cassiahill.promotion``; the model is in ``tests.failover_model``."""

import random
import unittest

from cassiahill import promotion
from cassiahill import promotion_events as events
from cassiahill.backend import LogEnd
from tests import broken_failover, builders, failover_model

SERVERS = ("s1", "s2", "s3")


def drop_waits(actions):
    """Return the actions other than ``Wait``."""
    return [action for action in actions if not isinstance(action, events.Wait)]


class PromotionTest(unittest.TestCase):
    def setUp(self):
        self.machine = self.make()

    def make(self, **changes):
        return promotion.Promotion(
            SERVERS, "p1/1", {"s1"}, 1, random.Random(1), **changes
        )

    def step(self, event, now=0.0):
        return drop_waits(self.machine.step(event, now))

    def raised(self, server, last_term, position, now=0.0):
        event = events.TermRaised(2, LogEnd(server, last_term, position))
        return self.step(event, now)

    def begin(self):
        self.step(events.Start())
        self.step(events.ClaimAnswered(2, True))

    def test_platform_that_never_answers_is_skipped(self):
        """Guards against a promotion that depends on the platform."""
        self.step(events.Start())
        self.assertEqual(self.step(events.Tick(), 0.1), [])
        self.assertEqual(len(self.step(events.Tick(), 0.2)), 3)

    def test_longest_log_of_a_majority_without_the_suspect(self):
        """Guards against the choice of an isolated primary for its longer log."""
        self.begin()
        self.assertEqual(self.raised("s1", 1, 9), [])
        self.assertEqual(self.raised("s2", 1, 5), [])
        self.assertEqual(self.raised("s3", 1, 6), [events.Promote("s3", 2)])

    def test_suspect_completes_the_majority_at_the_deadline(self):
        """Guards against a group that stays without primary when two are left."""
        self.begin()
        self.raised("s1", 1, 9)
        self.raised("s2", 1, 5)
        self.assertEqual(self.step(events.Tick(), 0.5), [events.Promote("s1", 2)])

    def test_lost_promote_answer_is_read_from_the_status(self):
        """Guards against a second primary after a lost answer."""
        self.begin()
        self.raised("s2", 1, 5)
        self.raised("s3", 1, 5)
        self.assertEqual(self.step(events.CallFailed(2, "s2", False)), [])
        self.assertEqual(self.step(events.Tick(), 0.2), [events.Promote("s2", 2)])
        leader = builders.status("s2", role="primary", term=2)
        actions = self.step(events.Observed(leader), 0.3)
        self.assertEqual(actions[0], events.Publish(2, "s2"))
        self.assertIn(events.Follow("s1", 2, "s2"), actions)

    def test_refusal_leads_to_a_higher_term(self):
        """Guards against two promoters that block each other in one term."""
        self.begin()
        self.assertEqual(self.step(events.CallFailed(2, "s2", True)), [])
        self.step(events.Observed(builders.status("s2", term=4)))
        self.assertEqual(self.step(events.Tick(), 1.0), [events.ClaimInPlatform(5)])

    def test_other_promotion_ends_this_one(self):
        """Guards against a second promotion right after a successful one."""
        self.begin()
        leader = builders.status("s3", role="primary", term=3)
        (action,) = self.step(events.Observed(leader))
        self.assertIsInstance(action, events.Abandon)

    def test_operator_decides_about_writes_that_may_be_dropped(self):
        """Guards against dropped acknowledged writes that nobody accepted."""
        self.machine = self.make(acknowledge="term", policy="operator")
        self.begin()
        self.raised("s2", 1, 5)
        self.raised("s3", 1, 6)
        self.assertEqual(self.step(events.Tick(), 0.5), [])
        self.assertEqual(self.machine.stage, promotion.Stage.OPERATOR)
        self.assertEqual(self.step(events.Tick(), 9.0), [])
        self.assertEqual(self.step(events.OperatorApproved(), 9.0)[0].server, "s3")

    def test_returning_databases(self):
        """Guards against an old primary that stays, or that forgot its term."""
        leader = builders.status("s2", role="primary", term=2, primary="s2")
        old = builders.status("s1", role="primary", term=1)
        follow = events.Follow("s1", 2, "s2")
        commands = promotion.follow_commands([leader, old], SERVERS, 2, "s2")
        self.assertEqual(commands, [follow])
        empty = builders.status("s1", term=0, recovering=True, primary="")
        commands = promotion.follow_commands([leader, empty], SERVERS, 2, "s2")
        self.assertEqual(commands, [])
        other = builders.status("s3", term=2, primary="s2")
        commands = promotion.follow_commands([leader, empty, other], SERVERS, 2, "s2")
        self.assertEqual(commands, [follow])


class FailoverModelTest(unittest.TestCase):
    def test_invariants_hold(self):
        """Guards against lost acknowledged writes and two primaries in one term."""
        broken_failover.run(failover_model.FailoverModel, examples=100)

    def test_broken_versions_are_found(self):
        """Guards against a model that could not show a fault."""
        for name, model in broken_failover.BROKEN_MODELS.items():
            if name in broken_failover.SLOW_TO_FIND:
                continue
            with self.subTest(name), self.assertRaises(AssertionError):
                broken_failover.run(model)
