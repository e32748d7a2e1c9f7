"""Tests of the platform adapter's line protocol."""

import unittest

from cassiahill import errors, statements
from cassiahill.positions import LogPosition
from cassiahill.statements import Access, Code, Reply, TransactionState
from tests import adapter_path

with adapter_path.importable():
    from adapter import wire

DIALECT = wire.LineDialect()


def statement_of(text):
    """Return the statement in a client's query."""
    return DIALECT.decode_request(b"QUERY 5c0e " + text).statement


class DecodeRequestTest(unittest.TestCase):
    def test_each_statement(self):
        """Guards against a statement that is taken for another."""
        cases = {
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
        for text, expected in cases.items():
            self.assertEqual(statement_of(text), expected)

    def test_malformed_lines_are_errors(self):
        """Guards against a crash, or a guess, on hostile or damaged lines."""
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
    def test_text_of_reads_and_writes_is_unchanged(self):
        """Guards against a database that runs a text that no client sent."""
        for text in ("READ 1a4", "WRITE 1a4  two  blanks ", "COMMIT", "BEGIN READ"):
            line = DIALECT.encode_statement("5c0e", statement_of(text.encode()))
            self.assertEqual(line, f"QUERY 5c0e {text}\r\n".encode())

    def test_position_precedes_the_text(self):
        """Guards against a read that a lagging replica does not refuse."""
        line = DIALECT.encode_statement(
            "5c0e", statement_of(b"READ 1a4"), LogPosition(3, 1207)
        )
        self.assertEqual(line, b"QUERY 5c0e AFTER 3.1207 READ 1a4\r\n")

    def test_own_statement_has_no_id(self):
        """Guards against an own statement that is taken for a client's."""
        line = DIALECT.encode_statement(None, statements.Rollback())
        self.assertEqual(line, b"QUERY - ROLLBACK\r\n")

    def test_every_code_has_a_word(self):
        """Guards against a refusal that cannot be told to the client."""
        self.assertEqual(set(wire.ERROR_WORDS_BY_CODE), set(Code))

    def test_reply(self):
        """Guards against rows or signatures that change on their way."""
        reply = Reply((b"a b",), "7.1f3", None, "", TransactionState.OPEN, None)
        self.assertEqual(
            DIALECT.encode_reply(reply), b"ROW a b\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n"
        )


class ReplyReaderTest(unittest.TestCase):
    ANSWER = (
        b"READY I 3.1207\r\nROW x\r\nROW y z\r\nCOMPLETE sig\r\nREADY T 3.1208\r\n"
        b"ERROR LAGGING i-1\r\nREADY I 3.1208\r\n"
    )

    def test_any_split_gives_the_same_replies(self):
        """Guards against answers that arrive in pieces."""
        whole = DIALECT.reply_reader().feed(self.ANSWER)
        for size in range(1, len(self.ANSWER)):
            reader = DIALECT.reply_reader()
            found = []
            for start in range(0, len(self.ANSWER), size):
                found += reader.feed(self.ANSWER[start : start + size])
            self.assertEqual(found, whole)
        self.assertEqual(whole[1].rows, (b"x", b"y z"))
        self.assertEqual(whole[1].position, LogPosition(3, 1208))
        self.assertIs(whole[2].code, Code.NOT_CURRENT)

    def test_refused_connection_ends_without_a_state(self):
        """Guards against waiting for more after a refusal to connect."""
        (reply,) = DIALECT.reply_reader().feed(b"ERROR TOOMANY -\r\n")
        self.assertIs(reply.code, Code.CONNECTION_LIMIT)

    def test_garbage_ends_the_connection(self):
        """Guards against answers that are taken for another request's."""
        for garbage in (b"HELLO\r\n", b"READY X -\r\n", b"\x00\xff\r\n"):
            with self.assertRaises(errors.ConnectionLost):
                DIALECT.reply_reader().feed(garbage)

    def test_report(self):
        """Guards against a promotion that relies on a malformed report."""
        good = Reply((b"replica 3 3.1209 5 12 2 17",))
        report = DIALECT.decode_report(good)
        self.assertEqual(report.term, 5)
        self.assertEqual(report.received, LogPosition(3, 1209))
        for row in (b"", b"replica x 3.1 0 1 2 3", b"replica 3"):
            self.assertIsNone(DIALECT.decode_report(Reply((row,))))


if __name__ == "__main__":
    unittest.main()
