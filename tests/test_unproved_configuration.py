"""Tests of a session proxy that can or cannot prove the age of its configuration."""

import time
import unittest
from unittest import mock

from cassiahill import session_server
from cassiahill.shared_store import MemorySharedStore
from tests.loop_waits import let_time_pass
from tests.proxy_process import running_proxy
from tests.session_server import LineClient, running_servers
from tests.tenant_builders import NORTH_KEY, UNKNOWN_KEY, make_tenants

DOCUMENT = {
    "version": 1,
    "routes": [
        {"host": "shop", "service": "orders"},
        {"host": "market", "service": "orders", "public": True},
    ],
    "services": [{"name": "orders", "maxConns": 20}],
    "tenants": [{"name": "north", "apiKeys": [NORTH_KEY]}],
}
REVOCATION_SECONDS = 2.0
# The proof takes about 4 s after the start; the rest is for a busy machine.
LIMIT_SECONDS = 20.0


class UnprovedConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.store = MemorySharedStore()
        self.store.write("config", "main", DOCUMENT)
        patch = mock.patch.object(session_server, "MIN_OPEN_SECONDS", 0.2)
        patch.start()
        self.addCleanup(patch.stop)
        manager = running_proxy(self.store, REVOCATION_SECONDS)
        self.proxy, self.settings = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)

    def wait_for_ready(self, ready):
        """Wait until the proxy is ready, or until it is not."""
        deadline = time.monotonic() + LIMIT_SECONDS
        while self.proxy.ready is not ready:
            self.assertLess(time.monotonic(), deadline, f"ready is never {ready}")
            let_time_pass(self.proxy._loop, 0.02)

    def open_session(self, database, key=NORTH_KEY):
        """Return a client and the answer to its opening."""
        client = LineClient(self.settings.client_address)
        self.addCleanup(client.close)
        return client, client.open_session(database, key.encode())[0]

    def test_service_while_the_store_is_away(self):
        """Guards against keys accepted without a proof, and lost public service.

        The proxy comes into service with its first proof. Without a young one it closes
        the idle sessions of callers with a key and no others. An unknown key may have
        been added since, so its caller is told to try again.
        """
        self.assertFalse(self.proxy.ready)
        self.wait_for_ready(True)
        keyed_client, _ = self.open_session(b"shop")
        public_client, _ = self.open_session(b"market", UNKNOWN_KEY)
        (answer,) = keyed_client.exchange(b"QUERY 1 BEGIN")
        self.assertTrue(answer[0].startswith(b"COMPLETE"), answer)
        keyed_client.exchange(b"QUERY 2 ROLLBACK")
        _, answer = self.open_session(b"shop", UNKNOWN_KEY)
        self.assertTrue(answer.startswith(b"ERROR UNAUTH"), answer)
        self.store.available = False
        self.wait_for_ready(False)
        self.assertEqual(keyed_client.read_line(), b"")
        client, _ = self.open_session(b"shop")
        (answer,) = client.exchange(b"QUERY 3 BEGIN")
        self.assertTrue(answer[0].startswith(b"ERROR BUSY"), answer)
        self.assertEqual(answer[-1], b"READY I -")
        _, answer = self.open_session(b"shop", UNKNOWN_KEY)
        self.assertTrue(answer.startswith(b"ERROR BUSY"), answer)
        let_time_pass(self.proxy._loop, 1.0)  # Many checks for idle sessions.
        (answer,) = public_client.exchange(b"QUERY 4 BEGIN")
        self.assertTrue(answer[0].startswith(b"COMPLETE"), answer)
        self.store.available = True
        self.wait_for_ready(True)
        client, _ = self.open_session(b"shop")
        (answer,) = client.exchange(b"QUERY 5 BEGIN")
        self.assertTrue(answer[0].startswith(b"COMPLETE"), answer)


class SessionOfRefusedCallerTest(unittest.TestCase):
    def test_new_session_stays_open_for_a_while(self):
        """Guards against clients that reconnect all the time to proxies that refuse."""
        tenants = make_tenants(north=[NORTH_KEY])
        with running_servers(tenants) as servers:
            server = servers.owner_server
            client = LineClient(server.address)
            self.addCleanup(client.close)
            client.open_session(caller=NORTH_KEY.encode())
            (session,) = server._sessions
            session.last_active_at -= 1.0
            servers.run_on_loop(server.close_idle_with_keys)
            self.assertTrue(client.exchange(b"QUERY 1 BEGIN")[0])
            client.exchange(b"QUERY 2 ROLLBACK")
            session.last_active_at -= 1.0
            session.opened_at -= session_server.MIN_OPEN_SECONDS
            servers.run_on_loop(server.close_idle_with_keys)
            self.assertEqual(client.read_line(), b"")


if __name__ == "__main__":
    unittest.main()
