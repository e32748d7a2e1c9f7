"""Accepts the sessions of clients and the sessions that other proxies relay."""

from cassiahill import event_log, sessions, transport

# The load balancer takes a proxy that is not ready out of rotation within this time.
MIN_OPEN_SECONDS = 2.0
# Clients can ask for any number of databases that do not exist.
MAX_LOGGED_UNKNOWN_DATABASES = 50  # For each version of the configuration.


class SessionRouting:
    """Decides which proxy serves a session.

    ``tenant`` is the name of the tenant whose caller opens it, or None.
    """

    def knows_deployment(self):
        """Return whether the configuration and the fleet's members are known."""
        raise NotImplementedError

    def serves_group(self, group, tenant=None):
        """Return whether this process serves a tenant's sessions of a group itself."""
        raise NotImplementedError

    def relay_targets(self, group, tenant=None):
        """Return the members to relay a tenant's session to, preferred ones first."""
        raise NotImplementedError

    def relay_targets_near_primary(self, _route):
        """Return the members near the primary to relay a session to, if that is better.

        Returns
        -------
        list of heartbeats.Member
            Empty when the session is better served in the own region.
        """
        return []

    def is_misplaced(self, _group, _owner_domain):
        """Return whether a relayed session would be better served elsewhere."""
        return False

    def record_owner_failure(self, group, member):
        """Record that a member did not accept a session of a group."""
        raise NotImplementedError

    def record_relay_opened(self, group, member):
        """Record that a member accepted a session of a group."""
        raise NotImplementedError

    def fall_back_to_local(self, group, tenant=None):
        """Return whether a session that no other proxy accepted is served here."""
        raise NotImplementedError

    def should_refuse_relayed(self, group):
        """Return whether this process should refuse relayed sessions of a group."""
        raise NotImplementedError


