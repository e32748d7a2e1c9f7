"""Tests of ``cassiahill.history``: the checker sees each kind of violation."""

import unittest

from cassiahill import history
from cassiahill.history import DIVERGED, NOT_RUN, Operation


def write(session="a", value="v", **changes):
    """Return an acknowledged write to item x."""
    fields = {"term": 1, "position": 3, **changes}
    return Operation(session, "write", "x", value=value, **fields)


def read(values, session="a", **changes):
    """Return a read of item x."""
    fields = {"term": 1, "position": 3, **changes}
    return Operation(session, "read", "x", values=tuple(values), **fields)


class HistoryTest(unittest.TestCase):
    def rules(self, operations, final=("v",)):
        recorder = history.Recorder()
        for operation in operations:
            recorder.record(operation)
        return {f.rule for f in recorder.check({"x": list(final), "y": ["w"]})}

    def test_each_violation_is_found(self):
        """Guards against a checker that passes a faulty history."""
        other = Operation("a", "write", "y", value="w")
        cases = {
            "read-your-writes": [write(), read([])],
            "monotonic reads": [write("b"), read(["v"]), read([])],
            "not run, but ran": [write(outcome=NOT_RUN), read(["v"], "b")],
            "answer to another request": [other, read(["w"])],
            "whole answers": [write("b"), read(["v"], row_count=2)],
        }
        for rule, operations in cases.items():
            with self.subTest(rule):
                self.assertIn(rule, self.rules(operations))
        self.assertEqual(self.rules([write()], ()), {"acknowledged write lost"})
        self.assertEqual(self.rules([write()], ("v", "v")), {"at most once"})
        twice = [write(key="k"), write(value="u", key="k")]
        self.assertEqual(self.rules(twice, ("v", "u")), {"at most once"})
        back = [read([], position=5), read([], position=4)]
        self.assertEqual(self.rules(back), {"monotonic reads"})
        swapped = [read([], answered_item="y")]
        self.assertEqual(self.rules(swapped), {"answer to another request"})

    def test_correct_histories_pass(self):
        """Guards against findings on a correct history."""
        self.assertEqual(self.rules([write(), read(["v"]), read([], "b")]), set())
        told = Operation("a", "read", "x", outcome=DIVERGED)
        self.assertEqual(self.rules([read(["u", "v"]), told, read(["v"])]), set())
        dropped = write("b", "u", outcome=NOT_RUN)
        self.assertEqual(self.rules([dropped, read(["u"]), told]), set())
        still_seen = self.rules([dropped, told, read(["u"])])
        self.assertEqual(still_seen, {"not run, but ran"})
