"""Interface of the line protocol that clients and backend servers speak."""


class Dialect:
    """Encodes and decodes typed messages; holds no state."""

    def decode_request(self, line):
        """Decode one line of a client.

        Parameters
        ----------
        line : bytes
            Line without its terminator.

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
        """Return the bytes that tell a client why its session is refused.

        Parameters
        ----------
        code : statements.Code
        detail : str
        """
        raise NotImplementedError

    def encode_closing(self):
        """Return the bytes that tell another proxy that its relayed session ends.

        No statement that arrives after they were written has run or will run.
        """
        raise NotImplementedError

    def encode_relay_open(self, database, key_digest):
        """Return the bytes that open a relayed session at another proxy.

        They have the form of a client's first message, with the digest in place of the
        key.

        Parameters
        ----------
        database : str
        key_digest : str
        """
        raise NotImplementedError

    def encode_open(self, group, caller, server_id):
        """Return the bytes that open a connection to a backend server."""
        raise NotImplementedError

    def encode_statement(self, request_id, statement, required_position=None):
        """Return the bytes of a statement for a backend server.

        Parameters
        ----------
        request_id : str or None
            The client's id; None for a statement that the proxy issues itself.
        statement : object
            One of the classes of ``cassiahill.statements``.
        required_position : positions.LogPosition or None
            Log position without which the server refuses the statement.
        """
        raise NotImplementedError

    def reply_reader(self):
        """Return a new ``ReplyReader`` for one connection."""
        raise NotImplementedError

    def decode_report(self, reply):
        """Return the ``statements.ServerReport`` that a reply contains, or None."""
        raise NotImplementedError


class ReplyReader:
    """Decodes the stream of replies of one backend connection.

    Attributes
    ----------
    session_closing : bool
        Whether the proxy that serves a relayed session has announced its end.
    """

    session_closing = False

    def feed(self, data):
        """Take received bytes and return the replies that are now complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of statements.Reply

        Raises
        ------
        errors.ConnectionLost
            When the bytes violate the protocol.
        """
        raise NotImplementedError
