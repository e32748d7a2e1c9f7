"""Tests of ``cassiahill.datagrams``."""

import random
import unittest

from cassiahill import clock, datagrams, envelopes, loop

SECRET = b"fleet secret"


class DatagramTest(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.endpoint = datagrams.DatagramEndpoint(
            self.loop,
            ("127.0.0.1", 0),
            lambda sender, kind, payload, source: self.received.append(payload),
            SECRET,
            "b",
            first_sequence=1,
        )
        self.addCleanup(self.endpoint.close)

    def datagram(self, sequence):
        key = envelopes.fleet_hasher(SECRET)
        return envelopes.encode(key, "a", sequence, 0, "k", b"%d" % sequence)

    def test_each_sequence_is_accepted_once_in_any_order(self):
        """Guards against accepted replays, and against refusing reordered datagrams."""
        sequences = [5000 + number for number in range(50)]
        random.Random(1).shuffle(sequences)
        for sequence in [*sequences, *sequences, 5000 - 1024]:
            self.endpoint.handle_datagram(self.datagram(sequence), None)
        self.assertEqual(
            sorted(self.received), [b"%d" % sequence for sequence in sorted(sequences)]
        )
        self.assertEqual(self.endpoint.refusals_by_reason["replayed sequence"], 51)

    def test_large_datagrams_are_not_sent(self):
        """Guards against datagrams that the network fragments or drops."""
        address = self.endpoint.address
        self.assertFalse(self.endpoint.send(address, "k", b"x" * 1200))
        self.assertTrue(self.endpoint.send(address, "k", b"x" * 1000))
        self.loop._run_once()
        self.assertEqual(self.received, [b"x" * 1000])
