"""Tests of how a large fleet in memory notices that a failure domain is cut off."""

import random
import unittest

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


if __name__ == "__main__":
    unittest.main()
