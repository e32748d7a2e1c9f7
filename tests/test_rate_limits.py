"""Tests of ``cassiahill.rate_limits``, with the load that its decision is meant for."""

import math
import unittest

from cassiahill import rate_limits
from cassiahill.rate_shares import LENT_SECONDS, PROMISE_SECONDS
from tests.rate_fleet import TOLERANCE, RateFleet, directory
from tests.rate_load import RateLoad

LARGEST = "tenant-1"


def admit_all(limits, tenant_name, now):
    """Return how many operations are admitted at an instant."""
    count = 0
    while limits.admit(tenant_name, now):
        count += 1
    return count


def single_proxy(tolerance=TOLERANCE, **limits_by_name):
    """Return the limits of the only owner, which was started at 0."""
    limits = rate_limits.RateLimits("p1", tolerance, 0.0)
    limits.install(directory(**limits_by_name), 0.0)
    limits.set_owners(["p1"], 0.0)
    return limits


class TokenBucketTest(unittest.TestCase):
    def test_tokens_do_not_exceed_the_capacity(self):
        """Guards against a burst that grows while a tenant is idle."""
        bucket = rate_limits.TokenBucket(0.0, 10.0)
        bucket.advance(5.0, 3.0, 1000.0)
        self.assertEqual(bucket.tokens, 3.0)
        bucket.advance(5.0, 1.0, 1000.0)
        self.assertEqual(bucket.tokens, 1.0)

    def test_time_that_runs_backwards_adds_nothing(self):
        """Guards against tokens for the same time twice."""
        bucket = rate_limits.TokenBucket(0.0, 10.0)
        bucket.advance(1.0, 5.0, 9.0)
        bucket.advance(1.0, 5.0, 10.0)
        self.assertEqual(bucket.tokens, 0.0)


