"""Tests of decoding the configuration, server entries and settings."""

import math
import unittest

from cassiahill import errors, session_proxy_settings
from cassiahill.catalog import Consistency
from cassiahill.rate_limits import RateTolerance
from cassiahill.tenants import digest_key
from tests import adapter_path
from tests.log_lines import captured_log_lines
from tests.server_entries import SERVER_ENTRY
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY

with adapter_path.importable():
    from adapter import documents, settings

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
        for key in SERVER_ENTRY:
            for value in (None, 7.5, True, [], {}, "", "nonsense"):
                if key in {"service", "zone", "version"} and isinstance(value, str):
                    continue
                if key == "coldLeftMs" and value == 7.5:
                    continue
                entry = {**SERVER_ENTRY, key: value}
                self.assertIsNone(documents.decode_server("i-1", entry), entry)
        for entry in (None, "x", [], {}):
            self.assertIsNone(documents.decode_server("i-1", entry))

    def test_entry_that_lacks_a_field_gives_none(self):
        """Guards against a replica that nobody runs and every promotion waits for."""
        for key in SERVER_ENTRY:
            entry = {name: SERVER_ENTRY[name] for name in SERVER_ENTRY if name != key}
            self.assertIsNone(documents.decode_server("i-1", entry), key)

    def test_address_of_a_name_gives_none(self):
        """Guards against a look-up of a name that another writer has chosen."""
        for address in ("database:8080", "a\0b:8080", "10.0.0.300:8080", " :1"):
            entry = {**SERVER_ENTRY, "addr": address}
            self.assertIsNone(documents.decode_server("i-1", entry), address)

    def test_absurd_number_of_slots_gives_none(self):
        """Guards against arithmetic that fails and ends the service of a group."""
        for slots in (documents.MAX_SERVER_SLOTS + 1, 10**400):
            entry = {**SERVER_ENTRY, "slots": slots}
            self.assertIsNone(documents.decode_server("i-1", entry))

    def test_absurd_port_gives_none(self):
        """Guards against a number of more digits than Python converts."""
        entry = {**SERVER_ENTRY, "addr": "10.128.0.9:" + "8" * 5000}
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


class DecodeTenantsTest(unittest.TestCase):
    def decode(self, entries):
        """Return the directory of the entries, and the log lines."""
        with captured_log_lines() as lines:
            configuration = documents.decode_configuration(
                {"version": 1, "tenants": entries}
            )
        return configuration.tenants, "".join(lines)

    def test_valid_entries(self):
        """Guards against a tenant with a wrong limit or key."""
        directory, log = self.decode(
            [
                {
                    "name": "north",
                    "apiKeys": [NORTH_KEY],
                    "priority": 2,
                    "ratePerS": 20,
                    "burst": 7.5,
                },
                {"name": "south", "apiKeys": [SOUTH_KEY, "second"]},
            ]
        )
        north, south = directory.by_name["north"], directory.by_name["south"]
        self.assertEqual((north.rate, north.burst, north.priority), (20.0, 7.5, 2))
        self.assertEqual((south.rate, south.burst), (math.inf, math.inf))
        self.assertIs(directory.by_key_digest[digest_key("second")], south)
        self.assertEqual(log, "")

    def test_deployment_without_tenants(self):
        """Guards against keys that are demanded where nobody has one."""
        configuration = documents.decode_configuration({"version": 1})
        self.assertIsNone(configuration.tenants)

    def test_damaged_list_opens_nothing(self):
        """Guards against service without keys after the whole list is damaged."""
        for entries in ({}, "x", 7, False, None):
            directory, log = self.decode(entries)
            self.assertEqual(directory.by_name, {})
            self.assertIn("tenants_unreadable", log)

    def test_malformed_entries_leave_others(self):
        """Guards against tenants that lose service by a fault in another's entry."""
        malformed_entries = [
            None,
            "x",
            {},
            {"apiKeys": [NORTH_KEY]},
            *(
                {"name": name, "apiKeys": [NORTH_KEY]}
                for name in ("", 7, "two words", "line\nfeed", "\ud800")
            ),
        ]
        south_entry = {"name": "south", "apiKeys": [SOUTH_KEY]}
        directory, log = self.decode([*malformed_entries, south_entry])
        self.assertEqual(set(directory.by_name), {"south"})
        self.assertEqual(set(directory.by_key_digest), {digest_key(SOUTH_KEY)})
        self.assertEqual(log.count("tenant_unreadable"), len(malformed_entries))
        self.assertNotIn(NORTH_KEY, log)

    def test_invalid_keys_leave_others(self):
        """Guards against a key that no client presents, and loss of the valid ones."""
        directory, log = self.decode(
            [
                {"name": "north", "apiKeys": [NORTH_KEY, "", 7, None, "\ud800"]},
                {"name": "south", "apiKeys": SOUTH_KEY},
            ]
        )
        self.assertEqual(set(directory.by_key_digest), {digest_key(NORTH_KEY)})
        self.assertEqual(set(directory.by_name), {"north", "south"})
        self.assertIn("4 invalid values", log)
        for key in (NORTH_KEY, SOUTH_KEY):
            self.assertNotIn(key, log)

    def test_invalid_limit_is_zero(self):
        """Guards against operations beyond a limit that cannot be read."""
        for value in (-1, "20", True, [], math.nan, math.inf, 10**400):
            entry = {"name": "north", "apiKeys": [NORTH_KEY], "ratePerS": value}
            directory, log = self.decode([{**entry, "burst": value}])
            north = directory.by_name["north"]
            self.assertEqual((north.rate, north.burst), (0.0, 0.0), value)
            self.assertEqual(log.count("not a number"), 2)

    def test_missing_burst_does_not_lift_the_rate(self):
        """Guards against a limited tenant with an unlimited burst."""
        directory, _ = self.decode([{"name": "north", "apiKeys": [], "ratePerS": 5}])
        self.assertEqual(directory.by_name["north"].burst, 0.0)

    def test_shared_key_is_logged_with_both_names(self):
        """Guards against two tenants without service and without a finding."""
        directory, log = self.decode(
            [
                {"name": "north", "apiKeys": [NORTH_KEY]},
                {"name": "south", "apiKeys": [NORTH_KEY, SOUTH_KEY]},
            ]
        )
        self.assertEqual(set(directory.by_key_digest), {digest_key(SOUTH_KEY)})
        self.assertIn("north, south", log)
        self.assertNotIn(NORTH_KEY, log)

    def test_second_entry_of_a_name_is_dropped(self):
        """Guards against a tenant whose limit depends on which entry is used."""
        directory, log = self.decode(
            [
                {"name": "north", "apiKeys": [NORTH_KEY], "ratePerS": 5},
                {"name": "north", "apiKeys": [SOUTH_KEY]},
            ]
        )
        self.assertEqual(directory.by_name["north"].rate, 5.0)
        self.assertEqual(set(directory.by_key_digest), {digest_key(NORTH_KEY)})
        self.assertIn("another entry has the same name", log)


