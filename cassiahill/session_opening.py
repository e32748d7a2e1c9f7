"""Opening of a session: who its caller is, and which proxy serves it."""

import attrs

from cassiahill import errors, event_log, relays, tenants
from cassiahill.statements import Code

OPEN_POLL_INTERVAL_SECONDS = 0.02
# Clients give up after 2 s. No owner is tried after this time.
OPEN_TIMEOUT_SECONDS = 1.5


@attrs.frozen
class Opened:
    """The session is open.

    Attributes
    ----------
    route : catalog.Route
    caller : caller_checks.Caller
    relay : relays.Relay or None
        None if this process serves the session.
    owner_domain : str or None
        Failure domain of the owner to which the session is relayed.
    """

    route: object
    caller: object
    relay: object = None
    owner_domain: str | None = None


@attrs.frozen
class Refused:
    """The session is refused, for a reason that its client is told."""

    code: Code
    detail: str


class SessionOpening:
    """Opens one session, here or at an owner of its group.

    Parameters
    ----------
    server : session_server.SessionServer
    message : statements.OpenSession
        Its key is replaced by the digest at once.
    first_line : bytes
        The line of the message, including the line end.
    is_relayed : bool
        Whether another proxy relays the session; it is then served here, and the
        message holds the digest of the key.
    connect_relay : callable
        Takes an owner's address, the first line for it and the timeout of a statement
        in seconds; returns a ``relays.Relay``.
    is_closed : callable
        Returns whether the client has closed the connection.
    """

    def __init__(
        self, server, message, first_line, is_relayed, connect_relay, is_closed
    ):
        self._loop = server.loop
        self._server = server
        self._database = message.database
        self._is_relayed = is_relayed
        if is_relayed:
            self._key_digest = message.caller
        else:
            self._key_digest = tenants.digest_key(message.caller)
        self._first_line = first_line
        self._connect_relay = connect_relay
        self._is_closed = is_closed
        self._deadline = self._loop.clock.now() + OPEN_TIMEOUT_SECONDS

    def run(self):
        """Open the session; a task.

        Returns
        -------
        Opened or Refused
        """
        routing = self._server.routing
        while not routing.knows_deployment():
            if self._loop.clock.now() > self._deadline:
                return Refused(Code.BUSY, "no configuration yet")
            yield self._loop.sleep_until(
                self._loop.clock.now() + OPEN_POLL_INTERVAL_SECONDS
            )
        route = self._server.catalog.route(self._database)
        if route is None:
            self._server.log_unknown_database(self._database, self._is_relayed)
            return Refused(Code.UNKNOWN_DATABASE, self._database)
        checks = self._server.caller_checks
        if checks.needs_keys():
            # The line as the client sent it holds the key. Without tenants, the field
            # is a name, and the owner gets the line unchanged.
            self._first_line = self._server.dialect.encode_relay_open(
                self._database, self._key_digest
            )
        try:
            caller = checks.identify(route, self._key_digest)
        except (errors.Unauthenticated, errors.ConfigurationUnproved) as error:
            event_log.event(
                "caller_refused",
                database=self._database,
                relayed=self._is_relayed,
                cause=error.detail,
            )
            may_retry = isinstance(error, errors.ConfigurationUnproved)
            code = Code.BUSY if may_retry else Code.UNAUTHENTICATED
            return Refused(code, error.detail)
        if self._is_relayed:
            if routing.should_refuse_relayed(route.group):
                return Refused(Code.BUSY, "the primary is out of reach")
            return Opened(route, caller)
        return (yield from self._place(route, caller))

    def _place(self, route, caller):
        """Open the session at the best owner that accepts it; a task.

        Returns
        -------
        Opened or Refused
        """
        routing = self._server.routing
        near_primary = routing.relay_targets_near_primary(route)
        opened = yield from self._open_relay(route, caller, near_primary)
        if opened is not None:
            return opened
        if routing.serves_group(route.group, caller.tenant):
            return Opened(route, caller)
        targets = routing.relay_targets(route.group, caller.tenant)
        opened = yield from self._open_relay(route, caller, targets)
        if opened is not None:
            return opened
        if self._is_closed():
            return Refused(Code.BUSY, "the client has left")
        if routing.fall_back_to_local(route.group, caller.tenant):
            return Opened(route, caller)
        return Refused(Code.BUSY, "no owner of the group answers")

    def _open_relay(self, route, caller, members):
        """Relay the session to the first of some members that accepts it; a task.

        Returns
        -------
        Opened or None
        """
        routing = self._server.routing
        for member in members:
            if self._is_closed() or self._loop.clock.now() > self._deadline:
                return None
            try:
                relay = self._connect_relay(
                    member.relay_address, self._first_line, route.timeout
                )
            except errors.CassiahillError as error:
                event_log.event("relay_failed", owner=member.name, cause=error.detail)
                continue
            deadline = self._loop.clock.now() + relays.OPEN_TIMEOUT_SECONDS
            yield self._loop.first_done(
                relay.owner_accepted, self._loop.sleep_until(deadline)
            )
            if relay.owner_accepted.done() and relay.owner_accepted.result():
                routing.record_relay_opened(route.group, member)
                return Opened(route, caller, relay, member.failure_domain)
            relay.close()
            routing.record_owner_failure(route.group, member)
        return None
