"""Tests of ``cassiahill.takeover``: which server is promoted, and when."""

import itertools
import unittest

from cassiahill import takeover
from cassiahill.loop import completed
from cassiahill.positions import LogPosition
from cassiahill.statements import Access, Run
from cassiahill.takeover import OrderResult, Standing, Symptoms
from tests.line_group import Server
from tests.session_builders import GroupFixture


class Orders(takeover.PromotionOrders):
    """Carries orders out at a group in memory; some late, some never."""

    def __init__(self, bench, results=()):
        self._bench = bench
        self._results = list(results)
        self.given = []

    def promote(self, group, server_id, token):
        self.given.append((server_id, token))
        result = self._results.pop(0) if self._results else OrderResult.ACCEPTED
        if result is OrderResult.ACCEPTED:
            self._bench.servers.promote(server_id)
        return completed(result)


def standing(server_id, number, draining=False):
    """Return what a replica said; ``number`` None means that it did not answer."""
    position = None if number is None else LogPosition(1, number)
    return Standing(server_id, draining, position, 1)


class ChoiceTest(unittest.TestCase):
    def test_longest_log_is_chosen(self):
        """Guards against an acknowledged commit that only one replica received."""
        chosen = takeover.choose_successor([standing("b", 5), standing("c", 9)])
        self.assertEqual(chosen, "c")

    def test_nobody_while_a_replica_is_silent(self):
        """Guards against the loss of a commit that only the silent replica has."""
        self.assertIsNone(
            takeover.choose_successor([standing("b", 5), standing("c", None)])
        )

    def test_draining_replica_is_not_chosen_but_must_answer(self):
        """Guards against a new primary that leaves at once."""
        chosen = takeover.choose_successor([standing("b", 5), standing("c", 9, True)])
        self.assertEqual(chosen, "b")
        self.assertIsNone(
            takeover.choose_successor([standing("b", 5), standing("c", None, True)])
        )

    def test_draining_replica_with_the_only_copy_wins_in_the_end(self):
        """Guards against a commit that only a draining replica has received.

        Found by the search: the staying replica was preferred although it was behind.
        """
        standings = [standing("b", 5), standing("c", 9, draining=True)]
        self.assertEqual(takeover.longest_log(standings), "c")
        equal = [standing("b", 9), standing("c", 9, draining=True)]
        self.assertEqual(takeover.longest_log(equal), "b")

    def test_nobody_without_replicas(self):
        """Guards against an order that names the primary itself."""
        self.assertIsNone(takeover.choose_successor([]))
        self.assertIsNone(takeover.choose_successor([], synchronous=False))

    def test_silent_replica_holds_up_no_asynchronous_group(self):
        """Guards against an outage that only waits for a replica that is down."""
        standings = [standing("b", 5), standing("c", None)]
        chosen = takeover.choose_successor(standings, synchronous=False)
        self.assertEqual(chosen, "b")
        silent = [standing("b", None), standing("c", None)]
        self.assertIsNone(takeover.choose_successor(silent, synchronous=False))


class ReasonTest(unittest.TestCase):
    def test_silence_must_last(self):
        """Guards against a switch for one lost answer."""
        symptoms = Symptoms("a", unreachable_since=10.0)
        self.assertIsNone(takeover.promotion_reason(symptoms, 10.45))
        self.assertEqual(takeover.promotion_reason(symptoms, 10.8), "unreachable")

    def test_refused_connections_count_sooner(self):
        """Guards against waiting for a primary whose process has ended."""
        symptoms = Symptoms("a", unreachable_since=10.0, refuses=True)
        self.assertEqual(takeover.promotion_reason(symptoms, 10.4), "unreachable")

    def test_each_symptom_alone(self):
        """Guards against a kind of failure that nobody acts on."""
        for symptoms in (
            Symptoms("a", draining=True),
            Symptoms(None, unknown_since=10.0),
            Symptoms("a", writes_stuck_since=10.0),
            Symptoms("a", reported_since=10.0),
        ):
            self.assertIsNotNone(takeover.promotion_reason(symptoms, 11.5), symptoms)
        self.assertIsNone(takeover.promotion_reason(Symptoms("a"), 11.5))


