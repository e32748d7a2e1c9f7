"""Tests of ``cassiahill.proxy`` with real processes on the loopback interface."""

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
EXIT_ALLOWANCE_SECONDS = 5.0  # for the end of the process on a busy machine


class TwoProxiesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.running = cls.enterClassContext(
            deployment.running(deployment.SAFEPLATE, proxy_count=2)
        )
        cls.first_address = cls.running.callers_by_proxy["proxy-1"]
        cls.second_address = cls.running.callers_by_proxy["proxy-2"]
        sql = "create table fees (id integer primary key, vendor text)"
        cls.session = send_statement(cls.first_address, kind="write", sql=sql)[
            "session"
        ]

    def test_session_at_another_proxy_reads_its_write_from_a_replica(self):
        """Guards against a read that misses a write made through another proxy."""
        session = self.session
        for number in range(20):
            write_answer = send_statement(
                self.first_address,
                kind="write",
                sql="insert into fees (vendor) values (?)",
                params=[f"vendor-{number}"],
                session=session,
            )
            read_answer = send_statement(
                self.second_address,
                kind="read",
                sql="select vendor from fees order by id desc limit 1",
                session=write_answer["session"],
            )
            session = read_answer["session"]
            self.assertEqual(read_answer["rows"], [[f"vendor-{number}"]])
            self.assertNotEqual(read_answer["server"], "fees-1")

    def test_invalid_requests_get_stable_error_codes(self):
        """Guards against invalid input that is answered as a server error."""
        cases = (
            ({"kind": "read", "sql": "select 1", "session": "x"}, "invalid_token"),
            ({"kind": "erase", "sql": "select 1"}, "malformed_request"),
            ({"kind": "read", "sql": "select 1", "colour": 1}, "malformed_request"),
            ({"kind": "read", "sql": "selec 1"}, "statement_failed"),
            ({"kind": "read", "sql": "select 1", "group": "none"}, "unknown_group"),
            ({"kind": "read", "sql": "select 1", "timeout_ms": -1}, "deadline_passed"),
        )
        for fields, code in cases:
            with self.subTest(code=code), self.assertRaises(ErrorResponse) as caught:
                send_statement(self.first_address, **fields)
            self.assertEqual(caught.exception.code, code)

    def test_transactions_are_isolated_and_end_with_their_connection(self):
        """Guards against uncommitted rows that other sessions see or that persist."""
        connection = http.client.HTTPConnection(
            *self.first_address, timeout=WAIT_SECONDS
        )
        begin_answer = post_on_connection(
            connection, "/v1/transactions", {"group": GROUP}
        )
        path = f"/v1/transactions/{begin_answer['transaction']}/statements"
        sql = "insert into fees (vendor) values ('open')"
        self.assertEqual(
            post_on_connection(connection, path, {"sql": sql})["row_count"], 1
        )
        with self.make_client() as proxy_client:
            session = proxy_client.session()
            self.assertEqual(self.count_rows(session, "open"), 0)
            connection.close()
            # The write waits for the lock, which the rollback releases.
            write_result = session.write(
                GROUP, "insert into fees (vendor) values ('next')"
            )
            self.assertEqual(write_result.row_count, 1)
            self.assertEqual(self.count_rows(session, "open"), 0)

    def test_transaction_spans_connections_when_asked_to(self):
        """Guards against a transaction that ends with its first request.

        Each command of an example with curl opens a connection of its own.
        """
        body = {"group": GROUP, "survives_connection": True}
        headers = {"Caller": "vendor-1"}
        begin_answer = deployment.post(
            self.first_address, "/v1/transactions", body, headers
        )
        path = f"/v1/transactions/{begin_answer['transaction']}"
        statement_body = {"sql": "insert into fees (vendor) values ('several')"}
        deployment.post(
            self.first_address, path + "/statements", statement_body, headers
        )
        commit_answer = deployment.post(
            self.first_address, path + "/commit", {}, headers
        )
        with self.make_client() as proxy_client:
            session = proxy_client.session(commit_answer["session"])
            self.assertEqual(self.count_rows(session, "several"), 1)

    def test_key_runs_once_through_two_proxies(self):
        """Guards against a retry at another proxy that runs the write again."""
        fields = {
            "kind": "write",
            "sql": "insert into fees (vendor) values (?)",
            "params": ["keyed"],
            "key": "payment-1",
        }
        first_answer, second_answer = (
            send_statement(self.first_address, **fields),
            send_statement(self.second_address, **fields),
        )
        self.assertEqual(
            (first_answer["row_count"], second_answer["row_count"]), (1, 1)
        )
        with self.make_client() as proxy_client:
            session = proxy_client.session(second_answer["session"])
            self.assertEqual(self.count_rows(session, "keyed"), 1)

    def test_write_with_a_closed_key_never_runs(self):
        """Guards against "not run" as the outcome of a write that still runs later."""
        body = {"group": GROUP, "key": "payment-2"}
        answer = deployment.post(
            self.second_address, "/v1/outcomes", body, {"Caller": "vendor-1"}
        )
        self.assertEqual(answer["outcome"], "not_run")
        with self.assertRaises(ErrorResponse) as caught:
            send_statement(
                self.first_address,
                kind="write",
                sql="insert into fees (vendor) values ('late')",
                key="payment-2",
            )
        self.assertEqual(caught.exception.code, "key_closed")

    def test_key_of_a_committed_transaction_settles_as_done(self):
        """Guards against "not run" for a committed transaction with a lost answer."""
        with self.make_client() as proxy_client:
            session = proxy_client.session()
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
            self.assertEqual(self.count_rows(session, "moved"), 1)

    def test_operator_port_shows_state_and_metrics(self):
        """Guards against state that operators can't see in the dump and the metrics."""
        address = self.running.operators_by_proxy["proxy-1"]
        before, after = None, self.reported_primary()
        while before != after:
            before = after
            dump = deployment.get(address, "/dump")
            metrics_url = "http://{}:{}/metrics".format(*address)
            with urllib.request.urlopen(metrics_url) as answer:
                metrics = answer.read()
            after = self.reported_primary()
        primary, term = after
        self.assertEqual(dump["groups"][GROUP]["primary"], primary)
        self.assertEqual(dump["proxies"], ["proxy-1", "proxy-2"])
        self.assertIn(b'cassiahill_term{group="fees"} %d.0' % term, metrics)

    def reported_primary(self):
        """Return the primary and its term, by what the databases report.

        A database that an overloaded machine does not run for over a second is replaced
        like any other that is silent.
        """
        terms_by_server = {}
        for server, _ in self.running.servers_by_group[GROUP]:
            database_address = self.running.addresses_by_server[server]
            status = deployment.get(database_address, "/status")
            if status["role"] == "primary":
                terms_by_server[server] = status["term"]
        primary = max(terms_by_server, key=terms_by_server.get)
        return primary, terms_by_server[primary]

    def test_accepted_configuration_reaches_every_proxy(self):
        """Guards against a proxy that goes on with an older configuration."""
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
        answer = send_statement(self.first_address, kind="read", sql="select 1")
        self.assertEqual(answer["rows"], [[1]])

    def make_client(self):
        """Return a client of both proxies."""
        return client.Client([self.first_address, self.second_address], "vendor-1")

    def count_rows(self, session, vendor):
        """Return how many rows of a vendor a session sees."""
        sql = "select count(*) from fees where vendor = ?"
        return session.read(GROUP, sql, (vendor,)).rows[0][0]


