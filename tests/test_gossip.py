"""Tests of ``cassiahill.gossip``."""

import random
import unittest
from unittest import mock

import msgspec

from cassiahill import clock, errors, gossip, loop, peer_calls, rumors, swim
from tests.loopback import free_address

SECRET = b"fleet secret"
VALUE_COUNT = 16_000  # Below rumor_spreading.MAX_VALUES.
LONGEST_HOST_NAME = 253  # Characters of a DNS name.
MAX_FAILED_REQUESTS = 3


def record_failed_bucket_requests(node):
    """Return the list that will get the peer of each failed bucket request."""
    failed = []
    step = node.spreader.step

    def record_failure(event, now):
        if isinstance(event, rumors.BucketRequestFailed):
            failed.append(event.peer)
        return step(event, now)

    node.spreader.step = record_failure
    return failed


class NodeTestCase(unittest.TestCase):
    """Starts members on the event loop of the test, ``loop``, with one ``seed``."""

    def start(self, number, address):
        own_member = swim.Member(f"p{number}", address, "domain")
        rng = random.Random(number)
        node = gossip.Gossip(self.loop, own_member, [self.seed], SECRET, rng)
        listener = peer_calls.PeerListener(
            self.loop, address, node.handle_request, SECRET, own_member.name
        )
        self.addCleanup(listener.close)
        self.addCleanup(node.close)
        return node


class GossipTest(NodeTestCase):
    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.seed = free_address()
        self.nodes = [self.start(number, self.seed) for number in range(1)]
        self.nodes += [self.start(number, free_address()) for number in range(1, 4)]

    def run_until(self, condition):
        while not condition():
            self.loop._run_once()

    def test_members_find_each_other_and_share_values(self):
        """Guards against faults between real sockets, with small and large values."""
        self.run_until(lambda: all(len(node.members()) == 4 for node in self.nodes))
        self.run_until(lambda: all(node.ready.done() for node in self.nodes))
        small, large = b"small", random.Random(1).randbytes(100_000)
        received = []
        for node in self.nodes:
            node.subscribe("configuration", lambda *value: received.append(value))
        self.nodes[1].publish("configuration", "current", 1, small)
        self.run_until(lambda: received.count(("current", 1, small)) == 4)
        self.nodes[2].publish("configuration", "current", 2, large)
        self.run_until(lambda: received.count(("current", 2, large)) == 4)
        self.assertEqual(len(received), 8)
        late_node = self.start(9, free_address())
        self.run_until(late_node.ready.done)
        self.run_until(lambda: late_node.get("configuration", "current") == (2, large))

    def test_leaving(self):
        """Guards against new requests for hosts and members that leave."""
        changed_members = []
        self.nodes[0].on_member_changed = changed_members.append
        self.run_until(lambda: all(node.ready.done() for node in self.nodes))
        self.nodes[1].update_host_list({"p0"}, {"db1"})
        self.run_until(
            lambda: all(node.leaving_hosts() == {"db1"} for node in self.nodes)
        )
        self.nodes[1].update_host_list({"db1"}, set())
        self.run_until(lambda: not any(node.leaving_hosts() for node in self.nodes))
        self.nodes[3].leave()
        leaving = ("p3", swim.LEAVING)
        self.run_until(
            lambda: (
                leaving in [(member.name, member.state) for member in changed_members]
            )
        )
        self.assertIn("p3 leaving", self.nodes[0].dump()["not_live"])

    def test_malformed_messages_are_refused_and_counted(self):
        """Guards against malformed payloads that stop the process, and large values."""
        node = self.nodes[0]
        malformed = msgspec.msgpack.encode([3, "x"])
        for kind in (gossip.MEMBERSHIP_KIND, gossip.SPREADING_KIND):
            node._on_datagram("p1", kind, malformed, None)
            node._on_datagram("p1", kind, b"\xc1", None)
        self.assertEqual(node.refusals_by_reason["malformed datagram"], 4)
        for kind in (
            gossip.SYNC_KIND,
            gossip.BUCKETS_KIND,
            gossip.VALUE_KIND,
            "gossip.other",
        ):
            with self.assertRaises(errors.PeerRejected):
                node.handle_request("p1", kind, malformed)
        value_request = msgspec.msgpack.encode(("configuration", "current", 7))
        with self.assertRaises(errors.NotFound):
            node.handle_request("p1", gossip.VALUE_KIND, value_request)
        with self.assertRaises(errors.RequestTooLarge):
            node.publish("configuration", "current", 1, bytes(1 << 21))
        node.publish("configuration", "current", 3, b"three")
        node.publish("configuration", "current", 2, b"two")
        self.assertEqual(node.get("configuration", "current"), (3, b"three"))

    def test_messages_fit_a_datagram(self):
        """Guards against updates and rumors that are too large to be sent."""
        node = self.nodes[0]
        long_named = [
            swim.Member("n" * 60 + str(number), self.seed, "d" * 40)
            for number in range(40)
        ]
        node.membership.step(
            swim.MessageReceived("", swim.SyncAnswer(tuple(long_named))), 0.0
        )
        for member in long_named:
            node.membership._update_queue.add(member.name, 40)
        ping = swim.Ping(1 << 60, node.membership._updates_for("p1"))
        names = [f"group-with-a-long-name-{number}" for number in range(40)]
        large_rumors = [
            rumors.Rumor("group", name, 1 << 50, b"h" * 16, 9) for name in names
        ]
        messages = [
            ping,
            *rumors.pack_rumors(large_rumors),
            rumors.PullAnswer((1 << 63,) * 64),
        ]
        for message in messages:
            payload = msgspec.msgpack.encode(message)
            self.assertTrue(
                node._datagram_endpoint.send(self.seed, "m", payload), len(payload)
            )


