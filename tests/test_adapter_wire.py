"""Tests of the platform adapter's line protocol."""

import unittest

from cassiahill import errors, statements
from cassiahill.positions import LogPosition
from cassiahill.statements import Access, Code, Reply, TransactionState
from tests import adapter_path

with adapter_path.importable():
    from adapter import wire

DIALECT = wire.LineDialect()


def decode_statement(text):
    """Return the statement that a text in a client's query is decoded to."""
    return DIALECT.decode_request(b"QUERY 5c0e " + text).statement


class DecodeRequestTest(unittest.TestCase):
    def test_valid_statements(self):
        """Guards against decoding a statement as another one."""
        statements_by_text = {
            b"BEGIN": statements.Begin(False),
            b"BEGIN READ": statements.Begin(True),
            b"COMMIT": statements.Commit(),
            b"ROLLBACK": statements.Rollback(),
            b"READ 1a4": statements.Run(Access.READ, "READ 1a4"),
            b"WRITE 1a4 x y": statements.Run(Access.WRITE, "WRITE 1a4 x y"),
            b"SET name a value": statements.SetValue("name", "a value"),
            b"PREPARE s1 WRITE q2c": statements.Prepare(
                "s1", statements.Shape(Access.WRITE, "q2c")
            ),
            b"EXECUTE s1 1a4 data": statements.Execute("s1", "1a4 data"),
            b"DEALLOCATE s1": statements.Deallocate("s1"),
        }
        for text, expected_statement in statements_by_text.items():
            self.assertEqual(decode_statement(text), expected_statement)

    def test_malformed_lines_raise(self):
        """Guards against a crash on a malformed line, and against accepting it."""
        for line in (
            b"",
            b"QUERY",
            b"QUERY 1",
            b"QUERY 1 ",
            b"QUERY 1 DROP all",
            b"QUERY 1 COMMIT now",
            b"QUERY 1 PREPARE s1 DELETE q",
            b"QUERY 1 EXECUTE s1",
            b"QUERY 1 READ \xff\xfe",
            b"STARTUP",
            b"HELLO x",
            b"\x00\x01\x02",
        ):
            with self.assertRaises(errors.MalformedRequest, msg=line):
                DIALECT.decode_request(line)


class EncodeTest(unittest.TestCase):
    def test_statement_text_is_forwarded_unchanged(self):
        """Guards against changing a client's statement, such as its repeated spaces."""
        for text in ("READ 1a4", "WRITE 1a4  two  blanks ", "COMMIT", "BEGIN READ"):
            line = DIALECT.encode_statement("5c0e", decode_statement(text.encode()))
            self.assertEqual(line, f"QUERY 5c0e {text}\r\n".encode())

    def test_required_position_precedes_the_text(self):
        """Guards against a stale read from a replica that does not get the position."""
        line = DIALECT.encode_statement(
            "5c0e", decode_statement(b"READ 1a4"), LogPosition(3, 1207)
        )
        self.assertEqual(line, b"QUERY 5c0e AFTER 3.1207 READ 1a4\r\n")

    def test_statement_of_the_proxy_has_no_request_id(self):
        """Guards against attributing a statement of the proxy to a client."""
        line = DIALECT.encode_statement(None, statements.Rollback())
        self.assertEqual(line, b"QUERY - ROLLBACK\r\n")

    def test_relayed_opening_is_decoded_as_a_client_s(self):
        """Guards against an owner that does not find the digest where the key is."""
        line = DIALECT.encode_relay_open("shop", "d1f3")
        self.assertEqual(line, b"STARTUP shop d1f3\r\n")
        message = DIALECT.decode_request(line.removesuffix(b"\r\n"))
        self.assertEqual(message, statements.OpenSession("shop", "d1f3"))

    def test_every_code_has_an_error_word(self):
        """Guards against an error code that cannot be sent to the client."""
        self.assertEqual(set(wire.ERROR_WORDS_BY_CODE), set(Code))

    def test_encode_reply(self):
        """Guards against changing rows or signatures on the way to the client."""
        reply = Reply((b"a b",), "7.1f3", None, "", TransactionState.OPEN, None)
        self.assertEqual(
            DIALECT.encode_reply(reply), b"ROW a b\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n"
        )


class ReplyReaderTest(unittest.TestCase):
    SERVER_BYTES = (
        b"READY I 3.1207\r\nROW x\r\nROW y z\r\nCOMPLETE sig\r\nREADY T 3.1208\r\n"
        b"ERROR LAGGING i-1\r\nREADY I 3.1208\r\n"
    )

    def test_split_data_gives_the_same_replies(self):
        """Guards against losing or changing replies that arrive in several pieces."""
        expected_replies = DIALECT.reply_reader().feed(self.SERVER_BYTES)
        for piece_length in range(1, len(self.SERVER_BYTES)):
            reader = DIALECT.reply_reader()
            replies = []
            for start in range(0, len(self.SERVER_BYTES), piece_length):
                replies += reader.feed(self.SERVER_BYTES[start : start + piece_length])
            self.assertEqual(replies, expected_replies)
        self.assertEqual(expected_replies[1].rows, (b"x", b"y z"))
        self.assertEqual(expected_replies[1].position, LogPosition(3, 1208))
        self.assertIs(expected_replies[2].code, Code.NOT_CURRENT)

    def test_refusal_to_connect_is_complete_without_ready(self):
        """Guards against waiting for a READY line after a refusal to connect."""
        (reply,) = DIALECT.reply_reader().feed(b"ERROR TOOMANY -\r\n")
        self.assertIs(reply.code, Code.CONNECTION_LIMIT)

    def test_invalid_line_raises_connection_lost(self):
        """Guards against assigning replies to wrong requests after an invalid line."""
        for invalid_line in (b"HELLO\r\n", b"READY X -\r\n", b"\x00\xff\r\n"):
            with self.assertRaises(errors.ConnectionLost):
                DIALECT.reply_reader().feed(invalid_line)

    def test_decode_report(self):
        """Guards against a promotion based on a malformed status report."""
        valid_reply = Reply((b"replica 3 3.1209 5 12 2 17",))
        report = DIALECT.decode_report(valid_reply)
        self.assertEqual(report.term, 5)
        self.assertEqual(report.received, LogPosition(3, 1209))
        for malformed_row in (b"", b"replica x 3.1 0 1 2 3", b"replica 3"):
            self.assertIsNone(DIALECT.decode_report(Reply((malformed_row,))))


if __name__ == "__main__":
    unittest.main()
