"""Tests of ``cassiahill.catalog_checks``."""

import math
import unittest

from cassiahill import catalog_checks
from cassiahill.catalog import BackendServer, Consistency, GroupLimits
from cassiahill.catalog_checks import CatalogFinding, Severity
from tests.check_builders import make_entries, make_tenant
from tests.session_builders import make_route
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY


class CatalogChecksTest(unittest.TestCase):
    def assert_finding(self, entries, severity, place, text):
        """Assert that the entries have exactly one finding, and which."""
        findings = catalog_checks.check(entries)
        self.assertEqual(
            [(finding.severity, finding.place) for finding in findings],
            [(severity, place)],
            findings,
        )
        self.assertIn(text, findings[0].problem)

    def assert_error(self, entries, place, text):
        self.assert_finding(entries, Severity.ERROR, place, text)

    def assert_warning(self, entries, place, text):
        self.assert_finding(entries, Severity.WARNING, place, text)

    def test_sound_entries(self):
        """Guards against findings on entries that serve as they are written."""
        for consistency in Consistency:
            max_age = math.inf if consistency is Consistency.PRIMARY else 1.0
            route = make_route(consistency, max_age=max_age)
            tenants = [
                make_tenant(rate=5.0, burst=1.0),
                make_tenant("south", [SOUTH_KEY]),
            ]
            entries = make_entries([route], tenants=tenants)
            self.assertEqual(catalog_checks.check(entries), [])

    def test_repeated_names(self):
        """Guards against sending an entry that a proxy drops without an error."""
        self.assert_error(
            make_entries([make_route(), make_route(priority=2)]),
            "routes[1]",
            "routes[0] has the same database",
        )
        limits = GroupLimits("orders", 56, True)
        self.assert_error(
            make_entries(groups=[limits, limits]), "services[0]", "services[1]"
        )
        self.assert_error(
            make_entries(tenants=[make_tenant(), make_tenant(keys=[SOUTH_KEY])]),
            "tenants[1]",
            "tenants[0] has the same name",
        )

    def test_groups_and_routes_that_do_not_meet(self):
        """Guards against a route whose servers have no limits, or limits for nobody."""
        limits = [GroupLimits("orders", 56, True), GroupLimits("bills", 56, True)]
        self.assert_warning(make_entries(groups=limits), "services[1]", "'bills'")
        routes = [make_route(), make_route(database="till", group="bills")]
        self.assert_error(make_entries(routes), "routes[1]", "'bills' has no limits")

    def test_keys_that_identify_nobody(self):
        """Guards against callers that are refused, or not told apart, unexpectedly."""
        tenants = [make_tenant(), make_tenant("south", [])]
        self.assert_warning(make_entries(tenants=tenants), "tenants[1]", "no key")
        tenants = [make_tenant(), make_tenant("south", [SOUTH_KEY, NORTH_KEY])]
        self.assert_error(
            make_entries(tenants=tenants), "tenants[1]", "also held by tenants[0]"
        )
        self.assert_warning(
            make_entries([make_route(public=True)], tenants=[make_tenant()]),
            "tenants",
            "all routes are public",
        )

    def test_keys_of_a_dropped_tenant_are_not_shared(self):
        """Guards against a false finding on keys of an entry that proxies drop."""
        entries = make_entries(tenants=[make_tenant(), make_tenant()])
        self.assert_error(entries, "tenants[1]", "the same name")

    def test_freshness_bounds(self):
        """Guards against bounds that are ignored, missing or cannot be proved."""
        for consistency, max_age, severity, text in (
            (Consistency.PRIMARY, 1.0, Severity.WARNING, "is ignored"),
            (Consistency.BOUNDED, math.inf, Severity.WARNING, "of any age"),
            (Consistency.BOUNDED, 0.0, Severity.WARNING, "asking the primary"),
            (Consistency.OWN_WRITES, 0.019, Severity.WARNING, "asking the primary"),
            (Consistency.OWN_WRITES, -1.0, Severity.ERROR, "no replica can prove"),
        ):
            with self.subTest(consistency=consistency, max_age=max_age):
                route = make_route(consistency, max_age=max_age)
                self.assert_finding(make_entries([route]), severity, "routes[0]", text)

    def test_times_of_routes(self):
        """Guards against times that fail every statement or contradict each other."""
        for fields, severity, text in (
            ({"target": 0.0}, Severity.ERROR, "latency target is 0 s"),
            ({"timeout": 0.0, "target": -1.0}, Severity.ERROR, "time-out is 0 s"),
            ({"target": 0.9}, Severity.WARNING, "longer than the statement time-out"),
            ({"timeout": 3.1}, Severity.WARNING, "may rest for 3 s only"),
        ):
            with self.subTest(fields=fields):
                findings = catalog_checks.check(make_entries([make_route(**fields)]))
                self.assertEqual(findings[0].severity, severity)
                self.assertIn(text, findings[0].problem)
                self.assertEqual(findings[0].place, "routes[0]")
        self.assert_error(make_entries(idle_seconds=0.0), "limits", "aborted at once")

    def test_connection_limits(self):
        """Guards against servers to which a proxy can open too few connections."""
        for connections, severity in ((0, Severity.ERROR), (7, Severity.WARNING)):
            limits = [GroupLimits("orders", connections, True)]
            self.assert_finding(
                make_entries(groups=limits),
                severity,
                "services[0]",
                f"{connections} connections",
            )

    def test_slots_beyond_the_connection_limit(self):
        """Guards against a limit with which some slots of a server are never used."""
        entries = make_entries(groups=[GroupLimits("orders", 9, True)])
        few, many, other = (
            BackendServer(name, group, ("127.0.0.1", 1), "a", slots, False, False, 0, 0)
            for name, group, slots in (
                ("s-1", "orders", 9),
                ("s-2", "orders", 12),
                ("s-3", "bills", 20),
            )
        )
        self.assertEqual(catalog_checks.check_slots(entries, [few, other]), [])
        (finding,) = catalog_checks.check_slots(entries, [many, few, other])
        self.assertEqual(
            (finding.severity, finding.place), (Severity.WARNING, "services[0]")
        )
        self.assertIn("9 connections are fewer than the 12 slots", finding.problem)

    def test_limits_of_tenants(self):
        """Guards against limits with which a tenant is never served."""
        for limits, severity, text in (
            ({"rate": 5.0, "burst": 0.5}, Severity.ERROR, "no operation can ever"),
            ({"rate": 0.0, "burst": 5.0}, Severity.WARNING, "its rate is 0"),
            ({"burst": 5.0}, Severity.WARNING, "the burst is ignored"),
            ({"rate": -1.0}, Severity.ERROR, "the rate is -1"),
        ):
            with self.subTest(limits=limits):
                entries = make_entries(tenants=[make_tenant(**limits)])
                self.assert_finding(entries, severity, "tenants[0]", text)

    def test_priorities(self):
        """Guards against a priority that no proxy ranks."""
        for priority in (-1, 10):
            entries = make_entries([make_route(priority=priority)])
            self.assert_error(entries, "routes[0]", f"priority is {priority}")
            entries = make_entries(tenants=[make_tenant(priority=priority)])
            self.assert_error(entries, "tenants[0]", f"priority is {priority}")

    def test_sorted_findings(self):
        """Guards against an output in which the tenth entry precedes the second."""
        findings = [
            CatalogFinding(Severity.ERROR, place, "x")
            for place in ("version", "routes[10]", "routes[2]", "limits")
        ]
        self.assertEqual(
            [finding.place for finding in catalog_checks.sort_findings(findings)],
            ["limits", "routes[2]", "routes[10]", "version"],
        )
