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
POLL_SECONDS = 0.05


class VirtualLoop(loop.EventLoop):
    """Event loop that advances its manual clock to the next timer."""

    def _selector_timeout_seconds(self):
        self.clock.advance(super()._selector_timeout_seconds() or 0.0)
        return 0


class FailoverDriverTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.loop = VirtualLoop(self.clock)
        self.addCleanup(self.loop.close)
        self.group = backend_memory.MemoryGroup("g", SERVERS, self.clock)
        self.databases = self.group.databases_by_name
        self.isolated_servers = set()
        self.primary_changes = []
        self.claim_calls = []
        self.views = {
            proxy: freshness.GroupView("g", SERVERS) for proxy in ("p1", "p2", "p3")
        }
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
            {
                server: backend_memory.MemoryBackend(self.group, server)
                for server in SERVERS
            },
            {"g": self.views[name]},
            name,
            "d",
            random.Random(name),
            self.claim,
            self.record_at_all_proxies,
            self.primary_changes.append,
        )

    def claim(self, group, term, promotion_id):
        self.claim_calls.append(promotion_id)
        return Future()

    def record_at_all_proxies(self, observation):
        for driver in self.drivers.values():
            driver.record_observation(observation)

    def poll(self):
        for name, database in self.databases.items():
            database.primary_unreachable_seconds += POLL_SECONDS
            source = self.databases.get(database.primary)
            if source and source.reachable and source.name not in self.isolated_servers:
                if source.role == "primary" and source.term == database.term:
                    database.primary_unreachable_seconds = 0.0
                self.group.replicate(name, 10)
            for view in self.views.values():
                if database.reachable:
                    view.record_status(database.status(self.clock.now()))
        self.loop.call_at(self.clock.now() + POLL_SECONDS, self.poll)

    def run_for(self, seconds):
        self.loop.call_at(self.clock.now() + seconds, self.loop.stop)
        self.loop._stopping = False
        self.loop.run()

    def test_failed_primary_is_replaced_once_without_the_platform(self):
        """Guards against a group without a primary while the platform is down."""
        self.databases["s1"].reachable = False
        self.run_for(2.5)
        self.assertEqual(
            [(change.term, change.primary) for change in self.primary_changes],
            [(2, "s2")],
        )
        self.assertEqual(self.databases["s3"].primary, "s2")
        self.databases["s1"].reachable = True
        self.run_for(2.0)
        self.assertEqual(self.databases["s1"].primary, "s2")
        self.assertEqual(len(self.primary_changes), 1)

    def test_isolated_primary_is_replaced_but_not_twice(self):
        """Guards against an isolated primary that stays, and against flapping."""
        self.isolated_servers.add("s1")
        self.run_for(3.0)
        self.assertEqual([change.primary for change in self.primary_changes], ["s2"])
        self.isolated_servers.add("s2")
        self.run_for(5.0)
        self.assertEqual(len(self.primary_changes), 1)
        self.run_for(8.0)
        self.assertGreater(len(self.primary_changes), 1)

    def test_other_observer_starts_another_promotion(self):
        """Guards against a group without a primary after its promoter has stopped."""

        def close_promoter(group, term, promotion_id):
            if not self.claim_calls:
                self.drivers[promotion_id.split("/")[0]].close()
            return self.claim(group, term, promotion_id)

        for driver in self.drivers.values():
            driver.claim_term = close_promoter
        self.databases["s1"].reachable = False
        self.run_for(3.0)
        self.assertEqual(len(self.claim_calls), 2)
        self.assertEqual(len(self.primary_changes), 1)

    def test_promoter_that_stops_after_raising_the_term(self):
        """Guards against a raised term that gets no primary."""
        promote = backend_memory.MemoryDatabase.promote

        def promote_or_fail(database, term, promotion_id):
            if term == 2:
                self.drivers[promotion_id.split("/")[0]].close()
                raise errors.BackendUnavailable("the promoter has stopped")
            promote(database, term, promotion_id)

        with mock.patch.object(
            backend_memory.MemoryDatabase, "promote", promote_or_fail
        ):
            self.databases["s1"].reachable = False
            self.run_for(4.0)
        self.assertEqual(
            [(change.term, change.primary) for change in self.primary_changes],
            [(3, "s2")],
        )

    def test_no_promotion_in_a_healthy_or_unreachable_group(self):
        """Guards against terms that are raised without a majority."""
        self.run_for(5.0)
        self.databases["s1"].reachable = False
        self.databases["s2"].reachable = False
        self.run_for(5.0)
        self.assertEqual((self.claim_calls, self.databases["s3"].term), ([], 1))

    def test_pause_of_the_process_is_not_a_failed_primary(self):
        """Guards against a promotion by a process that was paused for a while."""
        self.clock.advance(30.0)
        self.run_for(3.0)
        self.assertEqual(self.claim_calls, [])

    def test_dump_has_the_steps_of_a_promotion(self):
        """Guards against a promotion whose steps operators cannot see."""
        self.databases["s1"].reachable = False
        self.run_for(2.5)
        dumps = [driver.dump() for driver in self.drivers.values()]
        (steps,) = [
            dump["groups"]["g"]["steps"]
            for dump in dumps
            if dump["groups"]["g"]["steps"]
        ]
        text = " ".join(step for _, step in steps)
        for word in ("ClaimInPlatform", "RaiseTerm", "Promote(", "Publish", "Done"):
            self.assertIn(word, text)
