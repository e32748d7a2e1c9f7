"""Tests of ``cassiahill.history``: the checker sees each kind of violation."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import history
from cassiahill.history import DIVERGED, DONE, NOT_RUN, UNKNOWN, Operation
from tests import naive_history

NAIVE_RULES = {
    "read-your-writes",
    "monotonic reads",
    "not run, but ran",
    "acknowledged write lost",
    "at most once",
}
VALUES = st.lists(st.sampled_from("abcd"), max_size=3)


@st.composite
def histories(draw):
    """Return operations of two sessions on two items, and the final values."""
    operations = []
    for value in draw(st.permutations("abcd")):
        for _ in range(draw(st.integers(0, 3))):
            operations.append(
                Operation(
                    draw(st.sampled_from("st")),
                    "read",
                    draw(st.sampled_from("xy")),
                    values=tuple(draw(VALUES)),
                    outcome=draw(st.sampled_from((DONE, DONE, DIVERGED))),
                    position=draw(st.integers(1, 3)),
                )
            )
        operations.append(
            Operation(
                draw(st.sampled_from("st")),
                "write",
                draw(st.sampled_from("xy")),
                value=value,
                outcome=draw(st.sampled_from((DONE, NOT_RUN, UNKNOWN, DIVERGED))),
                position=draw(st.integers(1, 3)),
            )
        )
    return operations, {"x": draw(VALUES), "y": draw(VALUES)}


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

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(histories())
    def test_agrees_with_the_naive_checker(self, case):
        """Guards against rules that the checker's bookkeeping misses."""
        operations, final = case
        found = {finding.rule for finding in history.check(operations, final)}
        expected = naive_history.rules_broken(operations, final)
        self.assertEqual(found & NAIVE_RULES, expected)
