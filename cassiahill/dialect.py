"""Interface of the line protocol that clients and backend servers speak."""


class Dialect:
    """Translates between typed messages and bytes; holds no state."""

    def decode_request(self, line):
        """Return the message of a client's line.

        Parameters
        ----------
        line : bytes
            Without its end.

        Returns
        -------
        statements.OpenSession, statements.Request or statements.CloseSession

        Raises
        ------
        errors.MalformedRequest
        """
        raise NotImplementedError

    def encode_reply(self, reply):
        """Return the bytes of a ``statements.Reply`` for a client."""
        raise NotImplementedError

    def encode_ready(self):
        """Return the bytes that tell a client that its session is open."""
        raise NotImplementedError

    def encode_refusal(self, code, detail):
        """Return the bytes that refuse a session."""
        raise NotImplementedError

    def encode_open(self, group, caller, server_id):
        """Return the bytes that open a connection to a backend server."""
        raise NotImplementedError

    def encode_statement(self, request_id, statement, after=None):
        """Return the bytes of a statement for a backend server.

        Parameters
        ----------
        request_id : str or None
            The client's id; None for a statement of the proxy's own.
        statement : object
            One of the classes of ``statements``.
        after : positions.LogPosition or None
            The server refuses the statement unless its log has this position.
        """
        raise NotImplementedError

    def reply_reader(self):
        """Return a new ``ReplyReader`` for one connection."""
        raise NotImplementedError

    def decode_report(self, reply):
        """Return the ``statements.ServerReport`` in a reply, or None."""
        raise NotImplementedError


class ReplyReader:
    """Collects the replies of one backend connection."""

    def feed(self, data):
        """Return the list of replies that the bytes complete.

        Raises
        ------
        errors.ConnectionLost
            When the bytes are not of the protocol.
        """
        raise NotImplementedError
