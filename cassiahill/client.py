"""Synchronous, thread-safe client for callers, over HTTP/1.1 with JSON."""

import contextlib
import random
import threading
import time

import attrs

from cassiahill import errors, messages, retries
from cassiahill.client_connections import ProxyConnections

DEFAULT_TIMEOUT = 5.0  # seconds
RESOLVE_TIMEOUT = 10.0  # seconds; a promotion takes at most 6 s
RESOLVE_ATTEMPT_TIMEOUT = 2.0  # seconds, so that a hung proxy leaves time for others
RESOLVE_PAUSE = 0.05  # seconds, the least between two attempts


@attrs.frozen
class Result:
    """Answer of a statement.

    ``age`` is an upper bound in seconds for reads. ``repeated`` tells that a write with
    a key had run in an earlier attempt; only its row count is known then.
    """

    columns: list
    rows: list
    row_count: int
    term: int
    position: int
    server: str = ""
    age: float | None = None
    repeated: bool = False


class Client:
    """Client of several proxies.

    Parameters
    ----------
    addresses : iterable of (str, int)
        Proxies; the client stays with one and moves on when it drains or fails.
    caller : str
        Name of the caller, for connections without TLS.
    ssl_context : ssl.SSLContext or None
    budget : retries.RetryBudget or None
    now, random_fraction : callable
        Monotonic time in seconds, and random numbers in [0, 1).
    pause : callable
        Waits for a number of seconds.
    first : int or None
        Index of the proxy to start with; a random one when it is None.
    """

    def __init__(
        self,
        addresses,
        caller,
        *,
        ssl_context=None,
        budget=None,
        now=time.monotonic,
        random_fraction=random.random,
        pause=time.sleep,
        first=None,
    ):
        addresses = list(addresses)
        # Otherwise all clients would start at the same proxy.
        first = int(random_fraction() * len(addresses)) if first is None else first
        addresses = addresses[first:] + addresses[:first]
        self.connections = ProxyConnections(addresses, caller, ssl_context, now)
        self.now = now
        self.random_fraction = random_fraction
        self.pause = pause
        self._budget = budget or retries.RetryBudget()
        self._lock = threading.Lock()

    def session(self, token=None):
        """Return a session; ``token`` continues one that ran elsewhere."""
        return Session(self, token)

    def close(self):
        """Close the idle connections."""
        self.connections.close()

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self.close()

    def count_request(self):
        """Count a first attempt in the retry budget."""
        with self._lock:
            self._budget.record_request()

    def decide_retry(self, attempt, error):
        """Return ``retries.RetryAt`` or ``retries.Stop`` for a failed attempt."""
        with self._lock:
            return retries.decide_retry(
                attempt, error, self._budget, self.now(), self.random_fraction()
            )


