"""Tests of ``cassiahill.history``."""

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
value_lists = st.lists(st.sampled_from("abcd"), max_size=3)


@st.composite
def histories(draw):
    """Generate operations of two sessions on two items, and the final values."""
    operations = []
    for value in draw(st.permutations("abcd")):
        for _ in range(draw(st.integers(0, 3))):
            operations.append(
                Operation(
                    draw(st.sampled_from("st")),
                    "read",
                    draw(st.sampled_from("xy")),
                    values=tuple(draw(value_lists)),
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
    return operations, {"x": draw(value_lists), "y": draw(value_lists)}


def write(session="a", value="v", **changes):
    """Return an acknowledged write to item x."""
    fields = {"term": 1, "position": 3, **changes}
    return Operation(session, "write", "x", value=value, **fields)


def read(values, session="a", **changes):
    """Return a read of item x."""
    fields = {"term": 1, "position": 3, **changes}
    return Operation(session, "read", "x", values=tuple(values), **fields)


class HistoryTest(unittest.TestCase):
    def violated_rules(self, operations, final_values=("v",)):
        recorder = history.Recorder()
        for operation in operations:
            recorder.record(operation)
        return {
            finding.rule
            for finding in recorder.check({"x": list(final_values), "y": ["w"]})
        }

    def test_each_violation_is_found(self):
        """Guards against a checker that misses a kind of violation."""
        write_to_y = Operation("a", "write", "y", value="w")
        cases = {
            "read-your-writes": [write(), read([])],
            "monotonic reads": [write("b"), read(["v"]), read([])],
            "not run, but ran": [write(outcome=NOT_RUN), read(["v"], "b")],
            "answer to another request": [write_to_y, read(["w"])],
            "whole answers": [write("b"), read(["v"], row_count=2)],
        }
        for rule, operations in cases.items():
            with self.subTest(rule):
                self.assertIn(rule, self.violated_rules(operations))
        self.assertEqual(
            self.violated_rules([write()], ()), {"acknowledged write lost"}
        )
        self.assertEqual(self.violated_rules([write()], ("v", "v")), {"at most once"})
        same_key = [write(key="k"), write(value="u", key="k")]
        self.assertEqual(self.violated_rules(same_key, ("v", "u")), {"at most once"})
        earlier_position = [read([], position=5), read([], position=4)]
        self.assertEqual(self.violated_rules(earlier_position), {"monotonic reads"})
        swapped_answer = [read([], answered_item="y")]
        self.assertEqual(
            self.violated_rules(swapped_answer), {"answer to another request"}
        )

    def test_correct_histories_pass(self):
        """Guards against findings in a correct history."""
        self.assertEqual(
            self.violated_rules([write(), read(["v"]), read([], "b")]), set()
        )
        divergence = Operation("a", "read", "x", outcome=DIVERGED)
        self.assertEqual(
            self.violated_rules([read(["u", "v"]), divergence, read(["v"])]), set()
        )
        not_run = write("b", "u", outcome=NOT_RUN)
        self.assertEqual(self.violated_rules([not_run, read(["u"]), divergence]), set())
        read_afterwards = self.violated_rules([not_run, divergence, read(["u"])])
        self.assertEqual(read_afterwards, {"not run, but ran"})

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(histories())
    def test_agrees_with_the_naive_checker(self, case):
        """Guards against violations that the checker misses or makes up."""
        operations, final_values = case
        found = {finding.rule for finding in history.check(operations, final_values)}
        expected = naive_history.violated_rules(operations, final_values)
        self.assertEqual(found & NAIVE_RULES, expected)
