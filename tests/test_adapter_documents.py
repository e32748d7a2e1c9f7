"""Tests of decoding the configuration, server entries and settings."""

import math
import unittest

from cassiahill import errors
from cassiahill.catalog import Consistency
from cassiahill.rate_limits import RateTolerance
from tests import adapter_path

with adapter_path.importable():
    from adapter import documents, settings

SERVER_ENTRY = {
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
SETTINGS_DOCUMENT = {
    "node": "front-1",
    "zone": "z1",
    "ip": "10.1.0.8",
    "internalPortRange": [7440, 7455],
    "listen": {"front": "10.1.0.8:8784", "ready": "10.1.0.8:8785"},
    "bounds": {"graceS": 6},
    "platform": {"addr": "10.200.1.7:8783"},
    "cloudApi": {"addr": "10.200.0.160:8783"},
}


class DecodeServerTest(unittest.TestCase):
    def test_valid_entry(self):
        """Guards against using a server with a wrong address or role."""
        server = documents.decode_server("i-1", SERVER_ENTRY)
        self.assertEqual(server.address, ("10.128.0.9", 8080))
        self.assertFalse(server.registered_as_primary)
        self.assertFalse(server.draining)

    def test_malformed_entry_gives_none(self):
        """Guards against using a server whose entry another writer has damaged."""
        for key in ("service", "addr", "zone", "slots", "state", "dbRole"):
            for value in (None, 7.5, True, [], {}, "", "nonsense"):
                if key in {"service", "zone"} and isinstance(value, str):
                    continue
                entry = {**SERVER_ENTRY, key: value}
                self.assertIsNone(documents.decode_server("i-1", entry), entry)
        for entry in (None, "x", [], {}):
            self.assertIsNone(documents.decode_server("i-1", entry))


class DecodeConfigurationTest(unittest.TestCase):
    def test_routes_and_limits(self):
        """Guards against serving a route with the wrong freshness bound or timeout."""
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
        configuration = documents.decode_configuration(document)
        self.assertEqual(set(configuration.routes_by_database), {"shop", "till"})
        shop_route = configuration.routes_by_database["shop"]
        self.assertIs(shop_route.consistency, Consistency.BOUNDED)
        self.assertEqual((shop_route.timeout, shop_route.max_age), (0.8, 1.5))
        self.assertEqual(configuration.routes_by_database["till"].max_age, math.inf)
        self.assertTrue(configuration.groups_by_name["orders"].synchronous)
        self.assertEqual(configuration.idle_transaction_seconds, 3.0)

    def test_many_routes_and_no_routes(self):
        """Guards against a limit on the number of routes, and a required minimum."""
        routes = [{"host": f"db{n}", "service": "orders"} for n in range(700)]
        configuration = documents.decode_configuration({"version": 1, "routes": routes})
        self.assertEqual(len(configuration.routes_by_database), 700)
        configuration_without_routes = documents.decode_configuration({"version": 1})
        self.assertEqual(configuration_without_routes.routes_by_database, {})

    def test_malformed_document_gives_none(self):
        """Guards against installing a configuration without a valid version."""
        for document in (None, "x", {}, {"version": "7"}, {"version": True}):
            self.assertIsNone(documents.decode_configuration(document))


class DecodeSettingsTest(unittest.TestCase):
    def test_valid_settings_with_unknown_keys(self):
        """Guards against a failing start after the platform adds a key."""
        platform_settings = settings.decode({**SETTINGS_DOCUMENT, "new": {"key": 1}})
        self.assertEqual(platform_settings.proxy.client_address, ("10.1.0.8", 8784))
        self.assertEqual(platform_settings.proxy.peer_address, ("10.1.0.8", 7441))
        self.assertEqual(platform_settings.store_address, ("10.200.1.7", 8783))

    def test_tolerance_of_rate_limits(self):
        """Guards against limits that are enforced without the stated tolerance."""
        without = settings.decode(SETTINGS_DOCUMENT).proxy.rate_tolerance
        self.assertEqual(without, RateTolerance(1.0, 0.0, 0.0))
        bounds = {"quotaWindowS": 5, "quotaExcess": 0.1, "quotaSlack": 20}
        document = {**SETTINGS_DOCUMENT, "bounds": bounds}
        tolerance = settings.decode(document).proxy.rate_tolerance
        self.assertEqual(tolerance, RateTolerance(5.0, 0.1, 20.0))
        document = {**SETTINGS_DOCUMENT, "bounds": {**bounds, "quotaSlack": -1}}
        with self.assertRaises(errors.InvalidSettings):
            settings.decode(document)

    def test_all_invalid_values_are_reported(self):
        """Guards against reporting only the first of several invalid values."""
        invalid_document = {
            **SETTINGS_DOCUMENT,
            "node": 7,
            "listen": {},
            "platform": {"addr": "x"},
        }
        with self.assertRaises(errors.InvalidSettings) as caught:
            settings.decode(invalid_document)
        invalid_keys = {finding.key for finding in caught.exception.findings}
        self.assertEqual(
            invalid_keys, {"node", "listen.front", "listen.ready", "platform.addr"}
        )


if __name__ == "__main__":
    unittest.main()
