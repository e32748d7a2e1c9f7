"""Tests of ``cassiahill.takeover``: replicas that receive nothing for a while."""

import unittest
from unittest import mock

import attrs

from cassiahill import takeover
from cassiahill.loop import completed_future
from cassiahill.promotion_orders import OrderResult
from tests.line_group import InMemoryConnection
from tests.takeover_builders import TakeoverTestCase


class PausedReplicasTest(TakeoverTestCase):
    def test_replicas_receive_again_after_a_promotion(self):
        """Guards against replicas that stay paused and get ever staler."""
        self.set_up_group()
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        paused = [server.paused_term for server in self.fixture.servers.by_id.values()]
        self.assertEqual(paused, [0, 0, 0])

    def test_old_primary_acknowledges_only_through_the_successor(self):
        """Guards against the loss of a commit by an order that is carried out late."""
        self.set_up_group([OrderResult.UNANSWERED] * 5)
        self.fixture.group.put_server(
            self.fixture.servers.registered("a", draining=True),
            self.fixture.servers.registered("a"),
        )
        self.run_for(1.0)
        successor = self.orders.promotions[0][0]
        other = {"b": "c", "c": "b"}[successor]
        self.assertGreater(self.fixture.servers.by_id[other].paused_term, 0)
        self.fixture.servers.by_id[successor].not_receiving = True
        self.assertFalse(self.fixture.servers.commit(self.fixture.servers.by_id["a"]))

    def test_replicas_stay_paused_while_an_order_may_come_late(self):
        """Guards against commits that are rolled back by an order carried out late.

        Until then the old primary must get no acknowledgement from other replicas.
        """
        self.set_up_group([OrderResult.UNANSWERED] * 6)
        self.fixture.group.put_server(
            self.fixture.servers.registered("a", draining=True),
            self.fixture.servers.registered("a"),
        )
        self.run_for(0.5)
        successor = self.orders.promotions[0][0]
        other = {"b": "c", "c": "b"}[successor]
        self.run_for(7.0)
        self.assertGreater(self.fixture.servers.by_id[other].paused_term, 0)
        self.run_for(5.0)
        self.assertEqual(len({token for _, token in self.orders.promotions}), 1)
        self.assertEqual(self.fixture.group.primary.server_id, successor)

    def test_former_promoter_does_not_end_the_pauses_of_its_successor(self):
        """Guards against commits that a replica acknowledges during a promotion.

        The former promoter's repeated order was refused, and it then let the replicas
        receive again, although its successor's order was about to be carried out.
        """
        # The second order is for the primary, and closes the first one.
        results = [OrderResult.UNANSWERED, OrderResult.ACCEPTED, OrderResult.UNANSWERED]
        self.set_up_group(results + [OrderResult.REFUSED] * 6)
        self.drain_primary()
        self.run_for(0.5)
        self.is_promoter = False
        former = self.takeover
        self.takeover = takeover.Takeover(
            self.fixture.loop,
            self.fixture.group,
            self.orders,
            lambda: next(self.tokens),
            lambda strictly=False: completed_future(True),
            lambda: None,
        )
        self.run_for(2.2)
        successor = self.orders.promotions[-1][0]
        other = self.fixture.servers.by_id[{"b": "c", "c": "b"}[successor]]
        term = other.paused_term
        self.run_for(0.9)
        self.assertFalse(former._in_progress)
        self.assertEqual(other.paused_term, term)

    def test_replica_whose_pause_was_ended_blocks_the_promotion(self):
        """Guards against commits that a replica acknowledges after it has restarted.

        A restart ends the pause. The acknowledgement went to another proxy.
        """
        self.set_up_group()
        servers = self.fixture.servers
        self.isolate_primary()
        other = servers.by_id["b"]
        while not other.paused_term:
            self.run_for(0.05)
        other.paused_term = 0
        other.not_receiving = False
        self.assertTrue(servers.commit(servers.by_id["a"]))
        servers.acknowledged.append(servers.by_id["a"].received)
        self.run_for(4.0)
        self.assertTrue(self.orders.promotions)
        self.assert_nothing_acknowledged_is_lost()

    def test_pauses_of_a_lost_promoter_are_ended(self):
        """Guards against a replica that receives nothing any more.

        The promoter was lost after it had paused the replica, and the primary answered
        again. The replica stays paused while an order may still be carried out.
        """
        self.set_up_group()
        replica = self.fixture.servers.by_id["b"]
        replica.paused_term = 2
        self.run_for(takeover.ABANDONED_PAUSE_SECONDS - 1.0)
        self.assertEqual(replica.paused_term, 2)
        self.run_for(2.0)
        self.assertEqual(replica.paused_term, 0)

    def test_term_without_an_accepted_order_is_never_idle(self):
        """Guards against a statement that a former promoter's order makes untrue.

        Until the platform has seen a token of this term, it accepts orders of a former
        promoter that was suspended right before it gave them.
        """
        self.set_up_group([OrderResult.NOT_DONE] * 12)
        self.takeover = takeover.Takeover(
            self.fixture.loop,
            self.fixture.group,
            self.orders,
            lambda: next(self.tokens),
            self.confirm_promoter,
            lambda: None,
        )
        while len(self.orders.promotions) < 12:
            self.run_for(0.5)
            self.assertFalse(self.takeover.is_idle)
        self.run_for(4.0)
        self.assertTrue(self.takeover.is_idle)

    def test_pauses_are_ended_only_after_the_store_has_confirmed_the_role(self):
        """Guards against a former promoter that ends pauses of its successor.

        The store did not answer it, so it took itself for the promoter.
        """
        self.set_up_group()
        self.store_answers = False
        replica = self.fixture.servers.by_id["b"]
        replica.paused_term = 2
        self.run_for(takeover.ABANDONED_PAUSE_SECONDS + 4.0)
        self.assertEqual(replica.paused_term, 2)
        self.store_answers = True
        self.run_for(takeover.PAUSES_RETRY_SECONDS + 1.0)
        self.assertEqual(replica.paused_term, 0)

    def test_failed_attempt_leaves_its_pauses_while_the_store_is_silent(self):
        """Guards against pauses that a process ends which may be a former promoter."""
        self.set_up_group([OrderResult.NOT_DONE] * 9)
        self.store_answers = False
        self.drain_primary()
        self.run_for(0.5)
        other = self.fixture.servers.by_id[
            {"b": "c", "c": "b"}[self.orders.promotions[0][0]]
        ]
        self.assertGreater(other.paused_term, 0)
        pauses = set()
        for _ in range(340):
            self.run_for(0.05)
            pauses.add(bool(other.paused_term))
            if len(self.orders.promotions) == 9 and not self.takeover._in_progress:
                break
        self.assertEqual(len(self.orders.promotions), 9)
        self.assertEqual(pauses, {True})

    def test_pause_has_a_term_above_that_of_each_held_pause(self):
        """Guards against two promoters that pause replicas under the same term.

        A status states the term of the log and that of a pause in separate fields.
        """
        self.set_up_group()

        def report_log_term(connection, is_primary):
            report = report_of(connection, is_primary)
            return attrs.evolve(report, term=connection._server.term)

        report_of = InMemoryConnection._report
        self.fixture.servers.by_id["b"].paused_term = 6
        self.fixture.servers.by_id["c"].paused_term = 6
        with mock.patch.object(InMemoryConnection, "_report", report_log_term):
            self.drain_primary()
            terms = set()
            for _ in range(40):
                self.run_for(0.05)
                terms |= {
                    self.fixture.servers.by_id[server_id].paused_term
                    for server_id in ("b", "c")
                }
        self.assertLessEqual(terms, {0, 6, 7})
        self.assertIn(7, terms)


if __name__ == "__main__":
    unittest.main()
