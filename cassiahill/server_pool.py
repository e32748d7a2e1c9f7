"""Connections of this process to one backend server.

The limit of a backend server is shared by all proxies. Each has an equal share that it
may keep. While requests wait it borrows beyond its share what the others leave, and
closes what it has borrowed as soon as it is free, so that no proxy goes without. The
server refuses what is too much.
"""

import attrs

from cassiahill import errors, event_log, line_connections
from cassiahill.statements import Code, TransactionState

OPENING_AT_ONCE = 2  # An opening takes a slot of the server.
OPEN_SECONDS = 0.5
BORROW_FACTOR = 3  # One proxy's transactions must not take all that others leave.
IDLE_SECONDS = 4.0
BORROWED_IDLE_SECONDS = 0.25  # The next request of a burst still finds it.
# After a refusal by the server's connection limit: a borrowed connection of another
# proxy is free within some statements; borrowing oneself can wait.
SHARE_PAUSE_SECONDS = 0.06
BORROW_PAUSE_SECONDS = 0.3
RETRY_BASE_SECONDS = 0.05
RETRY_CAP_SECONDS = 0.5
SUSPECT_AFTER_SECONDS = 0.25  # Unanswered for this long while nothing else is answered.
LATENCY_WEIGHT = 0.15
FIRST_LATENCY_SECONDS = 0.02


@attrs.define(eq=False)
class ConnectionLease:
    """A connection lent to one request or one transaction.

    Attributes
    ----------
    connection : line_connections.LineConnection
    pool : ServerPool
    after : positions.LogPosition or None
        Position that the log must have before a read runs.
    """

    connection: line_connections.LineConnection
    pool: object
    after: object = None
    _counted: bool = True

    def record_start(self, now):
        """Count a statement that starts to run."""
        if not self._counted:
            self._counted = True
            self.pool.started(now)

    def record_end(self, now, seconds=None):
        """Count the statement as ended; see ``ServerPool.finished``."""
        if self._counted:
            self._counted = False
            self.pool.finished(now, seconds)


