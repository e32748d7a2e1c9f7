"""Tests of ``cassiahill.takeover``: which server is promoted, and when."""

import math
import unittest
from unittest import mock

from cassiahill import promotion_evidence
from cassiahill.loop import completed_future
from cassiahill.primary_symptoms import PrimarySymptoms
from cassiahill.promotion_orders import ABANDONED_PAUSE_SECONDS, OrderResult
from cassiahill.shared_store import Revision
from tests.takeover_builders import TakeoverTestCase


class IncompleteListTest(TakeoverTestCase):
    """The promoter has just started, and entries may be missing in its list."""

    def setUp(self):
        self.set_up_group()
        self.complete_at = 0.0
        self.takeover._evidence.servers_complete_at = lambda: self.complete_at
        self.fixture.servers.by_id["a"].unreachable = True

    def test_promotion_waits_until_the_list_is_complete(self):
        """Guards against promoting the only replica that is registered yet."""
        self.complete_at = self.fixture.loop.clock.now() + 5.0
        self.run_for(4.8)
        self.assertEqual(self.orders.promotions, [])
        self.complete_at = -math.inf
        self.run_for(1.0)
        self.assertEqual(len(self.orders.promotions), 1)
        self.assertEqual(self.resigned_at, [])

    def test_promoter_without_the_store_resigns(self):
        """Guards against a group without a primary while others reach the store."""
        self.complete_at = math.inf
        self.run_for(5.0)
        self.assertEqual(self.orders.promotions, [])
        self.assertTrue(self.resigned_at)

    def test_pauses_of_servers_that_register_later_are_ended(self):
        """Guards against a replica that stays paused, as nobody looks at it again."""
        servers = self.fixture.servers
        servers.by_id["a"].unreachable = False
        servers.by_id["b"].paused_term = 2
        self.fixture.group.remove_server("b")
        self.complete_at = self.fixture.loop.clock.now() + 20.0
        self.run_for(ABANDONED_PAUSE_SECONDS + 1.0)
        self.fixture.group.put_server(servers.registered("b"), None)
        self.run_for(4.5)
        self.complete_at = -math.inf
        self.run_for(2.0)
        self.assertEqual(servers.by_id["b"].paused_term, 0)


