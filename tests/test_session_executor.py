"""Tests of ``cassiahill.session_executor`` on an in-memory group."""

import unittest

from cassiahill.catalog import Consistency, GroupLimits
from cassiahill.positions import LogPosition
from cassiahill.server_group import ServerGroup
from cassiahill.statements import Access, Code, Run, Shape, TransactionState
from tests.line_group import InMemoryDialect, InMemoryGroup, InMemoryServer
from tests.session_builders import GroupFixture
from tests.stepped_loop import SteppedLoop


class WriteTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()
        self.session = self.fixture.session()

    def test_process_connects_only_when_active(self):
        """Guards against exhausting the connection limit when all proxies start."""
        loop = SteppedLoop()
        servers = InMemoryGroup(loop)
        group = ServerGroup(
            loop, InMemoryDialect(), "orders", "proxy-1", "a", {}.get, servers.connect
        )
        for server_id in servers.by_id:
            group.put_server(servers.registered(server_id), None)
        loop.advance(0.5)
        self.assertEqual(
            [server.connections for server in servers.by_id.values()], [0] * 3
        )
        group.active = True
        loop.advance(0.5)
        self.assertEqual(
            [server.connections for server in servers.by_id.values()], [1] * 3
        )

    def test_write_runs_once_on_the_primary(self):
        """Guards against a write that is sent elsewhere or twice."""
        reply = self.fixture.write(self.session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.fixture.ran(), ["a"])

    def test_unanswered_write_is_unknown_and_not_retried(self):
        """Guards against a write that runs twice or is reported as not run."""
        self.fixture.servers.by_id["a"].lose_answers = 1
        reply = self.fixture.write(self.session)
        self.assertIs(reply.code, Code.OUTCOME_UNKNOWN)
        self.assertEqual(self.fixture.ran(), ["a"])

    def test_refused_write_goes_to_the_new_primary(self):
        """Guards against a failed write after a change of primary."""
        self.fixture.servers.promote("b")
        reply = self.fixture.write(self.session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.fixture.ran(), ["b"])

    def test_unacknowledged_commit_is_unknown(self):
        """Guards against confirming a commit that no replica has received."""
        for server_id in ("b", "c"):
            self.fixture.servers.by_id[server_id].not_receiving = True
        reply = self.fixture.write(self.session)
        self.assertIs(reply.code, Code.OUTCOME_UNKNOWN)


class ReadTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()

    def test_session_reads_own_write_while_replicas_lag(self):
        """Guards against a read that misses the session's own commit."""
        session = self.fixture.session()
        for server_id in ("b", "c"):
            self.fixture.servers.by_id[server_id].lagging = True
        self.fixture.write(session)
        reply = self.fixture.read(session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.fixture.ran("read 1"), ["a"])

    def test_bounded_read_uses_a_replica(self):
        """Guards against primary load from reads that replicas can serve."""
        self.fixture.loop.advance(1.5)
        self.fixture.read(self.fixture.session(Consistency.BOUNDED))
        self.assertIn(self.fixture.ran("read 1")[0], {"b", "c"})

    def test_bounded_read_avoids_replicas_beyond_the_bound(self):
        """Guards against a stale read from a replica that has stopped applying."""
        writer = self.fixture.session()
        for server_id in ("b", "c"):
            self.fixture.servers.by_id[server_id].lagging = True
        self.fixture.write(writer)
        self.fixture.loop.advance(1.5)
        reply = self.fixture.read(self.fixture.session(Consistency.BOUNDED))
        self.assertIsNone(reply.code)
        self.assertEqual(self.fixture.ran("read 1"), ["a"])

    def test_requests_are_refused_at_once_when_partitioned(self):
        """Guards against requests that wait until a network partition ends."""
        self.fixture.servers.by_id["a"].unreachable = True
        # By then the position samples are too old for a read.
        self.fixture.loop.advance(3.0)
        self.fixture.group.partitioned = True
        for run_request in (self.fixture.write, self.fixture.read):
            started_at = self.fixture.loop.clock.now()
            reply = run_request(self.fixture.session(Consistency.BOUNDED))
            self.assertEqual(reply.code, Code.BUSY)
            self.assertLess(self.fixture.loop.clock.now() - started_at, 0.05)

    def test_reads_in_a_partition_use_the_own_domain(self):
        """Guards against reads that wait for servers which cannot be reached.

        The replica of the own domain has what the read requires for some time.
        """
        fixture = GroupFixture(own_domain="domain-b")
        fixture.loop.advance(1.0)
        for server_id in ("a", "c"):
            fixture.servers.by_id[server_id].unreachable = True
        fixture.group.partitioned = True
        # One statement at a time may run at each server.
        fixture.group.set_limits(GroupLimits("orders", 20, True), 10)
        reads = [
            fixture.loop.spawn(
                fixture.session(Consistency.BOUNDED).run(
                    fixture.make_request(Run(Access.READ, "read 1"))
                )
            )
            for _ in range(8)
        ]
        fixture.loop.advance(0.25)
        self.assertTrue(all(read.done() for read in reads))
        self.assertEqual({read.result().code for read in reads}, {None})
        fixture.servers.by_id["b"].lagging = True
        session = fixture.session(Consistency.OWN_WRITES)
        session._session_state.last_commit = LogPosition(1, 99)
        self.assertIs(fixture.read(session).code, Code.BUSY)
        started_at = fixture.loop.clock.now()
        self.assertIs(fixture.read(session).code, Code.BUSY)
        self.assertIs(fixture.write(session).code, Code.BUSY)
        self.assertLess(fixture.loop.clock.now() - started_at, 0.05)

    def test_read_is_refused_without_freshness_evidence(self):
        """Guards against a read of unknown age while the primary is unreachable."""
        self.fixture.servers.by_id["a"].unreachable = True
        self.fixture.loop.advance(3.0)
        reply = self.fixture.read(self.fixture.session(Consistency.BOUNDED))
        self.assertIs(reply.code, Code.BUSY)
        self.assertEqual(self.fixture.ran("read 1"), [])


