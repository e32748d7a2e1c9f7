"""Tests of ``cassiahill.owned_servers`` with the modules that run its requests."""

import random
import unittest

from cassiahill import errors, owned_servers
from cassiahill.admission import AdmissionSettings, RankedAdmission
from tests import simulated_backend
from tests.simulated_backend import FakeRequestContext, tagged_batch


class OwnedServerTest(unittest.TestCase):
    def setUp(self):
        self.loop = simulated_backend.SimulatedLoop()
        self.addCleanup(self.loop.close)
        self.fake_server = simulated_backend.FakeServer()
        self.owned_server = self.make_owned_server("a")
        self.assertEqual(self.owned_server.claim(0).result(), 1)

    def make_owned_server(self, name, connections=8):
        return owned_servers.OwnedServer(
            self.loop,
            simulated_backend.FakeBackend(self.fake_server, self.loop),
            self.fake_server.settings(connections),
            name,
            RankedAdmission(AdmissionSettings(self.fake_server.slots)),
            random.Random(1),
        )

    def open_transaction(self):
        """Open a transaction on the owned server and return it."""
        future = self.owned_server.open_transaction(FakeRequestContext(), 1)
        self.loop.run_for(0.1)
        return future.result()

    def test_running_statements_never_exceed_the_slots(self):
        """Guards against statements that queue in the database, out of rank order."""
        futures = [
            self.owned_server.submit(FakeRequestContext(), tagged_batch(f"r{i}"))
            for i in range(50)
        ]
        self.loop.run_for(1.0)
        self.assertTrue(all(future.result() for future in futures))
        self.assertEqual(self.fake_server.max_running_count, 3)
        self.assertLessEqual(self.fake_server.max_connection_count, 6)

    def test_lost_answer_of_a_write_is_unknown(self):
        """Guards against the answer "not run" for a write that was sent."""
        self.fake_server.fault_by_tag["w"] = "close"
        future = self.owned_server.submit(
            FakeRequestContext(), tagged_batch("w", read_only=False)
        )
        self.loop.run_for(0.1)
        self.assertIsInstance(future.exception(), errors.OutcomeUnknown)
        self.assertEqual(self.fake_server.received_tags, ["w"])

    def test_read_is_retried_once(self):
        """Guards against a read that fails because its connection closed."""
        self.fake_server.fault_by_tag["r"] = "close"
        future = self.owned_server.submit(FakeRequestContext(), tagged_batch("r"))
        self.loop.run_for(0.1)
        self.assertTrue(future.result())
        self.assertEqual(self.fake_server.received_tags, ["r", "r"])

    def test_retried_read_never_ends_as_not_run(self):
        """Guards against "not run" when the first attempt of a read may have run.

        The server goes down before the second attempt gets a connection.
        """
        self.fake_server.fault_by_tag["r"] = "close"
        future = self.owned_server.submit(FakeRequestContext(), tagged_batch("r"))
        self.loop.run_for(0.009)
        self.fake_server.down = True
        self.loop.run_for(1.0)
        self.assertEqual(self.fake_server.received_tags, ["r"])
        self.assertIsInstance(future.exception(), errors.OutcomeUnknown)

    def test_unresponsive_connections_are_replaced(self):
        """Guards against reuse of connections that stopped answering together."""
        for i in range(3):
            self.owned_server.submit(FakeRequestContext(), tagged_batch(f"warm{i}"))
        self.loop.run_for(0.1)
        for connection in self.fake_server.connections:
            connection.unresponsive = True
        unanswered_future = self.owned_server.submit(
            FakeRequestContext(deadline=10.0), tagged_batch("w", False, 0.5)
        )
        self.loop.run_for(2.0)
        self.assertIsInstance(unanswered_future.exception(), errors.OutcomeUnknown)
        self.assertFalse(
            [
                connection
                for connection in self.fake_server.connections
                if connection.unresponsive
            ]
        )
        later_future = self.owned_server.submit(FakeRequestContext(), tagged_batch("r"))
        self.loop.run_for(0.1)
        self.assertTrue(later_future.result())

    def test_wait_for_an_answer_ends_before_a_distant_deadline(self):
        """Guards against a caller that waits up to its deadline for a lost answer."""
        self.fake_server.fault_by_tag["w"] = "no_answer"
        request_context = FakeRequestContext(deadline=self.loop.clock.now() + 60.0)
        future = self.owned_server.submit(
            request_context, tagged_batch("w", False, 60.0)
        )
        self.loop.run_for(1.1)
        self.assertIsInstance(future.exception(), errors.OutcomeUnknown)

    def test_answer_timeout_grows_for_slow_statements(self):
        """Guards against an answer timeout that slow statements never meet."""
        self.fake_server.service_seconds = 1.5
        request_context = FakeRequestContext(deadline=self.loop.clock.now() + 60.0)
        first_future = self.owned_server.submit(
            request_context, tagged_batch("w1", False, 60.0)
        )
        self.loop.run_for(2.0)
        self.assertIsInstance(first_future.exception(), errors.OutcomeUnknown)
        second_future = self.owned_server.submit(
            request_context, tagged_batch("w2", False, 60.0)
        )
        self.loop.run_for(2.0)
        self.assertTrue(second_future.result())

    def test_stale_epoch_ends_the_ownership(self):
        """Guards against a former owner that serves after another proxy's claim."""
        new_owner = self.make_owned_server("b")
        futures = [
            self.owned_server.submit(FakeRequestContext(), tagged_batch(str(i)))
            for i in range(20)
        ]
        self.loop.run_for(0.012)
        self.assertEqual(new_owner.claim(1).result(), 2)
        self.loop.run_for(1.0)
        self.assertEqual(self.owned_server.state, "lost")
        unsent_futures = [
            future
            for i, future in enumerate(futures)
            if str(i) not in self.fake_server.received_tags
        ]
        self.assertTrue(unsent_futures)
        for future in unsent_futures:
            self.assertIsInstance(future.exception(), errors.NotRunError)
        self.assertIsInstance(futures[-1].exception(), errors.NotOwner)
        self.assertFalse(self.fake_server.connections)
        self.assertIsInstance(
            self.owned_server.submit(
                FakeRequestContext(), tagged_batch("x")
            ).exception(),
            errors.NotOwner,
        )

    def test_transactions_have_their_own_connections(self):
        """Guards against statements of two transactions on one connection."""
        first, second = self.open_transaction(), self.open_transaction()
        for i in range(3):
            first.execute(tagged_batch(f"1-{i}", False), 9.0)
            second.execute(tagged_batch(f"2-{i}", False), 9.0)
            self.owned_server.submit(FakeRequestContext(), tagged_batch(f"plain{i}"))
            self.loop.run_for(0.05)
        first.commit(9.0)
        second.rollback(9.0)
        self.loop.run_for(0.05)
        for tags in self.fake_server.tags_by_connection.values():
            for session_tags in " ".join(tags).split("reset"):
                self.assertLessEqual(
                    len({tag[0] for tag in session_tags.split()} & {"1", "2"}), 1
                )
        self.assertFalse(self.owned_server.dump()["transactions"])

    def test_writes_that_wait_for_locks_leave_one_slot_free(self):
        """Guards against writes that hold all slots while they wait for a commit."""
        transaction = self.open_transaction()
        transaction.execute(tagged_batch("t1", False), 9.0)
        self.loop.run_for(0.05)
        # The writes wait for the transaction's locks.
        self.fake_server.service_seconds = 2.0
        write_futures = [
            self.owned_server.submit(
                FakeRequestContext(), tagged_batch(f"w{i}", read_only=False)
            )
            for i in range(5)
        ]
        self.loop.run_for(0.05)
        self.assertEqual(self.fake_server.running_count, 2)
        self.fake_server.service_seconds = 0.005  # The commit waits for no locks.
        commit_future = transaction.commit(9.0)
        self.loop.run_for(20.0)
        self.assertTrue(commit_future.result())
        self.assertTrue(all(future.result() for future in write_futures))

    def test_database_error_ends_a_transaction(self):
        """Guards against later statements that run outside the ended transaction."""
        transaction = self.open_transaction()
        self.fake_server.fault_by_tag["bad"] = errors.StatementFailed()
        failing_future = transaction.execute(tagged_batch("bad", False), 9.0)
        self.loop.run_for(0.05)
        self.assertIsInstance(failing_future.exception(), errors.StatementFailed)
        later_future = transaction.execute(tagged_batch("later", False), 9.0)
        self.assertIsInstance(later_future.exception(), errors.NoTransaction)

    def test_abandoned_transaction_closes_its_connection(self):
        """Guards against a transaction that the database keeps open without a proxy."""
        transaction = self.open_transaction()
        connection_count = len(self.fake_server.connections)
        transaction.close()
        self.assertEqual(len(self.fake_server.connections), connection_count - 1)

    def test_transactions_leave_connections_for_other_requests(self):
        """Guards against slots held by requests that can never get a connection."""
        transaction_futures = [
            self.owned_server.open_transaction(FakeRequestContext(), 1)
            for _ in range(6)
        ]
        self.loop.run_for(0.5)
        self.assertEqual(
            sum(future.exception() is None for future in transaction_futures), 3
        )
        future = self.owned_server.submit(FakeRequestContext(), tagged_batch("r"))
        self.loop.run_for(0.1)
        self.assertTrue(future.result())

    def test_drain_waits_for_requests_and_transactions(self):
        """Guards against a release of the server that interrupts requests."""
        transaction = self.open_transaction()
        future = self.owned_server.submit(FakeRequestContext(), tagged_batch("r"))
        drain_future = self.owned_server.drain(5.0)
        refusal = self.owned_server.submit(
            FakeRequestContext(), tagged_batch("late")
        ).exception()
        self.assertIsInstance(refusal, errors.Draining)
        self.loop.run_for(0.1)
        self.assertTrue(future.result())
        self.assertFalse(drain_future.done())
        transaction.commit(4.0)
        self.loop.run_for(0.1)
        self.assertEqual(drain_future.result(), 0)

    def test_drain_ends_at_its_deadline(self):
        """Guards against a drain that an open transaction delays without limit."""
        self.open_transaction()
        drain_future = self.owned_server.drain(2.0)
        self.loop.run_for(3.0)
        self.assertEqual(drain_future.result(), 1)
        self.assertFalse(self.owned_server.dump()["transactions"])

    def test_request_to_a_down_server_fails_at_once(self):
        """Guards against a request that holds its slot up to its deadline."""
        self.fake_server.down = True
        future = self.owned_server.submit(FakeRequestContext(), tagged_batch("r"))
        self.loop.run_for(0.01)
        self.assertIsInstance(future.exception(), errors.BackendUnavailable)
        self.assertEqual(self.fake_server.received_tags, [])
