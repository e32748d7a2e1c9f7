"""Tests of ``cassiahill.digests``."""

import unittest

from cassiahill import digests


class BucketDigestsTest(unittest.TestCase):
    def test_equal_contents_have_equal_digests_in_any_order(self):
        """Guards against comparisons that never end, and against missed differences."""
        one, other = digests.BucketDigests(), digests.BucketDigests()
        for number in range(200):
            one.toggle_item(f"n{number}", number)
            other.toggle_item(f"n{199 - number}", 199 - number)
        self.assertEqual(one.root, other.root)
        self.assertEqual(one.differing_buckets(other.to_tuple()), frozenset())
        other.toggle_item("n7", 7)
        other.toggle_item("n7", 8)
        self.assertNotEqual(one.root, other.root)
        self.assertEqual(
            one.differing_buckets(other.to_tuple()), {digests.bucket_of("n7")}
        )
        other.toggle_item("n7", 8)
        other.toggle_item("n7", 7)
        self.assertEqual(one.root, other.root)
