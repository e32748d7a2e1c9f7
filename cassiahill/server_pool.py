"""Pool of this process's connections to one backend server.

All proxies together must stay within the server's connection limit, and each has an
equal quota of connections that it may keep. While requests wait, a proxy opens more
connections than its quota, and closes them soon after they are idle, so that every
proxy can reach its own quota. The server refuses connections beyond its limit.

In a deployment with tenants, a connection serves the one tenant in whose name it was
opened, and there are more tenants than connections. A pool at its quota gives up the
idle connection that was unused longest when another tenant waits, and goes beyond its
quota only when it has none to give up.
"""

import collections

from cassiahill import (
    connection_leases,
    errors,
    event_log,
    idle_connections,
    line_connections,
    network_delays,
    placement,
    server_absence,
)
from cassiahill.statements import Code, TransactionState

MAX_OPENING_CONNECTIONS = 2  # Opening a connection occupies a slot of the server.
OPEN_TIMEOUT_SECONDS = 0.5
# Largest multiple of the quota, so that one proxy's transactions do not take all
# connections that other proxies leave unused.
MAX_QUOTA_FACTOR = 3
IDLE_TIMEOUT_SECONDS = 4.0
OVER_QUOTA_IDLE_SECONDS = 0.25  # Long enough for a burst's next request.
# The same two with tenants. A small tenant's next request comes after many seconds, and
# a connection that is kept within the quota takes no other process's room. Beyond the
# quota, connections were opened while all others were in use; other processes may be
# refused until they are closed.
TENANT_IDLE_TIMEOUT_SECONDS = 120.0
TENANT_OVER_QUOTA_IDLE_SECONDS = 1.0
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
    tenant_limit : int or None
        Largest number of connections in one tenant's name; None in a deployment
        without tenants.
    counts : connection_leases.ConnectionCounts
    latency_seconds : float
        Moving average of a statement's duration.
    running_statements : int
        Number of statements that run at the server.
    primary_only_statements : int
        Those of them that only the primary may run.
    failed_openings : int
        Number of consecutive failures to open a connection.
    answered_at : float
        Instant of the server's last answer.
    answer_lost_at : float
        Instant at which an answer or a connection was last found to be lost.
    absence : server_absence.ServerAbsence
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
        self.tenant_limit = None
        self.counts = connection_leases.ConnectionCounts()
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.running_statements = 0
        self.primary_only_statements = 0
        self.failed_openings = 0
        self.answered_at = float("-inf")
        self.answer_lost_at = float("-inf")
        self.absence = server_absence.ServerAbsence()
        self.refuses_connections = False
        self.round_trip = network_delays.RoundTrip()
        self.statement_count = 0
        self.closed = False
        self._idle = idle_connections.IdleConnections()
        self._tenants_by_connection = {}
        self._opened_at_by_connection = {}
        self._counts_by_tenant = collections.Counter()
        self._openings_by_tenant = collections.Counter()
        self._next_open_at = 0.0
        self._unanswered_since = None

    # Counts of connections, and whether the server answers

    @property
    def connection_count(self):
        """Number of open connections, with those being opened."""
        return len(self._tenants_by_connection)

    @property
    def idle_count(self):
        """Number of connections that no request uses."""
        return len(self._idle)

    def idle_count_for(self, tenant):
        """Return how many idle connections were opened in a tenant's name."""
        return self._idle.count_for(tenant)

    def opening_for(self, tenant, now):
        """Return the ``placement.TenantOpening`` for a tenant; None without tenants."""
        if self.tenant_limit is None:
            return None
        return placement.TenantOpening(
            under_way=self._openings_by_tenant[tenant] > 0,
            possible=self._may_open_for(tenant)
            and now >= self._next_open_at
            and self._openings_by_tenant.total() < MAX_OPENING_CONNECTIONS
            and self.connection_count < MAX_QUOTA_FACTOR * self.quota,
            has_room=self.connection_count < self.quota,
        )

    def has_unanswered_requests(self, now):
        """Return whether the last answer was lost or the server may be unreachable."""
        return self.answer_lost_at > self.answered_at or self.may_be_unreachable(now)

    def record_lost_answer(self, now):
        """Record that an answer or a connection was lost."""
        self.answer_lost_at = now
        self.absence.record_silence(now)

    def may_be_unreachable(self, now):
        """Return whether statements stay unanswered or connections fail to open."""
        unanswered_since = self._unanswered_since
        return self.failed_openings > 0 or (
            unanswered_since is not None
            and now - unanswered_since > SERVER_UNREACHABLE_SECONDS
        )

    # Connections in use by requests

    def acquire(self, values_by_name, now, tenant=None):
        """Take an idle connection, preferably one that has the session's values.

        Parameters
        ----------
        values_by_name : dict
            Session values.
        now : float
        tenant : str or None
            Tenant in whose name the connection must have been opened; None for the
            name of this process.

        Returns
        -------
        line_connections.LineConnection or None
            None when no such connection is idle.
        """
        return self._start_use(self._idle.take(tenant, values_by_name), now)

    def acquire_any(self, now):
        """Take an idle connection of any tenant, for a statement of this process.

        Returns
        -------
        line_connections.LineConnection or None
            None when no connection is idle.
        """
        connection = (
            self._idle.take(None, {})
            if self.tenant_limit is None
            else self._idle.take_any()
        )
        return self._start_use(connection, now)

    def has_idle_opened_before(self, instant):
        """Return whether an idle connection was open before an instant, or None."""
        return instant is not None and any(
            self._opened_at_by_connection[connection] < instant
            for connection in self._idle
        )

    def opened_before(self, instant):
        """Return whether a connection was open before an instant and still is.

        Parameters
        ----------
        instant : float or None
            None if no connection counts.
        """
        return instant is not None and any(
            opened_at < instant for opened_at in self._opened_at_by_connection.values()
        )

    def acquire_opened_before(self, instant, now):
        """Take an idle connection that was open before an instant, or None.

        The parameters are those of ``opened_before`` and ``acquire_any``.
        """
        if instant is None:
            return None
        for connection in reversed(list(self._idle)):
            if self._opened_at_by_connection[connection] < instant:
                tenant = self._tenants_by_connection[connection]
                self._idle.discard(connection, tenant)
                return self._start_use(connection, now)
        return None

    def _start_use(self, connection, now):
        """Count the first statement on a connection that was taken, if any."""
        if connection is not None:
            self.record_statement_start(now)
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
        self._idle.add(connection, self._tenants_by_connection[connection])
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
            self._record_answer(now)
            self._unanswered_since = now
        if not self.running_statements:
            self._unanswered_since = None

    def record_contact(self, now):
        """Record that the server answered, without a duration for the latency."""
        self._record_answer(now)
        if self._unanswered_since is not None:
            self._unanswered_since = now

    def _record_answer(self, now):
        self.answered_at = now
        self.absence.record_answer()

    # Opening and closing of connections

    def open_if_needed(self, wanted_idle, now, tenant=None, waiting_tenants=()):
        """Open connections while fewer are idle than wanted and the limits allow more.

        Parameters
        ----------
        wanted_idle : int
            Number of connections that should be idle or being opened.
        now : float
        tenant : str or None
            Tenant in whose name they are opened.
        waiting_tenants : collection of str or None
            Tenants with queued requests, whose idle connections are not given up.
        """
        while (
            not self.closed
            and self.idle_count_for(tenant) + self._openings_by_tenant[tenant]
            < wanted_idle
            and self._openings_by_tenant.total() < MAX_OPENING_CONNECTIONS
            and now >= self._next_open_at
            and self._may_open_for(tenant)
            and self._make_room(tenant, waiting_tenants)
        ):
            self._loop.spawn(self._open_connection(tenant))

    def open_spare(self, now):
        """Open a connection if none is idle, also one more than requests may have.

        All others may be in the transactions of clients that rest in them.
        """
        if (
            not self.closed
            and not self.idle_count
            and not self._openings_by_tenant.total()
            and now >= self._next_open_at
            and self.connection_count <= MAX_QUOTA_FACTOR * self.quota
        ):
            self._loop.spawn(self._open_connection(None))

    def _may_open_for(self, tenant):
        """Return whether a tenant has fewer connections than it may have."""
        return (
            tenant is None
            or self.tenant_limit is None
            or self._counts_by_tenant[tenant] < self.tenant_limit
        )

    def _make_room(self, tenant, waiting_tenants):
        """Return whether one more connection may be opened.

        With tenants, an idle one of another tenant is given up for it at the quota.
        """
        if self.tenant_limit is not None and self.connection_count >= self.quota:
            self._give_up_idle_connection({tenant, *waiting_tenants})
        return self.connection_count < MAX_QUOTA_FACTOR * self.quota

    def _give_up_idle_connection(self, excluded_tenants):
        """Close the idle connection of another tenant that was unused longest."""
        connection = self._idle.unused_longest(excluded_tenants)
        if connection is not None:
            self.counts.given_up += 1
            connection.close()

    def close_idle_connections(self, now, keep_count):
        """Close connections that have been idle for too long.

        Parameters
        ----------
        now : float
        keep_count : int
            Number of connections to keep open, the oldest one among them, which may
            prove commits. With 0, all are closed soon, because this process does not
            serve the group and the group owners need them.
        """
        oldest = min(
            self._opened_at_by_connection,
            key=self._opened_at_by_connection.get,
            default=None,
        )
        for connection in self._idle:
            if self.connection_count <= keep_count:
                return
            if connection is oldest and keep_count:
                continue
            if now - connection.used_at > self._max_idle_seconds(keep_count):
                connection.close()

    def _max_idle_seconds(self, keep_count):
        """Return for how long a connection may be idle at present."""
        has_tenants = self.tenant_limit is not None
        if not keep_count:
            return OVER_QUOTA_IDLE_SECONDS
        if self.connection_count > self.quota:
            return (
                TENANT_OVER_QUOTA_IDLE_SECONDS
                if has_tenants
                else OVER_QUOTA_IDLE_SECONDS
            )
        return TENANT_IDLE_TIMEOUT_SECONDS if has_tenants else IDLE_TIMEOUT_SECONDS

    def close(self):
        """Close idle connections now, and those in use when they are released."""
        self.closed = True
        for connection in self._idle:
            connection.close()

    def _open_connection(self, tenant):
        """Open one connection in a tenant's or this process's name; a task."""
        loop = self._loop
        self._openings_by_tenant[tenant] += 1
        try:
            connection = self._connect(
                loop, self._dialect, self.server, self._on_connection_closed
            )
        except errors.CassiahillError as error:
            self._record_opening_end(tenant)
            self._on_open_failed(error.code, refused=True)
            return
        self._tenants_by_connection[connection] = tenant
        self._counts_by_tenant[tenant] += 1
        deadline = loop.clock.now() + OPEN_TIMEOUT_SECONDS
        timeout_error = errors.ConnectionLost(
            "no answer to the opening of a connection"
        )
        try:
            reply = yield loop.with_deadline(
                connection.open(self._caller if tenant is None else tenant),
                deadline,
                timeout_error,
            )
        except errors.CassiahillError as error:
            refused = connection.closed
            connection.close()
            self._on_open_failed(error.detail, refused)
            return
        finally:
            self._record_opening_end(tenant)
        if reply.code is not None:
            connection.close()
            self._on_open_refused(reply, tenant)
            return
        self.counts.opened += 1
        self.failed_openings = 0
        self.refuses_connections = False
        self._next_open_at = 0.0
        self._record_answer(loop.clock.now())
        if connection in self._tenants_by_connection:
            self._opened_at_by_connection[connection] = self.answered_at
        self.release(connection)

    def _record_opening_end(self, tenant):
        self._openings_by_tenant[tenant] -= 1
        if not self._openings_by_tenant[tenant]:
            del self._openings_by_tenant[tenant]

    def _on_open_refused(self, reply, tenant):
        """Delay the next opening after the server refused a connection by a reply."""
        now = self._loop.clock.now()
        if reply.code is Code.CONNECTION_LIMIT:
            self.counts.refused += 1
            if self.tenant_limit is not None:
                self._give_up_idle_connection({tenant})
            within_quota = self.connection_count < self.quota
            self._next_open_at = now + (
                WITHIN_QUOTA_RETRY_SECONDS if within_quota else OVER_QUOTA_RETRY_SECONDS
            )
            self._record_answer(now)
        else:
            is_other_server = reply.code is Code.WRONG_SERVER
            self._on_open_failed(reply.code.value, is_elsewhere=is_other_server)
        event_log.event(
            "connection_refused",
            server=self.server.server_id,
            code=reply.code.value,
            open=self.connection_count,
        )

    def _on_open_failed(self, cause, refused=False, is_elsewhere=False):
        """Delay the next opening after an error, with exponential backoff.

        Parameters
        ----------
        cause : str
            Text for the log.
        refused : bool
            Whether the server refused the connection instead of not answering.
        is_elsewhere : bool
            Whether another server has answered at its address.
        """
        now = self._loop.clock.now()
        self.failed_openings += 1
        self.answer_lost_at = now
        if refused or is_elsewhere:
            self.absence.record_refusal(now)
        else:
            self.absence.record_silence(now)
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
        if connection in self._tenants_by_connection:
            tenant = self._tenants_by_connection.pop(connection)
            self._opened_at_by_connection.pop(connection, None)
            self._idle.discard(connection, tenant)
            self._counts_by_tenant[tenant] -= 1
            if not self._counts_by_tenant[tenant]:
                del self._counts_by_tenant[tenant]
        self._on_change()
