"""Tests of ``cassiahill.proxy`` over real processes on loopback."""

import http.client
import threading
import time
import unittest
import urllib.error
import urllib.request

from bench import deployment
from cassiahill import client, configuration, errors, objects, proxy

GROUP = "fees"
WAIT_SECONDS = 60.0
DRAIN_SLACK_SECONDS = 5.0  # for the end of the process on a busy machine


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

    def test_transactions_are_isolated_and_end_with_their_connection(self):
        """Guards against uncommitted rows that others see, or that outlive a caller."""
        connection = http.client.HTTPConnection(*self.first, timeout=WAIT_SECONDS)
        begun = send(connection, "/v1/transactions", {"group": GROUP})
        path = f"/v1/transactions/{begun['transaction']}/statements"
        sql = "insert into fees (vendor) values ('open')"
        self.assertEqual(send(connection, path, {"sql": sql})["row_count"], 1)
        with self.client() as caller:
            session = caller.session()
            self.assertEqual(self.count(session, "open"), 0)
            connection.close()
            # The write waits for the lock, which the rollback releases.
            written = session.write(GROUP, "insert into fees (vendor) values ('next')")
            self.assertEqual(written.row_count, 1)
            self.assertEqual(self.count(session, "open"), 0)

    def test_transaction_over_several_connections(self):
        """Guards against curl examples whose transaction ends with the first call."""
        body = {"group": GROUP, "survives_connection": True}
        headers = {"Caller": "vendor-1"}
        begun = deployment.post(self.first, "/v1/transactions", body, headers)
        path = f"/v1/transactions/{begun['transaction']}"
        sql = {"sql": "insert into fees (vendor) values ('several')"}
        deployment.post(self.first, path + "/statements", sql, headers)
        ended = deployment.post(self.first, path + "/commit", {}, headers)
        with self.client() as caller:
            session = caller.session(ended["session"])
            self.assertEqual(self.count(session, "several"), 1)

    def test_key_runs_once_through_two_proxies(self):
        """Guards against a retry through another proxy that runs the write again."""
        fields = {
            "kind": "write",
            "sql": "insert into fees (vendor) values (?)",
            "params": ["keyed"],
            "key": "payment-1",
        }
        first, second = call(self.first, **fields), call(self.second, **fields)
        self.assertEqual((first["row_count"], second["row_count"]), (1, 1))
        with self.client() as caller:
            session = caller.session(second["session"])
            self.assertEqual(self.count(session, "keyed"), 1)

    def test_settled_key_never_runs(self):
        """Guards against "not run" for a write whose first attempt arrives late."""
        body = {"group": GROUP, "key": "payment-2"}
        answer = deployment.post(
            self.second, "/v1/outcomes", body, {"Caller": "vendor-1"}
        )
        self.assertEqual(answer["outcome"], "not_run")
        with self.assertRaises(Problem) as caught:
            call(
                self.first,
                kind="write",
                sql="insert into fees (vendor) values ('late')",
                key="payment-2",
            )
        self.assertEqual(caught.exception.code, "key_closed")

    def test_key_of_a_committed_transaction_settles_as_done(self):
        """Guards against "not run" for a transaction whose commit answer was lost."""
        with self.client() as caller:
            session = caller.session()
            with session.transaction(GROUP, key="transfer-1") as transaction:
                transaction.execute("insert into fees (vendor) values ('moved')")
            session.resolve(GROUP, "transfer-1")
            with (
                self.assertRaises(errors.KeyConflict),
                session.transaction(GROUP, key="transfer-1"),
            ):
                self.fail("a key was used for two transactions")
            with self.assertRaises(errors.KeyClosed):
                session.resolve(GROUP, "transfer-2")
            self.assertEqual(self.count(session, "moved"), 1)

    def test_operator_port_shows_state_and_metrics(self):
        """Guards against an operator who cannot see what a process decided on."""
        address = self.running.operators_by_proxy["proxy-1"]
        dump = deployment.get(address, "/dump")
        self.assertEqual(dump["groups"][GROUP]["primary"], "fees-1")
        self.assertEqual(dump["proxies"], ["proxy-1", "proxy-2"])
        with urllib.request.urlopen("http://{}:{}/metrics".format(*address)) as answer:
            self.assertIn(b'cassiahill_term{group="fees"} 1.0', answer.read())

    def test_accepted_configuration_reaches_every_proxy(self):
        """Guards against a proxy that keeps an older configuration."""
        store = objects.HttpObjectStore(self.running.platform_address)
        deadline = time.monotonic() + WAIT_SECONDS
        document = {"groups": self.running.groups_document()}
        document["admission"] = {"floors": {"routine": 0.1}}
        update = configuration.Update(document, 0, "operator", 0, "update-1")
        accepted = configuration.apply(store, update, deadline)
        for address in self.running.operators_by_proxy.values():
            while deployment.get(address, "/status")["generation"] == 0:
                self.assertLess(time.monotonic(), deadline)
            status = deployment.get(address, "/status")
            self.assertEqual(status["generation"], accepted.generation)
        answer = call(self.first, kind="read", sql="select 1")
        self.assertEqual(answer["rows"], [[1]])

    def client(self):
        """Return a client of both proxies."""
        return client.Client([self.first, self.second], "vendor-1")

    def count(self, session, vendor):
        """Return how many rows of a vendor a session sees."""
        sql = "select count(*) from fees where vendor = ?"
        return session.read(GROUP, sql, (vendor,)).rows[0][0]


