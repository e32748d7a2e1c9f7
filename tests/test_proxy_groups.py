"""Tests of ``cassiahill.proxy_groups``."""

import unittest
from unittest import mock

from cassiahill.partition_detector import PartitionDetector
from cassiahill.proxy_groups import GROUP_RECENT_USE_SECONDS, ProxyGroups
from cassiahill.regions import Regions
from tests.line_group import InMemoryDialect
from tests.stepped_loop import SteppedLoop


class ProxyGroupsTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        regions = Regions("domain-a")
        self.partition = PartitionDetector("domain-a", regions)
        self.election = mock.Mock(is_promoter=False, is_successor=False)
        self.fleet = mock.Mock(election=self.election)
        self.on_added = mock.Mock()
        self.groups = ProxyGroups(
            self.loop,
            InMemoryDialect(),
            "proxy-1",
            "domain-a",
            {}.get,
            regions,
            self.partition,
            self.fleet,
            mock.Mock(),
            self.on_added,
        )

    def update_active(self, *owned_names):
        """Update which groups are active."""
        self.groups.update_active(owned_names.__contains__, self.loop.clock.now())

    def test_group_is_added_once_with_the_present_state(self):
        """Guards against a group that takes writes in a partition it does not know."""
        self.partition.partitioned = True
        group = self.groups.get_group("orders")
        self.assertTrue(group.partitioned)
        self.assertIs(self.groups.get_group("orders"), group)
        self.on_added.assert_called_once_with()

    def test_group_is_active_while_it_is_owned_or_used(self):
        """Guards against connections that other proxies need, or that requests lack."""
        self.groups.get_group("fees").last_request_at = self.loop.clock.now()
        self.groups.get_group("orders")
        self.update_active("orders")
        self.assertEqual(self.groups.active_names, ["fees", "orders"])
        self.loop.advance(GROUP_RECENT_USE_SECONDS)
        self.update_active("orders")
        self.assertEqual(self.groups.active_names, ["orders"])
        self.assertEqual(list(self.groups.demand_by_name()), ["orders"])

    def test_successor_watches_all_groups(self):
        """Guards against a new promoter that first has to find the primaries."""
        group = self.groups.get_group("orders")
        self.election.is_successor = True
        self.update_active()
        self.assertTrue(group.active)
        self.assertTrue(group.supervised)
        self.election.is_successor = False
        self.update_active()
        self.assertFalse(group.active)
        self.assertFalse(group.supervised)

    def test_takeovers_start_only_at_a_promoter_within_reach(self):
        """Guards against promotions by a process that is no longer the promoter."""
        with mock.patch("cassiahill.takeover.Takeover") as make_takeover:
            self.groups.get_group("orders")
        takeover = make_takeover.return_value
        self.fleet.reports.primary_unreachable_since.return_value = None
        self.groups.start_due_takeovers(0.0)
        takeover.record_not_promoter.assert_called_once_with()
        self.election.is_promoter = True
        self.partition.partitioned = True
        self.groups.start_due_takeovers(0.0)
        takeover.start_if_needed.assert_not_called()
        self.partition.partitioned = False
        self.groups.start_due_takeovers(0.0)
        takeover.start_if_needed.assert_called_once()
        takeover.record_not_promoter.assert_called_once_with()

    def test_unknown_group_has_no_primary_to_be_unreachable(self):
        """Guards against an error when a route names a group without servers."""
        self.assertFalse(self.groups.is_primary_unreachable("orders"))
        self.assertIsNone(self.groups.primary_domain("orders"))


if __name__ == "__main__":
    unittest.main()
