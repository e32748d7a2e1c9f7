"""Client sessions: each connection is a session that runs one request at a time."""

from cassiahill import (
    errors,
    event_log,
    relays,
    session_executor,
    session_opening,
    statements,
    transport,
)
from cassiahill.line_reader import LINE_END, LineReader
from cassiahill.pending_lines import PendingLines
from cassiahill.session_executor import SessionExecutor, Transaction
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Code, Reply, TransactionState

CLOSE_TIMEOUT_SECONDS = 0.5  # Time for another proxy to close an ended relay.
# Sessions are closed only after this idle time, which is longer than a client takes to
# send a statement that it has ready.
MIN_IDLE_SECONDS = 0.1
STOPPING = "the proxy stops"  # Detail of the refusals of a process that stops.

_FAILED = TransactionState.FAILED
_OPEN = TransactionState.OPEN


class Session:
    """One client's connection.

    Parameters
    ----------
    server : session_server.SessionServer
    sock : socket.socket
    relayed : bool
        Whether another proxy relays it; it is then always served here.
    """

    def __init__(self, server, sock, relayed=False):
        self._server = server
        self._relayed = relayed
        self._announced_close = False
        self._relay = None
        self._owner_domain = None
        self._loop = server.loop
        self._reader = LineReader()
        self._pending_lines = PendingLines()
        self._running_id = None
        self._processing_lines = False
        self._session_state = SessionState()
        self._transaction = None
        self._executor = None
        self._transaction_idle_timer = None
        self._caller = None
        self.database = None
        self.group = None
        self.opened_at = self.last_active_at = self._loop.clock.now()
        self._stream = transport.Stream(
            self._loop, sock, self._on_data, self._on_closed, is_deferrable=True
        )
        self._stream.on_drained = self._on_drained

    @property
    def is_idle(self):
        """Whether no request is outstanding and no transaction is open."""
        return (
            self._running_id is None
            and not self._pending_lines
            and not self._reader.is_in_line
            and self._transaction is None
            and (self._relay is None or self._relay.is_idle)
        )

    def is_served_here(self, group):
        """Return whether this is a session of the group and is not relayed."""
        return self.group == group and self._relay is None

    @property
    def has_key(self):
        """Whether the session is open and its caller needs a key."""
        return self._caller is not None and self._caller.tenant is not None

    @property
    def is_revoked(self):
        """Whether the session is open and its key is no longer in force."""
        route = self._server.catalog.route(self.database)
        return (
            self._caller is not None
            and route is not None
            and not self._server.caller_checks.is_in_force(self._caller, route)
        )

    def is_misplaced(self):
        """Return whether it is relayed to a region that the primary has left."""
        return (
            self._owner_domain is not None
            and self.group is not None
            and self._server.routing.is_misplaced(self.group, self._owner_domain)
        )

    def close(self):
        """Close the connection once everything written has been sent."""
        self._stream.close_when_sent()

    def close_while_idle(self):
        """End the session while no request is outstanding and none is running.

        A statement that a relaying proxy has sent in the meantime does not run. That
        proxy closes the connection, so that it reads the announcement in any case.
        """
        if not self._relayed:
            self.close()
            return
        if not self._announced_close:
            self._announced_close = True
            self._stream.write(self._server.dialect.encode_closing())
            close_at = self._loop.clock.now() + CLOSE_TIMEOUT_SECONDS
            self._loop.call_at(close_at, self.close)

    def abort_transaction(self, cause):
        """Roll back a transaction that waits for its client's next statement.

        The transaction is marked as failed, so the next statement is refused.
        """
        transaction = self._transaction
        if transaction is None or self._running_id is not None:
            return
        if transaction.lease is not None:
            self._executor.roll_back(transaction)
            transaction.failed = True
            event_log.event("transaction_ended", database=self.database, cause=cause)

    # Received lines

    def _on_data(self, data):
        if self._announced_close or self._stream.closing:
            return
        arrived_at = self.last_active_at = self._loop.clock.now()
        try:
            lines = self._reader.feed(data)
        except errors.RequestTooLarge as error:
            self._refuse_and_close(Code.TOO_LARGE, error.detail)
            return
        for line in lines:
            self._pending_lines.append(line, arrived_at)
        if self._pending_lines.is_full:
            self._stream.set_reading_paused(True)
        self._process_lines()

    def _on_closed(self):
        self._server.remove_session(self)
        self._pending_lines.clear()
        if self._transaction_idle_timer is not None:
            self._transaction_idle_timer.cancel()
        if self._relay is not None:
            self._relay.close()
        if self._running_id is not None:
            if self._executor is not None:
                self._executor.withdraw(self._running_id)
        elif self._transaction is not None and self._transaction.lease is not None:
            self._executor.roll_back(self._transaction)

    def _process_lines(self):
        """Process received lines until a request runs.

        A request that ends at once calls this again, which must not nest.
        """
        if self._processing_lines:
            return
        self._processing_lines = True
        try:
            while self._may_process_line():
                line, arrived_at = self._pending_lines.popleft()
                if self._pending_lines.has_room:
                    self._stream.set_reading_paused(False)
                self._process_line(line, arrived_at)
        finally:
            self._processing_lines = False
        self._close_at_rest()

    def _may_process_line(self):
        """Return whether a line waits, no request runs, and its reply can be sent."""
        return (
            bool(self._pending_lines)
            and self._running_id is None
            and not self._stream.closed
            and not self._stream.closing
            and not self._stream.is_congested
            and not (self._relay is not None and self._relay.is_congested)
        )

    def _on_drained(self):
        """Go on after the client has read earlier replies."""
        if self._stream.closed or self._stream.closing:
            return
        if self._relay is not None:
            self._relay.set_reading_paused(False)
        self._process_lines()

    def _close_at_rest(self):
        """Close the session if it is idle and the proxy stops."""
        if (
            self._server.closes_at_rest
            and self.database is not None
            and self.is_idle
            and not self._stream.closing
        ):
            self.close_while_idle()

    def _process_line(self, line, arrived_at):
        try:
            message = self._server.dialect.decode_request(line)
        except errors.MalformedRequest as error:
            self._reject_line(error.detail)
            return
        match message:
            case statements.OpenSession() if self.database is None:
                self._start_opening(message, line)
            case statements.Request() if self._relay is not None:
                self._relay_request(message, line)
            case statements.Request() if self.database is not None:
                self._handle_request(message, arrived_at)
            case statements.CloseSession():
                self.close()
            case _:
                self._reject_line("the message is out of order")

    def _start_task(self, task, running_id):
        self._running_id = running_id
        future = self._loop.spawn(task)
        self._loop.when_done(future, self._on_task_done)

    def _on_task_done(self, future):
        self._running_id = None
        error = future.exception()
        if error is not None:
            event_log.event("session_failed", cause=repr(error))
            self._refuse_and_close(Code.ABORTED, "internal error")
            return
        if not self._stream.closed:
            self._process_lines()

    # Opening of the session, here or at an owner

    def _start_opening(self, message, line):
        opening = session_opening.SessionOpening(
            self._server,
            message,
            line + LINE_END,
            self._relayed,
            self._connect_relay,
            lambda: self._stream.closed,
        )
        self._start_task(self._open_session(opening, message.database), "open")

    def _open_session(self, opening, database):
        """Open the session here or relay it to an owner; a task."""
        outcome = yield from opening.run()
        match outcome:
            case session_opening.Refused(code=code, detail=detail):
                self._refuse_and_close(code, detail)
            case session_opening.Opened(route=route, caller=caller, relay=relay):
                self.database = database
                self.group = route.group
                self._caller = caller
                self._owner_domain = outcome.owner_domain
                self._relay = relay
                if relay is not None and self._stream.closed:
                    relay.close()
                self._stream.write(self._server.dialect.encode_ready())

    def _connect_relay(self, address, first_line, timeout_seconds):
        return relays.Relay(
            self._loop,
            self._server.dialect,
            address,
            first_line,
            timeout_seconds,
            self._forward_to_client,
            self._on_relay_ended,
            self._process_lines,
        )

    def _relay_request(self, request, line):
        """Pass a request on to the owner, or refuse it and end the session."""
        if self._starts_without_route(request.statement):
            self._send_unknown_database(request, self._loop.clock.now())
            return
        if not (
            self._refuses(request.statement) and self._relay.outstanding_count == 0
        ):
            self._relay.send(line + LINE_END, request)
            return
        # The owner rolls back when the relay ends.
        code = Code.BUSY if self._relay.is_idle else Code.ABORTED
        event_log.event("relay_refused", request=request.request_id, code=code.value)
        reply = Reply(code=code, detail=STOPPING, state=TransactionState.IDLE)
        self._stream.write(self._server.dialect.encode_reply(reply))
        self.close()

    def _starts_without_route(self, statement):
        """Return whether a relayed statement starts an operation without a route.

        The owner may be behind, and would still serve it.
        """
        return (
            self._relay.is_idle
            and isinstance(
                statement, statements.Begin | statements.Run | statements.Execute
            )
            and self._server.catalog.route(self.database) is None
        )

    def _forward_to_client(self, data):
        """Forward an owner's reply to the client."""
        self.last_active_at = self._loop.clock.now()
        self._stream.write(data)
        if self._stream.is_congested:
            self._relay.set_reading_paused(True)
        self._close_at_rest()

    def _on_relay_ended(self, reply):
        """Send the reply to an outstanding statement, if any, and close the session."""
        if self._stream.closed:
            return
        if reply is not None:
            self._stream.write(self._server.dialect.encode_reply(reply))
        self.close()

    # Requests of the client

    def _handle_request(self, request, arrived_at):
        if self._transaction_idle_timer is not None:
            self._transaction_idle_timer.cancel()
            self._transaction_idle_timer = None
        statement = request.statement
        match statement:
            case statements.Rollback():
                self._send_reply(request, self._roll_back(), arrived_at)
            case statements.Commit() if self._transaction is None:
                self._send_error(request, Code.MALFORMED, "no transaction", arrived_at)
            case statements.Commit() if self._transaction.failed:
                self._roll_back()
                reply = Reply(code=Code.ABORTED, detail="the transaction had failed")
                self._send_reply(request, reply, arrived_at)
            case _ if self._transaction is not None and self._transaction.failed:
                self._send_error(
                    request, Code.MALFORMED, "the transaction has failed", arrived_at
                )
            case _ if self._refuses(statement):
                self._refuse_statement(request, Code.BUSY, STOPPING, arrived_at)
            case statements.Begin():
                self._handle_begin(request, arrived_at)
            case statements.SetValue(name=name, value=value):
                self._session_state.values_by_name[name] = value
                self._send_reply(request, Reply(), arrived_at)
            case statements.Prepare(name=name, shape=shape):
                self._session_state.shapes_by_name[name] = shape
                self._send_reply(request, Reply(), arrived_at)
            case statements.Deallocate(name=name):
                self._session_state.shapes_by_name.pop(name, None)
                self._send_reply(request, Reply(), arrived_at)
            case statements.Run() | statements.Execute() | statements.Commit():
                self._start_statement(request, arrived_at)

    def _refuses(self, statement):
        """Return whether the proxy stops and would not live to answer a statement."""
        return self._server.refuses_statements and isinstance(
            statement,
            statements.Begin | statements.Run | statements.Execute | statements.Commit,
        )

    def _refuse_statement(self, request, code, detail, arrived_at):
        """Reply that nothing of a statement or its transaction is kept."""
        if self._transaction is not None:
            self._roll_back()
            if code is Code.BUSY:
                code = Code.ABORTED
        self._send_error(request, code, detail, arrived_at)

    def _refuse_caller(self, request, arrived_at):
        """Refuse a statement that the caller may not run now; return whether it is.

        The session ends if the caller's key has been taken away.
        """
        refusal = self._server.caller_checks.refusal(
            self._caller,
            self._executor.route,
            starts_operation=self._transaction is None,
        )
        if refusal is None:
            return False
        self._refuse_statement(request, refusal.code, refusal.detail, arrived_at)
        if refusal.code is Code.UNAUTHENTICATED:
            self._pending_lines.clear()
            self.close_while_idle()
        return True

    def _handle_begin(self, request, arrived_at):
        if self._transaction is not None:
            self._send_error(request, Code.MALFORMED, "already begun", arrived_at)
            return
        if self._current_route() is None:
            self._send_unknown_database(request, arrived_at)
            return
        if self._refuse_caller(request, arrived_at):
            return
        read_only = request.statement.read_only
        if read_only and self._executor.needs_primary_for_reads:
            read_only = False
        self._transaction = Transaction(read_only, arrived_at)
        self._send_reply(request, Reply(), arrived_at)

    def _roll_back(self):
        """Roll back the transaction, if any, and return the reply."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.lease is not None:
            self._executor.roll_back(transaction)
        return Reply()

    def _start_statement(self, request, arrived_at):
        statement = request.statement
        shape = None
        access = None
        if isinstance(statement, statements.Execute):
            shape = self._session_state.shapes_by_name.get(statement.name)
            if shape is None:
                self._send_error(
                    request, Code.UNKNOWN_STATEMENT, statement.name, arrived_at
                )
                return
            access = shape.access
        elif isinstance(statement, statements.Run):
            access = statement.access
        if self._transaction is None and self._current_route() is None:
            self._send_unknown_database(request, arrived_at)
            return
        if self._refuse_caller(request, arrived_at):
            return
        deadline = arrived_at + self._executor.route.timeout
        session_request = SessionRequest(
            request.request_id, statement, shape, access, arrived_at, deadline
        )
        self._start_task(
            self._run_request(request, session_request), request.request_id
        )

    def _run_request(self, request, session_request):
        """Run a request and reply to the client; a task."""
        transaction = self._transaction
        if transaction is None:
            reply = yield from self._executor.run(session_request)
        else:
            reply = yield from self._executor.run_in_transaction(
                transaction, session_request
            )
            if session_request.access is None:
                self._transaction = None
            if self._stream.closed and transaction.lease is not None:
                self._executor.roll_back(transaction)
        self._send_reply(request, reply, session_request.arrived_at)

    def _current_route(self):
        """Return the database's current route; use it and the key's present tenant."""
        route = self._server.catalog.route(self.database)
        if route is None:
            return None
        self._caller = self._server.caller_checks.renew(self._caller, route)
        tenant = self._caller.tenant
        executor = self._executor
        if executor is None or executor.route != route or executor.tenant != tenant:
            group = self._server.get_group(route.group)
            self._executor = SessionExecutor(
                self._loop, group, route, self._session_state, tenant
            )
        return route

    # Replies to the client

    def _transaction_state(self):
        if self._transaction is None:
            return TransactionState.IDLE
        return _FAILED if self._transaction.failed else _OPEN

    def _send_reply(self, request, reply, arrived_at):
        if self._stream.closed:
            return
        reply = session_executor.with_state(reply, self._transaction_state())
        self.last_active_at = self._loop.clock.now()
        self._stream.write(self._server.dialect.encode_reply(reply))
        self._server.on_reply(request, self.database, reply, arrived_at)
        if self._transaction is not None:
            self._start_transaction_idle_timer()

    def _send_error(self, request, code, detail, arrived_at):
        self._send_reply(request, Reply(code=code, detail=detail), arrived_at)

    def _send_unknown_database(self, request, arrived_at):
        self._server.log_unknown_database(self.database, self._relayed)
        self._send_error(request, Code.UNKNOWN_DATABASE, self.database, arrived_at)

    def _reject_line(self, detail):
        """Reply to a line that cannot be decoded or is out of order."""
        if self.database is None:
            self._refuse_and_close(Code.MALFORMED, detail)
            return
        reply = Reply(
            code=Code.MALFORMED, detail=detail, state=self._transaction_state()
        )
        self._stream.write(self._server.dialect.encode_reply(reply))

    def _refuse_and_close(self, code, detail):
        if not self._stream.closed:
            self._stream.write(self._server.dialect.encode_refusal(code, detail))
            self._stream.close_when_sent()

    def _start_transaction_idle_timer(self):
        configuration = self._server.catalog.configuration
        abort_at = self._loop.clock.now() + configuration.idle_transaction_seconds
        self._transaction_idle_timer = self._loop.call_at(
            abort_at, lambda: self.abort_transaction("idle for too long")
        )
