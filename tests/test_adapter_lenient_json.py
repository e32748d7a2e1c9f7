"""Tests of ``adapter.lenient_json``."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import errors
from tests import adapter_path

with adapter_path.importable():
    from adapter import lenient_json

VALUES = st.recursive(
    st.one_of(st.none(), st.integers(), st.text(max_size=6)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=12,
)


def nested(levels):
    """Return the text of lists in lists."""
    return "[" * levels + "]" * levels


class LenientJsonTest(unittest.TestCase):
    def test_entry_that_is_nested_too_deeply_does_not_hide_others(self):
        """Guards against one entry that makes all servers unavailable."""
        for levels in (1100, 100_000):
            body = json.dumps({"items": [{"spec": "DEEP"}, {"spec": {"slots": [1]}}]})
            body = body.replace('"DEEP"', nested(levels))
            for damage in (b"", b"\xff"):
                damaged = body.encode().replace(b"slots", b"slots" + damage)
                first, second = lenient_json.decode(damaged)["items"]
                self.assertIsInstance(first["spec"], list)
                self.assertEqual(list(second["spec"].values()), [[1]])

    @given(VALUES, st.text(max_size=8))
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_values_beside_a_deep_one_are_kept(self, value, text):
        """Guards against brackets in texts that are counted, and lost values."""
        body = json.dumps([value, text + '"[{', "DEEP", value])
        body = body.replace('"DEEP"', nested(2000))
        first, marked, _, last = lenient_json.decode(body.encode())
        self.assertEqual((first, marked, last), (value, text + '"[{', value))

    def test_what_is_no_json_is_an_error(self):
        """Guards against an answer that is taken for an empty one."""
        for body in (b"", b"{", b"[" * 5000, b"]" * 5000):
            with self.assertRaises(errors.PlatformUnavailable):
                lenient_json.decode(body)


if __name__ == "__main__":
    unittest.main()