class ServerPool:
    """Connections to one backend server.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    server : catalog.BackendServer
    caller : str
        Name of this process for the server.
    share : int
        Connections that this process may keep.
    on_change : callable
        Called without arguments when a connection has become free or has ended.
    connect : callable
        Makes a connection; takes the arguments of ``LineConnection``.
    """

    def __init__(
        self,
        loop,
        dialect,
        server,
        caller,
        share,
        on_change,
        connect=line_connections.LineConnection,
    ):
        self._loop = loop
        self._dialect = dialect
        self._caller = caller
        self._on_change = on_change
        self._connect = connect
        self.server = server
        self.share = share
        self.latency = FIRST_LATENCY_SECONDS
        self.running_statements = 0
        self.failures = 0
        self.answered_at = float("-inf")
        self.missed_at = float("-inf")
        self.refuses = False
        self.closed = False
        self._idle = []
        self._connections = set()
        self._opening = 0
        self._next_opening_at = 0.0
        self._asked_since = None

    # State

    @property
    def connection_count(self):
        """Number of open connections, those being opened included."""
        return len(self._connections)

    @property
    def idle(self):
        """Number of connections that are free."""
        return len(self._idle)

    def failing(self, now):
        """Return whether something was asked since the last answer, without one."""
        return self.missed_at > self.answered_at or self.suspect(now)

    def record_lost_answer(self, now):
        """Take note that an answer or a connection has been lost."""
        self.missed_at = now

    def suspect(self, now):
        """Return whether the server has left statements unanswered for a while."""
        since = self._asked_since
        return self.failures > 0 or (
            since is not None and now - since > SUSPECT_AFTER_SECONDS
        )

    # Lending

    def lend(self, values_by_name, now):
        """Return a free connection, or None; one with the session's values first."""
        if not self._idle:
            return None
        for connection in reversed(self._idle):
            if connection.values_by_name == values_by_name:
                break
        self._idle.remove(connection)
        self.running_statements += 1
        self._asked_since = self._asked_since or now
        return connection

    def release(self, connection):
        """Take a connection back; one that is not at rest is closed."""
        if connection.closed:
            return
        at_rest = connection.state is TransactionState.IDLE and not connection.awaits
        if self.closed or not at_rest:
            connection.close()
            return
        self._idle.append(connection)
        self._on_change()

    def started(self, now):
        """Count a statement of a transaction that starts to run."""
        self.running_statements += 1
        self._asked_since = self._asked_since or now

    def finished(self, now, seconds=None):
        """Count a statement that has ended.

        Parameters
        ----------
        now : float
        seconds : float or None
            How long the server took; None when it gave no answer.
        """
        self.running_statements -= 1
        if seconds is not None:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
            self.answered_at = now
            self._asked_since = now
        if not self.running_statements:
            self._asked_since = None

    def heard(self, now):
        """Take a sign of life that says nothing about the time of a statement."""
        self.answered_at = now
        if self._asked_since is not None:
            self._asked_since = now

    # Opening and closing

    def open_if_needed(self, wanted, now):
        """Open connections while fewer are free than are wanted."""
        while (
            not self.closed
            and len(self._idle) + self._opening < wanted
            and self._opening < OPENING_AT_ONCE
            and self.connection_count < BORROW_FACTOR * self.share
            and now >= self._next_opening_at
        ):
            self._loop.spawn(self._open())

    def trim(self, now, keep):
        """Close connections that have been idle, all but ``keep``.

        A process that keeps none serves the group no more; owners need the places.
        """
        for connection in list(self._idle):
            if self.connection_count <= keep:
                return
            borrowed = self.connection_count > self.share or not keep
            limit = BORROWED_IDLE_SECONDS if borrowed else IDLE_SECONDS
            if now - connection.used_at > limit:
                connection.close()

    def close(self):
        """Close the free connections now and the lent ones as they come back."""
        self.closed = True
        for connection in list(self._idle):
            connection.close()

    def _open(self):
        loop = self._loop
        self._opening += 1
        try:
            connection = self._connect(loop, self._dialect, self.server, self._forget)
        except errors.CassiahillError as error:
            self._opening -= 1
            self._opening_failed(error.code, refused=True)
            return
        self._connections.add(connection)
        deadline = loop.clock.now() + OPEN_SECONDS
        late = errors.ConnectionLost("no answer to a new connection")
        try:
            reply = yield loop.with_deadline(
                connection.open(self._caller), deadline, late
            )
        except errors.CassiahillError as error:
            refused = connection.closed
            connection.close()
            self._opening_failed(error.detail, refused)
            return
        finally:
            self._opening -= 1
        if reply.code is not None:
            connection.close()
            self._opening_refused(reply)
            return
        self.failures = 0
        self.refuses = False
        self._next_opening_at = 0.0
        self.answered_at = loop.clock.now()
        self.release(connection)

    def _opening_refused(self, reply):
        now = self._loop.clock.now()
        if reply.code is Code.CONNECTION_LIMIT:
            within_share = self.connection_count < self.share
            self._next_opening_at = now + (
                SHARE_PAUSE_SECONDS if within_share else BORROW_PAUSE_SECONDS
            )
            self.answered_at = now
        else:
            self._opening_failed(reply.code.value)
        event_log.event(
            "connection_refused",
            server=self.server.server_id,
            code=reply.code.value,
            open=self.connection_count,
        )

    def _opening_failed(self, cause, refused=False):
        now = self._loop.clock.now()
        self.failures += 1
        self.record_lost_answer(now)
        self.refuses = refused and self.failures > 1
        pause = RETRY_BASE_SECONDS * 2 ** min(self.failures, 10)
        self._next_opening_at = now + min(RETRY_CAP_SECONDS, pause)
        if self.failures in {1, 2, 10}:
            event_log.event(
                "connection_failed",
                server=self.server.server_id,
                cause=cause,
                failures=self.failures,
            )
        self._on_change()

    def _forget(self, connection):
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_change()
