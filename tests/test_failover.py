"""Tests of ``cassiahill.failover`` on databases in memory and virtual time."""

import random
import unittest
from concurrent.futures import Future
from unittest import mock

from cassiahill import (
    backend_memory,
    clock,
    errors,
    failover,
    freshness,
    loop,
    settings,
)

SERVERS = ("s1", "s2", "s3")
STEP = 0.05  # seconds between polls


class VirtualLoop(loop.EventLoop):
    """Event loop that moves its manual clock to the next timer."""

    def _timeout(self):
        self.clock.advance(super()._timeout() or 0.0)
        return 0


class FailoverDriverTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.loop = VirtualLoop(self.clock)
        self.addCleanup(self.loop.close)
        self.group = backend_memory.MemoryGroup("g", SERVERS, self.clock)
        self.databases = self.group.databases_by_name
        self.isolated = set()
        self.changes = []
        self.claims = []
        self.views = {p: freshness.GroupView("g", SERVERS) for p in ("p1", "p2", "p3")}
        self.drivers = {name: self.make_driver(name) for name in self.views}
        for driver in self.drivers.values():
            driver.set_live_proxies({"p1": "d1", "p2": "d2", "p3": "d3"})
        self.loop.call_soon(self.poll)
        self.run_for(1.0)

    def make_driver(self, name):
        servers = {
            server: settings.ServerSettings(server, "g", ("127.0.0.1", 1), "d", 3, 25)
            for server in SERVERS
        }
        return failover.FailoverDriver(
            self.loop,
            {"g": settings.GroupSettings("g", servers)},
            {s: backend_memory.MemoryBackend(self.group, s) for s in SERVERS},
            {"g": self.views[name]},
            name,
            "d",
            random.Random(name),
            self.claim,
            self.spread,
            self.changes.append,
        )

    def claim(self, group, term, by):
        self.claims.append(by)
        return Future()

    def spread(self, observation):
        for driver in self.drivers.values():
            driver.record_observation(observation)

    def poll(self):
        for name, database in self.databases.items():
            database.primary_unreachable_seconds += STEP
            source = self.databases.get(database.primary)
            if source and source.reachable and source.name not in self.isolated:
                if source.role == "primary" and source.term == database.term:
                    database.primary_unreachable_seconds = 0.0
                self.group.replicate(name, 10)
            for view in self.views.values():
                if database.reachable:
                    view.record_status(database.status(self.clock.now()))
        self.loop.call_at(self.clock.now() + STEP, self.poll)

    def run_for(self, seconds):
        self.loop.call_at(self.clock.now() + seconds, self.loop.stop)
        self.loop._stopping = False
        self.loop.run()

    def test_dead_primary_is_replaced_once_without_the_platform(self):
        """Guards against a group without primary while the platform is down."""
        self.databases["s1"].reachable = False
        self.run_for(2.5)
        self.assertEqual([(c.term, c.primary) for c in self.changes], [(2, "s2")])
        self.assertEqual(self.databases["s3"].primary, "s2")
        self.databases["s1"].reachable = True
        self.run_for(2.0)
        self.assertEqual(self.databases["s1"].primary, "s2")
        self.assertEqual(len(self.changes), 1)

    def test_isolated_primary_is_replaced_but_not_twice(self):
        """Guards against an isolated primary, and against flapping after it."""
        self.isolated.add("s1")
        self.run_for(3.0)
        self.assertEqual([c.primary for c in self.changes], ["s2"])
        self.isolated.add("s2")
        self.run_for(5.0)
        self.assertEqual(len(self.changes), 1)
        self.run_for(8.0)
        self.assertGreater(len(self.changes), 1)

    def test_other_observer_takes_over(self):
        """Guards against a promotion that ends with its promoter."""

        def close_promoter(group, term, by):
            if not self.claims:
                self.drivers[by.split("/")[0]].close()
            return self.claim(group, term, by)

        for driver in self.drivers.values():
            driver.platform_claim = close_promoter
        self.databases["s1"].reachable = False
        self.run_for(3.0)
        self.assertEqual(len(self.claims), 2)
        self.assertEqual(len(self.changes), 1)

    def test_promoter_that_dies_after_raising_the_term(self):
        """Guards against a raised term that stays without primary."""
        promote = backend_memory.MemoryDatabase.promote

        def promote_or_die(database, term, by):
            if term == 2:
                self.drivers[by.split("/")[0]].close()
                raise errors.BackendUnavailable("the promoter died")
            promote(database, term, by)

        with mock.patch.object(
            backend_memory.MemoryDatabase, "promote", promote_or_die
        ):
            self.databases["s1"].reachable = False
            self.run_for(4.0)
        self.assertEqual([(c.term, c.primary) for c in self.changes], [(3, "s2")])

    def test_nothing_happens_to_a_healthy_or_unreachable_group(self):
        """Guards against terms that are raised without a majority."""
        self.run_for(5.0)
        self.databases["s1"].reachable = False
        self.databases["s2"].reachable = False
        self.run_for(5.0)
        self.assertEqual((self.claims, self.databases["s3"].term), ([], 1))

    def test_pause_of_the_process_is_not_silence(self):
        """Guards against a promotion by a process that was stopped for a while."""
        self.clock.advance(30.0)
        self.run_for(3.0)
        self.assertEqual(self.claims, [])

    def test_dump_shows_the_steps(self):
        """Guards against a promotion that operators cannot follow."""
        self.databases["s1"].reachable = False
        self.run_for(2.5)
        dumps = [driver.dump() for driver in self.drivers.values()]
        (steps,) = [
            d["groups"]["g"]["steps"] for d in dumps if d["groups"]["g"]["steps"]
        ]
        text = " ".join(step for _, step in steps)
        for word in ("ClaimInPlatform", "RaiseTerm", "Promote(", "Publish", "Done"):
            self.assertIn(word, text)
