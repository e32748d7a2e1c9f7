"""Accepts the sessions of clients and those that other proxies relay here."""

from cassiahill import sessions, transport


class SessionRouting:
    """Where sessions are served."""

    def knows_deployment(self):
        """Return whether enough is known to serve sessions."""
        raise NotImplementedError

    def serves(self, group):
        """Return whether this process serves a group itself."""
        raise NotImplementedError

    def owners_for(self, group):
        """Return the members to relay a group's session to, the preferred one first."""
        raise NotImplementedError

    def owner_failed(self, group, member):
        """Take note that a member did not take a session of a group."""
        raise NotImplementedError

    def relay_opened(self, group):
        """Take note that another proxy took a session of a group."""
        raise NotImplementedError

    def relay_failed(self, group):
        """Return whether a session that no other proxy took is served here."""
        raise NotImplementedError

    def cannot_serve(self, group):
        """Return whether a relayed session of a group is better served elsewhere."""
        raise NotImplementedError


class SessionServer:
    """Accepts clients and keeps their sessions.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    dialect : dialect.Dialect
    catalog : catalog.Catalog
    group_of : callable
        Returns the ``server_group.ServerGroup`` of a group by name.
    on_reply : callable
        Called with ``(request, database, reply, arrived_at)`` for each answer.
    relay_address : tuple of (str, int)
        Where other proxies relay sessions to.
    routing : SessionRouting
    """

    def __init__(
        self,
        loop,
        address,
        dialect,
        catalog,
        group_of,
        on_reply,
        relay_address,
        routing,
    ):
        self.loop = loop
        self.dialect = dialect
        self.catalog = catalog
        self.group_of = group_of
        self.count = on_reply
        self.routing = routing
        self._sessions = set()
        self._listener = transport.Listener(loop, address, self._accept)
        self._relay_listener = transport.Listener(
            loop, relay_address, self._accept_relayed
        )

    def __len__(self):
        return len(self._sessions)

    @property
    def address(self):
        """Address of the clients' listener."""
        return self._listener.address

    @property
    def relay_address(self):
        """Address of the listener for relayed sessions."""
        return self._relay_listener.address

    @property
    def busy(self):
        """Number of sessions with something open or outstanding."""
        return sum(not session.at_rest for session in self._sessions)

    def forget(self, session):
        """Drop a session that has closed."""
        self._sessions.discard(session)

    def stop_listening(self):
        """Accept no more clients."""
        self._listener.close()
        self._relay_listener.close()

    def close_idle(self, group=None):
        """Close the sessions of which nothing is open, of one group or of all.

        One that was active a moment ago is left: its client may have sent the next
        statement already, and would not know whether it ran.
        """
        now = self.loop.clock.now()
        for session in list(self._sessions):
            if group is not None and not session.is_served_here(group):
                continue
            if session.at_rest and now - session.active_at >= sessions.IDLE_SECONDS:
                session.close()

    def abort_transactions(self):
        """End the transactions that wait for their client's next statement."""
        for session in list(self._sessions):
            session.abort_transaction("the proxy stops")

    def _accept(self, sock):
        transport.detect_silence(sock)
        self._sessions.add(sessions.Session(self, sock))

    def _accept_relayed(self, sock):
        transport.detect_silence(sock)
        self._sessions.add(sessions.Session(self, sock, relayed=True))
