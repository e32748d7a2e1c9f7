"""Tests of sessions whose callers have keys, on loopback sockets."""

import unittest
from unittest import mock

import attrs

from cassiahill import sessions
from cassiahill.caller_checks import CallerChecks
from cassiahill.tenants import digest_key
from tests.loop_waits import let_time_pass
from tests.session_server import LineClient, running_servers
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY, UNKNOWN_KEY, make_tenants

UNAUTHENTICATED = b"ERROR UNAUTH"


class TenantSessionTest(unittest.TestCase):
    relayed = False

    def setUp(self):
        tenants = make_tenants(north=[NORTH_KEY], south=[SOUTH_KEY])
        manager = running_servers(tenants)
        self.servers = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        self.entry_server = (
            self.servers.relaying_server if self.relayed else self.servers.owner_server
        )

    def new_client(self):
        client = LineClient(self.entry_server.address)
        self.addCleanup(client.close)
        return client

    def client(self, key=NORTH_KEY, database=b"shop"):
        """Return a client with an open session."""
        client = self.new_client()
        self.assertEqual(client.open_session(database, key.encode()), [b"READY I -"])
        return client

    def change_configuration(self, server, **changes):
        """Install a newer configuration at one server; it closes no session yet."""

        def install():
            configuration = server.catalog.configuration
            server.catalog.install(
                attrs.evolve(
                    configuration, version=configuration.version + 1, **changes
                )
            )

        self.servers.run_on_loop(install)

    def revoke_north_key(self):
        """Take the key away at both servers."""
        tenants = make_tenants(north=[], south=[SOUTH_KEY])
        for server in (self.servers.owner_server, self.servers.relaying_server):
            self.change_configuration(server, tenants=tenants)

    def refuse_at_limit(self, admitted):
        """Let the serving proxy admit this number of operations from now on."""
        remaining = [None] * admitted
        server = self.servers.owner_server
        server.caller_checks = CallerChecks(
            lambda: server.catalog.configuration,
            self.servers.loop.clock,
            admit=lambda _tenant, _now: bool(remaining) and not remaining.pop(),
        )

    def assert_refused_and_closed(self, client, answer):
        self.assertTrue(answer[0].startswith(UNAUTHENTICATED), answer)
        self.assertEqual(client.read_line(), b"")

    def ran_texts(self):
        """Return the texts of the statements that ran, in order."""
        return self.servers.run_on_loop(
            lambda: [execution[2] for execution in self.servers.backend_group.ran]
        )

    def test_unknown_key_is_refused_and_closed(self):
        """Guards against service for callers whose key nobody holds."""
        for key in (UNKNOWN_KEY, "", digest_key(NORTH_KEY)):
            client = self.new_client()
            answer = client.open_session(caller=key.encode())
            self.assert_refused_and_closed(client, answer)

    def test_public_route_needs_no_key(self):
        """Guards against a public database that only tenants reach."""
        client = self.client(UNKNOWN_KEY, b"market")
        (answer,) = client.exchange(b"QUERY 1 READ a")
        self.assertEqual(answer[0], b"COMPLETE signature")

    def test_key_taken_away_between_statements(self):
        """Guards against statements of a caller whose key was taken away.

        The one that was sent behind the refused one must not run either.
        """
        client = self.client()
        client.exchange(b"QUERY 1 READ a")
        self.revoke_north_key()
        client.send_lines(b"QUERY 2 WRITE a x", b"QUERY 3 WRITE a y")
        self.assertTrue(client.read_answer()[0].startswith(UNAUTHENTICATED))
        self.assertIn(client.read_line()[:10], {b"", b"ERROR BUSY"})
        self.assertEqual(self.ran_texts(), ["READ a"])

    def test_key_taken_away_before_a_commit(self):
        """Guards against a commit after the caller's key was taken away."""
        client = self.client()
        client.exchange(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
        self.revoke_north_key()
        (answer,) = client.exchange(b"QUERY 3 COMMIT")
        self.assertEqual(answer[-1], b"READY I -")
        self.assert_refused_and_closed(client, answer)
        self.assertEqual(self.servers.backend_group.committed, [])
        other_client = self.client(SOUTH_KEY)
        (answer,) = other_client.exchange(b"QUERY 4 WRITE b y")
        self.assertEqual(answer[0], b"COMPLETE signature")

    def test_idle_session_of_a_revoked_key_is_closed(self):
        """Guards against connections that stay open for callers without a key."""
        client, other_client = self.client(), self.client(SOUTH_KEY)
        self.revoke_north_key()
        self.servers.run_on_loop(self.servers.owner_server.close_revoked)
        self.assertEqual(client.read_line(), b"")
        (answer,) = other_client.exchange(b"QUERY 1 READ a")
        self.assertEqual(answer[0], b"COMPLETE signature")

    def test_busy_session_of_a_revoked_key_is_checked_alone(self):
        """Guards against checks of all sessions while one stays in its transaction."""
        client = self.client()
        client.exchange(b"QUERY 1 BEGIN")
        self.client(SOUTH_KEY)
        self.revoke_north_key()
        checked_sessions = []
        is_revoked = sessions.Session.is_revoked.fget

        def record(session):
            checked_sessions.append(session)
            return is_revoked(session)

        with mock.patch.object(sessions.Session, "is_revoked", property(record)):
            self.servers.run_on_loop(self.entry_server.close_revoked)
            self.assertEqual(len(checked_sessions), 2)
            let_time_pass(self.servers.loop, 3.5 * sessions.MIN_IDLE_SECONDS)
            self.assertEqual(len(set(checked_sessions[2:])), 1)
            client.exchange(b"QUERY 2 ROLLBACK")
            self.assertEqual(client.read_line(), b"")

    def test_begin_beyond_the_limit_leaves_the_session_open(self):
        """Guards against a limit that ends sessions or cuts transactions short."""
        client = self.client()
        self.refuse_at_limit(admitted=1)
        states = [
            answer[-1].split()[1]
            for answer in client.exchange(
                b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x", b"QUERY 3 COMMIT"
            )
        ]
        self.assertEqual(states, [b"T", b"T", b"I"])
        for line in (b"QUERY 4 BEGIN", b"QUERY 5 WRITE a y", b"QUERY 6 READ a"):
            (answer,) = client.exchange(line)
            self.assertTrue(answer[0].startswith(b"ERROR BUSY"), answer)
            self.assertEqual(answer[-1], b"READY I -")
        self.assertEqual(self.ran_texts(), ["WRITE a x"])

    def test_invalid_statements_do_not_count(self):
        """Guards against a limit that is used up by statements that cannot run."""
        client = self.client()
        self.refuse_at_limit(admitted=1)
        answers = client.exchange(
            b"QUERY 1 EXECUTE none a", b"QUERY 2 COMMIT", b"QUERY 3 READ a"
        )
        self.assertEqual(answers[-1][0], b"COMPLETE signature")

    def test_transaction_under_an_old_configuration(self):
        """Guards against a commit that an old configuration allowed."""
        client = self.client()
        client.exchange(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
        server = self.servers.owner_server
        server.caller_checks = CallerChecks(
            lambda: server.catalog.configuration,
            self.servers.loop.clock,
            is_young_enough=lambda _now: False,
        )
        (answer,) = client.exchange(b"QUERY 3 COMMIT")
        self.assertTrue(answer[0].startswith(b"ERROR ABORTED"), answer)
        self.assertEqual(answer[-1], b"READY I -")
        self.assertEqual(self.servers.backend_group.committed, [])

    def test_connections_are_asked_for_in_the_tenant_s_name(self):
        """Guards against statements in another tenant's name."""
        group = self.servers.owner_server_group
        asked_tenants = []
        acquire = group.acquire
        group.acquire = lambda request: (
            asked_tenants.append(request.tenant) or acquire(request)
        )
        self.client(SOUTH_KEY).exchange(b"QUERY 1 READ a")
        self.client(NORTH_KEY).exchange(b"QUERY 1 BEGIN", b"QUERY 2 READ a")
        self.client(NORTH_KEY, b"market").exchange(b"QUERY 1 READ a")
        self.assertEqual(asked_tenants, ["south", "north", None])

    def test_key_that_passes_to_another_tenant(self):
        """Guards against a refusal of a key that is in force."""
        client = self.client()
        tenants = make_tenants(north=[SOUTH_KEY], south=[NORTH_KEY])
        self.change_configuration(self.servers.owner_server, tenants=tenants)
        (answer,) = client.exchange(b"QUERY 1 READ a")
        self.assertEqual(answer[0], b"COMPLETE signature")


class RelayedTenantSessionTest(TenantSessionTest):
    """Runs the same tests through a proxy that relays its sessions."""

    relayed = True

    def record_relayed_lines(self):
        """Return a list to which the first lines of relayed sessions are added."""
        first_lines = []
        decode_request = self.servers.owner_server.dialect.decode_request

        def record(line):
            first_lines.append(line)
            return decode_request(line)

        self.servers.owner_server.dialect.decode_request = record
        return first_lines

    def test_relay_carries_the_digest(self):
        """Guards against a key in a message between proxies."""
        lines = self.record_relayed_lines()
        self.client(NORTH_KEY)
        self.client(UNKNOWN_KEY, b"market")
        self.assertEqual(
            lines,
            [
                f"STARTUP shop {digest_key(NORTH_KEY)}".encode(),
                f"STARTUP market {digest_key(UNKNOWN_KEY)}".encode(),
            ],
        )

    def test_first_line_is_unchanged_without_tenants(self):
        """Guards against another opening where callers have names, not keys."""
        for server in (self.servers.owner_server, self.servers.relaying_server):
            self.change_configuration(server, tenants=None)
        lines = self.record_relayed_lines()
        self.client("u1 and more")
        self.assertEqual(lines, [b"STARTUP shop u1 and more"])

    def test_owner_that_does_not_know_the_key_yet(self):
        """Guards against a session without an answer while configurations differ."""
        self.change_configuration(
            self.servers.owner_server, tenants=make_tenants(south=[SOUTH_KEY])
        )
        answer = self.new_client().open_session(caller=NORTH_KEY.encode())
        self.assertTrue(answer[0].startswith(b"ERROR BUSY"), answer)


if __name__ == "__main__":
    unittest.main()
