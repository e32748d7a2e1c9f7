"""One blocking HTTP exchange with a deadline, for the executor and the commands."""

import contextlib
import http.client
import io
import socket
import threading

from cassiahill import errors, http1

# A list of a kind holds many objects. This bounds the memory of one answer.
MAX_ANSWER_BYTES = 64_000_000
_CHUNK_BYTES = 65_536


class _DeadlineReader(io.RawIOBase):
    """Reads a socket; the deadline holds for all reads together."""

    def __init__(self, sock, deadline, clock_source):
        super().__init__()
        self._sock = sock
        self._deadline = deadline
        self._clock = clock_source

    def readable(self):
        return True

    def readinto(self, buffer):
        remaining = self._deadline - self._clock.now()
        if remaining <= 0:
            raise TimeoutError("the deadline passed")
        self._sock.settimeout(remaining)
        return self._sock.recv_into(buffer)

    def makefile(self, _mode):
        """Return the buffered reader that ``HTTPResponse`` asks a socket for."""
        return io.BufferedReader(self)


class OpenSockets:
    """The sockets of exchanges in flight, so that another thread can end them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._sockets = set()
        self._closed = False

    @contextlib.contextmanager
    def tracking(self, sock):
        """Let ``close`` end the exchange on a socket within the block."""
        with self._lock:
            if self._closed:
                raise ConnectionAbortedError("the process ends")
            self._sockets.add(sock)
        try:
            yield
        finally:
            with self._lock:
                self._sockets.discard(sock)

    def close(self):
        """End the exchanges in flight and refuse further ones."""
        with self._lock:
            self._closed = True
            for sock in self._sockets:
                # The other end may have closed the connection already.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def send_request(
    address, request, deadline, clock_source, ssl_context=None, open_sockets=None
):
    """Send one HTTP request on a connection of its own and return the response.

    A connection per call costs one round trip. In return, a request is never sent on
    a connection that the other side has closed, so a failure to connect proves that
    nothing was sent.

    Parameters
    ----------
    address : tuple of (str, int)
    request : http1.Request
        ``path`` is sent as it is; ``query`` is appended when it is not empty.
    deadline : float
        Instant in seconds; it holds for the whole exchange.
    clock_source : clock.Clock
    ssl_context : ssl.SSLContext or None
    open_sockets : OpenSockets or None

    Returns
    -------
    http1.Response

    Raises
    ------
    errors.ConnectionLost
        With ``may_have_run`` ``no`` when nothing was sent, else ``unknown``.
    """
    timeout = deadline - clock_source.now()
    if timeout <= 0:
        raise errors.ConnectionLost("the deadline passed", may_have_run="no")
    host, port = address
    if ssl_context is None:
        connection = http.client.HTTPConnection(host, port, timeout)
    else:
        connection = http.client.HTTPSConnection(
            host, port, timeout=timeout, context=ssl_context
        )
    target = request.path + (f"?{request.query}" if request.query else "")
    headers = {**request.headers, "Connection": "close"}
    try:
        connection.connect()
    except OSError as error:
        detail = f"no connection to {host}:{port}: {error}"
        raise errors.ConnectionLost(detail, may_have_run="no") from error
    sockets = open_sockets or OpenSockets()
    try:
        with sockets.tracking(connection.sock):
            connection.request(request.method, target, request.body, headers)
            reader = _DeadlineReader(connection.sock, deadline, clock_source)
            response = http.client.HTTPResponse(reader, method=request.method)
            response.begin()
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
    size = 0
    while chunk := response.read(_CHUNK_BYTES):
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise ValueError("the answer is too large")
        chunks.append(chunk)
    return b"".join(chunks)
