"""Tests of ``cassiahill.event_log``."""

import json
import logging
import os
import unittest

from cassiahill import clock, event_log


def record(name, **fields):
    """Return a log record of an event."""
    found = logging.LogRecord("absl", logging.INFO, "", 0, name, (), None)
    found.fields = fields
    return found


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.write_end)
        self.addCleanup(os.close, self.read_end)
        self.clock = clock.ManualClock()
        self.writer = event_log.BoundedWriter(self.write_end, self.clock)
        self.writer.setFormatter(event_log.JsonFormatter(self.clock, "node-1"))

    def test_reader_that_never_reads_blocks_nothing(self):
        """Guards against requests that wait for a full pipe; ends only if it does."""
        for second in range(40):
            for _ in range(event_log.MAX_LINES_PER_SECOND + 10):
                self.writer.emit(record("event", text="x" * 150))
            self.clock.advance(1.0)
            self.assertLessEqual(
                len(self.writer._waiting), event_log.MAX_WAITING_LINES, second
            )
        self.assertGreater(self.writer.dropped, 0)

    def test_dropped_lines_are_counted_in_the_log(self):
        """Guards against a gap that looks like silence."""
        for _ in range(event_log.MAX_LINES_PER_SECOND + 25):
            self.writer.emit(record("event"))
        self.clock.advance(1.0)
        self.writer.emit(record("event"))
        text = os.read(self.read_end, 1_000_000).decode()
        counts = [
            line["count"]
            for line in map(json.loads, text.splitlines())
            if line["event"] == "lines_dropped"
        ]
        self.assertEqual(counts, [25])

    def test_closed_reader_does_not_raise(self):
        """Guards against a process that ends with the reader of its log."""
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        os.close(read_end)
        writer = event_log.BoundedWriter(write_end, self.clock)
        writer.setFormatter(event_log.JsonFormatter(self.clock, "node-1"))
        writer.emit(record("event"))


class JsonFormatterTest(unittest.TestCase):
    def test_text_of_a_client_cannot_forge_a_line(self):
        """Guards against line ends and quotes in an id."""
        formatter = event_log.JsonFormatter(clock.ManualClock(), "node-1")
        text = formatter.format(record("event", request='x"}\n{"event": "forged'))
        self.assertEqual(len(text.splitlines()), 1)
        self.assertEqual(json.loads(text)["event"], "event")

    def test_long_fields_are_cut(self):
        """Guards against a field of a megabyte."""
        formatter = event_log.JsonFormatter(clock.ManualClock(), "node-1")
        text = formatter.format(record("event", request="x" * 1_000_000))
        self.assertLess(len(text), 1000)


if __name__ == "__main__":
    unittest.main()
