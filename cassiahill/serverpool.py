"""Connections of this process to one backend server.

The limit of a backend server is shared by all proxies. Each has an equal share that it
may keep. While requests wait it borrows beyond its share what the others leave, and
closes what it has borrowed as soon as it is free, so that no proxy goes without. The
server refuses what is too much.
"""

import attrs

from cassiahill import errors, eventlog, lineconnections
from cassiahill.statements import Code, TransactionState

MAX_OPENING = 2  # An opening takes a slot of the server.
OPEN_TIMEOUT_SECONDS = 0.5
MAX_QUOTA_FACTOR = 3  # One proxy's transactions must not take all that others leave.
IDLE_TIMEOUT_SECONDS = 4.0
OVER_QUOTA_IDLE_SECONDS = 0.25  # The next request of a burst still finds it.
# After a refusal by the server's connection limit: a borrowed connection of another
# proxy is free within some statements; borrowing oneself can wait.
WITHIN_QUOTA_RETRY_SECONDS = 0.06
OVER_QUOTA_RETRY_SECONDS = 0.3
RETRY_BASE_SECONDS = 0.05
RETRY_CAP_SECONDS = 0.5
UNREACHABLE_SECONDS = 0.25  # Unanswered for this long while nothing else is answered.
LATENCY_WEIGHT = 0.15
INITIAL_LATENCY_SECONDS = 0.02


@attrs.define(eq=False)
class Lease:
    """A connection lent to one request or one transaction.

    Attributes
    ----------
    connection : lineconnections.LineConnection
    pool : ServerPool
    after : positions.LogPosition or None
        Position that the log must have before a read runs.
    """

    connection: lineconnections.LineConnection
    pool: object
    after: object = None
    _statement_running: bool = True

    def start(self, now):
        """Count a statement that starts to run."""
        if not self._statement_running:
            self._statement_running = True
            self.pool.record_statement_start(now)

    def finish(self, now, seconds=None):
        """Count the statement as ended; see ``ServerPool.finished``."""
        if self._statement_running:
            self._statement_running = False
            self.pool.record_statement_end(now, seconds)


