"""Blocking HTTP requests with a deadline, for executor threads and the commands."""

import contextlib
import http.client
import socket
import threading

from cassiahill import errors, http1
from cassiahill.deadline_socket import DeadlineSocket

# Bounds the memory of one answer. It is large because the list of all objects of a kind
# comes in one answer.
MAX_ANSWER_BYTES = 64_000_000
_READ_CHUNK_BYTES = 65_536


class OpenSockets:
    """The sockets of requests in flight, so that another thread can abort them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._sockets = set()
        self._closed = False

    @contextlib.contextmanager
    def track(self, sock):
        """Let ``close`` abort the request on a socket while the context is entered."""
        with self._lock:
            if self._closed:
                raise ConnectionAbortedError("the process is shutting down")
            self._sockets.add(sock)
        try:
            yield
        finally:
            with self._lock:
                self._sockets.discard(sock)

    def close(self):
        """Abort the requests in flight and refuse further ones."""
        with self._lock:
            self._closed = True
            for sock in self._sockets:
                # The other end may have closed the connection already.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def send_request(
    address, request, deadline, clock_source, ssl_context=None, open_sockets=None
):
    """Send one HTTP request on a new connection and return the response.

    A new connection for each request costs one round trip. In return, a request is
    never sent on a connection that the server has closed, so a failure to connect
    proves that nothing was sent.

    Parameters
    ----------
    address : tuple of (str, int)
    request : http1.Request
        ``path`` is sent as it is; ``query`` is appended when it is not empty.
    deadline : float
        Instant in seconds by which the whole response must have arrived.
    clock_source : clock.Clock
    ssl_context : ssl.SSLContext or None
    open_sockets : OpenSockets or None
        Tracks the socket, so that another thread can abort the request.

    Returns
    -------
    http1.Response

    Raises
    ------
    errors.ConnectionLost
        With ``may_have_run`` ``no`` when nothing was sent, else ``unknown``.
        ``errors.ResponseTooLarge`` when the body exceeds ``MAX_ANSWER_BYTES``.
    """
    timeout_seconds = deadline - clock_source.now()
    if timeout_seconds <= 0:
        raise errors.ConnectionLost("the deadline passed", may_have_run="no")
    host, port = address
    if ssl_context is None:
        connection = http.client.HTTPConnection(host, port, timeout_seconds)
    else:
        connection = http.client.HTTPSConnection(
            host, port, timeout=timeout_seconds, context=ssl_context
        )
    target = request.path + (f"?{request.query}" if request.query else "")
    headers = {**request.headers, "Connection": "close"}
    try:
        connection.connect()
    except OSError as error:
        detail = f"no connection to {host}:{port}: {error}"
        raise errors.ConnectionLost(detail, may_have_run="no") from error
    connected_socket = connection.sock
    connection.sock = DeadlineSocket(connected_socket, clock_source.now)
    connection.sock.deadline = deadline
    tracked_sockets = open_sockets or OpenSockets()
    try:
        with tracked_sockets.track(connected_socket):
            connection.request(request.method, target, request.body, headers)
            response = connection.getresponse()
            body = _read_body(response)
    except (OSError, http.client.HTTPException, ValueError) as error:
        detail = f"no answer of {host}:{port}: {type(error).__name__}: {error}"
        raise errors.ConnectionLost(detail) from error
    finally:
        connection.close()
    content_type = response.headers.get("Content-Type", "").encode("latin-1")
    return http1.Response(response.status, body, content_type)


def _read_body(response):
    chunks = []
    body_bytes = 0
    while chunk := response.read(_READ_CHUNK_BYTES):
        body_bytes += len(chunk)
        if body_bytes > MAX_ANSWER_BYTES:
            raise errors.ResponseTooLarge("the answer is too large")
        chunks.append(chunk)
    if response.length:
        # ``read`` with a number of bytes does not tell that the connection ended early.
        raise http.client.IncompleteRead(b"", response.length)
    return b"".join(chunks)
