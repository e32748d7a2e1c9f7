"""Statements and transactions on their way to an owned backend server."""

import attrs

from cassiahill import backend, errors
from cassiahill.loop import LoopFuture, failed_future

MAX_ATTEMPTS = 2
TIMEOUT_TOLERANCE = 0.01  # seconds; saves a copy of most batches


@attrs.define(eq=False)
class Call:
    """One statement, or the begin or end of a transaction.

    ``run(call, connection)`` hands it to a connection; ``bound`` is the instant up to
    which its answer is awaited. ``sent_at`` is None until it was handed over.
    """

    request_id: int
    rank: int
    caller: str
    deadline: float
    timeout: float
    read_only: bool
    run: object
    transaction: object = None
    ends_transaction: bool = False
    connection_id: int | None = None
    may_have_run: bool = False
    sent_at: float | None = None
    bound: float = 0.0
    attempts: int = 0
    future: LoopFuture = attrs.field(factory=LoopFuture)

    def may_repeat(self, now):
        """Return whether a call that never ran, or a read, may be sent again."""
        if self.transaction is not None or self.attempts >= MAX_ATTEMPTS:
            return False
        return now < self.deadline


class Transaction:
    """A transaction that is pinned to one connection.

    It takes a slot only while one of its statements runs. An error that comes from the
    database, or a lost answer, ends it; a refusal by admission does not.

    Parameters
    ----------
    server : owned_servers.OwnedServer
    request_context : object
        Has ``rank`` and ``caller``.
    term : int
    """

    def __init__(self, server, request_context, term):
        self.request_context = request_context
        self.term = term
        self.connection_id = None
        self.ended = False
        self.busy = False
        self.holds_locks = False
        self._server = server

    def execute(self, batch, deadline):
        """Run a batch; the future's result is a ``backend.BatchResult``."""
        return self._start(executing(batch), batch.read_only, deadline, batch.timeout)

    def commit(self, deadline):
        """Commit; the future's result is a ``backend.BatchResult`` without results."""

        def run(call, connection):
            return connection.commit(self.term, call.bound)

        return self._start(run, False, deadline, ends=True)

    def rollback(self, deadline):
        """Roll back."""

        def run(call, connection):
            return connection.rollback(call.bound)

        return self._start(run, True, deadline, ends=True)

    def close(self):
        """Abandon the transaction; the database rolls it back."""
        if not self.ended:
            self._server.abandon(self)

    def _start(self, run, read_only, deadline, timeout=None, ends=False):
        if self.ended:
            return failed_future(errors.NoTransaction("the transaction has ended"))
        if self.busy:
            return failed_future(
                errors.NotRunError("a statement of the transaction runs")
            )
        return self._server.run_in(self, run, read_only, deadline, timeout, ends)


def executing(batch):
    """Return the ``run`` of a call that executes a batch.

    The database may spend no longer than the answer is awaited, so that the slot is
    free when the call is given up.
    """

    def run(call, connection):
        remaining = call.bound - call.sent_at
        if batch.timeout <= remaining + TIMEOUT_TOLERANCE:
            return connection.execute(batch, call.bound)
        bounded = backend.Batch(
            batch.statements, batch.term, batch.read_only, remaining
        )
        return connection.execute(bounded, call.bound)

    return run
