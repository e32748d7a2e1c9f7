"""Tests of ``cassiahill.group_owners``."""

import unittest

from cassiahill.group_owners import choose_owners
from tests import region_builders


def domains_of_fleet(count):
    """Return the failure domains of ``count`` proxies in three domains."""
    return {f"proxy-{number}": f"domain-{number % 3}" for number in range(count)}


class OwnersTest(unittest.TestCase):
    def test_small_fleets_relay_no_sessions(self):
        """Guards against relays where each proxy can keep a connection."""
        self.assertTrue(
            choose_owners("orders", domains_of_fleet(8), 23).every_proxy_serves
        )
        self.assertTrue(
            choose_owners("orders", domains_of_fleet(11), 23).every_proxy_serves
        )

    def test_number_of_owners_fits_the_connection_limit(self):
        """Guards against proxies without a connection because others keep all."""
        for count in (1, 8, 30, 88, 300, 4200):
            for limit in (1, 5, 23, 46, 166):
                owners = choose_owners("orders", domains_of_fleet(count), limit)
                if limit >= 6:
                    self.assertLessEqual(
                        owners.connected_proxy_count, limit, (count, limit)
                    )

    def test_each_domain_has_owners(self):
        """Guards against a failure domain that cannot serve while it is partitioned."""
        owners = choose_owners("orders", domains_of_fleet(88), 46)
        self.assertFalse(owners.every_proxy_serves)
        for domain in ("domain-0", "domain-1", "domain-2"):
            names = owners.proxy_names_by_domain[domain][: owners.owners_per_domain]
            self.assertTrue(all(owners.includes_proxy(name, domain) for name in names))

    def test_groups_have_different_owners(self):
        """Guards against one proxy that serves all groups."""
        owner_names = {
            tuple(
                choose_owners(
                    f"group-{number}", domains_of_fleet(88), 46
                ).relay_candidates("domain-0", 0)
            )
            for number in range(4)
        }
        self.assertEqual(len(owner_names), 4)

    def test_own_domain_first_then_the_others(self):
        """Guards against needless relays to other domains, and a lack of backups."""
        owners = choose_owners("orders", domains_of_fleet(88), 46)
        domains = [
            domains_of_fleet(88)[name]
            for name in owners.relay_candidates("domain-1", 7)
        ]
        self.assertEqual(domains[0], "domain-1")
        self.assertEqual(set(domains), {"domain-0", "domain-1", "domain-2"})

    def test_sessions_spread_over_the_owners_of_a_domain(self):
        """Guards against one owner that gets the sessions of all proxies."""
        owners = choose_owners("orders", domains_of_fleet(300), 166)
        first_candidates = {
            owners.relay_candidates("domain-0", session_number)[0]
            for session_number in range(60)
        }
        self.assertEqual(len(first_candidates), owners.owners_per_domain)

    def test_loss_of_one_proxy_moves_few_groups(self):
        """Guards against a move of all sessions when one proxy leaves."""
        before = domains_of_fleet(88)
        after = {name: domain for name, domain in before.items() if name != "proxy-3"}
        for number in range(20):
            old = choose_owners(f"group-{number}", before, 46).proxy_names_by_domain[
                "domain-0"
            ]
            new = choose_owners(f"group-{number}", after, 46).proxy_names_by_domain[
                "domain-0"
            ]
            self.assertEqual([name for name in old if name != "proxy-3"], new)


class OwnersOfRegionsTest(unittest.TestCase):
    def choose(self, count=66, limit=200):
        """Return the owners of a group in two regions with three domains each."""
        return choose_owners(
            "orders",
            region_builders.domains_of_fleet(count),
            limit,
            region_builders.REGION_BY_DOMAIN,
        )

    def test_fewer_owners_probe_across_the_regions(self):
        """Guards against a link between regions that is full of probes."""
        without_regions = choose_owners(
            "orders", region_builders.domains_of_fleet(66), 200
        )
        self.assertEqual(without_regions.connected_proxy_count, 12)
        self.assertEqual(self.choose().connected_proxy_count, 6)

    def test_each_domain_keeps_an_owner(self):
        """Guards against a region that cannot serve after the loss of one domain."""
        owners = self.choose()
        for domain, names in owners.proxy_names_by_domain.items():
            self.assertTrue(owners.includes_proxy(names[0], domain))

    def test_region_with_a_single_domain_keeps_two_owners(self):
        """Guards against a region without an owner while its only one restarts."""
        domains_by_name = {f"proxy-{number}": "ab"[number % 2] for number in range(66)}
        owners = choose_owners(
            "orders", domains_by_name, 200, {"a": "north", "b": "south"}
        )
        self.assertEqual(owners.owners_per_domain, 2)

    def test_domain_without_a_region_changes_nothing(self):
        """Guards against proxies that disagree about the owners."""
        region_by_domain = dict(region_builders.REGION_BY_DOMAIN)
        del region_by_domain["south-c"]
        owners = choose_owners(
            "orders", region_builders.domains_of_fleet(66), 200, region_by_domain
        )
        self.assertEqual(owners.owners_per_domain, 2)

    def test_own_region_before_the_other(self):
        """Guards against relays across while the own region has an owner."""
        domains_by_name = region_builders.domains_of_fleet(66)
        names = self.choose().relay_candidates(
            "south-b", 0, region_builders.regions_seen_from("south-b")
        )
        domains = [domains_by_name[name] for name in names]
        self.assertEqual(domains[0], "south-b")
        self.assertEqual(set(domains[:6]), {"south-a", "south-b", "south-c"})
        self.assertEqual(set(domains[6:]), {"north-a", "north-b", "north-c"})

    def test_sessions_spread_over_the_owners_of_the_other_region(self):
        """Guards against one owner that gets all sessions which need the primary."""
        regions = region_builders.regions_seen_from("south-b")
        owners = self.choose()
        first_names = {
            owners.owners_in_region("north", number, regions)[0] for number in range(30)
        }
        self.assertEqual(len(first_names), 3)


if __name__ == "__main__":
    unittest.main()
