"""Relays a client's session to a proxy that holds connections to its group.

The relay passes whole answers on and counts what is outstanding. When the owner goes,
the client learns what is true of its statement, and its session is closed, because the
session's values and its last commit were known only there.
"""

import collections

from cassiahill import errors, event_log, statements, transport
from cassiahill.loop import LoopFuture
from cassiahill.statements import Access, Code, Reply, TransactionState

OPEN_SECONDS = 0.3
ANSWER_GRACE_SECONDS = 0.15  # Beyond the time of the statement, for the way.


class Relay:
    """A session that another proxy serves.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    address : tuple of (str, int)
    first_line : bytes
        The client's first line, with its end.
    timeout : float
        Seconds that a statement may take.
    to_client : callable
        Called with the bytes for the client.
    on_ended : callable
        Called once with the ``Reply`` that answers an outstanding statement, or None.

    Attributes
    ----------
    opening : loop.LoopFuture
        Whether the owner took the session.
    """

    def __init__(
        self, loop, dialect, address, first_line, timeout, to_client, on_ended
    ):
        self._loop = loop
        self._dialect = dialect
        self._timeout = timeout
        self._to_client = to_client
        self._on_ended = on_ended
        self._reader = dialect.reply_reader()
        self._outstanding = collections.deque()
        self._shapes_by_name = {}
        self._in_transaction = False
        self._timer = None
        self.opening = LoopFuture()
        self._stream = transport.connect(loop, address, self._on_data, self._on_closed)
        self._stream.write(first_line)

    @property
    def at_rest(self):
        """Whether nothing is open or outstanding."""
        return not self._outstanding and not self._in_transaction

    def send(self, line, request):
        """Pass a statement on.

        Parameters
        ----------
        line : bytes
            With its end.
        request : statements.Request
        """
        if isinstance(request.statement, statements.Prepare):
            self._shapes_by_name[request.statement.name] = request.statement.shape
        self._outstanding.append(request)
        self._arm()
        self._stream.write(line)

    def close(self):
        """End the relay without telling the client anything."""
        self._on_ended = None
        self._cancel_timer()
        self._stream.close()

    def _arm(self):
        if self._timer is None and self._outstanding:
            at = self._loop.clock.now() + self._timeout + ANSWER_GRACE_SECONDS
            self._timer = self._loop.call_at(at, self._stream.close)

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
            self._take(reply)

    def _take(self, reply):
        if not self.opening.done():
            self.opening.set_result(reply.code is None)
            return
        self._cancel_timer()
        if self._outstanding:
            self._outstanding.popleft()
        self._in_transaction = reply.state is not TransactionState.IDLE
        self._arm()
        self._to_client(self._dialect.encode_reply(reply))

    def _on_closed(self):
        self._cancel_timer()
        if not self.opening.done():
            self.opening.set_result(False)
            return
        if self._on_ended is None:
            return
        on_ended, self._on_ended = self._on_ended, None
        on_ended(self._last_reply())

    def _last_reply(self):
        if not self._outstanding:
            return None
        request = self._outstanding[0]
        event_log.event("relay_lost", request=request.request_id)
        if self._may_be_kept(request.statement):
            return Reply(code=Code.OUTCOME_UNKNOWN, detail="the owner went away")
        return Reply(code=Code.ABORTED, detail="the owner went away")

    def _may_be_kept(self, statement):
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
