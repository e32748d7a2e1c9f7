"""Tests of ``cassiahill.takeover``: acknowledged commits that few servers have."""

import copy
import unittest
from unittest import mock

from cassiahill import promotion_evidence, takeover
from cassiahill.statements import Access, Run
from tests.line_group import InMemoryServer
from tests.takeover_builders import TakeoverTestCase


class KeptCommitsTest(TakeoverTestCase):
    def test_waits_for_a_replica_that_was_removed_with_the_primary(self):
        """Guards against the loss of commits that a partitioned replica acknowledged.

        A draining replica was partitioned together with the primary and its entry
        expired. Another replica was then promoted without the commits of the first
        second of the partition (roll-and-reset at Entulho, seed 94884192804).
        """
        self.set_up_group()
        servers = self.fixture.servers
        draining = servers.registered("c", draining=True)
        self.fixture.group.put_server(draining, servers.registered("c"))
        servers.by_id["b"].not_receiving = True
        self.fixture.write(self.fixture.session())
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = True
        self.run_for(2.0)
        self.fixture.group.remove_server("c")  # Its entry has expired.
        self.run_for(4.0)
        self.assertEqual(self.orders.promotions, [])
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = False
        self.fixture.group.put_server(draining, None)
        self.run_for(2.0)
        self.assertEqual(self.fixture.group.primary.server_id, "a")

    def test_commits_that_only_a_removed_replica_had_are_kept(self):
        """Guards against the loss of commits that a leaving replica acknowledged.

        The primary was partitioned from the other replica while a draining one still
        acknowledged, and left. The other replica was then promoted without these
        commits, although the primary had them and answered (hunt on 027932f at the
        small Folio, mix --seed 959504336296).
        """
        self.set_up_group()
        servers = self.fixture.servers
        draining = servers.registered("c", draining=True)
        self.fixture.group.put_server(draining, servers.registered("c"))
        self.run_for(0.5)
        servers.by_id["b"].not_receiving = True
        for _ in range(3):
            self.assertIsNone(self.fixture.write(self.fixture.session()).code)
        servers.by_id["c"].unreachable = True
        self.fixture.group.remove_server("c")
        self.run_for(0.5)
        for _ in range(15):
            write = self.fixture.make_request(Run(Access.WRITE, "late"), Access.WRITE)
            self.fixture.loop.spawn(self.fixture.session().run(write))
            self.run_for(0.3)
        self.assertEqual(self.orders.promotions, [])
        servers.catch_up("b")
        self.run_for(1.0)
        acknowledged = set(servers.acknowledged)
        self.assertLessEqual(acknowledged, set(servers.by_id["b"].log))

    def test_commits_that_only_a_promoted_primary_has_are_kept(self):
        """Guards against the loss of what a lost primary's only other copy holds.

        A promoted primary that got no acknowledgements from a replica that was behind
        was replaced by it (review/1).
        """
        self.set_up_group()
        self.lose_primary_with_a_replica_behind()
        self.write_and_run(1.0)
        self.fixture.group.remove_server("a")
        self.write_and_run(6.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.fixture.servers.catch_up("b")
        self.write_and_run(2.0)
        self.assert_nothing_acknowledged_is_lost()
        self.assertIsNone(self.fixture.write(self.fixture.session()).code)

    def test_promoter_that_got_no_answer_of_the_primary_keeps_its_commits(self):
        """Guards against a promoter that relies on the former primary's position."""
        self.set_up_group()
        self.run_for(0.5)
        group = self.fixture.group
        known_of_former_primary = copy.copy(group.sole_copies)
        self.lose_primary_with_a_replica_behind()
        group.remove_server("a")
        # Unanswered writes hold the connections of this process; a status is answered.
        group.sole_copies = known_of_former_primary
        with mock.patch.object(group, "confirm_primary"):
            self.write_and_run(6.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.assert_nothing_acknowledged_is_lost()

    def test_promoted_primary_with_the_only_copy_is_awaited_when_it_crashes(self):
        """Guards against the loss of its commits to a replica that is behind."""
        self.set_up_group()
        self.lose_primary_with_a_replica_behind()
        self.fixture.group.remove_server("a")
        self.run_for(0.5)
        self.fixture.servers.by_id["c"].unreachable = True
        self.run_for(6.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["c"])
        self.fixture.servers.by_id["c"].unreachable = False
        self.fixture.servers.catch_up("b")
        self.run_for(2.0)
        self.assert_nothing_acknowledged_is_lost()

    def test_promoted_primary_that_drains_keeps_its_role_while_others_lag(self):
        """Guards against the loss of its commits by a planned replacement."""
        self.set_up_group()
        self.lose_primary_with_a_replica_behind()
        self.fixture.group.remove_server("a")
        servers = self.fixture.servers
        draining = servers.registered("c", draining=True)
        self.fixture.group.put_server(draining, servers.registered("c"))
        self.run_for(4.0)
        self.assertEqual(servers.primary, "c")
        servers.catch_up("b")
        self.run_for(2.0)
        self.assertEqual(servers.primary, "b")
        self.assert_nothing_acknowledged_is_lost()

    def test_commits_of_a_replica_that_restarted_without_its_log_are_kept(self):
        """Guards against a restarted replica that counts as one that has its log."""
        self.set_up_group()
        servers = self.fixture.servers
        self.run_for(0.5)
        servers.by_id["b"].not_receiving = True
        for _ in range(3):
            self.assertIsNone(self.fixture.write(self.fixture.session()).code)
        servers.by_id["c"].not_receiving = True
        servers.by_id["c"].log = servers.by_id["c"].log[:1]
        servers.by_id["c"].applied = 1
        restarted = servers.registered("c", started_at_ms=2)
        self.fixture.group.put_server(restarted, servers.registered("c"))
        self.write_and_run(6.0)
        self.assertEqual(self.orders.promotions, [])
        servers.catch_up("c")
        self.write_and_run(2.0)
        self.assert_nothing_acknowledged_is_lost()

    def test_wait_for_a_removed_replica_is_bounded(self):
        """Guards against a group that never gets a primary again."""
        self.set_up_group()
        servers = self.fixture.servers
        servers.by_id["a"].unreachable = servers.by_id["c"].unreachable = True
        self.run_for(2.0)
        self.fixture.group.remove_server("c")
        self.run_for(takeover.REMOVED_REPLICA_WAIT_SECONDS + 2.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["b"])

    def test_replica_that_was_removed_earlier_is_not_awaited(self):
        """Guards against an outage after a replica was removed in a planned way."""
        self.set_up_group()
        self.fixture.group.remove_server("c")
        self.run_for(1.0)
        self.fixture.servers.by_id["a"].unreachable = True
        self.run_for(3.0)
        self.assertEqual([server_id for server_id, _ in self.orders.promotions], ["b"])

    def test_commit_acknowledged_by_an_unregistered_replica_is_kept(self):
        """Guards against lost commits when a replica starts during a promotion.

        The day late-orders lost the first commits after the start of the replica, which
        was not registered yet.
        """
        for start_seconds in (0.4, 0.8, 1.2, 1.6, 2.0, 2.4):
            self.set_up_group()
            self.isolate_primary()
            self.write_and_run(start_seconds)
            primary = self.fixture.servers.by_id["a"]
            self.fixture.servers.by_id["new"] = InMemoryServer(
                "new", "domain-a", primary.log[:]
            )
            self.write_and_run(5.0)
            for server_id, _ in self.orders.promotions[:1]:
                log = self.fixture.servers.by_id[server_id].log
                for position in self.fixture.servers.acknowledged_before_promotion:
                    self.assertIn(position, log, start_seconds)

    def test_commits_that_a_new_replica_acknowledged_to_others_are_kept(self):
        """Guards against lost commits that this proxy did not see acknowledged.

        A replica registered while the others were paused, and acknowledged commits of
        other proxies (late-orders --vary --seed 51681400258 at the small Folio).
        """
        for start_seconds in (0.4, 0.8, 1.2, 1.6, 2.0):
            self.set_up_group()
            servers = self.fixture.servers
            self.isolate_primary()
            self.write_and_run(start_seconds)
            primary = servers.by_id["a"]
            servers.by_id["new"] = InMemoryServer("new", "domain-a", primary.log[:])
            if servers.primary == "a" and servers.commit(primary):
                servers.acknowledged.append(primary.received)
            self.fixture.group.put_server(servers.registered("new"), None)
            self.run_for(5.0)
            for server_id, _ in self.orders.promotions[:1]:
                log = servers.by_id[server_id].log
                for position in servers.acknowledged_before_promotion:
                    self.assertIn(position, log, start_seconds)

    def test_replica_that_only_others_know_is_awaited_for_a_while(self):
        """Guards against lost commits of a replica that the promoter cannot pause.

        A replica that stays away is treated as gone, so that the group gets a primary.
        """
        evidence = mock.Mock(wraps=promotion_evidence.PromotionEvidence())
        evidence.replicas_known_to_others.side_effect = lambda _group: {"b", "new"}
        self.set_up_group(evidence=evidence)
        self.drain_primary()
        self.run_for(2.5)
        self.assertEqual(self.orders.promotions, [])
        self.run_for(2.0)
        self.assertNotEqual(self.fixture.group.primary.server_id, "a")


if __name__ == "__main__":
    unittest.main()