class DrainTest(unittest.TestCase):
    def test_drain_cuts_no_request(self):
        """Guards against requests and transactions that a shutdown cuts off."""
        with deployment.running(deployment.SAFEPLATE, proxy_count=2) as running:
            addresses = list(running.callers_by_proxy.values())
            stop, failures = threading.Event(), []
            done = threading.Semaphore(0)

            def work(number):
                with client.Client(addresses, f"vendor-{number}") as caller:
                    session = caller.session()
                    while not stop.is_set():
                        try:
                            session.read(GROUP, "select 1")
                            done.release()
                        except errors.CassiahillError as error:
                            failures.append(error)
                            done.release()

            threads = [threading.Thread(target=work, args=(n,)) for n in range(4)]
            for thread in threads:
                thread.start()
            running.kill("proxy-1", deployment.signal.SIGTERM)
            code = running.processes_by_name["proxy-1"].wait(WAIT_SECONDS)
            while done.acquire(blocking=False):
                pass
            for _ in range(10):
                self.assertTrue(done.acquire(timeout=WAIT_SECONDS))
            stop.set()
            for thread in threads:
                thread.join()
        self.assertEqual((code, failures), (0, []))

    def test_process_ends_with_its_drain_and_closes_idle_connections(self):
        """Guards against a request that a process without its loop never answers.

        The watch of the platform held the process up for 15 s after its drain, with
        the callers' connections open.
        """
        with deployment.running(deployment.SAFEPLATE, proxy_count=2) as running:
            address = running.callers_by_proxy["proxy-1"]
            connection = http.client.HTTPConnection(*address, timeout=WAIT_SECONDS)
            self.addCleanup(connection.close)
            body = {"group": GROUP, "kind": "read", "sql": "select 1"}
            self.assertEqual(send(connection, "/v1/statements", body)["rows"], [[1]])
            running.kill("proxy-1", deployment.signal.SIGTERM)
            started_at = time.monotonic()
            self.assertEqual(connection.sock.recv(1), b"")
            code = running.processes_by_name["proxy-1"].wait(WAIT_SECONDS)
            took = time.monotonic() - started_at
        self.assertEqual(code, 0)
        self.assertLess(took, proxy.DRAIN_NOTICE + DRAIN_SLACK_SECONDS)


def send(connection, path, body):
    """Send one request on a connection of its own and return the answer."""
    headers = {"Caller": "vendor-1"}
    connection.request("POST", path, deployment.json.dumps(body), headers)
    return deployment.json.load(connection.getresponse())


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
