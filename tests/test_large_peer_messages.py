"""Tests of long messages between proxies."""

import random
import types
import unittest
from unittest import mock

import msgspec

from cassiahill import (
    errors,
    heartbeats,
    http1,
    loop,
    member_client,
    store_follower,
)
from cassiahill.clock import SystemClock
from cassiahill.loop import failed_future
from cassiahill.regions import Regions
from cassiahill.shared_store import MemorySharedStore, Revision
from tests import proxy_process
from tests.stepped_loop import SteppedLoop

LARGEST_CONFIGURATION_BYTES = 1_048_576  # The store holds no larger object.
ENTRY_COUNT = 300


def make_large_view():
    """Return a view with the largest configuration and the lists of a large fleet."""
    return heartbeats.View(
        {"version": 7, "text": "x" * LARGEST_CONFIGURATION_BYTES},
        servers_revision=5,
        servers={f"server-{n}": {"addr": "x" * 250} for n in range(ENTRY_COUNT)},
        members={f"proxy.{n}": {"address": "x" * 150} for n in range(ENTRY_COUNT)},
        members_revision=6,
    )


class LargeViewTest(unittest.TestCase):
    def test_largest_configuration_with_lists(self):
        """Guards against a process that learns nothing from its peers in an outage.

        Configuration, servers and members each had room in an answer, all of them
        together had not, so that a process which started without the store never knew
        any.
        """
        event_loop = loop.EventLoop(SystemClock())
        self.addCleanup(event_loop.close)
        view = make_large_view()
        server = http1.Server(
            event_loop,
            ("127.0.0.1", 0),
            lambda _request, _connection: http1.json_response(view),
        )
        self.addCleanup(server.close)
        client = member_client.MemberClient(event_loop)
        task = event_loop.spawn(
            client.fetch_view(server.address, heartbeats.KnownVersions(), None)
        )
        while not task.done():
            event_loop._run_once()
        self.assertEqual(task.result(), view)


class LargeHeartbeatTest(unittest.TestCase):
    """Names of groups and tenants can fill a configuration of 1 MiB."""

    def setUp(self):
        self.names = {f"{n}-{'x' * 1000}": 0.001 for n in range(1000)}

    def test_report_on_all_tenants(self):
        """Guards against a promoter that seems missing because reports are long."""
        heartbeat = heartbeats.Heartbeat(
            "p2",
            1,
            1,
            rate_report=heartbeats.RateReport(
                "pot", demand_by_tenant=self.names, held_share_by_tenant=self.names
            ),
        )
        with proxy_process.running_proxy(MemorySharedStore()) as running:
            _, settings = running
            status = self.exchange(
                settings.peer_address, msgspec.json.encode(heartbeat)
            )
        self.assertEqual(status, 200)

    def test_answer_on_all_tenants(self):
        """Guards against an answer that counts as missing because it is long."""
        event_loop = self.make_loop()
        answer = heartbeats.HeartbeatAnswer(
            1,
            1,
            True,
            total_demand_by_group=self.names,
            rate_answer=heartbeats.RateAnswer("pot", 1.0, 1.0, self.names),
        )
        server = http1.Server(
            event_loop,
            ("127.0.0.1", 0),
            lambda _request, _connection: http1.json_response(answer),
        )
        self.addCleanup(server.close)
        self.assertEqual(self.exchange(server.address, b"{}", event_loop), 200)

    def make_loop(self):
        """Return an event loop that is closed after the test."""
        event_loop = loop.EventLoop(SystemClock())
        self.addCleanup(event_loop.close)
        return event_loop

    def exchange(self, address, body, event_loop=None):
        """Send a heartbeat; return the status of the answer."""
        event_loop = event_loop or self.make_loop()
        client = member_client.MemberClient(event_loop)
        self.addCleanup(client.close)
        future = client.send_heartbeat(address, body, None)
        while not future.done():
            event_loop._run_once()
        return future.result().status


class TooLargeViewTest(unittest.TestCase):
    def test_view_beyond_the_limit(self):
        """Guards against a follower that asks for a view in vain for ever."""
        self.assert_lists_requested(errors.ResponseTooLarge("too large"), 1)

    def test_other_failures(self):
        """Guards against calls of the store by all followers of a lost reader."""
        self.assert_lists_requested(errors.ConnectionLost("no answer"), 0)

    def assert_lists_requested(self, error, expected_count):
        """Check how often a fetch that fails makes the process ask the store."""
        stepped_loop = SteppedLoop()
        process_state = mock.Mock()
        process_state.versions.return_value = (0, Revision())
        registry = mock.Mock(revision=Revision())

        def fetch_view(_address, _known, _deadline):
            yield failed_future(error)

        follower = store_follower.StoreFollower(
            stepped_loop,
            mock.Mock(),
            heartbeats.Member("p1", ("p1", 1), ("p1", 2), "domain-a"),
            registry,
            types.SimpleNamespace(fetch_view=fetch_view),
            process_state,
            random.Random(1),
            Regions("domain-a", {}),
        )
        stepped_loop.spawn(follower.fetch_view("p2", ("p2", 1)))
        self.assertEqual(process_state.request_lists.call_count, expected_count)
        self.assertEqual(registry.watcher.request_list.call_count, expected_count)


if __name__ == "__main__":
    unittest.main()
