"""Captures the log lines of a process."""

import contextlib
import logging

from absl import logging as absl_logging

from cassiahill import clock, event_log


class _LineCollector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []
        self.setFormatter(event_log.JsonFormatter(clock.ManualClock(), "node-1"))

    def emit(self, record):
        self.lines.append(self.format(record))


@contextlib.contextmanager
def captured_log_lines():
    """Yield the list of lines that are logged within the ``with`` block."""
    collector = _LineCollector()
    logger = absl_logging.get_absl_logger()
    verbosity = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.INFO)
    logger.addHandler(collector)
    try:
        yield collector.lines
    finally:
        logger.removeHandler(collector)
        absl_logging.set_verbosity(verbosity)