class ServerPool:
    """Connections to one backend server.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    server : catalog.BackendServer
    caller : str
        Name of this process for the server.
    quota : int
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
        quota,
        on_change,
        connect=lineconnections.LineConnection,
    ):
        self._loop = loop
        self._dialect = dialect
        self._caller = caller
        self._on_change = on_change
        self._connect = connect
        self.server = server
        self.quota = quota
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.running = 0
        self.failed_openings = 0
        self.answered_at = float("-inf")
        self.answer_lost_at = float("-inf")
        self.refuses_connections = False
        self.closed = False
        self._idle = []
        self._connections = set()
        self._opening_count = 0
        self._next_open_at = 0.0
        self._unanswered_since = None

    # State

    @property
    def size(self):
        """Number of open connections, those being opened included."""
        return len(self._connections)

    @property
    def idle_count(self):
        """Number of connections that are free."""
        return len(self._idle)

    def has_unanswered_requests(self, now):
        """Return whether something was asked since the last answer, without one."""
        return self.answer_lost_at > self.answered_at or self.may_be_unreachable(now)

    def missed(self, now):
        """Take note that an answer or a connection has been lost."""
        self.answer_lost_at = now

    def may_be_unreachable(self, now):
        """Return whether the server has left statements unanswered for a while."""
        since = self._unanswered_since
        return self.failed_openings > 0 or (
            since is not None and now - since > UNREACHABLE_SECONDS
        )

    # Lending

    def acquire(self, values_by_name, now):
        """Return a free connection, or None; one with the session's values first."""
        if not self._idle:
            return None
        for connection in reversed(self._idle):
            if connection.values_by_name == values_by_name:
                break
        self._idle.remove(connection)
        self.running += 1
        self._unanswered_since = self._unanswered_since or now
        return connection

    def give_back(self, connection):
        """Take a connection back; one that is not at rest is closed."""
        if connection.closed:
            return
        reusable = (
            connection.state is TransactionState.IDLE and not connection.pending_replies
        )
        if self.closed or not reusable:
            connection.close()
            return
        self._idle.append(connection)
        self._on_change()

    def record_statement_start(self, now):
        """Count a statement of a transaction that starts to run."""
        self.running += 1
        self._unanswered_since = self._unanswered_since or now

    def record_statement_end(self, now, seconds=None):
        """Count a statement that has ended.

        Parameters
        ----------
        now : float
        seconds : float or None
            How long the server took; None when it gave no answer.
        """
        self.running -= 1
        if seconds is not None:
            self.latency_seconds += LATENCY_WEIGHT * (seconds - self.latency_seconds)
            self.answered_at = now
            self._unanswered_since = now
        if not self.running:
            self._unanswered_since = None

    def record_contact(self, now):
        """Take a sign of life that says nothing about the time of a statement."""
        self.answered_at = now
        if self._unanswered_since is not None:
            self._unanswered_since = now

    # Opening and closing

    def open_if_needed(self, wanted, now):
        """Open connections while fewer are free than are wanted."""
        while (
            not self.closed
            and len(self._idle) + self._opening_count < wanted
            and self._opening_count < MAX_OPENING
            and self.size < MAX_QUOTA_FACTOR * self.quota
            and now >= self._next_open_at
        ):
            self._loop.spawn(self._open())

    def close_idle_connections(self, now, keep):
        """Close connections that have been idle, all but ``keep``.

        A process that keeps none serves the group no more; owners need the places.
        """
        for connection in list(self._idle):
            if self.size <= keep:
                return
            over_quota = self.size > self.quota or not keep
            limit = OVER_QUOTA_IDLE_SECONDS if over_quota else IDLE_TIMEOUT_SECONDS
            if now - connection.used_at > limit:
                connection.close()

    def close(self):
        """Close the free connections now and the lent ones as they come back."""
        self.closed = True
        for connection in list(self._idle):
            connection.close()

    def _open(self):
        loop = self._loop
        self._opening_count += 1
        try:
            connection = self._connect(
                loop, self._dialect, self.server, self._on_connection_closed
            )
        except errors.CassiahillError as error:
            self._opening_count -= 1
            self._on_open_failed(error.code, refused=True)
            return
        self._connections.add(connection)
        deadline = loop.clock.now() + OPEN_TIMEOUT_SECONDS
        timeout_error = errors.ConnectionLost("no answer to a new connection")
        try:
            reply = yield loop.with_deadline(
                connection.open(self._caller), deadline, timeout_error
            )
        except errors.CassiahillError as error:
            refused = connection.closed
            connection.close()
            self._on_open_failed(error.detail, refused)
            return
        finally:
            self._opening_count -= 1
        if reply.code is not None:
            connection.close()
            self._on_open_refused(reply)
            return
        self.failed_openings = 0
        self.refuses_connections = False
        self._next_open_at = 0.0
        self.answered_at = loop.clock.now()
        self.give_back(connection)

    def _on_open_refused(self, reply):
        now = self._loop.clock.now()
        if reply.code is Code.CONNECTION_LIMIT:
            within_quota = self.size < self.quota
            self._next_open_at = now + (
                WITHIN_QUOTA_RETRY_SECONDS if within_quota else OVER_QUOTA_RETRY_SECONDS
            )
            self.answered_at = now
        else:
            self._on_open_failed(reply.code.value)
        eventlog.event(
            "connection_refused",
            server=self.server.server_id,
            code=reply.code.value,
            open=self.size,
        )

    def _on_open_failed(self, cause, refused=False):
        now = self._loop.clock.now()
        self.failed_openings += 1
        self.missed(now)
        self.refuses_connections = refused and self.failed_openings > 1
        pause = RETRY_BASE_SECONDS * 2 ** min(self.failed_openings, 10)
        self._next_open_at = now + min(RETRY_CAP_SECONDS, pause)
        if self.failed_openings in {1, 2, 10}:
            eventlog.event(
                "connection_failed",
                server=self.server.server_id,
                cause=cause,
                failures=self.failed_openings,
            )
        self._on_change()

    def _on_connection_closed(self, connection):
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_change()
