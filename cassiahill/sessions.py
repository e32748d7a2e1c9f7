"""Sessions of clients: a connection is a session and runs one statement at a time."""

import collections

from cassiahill import (
    errors,
    event_log,
    relays,
    session_executor,
    statements,
    transport,
)
from cassiahill.session_executor import SessionExecutor, Transaction
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Code, Reply, TransactionState

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1024 * 1024
MAX_QUEUED_REQUESTS = 64  # Sent ahead by one client; reading pauses beyond that.
# Longer than a client takes to send its next statement, which it has at hand.
IDLE_SECONDS = 0.1
OPEN_STEP_SECONDS = 0.02
OPEN_WAIT_SECONDS = 1.5  # Clients give up on an unopened session after 2 s.

_FAILED = TransactionState.FAILED
_OPEN = TransactionState.OPEN


class Session:
    """One client's connection.

    Parameters
    ----------
    server : session_server.SessionServer
    sock : socket.socket
    relayed : bool
        Whether another proxy has relayed it here; it is served here then.
    """

    def __init__(self, server, sock, relayed=False):
        self._server = server
        self._relayed = relayed
        self._relay = None
        self._loop = server.loop
        self._buffer = b""
        self._queue = collections.deque()
        self._running = None
        self._state = SessionState()
        self._transaction = None
        self._work = None
        self._idle_timer = None
        self.database = None
        self.group = None
        self.active_at = self._loop.clock.now()
        self._stream = transport.Stream(
            self._loop, sock, self._on_data, self._on_closed
        )

    @property
    def at_rest(self):
        """Whether nothing of the client is open or outstanding."""
        return (
            self._running is None
            and not self._queue
            and not self._buffer
            and self._transaction is None
            and (self._relay is None or self._relay.at_rest)
        )

    def is_served_here(self, group):
        """Return whether it is a session of the group that no other proxy serves."""
        return self.group == group and self._relay is None

    def close(self):
        """Close the connection after what has been written to it."""
        self._stream.close_when_sent()

    def abort_transaction(self, cause):
        """End an idle transaction; the next statement is told so."""
        transaction = self._transaction
        if transaction is None or self._running is not None:
            return
        if transaction.lease is not None:
            self._work.roll_back(transaction)
            transaction.failed = True
            event_log.event("transaction_ended", database=self.database, cause=cause)

    # Receiving

    def _on_data(self, data):
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        arrived_at = self.active_at = self._loop.clock.now()
        if len(self._buffer) > MAX_LINE_BYTES:
            self._refuse(Code.TOO_LARGE, "the line is too long")
            return
        for line in lines:
            self._queue.append((line.removesuffix(b"\r"), arrived_at))
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._stream.pause_reading(True)
        self._next()

    def _on_closed(self):
        self._server.forget(self)
        self._queue.clear()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._relay is not None:
            self._relay.close()
        if self._running is not None:
            if self._work is not None:
                self._work.withdraw(self._running)
        elif self._transaction is not None and self._transaction.lease is not None:
            self._work.roll_back(self._transaction)

    def _next(self):
        while self._queue and self._running is None and not self._stream.closed:
            line, arrived_at = self._queue.popleft()
            if len(self._queue) == MAX_QUEUED_REQUESTS // 2:
                self._stream.pause_reading(False)
            self._take(line, arrived_at)

    def _take(self, line, arrived_at):
        try:
            message = self._server.dialect.decode_request(line)
        except errors.MalformedRequest as error:
            self._reject(error.detail)
            return
        match message:
            case statements.OpenSession() if self.database is None:
                self._start(self._open(message, line), "open")
            case statements.Request() if self._relay is not None:
                self._relay.send(line + LINE_END, message)
            case statements.Request() if self.database is not None:
                self._handle(message, arrived_at)
            case statements.CloseSession():
                self.close()
            case _:
                self._reject("the message is out of order")

    def _start(self, task, name):
        self._running = name
        future = self._loop.spawn(task)
        self._loop.when_done(future, self._finish)

    def _finish(self, future):
        self._running = None
        error = future.exception()
        if error is not None:
            event_log.event("session_failed", cause=repr(error))
            self._refuse(Code.ABORTED, "internal error")
            return
        if not self._stream.closed:
            self._next()

    # Opening

    def _open(self, message, line):
        deadline = self._loop.clock.now() + OPEN_WAIT_SECONDS
        while not self._server.routing.knows_deployment():
            if self._loop.clock.now() > deadline:
                self._refuse(Code.BUSY, "no configuration yet")
                return
            yield self._loop.sleep_until(self._loop.clock.now() + OPEN_STEP_SECONDS)
        route = self._server.catalog.route(message.database)
        if route is None:
            self._refuse(Code.UNKNOWN_DATABASE, message.database)
            return
        if self._relayed:
            if self._server.routing.cannot_serve(route.group):
                self._refuse(Code.BUSY, "the primary is out of reach")
                return
        elif not self._server.routing.serves(route.group):
            taken = yield from self._open_relay(route, line + LINE_END)
            if not taken and not self._server.routing.relay_failed(route.group):
                self._refuse(Code.BUSY, "no owner of the group answers")
                return
        self.database = message.database
        self.group = route.group
        self._stream.write(self._server.dialect.encode_ready())

    def _open_relay(self, route, first_line):
        """Find an owner that takes the session; return whether one did."""
        for member in self._server.routing.owners_for(route.group):
            if self._stream.closed:
                return False
            try:
                relay = relays.Relay(
                    self._loop,
                    self._server.dialect,
                    member.relay_address,
                    first_line,
                    route.timeout,
                    self._pass_on,
                    self._relay_ended,
                )
            except errors.CassiahillError as error:
                event_log.event("relay_failed", owner=member.name, cause=error.detail)
                continue
            deadline = self._loop.clock.now() + relays.OPEN_SECONDS
            yield self._loop.first_done(relay.opening, self._loop.sleep_until(deadline))
            if relay.opening.done() and relay.opening.result():
                self._relay = relay
                self._server.routing.relay_opened(route.group)
                if self._stream.closed:
                    relay.close()
                return True
            relay.close()
            self._server.routing.owner_failed(route.group, member)
        return False

    def _pass_on(self, data):
        """Write an owner's answer to the client."""
        self.active_at = self._loop.clock.now()
        self._stream.write(data)

    def _relay_ended(self, reply):
        """Tell the client what became of its statement, and close the session."""
        if self._stream.closed:
            return
        if reply is not None:
            self._stream.write(self._server.dialect.encode_reply(reply))
        self.close()

    # Statements

    def _handle(self, request, arrived_at):
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        statement = request.statement
        match statement:
            case statements.Rollback():
                self._answer(request, self._roll_back(), arrived_at)
            case statements.Commit() if self._transaction is None:
                self._reply_error(request, Code.MALFORMED, "no transaction", arrived_at)
            case statements.Commit() if self._transaction.failed:
                self._roll_back()
                reply = Reply(code=Code.ABORTED, detail="the transaction had failed")
                self._answer(request, reply, arrived_at)
            case _ if self._transaction is not None and self._transaction.failed:
                self._reply_error(
                    request, Code.MALFORMED, "the transaction has failed", arrived_at
                )
            case statements.Begin():
                self._begin(request, arrived_at)
            case statements.SetValue(name=name, value=value):
                self._state.values_by_name[name] = value
                self._answer(request, Reply(), arrived_at)
            case statements.Prepare(name=name, shape=shape):
                self._state.shapes_by_name[name] = shape
                self._answer(request, Reply(), arrived_at)
            case statements.Deallocate(name=name):
                self._state.shapes_by_name.pop(name, None)
                self._answer(request, Reply(), arrived_at)
            case statements.Run() | statements.Execute() | statements.Commit():
                self._run(request, arrived_at)

    def _begin(self, request, arrived_at):
        if self._transaction is not None:
            self._reply_error(request, Code.MALFORMED, "already begun", arrived_at)
            return
        if self._current_route() is None:
            self._reply_no_database(request, arrived_at)
            return
        read_only = request.statement.read_only
        if read_only and self._work.needs_primary_for_reads:
            read_only = False
        self._transaction = Transaction(read_only, arrived_at)
        self._answer(request, Reply(), arrived_at)

    def _roll_back(self):
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.lease is not None:
            self._work.roll_back(transaction)
        return Reply()

    def _run(self, request, arrived_at):
        statement = request.statement
        shape = None
        access = None
        if isinstance(statement, statements.Execute):
            shape = self._state.shapes_by_name.get(statement.name)
            if shape is None:
                self._reply_error(
                    request, Code.UNKNOWN_STATEMENT, statement.name, arrived_at
                )
                return
            access = shape.access
        elif isinstance(statement, statements.Run):
            access = statement.access
        if self._transaction is None and self._current_route() is None:
            self._reply_no_database(request, arrived_at)
            return
        deadline = arrived_at + self._work.route.timeout
        job = SessionRequest(
            request.request_id, statement, shape, access, arrived_at, deadline
        )
        self._start(self._run_job(request, job), request.request_id)

    def _run_job(self, request, job):
        transaction = self._transaction
        if transaction is None:
            reply = yield from self._work.run(job)
        else:
            reply = yield from self._work.run_in_transaction(transaction, job)
            if job.access is None:
                self._transaction = None
            if self._stream.closed and transaction.lease is not None:
                self._work.roll_back(transaction)
        self._answer(request, reply, job.arrived_at)

    def _current_route(self):
        """Return the route for the next transaction, and use it from now on."""
        route = self._server.catalog.route(self.database)
        if route is None:
            return None
        if self._work is None or self._work.route != route:
            group = self._server.group_of(route.group)
            self._work = SessionExecutor(self._loop, group, route, self._state)
        return route

    # Answers

    def _state_now(self):
        if self._transaction is None:
            return TransactionState.IDLE
        return _FAILED if self._transaction.failed else _OPEN

    def _answer(self, request, reply, arrived_at):
        if self._stream.closed:
            return
        reply = session_executor.with_state(reply, self._state_now())
        self.active_at = self._loop.clock.now()
        self._stream.write(self._server.dialect.encode_reply(reply))
        self._server.count(request, self.database, reply, arrived_at)
        if self._transaction is not None:
            self._await_next_statement()

    def _reply_error(self, request, code, detail, arrived_at):
        self._answer(request, Reply(code=code, detail=detail), arrived_at)

    def _reply_no_database(self, request, arrived_at):
        self._reply_error(request, Code.UNKNOWN_DATABASE, self.database, arrived_at)

    def _reject(self, detail):
        """Answer a line that cannot be understood."""
        if self.database is None:
            self._refuse(Code.MALFORMED, detail)
            return
        reply = Reply(code=Code.MALFORMED, detail=detail, state=self._state_now())
        self._stream.write(self._server.dialect.encode_reply(reply))

    def _refuse(self, code, detail):
        if not self._stream.closed:
            self._stream.write(self._server.dialect.encode_refusal(code, detail))
            self._stream.close_when_sent()

    def _await_next_statement(self):
        configuration = self._server.catalog.configuration
        at = self._loop.clock.now() + configuration.idle_transaction_seconds
        self._idle_timer = self._loop.call_at(
            at, lambda: self.abort_transaction("idle for too long")
        )