class DecodeSettingsTest(unittest.TestCase):
    def test_valid_settings_with_unknown_keys(self):
        """Guards against a failing start after the platform adds a key."""
        platform_settings = settings.decode({**SETTINGS_DOCUMENT, "new": {"key": 1}})
        self.assertEqual(platform_settings.proxy.client_address, ("10.1.0.8", 8784))
        self.assertEqual(platform_settings.proxy.peer_address, ("10.1.0.8", 7441))
        self.assertEqual(platform_settings.store_address, ("10.200.1.7", 8783))

    def test_bound_of_revocation_applies_only_where_it_is_asked_for(self):
        """Guards against refusals, and calls to the store, that nobody asked for."""
        bounds_and_seconds = (
            ({"graceS": 6}, None),
            ({"revokeMs": 5000}, None),
            ({"strictRevoke": False, "revokeMs": 5000}, None),
            ({"strictRevoke": True, "revokeMs": 5000}, 5.0),
        )
        for bounds, seconds in bounds_and_seconds:
            decoded = settings.decode({**SETTINGS_DOCUMENT, "bounds": bounds})
            self.assertEqual(decoded.proxy.revocation_seconds, seconds, bounds)

    def test_time_in_which_a_change_must_be_in_force(self):
        """Guards against proofs of the configuration that are sought too late."""
        bounds_and_seconds = (
            ({}, session_proxy_settings.DEFAULT_CHANGE_SECONDS),
            ({"configApplyMs": 3000}, 3.0),
        )
        for bounds, seconds in bounds_and_seconds:
            decoded = settings.decode({**SETTINGS_DOCUMENT, "bounds": bounds})
            self.assertEqual(decoded.proxy.change_seconds, seconds, bounds)
        for milliseconds in (0, -1, True, "3000"):
            bounds = {"configApplyMs": milliseconds}
            with self.assertRaises(errors.InvalidSettings) as raised:
                settings.decode({**SETTINGS_DOCUMENT, "bounds": bounds})
            self.assertIn("milliseconds", str(raised.exception))

    def test_strict_revocation_without_a_valid_bound_is_reported(self):
        """Guards against a process that accepts keys for longer than is allowed."""
        for bounds in (
            {"strictRevoke": True},
            {"strictRevoke": True, "revokeMs": True},
            {"strictRevoke": True, "revokeMs": 0},
            {"strictRevoke": "yes", "revokeMs": 5000},
        ):
            with self.assertRaises(errors.InvalidSettings, msg=bounds):
                settings.decode({**SETTINGS_DOCUMENT, "bounds": bounds})

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
