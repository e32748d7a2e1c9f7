"""Tests of ``cassiahill.list_completeness``, alone and in processes in memory."""

import math
import unittest

from cassiahill.catalog import REMOVAL_DELAY_SECONDS
from cassiahill.list_completeness import ListCompleteness
from tests.memory_fleet import MemoryFleet


class ListCompletenessTest(unittest.TestCase):
    def setUp(self):
        self.completeness = ListCompleteness()

    def answer(self, at, era=1):
        """Record an answer that takes 10 ms; return whether the list is complete."""
        self.completeness.record_answer(at - 0.01, at, era)
        return self.completeness.is_complete

    def test_first_answers_are_not_enough(self):
        """Guards against reliance on a list in which entries may still be missing."""
        self.assertEqual(self.completeness.complete_at, math.inf)
        self.assertFalse(self.answer(10.0))
        self.assertFalse(self.answer(10.0 + REMOVAL_DELAY_SECONDS))
        self.assertTrue(self.answer(10.1 + REMOVAL_DELAY_SECONDS))

    def test_answer_to_an_early_question_is_not_enough(self):
        """Guards against a watch that began before the entries were back."""
        self.answer(10.0)
        self.completeness.record_answer(10.2, 30.0, 1)
        self.assertFalse(self.completeness.is_complete)

    def test_outage_begins_the_wait_again(self):
        """Guards against entries that expire in a second outage."""
        self.answer(10.0)
        self.completeness.record_failure()
        self.assertEqual(self.completeness.complete_at, math.inf)
        self.assertFalse(self.answer(20.0))
        self.assertFalse(self.answer(20.5))
        self.assertTrue(self.answer(23.0))

    def test_restored_store_begins_the_wait_again(self):
        """Guards against entries that an older copy of the store does not have."""
        self.answer(10.0)
        self.assertFalse(self.answer(13.0, era=2))
        self.assertTrue(self.answer(16.0, era=2))

    def test_complete_list_stays_complete(self):
        """Guards against waits for what a running process keeps by itself."""
        self.answer(10.0)
        self.answer(13.0)
        self.completeness.record_failure()
        self.assertTrue(self.answer(20.0, era=2))


class StartedProcessTest(unittest.TestCase):
    def start_process(self, store_answers):
        """Start a process beside others; return its feed and the fleet after 1 s."""
        fleet = MemoryFleet(3, 3)
        fleet.loop.advance(10.0)
        if not store_answers:
            fleet.storeless_names.add("proxy-3")
        fleet.seed_addresses = (("proxy-0", 1),)
        fleet.start("proxy-3", "domain-0")
        fleet.loop.advance(1.0)
        return fleet.processes_by_name["proxy-3"].feed, fleet

    def update(self, feed, fleet):
        """Ask the store for the present list of servers."""
        deadline = fleet.loop.clock.now() + 0.5
        return fleet.loop.result(feed.update_servers(deadline))

    def test_answers_of_the_store_complete_the_list(self):
        """Guards against a promoter that waits for ever, or not at all."""
        feed, fleet = self.start_process(store_answers=True)
        self.assertTrue(self.update(feed, fleet))
        self.assertFalse(feed.completeness.is_complete)
        fleet.loop.advance(REMOVAL_DELAY_SECONDS)
        self.assertTrue(self.update(feed, fleet))
        self.assertTrue(feed.completeness.is_complete)

    def test_list_of_a_peer_is_not_complete(self):
        """Guards against a list of a peer that has just started too."""
        feed, fleet = self.start_process(store_answers=False)
        fleet.loop.advance(10.0)
        self.assertIn("a", feed._catalog.servers_by_id)
        self.assertFalse(self.update(feed, fleet))
        self.assertFalse(feed.completeness.is_complete)


if __name__ == "__main__":
    unittest.main()
