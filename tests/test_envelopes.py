"""Tests of ``cassiahill.envelopes``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import envelopes, errors

SECRET = b"fleet secret"


class EnvelopeTest(unittest.TestCase):
    KEY = envelopes.fleet_hasher(SECRET)
    DATA = envelopes.encode(KEY, "a", 7, 3, "kind", b"payload" * 20)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_input_is_refused(self, data):
        """Guards against other exceptions than ``PeerRejected`` for hostile input."""
        with self.assertRaises(errors.PeerRejected):
            envelopes.decode(self.KEY, data)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(0, len(DATA) - 1), st.integers(1, 255))
    def test_changed_envelope_is_refused(self, index, change):
        """Guards against a field that the hash leaves out."""
        data = bytearray(self.DATA)
        data[index] ^= change
        try:
            decoded = envelopes.decode(self.KEY, bytes(data))
        except errors.PeerRejected:
            return
        # Padding and unused pointer bits do not change the message.
        self.assertEqual(decoded, envelopes.decode(self.KEY, self.DATA))
