"""Client of the requests that session proxies send one another."""

import msgspec

from cassiahill import heartbeats, http1

# A view holds a configuration (1 MiB at most in the store) and the lists of servers and
# members, some 300 bytes an entry: room for 25,000 entries.
MAX_VIEW_BYTES = 8 * 1024 * 1024


class MemberClient:
    """Sends heartbeats on kept connections, and asks for views on new ones.

    Parameters
    ----------
    loop : loop.EventLoop
    """

    def __init__(self, loop):
        self._loop = loop
        self._connections_by_address = {}

    def send_heartbeat(self, address, body, deadline):
        """Send a heartbeat unless the last one to this member is unanswered.

        Parameters
        ----------
        address : tuple of (str, int)
        body : bytes
        deadline : float

        Returns
        -------
        Future of http1.ReceivedResponse, or None
            None when the last heartbeat is unanswered.

        Raises
        ------
        errors.CassiahillError
        """
        connection = self._connections_by_address.get(address)
        if connection is None or connection.closed:
            connection = http1.ClientConnection(
                self._loop, address, max_body_bytes=heartbeats.MAX_HEARTBEAT_BYTES
            )
            self._connections_by_address[address] = connection
        if connection.busy:
            return None
        return connection.request("POST", heartbeats.HEARTBEAT_PATH, body, (), deadline)

    def fetch_view(self, address, known, deadline):
        """Ask a member for what is newer than known; a task.

        Parameters
        ----------
        address : tuple of (str, int)
        known : heartbeats.KnownVersions
        deadline : float

        Returns
        -------
        heartbeats.View

        Raises
        ------
        errors.ResponseTooLarge
            Another attempt would fail too.
        errors.CassiahillError
        """
        connection = http1.ClientConnection(
            self._loop, address, max_body_bytes=MAX_VIEW_BYTES
        )
        try:
            response = yield connection.request(
                "GET", heartbeats.encode_view_path(known), b"", (), deadline
            )
            return heartbeats.decode_view(response.body)
        finally:
            connection.close()

    def ask_about_promotion(self, address, notice, deadline):
        """Tell a member of a promotion; a task.

        Parameters
        ----------
        address : tuple of (str, int)
        notice : heartbeats.PromotionNotice
        deadline : float

        Returns
        -------
        heartbeats.NewestCommit
            Newest commit of the group that the member has seen acknowledged.

        Raises
        ------
        errors.CassiahillError
        """
        connection = http1.ClientConnection(self._loop, address)
        try:
            response = yield connection.request(
                "POST",
                heartbeats.PROMOTION_PATH,
                msgspec.json.encode(notice),
                (),
                deadline,
            )
            return heartbeats.decode_commit(response.body)
        finally:
            connection.close()

    def close(self):
        """Close the kept connections."""
        for connection in self._connections_by_address.values():
            connection.close()
