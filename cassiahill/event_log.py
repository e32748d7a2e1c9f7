"""Structured log lines on standard output: bounded in volume, never blocking."""

import collections
import contextlib
import logging
import os
import sys

import msgspec
import xxhash
from absl import logging as absl_logging

MAX_WAITING_LINES = 2000  # About 0.5 MB while nobody reads standard output.
MAX_LINES_PER_SECOND = 400  # Enough for all failures of one process in an overload.
MAX_FIELD_CHARACTERS = 200
SUCCESS_SAMPLE = (
    64  # One in so many successful requests is logged, by a hash of its id.
)

_encoder = msgspec.json.Encoder()


def is_sampled(request_id):
    """Return whether the lines of a successful request are written.

    The choice depends on the id only, so that all lines of a request stay together.
    """
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SUCCESS_SAMPLE == 0


def event(name, **fields):
    """Write one line for a decision or a change of what the process believes."""
    absl_logging.get_absl_logger().info(name, extra={"fields": fields})


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object in a line.

    JSON escapes control characters, so a client's text cannot forge a line.
    """

    def __init__(self, clock, node):
        super().__init__()
        self._clock = clock
        self._node = node

    def format(self, record):
        """Return the line without its end."""
        line = {
            "at": round(self._clock.now(), 4),
            "node": self._node,
            "event": record.getMessage()[:MAX_FIELD_CHARACTERS],
        }
        if record.levelno >= logging.WARNING:
            line["level"] = record.levelname.lower()
        for key, value in getattr(record, "fields", {}).items():
            line[key] = _plain(value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)[-2000:]
        return _encoder.encode(line).decode()


def _plain(value):
    if value is None or isinstance(value, bool | int):
        return value
    if isinstance(value, float):
        return round(value, 4)
    return str(value)[:MAX_FIELD_CHARACTERS]


class BoundedWriter(logging.Handler):
    """Handler that drops lines instead of waiting for the reader.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    clock : clock.Clock
    """

    def __init__(self, descriptor, clock):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._waiting = collections.deque()
        self._second = 0
        self._in_second = 0
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a line, or count it as dropped."""
        second = int(self._clock.now())
        if second != self._second:
            self._second, self._in_second = second, 0
            self._report_dropped()
        self._in_second += 1
        if (
            self._in_second > MAX_LINES_PER_SECOND
            or len(self._waiting) >= MAX_WAITING_LINES
        ):
            self.dropped += 1
            return
        self._waiting.append(self.format(record).encode() + b"\n")
        self.flush()

    def flush(self):
        """Write what the descriptor takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # The reader has gone; nobody is left to be told.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _report_dropped(self):
        if not self.dropped or len(self._waiting) >= MAX_WAITING_LINES:
            return
        line = {"event": "lines_dropped", "count": self.dropped, "at": self._second}
        self.dropped = 0
        self._waiting.append(_encoder.encode(line) + b"\n")


def dropped_lines():
    """Return how many lines were left out since the last one that counted them."""
    return sum(
        handler.dropped
        for handler in absl_logging.get_absl_logger().handlers
        if isinstance(handler, BoundedWriter)
    )


def install(clock, node):
    """Send all log lines of the process to standard output as JSON."""
    handler = BoundedWriter(sys.stdout.fileno(), clock)
    handler.setFormatter(JsonFormatter(clock, node))
    logger = absl_logging.get_absl_logger()
    absl_logging.set_verbosity(absl_logging.INFO)
    logger.handlers[:] = [handler]
    logger.propagate = False
    return handler
