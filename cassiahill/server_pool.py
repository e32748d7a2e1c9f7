"""Pool of this process's connections to one backend server.

All proxies together must stay within the server's connection limit, and each has an
equal quota of connections that it may keep. While requests wait, a proxy opens more
connections than its quota, and closes them soon after they are idle, so that every
proxy can reach its own quota. The server refuses connections beyond its limit.
"""

import attrs

from cassiahill import errors, event_log, line_connections, network_delays
from cassiahill.statements import Code, TransactionState

MAX_OPENING_CONNECTIONS = 2  # Opening a connection occupies a slot of the server.
OPEN_TIMEOUT_SECONDS = 0.5
# Largest multiple of the quota, so that one proxy's transactions do not take all
# connections that other proxies leave unused.
MAX_QUOTA_FACTOR = 3
IDLE_TIMEOUT_SECONDS = 4.0
OVER_QUOTA_IDLE_SECONDS = 0.25  # Long enough for a burst's next request.
# Pauses after the server's connection limit refused a connection. Within the quota the
# pause is short, because another proxy closes a connection beyond its own quota
# after some statements.
WITHIN_QUOTA_RETRY_SECONDS = 0.06
OVER_QUOTA_RETRY_SECONDS = 0.3
BASE_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.5
SERVER_UNREACHABLE_SECONDS = 0.25  # Time without any answer while statements run.
LATENCY_WEIGHT = 0.15  # Weight of the newest statement in the moving average.
INITIAL_LATENCY_SECONDS = 0.02


@attrs.define(eq=False)
class ConnectionLease:
    """A pooled connection while one request or transaction uses it.

    Attributes
    ----------
    connection : line_connections.LineConnection
    pool : ServerPool
    required_position : positions.LogPosition or None
        Position that the server's log must have before a read runs.
    """

    connection: line_connections.LineConnection
    pool: object
    required_position: object = None
    _statement_running: bool = True

    def record_statement_start(self, now):
        """Count a statement that starts, unless one is counted already."""
        if not self._statement_running:
            self._statement_running = True
            self.pool.record_statement_start(now)

    def record_statement_end(self, now, seconds=None):
        """Count the end of the running statement, if there is one.

        Parameters
        ----------
        now : float
        seconds : float or None
            Duration at the server; None when it gave no answer.
        """
        if self._statement_running:
            self._statement_running = False
            self.pool.record_statement_end(now, seconds)


