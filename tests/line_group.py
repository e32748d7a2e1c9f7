"""A group of backend servers in memory, for the tests of sessions.

It runs typed statements and simulates terms, log positions, replicas that receive or
apply late, session values, prepared statements, connection limits, lost answers,
unreachable servers and promotions.
"""

import collections
import heapq

import attrs

from cassiahill import errors, statements
from cassiahill.catalog import BackendServer
from cassiahill.loop import LoopFuture
from cassiahill.positions import LogPosition
from cassiahill.statements import Access, Code, Reply, TransactionState

STATEMENT_SECONDS = 0.01
# Longest queue per slot, in time: some two dozen statements for three slots.
QUEUE_SECONDS = 0.15


@attrs.define(eq=False)
class InMemoryServer:
    """One backend server.

    Attributes
    ----------
    server_id, domain : str
    log : list of LogPosition
        Positions that it has received.
    applied : int
        Number of entries of the log that reads see.
    term : int
    paused_term : int
        Term of the order to receive no log entries; 0 when it receives them.
    not_receiving : bool
        Whether it receives no log entries because of a fault.
    lagging : bool
        Whether it does not apply the entries that it receives.
    unreachable : bool
        Whether it answers nothing and receives no log entries.
    lose_answers : int
        Number of next answers to clients' statements that are lost.
    limit : int
        Number of connections that it accepts.
    connections : int
        Number of open connections.
    seconds : float
        Duration of a statement when slots are not simulated.
    slots_free_at : list of float
        Instant at which each slot becomes free, as a heap; empty when slots are not
        simulated.
    slot_seconds : callable or None
        Returns the time of a statement in a slot, by request id.
    opening_seconds : float or None
        Time that a new connection occupies a slot; None when it occupies none.
    """

    server_id: str
    domain: str
    log: list
    applied: int = 0
    term: int = 1
    paused_term: int = 0
    not_receiving: bool = False
    lagging: bool = False
    unreachable: bool = False
    lose_answers: int = 0
    limit: int = 20
    connections: int = 0
    seconds: float = STATEMENT_SECONDS
    slots_free_at: list = attrs.field(factory=list)
    slot_seconds: object = None
    opening_seconds: float | None = None

    def take_slot(self, request_id, now, slot_seconds=None):
        """Run a statement in the slot that is free first; return when it ends."""
        if not self.slots_free_at or (request_id is None and slot_seconds is None):
            return now + self.seconds
        start = max(now, self.slots_free_at[0])
        end = start + (slot_seconds or self.slot_seconds(request_id))
        heapq.heapreplace(self.slots_free_at, end)
        return end

    def is_full(self, now):
        """Return whether the server's queue is full."""
        queue_seconds = sum(max(0.0, free_at - now) for free_at in self.slots_free_at)
        return bool(self.slots_free_at) and queue_seconds > QUEUE_SECONDS * len(
            self.slots_free_at
        )

    @property
    def received(self):
        """Last position received."""
        return self.log[-1]

    @property
    def visible(self):
        """Last position that reads see."""
        return self.log[self.applied - 1]