class Session:
    """A sequence of operations that sees its own writes and never goes back.

    Operations of one session run one after another, also from several threads; use one
    session per thread for parallel work. ``token`` can be handed to another process.
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
        timeout=DEFAULT_TIMEOUT,
    ):
        """Run a read.

        Parameters
        ----------
        group, sql : str
        params : sequence
        max_age : float or None
            Oldest data that is accepted, in seconds; own writes are always seen.
        any_age : bool
            Accept data of any age that does not go back within the session.
        rank : {"urgent", "lookup", "routine"}
        timeout : float
            Seconds.

        Returns
        -------
        Result

        Raises
        ------
        errors.HistoryDiverged
            When the session saw a write that a promotion dropped. The session starts
            anew with its next operation.
        errors.CassiahillError
        """
        freshness = {"kind": "any" if any_age else "own_writes"}
        if max_age is not None:
            freshness = {"kind": "max_age", "max_age_ms": max_age * 1000}
        body = {"kind": "read", "freshness": freshness}
        return self._statement(body, group, sql, params, rank, timeout)

    def write(
        self,
        group,
        sql,
        params=(),
        *,
        key=None,
        repeatable=False,
        rank="routine",
        timeout=DEFAULT_TIMEOUT,
        resolve_timeout=RESOLVE_TIMEOUT,
    ):
        """Run a write.

        With a key, an unknown outcome is settled before the call returns: the write has
        then run once, or the error says that it did not run and cannot run any more.

        Parameters
        ----------
        group, sql : str
        params : sequence
        key : str or None
            Idempotency key, unique among the caller's writes.
        repeatable : bool
            The write may be sent again; this needs a key.
        rank : {"urgent", "lookup", "routine"}
        timeout : float
            Seconds for the write.
        resolve_timeout : float
            Further seconds to settle an unknown outcome.

        Returns
        -------
        Result

        Raises
        ------
        errors.OutcomeUnknown
            When the write may have run.
        errors.CassiahillError
        """
        body = {"kind": "write", "key": key, "repeatable": repeatable}
        try:
            return self._statement(body, group, sql, params, rank, timeout)
        except errors.CassiahillError as error:
            if error.may_have_run is errors.MayHaveRun.NO:
                raise
            if key is None:
                raise errors.OutcomeUnknown(error.detail) from error
            return self.resolve(group, key, timeout=resolve_timeout)

    def resolve(self, group, key, *, timeout=RESOLVE_TIMEOUT):
        """Settle the outcome of a write or transaction with a key.

        Returns
        -------
        Result
            When it ran; only the row count of a statement is known.

        Raises
        ------
        errors.KeyClosed
            When it did not run; the key is closed, so that it cannot run any more.
        errors.OutcomeUnknown
            When no proxy settled it in time.
        """
        answer = self._settle({"group": group, "key": key}, timeout)
        if answer.get("outcome") == "done":
            return _result(answer.get("answer") or {}, repeated=True)
        raise errors.KeyClosed(f"the write with key {key} did not run")

    @contextlib.contextmanager
    def transaction(
        self,
        group,
        *,
        key=None,
        rank="routine",
        timeout=DEFAULT_TIMEOUT,
        resolve_timeout=RESOLVE_TIMEOUT,
    ):
        """Run a transaction: commit at the end, roll back on an exception.

        Yields
        ------
        Transaction

        Raises
        ------
        errors.OutcomeUnknown
            When the commit may have taken effect. With a key, its outcome is settled
            instead.
        """
        with self._lock:
            body = {"group": group, "key": key, "rank": rank}
            path = "/v1/transactions"
            with self.client.connections.pinned() as pinned:
                answer = self._call(path, body, timeout, "read", False, None, pinned)
                transaction = Transaction(self, answer["transaction"], pinned, timeout)
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

    def _statement(self, body, group, sql, params, rank, timeout):
        body |= {"group": group, "sql": sql, "params": list(params), "rank": rank}
        kind = body["kind"]
        repeatable, key = body.get("repeatable", False), body.get("key")
        return _result(
            self._call("/v1/statements", body, timeout, kind, repeatable, key)
        )

    def _settle(self, body, timeout):
        """Ask for an outcome until the deadline; closing a key twice is harmless."""
        client = self.client
        deadline = client.now() + timeout
        failure = errors.DeadlinePassed("no time to ask")
        number = 0
        while True:
            attempt_deadline = min(deadline, client.now() + RESOLVE_ATTEMPT_TIMEOUT)
            try:
                with self._lock:
                    return self.send("/v1/outcomes", body, attempt_deadline)
            except errors.HistoryDiverged as error:
                self.token, failure = None, error
            except errors.CassiahillError as error:
                if error.http_status < 500 and error.retry_after is None:
                    raise
                failure = error
            pause = (
                retries.backoff_seconds(number, client.random_fraction())
                + RESOLVE_PAUSE
            )
            if client.now() + pause >= deadline:
                raise errors.OutcomeUnknown(f"key {body['key']}: {failure.detail}")
            client.pause(pause)
            number += 1

    def _call(self, path, body, timeout, kind, repeatable, key, pinned=None):
        """Send a request and repeat it while that is safe; keep the session token."""
        with self._lock:
            client = self.client
            deadline = client.now() + timeout
            client.count_request()
            number, unknown = 0, None
            while True:
                try:
                    return self.send(path, body, deadline, pinned)
                except errors.HistoryDiverged:
                    self.token = None
                    raise
                except errors.CassiahillError as error:
                    failure = error
                sent = failure.may_have_run is not errors.MayHaveRun.NO
                if sent:
                    unknown = failure
                attempt = retries.Attempt(kind, repeatable, key, sent, number, deadline)
                decision = client.decide_retry(attempt, failure)
                if isinstance(decision, retries.Stop):
                    # "Not run" of a repetition says nothing of the first attempt.
                    raise _final(kind, unknown, failure) from failure
                client.pause(max(0.0, decision.at - client.now()))
                number += 1

    def send(self, path, body, deadline, pinned=None):
        """Send one request with the session token; return the decoded answer."""
        remaining_ms = int((deadline - self.client.now()) * 1000)
        if remaining_ms <= 0:
            raise errors.DeadlinePassed("the deadline passed before sending")
        fields = {**body, "timeout_ms": min(remaining_ms, messages.MAX_TIMEOUT_MS)}
        if "group" in body:
            fields["session"] = self.token
        status, answer = self.client.connections.exchange(
            path, fields, deadline, pinned
        )
        # Errors of unknown outcome carry a token too: it covers the write's position.
        self.token = answer.get("session") or self.token
        if status >= 400:
            raise _error(answer)
        return answer


class Transaction:
    """An open transaction; see ``Session.transaction``."""

    def __init__(self, session, transaction_id, pinned, timeout):
        self._session = session
        self._path = f"/v1/transactions/{transaction_id}"
        self._pinned = pinned
        self._timeout = timeout

    def execute(self, sql, params=()):
        """Run a statement within the transaction; return its ``Result``."""
        body = {"sql": sql, "params": list(params)}
        return _result(self._send("/statements", body))

    def end(self, how):
        """Send ``"commit"`` or ``"rollback"``."""
        self._send("/" + how, {})

    def _send(self, suffix, body):
        deadline = self._session.client.now() + self._timeout
        return self._session.send(self._path + suffix, body, deadline, self._pinned)


def _final(kind, unknown, failure):
    if kind == "read" or unknown is None or failure is unknown:
        return failure
    if isinstance(failure, errors.KeyClosed | errors.KeyConflict):
        return failure  # The key proves that no attempt ran, or that it cannot be ours.
    return errors.OutcomeUnknown(f"{unknown.detail}; then: {failure.detail}")


def _error(problem):
    try:
        return errors.from_problem(problem)
    except (ValueError, TypeError):
        return errors.CassiahillError("the answer is not a valid problem")


def _result(answer, repeated=False):
    age_ms = answer.get("age_ms")
    return Result(
        columns=answer.get("columns", []),
        rows=answer.get("rows", []),
        row_count=answer.get("row_count", 0),
        term=answer.get("term", 0),
        position=answer.get("position", 0),
        server=answer.get("server", ""),
        age=None if age_ms is None else age_ms / 1000,
        repeated=repeated or bool(answer.get("repeated", False)),
    )
