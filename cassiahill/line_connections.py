"""Connections to backend servers that keep a session's values and preparations."""

import collections

from cassiahill import errors, statements, transport
from cassiahill.loop import LoopFuture
from cassiahill.statements import TransactionState


class LineConnection:
    """One connection to a backend server; replies come in the order of statements.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    server : catalog.BackendServer
    on_closed : callable
        Called once with the connection when it has ended.

    Attributes
    ----------
    values_by_name : dict or None
        Session values that stand on the connection; None when they are not known.
    names_by_shape : dict
        Prepared statements that stand on the connection.
    position : positions.LogPosition or None
        Position of the server's log that the last reply stated.
    """

    def __init__(self, loop, dialect, server, on_closed):
        self._loop = loop
        self._dialect = dialect
        self._on_closed = on_closed
        self._reader = dialect.reply_reader()
        self._pending = collections.deque()
        self.server = server
        self.values_by_name = {}
        self.names_by_shape = {}
        self._prepared = 0
        self.position = None
        self.state = TransactionState.IDLE
        self.used_at = loop.clock.now()
        self._stream = transport.connect(
            loop, server.address, self._on_data, self._on_stream_closed
        )

    @property
    def closed(self):
        """Whether the connection has ended."""
        return self._stream.closed

    @property
    def awaits(self):
        """Number of replies that have not come."""
        return len(self._pending)

    def open(self, caller):
        """Introduce this process; return the future of the first reply."""
        server = self.server
        return self._send(
            self._dialect.encode_open(server.group, caller, server.server_id)
        )

    def ask(self, statement, request_id=None, after=None):
        """Send a statement and return the future of its reply.

        The future fails with ``errors.ConnectionLost`` when the connection ends first.
        """
        return self._send(self._dialect.encode_statement(request_id, statement, after))

    def new_statement_name(self):
        """Return a name for a prepared statement that the connection never had."""
        self._prepared += 1
        return f"c{self._prepared}"

    def close(self):
        """Close the connection; the server rolls an open transaction back."""
        self._stream.close()

    def _send(self, data):
        future = LoopFuture()
        if self.closed:
            future.set_exception(
                errors.ConnectionLost("the connection is closed", may_have_run="no")
            )
            return future
        self._pending.append(future)
        self._stream.write(data)
        return future

    def _on_data(self, data):
        try:
            replies = self._reader.feed(data)
        except errors.ConnectionLost:
            self._stream.close()
            return
        for reply in replies:
            if not self._pending:
                self._stream.close()  # An answer that nobody asked for.
                return
            self.used_at = self._loop.clock.now()
            self.state = reply.state
            self.position = reply.position or self.position
            self._pending.popleft().set_result(reply)

    def _on_stream_closed(self):
        self._on_closed(self)
        pending, self._pending = self._pending, collections.deque()
        for future in pending:
            future.set_exception(errors.ConnectionLost("the connection closed"))


def next_setup(connection, values_by_name, shape):
    """Return the next statement that gives a connection what a session needs, or None.

    Parameters
    ----------
    connection : LineConnection
    values_by_name : dict
        Values of the session; the connection must have these and no others.
    shape : statements.Shape or None
        What the session's next statement runs, when it is a prepared one.
    """
    held = connection.values_by_name
    if held is None or any(name not in values_by_name for name in held):
        return statements.ResetSession()
    for name, value in values_by_name.items():
        if held.get(name) != value:
            return statements.SetValue(name, value)
    if shape is not None and shape not in connection.names_by_shape:
        return statements.Prepare(connection.new_statement_name(), shape)
    return None


def record_setup(connection, statement):
    """Record a setup statement that the server has confirmed."""
    match statement:
        case statements.ResetSession():
            connection.values_by_name = {}
            connection.names_by_shape = {}
        case statements.SetValue(name=name, value=value):
            connection.values_by_name[name] = value
        case statements.Prepare(name=name, shape=shape):
            connection.names_by_shape[shape] = name
