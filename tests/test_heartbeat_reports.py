"""Tests of ``cassiahill.heartbeat_reports``."""

import unittest

from cassiahill.heartbeat_reports import REPORT_MAX_AGE_SECONDS, HeartbeatReports
from cassiahill.heartbeats import Heartbeat


def heartbeat(name, lacking=(), demand=0.0):
    """Return a heartbeat of a proxy that is connected to one group."""
    return Heartbeat(
        name, 1, 1, list(lacking), ["orders"], demand_by_group={"orders": demand}
    )


class HeartbeatReportsTest(unittest.TestCase):
    def setUp(self):
        self.reports = HeartbeatReports()

    def test_demand_is_summed_with_the_own_one(self):
        """Guards against shares by a sum that leaves out a proxy."""
        self.reports.record(heartbeat("p2", demand=2.0), 10.0)
        self.reports.record(heartbeat("p3", demand=0.5), 10.0)
        self.reports.record(heartbeat("p3", demand=1.0), 10.2)
        self.reports.update({"orders": 4.0}, 10.3)
        self.assertEqual(self.reports.total_demand_by_group, {"orders": 7.0})

    def test_old_heartbeats_do_not_count(self):
        """Guards against the demand and the reports of a proxy that is gone."""
        self.reports.record(heartbeat("p2", ["orders"], 2.0), 10.0)
        self.reports.update({}, 10.1)
        self.assertEqual(self.reports.primary_unreachable_since("orders"), 10.1)
        later = 10.0 + 1.1 * REPORT_MAX_AGE_SECONDS
        self.reports.update({}, later)
        self.assertEqual(self.reports.total_demand_by_group, {})
        self.assertIsNone(self.reports.primary_unreachable_since("orders"))

    def test_few_reports_do_not_count(self):
        """Guards against the promotion of a primary that only one proxy lacks."""
        self.reports.record(heartbeat("p2", ["orders"]), 10.0)
        for number in range(3, 9):
            self.reports.record(heartbeat(f"p{number}"), 10.0)
        self.reports.update({}, 10.1)
        self.assertIsNone(self.reports.primary_unreachable_since("orders"))

    def test_demand_of_each_member(self):
        """Guards against a promotion by the demand of proxies that have gone."""
        self.reports.record(heartbeat("p2", demand=2.0), 10.0)
        self.reports.record(heartbeat("p3", demand=0.5), 10.0 + REPORT_MAX_AGE_SECONDS)
        self.reports.update({}, 10.1 + REPORT_MAX_AGE_SECONDS)
        self.assertEqual(self.reports.demand_by_member("orders"), {"p3": 0.5})
        self.assertEqual(self.reports.demand_by_member("other"), {})


if __name__ == "__main__":
    unittest.main()
