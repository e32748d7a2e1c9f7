"""Tests of ``cassiahill.swim``."""

import unittest

from cassiahill import swim


class UpdateQueueTest(unittest.TestCase):
    def test_retransmission_is_bounded_and_fair(self):
        """Guards against updates that are sent forever or never."""
        members = {
            f"p{number}": swim.Member(f"p{number}", ("10.0.0.1", number), "d")
            for number in range(40)
        }
        queue = swim.UpdateQueue()
        for name in members:
            queue.add(name, 40)
        sent_names = []
        for _ in range(3):
            sent_names += [member.name for member in queue.fill_message([], members)]
        self.assertEqual(set(sent_names), set(members))
        while queue:
            sent_names += [member.name for member in queue.fill_message([], members)]
        self.assertEqual({sent_names.count(name) for name in members}, {18})


class HostListFilterTest(unittest.TestCase):
    def test_host_that_is_not_listed_yet_is_kept(self):
        """Guards against the removal of new members because the host list lags."""
        first_list = swim.HostList(frozenset({"a", "b", "c"}))
        host_filter = swim.HostListFilter()
        self.assertEqual(
            host_filter.process_reading(first_list, {"a", "b", "c", "new"}), set()
        )
        shorter_list = swim.HostList(frozenset({"a", "b"}))
        self.assertEqual(
            host_filter.process_reading(shorter_list, {"a", "b", "c", "new"}), {"c"}
        )
