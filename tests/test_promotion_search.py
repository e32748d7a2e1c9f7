"""Searches histories for a promotion that loses a commit of which a client was told.

Orders take effect a second after they were accepted, several proxies act as the
promoter one after the other, and servers crash, restart and join.
"""

import unittest
from unittest import mock

from cassiahill import commit_witnesses, takeover
from tests.promotion_draws import (
    BASE_ACTIONS,
    VALUES_BY_ACTION,
    PromotionTestCase,
    search,
)

# A promoter gives no closing order after so many steps, so that a late order is that
# for the successor.
NO_ORDER_OPEN = ("wait", 160)


class UnknownToPromoterTest(PromotionTestCase):
    """A promoter that lacks what others know."""

    def test_promoter_that_starts_after_an_entry_has_lapsed(self):
        """Guards against lost commits of a crashed replica that it has never seen."""
        self.assert_nothing_lost(
            ("deaf", "b"),
            ("wait", 10),
            ("crash", ("c", 8.0)),
            ("dark", ("a", 8.0)),
            ("wait", 40),
            ("new promoter", ("fresh", True)),
        )

    def test_promoter_that_had_no_connections(self):
        """Guards against lost commits that only a silent primary has acknowledged."""
        self.assert_nothing_lost(
            ("deaf", "b"),
            ("wait", 10),
            ("crash", ("a", 8.0)),
            ("wait", 22),
            ("dark", ("c", 8.0)),
            ("wait", 38),
            ("new promoter", ("idle", True)),
        )

    def test_primary_that_goes_silent_when_promoted(self):
        """Guards against a successor that lacks what the former primary had.

        The second promoter had no answer of the promoted server and took the former
        primary's position for what a successor must have.
        """
        self.assert_nothing_lost(
            ("deaf", "b"),
            ("wait", 10),
            ("crash", ("a", 8.0)),
            ("dark when promoted", 8.0),
            ("wait", 65),
            ("new promoter", ("standing", True)),
        )

    def test_commits_between_an_order_and_its_effect(self):
        """Guards against the loss of the last second before a promotion by the next.

        The former primary crashed before the effect, so its entry lapsed as that of a
        primary and nobody waited for it.
        """
        self.assert_nothing_lost(
            ("drain", "a"),
            ("dark when promoted", 8.0),
            ("wait", 5),
            ("crash", ("a", 8.0)),
            ("wait", 50),
        )


