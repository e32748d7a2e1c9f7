"""Tests of ``cassiahill.catalog_difference``."""

import unittest

from cassiahill import catalog_difference
from cassiahill.catalog import GroupLimits
from tests.check_builders import make_entries, make_tenant
from tests.session_builders import make_route
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY


class CatalogDifferenceTest(unittest.TestCase):
    def assert_lines(self, before, after, *lines):
        """Assert the lines that tell the difference between two sets of entries."""
        changes = catalog_difference.compare(
            before.to_configuration(), after.to_configuration()
        )
        self.assertEqual([str(change) for change in changes], list(lines))

    def test_no_difference(self):
        """Guards against differences between equal configurations."""
        entries = make_entries(tenants=[make_tenant()])
        self.assert_lines(entries, entries)

    def test_routes_and_groups(self):
        """Guards against a route that is dropped, or a lowered limit, unnoticed."""
        self.assert_lines(
            make_entries([make_route(), make_route(database="till")]),
            make_entries(
                [make_route(timeout=0.5, public=True), make_route(database="desk")],
                [GroupLimits("orders", 40, False), GroupLimits("bills", 8, True)],
                idle_seconds=2.0,
            ),
            "group 'bills' added",
            "group 'orders' connections: 56 -> 40 (warning: the limit is lowered)",
            "group 'orders' synchronous: True -> False",
            "limits idle_transaction_seconds: 3 -> 2 (warning: the limit is lowered)",
            "route 'desk' added",
            "route 'shop' public: False -> True "
            "(warning: callers need no key any more)",
            "route 'shop' timeout: 0.8 -> 0.5 (warning: the limit is lowered)",
            "route 'till' removed",
        )

    def test_tenants(self):
        """Guards against keys or rates that change unnoticed."""
        self.assert_lines(
            make_entries(tenants=[make_tenant(), make_tenant("west")]),
            make_entries(
                tenants=[
                    make_tenant(keys=[SOUTH_KEY, "third-key"], rate=5.0, burst=9.0),
                    make_tenant("east"),
                ]
            ),
            "tenant 'east' added",
            "tenant 'north' burst: no limit -> 9 (warning: the limit is lowered)",
            "tenant 'north' keys: 1 -> 2 (added 2, removed 1) "
            "(warning: callers with a removed key are refused)",
            "tenant 'north' rate: no limit -> 5 (warning: the limit is lowered)",
            "tenant 'west' removed",
        )

    def test_raised_limits_and_new_keys_have_no_warning(self):
        """Guards against warnings on changes that refuse nobody."""
        self.assert_lines(
            make_entries(tenants=[make_tenant(rate=5.0, burst=9.0)]),
            make_entries(
                tenants=[make_tenant(keys=[NORTH_KEY, SOUTH_KEY], rate=6.0, burst=9.0)]
            ),
            "tenant 'north' keys: 1 -> 2 (added 1, removed 0)",
            "tenant 'north' rate: 5 -> 6",
        )

    def test_tenants_begin_and_end(self):
        """Guards against a deployment that stops asking for keys unnoticed."""
        without = make_entries()
        with_tenants = make_entries(tenants=[])
        self.assert_lines(
            with_tenants,
            without,
            "tenants removed (warning: callers need no key any more)",
        )
        self.assert_lines(
            without,
            with_tenants,
            "tenants added (warning: callers need a key from now on)",
        )
