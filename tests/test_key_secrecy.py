"""Checks that no output of a proxy holds a caller's key."""

import contextlib
import unittest
from unittest import mock

import msgspec

from cassiahill import clock, proxy_dump, transport
from cassiahill.caller_checks import CallerChecks
from cassiahill.shared_store import MemorySharedStore
from cassiahill.tenants import digest_key
from tests.log_lines import captured_log_lines
from tests.proxy_process import running_proxy
from tests.session_server import LineClient, running_servers
from tests.tenant_builders import (
    ALL_KEYS,
    NORTH_KEY,
    SOUTH_KEY,
    make_tenants,
)

DOCUMENT = {
    "version": 1,
    "routes": [
        {"host": "shop", "service": "orders"},
        {"host": "market", "service": "orders", "public": True},
        {"host": 7},
    ],
    "services": [{"name": "orders", "maxConns": 20}],
    "tenants": [
        {"name": "north", "apiKeys": [NORTH_KEY, "shared-key-2c6e"]},
        {"name": "south", "apiKeys": [SOUTH_KEY, "shared-key-2c6e"], "ratePerS": -1},
        {"name": "two words", "apiKeys": [SOUTH_KEY]},
        {"name": "west", "apiKeys": {SOUTH_KEY: 1}},
    ],
}
KEYS = (*ALL_KEYS, "shared-key-2c6e")
# A digest opens a session on the address for relayed sessions.
KEYS_AND_DIGESTS = (*KEYS, *map(digest_key, KEYS))


@contextlib.contextmanager
def recorded_writes():
    """Yield the list of everything that is written to sockets of event loops."""
    written = []
    write = transport.Stream.write

    def record(stream, data):
        written.append(bytes(data))
        write(stream, data)

    with mock.patch.object(transport.Stream, "write", record):
        yield written


class KeySecrecyTest(unittest.TestCase):
    def assert_without(self, secrets, outputs):
        """Check that none of the secrets is in any of the outputs."""
        self.assertTrue(outputs)
        for output in outputs:
            for secret in secrets:
                self.assertNotIn(secret, output)

    def test_sessions_and_relays(self):
        """Guards against keys in log lines, errors, and messages to peers."""
        tenants = make_tenants(north=[NORTH_KEY], south=[SOUTH_KEY])
        with (
            captured_log_lines() as log_lines,
            recorded_writes() as written,
            running_servers(tenants) as servers,
        ):
            for server in (servers.owner_server, servers.relaying_server):
                for key in KEYS:
                    for database in (b"shop", b"market", b"none"):
                        self.use_session(server.address, database, key)
            server = servers.owner_server
            server.caller_checks = CallerChecks(
                lambda: server.catalog.configuration,
                servers.loop.clock,
                admit=lambda _tenant, _now: False,
            )
            self.use_session(server.address, b"shop", NORTH_KEY)
            replies = [repr(arguments) for arguments in servers.replies]
        text = [data.decode() for data in written]
        self.assertTrue(any(line.startswith("ERROR UNAUTH") for line in text))
        self.assertTrue(any("caller_refused" in line for line in log_lines))
        self.assert_without(KEYS_AND_DIGESTS, [*log_lines, *replies])
        # The messages that open relayed sessions hold digests.
        self.assert_without(KEYS, text)

    def test_outputs_of_a_proxy(self):
        """Guards against keys in the dump, the metrics and lines about tenants.

        The session of a key that a newer version takes away is closed as well.
        """
        store = MemorySharedStore()
        store.write("config", "main", DOCUMENT)
        with (
            captured_log_lines() as log_lines,
            recorded_writes() as written,
            running_proxy(store) as (proxy, settings),
        ):
            for key in KEYS:
                self.use_session(settings.client_address, b"shop", key)
            idle_client = LineClient(settings.client_address)
            idle_client.open_session(caller=SOUTH_KEY.encode())
            newer_document = {**DOCUMENT, "version": 2, "tenants": [None, NORTH_KEY]}
            store.write("config", "main", newer_document)
            self.assertEqual(idle_client.read_line(), b"")
            idle_client.close()
            self.use_session(settings.client_address, b"shop", SOUTH_KEY)
            peer = LineClient(settings.peer_address)
            peer.send_lines(b"GET /v1/state HTTP/1.1", b"Host: x", b"")
            self.assertTrue(peer.read_line().startswith(b"HTTP/1.1 200"))
            peer.close()
            gauges = proxy_dump.gauge_values(proxy, clock.SystemClock().now())
            outputs = [
                msgspec.json.encode(proxy.dump()).decode(),
                proxy.metrics.render(gauges).decode(),
                repr(proxy.catalog.configuration),
                repr(store.list("proxies").result()),
            ]
        self.assertIn("refused_callers_total", outputs[1])
        self.assertTrue(any("tenants_share_key" in line for line in log_lines))
        text = [data.decode() for data in written]
        self.assert_without(KEYS_AND_DIGESTS, [*outputs, *log_lines, *text])

    def use_session(self, address, database, key):
        """Open a session with a key and run all kinds of statements in it."""
        client = LineClient(address)
        if client.open_session(database, key.encode())[0].startswith(b"READY"):
            client.exchange(
                b"QUERY 1 SET a b",
                b"QUERY 2 READ a",
                b"QUERY 3 BEGIN",
                b"QUERY 4 WRITE a x",
                b"QUERY 5 COMMIT",
                b"QUERY 6 EXECUTE s a",
                b"STARTUP again " + key.encode(),
            )
        client.close()


if __name__ == "__main__":
    unittest.main()