class InMemoryGroup:
    """Servers of one group, each in a failure domain of its own; the first is primary.

    Attributes
    ----------
    ran : list of tuple
        Request id, server id, text, session values and connection of each statement
        that ran.
    offered : set of str
        Ids of the requests that reached a server.
    committed, acknowledged : list of LogPosition
        Commits of the primary, and those among them that were acknowledged.
    acknowledged_before_promotion : list of LogPosition
        Commits that were acknowledged before the last promotion.
    connections : list of InMemoryConnection
        Those that were opened, also closed ones.
    read_rows : tuple of bytes
        Rows in the reply to each read.
    """

    def __init__(self, loop, name="orders", servers=("a", "b", "c"), synchronous=True):
        self.loop = loop
        self.synchronous = synchronous
        self.name = name
        self.primary = servers[0]
        self.term = 1
        self.ran = []
        self.offered = set()
        self.committed = []
        self.acknowledged = []
        self.acknowledged_before_promotion = []
        self.connections = []
        self.read_rows = ()
        first_log = [LogPosition(1, 1)]
        self.by_id = {
            server_id: InMemoryServer(
                server_id, f"domain-{server_id}", list(first_log), applied=1
            )
            for server_id in servers
        }

    def registered(self, server_id, **changes):
        """Return the entry that the server registers, with some fields changed."""
        server = BackendServer(
            server_id=server_id,
            group=self.name,
            address=("127.0.0.1", 1),
            failure_domain=self.by_id[server_id].domain,
            slots=2,
            draining=False,
            registered_as_primary=server_id == self.primary,
            started_at_ms=1,
        )
        return attrs.evolve(server, **changes)

    def connect(self, _loop, _dialect, server, on_closed):
        """Open a connection to a server; takes the place of ``LineConnection``."""
        connection = InMemoryConnection(
            self, self.by_id[server.server_id], server, on_closed
        )
        self.connections.append(connection)
        return connection

    def restart(self, server_id):
        """Restart a server's process: its pause and its connections end."""
        self.by_id[server_id].paused_term = 0
        for connection in self.connections:
            if connection.server.server_id == server_id:
                connection.close()
        self.connections = [open_ for open_ in self.connections if not open_.closed]

    def promote(self, server_id):
        """Make a server the primary; positions that its log lacks are rolled back."""
        new_primary = self.by_id[server_id]
        self.acknowledged_before_promotion = list(self.acknowledged)
        self.term += 1
        self.primary = server_id
        new_primary.term = self.term
        new_primary.paused_term = 0
        new_primary.applied = len(new_primary.log)
        new_primary.log.append(LogPosition(self.term, new_primary.received.number + 1))
        new_primary.applied += 1
        for server in self.by_id.values():
            if server is not new_primary and not server.unreachable:
                server.term = self.term
                server.paused_term = 0
                server.log = [
                    position for position in server.log if position in new_primary.log
                ]
                self._replicate(server)

    def commit(self, server):
        """Append a commit at the primary; return whether a replica has received it."""
        server.log.append(LogPosition(server.term, server.received.number + 1))
        server.applied = len(server.log)
        received = False
        for replica in self.by_id.values():
            if replica is not server:
                received |= self._replicate(replica)
        self.committed.append(server.received)
        return received

    def _replicate(self, replica):
        """Copy the primary's log to a replica; return whether it has received it."""
        primary = self.by_id[self.primary]
        if replica is primary:
            return False
        if replica.unreachable or replica.not_receiving or replica.paused_term:
            return False
        replica.log = list(primary.log)
        replica.applied = min(replica.applied, len(replica.log))
        if not replica.lagging:
            replica.applied = len(replica.log)
        return True

    def catch_up(self, server_id):
        """End a replica's faults and let it receive and apply the whole log."""
        server = self.by_id[server_id]
        server.lagging = server.not_receiving = False
        self._replicate(server)


