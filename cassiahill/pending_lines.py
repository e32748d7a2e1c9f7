"""The lines of one session that wait for an earlier statement to end."""

import collections

from cassiahill.line_reader import MAX_LINE_BYTES

MAX_PENDING_LINES = 64
# Few long lines would otherwise take as much memory as thousands of sessions.
MAX_PENDING_BYTES = MAX_LINE_BYTES


class PendingLines:
    """Queue of received lines, which tells when to pause and to resume reading."""

    def __init__(self):
        self._lines = collections.deque()
        self._total_bytes = 0

    def __len__(self):
        return len(self._lines)

    @property
    def is_full(self):
        """Whether no more should be read from the client."""
        return (
            len(self._lines) > MAX_PENDING_LINES
            or self._total_bytes > MAX_PENDING_BYTES
        )

    @property
    def has_room(self):
        """Whether to read again; at half of the limits, so that it pauses rarely."""
        return (
            len(self._lines) <= MAX_PENDING_LINES // 2
            and self._total_bytes <= MAX_PENDING_BYTES // 2
        )

    def append(self, line, arrived_at):
        """Add a line that arrived at an instant in seconds."""
        self._lines.append((line, arrived_at))
        self._total_bytes += len(line)

    def popleft(self):
        """Remove the oldest line; return it and the instant of its arrival."""
        line, arrived_at = self._lines.popleft()
        self._total_bytes -= len(line)
        return line, arrived_at

    def clear(self):
        """Remove all lines."""
        self._lines.clear()
        self._total_bytes = 0
