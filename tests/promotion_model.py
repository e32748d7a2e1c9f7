"""A group in memory whose promotions take a second, for the search of lost commits.

Unlike ``tests.line_group``, servers crash, restart and join, promotion orders take
effect late, and several proxies have their own connections and lists of the servers.
"""

import collections

import attrs

from cassiahill import errors, statements
from cassiahill.loop import LoopFuture
from cassiahill.positions import LogPosition
from cassiahill.promotion_orders import OrderResult, PromotionOrders
from tests.line_group import InMemoryConnection, InMemoryGroup, InMemoryServer

PROMOTION_SECONDS = 1.0  # From the acceptance of an order until it takes effect.
MAX_CONNECTIONS = 1000  # The limits of connections are not the subject.
ORDER_TIMEOUT_SECONDS = 0.8
REGISTRATION_LAPSE_SECONDS = 3.6  # Three heartbeat intervals.
REGISTRATION_SECONDS = 0.3  # From a server's return until its entry is back.


@attrs.define(eq=False)
class ModelServer(InMemoryServer):
    """A server that may crash, restart or leave.

    Attributes
    ----------
    crashed : bool
        Whether its process does not run, so that it refuses connections.
    has_left : bool
        Whether it was shut down for good.
    draining : bool
    started_at_ms : int
        Differs for each start of its process.
    silent_since : float or None
        Since when it neither answers nor sends heartbeats.
    """

    crashed: bool = False
    has_left: bool = False
    draining: bool = False
    started_at_ms: int = 1
    silent_since: float | None = None

    def has(self, position):
        """Return whether the log has a position; numbers are consecutive from 1."""
        index = position.number - 1
        return index < len(self.log) and self.log[index] == position


class ModelGroup(InMemoryGroup):
    """The servers of one group and their entries in the store.

    Attributes
    ----------
    entries_by_id : dict of str to catalog.BackendServer
        The registered servers.
    on_promotion : callable
        Called with the id of each server that has become the primary, before any
        replica has received its log.
    """

    def __init__(self, loop, servers=("a", "b", "c")):
        super().__init__(loop, servers=servers)
        self.by_id = {}
        self.connections = []
        self.entries_by_id = {}
        self.on_promotion = lambda _server_id: None
        self._is_promoting = False
        self._waiting_commits = []
        for server_id in servers:
            self.add_server(server_id, [LogPosition(1, 1)])
            self.register(server_id)

    def add_server(self, server_id, log, term=1):
        """Start a server, which receives the log before it is registered."""
        self.by_id[server_id] = ModelServer(
            server_id,
            f"domain-{server_id}",
            log,
            applied=len(log),
            term=term,
            limit=MAX_CONNECTIONS,
        )

    def register(self, server_id):
        """Write the entry of a server that runs and can be reached."""
        server = self.by_id[server_id]
        if not server.unreachable:
            self.entries_by_id[server_id] = self.registered(
                server_id, draining=server.draining, started_at_ms=server.started_at_ms
            )

    def refresh_entries(self):
        """Write changed entries, and delete those of servers that have been silent."""
        now = self.loop.clock.now()
        for server_id in list(self.entries_by_id):
            server = self.by_id[server_id]
            silent_since = server.silent_since
            lapsed = (
                silent_since is not None
                and now - silent_since >= REGISTRATION_LAPSE_SECONDS
            )
            if server.has_left or lapsed:
                del self.entries_by_id[server_id]
            else:
                self.register(server_id)

    def set_unreachable(self, server_id, crashed):
        """Let a server crash, or answer nobody and receive nothing."""
        server = self.by_id[server_id]
        server.unreachable = True
        server.crashed = crashed
        server.silent_since = self.loop.clock.now()
        if crashed:
            self.close_connections(server)

    def set_reachable(self, server_id):
        """Let a server return; one that has crashed starts again with its log."""
        server = self.by_id[server_id]
        if server.has_left or not server.unreachable:
            return
        server.unreachable = False
        server.silent_since = None
        if server.crashed:
            server.crashed = False
            self.restart(server_id)
        now = self.loop.clock.now()
        self.loop.call_at(now + REGISTRATION_SECONDS, lambda: self.register(server_id))

    def restart(self, server_id):
        """Start a server's process again; this ends its pause."""
        self.by_id[server_id].started_at_ms += 1
        super().restart(server_id)

    def close_connections(self, server):
        """Close all connections to a server, as the end of its process does."""
        for connection in self.connections:
            if connection.server.server_id == server.server_id:
                connection.close()
        self.connections = [open_ for open_ in self.connections if not open_.closed]

    def replicate(self):
        """Let all replicas receive, and answer the commits that one of them has."""
        for replica in self.by_id.values():
            self._replicate(replica)
        waiting_commits, self._waiting_commits = self._waiting_commits, []
        for position, answer in waiting_commits:
            if self._is_received(position):
                answer()
            else:
                self._waiting_commits.append((position, answer))

    def answer_when_received(self, position, answer):
        """Call ``answer`` once a replica has received a commit of the primary."""
        self._waiting_commits.append((position, answer))

    def _is_received(self, position):
        primary = self.by_id.get(self.primary)
        if primary is None or primary.unreachable:
            return False
        return any(
            server.has(position)
            for server in self.by_id.values()
            if server.server_id != self.primary
        )

    def promote(self, server_id):
        """Make a server the primary; commits that wait at the former one fail."""
        self._is_promoting = True
        super().promote(server_id)
        self._is_promoting = False
        for server in self.by_id.values():
            server.applied = min(server.applied, len(server.log))
        self._waiting_commits.clear()
        self.refresh_entries()
        self.on_promotion(server_id)

    def _replicate(self, replica):
        primary = self.by_id.get(self.primary)
        if primary is None or primary.unreachable or self._is_promoting:
            return False
        received = super()._replicate(replica)
        if received:
            replica.term = primary.term
        return received


