"""Tests of ``cassiahill.transport``."""

import socket
import unittest

from cassiahill import transport
from cassiahill.clock import SystemClock
from cassiahill.loop import EventLoop


class AbortTest(unittest.TestCase):
    def test_aborted_connection_is_reset(self):
        """Guards against an order that the kernel delivers after it was given up."""
        loop = EventLoop(SystemClock())
        with socket.create_server(("127.0.0.1", 0)) as listener:
            stream = transport.connect(
                loop, listener.getsockname(), lambda _data: None, lambda: None
            )
            accepted, _ = listener.accept()
            with accepted:
                stream.abort()
                with self.assertRaises(ConnectionResetError):
                    accepted.recv(1)
        self.assertTrue(stream.closed)


if __name__ == "__main__":
    unittest.main()