class RateLimitsTest(unittest.TestCase):
    def test_without_a_limit_all_is_admitted(self):
        """Guards against refusals of a tenant that has no limit, or of no tenant."""
        limits = single_proxy(acme=(math.inf, math.inf))
        self.assertTrue(all(limits.admit("acme", 0.0) for _ in range(10000)))
        self.assertTrue(limits.admit(None, 0.0))

    def test_limit_without_a_tolerance_is_exact(self):
        """Guards against a tolerance that the settings do not give."""
        limits = single_proxy(rate_limits.RateTolerance(), acme=(10.0, 20.0))
        at = PROMISE_SECONDS + 100.0
        self.assertEqual(admit_all(limits, "acme", at), 20)
        self.assertEqual(admit_all(limits, "acme", at + 1.0), 10)

    def test_nothing_is_admitted_by_a_part_that_may_be_lent(self):
        """Guards against a restart that uses what the former run had given away."""
        limits = single_proxy(rate_limits.RateTolerance(), acme=(10.0, 20.0))
        self.assertEqual(admit_all(limits, "acme", 0.9 * PROMISE_SECONDS), 0)

    def test_proxy_that_owns_nothing_has_no_part(self):
        """Guards against more parts than owners."""
        limits = single_proxy(acme=(10.0, 20.0))
        limits.set_owners(["p2", "p3"], 0.0)
        self.assertEqual(admit_all(limits, "acme", 1000.0), 0)

    def test_lowered_limit_drops_tokens(self):
        """Guards against a burst of the former limit after it was lowered."""
        limits = single_proxy(rate_limits.RateTolerance(), acme=(100.0, 100.0))
        self.assertTrue(limits.admit("acme", 100.0))
        limits.install(directory(acme=(1.0, 2.0)), 101.0)
        self.assertEqual(admit_all(limits, "acme", 101.0), 2)

    def test_raised_limit_adds_no_tokens_at_once(self):
        """Guards against a burst with each change of the limit."""
        limits = single_proxy(rate_limits.RateTolerance(), acme=(10.0, 10.0))
        admit_all(limits, "acme", 100.0)
        limits.install(directory(acme=(10.0, 1000.0)), 100.0)
        self.assertEqual(admit_all(limits, "acme", 100.0), 0)

    def test_blocked_tenant_is_refused(self):
        """Guards against operations by the tolerance of a tenant with limit 0."""
        limits = single_proxy(acme=(0.0, 0.0))
        self.assertEqual(admit_all(limits, "acme", 1000.0), 0)

    def test_first_operation_where_the_part_is_lent(self):
        """Guards against the refusal of a tenant that was idle at its owners."""
        names = [f"p{number}" for number in range(4)]
        fleet = RateFleet(names, directory(acme=(1.0, 1.0)))
        fleet.elect("p0")
        fleet.learn_promoter_everywhere()
        for _ in range(100):
            fleet.advance(0.1)
        self.assertTrue(fleet.processes["p2"].limits.lease.is_lent(fleet.now))
        self.assertTrue(fleet.admit("p2", "acme"))

    def test_first_operations_of_an_expected_tenant(self):
        """Guards against refusals where the sessions of a tenant are sent.

        Its owners have not reported demand yet, and gave their parts to the pot.
        """
        names = [f"p{number}" for number in range(24)]
        fleet = RateFleet(names, directory(acme=(40.0, 40.0)))
        for name in names[:4]:
            fleet.processes[name].limits.expect_tenants(["acme"], fleet.now)
        fleet.elect("p0")
        fleet.learn_promoter_everywhere()
        for _ in range(150):
            fleet.advance(0.1)
        for name in names[:4]:
            admitted = [fleet.admit(name, "acme") for _ in range(100)]
            # Each may use a quarter of the rate and the burst.
            self.assertGreaterEqual(sum(admitted), 10)
        self.assertLessEqual(fleet.excess("acme"), 0.0)

    def test_expected_tenant_without_a_limit_gets_no_tokens(self):
        """Guards against a first limit that starts with tokens without end."""
        limits = single_proxy(acme=(math.inf, math.inf))
        limits.expect_tenants(["acme"], 10.0)
        limits.install(directory(acme=(10.0, 20.0)), 20.0)
        self.assertLess(admit_all(limits, "acme", 20.0), 100)

    def test_limit_that_is_removed_and_set_again(self):
        """Guards against a bucket whose tokens are no number any more."""
        limits = single_proxy(acme=(10.0, 20.0))
        limits.admit("acme", 10.0)
        limits.install(directory(acme=(math.inf, math.inf)), 11.0)
        limits.set_owners([], 12.0)
        limits.install(directory(acme=(10.0, 20.0)), 13.0)
        self.assertLess(admit_all(limits, "acme", 13.0), 100)

    def test_unused_tenants_are_forgotten(self):
        """Guards against memory and messages that grow with all tenants ever seen."""
        limits = single_proxy(acme=(10.0, 20.0))
        limits.admit("acme", 100.0)
        limits.report("p0", 110.0)
        self.assertIn("acme", limits._uses_by_tenant)
        limits.report("p0", 100.0 + 1.1 * rate_limits.RECENT_USE_SECONDS)
        self.assertNotIn("acme", limits._uses_by_tenant)

    def test_parts_of_the_tolerance(self):
        """Guards against parts that together exceed the tolerance."""
        for rate, burst in ((0.1, 0.1), (1.0, 1.0), (240.0, 240.0), (5.0, 500.0)):
            tenant = directory(acme=(rate, burst)).by_name["acme"]
            limit = rate * TOLERANCE.window_seconds + burst
            allowed = limit * (1.0 + TOLERANCE.excess) + TOLERANCE.slack
            most = rate * TOLERANCE.window_seconds + TOLERANCE.burst_for(tenant)
            self.assertLessEqual(most + TOLERANCE.allowance_for(tenant), allowed)

    def test_dump_names_who_is_refused(self):
        """Guards against a limit whose effect nobody can see."""
        limits = single_proxy(acme=(1.0, 1.0), other=(1.0, 1.0))
        for _ in range(100):
            limits.admit("acme", 50.0)
        dump = limits.dump(50.0)
        self.assertEqual(list(dump["refused_most"]), ["acme"])
        self.assertEqual(dump["admitted"] + dump["refused"], 100)


