"""Sessions and transactions of the Python client."""

import contextlib
import threading

from cassiahill import errors, messages, retries
from cassiahill.client_results import (
    error_from_answer,
    error_to_raise,
    result_from_answer,
)

DEFAULT_TIMEOUT_SECONDS = 5.0
# Longer than a promotion, which takes at most 6 s.
RESOLVE_TIMEOUT_SECONDS = 10.0
# Short enough to ask other proxies as well when one proxy does not answer.
RESOLVE_ATTEMPT_TIMEOUT_SECONDS = 2.0
RESOLVE_MIN_PAUSE_SECONDS = 0.05  # Lower bound of the pause between two attempts.


class Session:
    """A sequence of requests with read-your-writes and monotonic-read consistency.

    Requests of one session run one at a time, also when several threads send them; use
    one session per thread to run requests in parallel. ``token`` can be passed to
    another process to continue the session there.
    """

    def __init__(self, client, token=None):
        self.client = client
        self.token = token
        self._lock = threading.RLock()

    def read(
        self,
        group,
        sql,
        params=(),
        *,
        max_age=None,
        any_age=False,
        rank="lookup",
        timeout=DEFAULT_TIMEOUT_SECONDS,
    ):
        """Run a read and return its result.

        Parameters
        ----------
        group, sql : str
        params : sequence
        max_age : float or None
            Maximum age of the data in seconds; the session's own writes are always
            visible.
        any_age : bool
            Accept data of any age, but never older than what the session has seen.
        rank : {"urgent", "lookup", "routine"}
            Priority of the request, highest first.
        timeout : float
            Seconds.

        Returns
        -------
        Result

        Raises
        ------
        errors.HistoryDiverged
            When the session saw a write that a promotion dropped. The next request
            starts with a new session token.
        errors.CassiahillError
            When the read failed in another way.
        """
        freshness = {"kind": "any" if any_age else "own_writes"}
        if max_age is not None:
            freshness = {"kind": "max_age", "max_age_ms": max_age * 1000}
        body = {"kind": "read", "freshness": freshness}
        return self._run_statement(body, group, sql, params, rank, timeout)

    def write(
        self,
        group,
        sql,
        params=(),
        *,
        key=None,
        repeatable=False,
        rank="routine",
        timeout=DEFAULT_TIMEOUT_SECONDS,
        resolve_timeout=RESOLVE_TIMEOUT_SECONDS,
    ):
        """Run a write and return its result.

        With a key, an unknown outcome is resolved first: either the write ran exactly
        once, or the error says that it did not run and can no longer run. Only if that
        fails too is ``errors.OutcomeUnknown`` raised.

        Parameters
        ----------
        group, sql : str
        params : sequence
        key : str or None
            Idempotency key, unique among the caller's writes.
        repeatable : bool
            Allow the write to be sent again; requires a key.
        rank : {"urgent", "lookup", "routine"}
            Priority of the request, highest first.
        timeout : float
            Seconds for the write.
        resolve_timeout : float
            Additional seconds to resolve an unknown outcome.

        Returns
        -------
        Result

        Raises
        ------
        errors.OutcomeUnknown
            When the write may have run.
        errors.CassiahillError
            When the write failed in another way.
        """
        body = {"kind": "write", "key": key, "repeatable": repeatable}
        try:
            return self._run_statement(body, group, sql, params, rank, timeout)
        except errors.CassiahillError as error:
            if error.may_have_run is errors.MayHaveRun.NO:
                raise
            if key is None:
                raise errors.OutcomeUnknown(error.detail) from error
            return self.resolve(group, key, timeout=resolve_timeout)

    def resolve(self, group, key, *, timeout=RESOLVE_TIMEOUT_SECONDS):
        """Determine whether a write or transaction with a key ran.

        Parameters
        ----------
        group : str
        key : str
            Idempotency key of the write or transaction.
        timeout : float
            Seconds.

        Returns
        -------
        Result
            When it ran; only the row count of a statement is known.

        Raises
        ------
        errors.KeyClosed
            When it did not run; the key is closed, so that it can no longer run.
        errors.OutcomeUnknown
            When no proxy determined the outcome in time.
        """
        answer = self._fetch_outcome({"group": group, "key": key}, timeout)
        if answer.get("outcome") == "done":
            return result_from_answer(answer.get("answer") or {}, repeated=True)
        raise errors.KeyClosed(f"the write with key {key} did not run")

    @contextlib.contextmanager
    def transaction(
        self,
        group,
        *,
        key=None,
        rank="routine",
        timeout=DEFAULT_TIMEOUT_SECONDS,
        resolve_timeout=RESOLVE_TIMEOUT_SECONDS,
    ):
        """Run a transaction: commit at the end, roll back on an exception.

        Parameters
        ----------
        group : str
        key : str or None
            Idempotency key, unique among the caller's writes.
        rank : {"urgent", "lookup", "routine"}
            Priority of the request, highest first.
        timeout : float
            Seconds for each request of the transaction.
        resolve_timeout : float
            Additional seconds to resolve an unknown outcome of the commit.

        Yields
        ------
        Transaction

        Raises
        ------
        errors.OutcomeUnknown
            When the commit may have taken effect. With a key, the outcome is resolved
            first, and the error is raised only if that fails too.
        """
        with self._lock:
            body = {"group": group, "key": key, "rank": rank}
            path = "/v1/transactions"
            with self.client.connections.pinned_connection() as connection_holder:
                # Opening a transaction is safe to repeat, like a read.
                answer = self._send_with_retries(
                    path, body, timeout, "read", False, None, connection_holder
                )
                transaction = Transaction(
                    self, answer["transaction"], connection_holder, timeout
                )
                try:
                    yield transaction
                except BaseException:
                    with contextlib.suppress(errors.CassiahillError):
                        transaction.end("rollback")
                    raise
                try:
                    transaction.end("commit")
                except errors.CassiahillError as error:
                    if error.may_have_run is errors.MayHaveRun.NO:
                        raise
                    if key is None:
                        raise errors.OutcomeUnknown(error.detail) from error
                    self.resolve(group, key, timeout=resolve_timeout)

    def _run_statement(self, body, group, sql, params, rank, timeout):
        body |= {"group": group, "sql": sql, "params": list(params), "rank": rank}
        kind = body["kind"]
        repeatable, key = body.get("repeatable", False), body.get("key")
        return result_from_answer(
            self._send_with_retries(
                "/v1/statements", body, timeout, kind, repeatable, key
            )
        )

    def _fetch_outcome(self, body, timeout):
        """Request the outcome of a key until a proxy answers or the deadline passes.

        The request also closes the key if its write did not run; it can be repeated,
        because closing a key twice has no further effect.
        """
        client = self.client
        deadline = client.now() + timeout
        last_error = errors.DeadlinePassed("no time to ask")
        attempt_number = 0
        while True:
            attempt_deadline = min(
                deadline, client.now() + RESOLVE_ATTEMPT_TIMEOUT_SECONDS
            )
            try:
                with self._lock:
                    return self.send("/v1/outcomes", body, attempt_deadline)
            except errors.HistoryDiverged as error:
                self.token, last_error = None, error
            except errors.CassiahillError as error:
                if error.http_status < 500 and error.retry_after is None:
                    raise
                last_error = error
            pause_seconds = (
                retries.backoff_seconds(attempt_number, client.random_fraction())
                + RESOLVE_MIN_PAUSE_SECONDS
            )
            if client.now() + pause_seconds >= deadline:
                raise errors.OutcomeUnknown(f"key {body['key']}: {last_error.detail}")
            client.pause(pause_seconds)
            attempt_number += 1

    def _send_with_retries(
        self, path, body, timeout, kind, repeatable, key, connection_holder=None
    ):
        """Send a request, repeat it while that is safe, and return its answer."""
        with self._lock:
            client = self.client
            deadline = client.now() + timeout
            client.record_request()
            attempt_number, unknown_outcome_error = 0, None
            while True:
                try:
                    return self.send(path, body, deadline, connection_holder)
                except errors.HistoryDiverged:
                    self.token = None
                    raise
                except errors.CassiahillError as error:
                    last_error = error
                sent = last_error.may_have_run is not errors.MayHaveRun.NO
                if sent:
                    unknown_outcome_error = last_error
                attempt = retries.Attempt(
                    kind, repeatable, key, sent, attempt_number, deadline
                )
                decision = client.decide_retry(attempt, last_error)
                if isinstance(decision, retries.Stop):
                    # That the last attempt did not run does not mean that an earlier
                    # attempt did not run.
                    raise error_to_raise(
                        kind, unknown_outcome_error, last_error
                    ) from last_error
                client.pause(max(0.0, decision.at - client.now()))
                attempt_number += 1

    def send(self, path, body, deadline, connection_holder=None):
        """Send one request and return the decoded answer.

        The session token is sent with the request and updated from the answer.

        Parameters
        ----------
        path : str
        body : dict
        deadline : float
            Monotonic time in seconds.
        connection_holder : list or None
            From ``ProxyConnections.pinned_connection``, for requests of a transaction.

        Returns
        -------
        dict

        Raises
        ------
        errors.CassiahillError
            When the request failed or the proxy answered with an error.
        """
        remaining_ms = int((deadline - self.client.now()) * 1000)
        if remaining_ms <= 0:
            raise errors.DeadlinePassed("the deadline passed before sending")
        request_fields = {
            **body,
            "timeout_ms": min(remaining_ms, messages.MAX_TIMEOUT_MS),
        }
        if "group" in body:
            request_fields["session"] = self.token
        status, answer = self.client.connections.send_request(
            path, request_fields, deadline, connection_holder
        )
        # Answers with an unknown outcome carry a token too: it includes the position
        # that the write has if it ran.
        self.token = answer.get("session") or self.token
        if status >= 400:
            raise error_from_answer(answer)
        return answer


class Transaction:
    """An open transaction; see ``Session.transaction``."""

    def __init__(self, session, transaction_id, connection_holder, timeout):
        self._session = session
        self._path = f"/v1/transactions/{transaction_id}"
        self._connection_holder = connection_holder
        self._timeout = timeout

    def execute(self, sql, params=()):
        """Run a statement within the transaction; return its ``Result``."""
        body = {"sql": sql, "params": list(params)}
        return result_from_answer(self._send("/statements", body))

    def end(self, action):
        """End the transaction; ``action`` is ``"commit"`` or ``"rollback"``."""
        self._send("/" + action, {})

    def _send(self, subpath, body):
        deadline = self._session.client.now() + self._timeout
        return self._session.send(
            self._path + subpath, body, deadline, self._connection_holder
        )
