"""Tests of ``cassiahill.promotion``, one with ``tests.failover_model``."""

import random
import unittest

from cassiahill import promotion
from cassiahill import promotion_events as events
from cassiahill.backend import LogEnd
from tests import broken_failover, builders, failover_model

SERVERS = ("s1", "s2", "s3")


def without_waits(actions):
    """Return the actions other than ``Wait``."""
    return [action for action in actions if not isinstance(action, events.Wait)]


class PromotionTest(unittest.TestCase):
    def setUp(self):
        self.promotion_under_test = self.make_promotion()

    def make_promotion(self, **changes):
        return promotion.Promotion(
            SERVERS, "p1/1", {"s1"}, 1, random.Random(1), **changes
        )

    def step(self, event, now=0.0):
        return without_waits(self.promotion_under_test.step(event, now))

    def raise_answer(self, server, last_term, position, now=0.0):
        event = events.TermRaised(2, LogEnd(server, last_term, position))
        return self.step(event, now)

    def begin_raising(self):
        self.step(events.Start())
        self.step(events.ClaimAnswered(2, True))

    def test_claim_without_an_answer_does_not_stop_the_promotion(self):
        """Guards against a promotion that needs the platform, which may be down."""
        self.step(events.Start())
        self.assertEqual(self.step(events.Tick(), 0.1), [])
        self.assertEqual(len(self.step(events.Tick(), 0.2)), 3)

    def test_chooses_the_longest_log_without_the_avoided_server(self):
        """Guards against the choice of an isolated primary for its longer log."""
        self.begin_raising()
        self.assertEqual(self.raise_answer("s1", 1, 9), [])
        self.assertEqual(self.raise_answer("s2", 1, 5), [])
        self.assertEqual(self.raise_answer("s3", 1, 6), [events.Promote("s3", 2)])

    def test_avoided_server_completes_the_majority_at_the_deadline(self):
        """Guards against a group without primary when only two servers answer."""
        self.begin_raising()
        self.raise_answer("s1", 1, 9)
        self.raise_answer("s2", 1, 5)
        self.assertEqual(self.step(events.Tick(), 0.5), [events.Promote("s1", 2)])

    def test_status_poll_replaces_a_lost_promote_answer(self):
        """Guards against a second primary after the answer of ``promote`` was lost."""
        self.begin_raising()
        self.raise_answer("s2", 1, 5)
        self.raise_answer("s3", 1, 5)
        self.assertEqual(self.step(events.CallFailed(2, "s2", False)), [])
        self.assertEqual(self.step(events.Tick(), 0.2), [events.Promote("s2", 2)])
        primary_status = builders.status("s2", role="primary", term=2)
        actions = self.step(events.Observed(primary_status), 0.3)
        self.assertEqual(actions[0], events.Publish(2, "s2"))
        self.assertIn(events.Follow("s1", 2, "s2"), actions)

    def test_refused_call_leads_to_a_higher_term(self):
        """Guards against two promoters that refuse to go on in the same term."""
        self.begin_raising()
        self.assertEqual(self.step(events.CallFailed(2, "s2", True)), [])
        self.step(events.Observed(builders.status("s2", term=4)))
        self.assertEqual(self.step(events.Tick(), 1.0), [events.ClaimInPlatform(5)])

    def test_new_primary_of_another_promotion_ends_this_one(self):
        """Guards against a second promotion right after a successful one."""
        self.begin_raising()
        primary_status = builders.status("s3", role="primary", term=3)
        (action,) = self.step(events.Observed(primary_status))
        self.assertIsInstance(action, events.Abandon)

    def test_waits_for_approval_when_writes_may_be_dropped(self):
        """Guards against dropping acknowledged writes without an approval."""
        self.promotion_under_test = self.make_promotion(
            acknowledge="term", policy="operator"
        )
        self.begin_raising()
        self.raise_answer("s2", 1, 5)
        self.raise_answer("s3", 1, 6)
        self.assertEqual(self.step(events.Tick(), 0.5), [])
        self.assertEqual(self.promotion_under_test.stage, promotion.Stage.OPERATOR)
        self.assertEqual(self.step(events.Tick(), 9.0), [])
        self.assertEqual(self.step(events.OperatorApproved(), 9.0)[0].server, "s3")

    def test_follow_commands_for_returning_servers(self):
        """Guards against a replaced primary that stays, and one that lost its term."""
        primary_status = builders.status("s2", role="primary", term=2, primary="s2")
        old_primary_status = builders.status("s1", role="primary", term=1)
        follow = events.Follow("s1", 2, "s2")
        commands = promotion.follow_commands(
            [primary_status, old_primary_status], SERVERS, 2, "s2"
        )
        self.assertEqual(commands, [follow])
        lost_state_status = builders.status("s1", term=0, recovering=True, primary="")
        commands = promotion.follow_commands(
            [primary_status, lost_state_status], SERVERS, 2, "s2"
        )
        self.assertEqual(commands, [])
        replica_status = builders.status("s3", term=2, primary="s2")
        commands = promotion.follow_commands(
            [primary_status, lost_state_status, replica_status], SERVERS, 2, "s2"
        )
        self.assertEqual(commands, [follow])


class FailoverModelTest(unittest.TestCase):
    def test_invariants_hold(self):
        """Guards against lost acknowledged writes, and two primaries in one term."""
        broken_failover.run(failover_model.FailoverModel, max_examples=100)

    def test_broken_versions_are_found(self):
        """Guards against a model that accepts a faulty promotion or acknowledgement."""
        for name, model in broken_failover.BROKEN_MODELS.items():
            if name in broken_failover.SLOW_TO_FIND:
                continue
            with self.subTest(name), self.assertRaises(AssertionError):
                broken_failover.run(model)
