"""Tests of ``cassiahill.client`` against proxies with scripted answers."""

import contextlib
import http.client
import threading
import unittest
from unittest import mock

from cassiahill import client, client_connections, clock, errors
from tests.fake_proxy import DROP, FakeProxy, error_entry, running_proxies
from tests.slow_socket import SlowSocket

# Script entries of a proxy: the answer to a statement, and those to an outcome request.
OK = (200, {"columns": ["a"], "rows": [[1]], "row_count": 1, "session": "t1"}, False)
DONE = (200, {"outcome": "done", "answer": {"row_count": 1}, "session": "t2"}, False)
NOT_RUN = (200, {"outcome": "not_run"}, False)


def echo_statement(body):
    """Return the answer whose only row is the request's statement and parameters."""
    return (200, {"rows": [[body["sql"], *body["params"]]]}, False)


@contextlib.contextmanager
def scripted_session(*scripts, unreachable=False):
    """Yield a session and its fake proxies, one for each script.

    Pauses advance a manual clock instead of sleeping. With ``unreachable``, the first
    proxy is closed.
    """
    clock_seconds = [1000.0]

    def pause(seconds):
        clock_seconds[0] += seconds

    with running_proxies(*scripts) as fake_proxies:
        if unreachable:
            fake_proxies[0].close()
        addresses = [proxy.address for proxy in fake_proxies]
        now = lambda: clock_seconds[0]  # noqa: E731
        with client.Client(
            addresses,
            "ana",
            now=now,
            random_fraction=lambda: 0.5,
            pause=pause,
            first_index=0,
        ) as scripted_client:
            yield scripted_client.session(), fake_proxies