class ServerPool:
    """Connection pool of one backend server.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    server : catalog.BackendServer
    caller : str
        Name that this process gives to the server.
    quota : int
        Number of connections that this process may keep open.
    on_change : callable
        Called without arguments when a connection has become idle or was closed.
    connect : callable
        Opens a connection; takes the arguments of ``LineConnection``.

    Attributes
    ----------
    latency_seconds : float
        Moving average of a statement's duration.
    running_statements : int
        Number of statements that run at the server.
    failed_openings : int
        Number of consecutive failures to open a connection.
    answered_at : float
        Instant of the server's last answer.
    answer_lost_at : float
        Instant at which an answer or a connection was last found to be lost.
    refuses_connections : bool
        Whether the server refuses new connections instead of not answering.
    round_trip : network_delays.RoundTrip
        Round trips of probes.
    statement_count : int
        Number of statements and probes for which a connection was used.
    """

    def __init__(
        self,
        loop,
        dialect,
        server,
        caller,
        quota,
        on_change,
        connect=line_connections.LineConnection,
    ):
        self._loop = loop
        self._dialect = dialect
        self._caller = caller
        self._on_change = on_change
        self._connect = connect
        self.server = server
        self.quota = quota
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.running_statements = 0
        self.failed_openings = 0
        self.answered_at = float("-inf")
        self.answer_lost_at = float("-inf")
        self.refuses_connections = False
        self.round_trip = network_delays.RoundTrip()
        self.statement_count = 0
        self.closed = False
        self._idle = []
        self._connections = set()
        self._opening_count = 0
        self._next_open_at = 0.0
        self._unanswered_since = None

    # Counts of connections, and whether the server answers

    @property
    def connection_count(self):
        """Number of open connections, with those being opened."""
        return len(self._connections)

    @property
    def idle_count(self):
        """Number of connections that no request uses."""
        return len(self._idle)

    def has_unanswered_requests(self, now):
        """Return whether the last answer was lost or the server may be unreachable."""
        return self.answer_lost_at > self.answered_at or self.may_be_unreachable(now)

    def record_lost_answer(self, now):
        """Record that an answer or a connection was lost."""
        self.answer_lost_at = now

    def may_be_unreachable(self, now):
        """Return whether statements stay unanswered or connections fail to open."""
        unanswered_since = self._unanswered_since
        return self.failed_openings > 0 or (
            unanswered_since is not None
            and now - unanswered_since > SERVER_UNREACHABLE_SECONDS
        )

    # Connections in use by requests

    def acquire(self, values_by_name, now):
        """Take an idle connection, preferably one that has the session's values.

        Parameters
        ----------
        values_by_name : dict
            Session values.
        now : float

        Returns
        -------
        line_connections.LineConnection or None
            None when no connection is idle.
        """
        if not self._idle:
            return None
        for connection in reversed(self._idle):
            if connection.values_by_name == values_by_name:
                break
        self._idle.remove(connection)
        self.running_statements += 1
        self.statement_count += 1
        self._unanswered_since = self._unanswered_since or now
        return connection

    def release(self, connection):
        """Return a connection to the pool.

        A connection with an open transaction or an unanswered statement is closed.
        """
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
        """Count a further statement on an acquired connection."""
        self.running_statements += 1
        self.statement_count += 1
        self._unanswered_since = self._unanswered_since or now

    def record_statement_end(self, now, seconds=None):
        """Count the end of a statement.

        Parameters
        ----------
        now : float
        seconds : float or None
            Duration at the server; None when it gave no answer or is not to be counted
            in the latency.
        """
        self.running_statements -= 1
        if seconds is not None:
            self.latency_seconds += LATENCY_WEIGHT * (seconds - self.latency_seconds)
            self.answered_at = now
            self._unanswered_since = now
        if not self.running_statements:
            self._unanswered_since = None

    def record_contact(self, now):
        """Record that the server answered, without a duration for the latency."""
        self.answered_at = now
        if self._unanswered_since is not None:
            self._unanswered_since = now

    # Opening and closing of connections

    def open_if_needed(self, wanted_idle, now):
        """Open connections while fewer are idle than wanted and the limits allow more.

        Parameters
        ----------
        wanted_idle : int
            Number of connections that should be idle or being opened.
        now : float
        """
        while (
            not self.closed
            and len(self._idle) + self._opening_count < wanted_idle
            and self._opening_count < MAX_OPENING_CONNECTIONS
            and self.connection_count < MAX_QUOTA_FACTOR * self.quota
            and now >= self._next_open_at
        ):
            self._loop.spawn(self._open_connection())

    def close_idle_connections(self, now, keep_count):
        """Close connections that have been idle for too long.

        Parameters
        ----------
        now : float
        keep_count : int
            Number of connections to keep open. With 0, all are closed soon, because
            this process does not serve the group and the group owners need them.
        """
        for connection in list(self._idle):
            if self.connection_count <= keep_count:
                return
            over_quota = self.connection_count > self.quota or not keep_count
            max_idle_seconds = (
                OVER_QUOTA_IDLE_SECONDS if over_quota else IDLE_TIMEOUT_SECONDS
            )
            if now - connection.used_at > max_idle_seconds:
                connection.close()

    def close(self):
        """Close idle connections now, and those in use when they are released."""
        self.closed = True
        for connection in list(self._idle):
            connection.close()

    def _open_connection(self):
        """Open one connection; a task."""
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
        timeout_error = errors.ConnectionLost(
            "no answer to the opening of a connection"
        )
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
        self.release(connection)

    def _on_open_refused(self, reply):
        """Delay the next opening after the server refused a connection by a reply."""
        now = self._loop.clock.now()
        if reply.code is Code.CONNECTION_LIMIT:
            within_quota = self.connection_count < self.quota
            self._next_open_at = now + (
                WITHIN_QUOTA_RETRY_SECONDS if within_quota else OVER_QUOTA_RETRY_SECONDS
            )
            self.answered_at = now
        else:
            self._on_open_failed(reply.code.value)
        event_log.event(
            "connection_refused",
            server=self.server.server_id,
            code=reply.code.value,
            open=self.connection_count,
        )

    def _on_open_failed(self, cause, refused=False):
        """Delay the next opening after an error, with exponential backoff.

        Parameters
        ----------
        cause : str
            Text for the log.
        refused : bool
            Whether the server refused the connection instead of not answering.
        """
        now = self._loop.clock.now()
        self.failed_openings += 1
        self.record_lost_answer(now)
        self.refuses_connections = refused and self.failed_openings > 1
        pause_seconds = BASE_BACKOFF_SECONDS * 2 ** min(self.failed_openings, 10)
        self._next_open_at = now + min(MAX_BACKOFF_SECONDS, pause_seconds)
        if self.failed_openings in {1, 2, 10}:
            event_log.event(
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
