"""Tests of ``cassiahill.reachability``."""

import unittest

from cassiahill.reachability import (
    Contact,
    PeerContacts,
    is_partitioned,
    partitioned_since,
    relevant_contacts,
)
from cassiahill.regions import Regions
from tests.region_builders import regions_seen_from


class PartitionTest(unittest.TestCase):
    def test_partitioned_when_no_other_domain_answers(self):
        """Guards against a proxy that takes clients it cannot serve."""
        contacts = [Contact("x", 9.9, False), Contact("y", 9.0, True)]
        self.assertTrue(is_partitioned("x", contacts, 10.0))

    def test_one_answering_domain_is_enough(self):
        """Guards against proxies that refuse clients because of one failed server."""
        contacts = [Contact("y", 9.0, True), Contact("z", 9.9, False)]
        self.assertFalse(is_partitioned("x", contacts, 10.0))

    def test_last_answer_from_another_domain(self):
        """Guards against an answer inside the own domain that hides a partition."""
        contacts = [Contact("x", 9.9, False), Contact("y", 9.0, True)]
        for answered_at in (9.9, 9.999, 10.0):
            contacts[0] = Contact("x", answered_at, False)
            self.assertTrue(is_partitioned("x", contacts, 10.0))
        self.assertFalse(is_partitioned("x", contacts[:1], 10.0))

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


class CutBetweenRegionsTest(unittest.TestCase):
    def setUp(self):
        """See four servers in the other region, and none in the own one."""
        self.regions = regions_seen_from("north-a")
        self.far_servers = [Contact("south-a", 9.0, True)] * 4

    def is_partitioned(self, servers, peers):
        """Return whether a proxy in ``north-a`` is partitioned."""
        contacts = relevant_contacts("north-a", servers, peers, self.regions)
        return is_partitioned("north-a", contacts, 10.0)

    def test_answering_peer_of_the_own_region_is_enough(self):
        """Guards against a region that refuses what its own servers could serve.

        An owner whose servers elsewhere are all in the other region would decide by
        these alone.
        """
        peers = [Contact("north-b", 9.9, False), Contact("region south", 9.0, True)]
        self.assertFalse(self.is_partitioned(self.far_servers, peers))
        one_near_failed = [*self.far_servers, Contact("north-b", 9.0, True)]
        self.assertFalse(self.is_partitioned(one_near_failed, peers))

    def test_silent_servers_in_both_regions_suffice(self):
        """Guards against a cut domain that waits for its peers before it decides."""
        near_servers = [Contact("north-b", 9.0, True), Contact("north-c", 9.0, True)]
        self.assertTrue(
            self.is_partitioned(
                self.far_servers + near_servers, [Contact("north-b", 9.9, False)]
            )
        )

    def test_answering_server_of_the_own_region_is_enough(self):
        """Guards against writes refused beside a primary and a replica in a region."""
        servers = [*self.far_servers, Contact("north-c", 9.9, False)]
        self.assertFalse(self.is_partitioned(servers, []))

    def test_peers_of_another_region_count_as_one_domain(self):
        """Guards against a partition hidden by an old answer of another far domain."""
        peers = PeerContacts("north-a", 0.0, self.regions)
        peers.record("south-a", True, 1.0)
        peers.record("south-b", True, 1.1)
        for domain in ("north-b", "north-c", "south-b"):
            peers.record(domain, False, 9.0)
        peers.record("north-a", True, 9.0)
        self.assertFalse(peers.is_partitioned(9.1))
        self.assertTrue(peers.is_partitioned(10.0))

    def test_region_of_few_domains_keeps_the_domains_apart(self):
        """Guards against a partition seen where one process elsewhere failed."""
        regions = Regions("a", {"a": "north", "b": "south", "c": "south"})
        peers = PeerContacts("a", 0.0, regions)
        for domain in ("a", "c"):
            peers.record(domain, True, 9.0)
        peers.record("b", True, 8.0)
        peers.record("b", False, 9.0)
        self.assertFalse(peers.is_partitioned(9.1))

    def test_region_asked_for_the_first_time_does_not_delay(self):
        """Guards against a partition noticed later, as few proxies ask across."""
        peers = PeerContacts("north-a", 0.0, self.regions)
        for domain in ("north-b", "north-c"):
            peers.record(domain, True, 8.0)
        for domain in ("north-b", "north-c", "south-b"):
            peers.record(domain, False, 9.0)
        self.assertTrue(peers.is_partitioned(9.0))
        self.assertFalse(PeerContacts("north-a", 9.0, self.regions).is_partitioned(9.1))


if __name__ == "__main__":
    unittest.main()
