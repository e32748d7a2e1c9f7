"""Connection pool of the Python client, and its choice among several proxies."""

import contextlib
import http.client
import select
import socket
import threading

import msgspec

from cassiahill import errors
from cassiahill.deadline_socket import DeadlineSocket

AVOID_PROXY_SECONDS = 3.0  # A proxy that drained or failed is tried last for this long.
MAX_IDLE_CONNECTIONS = 16
CONNECT_TIMEOUT_SECONDS = 1.0
# How long to wait after the deadline for the proxy's answer.
ANSWER_GRACE_SECONDS = 0.25


class ProxyConnections:
    """Thread-safe pool of connections to several proxies.

    Parameters
    ----------
    addresses : iterable of (str, int)
        Caller ports of the proxies, in the order of preference.
    caller : str
        Name of the caller, sent in the ``Caller`` header.
    ssl_context : ssl.SSLContext or None
        None for connections without TLS.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, addresses, caller, ssl_context, now):
        self.addresses = tuple(map(tuple, addresses))
        if not self.addresses:
            raise ValueError("at least one proxy address is needed")
        self._headers = {"Content-Type": "application/json", "Caller": caller}
        self._ssl_context = ssl_context
        self._now = now
        self._lock = threading.Lock()
        self._idle_connections = []  # Pairs (address, connection), oldest first.
        self._avoid_until_by_address = dict.fromkeys(self.addresses, 0.0)

    def choose_address(self):
        """Return the first proxy that is not avoided.

        If all are avoided, return the one whose time of avoidance ends first.
        """
        with self._lock:
            now = self._now()
            return min(
                self.addresses,
                key=lambda address: max(now, self._avoid_until_by_address[address]),
            )

    def avoid_proxy(self, address):
        """Prefer all other proxies to this one for ``AVOID_PROXY_SECONDS``."""
        with self._lock:
            self._avoid_until_by_address[address] = self._now() + AVOID_PROXY_SECONDS

    @contextlib.contextmanager
    def pinned_connection(self):
        """Yield a list that keeps one connection for all requests of a transaction.

        The list is passed to ``send_request`` and holds the connection between requests
        as ``(address, connection)``. It is empty before the first request and after the
        connection was closed.
        """
        connection_holder = []
        try:
            yield connection_holder
        finally:
            for address, connection in connection_holder:
                self._release_connection(address, connection)

    def send_request(self, path, body, deadline, connection_holder=None):
        """Send a request and return ``(status, decoded answer)``.

        Parameters
        ----------
        path : str
        body : dict
        deadline : float
            Monotonic time in seconds.
        connection_holder : list or None
            From ``pinned_connection``; None to use any connection of the pool.

        Raises
        ------
        errors.BackendUnavailable
            When no connection could be opened; nothing was sent.
        errors.ConnectionLost
            When the connection failed after sending began.
        errors.OutcomeUnknown
            When no answer came before the deadline.
        """
        address, connection = (
            connection_holder.pop()
            if connection_holder
            else self._acquire_connection(deadline)
        )
        try:
            status, answer, will_close = self._send_on_connection(
                connection, path, body, deadline
            )
        except BaseException as error:
            connection.close()
            if isinstance(error, errors.CassiahillError):
                self.avoid_proxy(address)
            raise
        if will_close or answer.get("code") == "draining":
            self.avoid_proxy(address)
        if will_close:
            connection.close()
        elif connection_holder is not None:
            connection_holder.append((address, connection))
        else:
            self._release_connection(address, connection)
        return status, answer

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle_connections, self._idle_connections = self._idle_connections, []
        for _, connection in idle_connections:
            connection.close()

    def _send_on_connection(self, connection, path, body, deadline):
        """Return the status, the decoded answer, and whether the proxy will close."""
        connection.sock.deadline = max(deadline, self._now()) + ANSWER_GRACE_SECONDS
        try:
            connection.request("POST", path, msgspec.json.encode(body), self._headers)
            response = connection.getresponse()
            answer = msgspec.json.decode(response.read())
        except TimeoutError as error:
            raise errors.OutcomeUnknown("no answer before the deadline") from error
        except (OSError, http.client.HTTPException) as error:
            raise errors.ConnectionLost(f"{type(error).__name__}: {error}") from error
        except msgspec.DecodeError as error:
            raise errors.ConnectionLost("the answer is not JSON") from error
        if not isinstance(answer, dict):
            raise errors.ConnectionLost("the answer is not a JSON object")
        return response.status, answer, response.will_close

    def _acquire_connection(self, deadline):
        address = self.choose_address()
        while True:
            with self._lock:
                idle_entry = next(
                    (entry for entry in self._idle_connections if entry[0] == address),
                    None,
                )
                if idle_entry is not None:
                    self._idle_connections.remove(idle_entry)
            if idle_entry is None:
                return address, self._open_connection(address, deadline)
            # A readable idle connection was closed by the proxy; a request sent on it
            # would be lost with an unknown outcome.
            if not _is_readable(idle_entry[1].sock):
                return idle_entry
            idle_entry[1].close()

    def _open_connection(self, address, deadline):
        timeout = max(0.001, min(CONNECT_TIMEOUT_SECONDS, deadline - self._now()))
        host, port = address
        if self._ssl_context is None:
            connection = http.client.HTTPConnection(host, port, timeout=timeout)
        else:
            connection = http.client.HTTPSConnection(
                host, port, timeout=timeout, context=self._ssl_context
            )
        # With auto_open, http.client would reopen a closed connection without notice.
        connection.auto_open = 0
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            self.avoid_proxy(address)
            raise errors.BackendUnavailable(
                f"proxy {host}:{port}: {error}", retry_after=0.0
            ) from error
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sock = DeadlineSocket(connection.sock, self._now)
        return connection

    def _release_connection(self, address, connection):
        with self._lock:
            if len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
                self._idle_connections.append((address, connection))
                return
        connection.close()


def _is_readable(sock):
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