class ClientTest(unittest.TestCase):
    def test_requests_carry_the_session_token_and_all_fields(self):
        """Guards against a session that loses its token between requests."""
        with scripted_session([OK, OK]) as (session, (proxy,)):
            result = session.write("g", "INSERT", (1,), key="k", rank="urgent")
            session.read("g", "SELECT 1", max_age=0.5)
        self.assertEqual((result.rows, result.row_count), ([[1]], 1))
        write, read = (body for _, body in proxy.requests)
        self.assertEqual((write["key"], write["rank"]), ("k", "urgent"))
        self.assertEqual((write["timeout_ms"], write["session"]), (5000, None))
        self.assertEqual(read["session"], "t1")
        self.assertEqual(read["freshness"], {"kind": "max_age", "max_age_ms": 500})

    def test_write_without_key_is_not_sent_twice(self):
        """Guards against a write that runs twice because its answer was lost."""
        with scripted_session([DROP, OK]) as (session, (proxy,)):
            with self.assertRaises(errors.OutcomeUnknown):
                session.write("g", "INSERT")
            self.assertEqual(len(proxy.requests), 1)

    def test_lost_write_with_key_is_resolved_at_another_proxy(self):
        """Guards against an unknown outcome that the key would have resolved."""
        with scripted_session([DROP], [DONE]) as (session, (first_proxy, second_proxy)):
            result = session.write("g", "INSERT", key="k")
        self.assertTrue(result.repeated)
        self.assertEqual(len(first_proxy.requests), 1)
        ((path, body),) = second_proxy.requests
        self.assertEqual((path, body["key"]), ("/v1/outcomes", "k"))
        self.assertEqual(session.token, "t2")

    def test_lost_write_that_did_not_run_raises_key_closed(self):
        """Guards against an unknown outcome when a proxy can say that it did not run.

        The outcome request itself fails twice first.
        """
        unavailable = error_entry(errors.NoPrimary())
        script = [unavailable, unavailable, NOT_RUN]
        with (
            scripted_session([DROP], script) as (session, _),
            self.assertRaises(errors.KeyClosed),
        ):
            session.write("g", "INSERT", key="k")

    def test_not_run_of_a_repeated_write_does_not_decide_the_outcome(self):
        """Guards against reporting "not run" when only the repetition did not run.

        The first attempt of the repeatable write lost its answer and may have run.
        """
        failed = error_entry(errors.StatementFailed("constraint"))
        with scripted_session([DROP], [failed, DONE]) as (session, (_, second_proxy)):
            result = session.write("g", "INSERT", key="k", repeatable=True)
        self.assertTrue(result.repeated)
        self.assertEqual(second_proxy.requests[1][0], "/v1/outcomes")

    def test_read_changes_proxy_after_draining_or_a_lost_connection(self):
        """Guards against a client that keeps using a proxy that shuts down."""
        draining = error_entry(errors.Draining())
        with scripted_session([draining], [DROP], [OK]) as (session, fake_proxies):
            session.read("g", "SELECT 1")
            self.assertEqual([len(proxy.requests) for proxy in fake_proxies], [1, 1, 1])
        closing = (*OK[:2], True)
        with scripted_session([closing], [OK]) as (session, fake_proxies):
            session.read("g", "SELECT 1")
            session.read("g", "SELECT 1")
            self.assertEqual([len(proxy.requests) for proxy in fake_proxies], [1, 1])

    def test_request_to_unreachable_proxies_is_reported_as_not_run(self):
        """Guards against an unknown outcome for a write that was never sent."""
        with (
            scripted_session([OK], unreachable=True) as (session, _),
            self.assertRaises(errors.BackendUnavailable),
        ):
            session.write("g", "INSERT")

    def test_connection_that_the_proxy_closed_is_not_reused(self):
        """Guards against unknown outcomes on idle connections that the proxy closed."""
        with scripted_session([OK, OK]) as (session, (proxy,)):
            session.read("g", "SELECT 1")
            ((_, idle_connection),) = session.client.connections._idle_connections
            idle_connection.sock.shutdown(2)
            session.write("g", "INSERT")
            self.assertEqual(len(proxy.requests), 2)

    def test_session_restarts_after_its_history_diverged(self):
        """Guards against a session that is refused permanently after a promotion."""
        diverged = error_entry(errors.HistoryDiverged())
        with scripted_session([OK, diverged, OK]) as (session, (proxy,)):
            session.read("g", "SELECT 1")
            with self.assertRaises(errors.HistoryDiverged):
                session.read("g", "SELECT 1")
            session.read("g", "SELECT 1")
        self.assertIsNone(proxy.requests[2][1]["session"])

    def test_token_of_an_unknown_outcome_is_kept(self):
        """Guards against a later read that misses a write of unknown outcome."""
        unknown = error_entry(errors.OutcomeUnknown(), session="after")
        with scripted_session([unknown]) as (session, _):
            with self.assertRaises(errors.OutcomeUnknown):
                session.write("g", "INSERT")
            self.assertEqual(session.token, "after")

    def test_transaction_commits_rolls_back_and_resolves_its_outcome(self):
        """Guards against commits after an exception and unresolved lost commits."""
        opened = (200, {"transaction": "7"}, False)
        with (
            scripted_session([opened, OK, OK]) as (session, (proxy,)),
            session.transaction("g") as transaction,
        ):
            transaction.execute("INSERT")
        paths = [path for path, _ in proxy.requests]
        self.assertEqual(paths[1], "/v1/transactions/7/statements")
        self.assertEqual(paths[2], "/v1/transactions/7/commit")
        with (
            scripted_session([opened, OK]) as (session, (proxy,)),
            self.assertRaises(ZeroDivisionError),
            session.transaction("g"),
        ):
            raise ZeroDivisionError
        self.assertEqual(proxy.requests[1][0], "/v1/transactions/7/rollback")
        with (
            scripted_session([opened, DROP], [DONE]) as (session, (_, second_proxy)),
            session.transaction("g", key="k"),
        ):
            pass
        self.assertEqual(second_proxy.requests[0][0], "/v1/outcomes")

    def test_retry_budget_limits_the_requests(self):
        """Guards against retries that multiply the load on an overloaded proxy."""
        proxy = FakeProxy(default=error_entry(errors.Overloaded()))
        self.addCleanup(proxy.close)
        proxy_client = client.Client([proxy.address], "ana", pause=lambda seconds: None)
        self.addCleanup(proxy_client.close)
        for _ in range(50):
            with self.assertRaises(errors.Overloaded):
                proxy_client.session().read("g", "SELECT 1")
        # 5 retries are available at the start, and 50 requests earn 5 more.
        self.assertLessEqual(len(proxy.requests), 50 + 5 + 5)

    def test_answer_that_arrives_slowly_ends_at_the_deadline(self):
        """Guards against a caller that a proxy holds by a byte now and then."""
        manual_clock = clock.ManualClock()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

        def connect(connection):
            connection.sock = SlowSocket(manual_clock, answer, connection.timeout, 1.0)

        with (
            mock.patch.object(http.client.HTTPConnection, "connect", connect),
            client.Client([("127.0.0.1", 1)], "ana", now=manual_clock.now) as caller,
            self.assertRaises(errors.OutcomeUnknown),
        ):
            started_at = manual_clock.now()
            caller.session().write("g", "INSERT", timeout=5.0)
        self.assertLessEqual(
            manual_clock.now() - started_at,
            5.0 + client_connections.ANSWER_GRACE_SECONDS,
        )

    def test_threads_receive_the_answers_to_their_own_requests(self):
        """Guards against an answer that another thread receives."""
        proxy = FakeProxy(default=echo_statement)
        self.addCleanup(proxy.close)
        proxy_client = client.Client([proxy.address], "ana")
        self.addCleanup(proxy_client.close)
        matches = []

        def read_repeatedly(thread_number):
            session = proxy_client.session()
            for read_number in range(20):
                rows = session.read("g", f"SELECT {thread_number}", (read_number,)).rows
                matches.append(rows == [[f"SELECT {thread_number}", read_number]])

        threads = [
            threading.Thread(target=read_repeatedly, args=(thread_number,))
            for thread_number in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(matches, [True] * 80)
