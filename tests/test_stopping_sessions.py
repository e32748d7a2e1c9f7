"""Tests of sessions whose clients keep using them while the proxy stops."""

import unittest

from tests.session_server import LineClient, running_servers


class StoppingSessionTest(unittest.TestCase):
    relayed = False

    def setUp(self):
        manager = running_servers()
        self.servers = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        self.server = (
            self.servers.relaying_server if self.relayed else self.servers.owner_server
        )

    def client(self):
        """Return a client with an open session that has been used."""
        client = LineClient(self.server.address)
        self.addCleanup(client.close)
        client.open_session()
        client.exchange(b"QUERY 1 READ a")
        return client

    def run_on_server(self, name):
        """Run a method of the session server that stops."""
        self.servers.run_on_loop(getattr(self.server, name))

    def assert_closed(self, client):
        """Check that the session ends."""
        self.assertEqual(client.read_line(), b"")

    def test_busy_session_ends_with_an_answer(self):
        """Guards against a request that is cut because its session was never idle."""
        client = self.client()
        self.run_on_server("stop_listening")
        (answer,) = client.exchange(b"QUERY 2 WRITE a x")
        self.assertEqual(answer[0], b"COMPLETE signature")
        self.assert_closed(client)

    def test_pipelined_statements_are_answered_before_the_session_ends(self):
        """Guards against a close in front of statements that have been read."""
        client = self.client()
        self.run_on_server("stop_listening")
        answers = client.exchange(
            b"QUERY 2 SET a b", b"QUERY 3 WRITE a x", b"QUERY 4 READ a"
        )
        self.assertEqual(
            [answer[0][:8] for answer in answers],
            [b"COMPLETE", b"COMPLETE", b"COMPLETE"],
        )
        self.assert_closed(client)

    def test_transaction_may_end_before_its_session_does(self):
        """Guards against a stop that interrupts a transaction at once."""
        client = self.client()
        client.exchange(b"QUERY 2 BEGIN")
        self.run_on_server("stop_listening")
        client.exchange(b"QUERY 3 WRITE a x")
        (answer,) = client.exchange(b"QUERY 4 COMMIT")
        self.assertEqual(answer[0], b"COMPLETE signature")
        self.assert_closed(client)

    def test_late_statement_is_refused_and_does_not_run(self):
        """Guards against a statement that runs while the process exits."""
        client = self.client()
        ran_count = len(self.servers.backend_group.ran)
        self.run_on_server("refuse_statements")
        (answer,) = client.exchange(b"QUERY 2 WRITE a x")
        self.assertTrue(answer[0].startswith(b"ERROR BUSY"), answer)
        self.assertEqual(len(self.servers.backend_group.ran), ran_count)

    def test_late_transaction_is_refused(self):
        """Guards against a transaction that begins while the process exits."""
        client = self.client()
        self.run_on_server("refuse_statements")
        (answer,) = client.exchange(b"QUERY 2 BEGIN")
        self.assertTrue(answer[0].startswith(b"ERROR BUSY"), answer)

    def test_late_commit_is_refused_and_keeps_nothing(self):
        """Guards against a commit whose answer is lost with the process."""
        client = self.client()
        client.exchange(b"QUERY 2 BEGIN", b"QUERY 3 WRITE a x")
        self.server.refuses_statements = True
        (answer,) = client.exchange(b"QUERY 4 COMMIT")
        self.assertTrue(answer[0].startswith(b"ERROR ABORTED"), answer)
        self.assertEqual(self.servers.backend_group.committed, [])


class StoppingRelayedSessionTest(StoppingSessionTest):
    """Runs the same tests at a proxy that relays its sessions."""

    relayed = True


class StoppingOwnerTest(StoppingSessionTest):
    """Runs the same tests for a relayed session whose owner stops."""

    def setUp(self):
        super().setUp()
        self.stopping_server = self.server

    def client(self):
        self.server = self.servers.relaying_server
        client = super().client()
        self.server = self.stopping_server
        return client


if __name__ == "__main__":
    unittest.main()
