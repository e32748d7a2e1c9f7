"""Tests of groups of an unusual shape: each serves what it can and refuses the rest."""

import math
import unittest

from cassiahill.catalog import Consistency
from cassiahill.group_owners import choose_owners
from cassiahill.statements import Access, Code, Run
from tests.session_builders import TIMEOUT_SECONDS, GroupFixture

TASKS = 6


class OneServerTest(unittest.TestCase):
    """A group without replicas, as after the loss of all others."""

    def setUp(self):
        self.bench = GroupFixture(servers=("a",), synchronous=False)

    def test_all_kinds_of_reads_and_writes(self):
        """Guards against a group that needs a replica to serve anything."""
        for consistency in Consistency:
            session = self.bench.session(consistency)
            self.assertIsNone(self.bench.write(session).code, consistency)
            self.assertIsNone(self.bench.read(session).code, consistency)

    def test_transaction(self):
        """Guards against a transaction that takes the only connection for good."""
        self.bench.servers.by_id["a"].limit = 1
        for _ in range(3):
            session, transaction = self.bench.session(), self.bench.begin()
            self.assertIsNone(self.bench.run_in_transaction(session, transaction).code)
            self.assertIsNone(self.bench.commit(session, transaction).code)


class TwoServersTest(unittest.TestCase):
    def test_primary_serves_alone_while_the_replica_is_dark(self):
        """Guards against reads that wait for the only replica."""
        bench = GroupFixture(servers=("a", "b"), synchronous=False)
        bench.servers.by_id["b"].unreachable = True
        bench.loop.advance(1.0)
        for consistency in Consistency:
            session = bench.session(consistency)
            self.assertIsNone(bench.write(session).code, consistency)
            self.assertIsNone(bench.read(session).code, consistency)


class OneSlotTest(unittest.TestCase):
    def test_statements_at_once_are_all_served(self):
        """Guards against statements that share one slot and block one another."""
        bench = GroupFixture(servers=("a",), synchronous=False)
        server = bench.servers.registered("a", slots=1)
        bench.group.put_server(server, bench.servers.registered("a"))
        session = bench.session()
        jobs = [bench.make_request(Run(Access.READ, f"read {n}")) for n in range(TASKS)]
        futures = [bench.loop.spawn(session.run(job)) for job in jobs]
        bench.loop.advance(TIMEOUT_SECONDS)
        self.assertEqual([one.result().code for one in futures], [None] * TASKS)


class NoServerTest(unittest.TestCase):
    def test_refused_in_time_as_not_run(self):
        """Guards against requests that wait for ever at a group without servers."""
        bench = GroupFixture(servers=("a",))
        bench.group.remove_server("a")
        started_at = bench.loop.clock.now()
        for consistency in Consistency:
            reply = bench.write(bench.session(consistency))
            self.assertEqual(reply.code, Code.BUSY)
        waited = bench.loop.clock.now() - started_at
        self.assertLess(waited, TIMEOUT_SECONDS * len(Consistency))


class NoBoundTest(unittest.TestCase):
    def test_replica_far_behind_serves_reads_of_any_age(self):
        """Guards against a route without a bound whose reads all go to the primary."""
        bench = GroupFixture()
        for server_id in ("b", "c"):
            bench.servers.by_id[server_id].lagging = True
        session = bench.session(Consistency.BOUNDED, max_age=math.inf)
        for _ in range(4):
            bench.write(bench.session())
            bench.loop.advance(2.0)
        self.assertIsNone(bench.read(session, "any age").code)
        self.assertNotEqual(bench.ran("any age"), ["a"])


class OneDomainTest(unittest.TestCase):
    def test_proxies_of_one_domain_have_owners(self):
        """Guards against a group whose owners must lie in several domains."""
        for proxies in (1, 3, 80):
            names = {f"proxy-{number}": "only" for number in range(proxies)}
            owners = choose_owners("orders", names, 20)
            serving = [name for name in names if owners.includes(name, "only")]
            self.assertEqual(len(serving), owners.total)
            self.assertGreaterEqual(owners.total, 1)
            if not owners.direct:
                self.assertTrue(owners.relay_candidates("only", 7))
