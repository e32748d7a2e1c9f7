"""Tests of ``cassiahill.routing``."""

import unittest

from cassiahill import errors, freshness, kernel, messages, routing
from cassiahill.routing import Refuse, ToServer, WaitUntil
from cassiahill.tokens import Mark
from tests import builders

DOMAIN_BY_SERVER = {"s1": "a", "s2": "b", "s3": "c"}


def request(
    kind="read",
    freshness_bound=messages.OwnWrites(),  # noqa: B008
    deadline=12.0,
):
    """Return a request; the tests route it at 10 s, 2 s before its deadline."""
    statement = messages.Statement("SELECT 1")
    return messages.StatementRequest(
        kind, "g", statement, messages.Rank.ROUTINE, deadline,
        freshness_bound, None, False,
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

    def route(self, routed_request=None, mark=None, policy=None, **changes):
        fields = {
            "waiting_by_server": {},
            "leaving_servers": set(),
            "own_domain": "b",
            "domains_by_server": DOMAIN_BY_SERVER,
            "now": 10.0,
        }
        routed_request = routed_request or request()
        policy = policy or self.policy
        return policy.route(routed_request, mark, self.view, **{**fields, **changes})

    def test_replica_satisfies_both_mark_and_freshness_bound(self):
        """Guards against a read of data before the mark or older than allowed."""
        self.assertEqual(self.route(mark=Mark(1, 10), own_domain="c"), ToServer("s2"))
        self.assertEqual(
            self.route(request(freshness_bound=messages.MaxAge(0.2)), own_domain="c"),
            ToServer("s2"),
        )
        self.assertEqual(self.route(own_domain="c"), ToServer("s3"))

    def test_own_domain_unless_its_queue_is_long(self):
        """Guards against needless requests to other domains, and a long queue."""
        self.assertEqual(self.route(waiting_by_server={"s2": 4}), ToServer("s2"))
        self.assertEqual(self.route(waiting_by_server={"s2": 5}), ToServer("s3"))

    def test_primary_gets_reads_only_while_few_requests_wait(self):
        """Guards against reads that delay writes at the primary."""
        mark = Mark(1, 12)
        self.assertEqual(
            self.route(mark=mark, waiting_by_server={"s1": 2}), ToServer("s1")
        )
        decision = self.route(mark=mark, waiting_by_server={"s1": 3})
        self.assertIsInstance(decision, WaitUntil)
        primary_first_policy = kernel.plugin("routing", "naive")()
        self.assertEqual(self.route(policy=primary_first_policy), ToServer("s1"))
        self.assertEqual(
            self.route(policy=primary_first_policy, waiting_by_server={"s1": 3}),
            ToServer("s2"),
        )

    def test_waits_within_the_deadline_and_then_refuses(self):
        """Guards against waits beyond the deadline and needless refusals."""
        later_mark = Mark(2, 3)
        self.assertEqual(
            self.route(mark=later_mark).at, 10.0 + routing.MAX_REROUTE_DELAY_SECONDS
        )
        decision = self.route(request(deadline=10.01), mark=later_mark)
        self.assertEqual(decision.at, 10.01)
        refusal = self.route(mark=later_mark, now=12.0)
        self.assertIsInstance(refusal.error, errors.NotFresh)

    def test_write_with_a_mark_of_a_later_term_waits(self):
        """Guards against a write to a primary that has been replaced."""
        self.assertEqual(self.route(request("write")), ToServer("s1"))
        decision = self.route(request("write"), mark=Mark(2, 3))
        self.assertIsInstance(decision, WaitUntil)
        refusal = self.route(request("write"), mark=Mark(2, 3), now=12.0)
        self.assertIsInstance(refusal.error, errors.NoPrimary)

    def test_diverged_history_is_reported(self):
        """Guards against a session that is not told of dropped writes it has seen."""
        term_starts = ((1, 1), (2, 9))
        self.record_status(
            "s2",
            role="primary",
            term=2,
            last_term=2,
            position=9,
            term_starts=term_starts,
        )
        for kind in ("read", "write"):
            route = self.route(request(kind), mark=Mark(1, 10))
            self.assertIsInstance(route, Refuse)
            self.assertIsInstance(route.error, errors.HistoryDiverged)

    def test_leaving_and_unreachable_servers_get_no_requests(self):
        """Guards against requests to servers that leave or do not answer."""
        self.assertEqual(self.route(leaving_servers={"s2"}), ToServer("s3"))
        self.assertEqual(self.route(leaving_servers={"s2", "s3"}), ToServer("s1"))
        decision = self.route(request("write"), leaving_servers={"s1"})
        self.assertIsInstance(decision, WaitUntil)
        self.record_status("s3", position=7, sent_at=10.9, received_at=10.9)
        self.assertEqual(self.route(now=11.0), ToServer("s3"))

    def test_reads_are_spread_over_equal_replicas(self):
        """Guards against reads that all go to one of two equal replicas."""
        servers = {self.route(own_domain="a").server for _ in range(6)}
        self.assertEqual(servers, {"s2", "s3"})
