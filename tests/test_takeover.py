"""Tests of ``cassiahill.takeover``: which server is promoted, and when."""

import copy
import itertools
import unittest
from unittest import mock

import attrs

from cassiahill import (
    primary_symptoms,
    promotion_evidence,
    successor_choice,
    takeover,
)
from cassiahill.loop import completed_future
from cassiahill.positions import LogPosition
from cassiahill.primary_symptoms import PrimarySymptoms
from cassiahill.promotion_orders import OrderResult, PromotionOrders
from cassiahill.replica_statuses import ReplicaStatus
from cassiahill.statements import Access, Run
from cassiahill.successor_nearness import Nearness
from tests.line_group import InMemoryConnection, InMemoryServer
from tests.promotion_builders import without_predecessor
from tests.session_builders import GroupFixture


class RecordingOrders(PromotionOrders):
    """Records promotion orders, and carries out those that it accepts.

    Parameters
    ----------
    fixture : GroupFixture
    results : iterable of OrderResult
        Results of the first orders; later orders are accepted.
    """

    def __init__(self, fixture, results=()):
        self._fixture = fixture
        self._results = list(results)
        self.promotions = []

    def promote(self, group, server_id, token):
        self.promotions.append((server_id, token))
        result = self._results.pop(0) if self._results else OrderResult.ACCEPTED
        is_primary = server_id == self._fixture.servers.primary
        if result is OrderResult.ACCEPTED and not is_primary:
            self._fixture.servers.promote(server_id)
        return completed_future(result)


def status(server_id, number, draining=False):
    """Return a replica's status; ``number`` None means that it did not answer."""
    position = None if number is None else LogPosition(1, number)
    return ReplicaStatus(server_id, draining, position, 1)


class ChooseSuccessorTest(unittest.TestCase):
    def test_longest_log_is_chosen(self):
        """Guards against the loss of a commit that only one replica has received."""
        chosen = successor_choice.choose_successor([status("b", 5), status("c", 9)])
        self.assertEqual(chosen, "c")

    def test_no_successor_while_a_replica_does_not_answer(self):
        """Guards against the loss of a commit that only the unreachable replica has."""
        self.assertIsNone(
            successor_choice.choose_successor([status("b", 5), status("c", None)])
        )

    def test_draining_replica_is_not_chosen_but_must_answer(self):
        """Guards against a new primary that leaves the group at once."""
        chosen = successor_choice.choose_successor(
            [status("b", 5), status("c", 9, True)]
        )
        self.assertEqual(chosen, "b")
        self.assertIsNone(
            successor_choice.choose_successor([status("b", 5), status("c", None, True)])
        )

    def test_longest_log_wins_although_its_replica_drains(self):
        """Guards against the loss of a commit that only a draining replica has.

        The search found that another replica was preferred although it was behind.
        """
        statuses = [status("b", 5), status("c", 9, draining=True)]
        longest = successor_choice.replica_with_longest_log(statuses)
        self.assertEqual(longest.server_id, "c")
        equal = [status("b", 9), status("c", 9, draining=True)]
        longest = successor_choice.replica_with_longest_log(equal)
        self.assertEqual(longest.server_id, "b")

    def test_no_successor_without_replicas(self):
        """Guards against an order to promote the present primary."""
        self.assertIsNone(successor_choice.choose_successor([]))
        self.assertIsNone(successor_choice.choose_successor([], synchronous=False))

    def test_asynchronous_group_waits_for_no_unreachable_replica(self):
        """Guards against an outage prolonged by a replica that is down."""
        statuses = [status("b", 5), status("c", None)]
        chosen = successor_choice.choose_successor(statuses, synchronous=False)
        self.assertEqual(chosen, "b")
        unreachable = [status("b", None), status("c", None)]
        self.assertIsNone(
            successor_choice.choose_successor(unreachable, synchronous=False)
        )