class SessionServer:
    """Accepts connections and holds the open sessions.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    dialect : dialect.Dialect
    catalog : catalog.Catalog
    get_group : callable
        Returns the ``server_group.ServerGroup`` of a group by name.
    on_reply : callable
        Called with ``(request, database, reply, arrived_at)`` for each reply.
    relay_address : tuple of (str, int)
        Where other proxies connect to relay sessions.
    routing : SessionRouting
    checks : caller_checks.CallerChecks

    Attributes
    ----------
    closes_at_rest : bool
        Whether each session closes as soon as it is idle after an answer.
    refuses_statements : bool
        Whether statements and transactions are refused, because the process would not
        live to answer them.
    """

    def __init__(
        self,
        loop,
        address,
        dialect,
        catalog,
        get_group,
        on_reply,
        relay_address,
        routing,
        checks,
    ):
        self.loop = loop
        self.dialect = dialect
        self.catalog = catalog
        self.get_group = get_group
        self.on_reply = on_reply
        self.routing = routing
        self.caller_checks = checks
        self.closes_at_rest = False
        self.refuses_statements = False
        self._sessions = set()
        self._unknown_databases = set()
        self._unknown_databases_version = None
        self._revocation_timer = None
        self._listener = transport.Listener(
            loop, address, self._accept, is_deferrable=True
        )
        self._relay_listener = transport.Listener(
            loop, relay_address, self._accept_relayed, is_deferrable=True
        )

    def __len__(self):
        return len(self._sessions)

    @property
    def address(self):
        """Address of the listener for clients."""
        return self._listener.address

    @property
    def relay_address(self):
        """Address of the listener for relayed sessions."""
        return self._relay_listener.address

    @property
    def busy_count(self):
        """Number of sessions with an outstanding request or an open transaction."""
        return sum(not session.is_idle for session in self._sessions)

    def remove_session(self, session):
        """Remove a closed session."""
        self._sessions.discard(session)

    def log_unknown_database(self, database, is_relayed):
        """Log that a client was told that a database has no route.

        There is one line for each database and version.

        Parameters
        ----------
        database : str
        is_relayed : bool
            Whether another proxy relays the client's session.
        """
        version = self.catalog.configuration.version
        if version != self._unknown_databases_version:
            self._unknown_databases_version = version
            self._unknown_databases = set()
        if (
            database in self._unknown_databases
            or len(self._unknown_databases) >= MAX_LOGGED_UNKNOWN_DATABASES
        ):
            return
        self._unknown_databases.add(database)
        event_log.event(
            "database_unknown",
            database=database,
            relayed=is_relayed,
            version=version,
        )

    def stop_listening(self):
        """Stop accepting clients, and let each session end with its next answer.

        A client that is never idle for long gets the close together with an answer, so
        that it sends nothing more. ``close_idle`` ends the other sessions.
        """
        self.closes_at_rest = True
        self._listener.close()
        self._relay_listener.close()

    def refuse_statements(self):
        """Refuse what clients send from now on, and abort their transactions."""
        self.refuses_statements = True
        self.abort_transactions()

    def close_idle(self, group=None):
        """Close the idle sessions of one group or of all.

        A session that was active less than ``MIN_IDLE_SECONDS`` ago stays open: its
        client may already have sent another statement and would not learn its outcome.
        """
        now = self.loop.clock.now()
        for session in list(self._sessions):
            if group is not None and not session.is_served_here(group):
                continue
            self._close_if_idle(session, now)

    def close_idle_with_keys(self):
        """Close the idle sessions of callers with a key, while these are refused here.

        Another proxy may serve them. A session that was opened a moment ago stays open
        for a while: where all proxies refuse, clients would reconnect all the time.
        """
        now = self.loop.clock.now()
        for session in list(self._sessions):
            if session.has_key and now - session.opened_at >= MIN_OPEN_SECONDS:
                self._close_if_idle(session, now)

    def close_revoked(self):
        """End the sessions whose keys are no longer in force.

        Idle ones are closed, and those that were active less than ``MIN_IDLE_SECONDS``
        ago a little later. A statement that arrives before that is refused and ends its
        session.
        """
        self._close_revoked_of(self._sessions)

    def _close_revoked_of(self, candidates):
        """Close the idle ones among some sessions; check the other revoked ones again.

        Only the revoked ones are checked again, because one of them may be busy for
        long while many other sessions are open.
        """
        if self._revocation_timer is not None:
            self._revocation_timer.cancel()
            self._revocation_timer = None
        revoked = [
            session
            for session in candidates
            if session in self._sessions and session.is_revoked
        ]
        now = self.loop.clock.now()
        for session in revoked:
            self._close_if_idle(session, now)
        if revoked:
            self._revocation_timer = self.loop.call_at(
                now + sessions.MIN_IDLE_SECONDS,
                lambda: self._close_revoked_of(revoked),
            )

    def close_misplaced(self):
        """Close one idle session that would be better served elsewhere.

        One at a time, so that the clients do not all reconnect at the same moment.
        """
        now = self.loop.clock.now()
        for session in self._sessions:
            if (
                session.is_idle
                and now - session.last_active_at >= sessions.MIN_IDLE_SECONDS
                and session.is_misplaced()
            ):
                session.close_while_idle()
                return

    def abort_transactions(self):
        """Abort the transactions that wait for their client's next statement."""
        for session in list(self._sessions):
            session.abort_transaction(sessions.STOPPING)

    def _close_if_idle(self, session, now):
        idle_seconds = now - session.last_active_at
        if session.is_idle and idle_seconds >= sessions.MIN_IDLE_SECONDS:
            session.close_while_idle()

    def _accept(self, sock):
        transport.enable_keepalive(sock)
        self._sessions.add(sessions.Session(self, sock))

    def _accept_relayed(self, sock):
        transport.enable_keepalive(sock)
        self._sessions.add(sessions.Session(self, sock, relayed=True))
