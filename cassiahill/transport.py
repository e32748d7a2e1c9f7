"""Non-blocking byte streams and listeners on the event loop, with optional TLS."""

import errno
import socket
import ssl

from cassiahill import errors
from cassiahill.loop import READ, WRITE

RECEIVE_BYTES = 65_536
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024
LISTEN_BACKLOG = 1024
# A connection that has gone silent is closed after about 4 s without a sign of life.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MILLISECONDS = 3000


class Stream:
    """A connected socket on the loop.

    Parameters
    ----------
    loop : loop.EventLoop
    sock : socket.socket
        Non-blocking; may still be connecting.
    on_data : callable
        Called with the received bytes.
    on_closed : callable
        Called once without arguments when the stream has ended for any reason.
    """

    __slots__ = (
        "_connecting",
        "_handshaking",
        "_loop",
        "_on_closed",
        "_on_data",
        "_out",
        "_sock",
        "_watched",
        "closed",
        "closing",
        "peer_name",
    )

    def __init__(self, loop, sock, on_data, on_closed, connecting=False):
        self._loop = loop
        self._sock = sock
        self._on_data = on_data
        self._on_closed = on_closed
        self._out = bytearray()
        self._connecting = connecting
        self._handshaking = isinstance(sock, ssl.SSLSocket)
        self._watched = 0
        self.closed = False
        self.closing = False
        self.peer_name = None
        self._update_watch()

    def write(self, data):
        """Send bytes, buffering what the socket does not take now."""
        if self.closed:
            return
        if self._out or self._connecting or self._handshaking:
            self._out += data
            if len(self._out) > MAX_WRITE_BUFFER_BYTES:
                self.close()
                return
        else:
            sent = self._send(data)
            if self.closed:
                return
            if sent < len(data):
                self._out += memoryview(data)[sent:]
        self._update_watch()

    def close_when_sent(self):
        """Close after the buffered bytes have been sent."""
        self.closing = True
        if not self._out:
            self.close()

    def close(self):
        """Close now; buffered bytes are dropped."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._sock)
        self._sock.close()
        self._out.clear()
        self._on_closed()

    def set_reading_paused(self, paused):
        """Stop or resume reading, for back pressure on pipelined requests."""
        if not self.closed:
            self._set_watch((0 if paused else READ) | (WRITE if self._out else 0))

    def _update_watch(self):
        writing = self._out or self._connecting
        self._set_watch(READ | (WRITE if writing else 0))

    def _set_watch(self, events):
        if self.closed or events == self._watched:
            return
        self._watched = events
        if events:
            self._loop.watch(self._sock, events, self._on_ready)
        else:
            self._loop.unwatch(self._sock)

    def _on_ready(self, events):
        if self._connecting and events & WRITE:
            self._connecting = False
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close()
                return
        if self._handshaking and not self._handshake():
            return
        if events & WRITE and self._out:
            del self._out[: self._send(self._out)]
        if self.closed:
            return
        if events & READ:
            self._receive()
        if self.closing and not self._out:
            self.close()
        if not self.closed:
            self._update_watch()

    def _handshake(self):
        try:
            self._sock.do_handshake()
        except ssl.SSLWantReadError:
            self._set_watch(READ)
            return False
        except ssl.SSLWantWriteError:
            self._set_watch(READ | WRITE)
            return False
        except OSError:
            self.close()
            return False
        self._handshaking = False
        self.peer_name = _common_name(self._sock.getpeercert())
        if self._out:
            del self._out[: self._send(self._out)]
        return not self.closed

    def _send(self, data):
        try:
            return self._sock.send(data)
        except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
            return 0
        except OSError:
            self.close()
            return 0

    def _receive(self):
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self._on_data(data)
        while isinstance(self._sock, ssl.SSLSocket) and not self.closed:
            pending = self._sock.pending()
            if not pending:
                return
            self._on_data(self._sock.recv(pending))


class Listener:
    """A listening socket on the loop.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
        IP number and port; port 0 takes a free one.
    on_accept : callable
        Called with each accepted socket, non-blocking and wrapped in TLS if asked for.
    ssl_context : ssl.SSLContext or None
    """

    def __init__(self, loop, address, on_accept, ssl_context=None):
        self._loop = loop
        self._on_accept = on_accept
        self._ssl_context = ssl_context
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(LISTEN_BACKLOG)
        self.address = self._sock.getsockname()
        loop.watch(self._sock, READ, self._on_ready)

    def close(self):
        """Stop listening; accepted connections stay open."""
        self._loop.unwatch(self._sock)
        self._sock.close()

    def _on_ready(self, _events):
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    return  # Accepted once other connections have closed.
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._ssl_context is not None:
                sock = self._ssl_context.wrap_socket(
                    sock, server_side=True, do_handshake_on_connect=False
                )
            self._on_accept(sock)


def connect(loop, address, on_data, on_closed, ssl_context=None):
    """Start connecting to an address.

    Returns
    -------
    Stream

    Raises
    ------
    errors.BackendUnavailable
        When the address is refused at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_keepalive(sock)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise errors.BackendUnavailable(f"cannot connect to {address[0]}:{address[1]}")
    if ssl_context is not None:
        sock = ssl_context.wrap_socket(
            sock, do_handshake_on_connect=False, server_hostname=address[0]
        )
    return Stream(loop, sock, on_data, on_closed, connecting=True)


def enable_keepalive(sock):
    """Let the kernel close a connection whose other end has gone silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)


def _common_name(certificate):
    for attributes in (certificate or {}).get("subject", ()):
        for name, value in attributes:
            if name == "commonName":
                return value
    return None
