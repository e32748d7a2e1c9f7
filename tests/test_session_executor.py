"""Tests of ``cassiahill.session_executor`` on a group in memory."""

import unittest

from cassiahill.catalog import Consistency
from cassiahill.server_group import ServerGroup
from cassiahill.statements import Access, Code, Shape, TransactionState
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.session_builders import TIMEOUT_SECONDS, GroupFixture
from tests.stepped_loop import SteppedLoop


class WriteTest(unittest.TestCase):
    def setUp(self):
        self.bench = GroupFixture()
        self.session = self.bench.session()

    def test_process_connects_only_once_it_is_an_owner(self):
        """Guards against a start of all proxies that takes the connection limit."""
        loop = SteppedLoop()
        servers = InMemoryGroup(loop)
        group = ServerGroup(
            loop, InMemoryDialect(), "orders", "proxy-1", "a", {}.get, servers.connect
        )
        for server_id in servers.by_id:
            group.put_server(servers.registered(server_id), None)
        loop.advance(0.5)
        self.assertEqual([one.connections for one in servers.by_id.values()], [0] * 3)
        group.active = True
        loop.advance(0.5)
        self.assertEqual([one.connections for one in servers.by_id.values()], [1] * 3)

    def test_write_runs_once_at_the_primary(self):
        """Guards against a write that is sent elsewhere or twice."""
        reply = self.bench.write(self.session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.bench.ran(), ["a"])

    def test_lost_answer_is_unknown_and_not_repeated(self):
        """Guards against a write that takes effect twice or is denied."""
        self.bench.servers.by_id["a"].lose_answers = 1
        reply = self.bench.write(self.session)
        self.assertIs(reply.code, Code.OUTCOME_UNKNOWN)
        self.assertEqual(self.bench.ran(), ["a"])

    def test_refused_write_goes_to_the_new_primary(self):
        """Guards against callers that see a change of primary as a failure."""
        self.bench.servers.promote("b")
        reply = self.bench.write(self.session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.bench.ran(), ["b"])

    def test_unacknowledged_commit_is_unknown(self):
        """Guards against "done" for a commit that no replica has received."""
        for server_id in ("b", "c"):
            self.bench.servers.by_id[server_id].not_receiving = True
        reply = self.bench.write(self.session)
        self.assertIs(reply.code, Code.OUTCOME_UNKNOWN)


class ReadTest(unittest.TestCase):
    def setUp(self):
        self.bench = GroupFixture()

    def test_own_write_is_read_while_replicas_lag(self):
        """Guards against a session that does not see its own commit."""
        session = self.bench.session()
        for server_id in ("b", "c"):
            self.bench.servers.by_id[server_id].lagging = True
        self.bench.write(session)
        reply = self.bench.read(session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.bench.ran("read 1"), ["a"])

    def test_bounded_read_uses_a_replica(self):
        """Guards against a primary that serves what replicas could."""
        self.bench.loop.advance(1.5)
        self.bench.read(self.bench.session(Consistency.BOUNDED))
        self.assertIn(self.bench.ran("read 1")[0], {"b", "c"})

    def test_bounded_read_never_runs_on_a_replica_beyond_its_age(self):
        """Guards against a stale read when a replica has stopped applying."""
        writer = self.bench.session()
        for server_id in ("b", "c"):
            self.bench.servers.by_id[server_id].lagging = True
        self.bench.write(writer)
        self.bench.loop.advance(1.5)
        reply = self.bench.read(self.bench.session(Consistency.BOUNDED))
        self.assertIsNone(reply.code)
        self.assertEqual(self.bench.ran("read 1"), ["a"])

    def test_primary_read_does_not_run_at_a_replaced_primary(self):
        """Guards against a read that misses a commit of the new term."""
        session = self.bench.session(Consistency.PRIMARY)
        self.bench.servers.promote("b")
        reply = self.bench.read(session)
        self.assertIsNone(reply.code)
        self.assertEqual(self.bench.ran("read 1"), ["b"])

    def test_lost_answer_of_a_read_is_repeated_once(self):
        """Guards against a caller that waits out a lost answer, and against floods."""
        session = self.bench.session(Consistency.BOUNDED)
        for server in self.bench.servers.by_id.values():
            server.lose_answers = 1
        before = self.bench.loop.clock.now()
        self.bench.servers.by_id["a"].lose_answers = 0
        self.bench.servers.by_id["c"].lose_answers = 0
        self.bench.read(session)
        self.assertLess(self.bench.loop.clock.now() - before, TIMEOUT_SECONDS)
        self.assertLessEqual(len(self.bench.ran("read 1")), 2)

    def test_refused_at_once_behind_a_cut(self):
        """Guards against callers that are held until a cut ends."""
        self.bench.servers.by_id["a"].unreachable = True
        self.bench.loop.advance(3.0)  # Until no proof is young enough for a read.
        self.bench.group.partitioned = True
        for work in (self.bench.write, self.bench.read):
            before = self.bench.loop.clock.now()
            reply = work(self.bench.session(Consistency.BOUNDED))
            self.assertEqual(reply.code, Code.BUSY)
            self.assertLess(self.bench.loop.clock.now() - before, 0.05)

    def test_slow_read_is_not_repeated_again_and_again(self):
        """Guards against one heavy read that takes the slots of all servers."""
        session = self.bench.session(Consistency.BOUNDED)
        self.bench.loop.advance(1.2)
        for server in self.bench.servers.by_id.values():
            server.seconds = 0.5
        reply = self.bench.read(session)
        self.assertIsNone(reply.code)
        self.assertLessEqual(len(self.bench.ran("read 1")), 2)

    def test_refused_when_nothing_proves_freshness(self):
        """Guards against a read of unknown age while the primary is silent."""
        self.bench.servers.by_id["a"].unreachable = True
        self.bench.loop.advance(3.0)
        reply = self.bench.read(self.bench.session(Consistency.BOUNDED))
        self.assertIs(reply.code, Code.BUSY)
        self.assertEqual(self.bench.ran("read 1"), [])


