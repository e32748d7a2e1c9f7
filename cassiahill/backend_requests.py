"""Requests to an owned backend server, and transactions pinned to a connection."""

import attrs

from cassiahill import backend, errors
from cassiahill.loop import LoopFuture, failed_future

MAX_ATTEMPTS = 2
TIMEOUT_TOLERANCE_SECONDS = 0.01  # saves a copy of most batches


@attrs.define(eq=False)
class BackendRequest:
    """A request to run a batch, or to begin or end a transaction.

    ``send(request, connection)`` sends the request on a connection and returns the
    future of the answer. ``sent_at`` is None until the request is sent; its answer is
    awaited up to the instant ``answer_deadline``.
    """

    request_id: int
    rank: int
    caller: str
    deadline: float
    timeout_seconds: float
    read_only: bool
    send: object
    transaction: object = None
    ends_transaction: bool = False
    connection_id: int | None = None
    may_have_run: bool = False
    sent_at: float | None = None
    answer_deadline: float = 0.0
    attempt_count: int = 0
    future: LoopFuture = attrs.field(factory=LoopFuture)

    def may_retry(self, now):
        """Return whether attempts and time are left for sending the request again.

        Requests of a transaction are never sent again.
        """
        if self.transaction is not None or self.attempt_count >= MAX_ATTEMPTS:
            return False
        return now < self.deadline


class BackendTransaction:
    """A transaction that is pinned to one connection.

    It takes a slot only while one of its statements runs. An error that comes from the
    database, or a lost answer, ends it; a refusal by admission does not.

    Parameters
    ----------
    executor : request_executor.Runner
    request_context : object
        Has ``rank`` and ``caller``.
    term : int
    """

    def __init__(self, executor, request_context, term):
        self.request_context = request_context
        self.term = term
        self.connection_id = None
        self.ended = False
        self.has_unfinished_request = False
        self.holds_locks = False
        self._executor = executor

    def execute(self, batch, deadline):
        """Run a batch; the future's result is a ``backend.BatchResult``."""
        return self._submit(
            batch_sender(batch), batch.read_only, deadline, batch.timeout
        )

    def commit(self, deadline):
        """Commit; the future's result is a ``backend.BatchResult`` without results."""

        def send(request, connection):
            return connection.commit(self.term, request.answer_deadline)

        return self._submit(send, False, deadline, ends_transaction=True)

    def rollback(self, deadline):
        """Roll back; return a future that completes when the database has answered."""

        def send(request, connection):
            return connection.rollback(request.answer_deadline)

        return self._submit(send, True, deadline, ends_transaction=True)

    def close(self):
        """Close the connection, so that the database rolls the transaction back."""
        if not self.ended:
            self._executor.abandon_transaction(self)

    def _submit(
        self, send, read_only, deadline, timeout_seconds=None, ends_transaction=False
    ):
        if self.ended:
            return failed_future(errors.NoTransaction("the transaction has ended"))
        if self.has_unfinished_request:
            return failed_future(
                errors.NotRunError("a statement of the transaction runs")
            )
        return self._executor.submit_in_transaction(
            self, send, read_only, deadline, timeout_seconds, ends_transaction
        )


def batch_sender(batch):
    """Return the ``send`` function of a request that executes a batch.

    The database may spend no longer than the answer is awaited, so that the slot is
    free when the request is given up.
    """

    def send(request, connection):
        remaining_seconds = request.answer_deadline - request.sent_at
        if batch.timeout <= remaining_seconds + TIMEOUT_TOLERANCE_SECONDS:
            return connection.execute(batch, request.answer_deadline)
        shortened_batch = backend.Batch(
            batch.statements, batch.term, batch.read_only, remaining_seconds
        )
        return connection.execute(shortened_batch, request.answer_deadline)

    return send
