"""Tests of ``cassiahill.owned_servers`` with its executor and connections."""

import random
import unittest

from cassiahill import errors, owned_servers
from cassiahill.admission import AdmissionSettings, RankedAdmission
from tests import simulated_backend
from tests.simulated_backend import Asked, batch


class OwnedServerTest(unittest.TestCase):
    def setUp(self):
        self.loop = simulated_backend.SimulatedLoop()
        self.addCleanup(self.loop.close)
        self.server = simulated_backend.FakeServer()
        self.owned = self.owner("a")
        self.assertEqual(self.owned.claim(0).result(), 1)

    def owner(self, name, connections=8):
        return owned_servers.OwnedServer(
            self.loop,
            simulated_backend.FakeBackend(self.server, self.loop),
            self.server.settings(connections),
            name,
            RankedAdmission(AdmissionSettings(self.server.slots)),
            random.Random(1),
        )

    def begin(self):
        future = self.owned.open_transaction(Asked(), 1)
        self.loop.run_for(0.1)
        return future.result()

    def test_never_more_running_than_slots(self):
        """Guards against statements that queue in the database out of rank order."""
        futures = [self.owned.submit(Asked(), batch(f"r{i}")) for i in range(50)]
        self.loop.run_for(1.0)
        self.assertTrue(all(f.result() for f in futures))
        self.assertEqual(self.server.most_running, 3)
        self.assertLessEqual(self.server.most_connections, 6)

    def test_lost_answer_of_a_write_is_unknown(self):
        """Guards against "not run" for a write that was handed over."""
        self.server.fail["w"] = "close"
        future = self.owned.submit(Asked(), batch("w", read_only=False))
        self.loop.run_for(0.1)
        self.assertIsInstance(future.exception(), errors.OutcomeUnknown)
        self.assertEqual(self.server.given, ["w"])

    def test_read_is_repeated_once(self):
        """Guards against a failed read after an idle connection had closed."""
        self.server.fail["r"] = "close"
        future = self.owned.submit(Asked(), batch("r"))
        self.loop.run_for(0.1)
        self.assertTrue(future.result())
        self.assertEqual(self.server.given, ["r", "r"])

    def test_repeated_read_never_ends_as_not_run(self):
        """Guards against "not run" for a read whose first attempt may have run."""
        self.server.fail["r"] = "close"
        future = self.owned.submit(Asked(), batch("r"))
        self.loop.run_for(0.009)
        self.server.down = True
        self.loop.run_for(1.0)
        self.assertEqual(self.server.given, ["r"])
        self.assertIsInstance(future.exception(), errors.OutcomeUnknown)

    def test_silent_connections_are_replaced(self):
        """Guards against reusing connections that went silent together."""
        for i in range(3):
            self.owned.submit(Asked(), batch(f"warm{i}"))
        self.loop.run_for(0.1)
        for connection in self.server.connections:
            connection.silent = True
        first = self.owned.submit(Asked(deadline=10.0), batch("w", False, 0.5))
        self.loop.run_for(2.0)
        self.assertIsInstance(first.exception(), errors.OutcomeUnknown)
        self.assertFalse([c for c in self.server.connections if c.silent])
        second = self.owned.submit(Asked(), batch("r"))
        self.loop.run_for(0.1)
        self.assertTrue(second.result())

    def test_silence_ends_a_wait_long_before_the_deadline(self):
        """Guards against a caller that a silent connection holds for its deadline."""
        self.server.fail["w"] = "silent"
        asked = Asked(deadline=self.loop.clock.now() + 60.0)
        future = self.owned.submit(asked, batch("w", False, 60.0))
        self.loop.run_for(1.1)
        self.assertIsInstance(future.exception(), errors.OutcomeUnknown)

    def test_slow_statements_get_through_after_a_wait_that_was_too_short(self):
        """Guards against a bound on answers that slow statements can never meet."""
        self.server.service = 1.5
        asked = Asked(deadline=self.loop.clock.now() + 60.0)
        first = self.owned.submit(asked, batch("w1", False, 60.0))
        self.loop.run_for(2.0)
        self.assertIsInstance(first.exception(), errors.OutcomeUnknown)
        second = self.owned.submit(asked, batch("w2", False, 60.0))
        self.loop.run_for(2.0)
        self.assertTrue(second.result())

    def test_stale_epoch_ends_the_ownership(self):
        """Guards against a former owner that goes on after a takeover."""
        other = self.owner("b")
        futures = [self.owned.submit(Asked(), batch(str(i))) for i in range(20)]
        self.loop.run_for(0.012)
        self.assertEqual(other.claim(1).result(), 2)
        self.loop.run_for(1.0)
        self.assertEqual(self.owned.state, "lost")
        unsent = [f for i, f in enumerate(futures) if str(i) not in self.server.given]
        self.assertTrue(unsent)
        for future in unsent:
            self.assertIsInstance(future.exception(), errors.NotRunError)
        self.assertIsInstance(futures[-1].exception(), errors.NotOwner)
        self.assertFalse(self.server.connections)
        self.assertIsInstance(
            self.owned.submit(Asked(), batch("x")).exception(), errors.NotOwner
        )

    def test_transactions_have_their_own_connections(self):
        """Guards against statements of two transactions on one connection."""
        first, second = self.begin(), self.begin()
        for i in range(3):
            first.execute(batch(f"1-{i}", False), 9.0)
            second.execute(batch(f"2-{i}", False), 9.0)
            self.owned.submit(Asked(), batch(f"plain{i}"))
            self.loop.run_for(0.05)
        first.commit(9.0)
        second.rollback(9.0)
        self.loop.run_for(0.05)
        for tags in self.server.users_by_connection.values():
            for part in " ".join(tags).split("reset"):
                self.assertLessEqual(len({t[0] for t in part.split()} & {"1", "2"}), 1)
        self.assertFalse(self.owned.dump()["transactions"])

    def test_one_slot_is_free_of_lock_waiters(self):
        """Guards against writes that hold all slots while a transaction has locks."""
        transaction = self.begin()
        transaction.execute(batch("t1", False), 9.0)
        self.loop.run_for(0.05)
        self.server.service = 2.0  # The writes wait for the transaction's locks.
        writes = [
            self.owned.submit(Asked(), batch(f"w{i}", read_only=False))
            for i in range(5)
        ]
        self.loop.run_for(0.05)
        self.assertEqual(self.server.running, 2)
        self.server.service = 0.005  # The commit itself waits for nothing.
        commit = transaction.commit(9.0)
        self.loop.run_for(20.0)
        self.assertTrue(commit.result())
        self.assertTrue(all(w.result() for w in writes))

    def test_error_of_the_database_ends_a_transaction(self):
        """Guards against later statements that run outside the transaction."""
        transaction = self.begin()
        self.server.fail["bad"] = errors.StatementFailed()
        failing = transaction.execute(batch("bad", False), 9.0)
        self.loop.run_for(0.05)
        self.assertIsInstance(failing.exception(), errors.StatementFailed)
        later = transaction.execute(batch("later", False), 9.0)
        self.assertIsInstance(later.exception(), errors.NoTransaction)

    def test_abandoned_transaction_closes_its_connection(self):
        """Guards against an open database transaction after its proxy gave up."""
        transaction = self.begin()
        count = len(self.server.connections)
        transaction.close()
        self.assertEqual(len(self.server.connections), count - 1)

    def test_transactions_leave_connections_for_plain_work(self):
        """Guards against slots held by work that can never get a connection."""
        opened = [self.owned.open_transaction(Asked(), 1) for _ in range(6)]
        self.loop.run_for(0.5)
        self.assertEqual(sum(f.exception() is None for f in opened), 3)
        future = self.owned.submit(Asked(), batch("r"))
        self.loop.run_for(0.1)
        self.assertTrue(future.result())

    def test_drain_waits_for_work_and_transactions(self):
        """Guards against a release that interrupts requests."""
        transaction = self.begin()
        future = self.owned.submit(Asked(), batch("r"))
        drained = self.owned.drain(5.0)
        refused = self.owned.submit(Asked(), batch("late")).exception()
        self.assertIsInstance(refused, errors.Draining)
        self.loop.run_for(0.1)
        self.assertTrue(future.result())
        self.assertFalse(drained.done())
        transaction.commit(4.0)
        self.loop.run_for(0.1)
        self.assertEqual(drained.result(), 0)

    def test_drain_ends_at_its_deadline(self):
        """Guards against a drain that an open transaction delays for ever."""
        self.begin()
        drained = self.owned.drain(2.0)
        self.loop.run_for(3.0)
        self.assertEqual(drained.result(), 1)
        self.assertFalse(self.owned.dump()["transactions"])

    def test_down_server_refuses_without_waiting(self):
        """Guards against work that holds its slot until the deadline."""
        self.server.down = True
        future = self.owned.submit(Asked(), batch("r"))
        self.loop.run_for(0.01)
        self.assertIsInstance(future.exception(), errors.BackendUnavailable)
        self.assertEqual(self.server.given, [])