class LoadTest(unittest.TestCase):
    """Plays the load of ``rate_load`` with 24 owners and 79 tenants."""

    def setUp(self):
        self.load = RateLoad()
        self.names = self.load.fleet.names
        self.load.start(self.names[0], 15.0)

    def assert_windows_hold(self):
        """Check that no window of any tenant exceeds the rule."""
        for name in self.load.traffic_by_tenant:
            self.assertLessEqual(self.load.fleet.excess(name), 0.0, name)

    def assert_little_is_lost(self, total, share=0.005):
        """Check the share of refusals in what is within the limit."""
        self.assertLessEqual(total.lost, share * total.within_limit)

    def test_usual_traffic_is_not_refused(self):
        """Guards against refusals below the limit by shares that miss the demand."""
        self.load.play(40.0)
        self.assert_little_is_lost(self.load.total())
        self.assert_windows_hold()

    def test_flood_of_one_tenant(self):
        """Guards against a flood that passes, or that costs the others or itself."""
        self.load.flooding = LARGEST
        self.load.play(15.0)
        tenant = self.load.fleet.tenants.by_name[LARGEST]
        flooding = self.load.outcomes[LARGEST]
        self.assertGreaterEqual(
            flooding.admitted, 0.9 * (tenant.rate * 15.0 + tenant.burst)
        )
        self.assertGreater(flooding.offered, 3 * flooding.admitted)
        others = self.load.total(without=(LARGEST,))
        self.assert_little_is_lost(others, share=0.01)
        self.assert_windows_hold()

    def test_promoter_is_killed(self):
        """Guards against shares that end before the next promoter takes them over.

        The former one starts again 2.5 s later, when the next one is known.
        """
        former = self.load.fleet.processes[self.names[0]]
        former.suspended = True
        self.load.play(2.0)
        self.load.fleet.elect(self.names[1])
        self.load.fleet.learn_promoter_everywhere()
        self.load.play(0.5)
        self.load.fleet.restart(self.names[0])
        self.load.play(12.5)
        total = self.load.total()
        own_share = 2.5 / 15.0 / len(self.names)
        self.assert_little_is_lost(total, share=own_share + 0.02)
        self.assert_windows_hold()

    def test_all_processes_are_killed(self):
        """Guards against buckets that are full again after a start, and a long wait.

        All shares are lent again before the static parts may be used.
        """
        self.load.flooding = LARGEST
        self.load.play(5.0)
        for name in self.names:
            self.load.fleet.restart(name)
        self.load.start(self.names[2], 2.0)
        self.load.flooding = None
        self.load.play(5.0)
        self.assert_little_is_lost(self.load.total(), share=0.1)
        self.assert_windows_hold()

    def test_limit_is_lowered(self):
        """Guards against windows by the former limit, and a new one that is missed."""
        self.load.fleet.install(self.load.tenants(**{LARGEST: 0.1}))
        self.load.play(20.0)
        tenant = self.load.fleet.tenants.by_name[LARGEST]
        self.assertGreaterEqual(
            self.load.outcomes[LARGEST].admitted, 0.9 * 20.0 * tenant.rate
        )
        self.assert_windows_hold()

    def test_promoter_stays_away(self):
        """Guards against refusals of everything when nobody lends.

        The static parts are used once the loans and the promises have ended.
        """
        self.load.fleet.newest_promoter = None
        self.load.fleet.learn_promoter_everywhere()
        self.load.play(LENT_SECONDS + 1.0)
        self.load.forget_outcomes()
        self.load.play(10.0)
        largest = self.load.outcomes[LARGEST]
        self.assertGreaterEqual(largest.admitted, 0.9 * largest.within_limit)
        self.assert_windows_hold()


if __name__ == "__main__":
    unittest.main()
