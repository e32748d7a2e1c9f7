"""Tests of ``cassiahill.http1``."""

import contextlib
import socket
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import clock, http1, loop, transport
from tests import counting_bytes
from tests.counting_bytes import CountingBytes

GOOD_REQUEST = b"GET /good HTTP/1.1\r\n\r\n"
MAX_LOOP_TURNS = 200


def handle(request, _connection):
    """Answer with the path of the request; raise an exception for ``/fail``."""
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
        """Return a non-blocking socket that is connected to the server."""
        sock = socket.create_connection(self.server.address)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        return sock

    def send_and_receive(self, data, until, sock=None):
        """Send bytes; return what arrives until it contains ``until`` or ends."""
        sock = sock or self.connect()
        received = b""
        ended = False
        sock.send(data)
        for _ in range(MAX_LOOP_TURNS):
            self.loop.call_at(self.loop.clock.now() + 0.01, lambda: None)
            self.loop._run_once()
            try:
                chunk = sock.recv(65536)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                break
            ended = not chunk
            received += chunk
            if ended or until in received:
                break
        return received

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against a client that takes an answer for that of another request."""
        data = b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(5))
        received = self.send_and_receive(data, b'{"path":"/4"}')
        answer_offsets = [received.index(b'{"path":"/%d"}' % n) for n in range(5)]
        self.assertEqual(answer_offsets, sorted(answer_offsets))

    def test_many_requests_behind_a_slow_one(self):
        """Guards against a connection that hangs once many requests have queued up.

        Each was handled inside the answer to the one before, until the stack was full.
        """
        request_count = 3000
        first_answer = loop.LoopFuture()
        handled = []

        def handle_slowly(request, connection):
            handled.append(request.path)
            return first_answer if len(handled) == 1 else handle(request, connection)

        self.server.handler = handle_slowly
        sock = self.connect()
        data = b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(request_count))
        self.loop.call_at(
            self.loop.clock.now() + 0.1,
            lambda: first_answer.set_result(http1.json_response({"path": "/0"})),
        )
        last = b'{"path":"/%d"}' % (request_count - 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        received = self.send_and_receive(data, last, sock)
        self.assertEqual(received.count(b"HTTP/1.1 200"), request_count)
        self.assertEqual(handled, [f"/{n}" for n in range(request_count)])

    def test_reading_pauses_behind_a_slow_request(self):
        """Guards against a client that fills the memory with pipelined requests."""
        handled = []

        def handle_never(request, _connection):
            handled.append(request.path)
            return loop.LoopFuture()

        self.server.handler = handle_never
        sock = self.connect()
        sent_bytes = 0
        for _ in range(MAX_LOOP_TURNS):
            with contextlib.suppress(BlockingIOError):
                sent_bytes += sock.send(GOOD_REQUEST * 4096)
            self.loop.call_at(self.loop.clock.now() + 0.001, lambda: None)
            self.loop._run_once()
        (connection,) = self.server._connections
        waiting_bytes = len(connection._waiting_requests) * len(GOOD_REQUEST)
        self.assertEqual(len(handled), 1)
        self.assertGreater(sent_bytes, transport.MAX_RECEIVE_BYTES)
        self.assertLessEqual(waiting_bytes, 2 * transport.MAX_RECEIVE_BYTES)

    def test_large_answers_to_a_client_that_reads_late(self):
        """Guards against answers that are lost because the client reads them slowly.

        Pipelined requests were handled while their answers queued up, until those
        exceeded the limit of the write buffer and the connection was closed.
        """
        request_count = 40
        body = b"x" * 1_000_000
        for is_late in (False, True):
            handled = []

            def handle_large(request, _connection, handled=handled, is_late=is_late):
                handled.append(request.path)
                response = http1.Response(200, body)
                return loop.completed_future(response) if is_late else response

            self.server.handler = handle_large
            sock = self.connect()
            sock.send(
                b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(request_count))
            )
            for _ in range(MAX_LOOP_TURNS):
                self.loop.call_soon(lambda: None)
                self.loop._run_once()
            self.assertLessEqual(self.receive(sock, request_count * len(body)), 0)
            self.assertEqual(handled, [f"/{n}" for n in range(request_count)])

    def receive(self, sock, expected_bytes):
        """Receive until an end or ``expected_bytes``; return the missing bytes."""
        while expected_bytes > 0:
            self.loop.call_at(self.loop.clock.now() + 0.001, lambda: None)
            self.loop._run_once()
            with contextlib.suppress(BlockingIOError):
                chunk = sock.recv(1 << 20)
                if not chunk:
                    break
                expected_bytes -= len(chunk)
        return expected_bytes

    def test_client_receives_the_headers_of_its_response(self):
        """Guards against headers of one response that are taken for the next one's."""
        self.server.handler = lambda request, _connection: http1.json_response(
            {}, headers=((b"Store-Era", request.path[1:].encode()),)
        )
        client = http1.ClientConnection(self.loop, self.server.address)
        for path in ("/4", "/"):
            future = client.request("GET", path)
            while not future.done():
                self.loop._run_once()
            self.assertEqual(future.result().headers["store-era"], path[1:])

    def test_body_in_many_small_chunks(self):
        """Guards against a body that is copied for each chunk of one byte."""
        counting_bytes.reset_count()
        collector = http1._MessageCollector()
        for _ in range(10_000):
            collector.on_body(CountingBytes(b"x"))
        self.assertEqual(collector.body, b"x" * 10_000)
        self.assertLessEqual(CountingBytes.copied_bytes, 10_000)

    def test_failing_handler_is_an_internal_error(self):
        """Guards against an internal error that is reported as malformed input."""
        received = self.send_and_receive(b"GET /fail HTTP/1.1\r\n\r\n", b"}")
        self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)

    def test_oversized_input_is_refused(self):
        """Guards against a caller that makes the server buffer without limit."""
        large_request = b"GET / HTTP/1.1\r\nx: " + b"a" * (2 * http1.MAX_HEADER_BYTES)
        received = self.send_and_receive(large_request + b"\r\n\r\n", b"}")
        self.assertTrue(received.startswith(b"HTTP/1.1 413"), received[:60])

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.binary(min_size=1, max_size=200))
    def test_random_bytes_do_not_affect_other_connections(self, data):
        """Guards against input that stops the loop or closes other connections."""
        other_sock = self.connect()
        self.send_and_receive(data + b"\r\n\r\n", b"}")
        self.assertIn(b"/good", self.send_and_receive(GOOD_REQUEST, b"}", other_sock))
        other_sock.close()
