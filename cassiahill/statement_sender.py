"""Sends a session's statements on a leased connection.

The session's values and prepared statement are set up on the connection before the
statement is sent. An open transaction is rolled back before the connection returns to
its pool.
"""

import attrs

from cassiahill import errors, line_connections, statements
from cassiahill.statements import TransactionState

ROLLBACK_TIMEOUT_SECONDS = 1.0


@attrs.define
class SessionState:
    """Values, prepared statements and last commit of a session.

    Attributes
    ----------
    values_by_name : dict of str to str
        Session values.
    shapes_by_name : dict of str to statements.Shape
        Prepared statements.
    last_commit : positions.LogPosition or None
        Log position of the session's last commit.
    """

    values_by_name: dict = attrs.field(factory=dict)
    shapes_by_name: dict = attrs.field(factory=dict)
    last_commit: object = None


@attrs.frozen
class SessionRequest:
    """One request of a session.

    Attributes
    ----------
    request_id : str
    statement : object
        One of the statement classes of ``statements``.
    shape : statements.Shape or None
        The prepared statement that is executed, if any.
    access : statements.Access or None
        None for a commit.
    arrived_at, deadline : float
        Instants of the loop's clock.
    """

    request_id: str
    statement: object
    shape: object
    access: object
    arrived_at: float
    deadline: float


@attrs.frozen
class RetryableFailure:
    """A failed attempt that may be retried: it did not run, or it was a read."""

    cause: str


class StatementSender:
    """Sends the statements of one session on the connections leased to it.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    state : SessionState
    """

    def __init__(self, loop, group, state):
        self._loop = loop
        self._group = group
        self._session_state = state

    def set_up_connection(self, lease, request):
        """Set the session's values and prepare the statement on the connection.

        Returns
        -------
        RetryableFailure or None
            ``RetryableFailure`` when the setup failed; the statement was not sent.
        """
        connection = lease.connection
        while setup_statement := line_connections.next_setup(
            connection, self._session_state.values_by_name, request.shape
        ):
            reply = yield from self.send_internal(
                lease, setup_statement, request.deadline
            )
            if reply is None or reply.code is not None:
                connection.close()
                return RetryableFailure("the session could not be set up")
            line_connections.record_setup(connection, setup_statement)
        return None

    def send_internal(self, lease, statement, deadline, required_position=None):
        """Send a statement that the proxy issues itself; return its reply or None."""
        loop = self._loop
        timeout_error = errors.ConnectionLost("no answer before the deadline")
        future = lease.connection.send_statement(statement, None, required_position)
        try:
            reply = yield loop.with_deadline(future, deadline, timeout_error)
        except errors.CassiahillError:
            return None
        self._group.replies.record_position(lease.connection, reply)
        return reply

    def send(self, lease, request, required_position=None):
        """Send the client's statement; return its reply, or None without an answer."""
        loop = self._loop
        connection = lease.connection
        statement = request.statement
        if request.shape is not None:
            name = connection.names_by_shape[request.shape]
            statement = attrs.evolve(statement, name=name)
        asked_at = loop.clock.now()
        timeout_error = errors.ConnectionLost("no answer before the deadline")
        future = connection.send_statement(
            statement, request.request_id, required_position
        )
        try:
            reply = yield loop.with_deadline(future, request.deadline, timeout_error)
        except errors.CassiahillError:
            return None
        now = loop.clock.now()
        lease.record_statement_end(now, now - asked_at)
        self._group.replies.record_position(connection, reply)
        return reply

    def begin(self, lease, read_only, request):
        """Begin a transaction on a leased connection.

        Returns
        -------
        RetryableFailure or None
            ``RetryableFailure`` when the transaction did not begin; the connection is
            then no longer leased.
        """
        setup_failure = yield from self.set_up_connection(lease, request)
        if setup_failure is not None:
            self.release(lease)
            return setup_failure
        asked_at = self._loop.clock.now()
        reply = yield from self.send_internal(
            lease,
            statements.Begin(read_only),
            request.deadline,
            lease.required_position,
        )
        if reply is None:
            self.discard(lease)
            return RetryableFailure("no answer to a begin")
        if reply.code is not None:
            return self.end_refused_attempt(lease, reply.code)
        if not read_only:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        return None

    def end_refused_attempt(self, lease, code):
        """Record a refusal, release the connection, return a ``RetryableFailure``."""
        self._group.replies.record_refusal(
            lease.connection, code, lease.required_position
        )
        self.release(lease)
        return RetryableFailure(code.value)

    def release(self, lease):
        """Return a connection to its pool, after a rollback if needed."""
        lease.record_statement_end(self._loop.clock.now())
        if lease.connection.state is TransactionState.IDLE:
            lease.pool.release(lease.connection)
        else:
            self._loop.spawn(self._roll_back_and_release(lease))

    def _roll_back_and_release(self, lease):
        deadline = self._loop.clock.now() + ROLLBACK_TIMEOUT_SECONDS
        reply = yield from self.send_internal(lease, statements.Rollback(), deadline)
        if reply is None:
            lease.connection.close()
        lease.pool.release(lease.connection)

    def discard(self, lease):
        """Close a connection on which an answer was lost."""
        lease.connection.close()
        lease.pool.record_lost_answer(self._loop.clock.now())
        lease.record_statement_end(self._loop.clock.now())
