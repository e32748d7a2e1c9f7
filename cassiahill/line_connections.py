"""Connections to backend servers, with their session values and prepared statements."""

import collections

from cassiahill import errors, statements, transport
from cassiahill.loop import LoopFuture
from cassiahill.statements import TransactionState


class LineConnection:
    """One connection to a backend server; replies arrive in the order of statements.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    server : catalog.BackendServer
    on_closed : callable
        Called once with the connection when it has closed.

    Attributes
    ----------
    values_by_name : dict or None
        Session values that are set on the connection; None when they are unknown.
    names_by_shape : dict
        Names of the statements prepared on the connection, by ``statements.Shape``.
    position : positions.LogPosition or None
        Last position of the server's log that a reply stated.
    state : statements.TransactionState
        Transaction state after the last reply.
    used_at : float
        Instant of the last reply, or of the connection's start.
    """

    def __init__(self, loop, dialect, server, on_closed):
        self._loop = loop
        self._dialect = dialect
        self._on_closed = on_closed
        self._reply_reader = dialect.reply_reader()
        self._reply_futures = collections.deque()
        self.server = server
        self.values_by_name = {}
        self.names_by_shape = {}
        self._prepared_count = 0
        self.position = None
        self.state = TransactionState.IDLE
        self.used_at = loop.clock.now()
        self._stream = transport.connect(
            loop, server.address, self._on_data, self._on_stream_closed
        )

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._stream.closed

    @property
    def pending_replies(self):
        """Number of statements without a reply yet."""
        return len(self._reply_futures)

    def open(self, caller):
        """Send the opening message with this process's name.

        Returns
        -------
        loop.LoopFuture
            Future of the ``statements.Reply`` that accepts or refuses the connection.
        """
        server = self.server
        return self._send(
            self._dialect.encode_open(server.group, caller, server.server_id)
        )

    def send_statement(self, statement, request_id=None, required_position=None):
        """Send a statement.

        Parameters
        ----------
        statement : object
            One of the classes of ``cassiahill.statements``.
        request_id : str or None
            The client's id; None for a statement that the proxy issues itself.
        required_position : positions.LogPosition or None
            Log position without which the server refuses the statement.

        Returns
        -------
        loop.LoopFuture
            Future of the ``statements.Reply``; fails with ``errors.ConnectionLost``
            when the connection closes first.
        """
        return self._send(
            self._dialect.encode_statement(request_id, statement, required_position)
        )

    def new_statement_name(self):
        """Return a prepared statement's name that is not yet used on the connection."""
        self._prepared_count += 1
        return f"c{self._prepared_count}"

    def close(self):
        """Close the connection; the server rolls back an open transaction."""
        self._stream.close()

    def abort(self):
        """Close the connection so that a statement on its way is not delivered late."""
        self._stream.abort()

    def _send(self, data):
        future = LoopFuture()
        if self.closed:
            future.set_exception(
                errors.ConnectionLost("the connection is closed", may_have_run="no")
            )
            return future
        self._reply_futures.append(future)
        self._stream.write(data)
        return future

    def _on_data(self, data):
        try:
            replies = self._reply_reader.feed(data)
        except errors.ConnectionLost:
            self._stream.close()
            return
        for reply in replies:
            if not self._reply_futures:
                # A reply without an outstanding statement is a protocol error.
                self._stream.close()
                return
            self.used_at = self._loop.clock.now()
            self.state = reply.state
            self.position = reply.position or self.position
            self._reply_futures.popleft().set_result(reply)

    def _on_stream_closed(self):
        self._on_closed(self)
        unanswered_futures, self._reply_futures = (
            self._reply_futures,
            collections.deque(),
        )
        for future in unanswered_futures:
            future.set_exception(
                errors.ConnectionLost("the connection closed before the reply")
            )


def next_setup(connection, values_by_name, shape):
    """Return the next statement that prepares a connection for a session's statement.

    Parameters
    ----------
    connection : LineConnection
    values_by_name : dict
        Values of the session; the connection must have these and no others.
    shape : statements.Shape or None
        Shape of the session's next statement if it is a prepared one.

    Returns
    -------
    object or None
        A ``ResetSession``, ``SetValue`` or ``Prepare``; None when all is set up.
    """
    values_on_connection = connection.values_by_name
    if values_on_connection is None or any(
        name not in values_by_name for name in values_on_connection
    ):
        return statements.ResetSession()
    for name, value in values_by_name.items():
        if values_on_connection.get(name) != value:
            return statements.SetValue(name, value)
    if shape is not None and shape not in connection.names_by_shape:
        return statements.Prepare(connection.new_statement_name(), shape)
    return None


def record_setup(connection, statement):
    """Record on the connection the effect of a confirmed setup statement."""
    match statement:
        case statements.ResetSession():
            connection.values_by_name = {}
            connection.names_by_shape = {}
        case statements.SetValue(name=name, value=value):
            connection.values_by_name[name] = value
        case statements.Prepare(name=name, shape=shape):
            connection.names_by_shape[shape] = name
