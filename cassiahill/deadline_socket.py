"""A blocking socket whose reads and writes together end at one instant."""

import io
import math


class DeadlineSocket:
    """Wraps a connected socket for ``http.client``, which knows no deadlines.

    With the time-out of a socket alone, each read and each write has the whole time, so
    that another end that sends a byte now and then holds its caller without limit.

    Parameters
    ----------
    sock : socket.socket
    now : callable
        Returns the time in seconds.

    Attributes
    ----------
    deadline : float
        Instant in seconds after which reads and writes raise ``TimeoutError``.
    """

    def __init__(self, sock, now):
        self._sock = sock
        self._now = now
        self.deadline = math.inf

    def apply_deadline(self):
        """Give the next operation of the socket the time that is left."""
        remaining_seconds = self.deadline - self._now()
        if remaining_seconds <= 0:
            raise TimeoutError("the deadline passed")
        self._sock.settimeout(
            None if remaining_seconds == math.inf else remaining_seconds
        )

    def sendall(self, data):
        """Send all bytes."""
        self.apply_deadline()
        self._sock.sendall(data)

    def makefile(self, _mode):
        """Return the buffered reader that ``HTTPResponse`` asks a socket for."""
        return io.BufferedReader(_DeadlineReader(self, self._sock))

    def fileno(self):
        """Return the descriptor, for polls."""
        return self._sock.fileno()

    def shutdown(self, how):
        """Shut down one or both directions, as ``socket.shutdown`` does."""
        self._sock.shutdown(how)

    def close(self):
        """Close the socket; it is released when its readers are closed too."""
        self._sock.close()


class _DeadlineReader(io.RawIOBase):
    """Reads from a ``DeadlineSocket``."""

    def __init__(self, deadline_socket, sock):
        super().__init__()
        self._deadline_socket = deadline_socket
        self._raw_reader = sock.makefile("rb", buffering=0)

    def readable(self):
        return True

    def readinto(self, buffer):
        self._deadline_socket.apply_deadline()
        return self._raw_reader.readinto(buffer)

    def close(self):
        self._raw_reader.close()
        super().close()
