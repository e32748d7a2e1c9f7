"""Searches histories for a promotion that loses a commit of which a client was told.

Orders take effect a second after they were accepted, several proxies act as the
promoter one after the other, and servers crash, restart and join.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import takeover
from tests.promotion_history import PromotionHistory

SERVERS = st.sampled_from(("a", "a", "b", "c"))
REPLICAS = st.sampled_from(("b", "c"))
ABSENCES = st.tuples(SERVERS, st.sampled_from((0.3, 1.0, 2.0, 5.0, 8.0)))
SECONDS = st.sampled_from((1.0, 2.0, 5.0))
# The first kinds are drawn in each search, the others in the searches that name them.
VALUES_BY_ACTION = {
    "wait": st.sampled_from((1, 2, 3, 5, 8, 12, 20, 40)),
    "deaf": REPLICAS,
    "hear": REPLICAS,
    "drain": SERVERS,
    "dark": ABSENCES,
    "crash": ABSENCES,
    "dark when promoted": SECONDS,
    "leave": REPLICAS,
    "join": st.sampled_from((0.05, 0.5, 2.0)),
    "restart": REPLICAS,
    "restart empty": REPLICAS,
    "silent": SERVERS,
    "lose watch": SECONDS,
    "cut proxy": SECONDS,
    "expire": SERVERS,
    "late order": st.sampled_from((0.0, 1.5, 3.0, 6.0, 11.0, None)),
    "new promoter": st.tuples(
        st.sampled_from(("standing", "idle", "fresh")), st.booleans()
    ),
}
BASE_ACTIONS = ("wait", "deaf", "hear", "drain", "dark")
MAX_EXAMPLES = 200


def draw_histories(*actions):
    """Return a strategy for histories of the base actions and some others."""
    return st.lists(
        st.one_of(
            *(
                st.tuples(st.just(action), VALUES_BY_ACTION[action])
                for action in (*BASE_ACTIONS, *actions)
            )
        ),
        min_size=3,
        max_size=16,
    )


def search(*actions):
    """Return a decorator that runs a test on drawn histories."""
    settle = settings(derandomize=True, max_examples=MAX_EXAMPLES, deadline=None)
    return lambda test: settle(given(draw_histories(*actions))(test))


class PromotionTestCase(unittest.TestCase):
    def lost_commits(self, history, takeover_class=takeover.Takeover):
        """Return the commits that a history loses, and then 3 s without faults."""
        run = PromotionHistory(takeover_class)
        try:
            return run.run_actions([*history, ("wait", 30)])
        finally:
            run.close()

    def assert_nothing_lost(self, *history):
        self.assertEqual(self.lost_commits(history), [])


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


class SearchTest(PromotionTestCase):
    @search("crash", "lose watch", "dark when promoted")
    def test_one_promoter(self, history):
        """Guards against lost commits by crashes, silence and planned replacements."""
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
            ("wait", 40),
            ("new promoter", ("fresh", True)),
        ]
        self.assertTrue(self.lost_commits(history, AsksNobody))


if __name__ == "__main__":
    unittest.main()
