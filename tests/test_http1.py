"""Tests of ``cassiahill.http1``."""

import socket
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import clock, http1, loop

GOOD = b"GET /good HTTP/1.1\r\n\r\n"
STEPS = 200


def handle(request, _connection):
    """Answer with the path, or fail."""
    if request.path == "/fail":
        raise ZeroDivisionError
    return http1.json_response({"path": request.path})


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.server = http1.Server(self.loop, ("127.0.0.1", 0), handle)
        self.addCleanup(self.server.close)

    def connect(self):
        sock = socket.create_connection(self.server.address)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        return sock

    def exchange(self, data, until, sock=None):
        """Send bytes; return what arrives up to ``until`` or the end."""
        sock = sock or self.connect()
        received = b""
        ended = False
        sock.send(data)
        for _ in range(STEPS):
            self.loop.call_at(self.loop.clock.now() + 0.01, lambda: None)
            self.loop._run_once()
            try:
                part = sock.recv(65536)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                break
            ended = not part
            received += part
            if ended or until in received:
                break
        return received

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against an answer that reaches another request."""
        data = b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(5))
        received = self.exchange(data, b'{"path":"/4"}')
        positions = [received.index(b'{"path":"/%d"}' % n) for n in range(5)]
        self.assertEqual(positions, sorted(positions))

    def test_failing_handler_is_an_internal_error(self):
        """Guards against a fault of ours that is reported as malformed input."""
        received = self.exchange(b"GET /fail HTTP/1.1\r\n\r\n", b"}")
        self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)

    def test_oversized_input_is_refused(self):
        """Guards against memory that a caller can make the server use."""
        header = b"GET / HTTP/1.1\r\nx: " + b"a" * (2 * http1.MAX_HEADER_BYTES)
        received = self.exchange(header + b"\r\n\r\n", b"}")
        self.assertTrue(received.startswith(b"HTTP/1.1 413"), received[:60])

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.binary(min_size=1, max_size=200))
    def test_random_bytes_leave_other_connections_alone(self, data):
        """Guards against input that ends the loop or other connections."""
        other = self.connect()
        self.exchange(data + b"\r\n\r\n", b"}")
        self.assertIn(b"/good", self.exchange(GOOD, b"}", other))
        other.close()
