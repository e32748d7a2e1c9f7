"""Relays a client's session to a proxy that holds connections to its group.

The relay forwards whole replies and tracks the outstanding requests. When it loses the
connection to the owner, it tells the client whether the statement may have taken effect
and closes the session, because only the owner had its values and last commit. An owner
that ends an idle session announces it, so that a statement on its way has not run.
"""

import collections

from cassiahill import errors, event_log, statements, transport
from cassiahill.loop import LoopFuture
from cassiahill.statements import Access, Code, Reply, TransactionState

OPEN_TIMEOUT_SECONDS = 0.3
# Added to the statement's timeout for the network delay to the owner and back.
REPLY_GRACE_SECONDS = 0.15


class Relay:
    """A session that another proxy serves, seen from the proxy that relays it.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    address : tuple of (str, int)
    first_line : bytes
        The client's first line, including the line end.
    timeout_seconds : float
        Timeout of a statement.
    send_to_client : callable
        Called with the bytes to write to the client.
    on_ended : callable
        Called once when the relay ends, with the ``Reply`` to an outstanding statement
        or None.
    on_drained : callable
        Called when the relay is no longer congested.

    Attributes
    ----------
    owner_accepted : loop.LoopFuture
        Resolves to whether the owner accepted the session.
    """

    def __init__(
        self,
        loop,
        dialect,
        address,
        first_line,
        timeout_seconds,
        send_to_client,
        on_ended,
        on_drained,
    ):
        self._loop = loop
        self._dialect = dialect
        self._timeout_seconds = timeout_seconds
        self._send_to_client = send_to_client
        self._on_ended = on_ended
        self._reader = dialect.reply_reader()
        self._outstanding_requests = collections.deque()
        self._shapes_by_name = {}
        self._in_transaction = False
        self._timer = None
        self._reading_paused = False
        self.owner_accepted = LoopFuture()
        self._stream = transport.connect(loop, address, self._on_data, self._on_closed)
        self._stream.on_drained = on_drained
        self._stream.write(first_line)

    @property
    def is_idle(self):
        """Whether no request is outstanding and no transaction is open."""
        return not self._outstanding_requests and not self._in_transaction

    @property
    def outstanding_count(self):
        """Number of statements without a reply yet."""
        return len(self._outstanding_requests)

    @property
    def is_congested(self):
        """Whether the owner reads so slowly that nothing more should be sent."""
        return self._stream.is_congested

    def set_reading_paused(self, paused):
        """Stop or resume reading replies, while the client is slow to read them.

        No reply is late meanwhile.
        """
        if paused is self._reading_paused:
            return
        self._reading_paused = paused
        self._stream.set_reading_paused(paused)
        self._cancel_timer()
        self._start_timer()

    def send(self, line, request):
        """Forward a statement to the owner.

        Parameters
        ----------
        line : bytes
            The encoded statement, including the line end.
        request : statements.Request
        """
        if isinstance(request.statement, statements.Prepare):
            self._shapes_by_name[request.statement.name] = request.statement.shape
        self._outstanding_requests.append(request)
        self._start_timer()
        self._stream.write(line)

    def close(self):
        """End the relay without calling ``on_ended``."""
        self._on_ended = None
        self._cancel_timer()
        self._stream.close()

    def _start_timer(self):
        """Start the timeout of the oldest outstanding request."""
        is_due = self._outstanding_requests and not self._reading_paused
        if self._timer is None and is_due:
            timeout_at = (
                self._loop.clock.now() + self._timeout_seconds + REPLY_GRACE_SECONDS
            )
            self._timer = self._loop.call_at(timeout_at, self._stream.close)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_data(self, data):
        try:
            replies = self._reader.feed(data)
        except errors.ConnectionLost:
            self._stream.close()
            return
        for reply in replies:
            self._handle_reply(reply)
        if self._reader.session_closing and self._on_ended is not None:
            self._end_before_next_statement()

    def _end_before_next_statement(self):
        """End the relay after the owner has announced that it serves it no longer.

        What was sent in the meantime has not run.
        """
        reply = None
        if self._outstanding_requests:
            reply = Reply(code=Code.BUSY, detail="the owner stops serving the session")
        on_ended = self._on_ended
        self.close()
        on_ended(reply)

    def _handle_reply(self, reply):
        if not self.owner_accepted.done():
            self.owner_accepted.set_result(reply.code is None)
            return
        self._cancel_timer()
        if self._outstanding_requests:
            self._outstanding_requests.popleft()
        self._in_transaction = reply.state is not TransactionState.IDLE
        self._start_timer()
        self._send_to_client(self._dialect.encode_reply(reply))

    def _on_closed(self):
        self._cancel_timer()
        if not self.owner_accepted.done():
            self.owner_accepted.set_result(False)
            return
        if self._on_ended is None:
            return
        on_ended, self._on_ended = self._on_ended, None
        on_ended(self._final_reply())

    def _final_reply(self):
        """Return the reply to the oldest outstanding request, or None without one."""
        if not self._outstanding_requests:
            return None
        request = self._outstanding_requests[0]
        event_log.event("relay_lost", request=request.request_id)
        if self._may_have_committed(request.statement):
            return Reply(code=Code.OUTCOME_UNKNOWN, detail="the owner went away")
        return Reply(code=Code.ABORTED, detail="the owner went away")

    def _may_have_committed(self, statement):
        """Return whether an unanswered statement may have changed data."""
        match statement:
            case statements.Commit():
                return True
            case statements.Run(access=access):
                return access is Access.WRITE and not self._in_transaction
            case statements.Execute(name=name):
                shape = self._shapes_by_name.get(name)
                writes = shape is None or shape.access is Access.WRITE
                return writes and not self._in_transaction
        return False
