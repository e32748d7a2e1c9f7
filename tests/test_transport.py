"""Tests of ``cassiahill.transport``."""

import errno
import socket
import unittest
from unittest import mock

from cassiahill import transport
from cassiahill.clock import SystemClock
from cassiahill.loop import EventLoop
from tests.session_builders import GroupFixture


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


class ClosedInThePollTest(unittest.TestCase):
    def test_readiness_of_a_connection_that_was_just_closed_is_ignored(self):
        """Guards against an error when two callbacks of one poll meet."""
        loop = EventLoop(SystemClock())
        with socket.create_server(("127.0.0.1", 0)) as listener:
            stream = transport.connect(
                loop, listener.getsockname(), lambda _data: None, lambda: None
            )
            stream.close()
            stream._on_ready(transport.WRITE)
        self.assertTrue(stream.closed)


class DescriptorsTest(unittest.TestCase):
    def test_lack_of_descriptors_is_an_error_of_the_connection(self):
        """Guards against a pool that counts an opening for ever, and opens no more."""
        fixture = GroupFixture()
        pool = fixture.group.pools_by_id["b"]
        no_descriptor = OSError(errno.EMFILE, "Too many open files")
        connect, pool._connect = pool._connect, transport_connection
        with mock.patch.object(socket, "socket", side_effect=no_descriptor):
            fixture.loop.result(pool._open_connection(None))
        pool._connect = connect
        self.assertEqual(pool.failed_openings, 1)
        self.assertEqual(sum(pool._openings_by_tenant.values()), 0)


def transport_connection(loop, _dialect, server, on_closed):
    """Open a real connection to a server, as ``line_connections`` does."""
    return transport.connect(loop, server.address, lambda _data: None, on_closed)


if __name__ == "__main__":
    unittest.main()
