"""Tests of ``cassiahill.placement``."""

import unittest

import attrs

from cassiahill.placement import (
    AtPosition,
    NotProvable,
    OnPrimary,
    ServerCandidate,
    TenantOpening,
    choose_server,
)
from cassiahill.positions import LogPosition

AT_POSITION = AtPosition(LogPosition(1, 1))


def candidate(server_id, **changes):
    """Return a replica in the same failure domain with a free slot and connection."""
    base = ServerCandidate(
        server_id=server_id,
        is_primary=False,
        has_connection=True,
        has_slot=True,
        may_have_position=True,
        latency_seconds=0.02,
        running_statements=0,
        network_seconds=0.0,
        may_be_unreachable=False,
    )
    return attrs.evolve(base, **changes)


class ChooseServerTest(unittest.TestCase):
    def test_write_goes_to_the_primary_only(self):
        """Guards against a write to a replica while the primary has no free slot."""
        primary = candidate("a", is_primary=True, has_slot=False)
        self.assertIsNone(
            choose_server(OnPrimary(), [primary, candidate("b")]).server_id
        )

    def test_read_prefers_a_replica(self):
        """Guards against writes that wait for reads which a replica could run."""
        choice = choose_server(
            AT_POSITION, [candidate("a", is_primary=True), candidate("b")]
        )
        self.assertEqual(choice.server_id, "b")

    def test_read_uses_the_primary_when_replicas_lag(self):
        """Guards against a refused read while a fresh server has a free slot."""
        lagging = candidate("b", may_have_position=False)
        choice = choose_server(AT_POSITION, [candidate("a", is_primary=True), lagging])
        self.assertEqual(choice.server_id, "a")

    def test_unreachable_server_comes_last(self):
        """Guards against reads that are sent one after another to a failed server."""
        choice = choose_server(
            AT_POSITION,
            [
                candidate("b", may_be_unreachable=True),
                candidate("c", latency_seconds=0.2, network_seconds=0.002),
            ],
        )
        self.assertEqual(choice.server_id, "c")

    def test_connection_is_opened_where_the_read_would_go(self):
        """Guards against a connection opened to a server that is not chosen."""
        choice = choose_server(
            AT_POSITION,
            [
                candidate("b", has_connection=False, latency_seconds=0.05),
                candidate("c", has_connection=False),
            ],
        )
        self.assertEqual((choice.server_id, choice.open_server_id), (None, "c"))

    def test_no_server_without_a_position_sample(self):
        """Guards against a read of unknown staleness."""
        choice = choose_server(NotProvable(), [candidate("b")])
        self.assertEqual((choice.server_id, choice.open_server_id), (None, None))

    def test_load_spreads_over_replicas(self):
        """Guards against a burst of reads that all go to one replica."""
        running_by_id = {"b": 0, "c": 0, "d": 0}
        for _ in range(30):
            choice = choose_server(
                AT_POSITION,
                [
                    candidate(server_id, running_statements=count)
                    for server_id, count in running_by_id.items()
                ],
            )
            running_by_id[choice.server_id] += 1
        self.assertEqual(set(running_by_id.values()), {10})

    def test_read_stays_in_the_region_while_its_replica_is_little_busier(self):
        """Guards against reads that cross between regions for a few milliseconds."""
        far = candidate("far", network_seconds=0.025)
        for running_statements, expected in ((1, "near"), (2, "far")):
            near = candidate("near", running_statements=running_statements)
            choice = choose_server(AT_POSITION, [near, far])
            self.assertEqual(choice.server_id, expected)

    def test_full_link_keeps_reads_in_the_region(self):
        """Guards against reads that wait before a full link for an idle replica."""
        near = candidate("near", running_statements=5)
        far = candidate("far", network_seconds=0.2)
        self.assertEqual(choose_server(AT_POSITION, [near, far]).server_id, "near")

    def test_near_primary_before_a_far_replica(self):
        """Guards against reads across while the primary in the region is idle."""
        near = candidate("near", is_primary=True)
        far = candidate("far", latency_seconds=0.045, network_seconds=0.025)
        self.assertEqual(choose_server(AT_POSITION, [near, far]).server_id, "near")


class OpeningForTenantTest(unittest.TestCase):
    def open_server_id(self, *candidates):
        """Return where a connection is opened for a read; none is idle."""
        without = [attrs.evolve(item, has_connection=False) for item in candidates]
        return choose_server(AT_POSITION, without).open_server_id

    def test_reads_leave_the_primarys_connections_to_writes(self):
        """Guards against tenants' writes that wait for connections used by reads."""
        room = TenantOpening(False, True, True)
        no_room = TenantOpening(False, True, False)
        primary = candidate("a", is_primary=True, opening=room, latency_seconds=0.001)
        self.assertEqual(
            self.open_server_id(primary, candidate("b", opening=no_room)), "b"
        )
        silent = candidate("b", opening=room, may_be_unreachable=True)
        self.assertEqual(self.open_server_id(primary, silent), "a")

    def test_one_opening_for_one_request(self):
        """Guards against a second connection while the first is being opened."""
        slow = candidate(
            "b", opening=TenantOpening(True, True, False), latency_seconds=0.05
        )
        fast = candidate("c", opening=TenantOpening(False, True, True))
        self.assertEqual(self.open_server_id(slow, fast), "b")

    def test_room_is_used_before_a_connection_is_given_up(self):
        """Guards against a closed connection while another server has room."""
        full = candidate("b", opening=TenantOpening(False, True, False))
        free = candidate(
            "c", opening=TenantOpening(False, True, True), latency_seconds=0.03
        )
        self.assertEqual(self.open_server_id(full, free), "c")

    def test_server_at_its_limit_is_passed_over(self):
        """Guards against a request that waits while another server takes more."""
        at_limit = candidate("b", opening=TenantOpening(False, False, True))
        full = candidate("c", opening=TenantOpening(False, True, False))
        self.assertEqual(self.open_server_id(at_limit, full), "c")


if __name__ == "__main__":
    unittest.main()
