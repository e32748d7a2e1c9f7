"""Measures what a log line and a request that writes none cost a process.

``python -m bench.log_cost`` prints processor time in microseconds.
"""

import argparse
import contextlib
import logging
import os
import threading
import time

from absl import logging as absl_logging

from cassiahill import clock, event_log

CHUNK_BYTES = 65_536
FIELDS = {
    "request": "f6dc6ffbf5137bd6",
    "database": "fees",
    "statement": "Run",
    "outcome": "busy",
    "detail": "no backend server can take it now",
    "seconds": 0.0462,
    "position": "1.460",
}


class _ManySeconds(clock.Clock):
    """Starts a second with each line, so that no line is left out."""

    def __init__(self):
        self._now = 0.0

    def now(self):
        """Return an instant of a second of its own."""
        self._now += 1.0
        return self._now


@contextlib.contextmanager
def _log_to_pipe():
    """Send log lines to a pipe that a thread reads, while the block runs."""
    reading, writing = os.pipe()

    def drain():
        while os.read(reading, CHUNK_BYTES):
            pass

    reader = threading.Thread(target=drain)
    reader.start()
    logger = absl_logging.get_absl_logger()
    before, level = list(logger.handlers), logger.level
    source = _ManySeconds()
    handler = event_log.BoundedWriter(writing, source)
    handler.setFormatter(event_log.JsonFormatter(source, "proxy-1"))
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    try:
        yield handler
    finally:
        logger.handlers[:] = before
        logger.setLevel(level)
        os.close(writing)
        reader.join()
        os.close(reading)


def _microseconds(count, call):
    """Return the processor time of this thread for one of ``count`` calls."""
    started_at = time.thread_time()
    for number in range(count):
        call(number)
    return (time.thread_time() - started_at) / count * 1e6


def main(argv=None):
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--lines", type=int, default=20_000)
    count = parser.parse_args(argv).lines
    with _log_to_pipe() as handler:
        line = _microseconds(count, lambda _: event_log.event("answered", **FIELDS))
        dropped = handler.dropped
    skipped = _microseconds(count, lambda n: event_log.is_sampled(f"{n:016x}"))
    print(f"one line: {line:.1f} us of processor time ({dropped} of {count} left out)")
    print(f"one request without a line: {skipped:.2f} us")


if __name__ == "__main__":
    main()
