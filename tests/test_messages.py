"""Tests of ``cassiahill.messages``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import errors, messages


def parse(body, now=10.0):
    """Return the request of a JSON body."""
    decoded = messages.decode_body(body, messages.StatementBody)
    return messages.build_statement_request(decoded, "caller", now)


class MessagesTest(unittest.TestCase):
    def test_timeout_becomes_a_deadline(self):
        """Guards against a duration that starts again at each step."""
        request = parse(
            b'{"kind":"read","group":"g","sql":"select 1","timeout_ms":250}'
        )
        self.assertEqual(request.deadline, 10.25)
        self.assertEqual(request.freshness, messages.OwnWrites())

    def test_transaction_control_is_refused(self):
        """Guards against a statement that ends the batch of its idempotency key."""
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

    def test_wrong_fields_are_malformed(self):
        """Guards against wrong input that is passed on or crashes."""
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
                parse(body)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_malformed(self, body):
        """Guards against input that raises anything but a clear error."""
        with self.assertRaises(errors.MalformedRequest):
            parse(body)
