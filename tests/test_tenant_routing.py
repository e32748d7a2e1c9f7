"""Tests of ``cassiahill.tenant_routing`` and of the routing by it."""

import collections
import math
import types
import unittest

from cassiahill import session_owners
from cassiahill.group_owners import choose_owners
from cassiahill.tenant_routing import TenantOwners, large_tenants
from cassiahill.tenants import Tenant, TenantDirectory
from tests.stepped_loop import SteppedLoop

DOMAINS_BY_NAME = {f"host-{number}": f"domain-{number % 3}" for number in range(74)}
LARGE_RATE, SMALL_RATE = 100.0, 1.0


def make_directory(small_count=78):
    """Return one large tenant and many small ones."""
    tenants = [Tenant("large", frozenset(), LARGE_RATE)]
    tenants += [
        Tenant(f"small-{number}", frozenset(), SMALL_RATE)
        for number in range(small_count)
    ]
    return TenantDirectory.from_tenants(tenants)


def make_tenant_owners(domains_by_name=None, directory=None):
    """Return the ``TenantOwners`` of a group of a large fleet."""
    owners = choose_owners("orders", domains_by_name or DOMAINS_BY_NAME, 56)
    return TenantOwners.choose("orders", owners, directory or make_directory())


def make_routing(name, partitioned=False, primary_unreachable=False):
    """Return the ``GroupOwnerRouting`` of one proxy of the fleet."""
    members = {
        member_name: types.SimpleNamespace(name=member_name, failure_domain=domain)
        for member_name, domain in DOMAINS_BY_NAME.items()
    }
    routing = session_owners.GroupOwnerRouting(
        SteppedLoop(),
        members[name],
        types.SimpleNamespace(members_by_name=members, members_known=True),
        lambda: True,
        lambda _group: primary_unreachable,
        types.SimpleNamespace(is_partitioned=lambda: partitioned),
    )
    routing.update_owners("orders", 56, make_directory())
    return routing


class LargeTenantsTest(unittest.TestCase):
    def test_large_by_the_share_of_one_owner(self):
        """Guards against an owner that is busy with one tenant alone."""
        self.assertEqual(large_tenants(make_directory(), 6), {"large"})

    def test_tenants_without_a_limit_are_large(self):
        """Guards against a tenant of any load on one owner."""
        directory = TenantDirectory.from_tenants(
            [Tenant("free", frozenset()), Tenant("limited", frozenset(), 1.0)]
        )
        self.assertIn("free", large_tenants(directory, 6))
        self.assertTrue(math.isinf(directory.by_name["free"].rate))


class TenantOwnersTest(unittest.TestCase):
    def test_all_proxies_agree_on_the_first_two(self):
        """Guards against connections of a small tenant at several owners."""
        tenant_owners = make_tenant_owners()
        for number in range(78):
            first_two = {
                tuple(tenant_owners.owner_names(f"small-{number}", domain)[:2])
                for domain in ("domain-0", "domain-1", "domain-2")
            }
            self.assertEqual(len(first_two), 1)

    def test_own_domain_within_the_tried_owners(self):
        """Guards against a cut failure domain that reaches no owner of its own."""
        tenant_owners = make_tenant_owners()
        for number in range(78):
            for domain in ("domain-0", "domain-1", "domain-2"):
                names = tenant_owners.owner_names(f"small-{number}", domain)
                domains = [DOMAINS_BY_NAME[name] for name in names]
                self.assertLess(domains.index(domain), 3)
                names = tenant_owners.owner_names(f"small-{number}", domain, True)
                self.assertEqual(DOMAINS_BY_NAME[names[0]], domain)

    def test_small_tenants_spread_over_all_owners(self):
        """Guards against one owner that serves most of the small tenants."""
        tenant_owners = make_tenant_owners()
        counts = collections.Counter(
            tenant_owners.owner_names(f"small-{number}", "domain-0")[0]
            for number in range(78)
        )
        self.assertEqual(len(counts), 6)
        self.assertLess(max(counts.values()), 78 / 2)

    def test_loss_of_an_owner_moves_only_its_tenants(self):
        """Guards against connections of all tenants that move at once."""
        before = make_tenant_owners()
        lost = before.owner_names("small-0", "domain-0")[0]
        after = make_tenant_owners(
            {name: domain for name, domain in DOMAINS_BY_NAME.items() if name != lost}
        )
        new_owner_names = set(after.owner_names("small-0", "domain-0")) - set(
            before.owner_names("small-0", "domain-0")
        )
        for number in range(78):
            old = before.owner_names(f"small-{number}", "domain-0")[0]
            new = after.owner_names(f"small-{number}", "domain-0")[0]
            self.assertTrue(old in {new, lost} or new in new_owner_names)


