"""Writes log lines as JSON to standard output without blocking, up to a line rate."""

import collections
import contextlib
import logging
import os
import sys

import msgspec
import xxhash
from absl import logging as absl_logging

MAX_BUFFERED_LINES = 2000  # Takes about 0.5 MB while the reader stalls.
MAX_LINES_PER_SECOND = 400  # Lets every failure in an overload be logged.
MAX_FIELD_CHARACTERS = 200
MAX_TRACE_CHARACTERS = 2000
# One in this many successful requests is logged, chosen by a hash of the request id.
SUCCESS_SAMPLE_INTERVAL = 64

_encoder = msgspec.json.Encoder()


def is_sampled(request_id):
    """Return whether a successful request is logged.

    The result depends only on the id, so that either all lines of a request are written
    or none.
    """
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SUCCESS_SAMPLE_INTERVAL == 0


def event(name, **fields):
    """Log a decision or a state change of the process.

    Parameters
    ----------
    name : str
        Name of the event.
    **fields
        Fields of the line.
    """
    absl_logging.get_absl_logger().info(name, extra={"fields": fields})


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object on one line.

    JSON escapes control characters, so a client's text cannot forge a line.

    Parameters
    ----------
    clock : clock.Clock
    node : str
        Name of the process.
    """

    def __init__(self, clock, node):
        super().__init__()
        self._clock = clock
        self._node = node

    def format(self, record):
        """Return a log record as one line of JSON, without a line end."""
        line = {
            "at": round(self._clock.now(), 4),
            "node": self._node,
            "event": printable(record.getMessage())[:MAX_FIELD_CHARACTERS],
        }
        if record.levelno >= logging.WARNING:
            line["level"] = record.levelname.lower()
        for key, value in getattr(record, "fields", {}).items():
            line[key] = _to_json_value(value)
        if record.exc_info:
            trace = printable(self.formatException(record.exc_info))
            line["exception"] = trace[-MAX_TRACE_CHARACTERS:]
        return _encoder.encode(line).decode()


def _to_json_value(value):
    if value is None or isinstance(value, bool | int):
        return value
    if isinstance(value, float):
        return round(value, 4)
    return printable(str(value))[:MAX_FIELD_CHARACTERS]


def printable(text):
    """Return a text with escapes for halves of surrogate pairs."""
    return text.encode("utf-8", "backslashreplace").decode()


class BoundedWriter(logging.Handler):
    """Log handler that drops lines instead of blocking on a slow reader.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is set to non-blocking mode.
    clock : clock.Clock

    Attributes
    ----------
    dropped : int
        Lines dropped since the last ``lines_dropped`` line.
    """

    def __init__(self, descriptor, clock):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._buffered_lines = collections.deque()
        self._current_second = 0
        self._lines_in_second = 0
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write or buffer a line, or count it as dropped."""
        second = int(self._clock.now())
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
            self._report_dropped()
        self._lines_in_second += 1
        if (
            self._lines_in_second > MAX_LINES_PER_SECOND
            or len(self._buffered_lines) >= MAX_BUFFERED_LINES
        ):
            self.dropped += 1
            return
        self._buffered_lines.append(self._line(record).encode() + b"\n")
        self.flush()

    def _line(self, record):
        """Return the line of a record; no record may end the work that logs it."""
        try:
            return self.format(record)
        except Exception as error:  # noqa: BLE001 whatever the fields hold
            line = {"event": "line_unformatted", "cause": type(error).__name__}
            line["of"] = printable(str(record.msg))[:MAX_FIELD_CHARACTERS]
            return _encoder.encode(line).decode()

    def flush(self):
        """Write the buffered lines until the descriptor would block."""
        while self._buffered_lines:
            line = self._buffered_lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # The reader has closed the pipe.
                self.dropped += len(self._buffered_lines)
                self._buffered_lines.clear()
                return
            if written < len(line):
                self._buffered_lines[0] = line[written:]
                return
            self._buffered_lines.popleft()

    def _report_dropped(self):
        if not self.dropped or len(self._buffered_lines) >= MAX_BUFFERED_LINES:
            return
        line = {
            "event": "lines_dropped",
            "count": self.dropped,
            "at": self._current_second,
        }
        self.dropped = 0
        self._buffered_lines.append(_encoder.encode(line) + b"\n")


def dropped_lines():
    """Return how many lines were dropped since the last ``lines_dropped`` line."""
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
