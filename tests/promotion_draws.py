"""Draws histories of faults for the searches of lost commits, and runs them."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import takeover
from tests.promotion_history import PromotionHistory

SERVERS = st.sampled_from(("a", "a", "b", "c"))
REPLICAS = st.sampled_from(("b", "c"))
ABSENCES = st.tuples(SERVERS, st.sampled_from((0.3, 1.0, 2.0, 5.0, 8.0)))
SECONDS = st.sampled_from((1.0, 2.0, 5.0))
# From the store's return until the entry of each server is back.
RETURN_SECONDS = st.tuples(*(st.sampled_from((0.1, 1.0, 1.8)) for _ in range(3)))
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
    "outage": st.tuples(st.sampled_from((1.0, 4.5)), RETURN_SECONDS),
    "restart all": st.none(),
    "late order": st.sampled_from((0.0, 1.5, 3.0, 6.0, 11.0, None)),
    "new promoter": st.tuples(
        st.sampled_from(("standing", "idle", "fresh")), st.booleans()
    ),
}
# Drawn in each search; the others in the searches that name them.
BASE_ACTIONS = ("wait", "deaf", "hear", "drain", "dark")
MAX_EXAMPLES = 150


def draw_actions(*names):
    """Return a strategy for one of the named actions."""
    return st.one_of(
        *(st.tuples(st.just(name), VALUES_BY_ACTION[name]) for name in names)
    )


def draw_histories(*actions):
    """Return a strategy for histories of the base actions and some others."""
    return st.lists(
        draw_actions(*BASE_ACTIONS, *actions),
        min_size=3,
        max_size=16,
    )


SEARCH_SETTINGS = settings(derandomize=True, max_examples=MAX_EXAMPLES, deadline=None)


def search(*actions):
    """Return a decorator that runs a test on drawn histories."""
    return lambda test: SEARCH_SETTINGS(given(draw_histories(*actions))(test))


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
