"""Tests of the ``cassiahill.backend`` interface, run on both adapters."""

import subprocess
import sys
import unittest

from cassiahill import backend, backend_http, backend_memory, clock, errors, loop


class BackendContract:
    """Tests for both adapters; ``self.backend`` is the only server of its group."""

    def result(self, future):
        """Return the result of a future, after running the event loop if needed."""
        raise NotImplementedError

    def deadline(self):
        """Return an instant that no test reaches, in seconds of the adapter's clock."""
        return 1e12

    def connect(self, epoch=1):
        """Return a connection that server owner "p" has opened."""
        return self.result(self.backend.connect(epoch, "p", self.deadline()))

    def status(self):
        """Return the server's current status."""
        return self.result(self.backend.status(None, 0.0, self.deadline()))

    def execute(self, connection, term, read_only=False):
        """Run a batch of one statement; return its ``BatchResult``."""
        statements = ({"sql": "CREATE TABLE IF NOT EXISTS t (x)", "params": []},)
        if read_only:
            statements = ({"sql": "SELECT 1", "params": []},)
        batch = backend.Batch(statements, term, read_only, 1.0)
        return self.result(connection.execute(batch, self.deadline()))

    def raise_term(self, term, promotion_id):
        """Raise the term; return the ``LogEnd``."""
        return self.result(self.backend.raise_term(term, promotion_id, self.deadline()))

    def test_writes_and_commits_extend_the_log(self):
        """Guards against an answer whose log position is lower than the write's."""
        connection = self.connect()
        status_before = self.status()
        self.assertEqual(status_before.role, "primary")
        result = self.execute(connection, status_before.term)
        self.assertEqual(result.position, status_before.position + 1)
        self.result(connection.begin(status_before.term, self.deadline()))
        uncommitted = self.execute(connection, status_before.term)
        self.assertEqual(uncommitted.position, status_before.position + 1)
        result = self.result(connection.commit(status_before.term, self.deadline()))
        self.assertEqual(result.position, status_before.position + 2)
        self.execute(connection, status_before.term, read_only=True)
        self.assertEqual(self.status().position, status_before.position + 2)

    def test_reset_rolls_back_the_open_transaction(self):
        """Guards against a reset that commits a transaction that was left open."""
        connection = self.connect()
        status_before = self.status()
        self.result(connection.begin(status_before.term, self.deadline()))
        self.execute(connection, status_before.term)
        self.result(connection.reset(self.deadline()))
        self.assertEqual(self.status().position, status_before.position)
        with self.assertRaises(errors.NoTransaction):
            self.result(connection.commit(status_before.term, self.deadline()))

    def test_raised_term_fences_writes_and_belongs_to_one_promotion(self):
        """Guards against two promotions in one term, and writes of an older term."""
        connection = self.connect()
        old_status = self.status()
        log_end = self.raise_term(old_status.term + 1, "a")
        self.assertEqual(log_end, self.raise_term(old_status.term + 1, "a"))
        self.assertEqual(log_end.position, old_status.position)
        self.assertEqual(self.status().primary, "")
        with self.assertRaises(errors.StaleTerm):
            self.execute(connection, old_status.term)
        with self.assertRaises(errors.StaleTerm):
            self.raise_term(old_status.term + 1, "b")
        with self.assertRaises(errors.StaleTerm):
            self.result(self.backend.promote(old_status.term + 1, "b", self.deadline()))
        for _ in range(2):
            self.result(self.backend.promote(old_status.term + 1, "a", self.deadline()))
        new_status = self.status()
        self.assertEqual(
            (new_status.role, new_status.last_term), ("primary", old_status.term + 1)
        )
        self.assertEqual(new_status.position, old_status.position + 1)

    def test_follow_demotes_only_with_a_later_term(self):
        """Guards against a delayed command that demotes the current primary."""
        old_status = self.status()
        address = ("127.0.0.1", 9)
        self.result(
            self.backend.follow(old_status.term, "s2", address, self.deadline())
        )
        self.assertEqual(self.status().role, "primary")
        self.result(
            self.backend.follow(old_status.term + 1, "s2", address, self.deadline())
        )
        new_status = self.status()
        self.assertEqual((new_status.role, new_status.primary), ("replica", "s2"))
        with self.assertRaises(errors.StaleTerm):
            self.result(
                self.backend.follow(old_status.term, "s3", address, self.deadline())
            )

    def test_claim_closes_connections_of_lower_epochs(self):
        """Guards against a server owner that writes on after it was replaced.

        A paused process does not notice that another has claimed the server.
        """
        connection = self.connect()
        self.result(self.backend.claim(2, "q", self.deadline()))
        with self.assertRaises(errors.CassiahillError):
            self.execute(connection, self.status().term)
        with self.assertRaises(errors.NotRunError):
            self.connect(epoch=1)
        self.connect(epoch=2)
        with self.assertRaises(errors.StaleEpoch):
            self.result(self.backend.claim(2, "r", self.deadline()))


class MemoryBackendContractTest(BackendContract, unittest.TestCase):
    def setUp(self):
        group = backend_memory.MemoryGroup("g", ["s1"], clock.ManualClock())
        self.backend = backend_memory.MemoryBackend(group, "s1")

    def result(self, future):
        return future.result(timeout=0)


class HttpBackendContractTest(BackendContract, unittest.TestCase):
    def setUp(self):
        command = [sys.executable, "-m", "standins.database", "--bootstrap"]
        command += [
            "--name",
            "s1",
            "--group",
            "g",
            "--port",
            "0",
            "--role",
            "primary",
            "--open-ms",
            "0",
        ]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        port = int(self.process.stdout.readline().split()[1])
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.backend = backend_http.HttpBackend(
            self.loop, "s1", "g", ("127.0.0.1", port), "d1"
        )

    def deadline(self):
        return self.loop.clock.now() + 30.0

    def result(self, future):
        future.add_done_callback(lambda _: self.loop.stop())
        self.loop._stopping = False
        if not future.done():
            self.loop.run()
        return future.result(timeout=0)
