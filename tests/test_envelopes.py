"""Tests of ``cassiahill.envelopes``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import envelopes, errors

SECRET = b"fleet secret"


class EnvelopeTest(unittest.TestCase):
    HASHER = envelopes.fleet_hasher(SECRET)
    ENCODED = envelopes.encode(HASHER, "a", 7, 3, "kind", b"payload" * 20)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_input_is_refused(self, data):
        """Guards against exceptions other than ``PeerRejected`` for hostile input."""
        with self.assertRaises(errors.PeerRejected):
            envelopes.decode(self.HASHER, data)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(0, len(ENCODED) - 1), st.integers(1, 255))
    def test_modified_envelope_is_refused(self, index, change):
        """Guards against a field that the hash does not cover."""
        data = bytearray(self.ENCODED)
        data[index] ^= change
        try:
            decoded = envelopes.decode(self.HASHER, bytes(data))
        except errors.PeerRejected:
            return
        # Changes of padding and of unused pointer bits leave the message the same.
        self.assertEqual(decoded, envelopes.decode(self.HASHER, self.ENCODED))