class WriteInPartitionTest(unittest.TestCase):
    """The primary is in the own failure domain, and no other server is."""

    def setUp(self):
        self.fixture = GroupFixture()
        self.session = self.fixture.session()

    def add_replica_in_own_domain(self):
        """Register a replica in the failure domain of the primary and the proxy."""
        self.fixture.servers.by_id["d"] = InMemoryServer(
            "d", "domain-a", self.fixture.servers.by_id["a"].log[:], applied=1
        )
        self.fixture.group.put_server(self.fixture.servers.registered("d"), None)
        self.fixture.loop.advance(0.5)

    def test_write_is_refused_at_once_without_a_replica_within_reach(self):
        """Guards against the loss of a commit when others promote meanwhile.

        A replica that started beside the primary acknowledged it in the moment of the
        promotion (dense-27 at Safeplate, seeds 3 and 6).
        """
        self.fixture.group.partitioned = True
        reply = self.fixture.write(self.session)
        self.assertEqual(reply.code, Code.BUSY)
        self.assertEqual(self.fixture.ran(), [])

    def test_primary_still_serves_reads_in_a_partition(self):
        """Guards against refusing what needs no acknowledgement."""
        self.fixture.group.partitioned = True
        session = self.fixture.session(Consistency.PRIMARY)
        self.assertIsNone(self.fixture.read(session).code)

    def test_transaction_that_wrote_is_aborted_in_a_partition(self):
        """Guards against a commit that waits for an acknowledgement in vain."""
        transaction = self.fixture.begin()
        write = self.fixture.run_in_transaction(self.session, transaction)
        self.assertIsNone(write.code)
        self.fixture.group.partitioned = True
        reply = self.fixture.commit(self.session, transaction)
        self.assertEqual(reply.code, Code.ABORTED)
        self.fixture.loop.advance(0.5)
        self.assertEqual(self.fixture.servers.committed, [])

    def test_write_runs_with_a_replica_within_reach(self):
        """Guards against refusing writes that can be acknowledged."""
        self.add_replica_in_own_domain()
        self.fixture.group.partitioned = True
        self.assertIsNone(self.fixture.write(self.session).code)

    def test_asynchronous_group_takes_writes_in_a_partition(self):
        """Guards against refusing writes that need no acknowledgement."""
        fixture = GroupFixture(synchronous=False)
        fixture.group.partitioned = True
        self.assertIsNone(fixture.write(fixture.session()).code)


class SessionValuesTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture(servers=("a", "b"))

    def test_values_of_one_session_do_not_reach_another(self):
        """Guards against a statement that runs with another client's values."""
        first_session = self.fixture.session()
        first_session._session_state.values_by_name["zone"] = "north"
        second_session = self.fixture.session()
        for _ in range(3):
            self.fixture.write(first_session, "first")
            self.fixture.write(second_session, "second")
        values = {
            (execution[2], tuple(execution[3].items()))
            for execution in self.fixture.servers.ran
        }
        self.assertEqual(values, {("first", (("zone", "north"),)), ("second", ())})

    def test_sessions_with_equal_names_run_their_own_statements(self):
        """Guards against collisions of prepared-statement names between sessions."""
        first_session, second_session = self.fixture.session(), self.fixture.session()
        self.fixture.execute(first_session, Shape(Access.WRITE, "shape-1"))
        self.fixture.execute(second_session, Shape(Access.WRITE, "shape-2"))
        self.fixture.execute(first_session, Shape(Access.WRITE, "shape-1"))
        self.assertEqual(
            [execution[2] for execution in self.fixture.servers.ran],
            ["shape-1", "shape-2", "shape-1"],
        )

    def test_statement_is_prepared_after_a_reset_of_the_connection(self):
        """Guards against executing a prepared statement that a reset removed."""
        first_session, second_session = self.fixture.session(), self.fixture.session()
        first_session._session_state.values_by_name["zone"] = "north"
        shape = Shape(Access.WRITE, "shape-1")
        self.fixture.execute(first_session, shape)
        reply = self.fixture.execute(second_session, shape)
        self.assertIsNone(reply.code)


