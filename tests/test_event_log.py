"""Tests of ``cassiahill.event_log``."""

import json
import logging
import os
import unittest

from cassiahill import clock, event_log


def make_record(name, **fields):
    """Return the log record of an event."""
    record = logging.LogRecord("absl", logging.INFO, "", 0, name, (), None)
    record.fields = fields
    return record


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.write_end)
        self.addCleanup(os.close, self.read_end)
        self.clock = clock.ManualClock()
        self.writer = event_log.BoundedWriter(self.write_end, self.clock)
        self.writer.setFormatter(event_log.JsonFormatter(self.clock, "node-1"))

    def test_stalled_reader_does_not_block_the_writer(self):
        """Guards against blocking on a full pipe; the test hangs if it blocks."""
        for second in range(40):
            for _ in range(event_log.MAX_LINES_PER_SECOND + 10):
                self.writer.emit(make_record("event", text="x" * 150))
            self.clock.advance(1.0)
            self.assertLessEqual(
                len(self.writer._buffered_lines), event_log.MAX_BUFFERED_LINES, second
            )
        self.assertGreater(self.writer.dropped, 0)

    def test_dropped_lines_are_counted_in_the_log(self):
        """Guards against gaps in the log that are not reported."""
        for _ in range(event_log.MAX_LINES_PER_SECOND + 25):
            self.writer.emit(make_record("event"))
        self.clock.advance(1.0)
        self.writer.emit(make_record("event"))
        text = os.read(self.read_end, 1_000_000).decode()
        counts = [
            line["count"]
            for line in map(json.loads, text.splitlines())
            if line["event"] == "lines_dropped"
        ]
        self.assertEqual(counts, [25])

    def test_closed_pipe_does_not_raise(self):
        """Guards against a process that fails when its log reader ends."""
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        os.close(read_end)
        writer = event_log.BoundedWriter(write_end, self.clock)
        writer.setFormatter(event_log.JsonFormatter(self.clock, "node-1"))
        writer.emit(make_record("event"))

    def test_line_that_cannot_be_formatted_ends_nothing(self):
        """Guards against a log line that decides about the work after it."""
        read_end, write_end = os.pipe()
        for end in (read_end, write_end):
            self.addCleanup(os.close, end)
        writer = event_log.BoundedWriter(write_end, self.clock)
        writer.setFormatter(event_log.JsonFormatter(self.clock, "node-1"))
        writer.emit(make_record("event", number=10**5000))
        line = json.loads(os.read(read_end, 1000))
        self.assertEqual((line["event"], line["of"]), ("line_unformatted", "event"))


class JsonFormatterTest(unittest.TestCase):
    def test_client_text_cannot_forge_a_line(self):
        """Guards against line breaks and quotes from a client in the log."""
        formatter = event_log.JsonFormatter(clock.ManualClock(), "node-1")
        text = formatter.format(make_record("event", request='x"}\n{"event": "forged'))
        self.assertEqual(len(text.splitlines()), 1)
        self.assertEqual(json.loads(text)["event"], "event")

    def test_halves_of_surrogate_pairs_are_escaped(self):
        """Guards against a name that ends the work of which the line tells."""
        formatter = event_log.JsonFormatter(clock.ManualClock(), "node-1")
        text = formatter.format(make_record("event", server="foreign-\udcff"))
        self.assertEqual(json.loads(text)["server"], "foreign-\\udcff")

    def test_long_fields_are_truncated(self):
        """Guards against log lines of unbounded length."""
        formatter = event_log.JsonFormatter(clock.ManualClock(), "node-1")
        text = formatter.format(make_record("event", request="x" * 1_000_000))
        self.assertLess(len(text), 1000)


if __name__ == "__main__":
    unittest.main()
