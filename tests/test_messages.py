"""Tests of ``cassiahill.messages``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import errors, messages, peer_messages


def parse_request(body, now=10.0):
    """Return the statement request that a JSON body describes."""
    decoded_body = messages.decode_body(body, messages.StatementBody)
    return messages.build_statement_request(decoded_body, "caller", now)


class MessagesTest(unittest.TestCase):
    def test_integers_that_no_message_between_proxies_carries(self):
        """Guards against an unknown outcome of a request that was never sent.

        A larger integer could not be encoded for the owner of the backend server.
        """
        for integer in (-(2**63), 2**64 - 1):
            statement = messages.build_statement("SELECT ?", [integer])
            pairs = peer_messages.statements_to_pairs([statement])
            self.assertTrue(peer_messages.encode(pairs))
        for integer in (-(2**63) - 1, 2**64, 10**400):
            with self.assertRaises(errors.MalformedRequest):
                messages.build_statement("SELECT ?", [integer])

    def test_timeout_becomes_a_deadline(self):
        """Guards against a timeout that restarts at each step of a request."""
        request = parse_request(
            b'{"kind":"read","group":"g","sql":"select 1","timeout_ms":250}'
        )
        self.assertEqual(request.deadline, 10.25)
        self.assertEqual(request.freshness, messages.OwnWrites())

    def test_transaction_control_is_refused(self):
        """Guards against SQL that commits a write apart from its idempotency key."""
        for sql in (
            "COMMIT",
            "  rollback;",
            "/* x */ begin immediate",
            "-- x\nEnd",
            "savepoint a",
        ):
            with self.subTest(sql), self.assertRaises(errors.MalformedRequest):
                messages.build_statement(sql, [])
        for sql in ("select 'commit'", "update t set begin_at = 1", "endow"):
            self.assertEqual(messages.build_statement(sql, []).sql, sql)

    def test_invalid_bodies_are_malformed(self):
        """Guards against invalid input that is accepted or raises another exception."""
        for body in (
            b"",
            b"[]",
            b"{",
            b"\xff",
            b'{"kind":"read","group":"g","sql":""}',
            b'{"kind":"read","group":"g","sql":"x","rank":"first"}',
            b'{"kind":"read","group":"g","sql":"x","params":[[1]]}',
            b'{"kind":"read","group":"g","sql":"x","key":""}',
            b'{"kind":"read","group":"g","sql":"x","freshness":{"kind":"new"}}',
        ):
            with self.subTest(body), self.assertRaises(errors.MalformedRequest):
                parse_request(body)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_malformed(self, body):
        """Guards against input that raises anything but ``MalformedRequest``."""
        with self.assertRaises(errors.MalformedRequest):
            parse_request(body)