class ModelConnection(InMemoryConnection):
    """A connection of one proxy, which some servers may not answer.

    Parameters
    ----------
    group, server, registered, on_closed
        See ``InMemoryConnection``.
    silent_ids : set of str
        Ids of the servers that do not answer this proxy.
    """

    def __init__(self, group, server, registered, on_closed, silent_ids):
        super().__init__(group, server, registered, on_closed)
        self._silent_ids = silent_ids
        self._waiting_reply = None

    @property
    def _is_silent(self):
        return self._server.server_id in self._silent_ids

    def open(self, caller):
        return self._unanswered() if self._is_silent else super().open(caller)

    def send_statement(self, statement, request_id=None, required_position=None):
        if self.closed:
            future = LoopFuture()
            future.set_exception(errors.ConnectionLost("closed"))
            return future
        if self._is_silent:
            return self._unanswered()
        return super().send_statement(statement, request_id, required_position)

    def _commit(self, state):
        """Commit what was written; return None while no replica acknowledges it."""
        if not self._wrote:
            return super()._commit(state)
        self._wrote = False
        received = self._group.commit(self._server)
        reply = self._reply(state)
        if received:
            return reply
        self._waiting_reply = reply
        return None

    def _answer(self, reply, request_id=None, slot_seconds=None):
        """Return the future of a reply, also of one that waits for a replica."""
        future = super()._answer(reply, request_id, slot_seconds)
        waiting_reply, self._waiting_reply = self._waiting_reply, None
        if waiting_reply is not None:
            self._group.answer_when_received(
                waiting_reply.position, lambda: self._deliver(future, waiting_reply)
            )
        return future

    def _unanswered(self):
        future = LoopFuture()
        self._reply_futures.append(future)
        return future

    def _deliver(self, future, reply):
        if not self._is_silent:
            super()._deliver(future, reply)

    def _run_proxy_statement(self, statement, is_primary):
        """Run a statement of the proxy; a term that is not new has no effect."""
        server = self._server
        match statement:
            case statements.PauseReceiving(term=term):
                if is_primary or term <= server.term or term < server.paused_term:
                    return self._reply(rows=(self._report(is_primary),))
            case statements.StepDown(term=term):
                if term <= server.term:
                    return self._reply(rows=(self._report(is_primary),))
        return super()._run_proxy_statement(statement, is_primary)


class SlowPlatform(PromotionOrders):
    """Carries out promotion orders, which take effect a second after acceptance.

    Attributes
    ----------
    delays : collections.deque of (float or None)
        Delays of the next orders, which are not answered; None for one that is lost.
    carried_out : list of tuple
        Instant, server id and token of each promotion that took effect.
    lost_commits : list of LogPosition
        Commits of which clients were told and which the log of a promoted server
        lacked.
    """

    def __init__(self, servers):
        self._servers = servers
        self._loop = servers.loop
        self._seen_token = 0
        self.delays = collections.deque()
        self.outstanding_ids = []
        self.carried_out = []
        self.lost_commits = []

    def promote(self, group, server_id, token):
        now = self._loop.clock.now()
        future = LoopFuture()
        if not self.delays:
            result = self._carry_out(server_id, token)
            self._loop.call_at(now + 0.01, lambda: future.set_result(result))
            return future
        delay = self.delays.popleft()
        if delay is not None:
            self.outstanding_ids.append(server_id)
            self._loop.call_at(
                now + delay, lambda: self._carry_out_late(server_id, token)
            )
        self._loop.call_at(
            now + ORDER_TIMEOUT_SECONDS,
            lambda: future.set_result(OrderResult.UNANSWERED),
        )
        return future

    def _carry_out_late(self, server_id, token):
        self.outstanding_ids.remove(server_id)
        self._carry_out(server_id, token)

    def _carry_out(self, server_id, token):
        """Check an order's token against those seen; accept or refuse the order."""
        if token < self._seen_token:
            return OrderResult.REFUSED
        self._seen_token = token
        if self._servers.by_id[server_id].crashed:
            return OrderResult.REFUSED
        if self._servers.primary != server_id:
            self.outstanding_ids.append(server_id)
            self._loop.call_at(
                self._loop.clock.now() + PROMOTION_SECONDS,
                lambda: self._take_effect(server_id, token),
            )
        return OrderResult.ACCEPTED

    def _take_effect(self, server_id, token):
        """Make the server the primary, and record the commits that this loses."""
        self.outstanding_ids.remove(server_id)
        server = self._servers.by_id[server_id]
        if server.crashed or self._servers.primary == server_id:
            return
        self.carried_out.append((self._loop.clock.now(), server_id, token))
        if not self.lost_commits:
            self.lost_commits = [
                position
                for position in self._servers.acknowledged
                if not server.has(position)
            ]
        self._servers.promote(server_id)