class TakeoverTest(TakeoverTestCase):
    def test_nearest_of_equal_replicas_is_promoted(self):
        """Guards against a primary far from those who write, for no reason."""
        self.set_up_group()
        self.near_domain = "domain-b"
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(2.0)
        self.assertEqual(self.orders.promotions[0][0], "b")
        self.assertEqual(self.former_domains, {"domain-a"})

    def test_longer_log_comes_before_nearness(self):
        """Guards against a lost commit because a nearer replica was promoted."""
        self.set_up_group()
        self.near_domain = "domain-b"
        self.fixture.servers.by_id["b"].not_receiving = True
        self.fixture.write(self.fixture.session())
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(2.0)
        self.assertEqual(self.orders.promotions[0][0], "c")

    def test_unreachable_primary_is_replaced_by_the_longest_log(self):
        """Guards against a group without a primary, and against a lost commit."""
        self.set_up_group()
        session = self.fixture.session()
        self.fixture.servers.by_id["b"].not_receiving = True
        self.fixture.write(session)
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.assertEqual(self.fixture.group.primary.server_id, "c")

    def test_no_order_while_a_replica_does_not_answer(self):
        """Guards against the loss of a commit that only the unreachable replica has."""
        self.set_up_group()
        self.fixture.servers.by_id["b"].not_receiving = True
        self.fixture.write(self.fixture.session())
        self.fixture.servers.by_id["c"].unreachable = True
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.orders.promotions, [])
        self.fixture.servers.by_id["c"].unreachable = False
        self.run_for(3.0)
        self.assertEqual(
            [server_id for server_id, _ in self.orders.promotions][:1], ["c"]
        )

    def test_asynchronous_group_promotes_with_one_replica_down(self):
        """Guards against an outage prolonged by a replica that is down."""
        self.set_up_group(synchronous=False)
        self.fixture.write(self.fixture.session())
        self.fixture.servers.by_id["a"].unreachable = True
        self.fixture.servers.by_id["c"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["b"])

    def test_isolated_primary_is_replaced(self):
        """Guards against writes that fail for as long as a partition lasts."""
        self.set_up_group()
        self.isolate_primary()
        self.write_and_run(5.0)
        self.assertEqual(len(self.orders.promotions), 1)
        self.assertIn(self.orders.promotions[0][0], {"b", "c"})

    def test_draining_primary_serves_until_it_is_replaced(self):
        """Guards against writes that fail during a planned switchover."""
        self.set_up_group()
        self.fixture.group.put_server(
            self.fixture.servers.registered("a", draining=True),
            self.fixture.servers.registered("a"),
        )
        self.run_for(1.0)
        self.assertNotEqual(self.fixture.group.primary.server_id, "a")
        self.assertIsNone(self.fixture.write(self.fixture.session()).code)

    def test_each_order_has_its_own_token(self):
        """Guards against an order that is carried out after a later one."""
        self.set_up_group([OrderResult.REFUSED, OrderResult.REFUSED])
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(4.0)
        tokens = [token for _, token in self.orders.promotions]
        self.assertGreaterEqual(len(tokens), 3)
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_promoter_that_reaches_no_replica_resigns(self):
        """Guards against an outage while the promoter is partitioned."""
        self.set_up_group()
        for server_id in ("a", "b", "c"):
            self.fixture.servers.by_id[server_id].unreachable = True
        self.run_for(4.0)
        self.assertGreaterEqual(len(self.resigned_at), 1)
        self.assertEqual(self.orders.promotions, [])

    def test_primary_that_answers_again_is_kept(self):
        """Guards against a promotion by symptoms from before a partition healed."""
        self.set_up_group()
        symptoms = PrimarySymptoms(
            "a", unreachable_since=self.fixture.loop.clock.now() - 2.0
        )
        self.takeover.start_if_needed(symptoms)
        self.fixture.loop.advance(2.0)
        self.assertEqual(self.orders.promotions, [])

    def test_no_order_when_another_process_is_the_promoter(self):
        """Guards against orders of a former promoter after a partition."""
        self.set_up_group()
        self.takeover._confirm_promoter = lambda strictly=False: completed_future(False)
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.orders.promotions, [])

    def test_no_order_without_a_fencing_token(self):
        """Guards against orders of a process that is no longer the promoter."""
        self.set_up_group()
        self.takeover._next_token = lambda: None
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.orders.promotions, [])

    def test_refused_promoter_acts_again_only_after_confirmation(self):
        """Guards against announcements and orders of a promoter with a newer successor.

        A refusal means that another process has used a higher token, or that the server
        does not run.
        """
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        self.set_up_group([OrderResult.REFUSED], evidence)
        self.store_answers = False
        self.drain_primary()
        self.run_for(0.5)
        self.assertEqual(len(self.orders.promotions), 1)
        announced_before = evidence.ask_about_promotion.call_count
        self.run_for(5.0)
        self.assertEqual(len(self.orders.promotions), 1)
        self.assertEqual(evidence.ask_about_promotion.call_count, announced_before)
        self.store_answers = True
        self.run_for(5.0)
        self.assertNotEqual(self.fixture.group.primary.server_id, "a")

    def test_attempt_ends_with_its_term(self):
        """Guards against an attempt that goes on in a later term of its process.

        Another promoter had an order accepted in between. The attempt took all orders
        for closed and ended the pauses.
        """
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        evidence.own_term.side_effect = lambda: term
        self.set_up_group(evidence=evidence)
        self.takeover._promotions.record_other_promoter()
        term = Revision(1, 5)
        self.drain_primary()
        self.run_for(0.5)
        self.assertEqual(self.orders.promotions, [("a", 1)])
        term = Revision(1, 8)
        self.run_for(1.2)
        self.assertTrue(self.takeover._promotions.are_open)
        evidence.ask_about_promotion.assert_not_called()

    def test_order_needs_the_role_at_the_end_of_the_preparation(self):
        """Guards against an order of a process that was replaced in the meantime."""
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        self.set_up_group(evidence=evidence)

        def replace_promoter(_group, _successor):
            self.is_promoter = False
            return completed_future([])

        evidence.ask_about_promotion.side_effect = replace_promoter
        self.drain_primary()
        self.run_for(2.0)
        self.assertFalse(self.is_promoter)
        self.assertEqual(self.orders.promotions, [])


if __name__ == "__main__":
    unittest.main()