class SwitchTest(unittest.TestCase):
    def make(self, results=(), **deployment):
        self.bench = GroupFixture(**deployment)
        self.orders = Orders(self.bench, results)
        self.tokens = itertools.count(1)
        self.resigned = []
        self.takeover = takeover.Takeover(
            self.bench.loop,
            self.bench.group,
            self.orders,
            lambda: next(self.tokens),
            lambda: completed(True),
            lambda: self.resigned.append(self.bench.loop.clock.now()),
        )

    def run_for(self, seconds):
        """Let the promoter look at the symptoms every 50 ms."""
        for _ in range(int(seconds / 0.05)):
            now = self.bench.loop.clock.now()
            self.takeover.start_if_needed(self.bench.group.primary_symptoms(now))
            self.bench.loop.advance(0.05)

    def test_dark_primary_is_replaced_by_the_longest_log(self):
        """Guards against a group that stays without a primary, and against a loss."""
        self.make()
        session = self.bench.session()
        self.bench.servers.by_id["b"].not_receiving = True
        self.bench.write(session)
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([one for one, _ in self.orders.given], ["c"])
        self.assertEqual(self.bench.group.primary.server_id, "c")

    def test_replicas_receive_again_after_the_switch(self):
        """Guards against replicas that stay paused and age without end."""
        self.make()
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        paused = [one.paused_term for one in self.bench.servers.by_id.values()]
        self.assertEqual(paused, [0, 0, 0])

    def test_no_order_while_a_replica_is_silent(self):
        """Guards against the loss of a commit that only the silent replica has."""
        self.make()
        self.bench.servers.by_id["b"].not_receiving = True
        self.bench.write(self.bench.session())
        self.bench.servers.by_id["c"].unreachable = True
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.orders.given, [])
        self.bench.servers.by_id["c"].unreachable = False
        self.run_for(3.0)
        self.assertEqual([one for one, _ in self.orders.given][:1], ["c"])

    def test_waits_for_a_replica_that_left_with_the_primary(self):
        """Guards against the loss of what a cut-off replica has acknowledged.

        Found by a hunt (roll-and-reset at Entulho, seed 94884192804): a draining
        replica was behind the same cut as the primary, its entry lapsed, and another
        replica was promoted without the commits of the first second of the cut.
        """
        self.make()
        servers = self.bench.servers
        draining = servers.registered("c", draining=True)
        self.bench.group.put_server(draining, servers.registered("c"))
        servers.by_id["b"].not_receiving = True
        self.bench.write(self.bench.session())
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = True
        self.run_for(2.0)
        self.bench.group.remove_server("c")  # Its entry has lapsed.
        self.run_for(4.0)
        self.assertEqual(self.orders.given, [])
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = False
        self.bench.group.put_server(draining, None)
        self.run_for(2.0)
        self.assertEqual(self.bench.group.primary.server_id, "a")

    def test_replica_that_left_for_good_is_not_awaited_for_ever(self):
        """Guards against a group that stays without a primary."""
        self.make()
        servers = self.bench.servers
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = True
        self.run_for(2.0)
        self.bench.group.remove_server("c")
        self.run_for(takeover.GONE_SECONDS + 2.0)
        self.assertEqual([one for one, _ in self.orders.given], ["b"])

    def test_replica_that_left_before_is_not_awaited(self):
        """Guards against an outage after an orderly release."""
        self.make()
        self.bench.group.remove_server("c")
        self.run_for(1.0)
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([one for one, _ in self.orders.given], ["b"])

    def test_asynchronous_group_switches_with_one_replica_down(self):
        """Guards against an outage that only waits for a replica that is down."""
        self.make(synchronous=False)
        self.bench.write(self.bench.session())
        self.bench.servers.by_id["a"].unreachable = True
        self.bench.servers.by_id["c"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([one for one, _ in self.orders.given], ["b"])

    def test_old_primary_acknowledges_only_through_the_successor(self):
        """Guards against an order that is carried out late and loses a commit."""
        self.make([OrderResult.UNANSWERED] * 5)
        self.bench.group.put_server(
            self.bench.servers.registered("a", draining=True),
            self.bench.servers.registered("a"),
        )
        self.run_for(1.0)
        successor = self.orders.given[0][0]
        other = {"b": "c", "c": "b"}[successor]
        self.assertGreater(self.bench.servers.by_id[other].paused_term, 0)
        self.bench.servers.by_id[successor].not_receiving = True
        self.assertFalse(self.bench.servers.commit(self.bench.servers.by_id["a"]))

    def isolate_primary(self):
        """Cut the primary from its replicas; writes are tried all the while."""
        for server_id in ("b", "c"):
            self.bench.servers.by_id[server_id].not_receiving = True
        self.bench.write(self.bench.session())
        for number in range(3):
            job = self.bench.make_request(
                Run(Access.WRITE, f"stuck {number}"), Access.WRITE
            )
            self.bench.loop.spawn(self.bench.session().run(job))

    def write_and_run(self, seconds):
        """Go on writing while the promoter looks at the symptoms."""
        for _ in range(int(seconds / 0.2)):
            job = self.bench.make_request(Run(Access.WRITE, "more"), Access.WRITE)
            self.bench.loop.spawn(self.bench.session().run(job))
            self.run_for(0.2)

    def test_isolated_primary_is_replaced(self):
        """Guards against writes that stop for the whole time of a cut."""
        self.make()
        self.isolate_primary()
        self.write_and_run(5.0)
        self.assertEqual(len(self.orders.given), 1)
        self.assertIn(self.orders.given[0][0], {"b", "c"})

    def test_commit_acknowledged_by_an_unregistered_replica_is_kept(self):
        """Guards against a loss by a replica that started during the switch.

        Found by the day late-orders: the first commits after its start were lost.
        """
        for start in (0.4, 0.8, 1.2, 1.6, 2.0, 2.4):
            self.make()
            self.isolate_primary()
            self.write_and_run(start)
            primary = self.bench.servers.by_id["a"]
            self.bench.servers.by_id["new"] = Server("new", "domain-a", primary.log[:])
            self.write_and_run(5.0)
            for server_id, _ in self.orders.given[:1]:
                log = self.bench.servers.by_id[server_id].log
                for position in self.bench.servers.acknowledged_before_promotion:
                    self.assertIn(position, log, start)

    def test_replicas_stay_paused_while_an_order_may_come_late(self):
        """Guards against commits that a late order rolls back.

        The old primary must get no acknowledgement from the others until then.
        """
        self.make([OrderResult.UNANSWERED] * 6)
        self.bench.group.put_server(
            self.bench.servers.registered("a", draining=True),
            self.bench.servers.registered("a"),
        )
        self.run_for(0.5)
        successor = self.orders.given[0][0]
        other = {"b": "c", "c": "b"}[successor]
        self.run_for(7.0)
        self.assertGreater(self.bench.servers.by_id[other].paused_term, 0)
        self.run_for(5.0)
        self.assertEqual(len({token for _, token in self.orders.given}), 1)
        self.assertEqual(self.bench.group.primary.server_id, successor)

    def test_draining_primary_hands_over_while_it_serves(self):
        """Guards against writes that stop for the time of a planned switch."""
        self.make()
        self.bench.group.put_server(
            self.bench.servers.registered("a", draining=True),
            self.bench.servers.registered("a"),
        )
        self.run_for(1.0)
        self.assertNotEqual(self.bench.group.primary.server_id, "a")
        self.assertIsNone(self.bench.write(self.bench.session()).code)

    def test_each_order_has_its_own_token(self):
        """Guards against an earlier order that is carried out after a later one."""
        self.make([OrderResult.REFUSED, OrderResult.REFUSED])
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(4.0)
        tokens = [token for _, token in self.orders.given]
        self.assertGreaterEqual(len(tokens), 3)
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_promoter_without_the_replicas_resigns(self):
        """Guards against a switch that waits for a process on a cut's wrong side."""
        self.make()
        for server_id in ("a", "b", "c"):
            self.bench.servers.by_id[server_id].unreachable = True
        self.run_for(4.0)
        self.assertGreaterEqual(len(self.resigned), 1)
        self.assertEqual(self.orders.given, [])

    def test_primary_that_answers_again_is_kept(self):
        """Guards against a switch by what was seen before a cut healed."""
        self.make()
        symptoms = Symptoms("a", unreachable_since=self.bench.loop.clock.now() - 2.0)
        self.takeover.start_if_needed(symptoms)
        self.bench.loop.advance(2.0)
        self.assertEqual(self.orders.given, [])

    def test_no_order_after_another_has_taken_the_place(self):
        """Guards against a former promoter that acts on what it knew before a cut."""
        self.make()
        self.takeover._confirm = lambda: completed(False)
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.orders.given, [])

    def test_no_order_without_the_right_to_give_one(self):
        """Guards against a process that orders after it has lost its place."""
        self.make()
        self.takeover._next_token = lambda: None
        self.bench.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual(self.orders.given, [])


if __name__ == "__main__":
    unittest.main()