class TransactionTest(unittest.TestCase):
    def setUp(self):
        self.fixture = GroupFixture()
        self.session = self.fixture.session()

    def test_transaction_keeps_one_connection(self):
        """Guards against statements that run outside their transaction."""
        transaction = self.fixture.begin()
        self.fixture.run_in_transaction(self.session, transaction, "one")
        other = self.fixture.session()
        self.fixture.write(other, "other")
        self.fixture.run_in_transaction(self.session, transaction, "two")
        self.assertIsNone(self.fixture.commit(self.session, transaction).code)
        by_text = {execution[2]: execution[4] for execution in self.fixture.servers.ran}
        self.assertIs(by_text["one"], by_text["two"])
        self.assertIsNot(by_text["one"], by_text["other"])

    def test_unanswered_commit_is_unknown(self):
        """Guards against reporting a commit that may have succeeded as failed."""
        transaction = self.fixture.begin()
        self.fixture.run_in_transaction(self.session, transaction)
        self.fixture.servers.by_id["a"].lose_answers = 1
        reply = self.fixture.commit(self.session, transaction)
        self.assertIs(reply.code, Code.OUTCOME_UNKNOWN)

    def test_replaced_primary_fails_the_transaction(self):
        """Guards against a transaction that continues on a former primary."""
        transaction = self.fixture.begin()
        self.fixture.run_in_transaction(self.session, transaction)
        self.fixture.servers.promote("b")
        reply = self.fixture.run_in_transaction(self.session, transaction)
        self.assertIs(reply.code, Code.NOT_PRIMARY)
        self.assertIs(reply.state, TransactionState.FAILED)

    def test_rolled_back_connection_is_idle(self):
        """Guards against a pooled connection with an open transaction."""
        transaction = self.fixture.begin()
        self.fixture.run_in_transaction(self.session, transaction)
        connection = transaction.lease.connection
        self.session.roll_back(transaction)
        self.fixture.loop.advance(0.1)
        self.assertIs(connection.state, TransactionState.IDLE)
        self.assertEqual(self.fixture.servers.acknowledged, [])

    def test_failed_transactions_leave_no_running_statement(self):
        """Guards against statements that stay counted as running after failures."""
        for index in range(20):
            transaction = self.fixture.begin()
            self.fixture.run_in_transaction(self.session, transaction)
            if index % 3 == 0:
                self.fixture.servers.by_id["a"].lose_answers = 1
            self.fixture.commit(self.session, transaction)
        self.fixture.loop.advance(2.0)
        for pool in self.fixture.group.pools_by_id.values():
            self.assertLessEqual(pool.running_statements, 1)  # At most one probe.
            self.assertLessEqual(pool.connection_count, 4)


class ReachabilityTest(unittest.TestCase):
    def test_primary_lost_during_a_probe_is_detected(self):
        """Guards against noticing a lost primary only when its connection ends."""
        fixture = GroupFixture()
        primary = fixture.servers.by_id["a"]
        while fixture.group.pools_by_id["a"].running_statements == 0:
            fixture.loop.advance(0.001)
        fixture.loop.advance(1.5 * primary.seconds)  # The probe's answer is on its way.
        primary.unreachable = True
        fixture.loop.advance(1.0)
        self.assertIsNotNone(fixture.group.replies.primary_unreachable_since)

    def test_unreachable_server_stays_failing_between_probes(self):
        """Guards against assuming that a partition has ended while no probe runs."""
        fixture = GroupFixture()
        fixture.servers.by_id["b"].unreachable = True
        fixture.loop.advance(1.5)
        for _ in range(100):
            fixture.loop.advance(0.01)
            now = fixture.loop.clock.now()
            failing = {
                contact.failure_domain: contact.unanswered
                for contact in fixture.group.servers.contacts(now)
            }
            self.assertTrue(failing["domain-b"])
            self.assertFalse(failing["domain-c"])


if __name__ == "__main__":
    unittest.main()