class OpenOrderTest(PromotionTestCase):
    """An order that may still be carried out while its attempt has ended."""

    def test_repeated_order_is_refused(self):
        """Guards against replicas that receive again before the first order is done."""
        self.assert_nothing_lost(
            ("late order", 3.0),
            ("drain", "a"),
            ("wait", 15),
            ("deaf", "c"),
            ("crash", ("c", 1.0)),
            ("wait", 70),
        )

    def test_promoter_that_starts_beside_an_order(self):
        """Guards against an order of the former promoter that is carried out late."""
        for is_noticed in (True, False):
            self.assert_nothing_lost(
                ("late order", 3.0),
                ("drain", "a"),
                ("wait", 8),
                ("deaf", "c"),
                ("new promoter", ("fresh", is_noticed)),
                ("wait", 30),
            )

    def test_successor_of_the_order_does_not_answer_the_next_promoter(self):
        """Guards against commits that the server of an earlier order lacks."""
        self.assert_nothing_lost(
            ("late order", 3.0),
            ("drain", "a"),
            ("wait", 4),
            ("deaf", "c"),
            ("new promoter", ("standing", True)),
            ("silent", "c"),
            ("wait", 30),
        )

    def test_refused_promoter_leaves_the_pauses_of_another_one(self):
        """Guards against pauses under the same term that the other promoter ends."""
        self.assert_nothing_lost(
            ("new promoter", ("standing", False)),
            ("new promoter", ("standing", False)),
            ("drain", "a"),
            ("dark", ("c", 8.0)),
        )

    def test_former_promoter_announces_another_successor(self):
        """Guards against an announcement that replaces that of a newer promoter.

        While the former promoter waited for its closing order, the next one had its
        order accepted; commits were then confirmed against the wrong server.
        """
        self.assert_nothing_lost(
            ("drain", "a"),
            ("expire", "a"),
            ("new promoter", ("standing", True)),
            ("dark", ("a", 0.3)),
            ("wait", 3),
            ("join", 0.05),
        )

    def test_accepted_order_whose_pauses_have_ended(self):
        """Guards against a promoter that infers earlier orders from pauses alone."""
        self.assert_nothing_lost(
            ("drain", "a"),
            ("crash", ("b", 0.3)),
            ("drain", "c"),
            ("new promoter", ("standing", True)),
        )

    def test_late_order_for_the_former_primary(self):
        """Guards against an unanswered closing order that is carried out late.

        It was for the primary when it was given, but another order had made its former
        successor the primary since.
        """
        self.assert_nothing_lost(
            NO_ORDER_OPEN,
            ("drain", "a"),
            ("late order", 1.5),
            ("new promoter", ("standing", True)),
            ("dark", ("a", 5.0)),
        )

    def test_accepted_order_after_unanswered_ones(self):
        """Guards against commits that are promised between two announcements.

        An order without an answer is repeated later than the announcement ends.
        """
        self.assert_nothing_lost(
            NO_ORDER_OPEN,
            ("late order", 1.5),
            ("drain", "a"),
            ("deaf", "c"),
            ("join", 2.0),
        )
        self.assert_nothing_lost(
            ("crash", ("a", 2.0)),
            ("late order", 11.0),
            ("wait", 20),
            ("join", 2.0),
            ("dark", ("c", 5.0)),
        )
        self.assert_nothing_lost(
            NO_ORDER_OPEN,
            ("late order", None),
            ("drain", "a"),
            ("wait", 5),
            ("deaf", "c"),
            ("join", 0.5),
        )


class TwoPromotersTest(PromotionTestCase):
    """A former promoter that the store does not answer goes on for some seconds.

    The tokens protect the new promoter's order from it. Announcements and pauses must
    hold until that order takes effect, too.
    """

    def test_former_promoter_announces_a_server_that_its_successor_does_not_know(self):
        """Guards against a notice of a former promoter that replaces a newer one.

        The new promoter had its order for ``b`` accepted and did not know ``c``, which
        acknowledged commits that were then confirmed at ``c``.
        """
        self.assert_nothing_lost(
            ("drain", "a"),
            ("crash", ("a", 1.0)),
            ("expire", "c"),
            ("new promoter", ("fresh", False)),
        )

    def test_former_promoter_ends_pauses(self):
        """Guards against a former promoter that resumes a replica paused by another.

        ``b`` acknowledged commits, although the order for ``c`` was accepted, and the
        former promoter had withdrawn the announcement of ``c``.
        """
        self.assert_nothing_lost(
            ("expire", "a"),
            ("wait", 2),
            ("new promoter", ("fresh", False)),
            ("wait", 1),
            ("expire", "a"),
            ("wait", 1),
            ("drain", "a"),
            ("wait", 1),
            ("deaf", "c"),
        )

    def test_two_accepted_orders_and_a_proxy_without_notices(self):
        """Guards against two promoters that each have an order accepted.

        A proxy that neither promoter reached promised a commit of ``c``, which led for
        0.4 s until ``b`` did.
        """
        self.assert_nothing_lost(
            ("crash", ("a", 2.0)),
            ("new promoter", ("idle", True)),
            ("dark when promoted", 1.0),
            ("cut proxy", 2.0),
            ("expire", "c"),
            ("new promoter", ("fresh", False)),
        )

    def test_next_announcement_while_a_former_order_is_open(self):
        """Guards against commits that the server of a former promoter's order lacks.

        The next promoter did not reach or know the primary, so it closed no order. It
        announced a server that had the commits, while the order for another one, which
        lacked them, was still to be carried out.
        """
        self.assert_nothing_lost(
            ("drain", "a"),
            ("crash", ("a", 0.3)),
            ("new promoter", ("fresh", False)),
            ("late order", 1.5),
            ("wait", 1),
            ("join", 0.5),
            ("deaf", "c"),
            ("late order", None),
            ("dark when promoted", 2.0),
            ("dark", ("a", 5.0)),
            ("new promoter", ("idle", False)),
            ("expire", "a"),
        )
        self.assert_nothing_lost(
            ("expire", "a"),
            ("new promoter", ("fresh", False)),
            ("deaf", "b"),
            ("join", 0.5),
            ("lose watch", 5.0),
            ("deaf", "b"),
            ("silent", "a"),
            ("drain", "b"),
            ("new promoter", ("fresh", False)),
        )
        self.assert_nothing_lost(
            ("join", 0.05),
            ("expire", "a"),
            ("late order", 1.5),
            ("silent", "a"),
            ("new promoter", ("fresh", True)),
            ("silent", "a"),
            ("dark when promoted", 1.0),
            ("dark when promoted", 5.0),
            ("join", 0.5),
            ("late order", 11.0),
            ("silent", "a"),
            ("new promoter", ("standing", False)),
        )


