"""Tests of ``cassiahill.gossip``."""

import random
import socket
import unittest

import msgspec

from cassiahill import clock, errors, gossip, loop, peer_calls, rumors, swim

SECRET = b"fleet secret"


def free_address():
    """Return a loopback address that is free for TCP."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.seed = free_address()
        self.parts = [self.start(number, self.seed) for number in range(1)]
        self.parts += [self.start(number, free_address()) for number in range(1, 4)]

    def start(self, number, address):
        own_member = swim.Member(f"p{number}", address, "domain")
        rng = random.Random(number)
        part = gossip.Gossip(self.loop, own_member, [self.seed], SECRET, rng)
        listener = peer_calls.PeerListener(
            self.loop, address, part.handle, SECRET, own_member.name
        )
        self.addCleanup(listener.close)
        self.addCleanup(part.close)
        return part

    def run_until(self, condition):
        while not condition():
            self.loop._run_once()

    def test_members_find_each_other_and_share_values(self):
        """Guards against values that only fit the tests' in-process fleet."""
        self.run_until(lambda: all(len(part.members()) == 4 for part in self.parts))
        self.run_until(lambda: all(part.ready.done() for part in self.parts))
        small, large = b"small", random.Random(1).randbytes(100_000)
        received = []
        for part in self.parts:
            part.subscribe("configuration", lambda *value: received.append(value))
        self.parts[1].publish("configuration", "current", 1, small)
        self.run_until(lambda: received.count(("current", 1, small)) == 4)
        self.parts[2].publish("configuration", "current", 2, large)
        self.run_until(lambda: received.count(("current", 2, large)) == 4)
        self.assertEqual(len(received), 8)
        late = self.start(9, free_address())
        self.run_until(late.ready.done)
        self.run_until(lambda: late.get("configuration", "current") == (2, large))

    def test_leaving(self):
        """Guards against new work for hosts and members that leave."""
        changes = []
        self.parts[0].on_membership = changes.append
        self.run_until(lambda: all(part.ready.done() for part in self.parts))
        self.parts[1].observe_hosts({"p0"}, {"db1"})
        self.run_until(
            lambda: all(part.leaving_hosts() == {"db1"} for part in self.parts)
        )
        self.parts[1].observe_hosts({"db1"}, set())
        self.run_until(lambda: not any(part.leaving_hosts() for part in self.parts))
        self.parts[3].leave()
        leaving = ("p3", swim.LEAVING)
        self.run_until(lambda: leaving in [(m.name, m.state) for m in changes])
        self.assertIn("p3 leaving", self.parts[0].dump()["not_live"])

    def test_malformed_messages_are_refused_and_counted(self):
        """Guards against payloads that end the process, and against large values."""
        part = self.parts[0]
        wrong = msgspec.msgpack.encode([3, "x"])
        for kind in (gossip.MEMBERSHIP, gossip.SPREADING):
            part._on_datagram("p1", kind, wrong, None)
            part._on_datagram("p1", kind, b"\xc1", None)
        self.assertEqual(part.refusals_by_reason["malformed datagram"], 4)
        for kind in (gossip.SYNC, gossip.WANT, gossip.BODY, "gossip.other"):
            with self.assertRaises(errors.PeerRejected):
                part.handle("p1", kind, wrong)
        body = msgspec.msgpack.encode(("configuration", "current", 7))
        with self.assertRaises(errors.NotFound):
            part.handle("p1", gossip.BODY, body)
        with self.assertRaises(errors.RequestTooLarge):
            part.publish("configuration", "current", 1, bytes(1 << 21))
        part.publish("configuration", "current", 3, b"three")
        part.publish("configuration", "current", 2, b"two")
        self.assertEqual(part.get("configuration", "current"), (3, b"three"))

    def test_messages_fit_a_datagram(self):
        """Guards against news and rumors that can never be sent."""
        part = self.parts[0]
        long = [swim.Member("n" * 60 + str(n), self.seed, "d" * 40) for n in range(40)]
        part.membership.step(
            swim.MessageReceived("", swim.SyncAnswer(tuple(long))), 0.0
        )
        for member in long:
            part.membership._queue.add(member.name, 40)
        ping = swim.Ping(1 << 60, part.membership._news("p1"))
        names = [f"group-with-a-long-name-{number}" for number in range(40)]
        values = [rumors.Rumor("group", n, 1 << 50, b"h" * 16, 9) for n in names]
        messages = [ping, *rumors.batches(values), rumors.Buckets((1 << 63,) * 64)]
        for message in messages:
            payload = msgspec.msgpack.encode(message)
            self.assertTrue(part._endpoint.send(self.seed, "m", payload), len(payload))
