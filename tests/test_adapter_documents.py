"""Tests of the decoding of what operator and databases write to the store."""

import math
import unittest

from cassiahill import errors
from cassiahill.catalog import Consistency
from tests import adapter_path

with adapter_path.importable():
    from adapter import documents, settings

SERVER = {
    "service": "orders",
    "addr": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "seq": 4,
    "born": 1700000000000,
}
SETTINGS = {
    "node": "front-1",
    "zone": "z1",
    "ip": "10.1.0.8",
    "internalPortRange": [7440, 7455],
    "listen": {"front": "10.1.0.8:8784", "ready": "10.1.0.8:8785"},
    "bounds": {"graceS": 6},
    "platform": {"addr": "10.200.1.7:8783"},
    "cloudApi": {"addr": "10.200.0.160:8783"},
}


class ServerTest(unittest.TestCase):
    def test_valid_entry(self):
        """Guards against a server that is used under a wrong address or role."""
        server = documents.decode_server("i-1", SERVER)
        self.assertEqual(server.address, ("10.128.0.9", 8080))
        self.assertFalse(server.registered_as_primary)
        self.assertFalse(server.draining)

    def test_malformed_entries_name_no_server(self):
        """Guards against entries of other writers."""
        for key in ("service", "addr", "zone", "slots", "state", "dbRole"):
            for value in (None, 7.5, True, [], {}, "", "nonsense"):
                if key in {"service", "zone"} and isinstance(value, str):
                    continue
                entry = {**SERVER, key: value}
                self.assertIsNone(documents.decode_server("i-1", entry), entry)
        for entry in (None, "x", [], {}):
            self.assertIsNone(documents.decode_server("i-1", entry))


class ConfigurationTest(unittest.TestCase):
    def test_routes_and_limits(self):
        """Guards against a route that is served with the wrong freshness."""
        document = {
            "version": 7,
            "routes": [
                {
                    "host": "shop",
                    "kind": "bounded_staleness",
                    "service": "orders",
                    "timeoutMs": 800,
                    "maxStalenessMs": 1500,
                    "priority": 2,
                },
                {"host": "till", "kind": "primary", "service": "orders"},
                {"host": 7},
                "nonsense",
            ],
            "services": [{"name": "orders", "maxConns": 23, "syncReplicas": 1}, None],
            "limits": {"idleTxMs": 3000},
        }
        found = documents.decode_configuration(document)
        self.assertEqual(set(found.routes_by_database), {"shop", "till"})
        shop = found.routes_by_database["shop"]
        self.assertIs(shop.consistency, Consistency.BOUNDED)
        self.assertEqual((shop.timeout, shop.max_age), (0.8, 1.5))
        self.assertEqual(found.routes_by_database["till"].max_age, math.inf)
        self.assertTrue(found.groups_by_name["orders"].synchronous)
        self.assertEqual(found.idle_transaction_seconds, 3.0)

    def test_hundreds_of_routes_and_none(self):
        """Guards against deployments of unusual size."""
        routes = [{"host": f"db{n}", "service": "orders"} for n in range(700)]
        found = documents.decode_configuration({"version": 1, "routes": routes})
        self.assertEqual(len(found.routes_by_database), 700)
        empty = documents.decode_configuration({"version": 1})
        self.assertEqual(empty.routes_by_database, {})

    def test_unreadable_document_is_none(self):
        """Guards against a configuration without a version."""
        for document in (None, "x", {}, {"version": "7"}, {"version": True}):
            self.assertIsNone(documents.decode_configuration(document))


class SettingsTest(unittest.TestCase):
    def test_valid_settings_with_unknown_keys(self):
        """Guards against a start that fails because the platform adds a key."""
        loaded = settings.decode({**SETTINGS, "new": {"key": 1}})
        self.assertEqual(loaded.proxy.client_address, ("10.1.0.8", 8784))
        self.assertEqual(loaded.proxy.peer_address, ("10.1.0.8", 7441))
        self.assertEqual(loaded.store_address, ("10.200.1.7", 8783))

    def test_all_findings_at_once(self):
        """Guards against an operator who corrects one key at a time."""
        broken = {**SETTINGS, "node": 7, "listen": {}, "platform": {"addr": "x"}}
        with self.assertRaises(errors.InvalidSettings) as caught:
            settings.decode(broken)
        keys = {finding.key for finding in caught.exception.findings}
        self.assertEqual(
            keys, {"node", "listen.front", "listen.ready", "platform.addr"}
        )


if __name__ == "__main__":
    unittest.main()
