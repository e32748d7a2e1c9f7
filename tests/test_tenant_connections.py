"""Tests of sessions with tenants at one group, and of what operators see of them."""

import unittest

from cassiahill.catalog import Consistency, GroupLimits
from cassiahill.statements import Access, Code
from cassiahill.tenant_waits import SHOWN_TENANTS, TenantWaits
from cassiahill.tenants import Tenant, TenantDirectory
from tests.session_builders import GroupFixture

DIRECTORY = TenantDirectory.from_tenants(
    Tenant(name, frozenset(), 10.0) for name in ("a", "b", "c")
)


class TenantSessionsTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()
        limits = GroupLimits("orders", 20, True)
        self.fixture.group.set_limits(limits, 4, DIRECTORY)

    def callers(self):
        """Return the names on the connections that ran clients' statements."""
        return [execution[4].caller for execution in self.fixture.servers.ran]

    def test_statements_run_in_the_tenants_name(self):
        """Guards against a write or read on a connection of another tenant."""
        for tenant in ("a", "b", None, "a"):
            session = self.fixture.session(tenant=tenant)
            self.assertIsNone(self.fixture.write(session).code)
            self.assertIsNone(self.fixture.read(session).code)
        expected = ["a", "a", "b", "b", "proxy-1", "proxy-1", "a", "a"]
        self.assertEqual(self.callers(), expected)

    def test_rested_transactions_leave_connections_to_others(self):
        """Guards against a tenant whose rested transactions refuse another tenant."""
        resting = self.fixture.session(tenant="a")
        for _ in range(12):
            transaction = self.fixture.begin()
            self.fixture.run_in_transaction(resting, transaction)
        other = self.fixture.session(tenant="b")
        self.assertIsNone(self.fixture.write(other).code)
        reply = self.fixture.run_in_transaction(resting, self.fixture.begin())
        self.assertEqual(reply.code, Code.BUSY)

    def test_reads_of_a_quiet_tenant_use_one_server(self):
        """Guards against connections of a small tenant to every server."""
        session = self.fixture.session(Consistency.BOUNDED, tenant="a")
        for _ in range(20):
            self.fixture.read(session)
        self.assertEqual(len(set(self.fixture.ran())), 1)
        self.assertNotIn("a", self.fixture.ran())

    def test_reads_at_the_tenants_limit_go_elsewhere(self):
        """Guards against a read that waits while another server takes connections."""
        session = self.fixture.session(Consistency.BOUNDED, tenant="a")
        for _ in range(6):
            transaction = self.fixture.begin(read_only=True)
            reply = self.fixture.run_in_transaction(
                session, transaction, "read 1", Access.READ
            )
            self.assertIsNone(reply.code)
        self.assertEqual(set(self.fixture.ran()), {"b", "c"})

    def test_read_uses_the_primary_when_no_replica_can(self):
        """Guards against reads that wait while the primary has a free slot."""
        for server_id in ("b", "c"):
            self.fixture.group.remove_server(server_id)
        session = self.fixture.session(Consistency.BOUNDED, tenant="a")
        self.assertIsNone(self.fixture.read(session).code)
        self.assertEqual(self.fixture.ran(), ["a"])

    def test_dump_shows_connections_and_waits(self):
        """Guards against operators who cannot tell which tenant waits."""
        self.fixture.write(self.fixture.session(tenant="a"))
        dump = self.fixture.group.dump()
        self.assertEqual(dump["tenants_waiting_most"][0]["tenant"], "a")
        self.assertGreater(dump["connections"]["opened"], 0)
        opened_count = dump["connections"]["opened"]
        self.fixture.group.remove_server("b")
        counts = self.fixture.group.servers.connection_counts
        self.assertEqual(counts.opened, opened_count)

    def test_end_of_tenants_returns_to_the_shared_pool(self):
        """Guards against limits by tenant after a configuration without tenants."""
        self.fixture.group.set_limits(GroupLimits("orders", 20, True), 1)
        session = self.fixture.session()
        transactions = [self.fixture.begin() for _ in range(8)]
        for transaction in transactions:
            reply = self.fixture.run_in_transaction(
                session, transaction, "read 1", Access.READ
            )
            self.assertIsNone(reply.code)


class TenantWaitsTest(unittest.TestCase):
    def test_tenants_that_wait_most_come_first(self):
        """Guards against a dump that grows with the number of tenants."""
        waits = TenantWaits()
        for number in range(100):
            waits.record(f"tenant-{number}", 0.001 * number, 1.0)
        shown = waits.dump(1.0)
        self.assertEqual(len(shown), SHOWN_TENANTS)
        self.assertEqual(shown[0]["tenant"], "tenant-99")
        waits.forget_others({"tenant-5"})
        self.assertEqual([wait["tenant"] for wait in waits.dump(1.0)], ["tenant-5"])

    def test_waits_fade(self):
        """Guards against a tenant that is shown long after its flood."""
        waits = TenantWaits()
        waits.record("before", 1.0, 0.0)
        waits.record("now", 0.1, 600.0)
        self.assertEqual(waits.dump(600.0)[0]["tenant"], "now")


if __name__ == "__main__":
    unittest.main()
