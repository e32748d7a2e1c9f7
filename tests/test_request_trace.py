"""Tests of ``cassiahill.request_trace``."""

import json
import unittest

from cassiahill import request_trace


def line(at, node, event, **fields):
    """Return one log line."""
    return json.dumps({"at": at, "node": node, "event": event, **fields})


class StoryTest(unittest.TestCase):
    LINES = (
        line(9.0, "n1", "primary_changed", primary="a"),
        line(10.0, "n1", "refused", request="r1", waited=0.3),
        line(10.1, "n1", "answered", request="r1", outcome="busy"),
        line(10.0, "n2", "primary_changed", primary="b"),
        line(50.0, "n1", "primary_changed", primary="c"),
        line(10.0, "n1", "answered", request="r2"),
    )

    def events(self, texts, request_id="r1"):
        return [
            one.event for one in request_trace.trace_request(texts, request_id, 2.0)
        ]

    def test_request_with_the_beliefs_of_its_process(self):
        """Guards against a story without its cause, or with another node's."""
        self.assertEqual(
            self.events(self.LINES), ["primary_changed", "refused", "answered"]
        )

    def test_prefix_of_a_collector_is_ignored(self):
        """Guards against logs that a collector has stamped."""
        self.assertEqual(
            self.events([f"  12.5 front-1 {one}" for one in self.LINES]),
            ["primary_changed", "refused", "answered"],
        )

    def test_cut_and_foreign_lines_are_skipped(self):
        """Guards against a log that was cut in mid-line."""
        texts = [self.LINES[1][:-5], "", "{", "[1]", '{"event": 7}', self.LINES[2]]
        self.assertEqual(self.events(texts), ["answered"])

    def test_unknown_request_has_no_story(self):
        """Guards against lines that belong to nobody's request."""
        self.assertEqual(self.events(self.LINES, "r9"), [])


if __name__ == "__main__":
    unittest.main()
