"""A socket on a manual clock whose other end takes time for each write and byte."""

import io


class SlowSocket:
    """Stands in for a connected socket with a time-out.

    Parameters
    ----------
    manual_clock : clock.ManualClock
    answer : bytes
        What the other end sends.
    timeout_seconds : float
        Time-out with which the socket was connected.
    seconds_per_operation : float
        Time that each write takes, and each byte of the answer.
    """

    def __init__(self, manual_clock, answer, timeout_seconds, seconds_per_operation):
        self._clock = manual_clock
        self._timeout_seconds = timeout_seconds
        self._seconds_per_operation = seconds_per_operation
        self.unread = answer

    def settimeout(self, timeout_seconds):
        self._timeout_seconds = timeout_seconds

    def wait(self):
        """Let the time of one operation pass, or raise ``TimeoutError``."""
        timeout_seconds = self._timeout_seconds
        if timeout_seconds is None or timeout_seconds >= self._seconds_per_operation:
            self._clock.advance(self._seconds_per_operation)
            return
        self._clock.advance(timeout_seconds)
        raise TimeoutError("timed out")

    def sendall(self, _data):
        self.wait()

    def setsockopt(self, *_option):
        pass

    def makefile(self, _mode, buffering=-1):
        reader = _SlowReader(self)
        return io.BufferedReader(reader) if buffering else reader

    def close(self):
        pass


class _SlowReader(io.RawIOBase):
    """Reads one byte at a time."""

    def __init__(self, slow_socket):
        super().__init__()
        self._socket = slow_socket

    def readable(self):
        return True

    def readinto(self, buffer):
        self._socket.wait()
        data, self._socket.unread = self._socket.unread[:1], self._socket.unread[1:]
        buffer[: len(data)] = data
        return len(data)