class BeforeEffectTest(PromotionTestCase):
    """A server acknowledges in the second between an order and its effect.

    The primary goes on until then, and the successor ``c`` receives nothing.
    """

    def test_server_that_joins(self):
        """Guards against commits of a server that is not paused and not registered."""
        for registration_seconds in (0.05, 0.5, 2.0):
            self.assert_nothing_lost(
                ("drain", "a"), ("deaf", "c"), ("join", registration_seconds)
            )

    def test_server_that_returns_after_its_entry_has_lapsed(self):
        """Guards against commits of a replica that receives before it registers."""
        self.assert_nothing_lost(
            ("drain", "b"),
            ("dark", ("b", 5.0)),
            ("wait", 40),
            ("drain", "a"),
            ("deaf", "c"),
        )

    def test_paused_replica_that_restarts(self):
        """Guards against commits of a replica whose pause a restart has ended."""
        for restart in (
            ("restart", "b"),
            ("restart empty", "b"),
            ("crash", ("b", 0.3)),
        ):
            self.assert_nothing_lost(("drain", "a"), ("deaf", "c"), restart)


class SearchTest(PromotionTestCase):
    @search("crash", "lose watch", "dark when promoted")
    def test_one_promoter(self, history):
        """Guards against lost commits by crashes, silence and planned replacements."""
        self.assert_nothing_lost(*history)

    @search("join", "restart", "restart empty", "crash", "leave")
    def test_servers_that_join_and_restart(self, history):
        """Guards against lost commits by servers that are not paused any more."""
        self.assert_nothing_lost(*history)

    @search("new promoter", "late order", "silent", "lose watch")
    def test_several_promoters(self, history):
        """Guards against lost commits by orders and pauses of several promoters."""
        self.assert_nothing_lost(*history)

    @search(*(action for action in VALUES_BY_ACTION if action not in BASE_ACTIONS))
    def test_all_actions(self, history):
        """Guards against lost commits by a combination of all faults."""
        self.assert_nothing_lost(*history)

    def test_broken_version_is_found(self):
        """Guards against a search that finds nothing in a broken version either."""

        class AsksNobody(takeover.Takeover):
            """Broken version that relies on the promoter's own knowledge."""

            def __init__(self, *args, **kwargs):
                super().__init__(*args, **{**kwargs, "evidence": None})

        history = [
            ("deaf", "b"),
            ("wait", 10),
            ("crash", ("c", 8.0)),
            ("dark", ("a", 8.0)),
            ("wait", 48),
            ("new promoter", ("fresh", True)),
        ]
        self.assertTrue(self.lost_commits(history, AsksNobody))

    def test_proof_on_any_connection_is_found(self):
        """Guards against a search that finds nothing if restarts do not count."""
        for end in (("restart", "b"), ("join", 0.05)):
            history = [("cut proxy", 5.0), ("drain", "a"), ("deaf", "c"), end]
            self.assert_nothing_lost(*history)
            with mock.patch.object(
                commit_witnesses.CommitWitnesses,
                "_limit",
                lambda _self, _server_id, _now: float("inf"),
            ):
                self.assertTrue(self.lost_commits(history), end)


if __name__ == "__main__":
    unittest.main()
