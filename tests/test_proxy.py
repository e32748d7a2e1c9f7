"""Tests of ``cassiahill.proxy`` over real processes on loopback."""

import unittest
import urllib.error

from bench import deployment

GROUP = "fees"


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = cls.enterClassContext(
            deployment.running(deployment.SAFEPLATE, proxy_count=2)
        )
        cls.first = cls.running.callers_by_proxy["proxy-1"]
        cls.second = cls.running.callers_by_proxy["proxy-2"]
        sql = "create table fees (id integer primary key, vendor text)"
        cls.session = call(cls.first, kind="write", sql=sql)["session"]

    def test_session_roams_and_reads_its_write_from_a_replica(self):
        """Guards against a proxy that reads before the session's own write."""
        session = self.session
        for number in range(20):
            written = call(
                self.first,
                kind="write",
                sql="insert into fees (vendor) values (?)",
                params=[f"vendor-{number}"],
                session=session,
            )
            read = call(
                self.second,
                kind="read",
                sql="select vendor from fees order by id desc limit 1",
                session=written["session"],
            )
            session = read["session"]
            self.assertEqual(read["rows"], [[f"vendor-{number}"]])
            self.assertNotEqual(read["server"], "fees-1")

    def test_wrong_requests_get_a_stable_code(self):
        """Guards against wrong input that looks like a server error."""
        cases = (
            ({"kind": "read", "sql": "select 1", "session": "x"}, "invalid_token"),
            ({"kind": "erase", "sql": "select 1"}, "malformed_request"),
            ({"kind": "read", "sql": "select 1", "colour": 1}, "malformed_request"),
            ({"kind": "read", "sql": "selec 1"}, "statement_failed"),
            ({"kind": "read", "sql": "select 1", "group": "none"}, "unknown_group"),
            ({"kind": "read", "sql": "select 1", "timeout_ms": -1}, "deadline_passed"),
        )
        for fields, code in cases:
            with self.subTest(code=code), self.assertRaises(Problem) as caught:
                call(self.first, **fields)
            self.assertEqual(caught.exception.code, code)


class Problem(Exception):
    """A problem answer; ``code`` is its stable code."""

    def __init__(self, error):
        body = deployment.json.load(error)
        super().__init__(body)
        self.code = body["code"]


def call(address, **fields):
    """Send one statement as a caller and return the answer."""
    fields.setdefault("group", GROUP)
    try:
        return deployment.post(
            address, "/v1/statements", fields, {"Caller": "vendor-1"}
        )
    except urllib.error.HTTPError as error:
        raise Problem(error) from error
