"""Tests of ``cassiahill.group_owners``."""

import unittest

from cassiahill.group_owners import choose_owners


def fleet(count):
    """Return the failure domains of ``count`` proxies in three domains."""
    return {f"proxy-{n}": f"domain-{n % 3}" for n in range(count)}


class OwnersTest(unittest.TestCase):
    def test_small_fleets_need_no_hop(self):
        """Guards against a hop where each proxy can keep a connection."""
        self.assertTrue(choose_owners("orders", fleet(8), 23).direct)
        self.assertTrue(choose_owners("orders", fleet(11), 23).direct)

    def test_shares_of_all_owners_fit_the_limit(self):
        """Guards against proxies that get no connection because others keep all."""
        for count in (1, 8, 30, 88, 300, 4200):
            for limit in (1, 5, 23, 46, 166):
                owners = choose_owners("orders", fleet(count), limit)
                if limit >= 6:
                    self.assertLessEqual(owners.total, limit, (count, limit))

    def test_each_domain_has_owners(self):
        """Guards against a domain that cannot serve while it is cut off."""
        owners = choose_owners("orders", fleet(88), 46)
        self.assertFalse(owners.direct)
        for domain in ("domain-0", "domain-1", "domain-2"):
            names = owners.proxy_names_by_domain[domain][: owners.owners_per_domain]
            self.assertTrue(all(owners.includes(name, domain) for name in names))

    def test_groups_have_different_owners(self):
        """Guards against one proxy that serves all groups."""
        sets = {
            tuple(
                choose_owners(f"group-{n}", fleet(88), 46).relay_candidates(
                    "domain-0", 0
                )
            )
            for n in range(4)
        }
        self.assertEqual(len(sets), 4)

    def test_own_domain_first_then_the_others(self):
        """Guards against sessions that cross domains without need, or fail with one."""
        owners = choose_owners("orders", fleet(88), 46)
        domains = [fleet(88)[name] for name in owners.relay_candidates("domain-1", 7)]
        self.assertEqual(domains[0], "domain-1")
        self.assertEqual(set(domains), {"domain-0", "domain-1", "domain-2"})

    def test_sessions_spread_over_the_owners_of_a_domain(self):
        """Guards against one owner that gets the sessions of all proxies."""
        owners = choose_owners("orders", fleet(300), 166)
        first = {owners.relay_candidates("domain-0", turn)[0] for turn in range(60)}
        self.assertEqual(len(first), owners.owners_per_domain)

    def test_loss_of_one_proxy_moves_few_groups(self):
        """Guards against all sessions that move when one proxy goes."""
        before = fleet(88)
        after = {name: domain for name, domain in before.items() if name != "proxy-3"}
        for n in range(20):
            old = choose_owners(f"group-{n}", before, 46).proxy_names_by_domain[
                "domain-0"
            ]
            new = choose_owners(f"group-{n}", after, 46).proxy_names_by_domain[
                "domain-0"
            ]
            self.assertEqual([one for one in old if one != "proxy-3"], new)


if __name__ == "__main__":
    unittest.main()
