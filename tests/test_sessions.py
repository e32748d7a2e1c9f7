"""Tests of ``cassiahill.sessions`` and ``cassiahill.relays`` over loopback."""

import unittest

from cassiahill import sessions
from tests.session_server import Client, running


def only(collection):
    """Return the only element of a collection."""
    (element,) = collection
    return element


class SessionTest(unittest.TestCase):
    relayed = False

    def setUp(self):
        manager = running()
        self.servers = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)

    def client(self, database=b"shop"):
        """Return a client with an open session."""
        client = self.new_client()
        self.assertEqual(client.open(database), [b"READY I -"])
        return client

    def new_client(self):
        server = self.servers.entry if self.relayed else self.servers.owner
        client = Client(server.address)
        self.addCleanup(client.close)
        return client

    def ran(self):
        return self.servers.call(lambda: [one[2] for one in self.servers.group.ran])

    def test_write_and_read(self):
        """Guards against answers without signature or state."""
        client = self.client()
        write, read = client.ask(b"QUERY 1 WRITE a x", b"QUERY 2 READ a")
        self.assertEqual(write[0], b"COMPLETE signature")
        self.assertTrue(write[1].startswith(b"READY I 1."))
        self.assertEqual(read[0], b"COMPLETE signature")
        self.assertEqual(self.ran(), ["WRITE a x", "READ a"])

    def test_transaction(self):
        """Guards against a state that the client cannot follow."""
        client = self.client()
        states = [
            answer[-1].split()[1]
            for answer in client.ask(
                b"QUERY 1 BEGIN",
                b"QUERY 2 WRITE a x",
                b"QUERY 3 COMMIT",
                b"QUERY 4 BEGIN READ",
                b"QUERY 5 READ a",
                b"QUERY 6 ROLLBACK",
            )
        ]
        self.assertEqual(states, [b"T", b"T", b"I", b"T", b"T", b"I"])

    def test_failed_transaction_takes_nothing_but_its_end(self):
        """Guards against a statement that runs outside the transaction that failed."""
        client = self.client()
        client.ask(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
        self.servers.call(lambda: self.servers.group.promote("b"))
        failed, other, commit, after = client.ask(
            b"QUERY 3 WRITE a y",
            b"QUERY 4 WRITE a z",
            b"QUERY 5 COMMIT",
            b"QUERY 6 WRITE a w",
        )
        self.assertTrue(failed[0].startswith(b"ERROR READONLY"))
        self.assertTrue(other[0].startswith(b"ERROR MALFORMED"))
        self.assertTrue(commit[0].startswith(b"ERROR ABORTED"))
        self.assertEqual(commit[1].split()[1], b"I")
        self.assertEqual(after[0], b"COMPLETE signature")
        self.assertNotIn("WRITE a z", self.ran())

    def test_prepared_names_of_two_clients(self):
        """Guards against a name that runs another client's statement."""
        first, second = self.client(), self.client()
        first.ask(b"QUERY 1 PREPARE s WRITE q1")
        second.ask(b"QUERY 2 PREPARE s WRITE q2")
        first.ask(b"QUERY 3 EXECUTE s k v")
        second.ask(b"QUERY 4 EXECUTE s k v")
        (unknown,) = second.ask(b"QUERY 5 EXECUTE other k v")
        self.assertEqual(self.ran(), ["q1", "q2"])
        self.assertTrue(unknown[0].startswith(b"ERROR NOSTMT"))

    def test_unknown_database(self):
        """Guards against a session for a database that never existed."""
        client = self.new_client()
        self.assertTrue(client.open(b"nowhere")[0].startswith(b"ERROR NODB"))
        self.assertEqual(client.read(), b"")

    def test_malformed_lines_harm_no_other_session(self):
        """Guards against damage by hostile or confused clients."""
        good = self.client()
        for line in (b"QUERY 1 READ a", b"\xff\xfe", b"", b"HELLO", b"\x00" * 2000):
            bad = self.new_client()
            bad.send(line)
            self.assertTrue(bad.read().startswith(b"ERROR MALFORMED"), line)
        confused = self.client()
        for line in (b"QUERY 1 DROP", b"QUERY 2 COMMIT", b"STARTUP shop u"):
            (answer,) = confused.ask(line)
            self.assertTrue(answer[0].startswith(b"ERROR MALFORMED"), line)
        (answer,) = good.ask(b"QUERY 9 READ a")
        self.assertEqual(answer[0], b"COMPLETE signature")

    def test_oversized_line_is_refused(self):
        """Guards against memory that one client's line fills."""
        client = self.client()
        try:
            client.send_raw(b"QUERY 1 READ " + b"x" * 3_000_000)
        except (BrokenPipeError, ConnectionResetError):
            return
        self.assertIn(client.read().split()[:2], ([b"ERROR", b"TOOLARGE"], []))

    def test_line_in_pieces(self):
        """Guards against statements that arrive in several packets."""
        client = self.client()
        for byte in b"QUERY 1 READ a\r\n":
            client.send_raw(bytes([byte]))
        self.assertEqual(client.answer()[0], b"COMPLETE signature")

    def test_client_that_leaves_inside_a_transaction(self):
        """Guards against a connection that stays inside the transaction of nobody."""
        client = self.client()
        client.ask(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
        client.close()
        other = self.client()
        (answer,) = other.ask(b"QUERY 3 WRITE b y")
        self.assertEqual(answer[0], b"COMPLETE signature")
        committed = self.servers.call(lambda: len(self.servers.group.committed))
        self.assertEqual(committed, 1)

    def test_leaving_closes_sessions_at_rest_only(self):
        """Guards against a stop that cuts a transaction."""
        idle, busy = self.client(), self.client()
        busy.ask(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
        server = self.servers.entry if self.relayed else self.servers.owner
        self.close_until(server, lambda: len(server) == 1)
        self.assertEqual(idle.read(), b"")
        (answer,) = busy.ask(b"QUERY 3 COMMIT")
        self.assertEqual(answer[0], b"COMPLETE signature")
        self.close_until(server, lambda: not len(server))
        self.assertEqual(busy.read(), b"")

    def test_session_that_was_just_active_is_left(self):
        """Guards against a close that crosses the client's next statement."""
        client = self.client()
        server = self.servers.entry if self.relayed else self.servers.owner
        client.ask(b"QUERY 1 SET name value")
        now = self.servers.loop.clock.now()
        self.servers.call(lambda: setattr(only(server._sessions), "active_at", now))
        left = self.servers.call(lambda: (server.close_idle(), len(server))[1])
        moved = self.servers.loop.clock.now() - now
        self.assertTrue(left == 1 or moved >= sessions.IDLE_SECONDS)

    def close_until(self, server, is_done):
        """Close idle sessions again and again, as a proxy that leaves does."""
        while not self.servers.call(lambda: (server.close_idle(), is_done())[1]):
            pass


class RelayedSessionTest(SessionTest):
    """The same sessions through a proxy that relays them."""

    relayed = True

    def test_owner_that_goes_leaves_a_write_unknown(self):
        """Guards against "not kept" for a write that the owner may have passed on."""
        client = self.client()
        self.servers.call(
            lambda: setattr(self.servers.group.by_id["a"], "unreachable", True)
        )
        client.send(b"QUERY 1 WRITE a x")
        self.close_owner_sessions()
        self.assertTrue(client.answer()[0].startswith(b"ERROR INDOUBT"))
        self.assertEqual(client.read(), b"")

    def test_owner_that_goes_aborts_an_open_transaction(self):
        """Guards against an unknown outcome where nothing can have been kept."""
        client = self.client()
        client.ask(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
        self.servers.call(
            lambda: setattr(self.servers.group.by_id["a"], "unreachable", True)
        )
        client.send(b"QUERY 3 WRITE a y")
        self.close_owner_sessions()
        self.assertTrue(client.answer()[0].startswith(b"ERROR ABORTED"))

    def test_session_is_refused_without_an_owner(self):
        """Guards against a client that waits for a session nobody can serve."""
        self.servers.owner_up = False
        client = self.new_client()
        self.assertTrue(client.open()[0].startswith(b"ERROR BUSY"))

    def test_owner_without_the_primary_takes_no_session(self):
        """Guards against sessions at an owner that can only refuse them."""
        self.servers.lacking = True
        self.assertTrue(self.new_client().open()[0].startswith(b"ERROR BUSY"))

    def close_owner_sessions(self):
        """Cut the owner's sessions once they have a statement outstanding."""
        while not self.servers.call(self.cut_busy):
            pass

    def cut_busy(self):
        """Close the busy sessions of the owner; return whether there was one."""
        busy = [one for one in self.servers.owner._sessions if one._running]
        for session in busy:
            session._stream.close()
        return bool(busy)


if __name__ == "__main__":
    unittest.main()
