"""Tests of ``cassiahill.routing``."""

import unittest

from cassiahill import errors, freshness, kernel, messages, routing
from cassiahill.routing import Refuse, ToServer, WaitUntil
from cassiahill.tokens import Mark
from tests import builders

DOMAINS = {"s1": "a", "s2": "b", "s3": "c"}


def request(kind="read", wanted=messages.OwnWrites(), deadline=12.0):  # noqa: B008
    """Return a request with a deadline 2 s after the tests' present."""
    statement = messages.Statement("SELECT 1")
    return messages.StatementRequest(
        kind, "g", statement, messages.Rank.ROUTINE, deadline, wanted, None, False,
        "ana", None,
    )  # fmt: skip


class RoutingTest(unittest.TestCase):
    def setUp(self):
        self.view = freshness.GroupView("g", ("s1", "s2", "s3"))
        self.record_status("s1", role="primary", position=10)
        self.record_status("s2", position=10)
        self.record_status("s3", position=7)
        self.policy = routing.ReplicaFirstPolicy()

    def record_status(self, server, **changes):
        fields = {"sent_at": 9.9, "received_at": 9.9, **changes}
        self.view.record_status(builders.status(server, **fields))

    def route(self, wanted=None, mark=None, policy=None, **changes):
        fields = {
            "load": {},
            "leaving": set(),
            "own_domain": "b",
            "domains_by_server": DOMAINS,
            "now": 10.0,
        }
        asked = wanted or request()
        policy = policy or self.policy
        return policy.route(asked, mark, self.view, **{**fields, **changes})

    def test_replica_satisfies_both_mark_and_freshness(self):
        """Guards against a stale or too old read at a replica."""
        self.assertEqual(self.route(mark=Mark(1, 10), own_domain="c"), ToServer("s2"))
        self.assertEqual(
            self.route(request(wanted=messages.MaxAge(0.2)), own_domain="c"),
            ToServer("s2"),
        )
        self.assertEqual(self.route(own_domain="c"), ToServer("s3"))

    def test_own_domain_unless_its_queue_is_long(self):
        """Guards against needless hops, and against one overloaded replica."""
        self.assertEqual(self.route(load={"s2": 4}), ToServer("s2"))
        self.assertEqual(self.route(load={"s2": 5}), ToServer("s3"))

    def test_primary_takes_reads_only_while_it_has_room(self):
        """Guards against reads that crowd writes out of the primary."""
        mark = Mark(1, 12)
        self.assertEqual(self.route(mark=mark, load={"s1": 2}), ToServer("s1"))
        busy = self.route(mark=mark, load={"s1": 3})
        self.assertIsInstance(busy, WaitUntil)
        naive = kernel.plugin("routing", "naive")()
        self.assertEqual(self.route(policy=naive), ToServer("s1"))
        self.assertEqual(self.route(policy=naive, load={"s1": 3}), ToServer("s2"))

    def test_waits_within_the_deadline_and_then_refuses(self):
        """Guards against waits past the deadline and refusals before it."""
        late = Mark(2, 3)
        self.assertEqual(self.route(mark=late).at, 10.0 + routing.WAIT_STEP)
        near = self.route(request(deadline=10.01), mark=late)
        self.assertEqual(near.at, 10.01)
        refused = self.route(mark=late, now=12.0)
        self.assertIsInstance(refused.error, errors.NotFresh)

    def test_write_with_a_mark_of_a_later_term_waits(self):
        """Guards against a write to a primary that has been replaced."""
        self.assertEqual(self.route(request("write")), ToServer("s1"))
        waits = self.route(request("write"), mark=Mark(2, 3))
        self.assertIsInstance(waits, WaitUntil)
        refused = self.route(request("write"), mark=Mark(2, 3), now=12.0)
        self.assertIsInstance(refused.error, errors.NoPrimary)

    def test_diverged_history_is_told(self):
        """Guards against a session that silently loses what it has seen."""
        starts = ((1, 1), (2, 9))
        self.record_status(
            "s2", role="primary", term=2, last_term=2, position=9, term_starts=starts
        )
        for kind in ("read", "write"):
            route = self.route(request(kind), mark=Mark(1, 10))
            self.assertIsInstance(route, Refuse)
            self.assertIsInstance(route.error, errors.HistoryDiverged)

    def test_leaving_and_silent_servers_get_nothing(self):
        """Guards against new work at servers that leave or do not answer."""
        self.assertEqual(self.route(leaving={"s2"}), ToServer("s3"))
        self.assertEqual(self.route(leaving={"s2", "s3"}), ToServer("s1"))
        write = self.route(request("write"), leaving={"s1"})
        self.assertIsInstance(write, WaitUntil)
        self.record_status("s3", position=7, sent_at=10.9, received_at=10.9)
        self.assertEqual(self.route(now=11.0), ToServer("s3"))

    def test_equal_replicas_share_the_reads(self):
        """Guards against one replica that gets all reads."""
        servers = {self.route(own_domain="a").server for _ in range(6)}
        self.assertEqual(servers, {"s2", "s3"})
