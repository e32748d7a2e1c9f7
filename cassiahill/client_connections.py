"""Connections of the Python client to several proxies."""

import contextlib
import http.client
import select
import socket
import threading

import msgspec

from cassiahill import errors

AVOID_SECONDS = 3.0  # A proxy that drained or failed is tried last for this long.
MAX_IDLE = 16  # Idle connections that are kept.
CONNECT_TIMEOUT = 1.0  # seconds
GRACE = 0.25  # Seconds that an answer may take longer than the deadline.


class ProxyConnections:
    """Idle connections and the choice of proxy; safe for threads.

    Parameters
    ----------
    addresses : iterable of (str, int)
    caller : str
    ssl_context : ssl.SSLContext or None
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, addresses, caller, ssl_context, now):
        self.addresses = tuple(map(tuple, addresses))
        if not self.addresses:
            raise ValueError("at least one proxy address is needed")
        self._headers = {"Content-Type": "application/json", "Caller": caller}
        self._ssl_context = ssl_context
        self._now = now
        self._lock = threading.Lock()
        self._idle = []
        self._avoid_until = dict.fromkeys(self.addresses, 0.0)

    def address(self):
        """Return the first proxy that is not avoided, or the one avoided longest."""
        with self._lock:
            now = self._now()
            return min(self.addresses, key=lambda a: max(now, self._avoid_until[a]))

    def avoid(self, address):
        """Try a proxy last for ``AVOID_SECONDS``."""
        with self._lock:
            self._avoid_until[address] = self._now() + AVOID_SECONDS

    @contextlib.contextmanager
    def pinned(self):
        """Yield a holder that keeps one connection for all calls of a transaction."""
        holder = []
        try:
            yield holder
        finally:
            for address, connection in holder:
                self._give_back(address, connection)

    def exchange(self, path, body, deadline, pinned=None):
        """Send a request and return ``(status, decoded answer)``.

        Raises
        ------
        errors.BackendUnavailable
            When no connection could be opened; nothing was sent.
        errors.ConnectionLost
            When the connection failed after sending began.
        errors.OutcomeUnknown
            When no answer came before the deadline.
        """
        address, connection = pinned.pop() if pinned else self._take(deadline)
        try:
            status, answer, closing = self._exchange(connection, path, body, deadline)
        except BaseException as error:
            connection.close()
            if isinstance(error, errors.CassiahillError):
                self.avoid(address)
            raise
        if closing or answer.get("code") == "draining":
            self.avoid(address)
        if closing:
            connection.close()
        elif pinned is not None:
            pinned.append((address, connection))
        else:
            self._give_back(address, connection)
        return status, answer

    def close(self):
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _, connection in idle:
            connection.close()

    def _exchange(self, connection, path, body, deadline):
        connection.sock.settimeout(max(0.0, deadline - self._now()) + GRACE)
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

    def _take(self, deadline):
        address = self.address()
        while True:
            with self._lock:
                found = next((i for i in self._idle if i[0] == address), None)
                if found is not None:
                    self._idle.remove(found)
            if found is None:
                return address, self._open(address, deadline)
            # A readable idle connection was closed by the proxy; a request sent on it
            # would be lost with an unknown outcome.
            if not _is_readable(found[1].sock):
                return found
            found[1].close()

    def _open(self, address, deadline):
        timeout = max(0.001, min(CONNECT_TIMEOUT, deadline - self._now()))
        host, port = address
        if self._ssl_context is None:
            connection = http.client.HTTPConnection(host, port, timeout=timeout)
        else:
            connection = http.client.HTTPSConnection(
                host, port, timeout=timeout, context=self._ssl_context
            )
        # Otherwise a request on a closed connection would silently open a new one.
        connection.auto_open = 0
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            self.avoid(address)
            raise errors.BackendUnavailable(
                f"proxy {host}:{port}: {error}", retry_after=0.0
            ) from error
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _give_back(self, address, connection):
        with self._lock:
            if len(self._idle) < MAX_IDLE:
                self._idle.append((address, connection))
                return
        connection.close()


def _is_readable(sock):
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
