"""Tests of ``cassiahill.placement``."""

import unittest

import attrs

from cassiahill.placement import (
    AtPosition,
    Candidate,
    NotProvable,
    OnPrimary,
    choose,
    statements_at_once,
)
from cassiahill.positions import LogPosition

POSITION = AtPosition(LogPosition(1, 1))


def candidate(server_id, **changes):
    """Return a replica of the same failure domain with room."""
    base = Candidate(
        server_id=server_id,
        is_primary=False,
        has_connection=True,
        has_slot=True,
        may_have_position=True,
        latency=0.02,
        running_statements=0,
        same_domain=True,
        suspect=False,
    )
    return attrs.evolve(base, **changes)


class StatementsAtOnceTest(unittest.TestCase):
    def test_all_proxies_together_fill_the_slots_about_twice(self):
        """Guards against a queue in the server that urgent work cannot overtake."""
        for slots, proxies in ((3, 8), (2, 7), (4, 6), (3, 1), (1, 100)):
            each = statements_at_once(slots, proxies)
            self.assertGreaterEqual(each * proxies, 2 * slots)
            self.assertLess((each - 1) * proxies, 2 * slots)


class ChooseTest(unittest.TestCase):
    def test_write_goes_to_the_primary_only(self):
        """Guards against a write that a replica refuses while the primary is full."""
        primary = candidate("a", is_primary=True, has_slot=False)
        self.assertIsNone(choose(OnPrimary(), [primary, candidate("b")]).server_id)

    def test_read_spares_the_primary(self):
        """Guards against urgent work that waits behind reads of the replicas."""
        found = choose(POSITION, [candidate("a", is_primary=True), candidate("b")])
        self.assertEqual(found.server_id, "b")

    def test_read_uses_the_primary_when_replicas_lag(self):
        """Guards against a refusal while a fresh server has room."""
        lagging = candidate("b", may_have_position=False)
        found = choose(POSITION, [candidate("a", is_primary=True), lagging])
        self.assertEqual(found.server_id, "a")

    def test_silent_server_comes_last(self):
        """Guards against reads that follow one another into a dark server."""
        found = choose(
            POSITION,
            [
                candidate("b", suspect=True),
                candidate("c", latency=0.2, same_domain=False),
            ],
        )
        self.assertEqual(found.server_id, "c")

    def test_connection_is_opened_where_the_read_would_go(self):
        """Guards against connections that are opened at every server of a group."""
        found = choose(
            POSITION,
            [
                candidate("b", has_connection=False, latency=0.05),
                candidate("c", has_connection=False),
            ],
        )
        self.assertEqual((found.server_id, found.open_at), (None, "c"))

    def test_nothing_without_proof(self):
        """Guards against a read of unknown age."""
        found = choose(NotProvable(), [candidate("b")])
        self.assertEqual((found.server_id, found.open_at), (None, None))

    def test_load_spreads_over_replicas(self):
        """Plays a burst of reads: no server gets much more than its share."""
        running = {"b": 0, "c": 0, "d": 0}
        for _ in range(30):
            found = choose(
                POSITION,
                [
                    candidate(one, running_statements=count)
                    for one, count in running.items()
                ],
            )
            running[found.server_id] += 1
        self.assertEqual(set(running.values()), {10})


if __name__ == "__main__":
    unittest.main()
