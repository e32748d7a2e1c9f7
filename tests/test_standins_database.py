"""Tests of ``standins.database``."""

import unittest

import msgspec

from cassiahill import http1
from standins import database, sqllog

CREATE_TABLE = [{"sql": "CREATE TABLE items (name TEXT)"}]
INSERT = [{"sql": "INSERT INTO items VALUES ('x')"}]


class Connection:
    """A caller's connection; closing its stream removes it from the database."""

    def __init__(self, primary):
        self._primary = primary
        self.stream = self

    def close(self):
        self._primary.remove_connection(self)


class DatabaseTest(unittest.TestCase):
    """Base of tests that send requests to a database without a network."""

    def make_database(self, *arguments):
        """Return a database that is closed after the test."""
        options = database.build_parser().parse_args(
            ["--name", "s1", "--group", "g", "--port", "0", *arguments]
        )
        created = database.Database(options)
        self.addCleanup(created.loop.close)
        self.addCleanup(created.server.close)
        return created


class TruncateTest(DatabaseTest):
    def test_truncate_drops_term_unknown_to_primary(self):
        """Guards against a replica that keeps entries of a term the primary lacks."""
        replica = self.make_database()
        for term in (1, 1, 3, 3):
            replica.log.append(sqllog.LogEntry(term, []))
        replica.replication.truncate_to_history([[1, 1], [2, 3], [4, 9]])
        self.assertEqual((replica.log.position, replica.log.last_term), (2, 1))


class WriteLockTest(DatabaseTest):
    def setUp(self):
        self.primary = self.make_database("--role", "primary", "--bootstrap")
        writer = self.connect(1)
        self.result(self.execute(writer, CREATE_TABLE))
        self.holder = self.connect(1)
        self.result(self.send(self.holder, "/begin", {}))
        self.result(self.execute(self.holder, INSERT))

    def connect(self, epoch):
        """Return an opened connection of an owner with an epoch."""
        connection = Connection(self.primary)
        self.result(self.send(connection, "/connect", {"epoch": epoch, "owner": "p"}))
        return connection

    def send(self, connection, path, body):
        """Return the future of the response to a request."""
        request = http1.Request("POST", path, "", {}, msgspec.json.encode(body), None)
        return self.primary.handle(request, connection)

    def execute(self, connection, statements):
        body = {"statements": statements, "timeout_ms": 200}
        return self.send(connection, "/execute", body)

    def result(self, future):
        """Run the loop until a future is done and return its result."""
        while not future.done():
            self.primary.loop._run_once()
        return future.result()

    def wait_in_transaction(self):
        """Return a connection whose first write waits for the lock."""
        waiting = self.connect(1)
        self.result(self.send(waiting, "/begin", {}))
        self.execute(waiting, INSERT)
        return waiting

    def test_lock_after_a_claim_with_a_higher_epoch(self):
        """Guards against a lock that a replaced owner's waiting write takes for good.

        ``bench.faults freeze-proxy`` ended with a write lock that was never free.
        """
        self.wait_in_transaction()
        claim = {"epoch": 2, "owner": "q"}
        self.result(self.send(self.connect(1), "/claim", claim))
        self.result(self.execute(self.connect(2), INSERT))

    def test_write_of_a_closed_connection_does_not_run(self):
        """Guards against a write that runs after its transaction was rolled back."""
        self.wait_in_transaction().stream.close()
        self.result(self.send(self.holder, "/rollback", {}))
        self.result(self.execute(self.connect(1), INSERT))
        self.assertEqual(self.primary.counts["commits"], 2)


if __name__ == "__main__":
    unittest.main()
