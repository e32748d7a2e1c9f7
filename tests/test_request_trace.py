"""Tests of ``cassiahill.request_trace``."""

import json
import unittest

from cassiahill import request_trace


def make_line(at, node, event, **fields):
    """Return a log line as text."""
    return json.dumps({"at": at, "node": node, "event": event, **fields})


class RequestTraceTest(unittest.TestCase):
    LINES = (
        make_line(9.0, "n1", "primary_changed", primary="a"),
        make_line(10.0, "n1", "refused", request="r1", waited=0.3),
        make_line(10.1, "n1", "answered", request="r1", outcome="busy"),
        make_line(10.0, "n2", "primary_changed", primary="b"),
        make_line(50.0, "n1", "primary_changed", primary="c"),
        make_line(10.0, "n1", "answered", request="r2"),
    )

    def traced_events(self, texts, request_id="r1"):
        """Return the names of the events in a request's trace."""
        return [
            line.event for line in request_trace.trace_request(texts, request_id, 2.0)
        ]

    def test_trace_includes_state_changes_of_the_process(self):
        """Guards against a trace without the cause, or with another process's lines."""
        self.assertEqual(
            self.traced_events(self.LINES), ["primary_changed", "refused", "answered"]
        )

    def test_collector_prefix_is_ignored(self):
        """Guards against skipping lines with a prefix from a log collector."""
        self.assertEqual(
            self.traced_events([f"  12.5 front-1 {line}" for line in self.LINES]),
            ["primary_changed", "refused", "answered"],
        )

    def test_truncated_and_other_lines_are_skipped(self):
        """Guards against a failure on a truncated log."""
        texts = [self.LINES[1][:-5], "", "{", "[1]", '{"event": 7}', self.LINES[2]]
        self.assertEqual(self.traced_events(texts), ["answered"])

    def test_unknown_request_has_an_empty_trace(self):
        """Guards against unrelated lines in a trace."""
        self.assertEqual(self.traced_events(self.LINES, "r9"), [])


if __name__ == "__main__":
    unittest.main()
