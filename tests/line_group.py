"""A group of backend servers in memory that speaks typed statements.

It has what the tests of sessions need: terms, positions, replicas that receive and
apply late, session values, prepared statements, a limit of connections, lost answers,
servers that go dark, and promotions.
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
QUEUE_SECONDS = 0.15  # Some two dozen statements wait before three slots.


@attrs.define(eq=False)
class Server:
    """One backend server; ``log`` holds the positions that it has received."""

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
    free_at: list = attrs.field(factory=list)  # Of each slot; empty without a limit.
    work_seconds: object = None  # Time in a slot by request id.

    def take_slot(self, request_id, now):
        """Return when a statement ends that starts in the slot that is free first."""
        if not self.free_at or request_id is None:
            return now + self.seconds
        start = max(now, self.free_at[0])
        end = start + self.work_seconds(request_id)
        heapq.heapreplace(self.free_at, end)
        return end

    def is_full(self, now):
        """Return whether the queue before the slots has no place left."""
        waiting = sum(max(0.0, at - now) for at in self.free_at)
        return bool(self.free_at) and waiting > QUEUE_SECONDS * len(self.free_at)

    @property
    def received(self):
        """Last position received."""
        return self.log[-1]

    @property
    def visible(self):
        """Last position that reads see."""
        return self.log[self.applied - 1]


class InMemoryGroup:
    """Servers ``a`` (primary), ``b`` and ``c``, each in a failure domain of its own."""

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
        start = [LogPosition(1, 1)]
        self.by_id = {
            one: Server(one, f"domain-{one}", list(start), applied=1) for one in servers
        }

    def registered(self, server_id, **changes):
        """Return the server as it registers itself."""
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
        """Make a connection, in the place of ``LineConnection``."""
        return Connection(self, self.by_id[server.server_id], server, on_closed)

    def promote(self, server_id):
        """Make a server the primary; positions that it lacks are rolled back."""
        new = self.by_id[server_id]
        self.acknowledged_before_promotion = list(self.acknowledged)
        self.term += 1
        self.primary = server_id
        new.term = self.term
        new.paused_term = 0
        new.applied = len(new.log)
        new.log.append(LogPosition(self.term, new.received.number + 1))
        new.applied += 1
        for server in self.by_id.values():
            if server is not new and not server.unreachable:
                server.term = self.term
                server.paused_term = 0
                server.log = [one for one in server.log if one in new.log]
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
        """Let a replica receive and apply all."""
        server = self.by_id[server_id]
        server.lagging = server.not_receiving = False
        self._replicate(server)


class Connection:
    """A connection with the interface of ``LineConnection``."""

    def __init__(self, group, server, registered, on_closed):
        self._group = group
        self._server = server
        self._on_closed = on_closed
        self._pending = collections.deque()
        self._values = {}
        self._shapes = {}
        self._wrote = False
        self._read_only = False
        self._count = 0
        self.server = registered
        self.values_by_name = {}
        self.names_by_shape = {}
        self.position = None
        self.state = TransactionState.IDLE
        self.used_at = group.loop.clock.now()
        self.closed = False
        self._counted = False

    @property
    def awaits(self):
        return len(self._pending)

    def new_statement_name(self):
        self._count += 1
        return f"c{self._count}"

    def open(self, _caller):
        if self._server.unreachable:
            future = LoopFuture()
            self._pending.append(future)
            return future
        if self._server.connections >= self._server.limit:
            return self._answer(Reply(code=Code.CONNECTION_LIMIT))
        self._server.connections += 1
        self._counted = True
        return self._answer(Reply())

    def ask(self, statement, request_id=None, after=None):
        if self._server.unreachable:
            future = LoopFuture()
            self._pending.append(future)
            return future
        now = self._group.loop.clock.now()
        if request_id is not None:
            self._group.offered.add(request_id)
        if request_id is not None and self._server.is_full(now):
            return self._answer(self._reply(code=Code.BUSY))
        return self._answer(self._run(statement, request_id, after), request_id)

    def close(self):
        if self.closed:
            return
        self.closed = True
        if self._counted:
            self._server.connections -= 1
        self._on_closed(self)
        pending, self._pending = self._pending, collections.deque()
        for future in pending:
            if not future.done():
                future.set_exception(errors.ConnectionLost("closed"))

    def _answer(self, reply, request_id=None):
        future = LoopFuture()
        self._pending.append(future)
        if request_id is not None and self._server.lose_answers:
            self._server.lose_answers -= 1
            return future
        if reply is None:
            return future
        at = self._server.take_slot(request_id, self._group.loop.clock.now())
        self._group.loop.call_at(at, lambda: self._deliver(future, reply))
        return future

    def _deliver(self, future, reply):
        if self.closed or self._server.unreachable:
            return
        self._pending.remove(future)
        self.used_at = self._group.loop.clock.now()
        self.position = reply.position
        self.state = reply.state
        future.set_result(reply)

    def _reply(self, state=None, code=None, **fields):
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

    def _run(self, statement, request_id, after):
        server = self._server
        leads = self._group.primary == server.server_id
        lost = (
            self._state is TransactionState.OPEN and not self._read_only and not leads
        )
        if after is not None and server.visible < after:
            return self._reply(code=Code.NOT_CURRENT)
        if isinstance(statement, statements.Commit):
            if lost and self._wrote:
                return self._reply(TransactionState.IDLE, code=Code.NOT_PRIMARY)
            return self._commit(TransactionState.IDLE)
        if not isinstance(statement, statements.Run | statements.Execute):
            return self._run_own(statement, leads)
        access, text = self._resolve(statement)
        if access is None:
            return self._reply(code=Code.UNKNOWN_STATEMENT)
        if lost or (access is Access.WRITE and not leads):
            state = self._state
            if state is TransactionState.OPEN:
                state = TransactionState.FAILED
            return self._reply(state, code=Code.NOT_PRIMARY)
        self._group.ran.append(
            (request_id, server.server_id, text, dict(self._values), self)
        )
        if access is Access.WRITE:
            self._wrote = True
            if self._state is TransactionState.IDLE:
                return self._commit(TransactionState.IDLE)
        return self._reply()

    def _run_own(self, statement, leads):
        """Run a statement that proxies issue themselves."""
        server = self._server
        state = None
        match statement:
            case statements.Begin(read_only=read_only):
                if not read_only and not leads:
                    return self._reply(code=Code.NOT_PRIMARY)
                self._read_only = read_only
                self._wrote = False
                state = TransactionState.OPEN
            case statements.Rollback():
                state = TransactionState.IDLE
            case statements.ResetSession():
                self._values, self._shapes = {}, {}
            case statements.SetValue(name=name, value=value):
                self._values[name] = value
            case statements.Prepare(name=name, shape=shape):
                self._shapes[name] = shape
            case statements.PauseReceiving(term=term):
                server.paused_term = term
            case statements.ResumeReceiving():
                server.paused_term = 0
            case statements.StepDown() if leads:
                self._group.primary = None
        return self._reply(state, rows=(self._report(leads),))

    def _resolve(self, statement):
        if isinstance(statement, statements.Run):
            return statement.access, statement.text
        shape = self._shapes.get(statement.name)
        return (None, None) if shape is None else (shape.access, shape.text)

    def _commit(self, state):
        if self._wrote:
            self._wrote = False
            received = self._group.commit(self._server)
            if self._group.synchronous and not received:
                return None
            self._group.acknowledged.append(self._server.received)
        return self._reply(state)

    def _report(self, leads):
        return statements.ServerReport(
            leads,
            max(self._server.term, self._server.paused_term),
            self._server.received,
            self._server.connections,
        )


class InMemoryDialect:
    """Reads the reports of this group; nothing is encoded."""

    def decode_report(self, reply):
        """Return the report in a reply."""
        return reply.rows[0]