class ManyValuesTest(NodeTestCase):
    def test_new_member_learns_all_values(self):
        """Guards against a process that never starts because the values are too many.

        Together they exceeded the largest answer of a peer, and the same request was
        sent again and again.
        """
        # The deadline of a call is not what this test is about.
        self.enterContext(mock.patch.object(gossip, "CALL_TIMEOUT_SECONDS", 60.0))
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.seed = free_address()
        first = self.start(0, self.seed)
        while not first.ready.done():
            self.loop._run_once()
        for number in range(VALUE_COUNT):
            name = f"{number}.".ljust(LONGEST_HOST_NAME, "n")
            first.publish(gossip.HOST_VALUE_KIND, name, 1, gossip.HOST_LEAVING)
        everything = msgspec.msgpack.encode(rumors.BucketRequest(tuple(range(64))))
        answer = first.handle_request("p1", gossip.BUCKETS_KIND, everything).result()
        self.assertGreater(len(answer), peer_calls.MAX_PAYLOAD_BYTES)
        second = self.start(1, free_address())
        failed = record_failed_bucket_requests(second)
        while not second.ready.done() and len(failed) < MAX_FAILED_REQUESTS:
            self.loop._run_once()
        self.assertTrue(second.ready.done())
        self.assertEqual(len(second.leaving_hosts()), VALUE_COUNT)


class MalformedAnswerTest(unittest.TestCase):
    def test_malformed_answer_counts_as_failure(self):
        """Guards against a peer that is waited for after a malformed answer."""
        event_loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(event_loop.close)
        own_member = swim.Member("p0", free_address(), "domain")
        node = gossip.Gossip(event_loop, own_member, [], SECRET, random.Random(1))
        self.addCleanup(node.close)
        address = free_address()
        listener = peer_calls.PeerListener(
            event_loop,
            address,
            lambda *_request: loop.completed_future(b"\xc1"),
            SECRET,
            "p1",
        )
        self.addCleanup(listener.close)
        peer = swim.Member("p1", address, "domain")
        node.membership.step(swim.MessageReceived("", swim.SyncAnswer((peer,))), 0.0)
        failed = record_failed_bucket_requests(node)
        while not failed:
            event_loop._run_once()
        self.assertEqual(failed[0], "p1")
        self.assertGreater(node.refusals_by_reason["malformed answer"], 0)
