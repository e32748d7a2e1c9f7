"""Tests of views that are longer than other answers."""

import random
import types
import unittest
from unittest import mock

from cassiahill import (
    clock,
    errors,
    heartbeats,
    http1,
    loop,
    member_client,
    store_follower,
)
from cassiahill.loop import failed_future
from cassiahill.regions import Regions
from cassiahill.shared_store import Revision
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
        event_loop = loop.EventLoop(clock.SystemClock())
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
