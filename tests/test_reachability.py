"""Tests of ``cassiahill.reachability``."""

import unittest

from cassiahill.reachability import (
    Contact,
    is_partitioned,
    partitioned_since,
    relevant_contacts,
)


class CutOffTest(unittest.TestCase):
    def test_cut_off_when_all_other_domains_are_silent(self):
        """Guards against a proxy that takes clients it cannot serve."""
        contacts = [Contact("x", 9.9, False), Contact("y", 9.0, True)]
        self.assertTrue(is_partitioned("x", contacts, 10.0))

    def test_one_answering_domain_is_enough(self):
        """Guards against proxies that leave the rotation for one dead server."""
        contacts = [Contact("y", 9.0, True), Contact("z", 9.9, False)]
        self.assertFalse(is_partitioned("x", contacts, 10.0))

    def test_quiet_servers_are_not_silent(self):
        """Guards against a cut seen where nothing was asked."""
        self.assertFalse(is_partitioned("x", [Contact("y", 1.0, False)], 10.0))

    def test_cut_ends_with_an_answer_only(self):
        """Guards against a proxy that takes clients for a moment during a cut."""
        silent = [Contact("y", 9.0, True)]
        since = partitioned_since(None, "x", silent, 10.0)
        self.assertEqual(since, 10.0)
        quiet = [Contact("y", 9.0, False)]
        self.assertEqual(partitioned_since(since, "x", quiet, 10.1), 10.0)
        answered = [Contact("y", 10.5, False)]
        self.assertIsNone(partitioned_since(since, "x", answered, 10.6))

    def test_few_silent_servers_need_silent_peers(self):
        """Guards against owners of one group that leave with its primary."""
        servers = [Contact("y", 9.0, True), Contact("z", 9.0, True)]
        peers = [Contact("y", 9.9, False)]
        judged = relevant_contacts("x", servers, peers)
        self.assertFalse(is_partitioned("x", judged, 10.0))
        judged = relevant_contacts("x", servers * 2, peers)
        self.assertTrue(is_partitioned("x", judged, 10.0))

    def test_single_domain_is_never_cut_off(self):
        """Guards against a deployment of one domain that refuses everybody."""
        self.assertFalse(is_partitioned("x", [Contact("x", 1.0, True)], 10.0))


if __name__ == "__main__":
    unittest.main()