class RoutingByTenantTest(unittest.TestCase):
    def test_one_proxy_serves_a_small_tenant(self):
        """Guards against two owners that both serve a small tenant, or none."""
        routings = [make_routing(name) for name in DOMAINS_BY_NAME]
        for tenant, expected_count in (("small-1", 1), ("small-2", 1), ("large", 6)):
            serving = [
                routing
                for routing in routings
                if routing.serves_group("orders", tenant)
            ]
            self.assertEqual(len(serving), expected_count, tenant)

    def test_relays_go_to_the_tenants_owner(self):
        """Guards against a session that is relayed to another owner first."""
        owner_names = make_tenant_owners().owner_names("small-1", "domain-0")
        for name in DOMAINS_BY_NAME:
            if name != owner_names[0]:
                targets = make_routing(name).relay_targets("orders", "small-1")
                self.assertEqual(targets[0].name, owner_names[0])

    def test_first_owners_of_all_groups_are_ranked_first(self):
        """Guards against an allowance of operations at owners that serve others."""
        routing = make_routing("host-0")
        routing.update_owners("stock", 56, make_directory())
        first_names = {
            TenantOwners.choose(
                group, choose_owners(group, DOMAINS_BY_NAME, 56), make_directory()
            ).rank("small-1")[0]
            for group in ("orders", "stock")
        }
        ranked = routing.rank_owners("small-1")
        self.assertEqual(set(ranked[: len(first_names)]), first_names)

    def test_added_tenant_is_sent_to_an_owner(self):
        """Guards against tenants that are expected nowhere because owners stay."""
        routings = [make_routing(name) for name in DOMAINS_BY_NAME]
        for routing in routings:
            routing.tenants_sent_here(make_directory())
        directory = make_directory(79)
        for routing in routings:
            routing.update_owners("orders", 56, directory)
        self.assertEqual(
            sum(
                "small-78" in routing.tenants_sent_here(directory)
                for routing in routings
            ),
            1,
        )

    def test_group_and_tenants_that_leave_together(self):
        """Guards against a proxy that fails on a configuration without tenants."""
        routing = make_routing("host-0")
        routing.update_owners("stock", 56, None)
        self.assertEqual(routing.tenants_sent_here(None), frozenset())
        self.assertEqual(len(routing.names_of_all_owners(["stock"])), 6)

    def test_next_owner_serves_when_the_first_does_not_answer(self):
        """Guards against a session without an owner while another one could serve."""
        owner_names = make_tenant_owners().owner_names("small-1", "domain-0")
        second = make_routing(owner_names[1])
        self.assertFalse(second.serves_group("orders", "small-1"))
        targets = second.relay_targets("orders", "small-1")
        self.assertEqual([target.name for target in targets], [owner_names[0]])
        second.record_owner_failure("orders", targets[0])
        self.assertEqual(second.relay_targets("orders", "small-1"), [])
        self.assertTrue(second.fall_back_to_local("orders", "small-1"))
        self.assertTrue(second.serves_group("orders", "small-1"))
        others = [f"small-{number}" for number in range(78) if number != 1]
        self.assertFalse(
            all(second.serves_group("orders", tenant) for tenant in others)
        )

    def test_owner_that_does_not_reach_the_primary_relays(self):
        """Guards against sessions at an owner that cannot serve their writes."""
        owner_names = make_tenant_owners().owner_names("small-1", "domain-0")
        routing = make_routing(owner_names[0], primary_unreachable=True)
        self.assertFalse(routing.serves_group("orders", "small-1"))
        targets = routing.relay_targets("orders", "small-1")
        self.assertEqual(targets[0].name, owner_names[1])

    def test_large_tenants_stay_in_the_own_domain(self):
        """Guards against needless relays of large tenants to other domains."""
        for name, domain in DOMAINS_BY_NAME.items():
            routing = make_routing(name)
            if not routing.holds_connections("orders"):
                target = routing.relay_targets("orders", "large")[0]
                self.assertEqual(target.failure_domain, domain)


if __name__ == "__main__":
    unittest.main()