class PromotionReasonTest(unittest.TestCase):
    def test_primary_must_be_unreachable_for_a_while(self):
        """Guards against a promotion because of one lost answer."""
        symptoms = PrimarySymptoms("a", unreachable_since=10.0)
        self.assertIsNone(primary_symptoms.promotion_reason(symptoms, 10.45))
        self.assertEqual(
            primary_symptoms.promotion_reason(symptoms, 10.8), "unreachable"
        )

    def test_refused_connections_count_sooner(self):
        """Guards against a needlessly long outage when the primary's process ends."""
        symptoms = PrimarySymptoms(
            "a", unreachable_since=10.0, refuses_connections=True
        )
        self.assertEqual(
            primary_symptoms.promotion_reason(symptoms, 10.4), "unreachable"
        )

    def test_each_symptom_alone(self):
        """Guards against a symptom that causes no promotion."""
        for symptoms in (
            PrimarySymptoms("a", draining=True),
            PrimarySymptoms(None, primary_unknown_since=10.0),
            PrimarySymptoms("a", writes_unacknowledged_since=10.0),
            PrimarySymptoms("a", reported_unreachable_since=10.0),
        ):
            self.assertIsNotNone(
                primary_symptoms.promotion_reason(symptoms, 11.5), symptoms
            )
        self.assertIsNone(primary_symptoms.promotion_reason(PrimarySymptoms("a"), 11.5))