class SessionValuesTest(unittest.TestCase):
    def setUp(self):
        self.bench = GroupFixture(servers=("a", "b"))

    def test_values_of_one_session_do_not_reach_another(self):
        """Guards against a statement that runs with another client's values."""
        first = self.bench.session()
        first._state.values_by_name["zone"] = "north"
        second = self.bench.session()
        for _ in range(3):
            self.bench.write(first, "first")
            self.bench.write(second, "second")
        values = {(one[2], tuple(one[3].items())) for one in self.bench.servers.ran}
        self.assertEqual(values, {("first", (("zone", "north"),)), ("second", ())})

    def test_equal_names_of_two_sessions_run_their_own_shapes(self):
        """Guards against prepared names that collide between clients."""
        first, second = self.bench.session(), self.bench.session()
        self.bench.execute(first, Shape(Access.WRITE, "shape-1"))
        self.bench.execute(second, Shape(Access.WRITE, "shape-2"))
        self.bench.execute(first, Shape(Access.WRITE, "shape-1"))
        self.assertEqual(
            [one[2] for one in self.bench.servers.ran],
            ["shape-1", "shape-2", "shape-1"],
        )

    def test_statement_is_prepared_after_a_reset_of_the_connection(self):
        """Guards against a prepared statement that the reset for values removed."""
        first, second = self.bench.session(), self.bench.session()
        first._state.values_by_name["zone"] = "north"
        shape = Shape(Access.WRITE, "shape-1")
        self.bench.execute(first, shape)
        reply = self.bench.execute(second, shape)
        self.assertIsNone(reply.code)


class TransactionTest(unittest.TestCase):
    def setUp(self):
        self.bench = GroupFixture()
        self.session = self.bench.session()

    def test_one_connection_from_first_statement_to_commit(self):
        """Guards against statements that run outside their transaction."""
        transaction = self.bench.begin()
        self.bench.run_in_transaction(self.session, transaction, "one")
        other = self.bench.session()
        self.bench.write(other, "other")
        self.bench.run_in_transaction(self.session, transaction, "two")
        self.assertIsNone(self.bench.commit(self.session, transaction).code)
        by_text = {one[2]: one[4] for one in self.bench.servers.ran}
        self.assertIs(by_text["one"], by_text["two"])
        self.assertIsNot(by_text["one"], by_text["other"])

    def test_lost_commit_is_unknown(self):
        """Guards against "not kept" for a commit that may have taken effect."""
        transaction = self.bench.begin()
        self.bench.run_in_transaction(self.session, transaction)
        self.bench.servers.by_id["a"].lose_answers = 1
        reply = self.bench.commit(self.session, transaction)
        self.assertIs(reply.code, Code.OUTCOME_UNKNOWN)

    def test_replaced_primary_fails_the_transaction(self):
        """Guards against a transaction that goes on at a server that lost its role."""
        transaction = self.bench.begin()
        self.bench.run_in_transaction(self.session, transaction)
        self.bench.servers.promote("b")
        reply = self.bench.run_in_transaction(self.session, transaction)
        self.assertIs(reply.code, Code.NOT_PRIMARY)
        self.assertIs(reply.state, TransactionState.FAILED)

    def test_rolled_back_connection_is_clean(self):
        """Guards against a connection that comes back inside a transaction."""
        transaction = self.bench.begin()
        self.bench.run_in_transaction(self.session, transaction)
        connection = transaction.lease.connection
        self.session.roll_back(transaction)
        self.bench.loop.advance(0.1)
        self.assertIs(connection.state, TransactionState.IDLE)
        self.assertEqual(self.bench.servers.acknowledged, [])

    def test_many_transactions_leave_no_statement_counted(self):
        """Guards against a server that seems busy for ever after failures."""
        for index in range(20):
            transaction = self.bench.begin()
            self.bench.run_in_transaction(self.session, transaction)
            if index % 3 == 0:
                self.bench.servers.by_id["a"].lose_answers = 1
            self.bench.commit(self.session, transaction)
        self.bench.loop.advance(2.0)
        for pool in self.bench.group.pools_by_id.values():
            self.assertLessEqual(
                pool.running_statements, 1
            )  # At most a probe under way.
            self.assertLessEqual(pool.connection_count, 4)


class ContactTest(unittest.TestCase):
    def test_server_that_goes_dark_inside_a_probe_is_noticed(self):
        """Guards against a primary whose loss shows only when its connection ends."""
        bench = GroupFixture()
        primary = bench.servers.by_id["a"]
        while bench.group.pools_by_id["a"].running_statements == 0:
            bench.loop.advance(0.001)
        bench.loop.advance(1.5 * primary.seconds)  # The probe's end is on its way.
        primary.unreachable = True
        bench.loop.advance(1.0)
        self.assertIsNotNone(bench.group.primary_unreachable_since)

    def test_dark_server_stays_failing_between_two_questions(self):
        """Guards against a proxy that believes a cut has healed while nobody asks."""
        bench = GroupFixture()
        bench.servers.by_id["b"].unreachable = True
        bench.loop.advance(1.5)
        for _ in range(100):
            bench.loop.advance(0.01)
            now = bench.loop.clock.now()
            failing = {
                one.failure_domain: one.unanswered for one in bench.group.contacts(now)
            }
            self.assertTrue(failing["domain-b"])
            self.assertFalse(failing["domain-c"])


if __name__ == "__main__":
    unittest.main()
