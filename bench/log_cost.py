"""Measures the CPU time of a log line, and of a request that logs nothing.

``python -m bench.log_cost`` prints CPU time in microseconds.
"""

import argparse
import contextlib
import logging
import os
import threading
import time

from absl import logging as absl_logging

from cassiahill import clock, event_log

READ_CHUNK_BYTES = 65_536
FIELDS = {
    "request": "f6dc6ffbf5137bd6",
    "database": "fees",
    "statement": "Run",
    "outcome": "busy",
    "detail": "no backend server can take it now",
    "seconds": 0.0462,
    "position": "1.460",
}


class _SteppingClock(clock.Clock):
    """Clock that advances by one second at each reading, so that no line is dropped."""

    def __init__(self):
        self._now = 0.0

    def now(self):
        """Return an instant one second after the last one returned."""
        self._now += 1.0
        return self._now


@contextlib.contextmanager
def _log_to_pipe():
    """Send log lines to a pipe, read by a thread, while the context is open."""
    read_fd, write_fd = os.pipe()

    def read_until_closed():
        while os.read(read_fd, READ_CHUNK_BYTES):
            pass

    reader_thread = threading.Thread(target=read_until_closed)
    reader_thread.start()
    logger = absl_logging.get_absl_logger()
    previous_handlers, previous_level = list(logger.handlers), logger.level
    stepping_clock = _SteppingClock()
    handler = event_log.BoundedWriter(write_fd, stepping_clock)
    handler.setFormatter(event_log.JsonFormatter(stepping_clock, "proxy-1"))
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    try:
        yield handler
    finally:
        logger.handlers[:] = previous_handlers
        logger.setLevel(previous_level)
        os.close(write_fd)
        reader_thread.join()
        os.close(read_fd)


def _cpu_microseconds_per_call(call_count, function):
    """Return the CPU time of this thread per call of ``function``, in microseconds."""
    started_at = time.thread_time()
    for index in range(call_count):
        function(index)
    return (time.thread_time() - started_at) / call_count * 1e6


def main(argv=None):
    """Measure and print both costs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--lines", type=int, default=20_000)
    line_count = parser.parse_args(argv).lines
    with _log_to_pipe() as handler:
        microseconds_per_line = _cpu_microseconds_per_call(
            line_count, lambda _: event_log.event("answered", **FIELDS)
        )
        dropped_count = handler.dropped
    microseconds_without_line = _cpu_microseconds_per_call(
        line_count, lambda index: event_log.is_sampled(f"{index:016x}")
    )
    print(
        f"one line: {microseconds_per_line:.1f} us of processor time"
        f" ({dropped_count} of {line_count} left out)"
    )
    print(f"one request without a line: {microseconds_without_line:.2f} us")


if __name__ == "__main__":
    main()
