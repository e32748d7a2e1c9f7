"""Tests of how a large fleet in memory notices that a failure domain is cut off."""

import random
import unittest

from cassiahill.promoter_election import PROMOTER_TIMEOUT_SECONDS
from cassiahill.session_fleet import HEARTBEAT_INTERVAL_SECONDS
from tests.memory_fleet import MemoryFleet

# A balancer that asks once a second takes a proxy out after two refusals. A proxy that
# notices later than this costs its clients another second.
NOTICE_SECONDS = 1.5


class PartitionTest(unittest.TestCase):
    def setUp(self):
        self.fleet = MemoryFleet(60, connected_share=0.0)
        self.fleet.loop.advance(10.0)

    def partitioned_names(self):
        """Return the processes that take themselves for partitioned."""
        now = self.fleet.loop.clock.now()
        return {
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.fleet.peers_indicate_partition(now)
        }

    def names_of(self, domain):
        return {
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.fleet._own_member.failure_domain == domain
        }

    def test_each_proxy_of_a_cut_domain_notices(self):
        """Guards against one proxy that stays ready in a domain that is cut off.

        The balancer then goes on to send the clients of the domain to all its proxies.
        """
        self.fleet.cut_domain = "domain-2"
        self.fleet.loop.advance(NOTICE_SECONDS)
        self.assertEqual(self.partitioned_names(), self.names_of("domain-2"))
        for _ in range(30):
            self.fleet.loop.advance(0.1)
            self.assertEqual(self.partitioned_names(), self.names_of("domain-2"))
        self.fleet.cut_domain = None
        self.fleet.loop.advance(NOTICE_SECONDS)
        self.assertEqual(self.partitioned_names(), set())

    def test_restarts_are_no_partition(self):
        """Guards against proxies that send their clients away during a roll."""
        rng = random.Random(2)
        names = sorted(self.fleet.processes_by_name)
        for _ in range(60):
            self.fleet.silent_names = set(rng.sample(names, 4))
            self.fleet.loop.advance(1.0)
            self.assertLessEqual(self.partitioned_names(), self.fleet.silent_names)

    def test_suspended_process_takes_nobody_for_cut_off(self):
        """Guards against a process that wakes and sees only unanswered messages."""
        now = self.fleet.loop.clock.now()
        contacts = self.fleet.processes_by_name["proxy-0"].fleet.peer_contacts
        contacts.record("domain-1", False, now)
        contacts.restart(now + 30.0)
        self.assertFalse(contacts.is_partitioned(now + 30.1))


class PromoterInCutDomainTest(unittest.TestCase):
    def setUp(self):
        self.fleet = MemoryFleet(60)
        self.fleet.loop.advance(10.0)
        self.old = self.only_promoter()

    def only_promoter(self):
        (promoter,) = [
            process
            for process in self.fleet.processes_by_name.values()
            if process.fleet.election.is_promoter
        ]
        return promoter

    def successors(self):
        return [
            process
            for process in self.fleet.processes_by_name.values()
            if process.fleet.election.is_successor
        ]

    def test_one_successor_in_another_domain(self):
        """Guards against a successor that is lost together with the promoter."""
        (successor,) = self.successors()
        domains = {
            process.fleet._own_member.failure_domain
            for process in (successor, self.old)
        }
        self.assertEqual(len(domains), 2)

    def test_successor_takes_over_from_a_cut_domain(self):
        """Guards against a group without a primary while many wait for their turn.

        Proxies that cannot claim the role had the first turns.
        """
        (successor,) = self.successors()
        old_token = self.old.fleet.election.next_token()
        domain = self.old.fleet._own_member.failure_domain
        self.fleet.cut_domain = domain
        self.fleet.storeless_names = {
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.fleet._own_member.failure_domain == domain
        }
        limit = PROMOTER_TIMEOUT_SECONDS + 2 * HEARTBEAT_INTERVAL_SECONDS
        self.fleet.loop.advance(limit)
        self.assertTrue(successor.fleet.election.is_promoter)
        self.assertGreater(successor.fleet.election.next_token(), old_token)
        self.fleet.cut_domain = None
        self.fleet.storeless_names = set()
        self.fleet.loop.advance(3.0)
        self.assertIs(self.only_promoter(), successor)


if __name__ == "__main__":
    unittest.main()
