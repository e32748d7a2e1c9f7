"""Tests of ``cassiahill.reachability``."""

import unittest

from cassiahill.reachability import (
    Contact,
    is_partitioned,
    partitioned_since,
    relevant_contacts,
)


class PartitionTest(unittest.TestCase):
    def test_partitioned_when_no_other_domain_answers(self):
        """Guards against a proxy that takes clients it cannot serve."""
        contacts = [Contact("x", 9.9, False), Contact("y", 9.0, True)]
        self.assertTrue(is_partitioned("x", contacts, 10.0))

    def test_one_answering_domain_is_enough(self):
        """Guards against proxies that refuse clients because of one failed server."""
        contacts = [Contact("y", 9.0, True), Contact("z", 9.9, False)]
        self.assertFalse(is_partitioned("x", contacts, 10.0))

    def test_servers_that_were_not_asked_are_not_unreachable(self):
        """Guards against a partition detected where nothing was sent."""
        self.assertFalse(is_partitioned("x", [Contact("y", 1.0, False)], 10.0))

    def test_partition_ends_with_an_answer_only(self):
        """Guards against a proxy that takes clients for a moment while partitioned."""
        unanswered = [Contact("y", 9.0, True)]
        since = partitioned_since(None, "x", unanswered, 10.0)
        self.assertEqual(since, 10.0)
        not_asked = [Contact("y", 9.0, False)]
        self.assertEqual(partitioned_since(since, "x", not_asked, 10.1), 10.0)
        answered = [Contact("y", 10.5, False)]
        self.assertIsNone(partitioned_since(since, "x", answered, 10.6))

    def test_few_unreachable_servers_need_unreachable_peers(self):
        """Guards against group owners that refuse clients because the primary died."""
        servers = [Contact("y", 9.0, True), Contact("z", 9.0, True)]
        peers = [Contact("y", 9.9, False)]
        contacts = relevant_contacts("x", servers, peers)
        self.assertFalse(is_partitioned("x", contacts, 10.0))
        contacts = relevant_contacts("x", servers * 2, peers)
        self.assertTrue(is_partitioned("x", contacts, 10.0))

    def test_single_domain_is_never_partitioned(self):
        """Guards against a deployment in one domain that refuses all clients."""
        self.assertFalse(is_partitioned("x", [Contact("x", 1.0, True)], 10.0))


if __name__ == "__main__":
    unittest.main()
