"""Non-blocking byte streams and listeners on the event loop, with optional TLS."""

import errno
import socket
import ssl
import struct

from cassiahill import errors
from cassiahill.loop import READ, WRITE

MAX_RECEIVE_BYTES = 65_536
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024
# Above this, the owner of a stream produces no more for it. The rest of
# ``MAX_WRITE_BUFFER_BYTES`` is room for one more message of the largest size.
CONGESTED_WRITE_BUFFER_BYTES = 1024 * 1024
LISTEN_BACKLOG = 1024
MAX_ACCEPTED_IN_A_TURN = 16  # The others stay in the backlog until the next turn.
# With these values the kernel closes a connection about 4 s after the other end has
# become unreachable.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# Value of SO_LINGER that makes the kernel reset the connection when it is closed.
NO_LINGER = struct.pack("ii", 1, 0)


class Stream:
    """A TCP connection on the event loop, with TLS if the socket has it.

    Parameters
    ----------
    loop : loop.EventLoop
    sock : socket.socket
        Non-blocking; may still be connecting.
    on_data : callable
        Called with the received bytes.
    on_closed : callable
        Called once without arguments when the stream has closed for any reason.
    connecting : bool
        Whether the socket is still connecting.
    is_deferrable : bool
        Whether its events may wait; see ``loop.EventLoop``.

    Attributes
    ----------
    closed : bool
    closing : bool
        Whether the stream closes as soon as the buffered bytes have been sent.
    peer_name : str or None
        Common name in the certificate of the other end, once known.
    on_drained : callable or None
        Called without arguments when the stream is no longer congested.
    """

    __slots__ = (
        "_connecting",
        "_in_handshake",
        "_is_deferrable",
        "_loop",
        "_on_closed",
        "_on_data",
        "_reading_paused",
        "_write_buffer",
        "_sock",
        "_watched_events",
        "closed",
        "closing",
        "on_drained",
        "peer_name",
    )

    def __init__(
        self, loop, sock, on_data, on_closed, connecting=False, is_deferrable=False
    ):
        self._loop = loop
        self._is_deferrable = is_deferrable
        self._sock = sock
        self._on_data = on_data
        self._on_closed = on_closed
        # Bytes that the socket has not accepted yet.
        self._write_buffer = bytearray()
        self._connecting = connecting
        self._in_handshake = isinstance(sock, ssl.SSLSocket)
        self._watched_events = 0
        self._reading_paused = False
        self.closed = False
        self.closing = False
        self.on_drained = None
        self.peer_name = None
        self._update_watch()

    @property
    def is_congested(self):
        """Whether the other end reads so slowly that nothing more should be written."""
        return len(self._write_buffer) > CONGESTED_WRITE_BUFFER_BYTES

    def write(self, data):
        """Send bytes, and buffer those that the socket does not accept now.

        The stream is closed when bytes are added to a buffer and make it exceed
        ``MAX_WRITE_BUFFER_BYTES``.
        """
        if self.closed:
            return
        if self._write_buffer or self._connecting or self._in_handshake:
            self._write_buffer += data
            if len(self._write_buffer) > MAX_WRITE_BUFFER_BYTES:
                self.close()
                return
        else:
            sent_bytes = self._send(data)
            if self.closed:
                return
            if sent_bytes < len(data):
                self._write_buffer += memoryview(data)[sent_bytes:]
        self._update_watch()

    def close_when_sent(self):
        """Close after the buffered bytes have been sent."""
        self.closing = True
        if not self._write_buffer:
            self.close()

    def close(self):
        """Close now and drop the buffered bytes."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._sock)
        self._sock.close()
        self._write_buffer.clear()
        self._on_closed()

    def abort(self):
        """Close now, and drop also what the kernel has not delivered yet."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.close()

    def set_reading_paused(self, paused):
        """Stop or resume reading, for backpressure on pipelined requests.

        Parameters
        ----------
        paused : bool
        """
        self._reading_paused = paused
        if not self.closed and not self._in_handshake:
            self._update_watch()

    def _update_watch(self):
        needs_write = self._write_buffer or self._connecting
        self._watch_for(
            (0 if self._reading_paused else READ) | (WRITE if needs_write else 0)
        )

    def _watch_for(self, events):
        if self.closed or events == self._watched_events:
            return
        self._watched_events = events
        if events:
            self._loop.watch(self._sock, events, self._on_ready, self._is_deferrable)
        else:
            self._loop.unwatch(self._sock)

    def _on_ready(self, events):
        if self.closed:
            # Another callback of the same poll has closed it.
            return
        if self._connecting and events & WRITE:
            self._connecting = False
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close()
                return
        if self._in_handshake and not self._continue_handshake():
            return
        if events & WRITE and self._write_buffer:
            self._send_buffered()
        if self.closed:
            return
        if events & READ:
            self._receive()
        if self.closing and not self._write_buffer:
            self.close()
        if not self.closed:
            self._update_watch()

    def _continue_handshake(self):
        """Continue the TLS handshake; return whether it has succeeded."""
        try:
            self._sock.do_handshake()
        except ssl.SSLWantReadError:
            self._watch_for(READ)
            return False
        except ssl.SSLWantWriteError:
            self._watch_for(READ | WRITE)
            return False
        except OSError:
            self.close()
            return False
        self._in_handshake = False
        self.peer_name = _common_name(self._sock.getpeercert())
        if self._write_buffer:
            self._send_buffered()
        return not self.closed

    def _send_buffered(self):
        was_congested = self.is_congested
        del self._write_buffer[: self._send(self._write_buffer)]
        if (
            was_congested
            and not self.is_congested
            and not self.closed
            and self.on_drained is not None
        ):
            # In a later turn, because the stream is in the middle of an event.
            self._loop.call_soon(self.on_drained)

    def _send(self, data):
        """Send what the socket accepts now; return the number of bytes."""
        try:
            return self._sock.send(data)
        except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
            return 0
        except OSError:
            self.close()
            return 0

    def _receive(self):
        try:
            data = self._sock.recv(MAX_RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self._on_data(data)
        # The selector does not report bytes that the TLS layer has already decrypted.
        while isinstance(self._sock, ssl.SSLSocket) and not self.closed:
            pending_bytes = self._sock.pending()
            if not pending_bytes:
                return
            self._on_data(self._sock.recv(pending_bytes))


class Listener:
    """A listening TCP socket on the event loop.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
        IP address and port; port 0 takes a free one.
    on_accept : callable
        Called with each accepted socket, which is non-blocking and has TLS when there
        is an ``ssl_context``.
    ssl_context : ssl.SSLContext or None
    is_deferrable : bool
        Whether new connections may wait; see ``loop.EventLoop``.

    Attributes
    ----------
    address : tuple of (str, int)
        The address with the port that was taken.
    """

    def __init__(self, loop, address, on_accept, ssl_context=None, is_deferrable=False):
        self._loop = loop
        self._on_accept = on_accept
        self._ssl_context = ssl_context
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(LISTEN_BACKLOG)
        self.address = self._sock.getsockname()
        loop.watch(self._sock, READ, self._on_ready, is_deferrable)

    def close(self):
        """Stop listening; accepted connections stay open."""
        self._loop.unwatch(self._sock)
        self._sock.close()

    def _on_ready(self, _events):
        for _ in range(MAX_ACCEPTED_IN_A_TURN):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    # The process has no file descriptor left. The connection stays in
                    # the backlog and is accepted once another has closed.
                    return
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._ssl_context is not None:
                sock = self._ssl_context.wrap_socket(
                    sock, server_side=True, do_handshake_on_connect=False
                )
            self._on_accept(sock)


def connect(loop, address, on_data, on_closed, ssl_context=None):
    """Start connecting to an address and return the stream at once.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    on_data, on_closed : callable
        As for ``Stream``.
    ssl_context : ssl.SSLContext or None

    Returns
    -------
    Stream

    Raises
    ------
    errors.BackendUnavailable
        When the operating system refuses the address at once, or has no descriptor.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise errors.BackendUnavailable(f"no socket: {error.strerror}") from error
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_keepalive(sock)
    error_number = sock.connect_ex(address)
    if error_number not in (0, errno.EINPROGRESS):
        sock.close()
        raise errors.BackendUnavailable(f"cannot connect to {address[0]}:{address[1]}")
    if ssl_context is not None:
        sock = ssl_context.wrap_socket(
            sock, do_handshake_on_connect=False, server_hostname=address[0]
        )
    return Stream(loop, sock, on_data, on_closed, connecting=True)


def enable_keepalive(sock):
    """Make the kernel close the connection when the other end becomes unreachable."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def _common_name(certificate):
    for attributes in (certificate or {}).get("subject", ()):
        for attribute, value in attributes:
            if attribute == "commonName":
                return value
    return None