class InMemoryConnection:
    """A connection to one of the servers, with the interface of ``LineConnection``.

    Parameters
    ----------
    group : InMemoryGroup
    server : InMemoryServer
    registered : catalog.BackendServer
        The server's entry.
    on_closed : callable
    """

    def __init__(self, group, server, registered, on_closed):
        self._group = group
        self._server = server
        self._on_closed = on_closed
        self._reply_futures = collections.deque()
        self._values_by_name = {}
        self._shapes_by_name = {}
        self._wrote = False
        self._read_only = False
        self._statement_name_count = 0
        self.server = registered
        self.values_by_name = {}
        self.names_by_shape = {}
        self.position = None
        self.state = TransactionState.IDLE
        self.used_at = group.loop.clock.now()
        self.closed = False
        self._counted_by_server = False
        # Name with which it was opened.
        self.caller = None

    @property
    def pending_replies(self):
        return len(self._reply_futures)

    def new_statement_name(self):
        self._statement_name_count += 1
        return f"c{self._statement_name_count}"

    def open(self, caller):
        self.caller = caller
        if self._server.unreachable:
            future = LoopFuture()
            self._reply_futures.append(future)
            return future
        if self._server.connections >= self._server.limit:
            return self._answer(Reply(code=Code.CONNECTION_LIMIT))
        self._server.connections += 1
        self._counted_by_server = True
        return self._answer(Reply(), slot_seconds=self._server.opening_seconds)

    def send_statement(self, statement, request_id=None, required_position=None):
        if self._server.unreachable:
            future = LoopFuture()
            self._reply_futures.append(future)
            return future
        now = self._group.loop.clock.now()
        if request_id is not None:
            self._group.offered.add(request_id)
        if request_id is not None and self._server.is_full(now):
            return self._answer(self._reply(code=Code.BUSY))
        return self._answer(
            self._run(statement, request_id, required_position), request_id
        )

    def close(self):
        if self.closed:
            return
        self.closed = True
        if self._counted_by_server:
            self._server.connections -= 1
        self._on_closed(self)
        unanswered, self._reply_futures = self._reply_futures, collections.deque()
        for future in unanswered:
            if not future.done():
                future.set_exception(errors.ConnectionLost("closed"))

    def abort(self):
        self.close()

    def _answer(self, reply, request_id=None, slot_seconds=None):
        """Return the future of a reply, which never comes if it is None or lost."""
        future = LoopFuture()
        self._reply_futures.append(future)
        if request_id is not None and self._server.lose_answers:
            self._server.lose_answers -= 1
            return future
        if reply is None:
            return future
        now = self._group.loop.clock.now()
        ends_at = self._server.take_slot(request_id, now, slot_seconds)
        self._group.loop.call_at(ends_at, lambda: self._deliver(future, reply))
        return future

    def _deliver(self, future, reply):
        """Give a reply to its future unless the server is unreachable."""
        if self.closed or self._server.unreachable:
            return
        self._reply_futures.remove(future)
        self.used_at = self._group.loop.clock.now()
        self.position = reply.position
        self.state = reply.state
        future.set_result(reply)

    def _reply(self, state=None, code=None, **fields):
        """Return a reply with the server's position, after a change of ``state``."""
        if state is not None:
            self._state = state
        return Reply(
            code=code,
            state=self._state,
            position=self._server.visible,
            signature="" if code else "signature",
            **fields,
        )

    _state = TransactionState.IDLE

    def _run(self, statement, request_id, required_position):
        server = self._server
        is_primary = self._group.primary == server.server_id
        lost_primary_role = (
            self._state is TransactionState.OPEN
            and not self._read_only
            and not is_primary
        )
        if required_position is not None and server.visible < required_position:
            return self._reply(code=Code.NOT_CURRENT)
        if isinstance(statement, statements.Commit):
            if lost_primary_role and self._wrote:
                return self._reply(TransactionState.IDLE, code=Code.NOT_PRIMARY)
            return self._commit(TransactionState.IDLE)
        if not isinstance(statement, statements.Run | statements.Execute):
            return self._run_proxy_statement(statement, is_primary)
        access, text = self._access_and_text(statement)
        if access is None:
            return self._reply(code=Code.UNKNOWN_STATEMENT)
        if lost_primary_role or (access is Access.WRITE and not is_primary):
            state = self._state
            if state is TransactionState.OPEN:
                state = TransactionState.FAILED
            return self._reply(state, code=Code.NOT_PRIMARY)
        self._group.ran.append(
            (request_id, server.server_id, text, dict(self._values_by_name), self)
        )
        if access is Access.WRITE:
            self._wrote = True
            if self._state is TransactionState.IDLE:
                return self._commit(TransactionState.IDLE)
            return self._reply()
        return self._reply(rows=self._group.read_rows)

    def _run_proxy_statement(self, statement, is_primary):
        """Run a statement that the proxy issues itself."""
        server = self._server
        state = None
        match statement:
            case statements.Begin(read_only=read_only):
                if not read_only and not is_primary:
                    return self._reply(code=Code.NOT_PRIMARY)
                self._read_only = read_only
                self._wrote = False
                state = TransactionState.OPEN
            case statements.Rollback():
                state = TransactionState.IDLE
            case statements.ResetSession():
                self._values_by_name, self._shapes_by_name = {}, {}
            case statements.SetValue(name=name, value=value):
                self._values_by_name[name] = value
            case statements.Prepare(name=name, shape=shape):
                self._shapes_by_name[name] = shape
            case statements.PauseReceiving(term=term):
                server.paused_term = term
            case statements.ResumeReceiving():
                server.paused_term = 0
            case statements.StepDown() if is_primary:
                self._group.primary = None
        return self._reply(state, rows=(self._report(is_primary),))

    def _access_and_text(self, statement):
        """Return access and text of a statement; None for an unknown prepared one."""
        if isinstance(statement, statements.Run):
            return statement.access, statement.text
        shape = self._shapes_by_name.get(statement.name)
        return (None, None) if shape is None else (shape.access, shape.text)

    def _commit(self, state):
        """Commit what was written; return None while no replica acknowledges it."""
        if self._wrote:
            self._wrote = False
            received = self._group.commit(self._server)
            if self._group.synchronous and not received:
                return None
            self._group.acknowledged.append(self._server.received)
        return self._reply(state)

    def _report(self, is_primary):
        return statements.ServerReport(
            is_primary,
            max(self._server.term, self._server.paused_term),
            self._server.received,
            self._server.connections,
            self._server.paused_term,
        )


class InMemoryDialect:
    """Dialect of the group in memory, whose replies contain the report itself."""

    def decode_report(self, reply):
        """Return the ``ServerReport`` in a reply."""
        return reply.rows[0]
