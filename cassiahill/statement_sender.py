"""Steps of a statement on a connection that was lent to it.

A connection takes the session's values and the statement's preparation before it takes
the statement, and is at rest before another session gets it.
"""

import attrs

from cassiahill import errors, line_connections, statements
from cassiahill.statements import TransactionState

ROLLBACK_SECONDS = 1.0


@attrs.define
class SessionState:
    """What a session has set and seen.

    Attributes
    ----------
    values_by_name : dict
    shapes_by_name : dict
        Prepared statements.
    own_commit : positions.LogPosition or None
        Position of the session's last commit.
    """

    values_by_name: dict = attrs.field(factory=dict)
    shapes_by_name: dict = attrs.field(factory=dict)
    own_commit: object = None


@attrs.frozen
class SessionRequest:
    """One statement on its way.

    Attributes
    ----------
    request_id : str
    statement : object
    shape : statements.Shape or None
        For a prepared statement.
    access : statements.Access or None
        None for a commit.
    arrived_at, deadline : float
    """

    request_id: str
    statement: object
    shape: object
    access: object
    arrived_at: float
    deadline: float


@attrs.frozen
class Retry:
    """The attempt did not run, or may be repeated."""

    cause: str


class LeaseSteps:
    """The steps of one session's statements.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    state : SessionState
    """

    def __init__(self, loop, group, state):
        self._loop = loop
        self._group = group
        self._state = state

    def set_up(self, lease, job):
        """Give the connection the session's values and the statement's preparation.

        Returns
        -------
        Retry or None
            ``Retry`` when a step failed; the statement has not been sent then.
        """
        connection = lease.connection
        while step := line_connections.next_setup(
            connection, self._state.values_by_name, job.shape
        ):
            reply = yield from self.ask_own(lease, step, job.deadline)
            if reply is None or reply.code is not None:
                connection.close()
                return Retry("the session could not be set up")
            line_connections.record_setup(connection, step)
        return None

    def ask_own(self, lease, statement, deadline, after=None):
        """Send a statement of the proxy's own; return its reply, or None."""
        loop = self._loop
        late = errors.ConnectionLost("no answer before the deadline")
        future = lease.connection.ask(statement, None, after)
        try:
            reply = yield loop.with_deadline(future, deadline, late)
        except errors.CassiahillError:
            return None
        self._group.record_position(lease.connection, reply)
        return reply

    def ask(self, lease, job, after=None):
        """Send the client's statement; return the reply, or None."""
        loop = self._loop
        connection = lease.connection
        statement = job.statement
        if job.shape is not None:
            name = connection.names_by_shape[job.shape]
            statement = attrs.evolve(statement, name=name)
        asked_at = loop.clock.now()
        late = errors.ConnectionLost("no answer before the deadline")
        future = connection.ask(statement, job.request_id, after)
        try:
            reply = yield loop.with_deadline(future, job.deadline, late)
        except errors.CassiahillError:
            return None
        now = loop.clock.now()
        lease.record_end(now, now - asked_at)
        self._group.record_position(connection, reply)
        return reply

    def release(self, lease):
        """Return a connection to its pool, ending what is open on it first."""
        lease.record_end(self._loop.clock.now())
        if lease.connection.state is TransactionState.IDLE:
            lease.pool.release(lease.connection)
        else:
            self._loop.spawn(self._end_and_give_back(lease))

    def _end_and_give_back(self, lease):
        deadline = self._loop.clock.now() + ROLLBACK_SECONDS
        reply = yield from self.ask_own(lease, statements.Rollback(), deadline)
        if reply is None:
            lease.connection.close()
        lease.pool.release(lease.connection)

    def drop(self, lease):
        """Close a connection whose answer is missing."""
        lease.connection.close()
        lease.pool.record_lost_answer(self._loop.clock.now())
        lease.record_end(self._loop.clock.now())
