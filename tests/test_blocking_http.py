"""Tests of ``cassiahill.blocking_http``."""

import contextlib
import http.client
import socket
import threading
import unittest
from unittest import mock

from cassiahill import blocking_http, clock, errors, http1
from cassiahill.clock import ManualClock
from tests.slow_socket import SlowSocket

REQUEST = http1.Request("PUT", "/objects/c/x", "", {}, b"value")


@contextlib.contextmanager
def answering_server(answer):
    """Yield the address of a server that answers one request and closes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            with connection:
                received = b""
                while not received.endswith(REQUEST.body):
                    received += connection.recv(65_536)
                with contextlib.suppress(OSError):
                    connection.sendall(answer)

        thread = threading.Thread(target=serve)
        thread.start()
        yield listener.getsockname()
        thread.join()


class AnswerSizeTest(unittest.TestCase):
    def send(self, answer):
        """Return the response to a request that the server answers so."""
        system_clock = clock.SystemClock()
        with answering_server(answer) as address:
            return blocking_http.send_request(
                address, REQUEST, system_clock.now() + 30.0, system_clock
            )

    def test_whole_answer(self):
        """Guards against a check of the size that refuses a correct answer."""
        for head in (b"Content-Length: 2\r\n", b""):
            response = self.send(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n{}")
            self.assertEqual((response.status, response.body), (200, b"{}"))
        response = self.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual((response.status, response.body), (204, b""))

    def test_truncated_answer(self):
        """Guards against a part of an answer that is taken for the whole.

        A connection that ended after the headers of a success seemed to confirm the
        change with an empty answer.
        """
        for sent_part in (b"", b"[1, 2]\n"):
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + sent_part
            with self.assertRaises(errors.ConnectionLost) as caught:
                self.send(answer)
            self.assertEqual(caught.exception.may_have_run, "unknown")

    def test_truncated_chunks(self):
        """Guards against missing chunks of an answer that is taken for the whole."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for sent_part in (b"", b"2\r\n{}\r\n", b"9\r\n{}"):
            with self.assertRaises(errors.ConnectionLost):
                self.send(head + sent_part)
        self.assertEqual(self.send(head + b"2\r\n{}\r\n0\r\n\r\n").body, b"{}")

    def test_too_large_answer(self):
        """Guards against an answer that fills the memory."""
        with mock.patch.object(blocking_http, "MAX_ANSWER_BYTES", 100):
            for head in (b"Content-Length: 101\r\n", b""):
                with self.assertRaises(errors.ResponseTooLarge):
                    self.send(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + b"x" * 101)

    def test_too_long_headers(self):
        """Guards against headers that fill the memory."""
        for headers in (b"x: " + b"a" * 100_000 + b"\r\n", b"x: a\r\n" * 1000):
            with self.assertRaises(errors.ConnectionLost):
                self.send(b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n")


class DeadlineTest(unittest.TestCase):
    """A call whose deadline is 5 s away, and that takes 2 s to connect."""

    def setUp(self):
        self.clock = ManualClock()
        self.deadline = self.clock.now() + 5.0

    def send(self, seconds_per_operation):
        """Send a request to a server that takes so long for each write and byte."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

        def connect(connection):
            self.clock.advance(2.0)
            connection.sock = SlowSocket(
                self.clock, answer, connection.timeout, seconds_per_operation
            )

        with mock.patch.object(http.client.HTTPConnection, "connect", connect):
            return blocking_http.send_request(
                ("127.0.0.1", 1), REQUEST, self.deadline, self.clock
            )

    def test_answer_in_time(self):
        """Guards against calls that fail before their deadline."""
        self.assertEqual(self.send(seconds_per_operation=0.01).status, 200)

    def test_slow_steps_end_at_the_deadline(self):
        """Guards against a call that holds its thread for several times its timeout.

        Connecting and each write had the whole time of the call.
        """
        for seconds_per_operation in (2.0, 0.5):
            self.setUp()
            with self.assertRaises(errors.ConnectionLost):
                self.send(seconds_per_operation)
            self.assertLessEqual(self.clock.now(), self.deadline)


if __name__ == "__main__":
    unittest.main()