class TakeoverTest(unittest.TestCase):
    def set_up_group(self, results=(), **deployment):
        """Create a group and its takeover; ``results`` are those of the orders."""
        self.fixture = GroupFixture(**deployment)
        self.orders = RecordingOrders(self.fixture, results)
        self.tokens = itertools.count(1)
        self.resigned_at = []
        self.is_promoter = True
        self.store_answers = True
        group_takeover = takeover.Takeover(
            self.fixture.loop,
            self.fixture.group,
            self.orders,
            lambda: next(self.tokens),
            self.confirm_promoter,
            lambda: self.resigned_at.append(self.fixture.loop.clock.now()),
            self.nearness,
        )
        self.takeover = without_predecessor(group_takeover)
        self.near_domain = None
        self.former_domains = set()

    def confirm_promoter(self, strictly=False):
        """Return the future of whether this process is the promoter."""
        answers = self.store_answers or not strictly
        return completed_future(self.is_promoter and answers)

    def nearness(self, domain, former_domain):
        """Return the nearness of a replica; one domain may be used the most."""
        self.former_domains.add(former_domain)
        return Nearness(region_demand_steps=int(domain == self.near_domain))

    def run_for(self, seconds):
        """Advance the time; the promoter looks at the symptoms every 50 ms."""
        for _ in range(int(seconds / 0.05)):
            now = self.fixture.loop.clock.now()
            self.takeover.start_if_needed(self.fixture.group.primary_symptoms(now))
            self.fixture.loop.advance(0.05)

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

    def test_replicas_receive_again_after_a_promotion(self):
        """Guards against replicas that stay paused and get ever staler."""
        self.set_up_group()
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        paused = [server.paused_term for server in self.fixture.servers.by_id.values()]
        self.assertEqual(paused, [0, 0, 0])

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

    def test_waits_for_a_replica_that_was_removed_with_the_primary(self):
        """Guards against the loss of commits that a partitioned replica acknowledged.

        A draining replica was partitioned together with the primary and its entry
        expired. Another replica was then promoted without the commits of the first
        second of the partition (roll-and-reset at Entulho, seed 94884192804).
        """
        self.set_up_group()
        servers = self.fixture.servers
        draining = servers.registered("c", draining=True)
        self.fixture.group.put_server(draining, servers.registered("c"))
        servers.by_id["b"].not_receiving = True
        self.fixture.write(self.fixture.session())
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = True
        self.run_for(2.0)
        self.fixture.group.remove_server("c")  # Its entry has expired.
        self.run_for(4.0)
        self.assertEqual(self.orders.promotions, [])
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = False
        self.fixture.group.put_server(draining, None)
        self.run_for(2.0)
        self.assertEqual(self.fixture.group.primary.server_id, "a")

    def test_commits_that_only_a_removed_replica_had_are_kept(self):
        """Guards against the loss of commits that a leaving replica acknowledged.

        The primary was partitioned from the other replica while a draining one still
        acknowledged, and left. The other replica was then promoted without these
        commits, although the primary had them and answered (hunt on 027932f at the
        small Folio, mix --seed 959504336296).
        """
        self.set_up_group()
        servers = self.fixture.servers
        draining = servers.registered("c", draining=True)
        self.fixture.group.put_server(draining, servers.registered("c"))
        self.run_for(0.5)
        servers.by_id["b"].not_receiving = True
        for _ in range(3):
            self.assertIsNone(self.fixture.write(self.fixture.session()).code)
        servers.by_id["c"].unreachable = True
        self.fixture.group.remove_server("c")
        self.run_for(0.5)
        for _ in range(15):
            write = self.fixture.make_request(Run(Access.WRITE, "late"), Access.WRITE)
            self.fixture.loop.spawn(self.fixture.session().run(write))
            self.run_for(0.3)
        self.assertEqual(self.orders.promotions, [])
        servers.catch_up("b")
        self.run_for(1.0)
        acknowledged = set(servers.acknowledged)
        self.assertLessEqual(acknowledged, set(servers.by_id["b"].log))

    def lose_primary_with_a_replica_behind(self):
        """Let ``b`` receive nothing, lose ``a`` and make ``c`` the primary."""
        servers = self.fixture.servers
        self.run_for(0.5)
        servers.by_id["b"].not_receiving = True
        for _ in range(3):
            self.assertIsNone(self.fixture.write(self.fixture.session()).code)
        servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.fixture.group.primary.server_id, "c")

    def assert_nothing_acknowledged_is_lost(self):
        """Check that no promotion lost a commit that the last primary had."""
        servers = self.fixture.servers
        log = servers.by_id[servers.primary].log
        self.assertLessEqual(set(servers.acknowledged), set(log))

    def test_commits_that_only_a_promoted_primary_has_are_kept(self):
        """Guards against the loss of what a lost primary's only other copy holds.

        A promoted primary that got no acknowledgements from a replica that was behind
        was replaced by it (review/1).
        """
        self.set_up_group()
        self.lose_primary_with_a_replica_behind()
        self.write_and_run(1.0)
        self.fixture.group.remove_server("a")
        self.write_and_run(6.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.fixture.servers.catch_up("b")
        self.write_and_run(2.0)
        self.assert_nothing_acknowledged_is_lost()
        self.assertIsNone(self.fixture.write(self.fixture.session()).code)

    def test_promoter_that_got_no_answer_of_the_primary_keeps_its_commits(self):
        """Guards against a promoter that relies on the former primary's position."""
        self.set_up_group()
        self.run_for(0.5)
        group = self.fixture.group
        known_of_former_primary = copy.copy(group.sole_copies)
        self.lose_primary_with_a_replica_behind()
        group.remove_server("a")
        # Unanswered writes hold the connections of this process; a status is answered.
        group.sole_copies = known_of_former_primary
        with mock.patch.object(group, "confirm_primary"):
            self.write_and_run(6.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.assert_nothing_acknowledged_is_lost()

    def test_promoted_primary_with_the_only_copy_is_awaited_when_it_crashes(self):
        """Guards against the loss of its commits to a replica that is behind."""
        self.set_up_group()
        self.lose_primary_with_a_replica_behind()
        self.fixture.group.remove_server("a")
        self.run_for(0.5)
        self.fixture.servers.by_id["c"].unreachable = True
        self.run_for(6.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.fixture.servers.by_id["c"].unreachable = False
        self.fixture.servers.catch_up("b")
        self.run_for(2.0)
        self.assert_nothing_acknowledged_is_lost()

    def test_promoted_primary_that_drains_keeps_its_role_while_others_lag(self):
        """Guards against the loss of its commits by a planned replacement."""
        self.set_up_group()
        self.lose_primary_with_a_replica_behind()
        self.fixture.group.remove_server("a")
        servers = self.fixture.servers
        draining = servers.registered("c", draining=True)
        self.fixture.group.put_server(draining, servers.registered("c"))
        self.run_for(4.0)
        self.assertEqual(servers.primary, "c")
        servers.catch_up("b")
        self.run_for(2.0)
        self.assertEqual(servers.primary, "b")
        self.assert_nothing_acknowledged_is_lost()

    def test_commits_of_a_replica_that_restarted_without_its_log_are_kept(self):
        """Guards against a restarted replica that counts as one that has its log."""
        self.set_up_group()
        servers = self.fixture.servers
        self.run_for(0.5)
        servers.by_id["b"].not_receiving = True
        for _ in range(3):
            self.assertIsNone(self.fixture.write(self.fixture.session()).code)
        servers.by_id["c"].not_receiving = True
        servers.by_id["c"].log = servers.by_id["c"].log[:1]
        servers.by_id["c"].applied = 1
        restarted = servers.registered("c", started_at_ms=2)
        self.fixture.group.put_server(restarted, servers.registered("c"))
        self.write_and_run(6.0)
        self.assertEqual(self.orders.promotions, [])
        servers.catch_up("c")
        self.write_and_run(2.0)
        self.assert_nothing_acknowledged_is_lost()

    def test_wait_for_a_removed_replica_is_bounded(self):
        """Guards against a group that never gets a primary again."""
        self.set_up_group()
        servers = self.fixture.servers
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = True
        self.run_for(2.0)
        self.fixture.group.remove_server("c")
        self.run_for(takeover.REMOVED_REPLICA_WAIT_SECONDS + 2.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["b"])

    def test_replica_that_was_removed_earlier_is_not_awaited(self):
        """Guards against an outage after a replica was removed in a planned way."""
        self.set_up_group()
        self.fixture.group.remove_server("c")
        self.run_for(1.0)
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["b"])

    def test_asynchronous_group_promotes_with_one_replica_down(self):
        """Guards against an outage prolonged by a replica that is down."""
        self.set_up_group(synchronous=False)
        self.fixture.write(self.fixture.session())
        self.fixture.servers.by_id["a"].unreachable = True
        self.fixture.servers.by_id["c"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["b"])

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

    def isolate_primary(self):
        """Stop replication from the primary, and start writes that get no answer."""
        for server_id in ("b", "c"):
            self.fixture.servers.by_id[server_id].not_receiving = True
        self.fixture.write(self.fixture.session())
        for number in range(3):
            request = self.fixture.make_request(
                Run(Access.WRITE, f"stuck {number}"), Access.WRITE
            )
            self.fixture.loop.spawn(self.fixture.session().run(request))

    def write_and_run(self, seconds):
        """Write every 0.2 s while the promoter looks at the symptoms."""
        for _ in range(int(seconds / 0.2)):
            request = self.fixture.make_request(Run(Access.WRITE, "more"), Access.WRITE)
            self.fixture.loop.spawn(self.fixture.session().run(request))
            self.run_for(0.2)

    def test_isolated_primary_is_replaced(self):
        """Guards against writes that fail for as long as a partition lasts."""
        self.set_up_group()
        self.isolate_primary()
        self.write_and_run(5.0)
        self.assertEqual(len(self.orders.promotions), 1)
        self.assertIn(self.orders.promotions[0][0], {"b", "c"})

    def test_commit_acknowledged_by_an_unregistered_replica_is_kept(self):
        """Guards against lost commits when a replica starts during a promotion.

        The day late-orders lost the first commits after the start of the replica, which
        was not registered yet.
        """
        for start_seconds in (0.4, 0.8, 1.2, 1.6, 2.0, 2.4):
            self.set_up_group()
            self.isolate_primary()
            self.write_and_run(start_seconds)
            primary = self.fixture.servers.by_id["a"]
            self.fixture.servers.by_id["new"] = InMemoryServer(
                "new", "domain-a", primary.log[:]
            )
            self.write_and_run(5.0)
            for server_id, _ in self.orders.promotions[:1]:
                log = self.fixture.servers.by_id[server_id].log
                for position in self.fixture.servers.acknowledged_before_promotion:
                    self.assertIn(position, log, start_seconds)

    def test_commits_that_a_new_replica_acknowledged_to_others_are_kept(self):
        """Guards against lost commits that this proxy did not see acknowledged.

        A replica registered while the others were paused, and acknowledged commits of
        other proxies (late-orders --vary --seed 51681400258 at the small Folio).
        """
        for start_seconds in (0.4, 0.8, 1.2, 1.6, 2.0):
            self.set_up_group()
            servers = self.fixture.servers
            self.isolate_primary()
            self.write_and_run(start_seconds)
            primary = servers.by_id["a"]
            servers.by_id["new"] = InMemoryServer("new", "domain-a", primary.log[:])
            if servers.primary == "a" and servers.commit(primary):
                servers.acknowledged.append(primary.received)
            self.fixture.group.put_server(servers.registered("new"), None)
            self.run_for(5.0)
            for server_id, _ in self.orders.promotions[:1]:
                log = servers.by_id[server_id].log
                for position in servers.acknowledged_before_promotion:
                    self.assertIn(position, log, start_seconds)

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

    def drain_primary(self):
        """Let the primary report that it drains."""
        servers = self.fixture.servers
        draining = servers.registered("a", draining=True)
        self.fixture.group.put_server(draining, servers.registered("a"))

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

    def test_refused_promoter_acts_again_only_after_confirmation(self):
        """Guards against announcements and orders of a promoter with a newer successor.

        A refusal means that another process has used a higher token, or that the server
        does not run.
        """
        self.set_up_group([OrderResult.REFUSED])
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        self.takeover._evidence = evidence
        self.store_answers = False
        self.drain_primary()
        self.run_for(0.5)
        self.assertEqual(len(self.orders.promotions), 1)
        announced_before = evidence.announce_promotion.call_count
        self.run_for(5.0)
        self.assertEqual(len(self.orders.promotions), 1)
        self.assertEqual(evidence.announce_promotion.call_count, announced_before)
        self.store_answers = True
        self.run_for(5.0)
        self.assertNotEqual(self.fixture.group.primary.server_id, "a")

    def test_replica_that_only_others_know_is_awaited_for_a_while(self):
        """Guards against lost commits of a replica that the promoter cannot pause.

        A replica that stays away is treated as gone, so that the group gets a primary.
        """
        self.set_up_group()
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        evidence.replicas_known_to_others.side_effect = lambda _group: {"b", "new"}
        self.takeover._evidence = evidence
        self.drain_primary()
        self.run_for(2.5)
        self.assertEqual(self.orders.promotions, [])
        self.run_for(2.0)
        self.assertNotEqual(self.fixture.group.primary.server_id, "a")

    def test_order_needs_the_role_at_the_end_of_the_preparation(self):
        """Guards against an order of a process that was replaced in the meantime."""
        self.set_up_group()
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        self.takeover._evidence = evidence

        def replace_promoter(_group, _successor):
            self.is_promoter = False
            return completed_future([])

        evidence.announce_promotion.side_effect = replace_promoter
        self.drain_primary()
        self.run_for(2.0)
        self.assertFalse(self.is_promoter)
        self.assertEqual(self.orders.promotions, [])

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


if __name__ == "__main__":
    unittest.main()
