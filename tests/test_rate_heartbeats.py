"""Tests of the exchange of rate shares on heartbeats between proxies."""

import unittest

import msgspec

from cassiahill import heartbeats
from tests.memory_fleet import MemoryFleet
from tests.rate_fleet import directory

OWNER_COUNT = 6


class RateHeartbeatsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = MemoryFleet(OWNER_COUNT, domain_count=3, connected_share=1.1)
        self.fleet.loop.advance(6.0)
        self.names = sorted(self.fleet.processes_by_name)
        for process in self.fleet.processes_by_name.values():
            self.install_limits(process)

    def install_limits(self, process):
        """Give a process the tenants and the owners."""
        now = self.fleet.loop.clock.now()
        process.rate_limits.install(directory(acme=(60.0, 60.0)), now)
        process.rate_limits.set_owners(self.names, now)

    def use(self, name, seconds):
        """Start operations at one proxy for a while; return how many it admits."""
        limits = self.fleet.processes_by_name[name].rate_limits
        admitted_before = limits.admitted_count
        for _ in range(round(seconds / 0.02)):
            self.fleet.loop.advance(0.02)
            limits.admit("acme", self.fleet.loop.clock.now())
        return limits.admitted_count - admitted_before

    def promoter(self):
        """Return the name of the promoter."""
        return next(
            name
            for name, process in self.fleet.processes_by_name.items()
            if process.fleet.election.is_promoter
        )

    def test_one_proxy_is_lent_the_whole(self):
        """Guards against heartbeats that do not carry demand and shares.

        The proxy is asked for 50 operations per second, of which its own part is 10.
        """
        promoter = self.promoter()
        other = next(name for name in self.names if name != promoter)
        for name in (promoter, other):
            self.use(name, 6.0)
            self.assertGreaterEqual(self.use(name, 4.0), 0.9 * 4.0 * 50.0, name)

    def test_next_promoter_takes_over(self):
        """Guards against a change of the promoter after which nobody lends.

        The former one is restarted after 3 s, when the next one is elected.
        """
        promoter = self.promoter()
        other = next(name for name in self.names if name != promoter)
        self.use(other, 6.0)
        self.fleet.silent_names.add(promoter)
        self.use(other, 3.0)
        self.fleet.silent_names.discard(promoter)
        members = self.fleet.processes_by_name[other].fleet.members_by_name
        domain = members[promoter].failure_domain
        self.fleet.start(promoter, domain, connected=True)
        self.install_limits(self.fleet.processes_by_name[promoter])
        election = self.fleet.processes_by_name[other].fleet.election
        self.assertNotEqual(election.promoter.name, promoter)
        self.assertGreaterEqual(self.use(other, 6.0), 0.9 * 6.0 * 50.0)

    def test_messages_without_tenants_are_unchanged(self):
        """Guards against larger heartbeats in deployments without tenants."""
        heartbeat = heartbeats.Heartbeat("p1", 1, 1)
        self.assertNotIn(b"rate", msgspec.json.encode(heartbeat))
        answer = heartbeats.HeartbeatAnswer(1, 1, True)
        self.assertNotIn(b"rate", msgspec.json.encode(answer))


if __name__ == "__main__":
    unittest.main()
