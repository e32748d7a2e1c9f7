"""Tests of ``cassiahill.client`` against scripted proxies."""

import contextlib
import threading
import unittest

from cassiahill import client, errors
from tests.fake_proxy import DROP, FakeProxy, problem, proxies

OK = (200, {"columns": ["a"], "rows": [[1]], "row_count": 1, "session": "t1"}, False)
DONE = (200, {"outcome": "done", "answer": {"row_count": 1}, "session": "t2"}, False)
NOT_RUN = (200, {"outcome": "not_run"}, False)


def echo(body):
    """Answer with the request's own statement."""
    return (200, {"rows": [[body["sql"], *body["params"]]]}, False)


@contextlib.contextmanager
def session_of(*scripts, unreachable=False):
    """Yield a session and its proxies; pauses advance a clock instead of waiting."""
    clock = [1000.0]

    def pause(seconds):
        clock[0] += seconds

    with proxies(*scripts) as running:
        if unreachable:
            running[0].close()
        addresses = [p.address for p in running]
        now = lambda: clock[0]  # noqa: E731
        with client.Client(
            addresses, "ana", now=now, random_fraction=lambda: 0.5, pause=pause, first=0
        ) as made:
            yield made.session(), running


class ClientTest(unittest.TestCase):
    def test_carries_the_token_and_the_fields(self):
        """Guards against a session that loses its marks between requests."""
        with session_of([OK, OK]) as (session, (proxy,)):
            result = session.write("g", "INSERT", (1,), key="k", rank="urgent")
            session.read("g", "SELECT 1", max_age=0.5)
        self.assertEqual((result.rows, result.row_count), ([[1]], 1))
        write, read = (body for _, body in proxy.requests)
        self.assertEqual((write["key"], write["rank"]), ("k", "urgent"))
        self.assertEqual((write["timeout_ms"], write["session"]), (5000, None))
        self.assertEqual(read["session"], "t1")
        self.assertEqual(read["freshness"], {"kind": "max_age", "max_age_ms": 500})

    def test_write_without_key_is_not_sent_twice(self):
        """Guards against a write that runs twice after a lost answer."""
        with session_of([DROP, OK]) as (session, (proxy,)):
            with self.assertRaises(errors.OutcomeUnknown):
                session.write("g", "INSERT")
            self.assertEqual(len(proxy.requests), 1)

    def test_lost_write_with_key_is_resolved_at_another_proxy(self):
        """Guards against an outcome that stays unknown although the key settles it."""
        with session_of([DROP], [DONE]) as (session, (first, second)):
            result = session.write("g", "INSERT", key="k")
        self.assertTrue(result.repeated)
        self.assertEqual(len(first.requests), 1)
        ((path, body),) = second.requests
        self.assertEqual((path, body["key"]), ("/v1/outcomes", "k"))
        self.assertEqual(session.token, "t2")

    def test_resolved_as_not_run(self):
        """Guards against a caller that is left without a definite answer."""
        unavailable = problem(errors.NoPrimary())
        script = [unavailable, unavailable, NOT_RUN]
        with (
            session_of([DROP], script) as (session, _),
            self.assertRaises(errors.KeyClosed),
        ):
            session.write("g", "INSERT", key="k")

    def test_repeatable_write_is_repeated_and_not_run_stays_unknown(self):
        """Guards against "not run" that only a repetition may state."""
        wrong = problem(errors.StatementFailed("constraint"))
        with session_of([DROP], [wrong, DONE]) as (session, (_, second)):
            result = session.write("g", "INSERT", key="k", repeatable=True)
        self.assertTrue(result.repeated)
        self.assertEqual(second.requests[1][0], "/v1/outcomes")

    def test_read_moves_on_from_draining_and_lost_proxies(self):
        """Guards against a client that stays with a proxy that shuts down."""
        draining = problem(errors.Draining())
        with session_of([draining], [DROP], [OK]) as (session, running):
            session.read("g", "SELECT 1")
            self.assertEqual([len(p.requests) for p in running], [1, 1, 1])
        closing = (*OK[:2], True)
        with session_of([closing], [OK]) as (session, running):
            session.read("g", "SELECT 1")
            session.read("g", "SELECT 1")
            self.assertEqual([len(p.requests) for p in running], [1, 1])

    def test_unreachable_proxies_are_not_run(self):
        """Guards against "unknown" for a request that was never sent."""
        with (
            session_of([OK], unreachable=True) as (session, _),
            self.assertRaises(errors.BackendUnavailable),
        ):
            session.write("g", "INSERT")

    def test_connection_that_the_proxy_closed_is_not_reused(self):
        """Guards against unknown outcomes from connections that timed out idle."""
        with session_of([OK, OK]) as (session, (proxy,)):
            session.read("g", "SELECT 1")
            ((_, idle),) = session.client.connections._idle
            idle.sock.shutdown(2)
            session.write("g", "INSERT")
            self.assertEqual(len(proxy.requests), 2)

    def test_diverged_session_starts_anew(self):
        """Guards against a session that is refused for ever after a promotion."""
        diverged = problem(errors.HistoryDiverged())
        with session_of([OK, diverged, OK]) as (session, (proxy,)):
            session.read("g", "SELECT 1")
            with self.assertRaises(errors.HistoryDiverged):
                session.read("g", "SELECT 1")
            session.read("g", "SELECT 1")
        self.assertIsNone(proxy.requests[2][1]["session"])

    def test_token_of_an_unknown_outcome_is_kept(self):
        """Guards against a read that skips a write of unknown outcome."""
        unknown = problem(errors.OutcomeUnknown(), session="after")
        with session_of([unknown]) as (session, _):
            with self.assertRaises(errors.OutcomeUnknown):
                session.write("g", "INSERT")
            self.assertEqual(session.token, "after")

    def test_transaction_commits_rolls_back_and_resolves(self):
        """Guards against commits after an exception and lost commits left open."""
        begun = (200, {"transaction": "7"}, False)
        with (
            session_of([begun, OK, OK]) as (session, (proxy,)),
            session.transaction("g") as transaction,
        ):
            transaction.execute("INSERT")
        paths = [path for path, _ in proxy.requests]
        self.assertEqual(paths[1], "/v1/transactions/7/statements")
        self.assertEqual(paths[2], "/v1/transactions/7/commit")
        with (
            session_of([begun, OK]) as (session, (proxy,)),
            self.assertRaises(ZeroDivisionError),
            session.transaction("g"),
        ):
            raise ZeroDivisionError
        self.assertEqual(proxy.requests[1][0], "/v1/transactions/7/rollback")
        with (
            session_of([begun, DROP], [DONE]) as (session, (_, second)),
            session.transaction("g", key="k"),
        ):
            pass
        self.assertEqual(second.requests[0][0], "/v1/outcomes")

    def test_retry_budget_bounds_the_requests(self):
        """Guards against a client that multiplies the load of a fault."""
        proxy = FakeProxy(default=problem(errors.Overloaded()))
        self.addCleanup(proxy.close)
        made = client.Client([proxy.address], "ana", pause=lambda seconds: None)
        self.addCleanup(made.close)
        for _ in range(50):
            with self.assertRaises(errors.Overloaded):
                made.session().read("g", "SELECT 1")
        self.assertLessEqual(len(proxy.requests), 50 + 5 + 5)

    def test_threads_get_their_own_answers(self):
        """Guards against answers that reach another thread's request."""
        proxy = FakeProxy(default=echo)
        self.addCleanup(proxy.close)
        made = client.Client([proxy.address], "ana")
        self.addCleanup(made.close)
        answers = []

        def work(number):
            session = made.session()
            for step in range(20):
                rows = session.read("g", f"SELECT {number}", (step,)).rows
                answers.append(rows == [[f"SELECT {number}", step]])

        threads = [threading.Thread(target=work, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [True] * 80)
