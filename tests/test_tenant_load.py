"""Simulates many tenants at one group and checks whom they cost what."""

import unittest
from unittest import mock

from cassiahill import idle_connections
from tests import broken_connections, tenant_load
from tests.tenant_load import TenantLoad, without_tenant_limits

SECONDS = 16.0  # Past the end of the flood.
SHARE_ON_TARGET = 0.99


def share_on_target(outcomes):
    """Return the fraction of requests that were answered within their target."""
    outcomes = list(outcomes)
    return sum(outcome.on_target for outcome in outcomes) / sum(
        outcome.total for outcome in outcomes
    )


class CalmTenantsTest(unittest.TestCase):
    def test_connections_are_kept_for_their_tenants(self):
        """Guards against connections that are opened again for most requests."""
        load = TenantLoad(1, seconds=SECONDS)
        opened_count = load.run()
        with without_tenant_limits():
            shared_count = TenantLoad(1, one_owner=False, seconds=SECONDS).run()
        self.assertLess(opened_count, 0.5 * shared_count)
        self.assertEqual(load.wrong_tenant_count(), 0)
        self.assertGreaterEqual(
            share_on_target(load.outcomes_by_tenant.values()), SHARE_ON_TARGET
        )


class FloodingTenantTest(unittest.TestCase):
    def test_flood_of_one_tenant_does_not_delay_others(self):
        """Guards against a tenant whose flood takes the others' places."""
        for flooding in ("tenant-1", "tenant-4"):
            load = TenantLoad(2, flooding_tenant=flooding, seconds=SECONDS)
            load.run()
            others = [
                outcome
                for tenant, outcome in load.outcomes_by_tenant.items()
                if tenant != flooding
            ]
            self.assertGreaterEqual(share_on_target(others), SHARE_ON_TARGET, flooding)
            self.assertEqual(load.wrong_tenant_count(), 0)


class BrokenConnectionsTest(unittest.TestCase):
    def test_connections_of_other_tenants_are_found(self):
        """Guards against a check that overlooks statements of the wrong tenant."""
        for broken in (
            broken_connections.SharedConnections,
            broken_connections.RelabelledConnections,
        ):
            with (
                mock.patch.object(idle_connections, "IdleConnections", broken),
                mock.patch.object(tenant_load, "WARM_UP_SECONDS", 1.0),
            ):
                load = TenantLoad(1, seconds=2.0)
                load.run()
            self.assertGreater(load.wrong_tenant_count(), 0, broken.__name__)


if __name__ == "__main__":
    unittest.main()