class DrainTest(unittest.TestCase):
    def test_drain_interrupts_no_request(self):
        """Guards against reads that fail while one of two proxies drains."""
        with deployment.running(deployment.SAFEPLATE, proxy_count=2) as running:
            addresses = list(running.callers_by_proxy.values())
            stop_event, failures = threading.Event(), []
            finished_reads = threading.Semaphore(0)

            def read_until_stopped(number):
                with client.Client(addresses, f"vendor-{number}") as reader:
                    session = reader.session()
                    while not stop_event.is_set():
                        try:
                            session.read(GROUP, "select 1")
                            finished_reads.release()
                        except errors.CassiahillError as error:
                            failures.append(error)
                            finished_reads.release()

            threads = [
                threading.Thread(target=read_until_stopped, args=(number,))
                for number in range(4)
            ]
            for thread in threads:
                thread.start()
            running.kill("proxy-1", deployment.signal.SIGTERM)
            exit_code = running.processes_by_name["proxy-1"].wait(WAIT_SECONDS)
            while finished_reads.acquire(blocking=False):
                pass
            for _ in range(10):
                self.assertTrue(finished_reads.acquire(timeout=WAIT_SECONDS))
            stop_event.set()
            for thread in threads:
                thread.join()
        self.assertEqual((exit_code, failures), (0, []))

    def test_process_ends_after_its_drain_and_closes_idle_connections(self):
        """Guards against open connections to a process whose loop has ended.

        A call that watches the platform's store kept such a process alive for 15 s
        after its drain; requests on the connections were never answered.
        """
        with deployment.running(deployment.SAFEPLATE, proxy_count=2) as running:
            address = running.callers_by_proxy["proxy-1"]
            connection = http.client.HTTPConnection(*address, timeout=WAIT_SECONDS)
            self.addCleanup(connection.close)
            body = {"group": GROUP, "kind": "read", "sql": "select 1"}
            self.assertEqual(
                post_on_connection(connection, "/v1/statements", body)["rows"], [[1]]
            )
            running.kill("proxy-1", deployment.signal.SIGTERM)
            started_at = time.monotonic()
            self.assertEqual(connection.sock.recv(1), b"")
            exit_code = running.processes_by_name["proxy-1"].wait(WAIT_SECONDS)
            exit_seconds = time.monotonic() - started_at
        self.assertEqual(exit_code, 0)
        self.assertLess(
            exit_seconds, proxy.DRAIN_NOTICE_SECONDS + EXIT_ALLOWANCE_SECONDS
        )


def post_on_connection(connection, path, body):
    """Send one request on an open connection and return the decoded answer."""
    headers = {"Caller": "vendor-1"}
    connection.request("POST", path, deployment.json.dumps(body), headers)
    return deployment.json.load(connection.getresponse())


class ErrorResponse(Exception):
    """An error that the proxy answered; ``code`` is its stable error code."""

    def __init__(self, http_error):
        body = deployment.json.load(http_error)
        super().__init__(body)
        self.code = body["code"]


def send_statement(address, **fields):
    """Send one statement on a new connection and return the decoded answer."""
    fields.setdefault("group", GROUP)
    try:
        return deployment.post(
            address, "/v1/statements", fields, {"Caller": "vendor-1"}
        )
    except urllib.error.HTTPError as http_error:
        raise ErrorResponse(http_error) from http_error
