"""Searches restarts of all processes for a promotion that loses commits.

Entries are missing in the list that the processes find, because the store was away.
"""

import math
import unittest
from unittest import mock

from hypothesis import find, given
from hypothesis import strategies as st

from tests.promotion_draws import (
    REPLICAS,
    RETURN_SECONDS,
    SEARCH_SETTINGS,
    PromotionTestCase,
    draw_actions,
)
from tests.promotion_history import OtherProxies


def draw_restarted_fleets():
    """Return a strategy for a restart of all processes near the end of an outage.

    One replica receives nothing for some time before, and entries are missing after.
    """
    return st.builds(
        lambda deaf_id, before, outage, steps, after: [
            ("deaf", deaf_id),
            ("wait", 10),
            *before,
            ("outage", outage),
            ("wait", steps),
            ("restart all", None),
            *after,
            ("wait", 30),
        ],
        REPLICAS,
        st.lists(draw_actions("drain", "dark", "crash"), max_size=1),
        st.tuples(st.just(2.0), RETURN_SECONDS),
        st.integers(10, 30),
        st.lists(draw_actions("wait", "crash", "hear", "restart all"), max_size=2),
    )


class StartedFleetTest(PromotionTestCase):
    """Processes that have started have seen no entry that is missing in the list."""

    HISTORY = (
        ("deaf", "b"),
        ("wait", 10),
        ("outage", (4.5, (1.8, 0.1, 1.8))),
        ("wait", 30),
        ("restart all", None),
        ("wait", 50),
    )

    def test_all_processes_start_before_the_entries_are_back(self):
        """Guards against the promotion of the only replica that is registered yet."""
        self.assert_nothing_lost(*self.HISTORY)

    def test_all_processes_start_after_the_store_is_back(self):
        """Guards against a wait only of processes that have found the store away."""
        for steps in (44, 46, 50):
            history = list(self.HISTORY)
            history[3] = ("wait", steps)
            self.assert_nothing_lost(*history)

    def test_reliance_on_the_first_list_is_found(self):
        """Guards against a search that finds nothing without the wait."""
        with mock.patch.object(
            OtherProxies, "servers_complete_at", lambda _self: -math.inf
        ):
            find(draw_restarted_fleets(), self.lost_commits, settings=SEARCH_SETTINGS)

    @SEARCH_SETTINGS
    @given(draw_restarted_fleets())
    def test_outages_and_restarts_of_all(self, history):
        """Guards against lost commits by processes that know nothing of the past."""
        self.assert_nothing_lost(*history)


if __name__ == "__main__":
    unittest.main()
