"""Tests of ``adapter.lenient_json``."""

import json
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import errors
from tests import adapter_path
from tests.foreign_entries import DAMAGED_VALUES

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

    def test_value_does_not_depend_on_its_neighbours(self):
        """Guards against an entry that decides how another one is read."""
        for value in DAMAGED_VALUES:
            expected = lenient_json.decode_or_none(value)
            for neighbour in DAMAGED_VALUES:
                items = b'{"items":[%s,%s]}' % (neighbour, value)
                members = lenient_json.split_members(items)
                parts = lenient_json.split_items(members["items"])
                self.assertEqual(len(parts), 2, (neighbour, value))
                self.assertEqual(lenient_json.decode_or_none(parts[1]), expected)

    def test_damage_is_confined_to_the_smallest_value(self):
        """Guards against a name that is lost because the content is damaged."""
        for value in (b"tru", b"[1,]", b"1e999", b"1" + b"0" * 5000, b'{"a" 1}'):
            event = b'{"object":{"meta":{"name":"a"},"spec":%s}}' % value
            decoded = lenient_json.decode(event)
            self.assertEqual(decoded["object"]["meta"], {"name": "a"}, value)

    def test_all_values_can_be_encoded_again(self):
        """Guards against one entry that ends the answers to peers and operators."""
        for value in DAMAGED_VALUES:
            msgspec.json.encode(lenient_json.decode_or_none(value))

    def test_bodies_are_split_as_a_decoder_does(self):
        """Guards against another reading of the bodies that a decoder refuses."""
        bodies = (b"[]", b"[ ]", b" [1, [2, 3] ,{}]\n", b'["a,]\\"", 7]')
        for body in bodies:
            split = lenient_json._split(body, b"[", b"]")
            self.assertEqual(list(map(json.loads, split)), json.loads(body))
        body = b'{ "a" : {"b":[1,2]} , "c:,":"}" }'
        split = lenient_json._split(body, b"{", b"}")
        values = dict(zip(split[::2], split[1::2], strict=True))
        decoded = {json.loads(k): json.loads(v) for k, v in values.items()}
        self.assertEqual(decoded, json.loads(body))

    def test_what_is_no_json_is_an_error(self):
        """Guards against an answer that is taken for an empty one."""
        for body in (b"", b"{", b"[" * 5000, b"]" * 5000):
            with self.assertRaises(errors.PlatformUnavailable):
                lenient_json.decode(body)
            with self.assertRaises(errors.PlatformUnavailable):
                lenient_json.split_members(body)


if __name__ == "__main__":
    unittest.main()
