"""Tests of unusual deployments, such as groups with one server, one slot or none."""

import math
import unittest

from cassiahill.catalog import Consistency
from cassiahill.group_owners import choose_owners
from cassiahill.statements import Access, Code, Run
from tests.session_builders import TIMEOUT_SECONDS, GroupFixture

READ_COUNT = 6


class OneServerTest(unittest.TestCase):
    """A group without replicas, as after the loss of all other servers."""

    def setUp(self):
        self.fixture = GroupFixture(servers=("a",), synchronous=False)

    def test_all_kinds_of_reads_and_writes(self):
        """Guards against requests that fail because there is no replica."""
        for consistency in Consistency:
            session = self.fixture.session(consistency)
            self.assertIsNone(self.fixture.write(session).code, consistency)
            self.assertIsNone(self.fixture.read(session).code, consistency)

    def test_transaction(self):
        """Guards against a transaction that never releases the only connection."""
        self.fixture.servers.by_id["a"].limit = 1
        for _ in range(3):
            session, transaction = self.fixture.session(), self.fixture.begin()
            self.assertIsNone(
                self.fixture.run_in_transaction(session, transaction).code
            )
            self.assertIsNone(self.fixture.commit(session, transaction).code)


class TwoServersTest(unittest.TestCase):
    def test_primary_serves_alone_while_the_replica_is_unreachable(self):
        """Guards against reads that wait for the only replica."""
        fixture = GroupFixture(servers=("a", "b"), synchronous=False)
        fixture.servers.by_id["b"].unreachable = True
        fixture.loop.advance(1.0)
        for consistency in Consistency:
            session = fixture.session(consistency)
            self.assertIsNone(fixture.write(session).code, consistency)
            self.assertIsNone(fixture.read(session).code, consistency)


class OneSlotTest(unittest.TestCase):
    def test_concurrent_reads_are_all_served(self):
        """Guards against statements that block one another in a single slot."""
        fixture = GroupFixture(servers=("a",), synchronous=False)
        server = fixture.servers.registered("a", slots=1)
        fixture.group.put_server(server, fixture.servers.registered("a"))
        session = fixture.session()
        requests = [
            fixture.make_request(Run(Access.READ, f"read {number}"))
            for number in range(READ_COUNT)
        ]
        futures = [fixture.loop.spawn(session.run(request)) for request in requests]
        fixture.loop.advance(TIMEOUT_SECONDS)
        self.assertEqual(
            [future.result().code for future in futures], [None] * READ_COUNT
        )


class NoServerTest(unittest.TestCase):
    def test_refused_in_time_as_not_run(self):
        """Guards against requests that wait until they time out without any server."""
        fixture = GroupFixture(servers=("a",))
        fixture.group.remove_server("a")
        started_at = fixture.loop.clock.now()
        for consistency in Consistency:
            reply = fixture.write(fixture.session(consistency))
            self.assertEqual(reply.code, Code.BUSY)
        waited = fixture.loop.clock.now() - started_at
        self.assertLess(waited, TIMEOUT_SECONDS * len(Consistency))


class NoBoundTest(unittest.TestCase):
    def test_replica_far_behind_serves_reads_of_any_age(self):
        """Guards against reads without a freshness bound that all go to the primary."""
        fixture = GroupFixture()
        for server_id in ("b", "c"):
            fixture.servers.by_id[server_id].lagging = True
        session = fixture.session(Consistency.BOUNDED, max_age=math.inf)
        for _ in range(4):
            fixture.write(fixture.session())
            fixture.loop.advance(2.0)
        self.assertIsNone(fixture.read(session, "any age").code)
        self.assertNotEqual(fixture.ran("any age"), ["a"])


class OneDomainTest(unittest.TestCase):
    def test_proxies_of_one_domain_have_owners(self):
        """Guards against a choice of owners that needs several failure domains."""
        for proxy_count in (1, 3, 80):
            domains_by_name = {
                f"proxy-{number}": "only" for number in range(proxy_count)
            }
            owners = choose_owners("orders", domains_by_name, 20)
            serving = [
                name for name in domains_by_name if owners.includes_proxy(name, "only")
            ]
            self.assertEqual(len(serving), owners.connected_proxy_count)
            self.assertGreaterEqual(owners.connected_proxy_count, 1)
            if not owners.every_proxy_serves:
                self.assertTrue(owners.relay_candidates("only", 7))
