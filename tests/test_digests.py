"""Tests of ``cassiahill.digests``."""

import unittest

from cassiahill import digests


class BucketDigestsTest(unittest.TestCase):
    def test_equal_contents_have_equal_digests_in_any_order(self):
        """Guards against comparisons that never end, or that miss differences."""
        first, second = digests.BucketDigests(), digests.BucketDigests()
        for number in range(200):
            first.toggle_item(f"n{number}", number)
            second.toggle_item(f"n{199 - number}", 199 - number)
        self.assertEqual(first.root, second.root)
        self.assertEqual(first.differing_buckets(second.to_tuple()), frozenset())
        second.toggle_item("n7", 7)
        second.toggle_item("n7", 8)
        self.assertNotEqual(first.root, second.root)
        self.assertEqual(
            first.differing_buckets(second.to_tuple()), {digests.bucket_of("n7")}
        )
        second.toggle_item("n7", 8)
        second.toggle_item("n7", 7)
        self.assertEqual(first.root, second.root)
