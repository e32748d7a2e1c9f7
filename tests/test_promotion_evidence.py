"""Tests of what a promoter must know that it has not seen itself."""

import unittest

import msgspec

from cassiahill import errors, heartbeats
from cassiahill.loop import completed_future, failed_future
from cassiahill.positions import LogPosition
from cassiahill.promotion_evidence import EVIDENCE_TIMEOUT_SECONDS, FleetEvidence
from tests.memory_fleet import MemoryFleet
from tests.promotion_builders import AnsweringMembers, PromoterFixture
from tests.stepped_loop import SteppedLoop


class UnknownReplicaTest(unittest.TestCase):
    """Replica ``b`` receives nothing, and ``c`` acknowledges the commits."""

    def setUp(self):
        self.promoter = PromoterFixture()

    def write_through_c(self):
        """Let commits be acknowledged that ``b`` does not receive."""
        self.promoter.servers["b"].not_receiving = True
        self.promoter.write(5)

    def test_replica_that_lapsed_before_the_promoter_started_is_awaited(self):
        """Guards against lost commits that only a crashed replica acknowledged."""
        promoter = self.promoter
        self.write_through_c()
        promoter.servers["c"].unreachable = True
        promoter.servers["a"].unreachable = True
        promoter.start_promoter(("a", "b"))
        promoter.run_for(5.0)
        self.assertEqual(promoter.lost_commits, [])
        promoter.servers["c"].unreachable = False
        promoter.register("c")
        promoter.run_for(4.0)
        self.assertEqual(promoter.lost_commits, [])
        self.assertEqual(promoter.fixture.servers.primary, "c")

    def test_replica_that_the_promoters_watch_has_missed_is_asked(self):
        """Guards against lost commits of a replica in the store's list of servers."""
        promoter = self.promoter
        promoter.start_promoter(("a", "b"))
        promoter.run_for(1.0)
        self.write_through_c()
        promoter.servers["a"].unreachable = True
        promoter.run_for(5.0)
        self.assertEqual(promoter.lost_commits, [])
        self.assertEqual(promoter.fixture.servers.primary, "c")


class AskedProxiesTest(unittest.TestCase):
    def ask(self, futures_by_name):
        """Ask proxies that answer with these futures; return the positions."""
        loop = SteppedLoop()
        self.addCleanup(loop.close)
        members = AnsweringMembers(futures_by_name)
        evidence = FleetEvidence(loop, None, members, lambda _group: set())

        def wait_for_answers():
            return (yield evidence.announce_promotion("orders", "b"))

        return loop.result(wait_for_answers())

    def test_proxies_that_do_not_answer_are_left_out(self):
        """Guards against a promotion that fails because another proxy is down."""
        positions = self.ask(
            {
                "proxy-1": completed_future(LogPosition(1, 7)),
                "proxy-2": failed_future(errors.ConnectionLost("down")),
                "proxy-3": completed_future(None),
            }
        )
        self.assertEqual(positions, [LogPosition(1, 7)])

    def test_commit_survives_its_message(self):
        """Guards against a position that the receiving proxy reads differently."""
        notice = heartbeats.PromotionNotice("orders", "b")
        body = msgspec.json.encode(notice)
        self.assertEqual(heartbeats.decode_promotion_notice(body), notice)
        for position in (LogPosition(3, 12), None):
            body = msgspec.json.encode(heartbeats.encode_commit(position))
            self.assertEqual(heartbeats.decode_commit(body).position, position)
        with self.assertRaises(errors.MalformedRequest):
            heartbeats.decode_commit(b'{"term":"x"}')


class StoredServersTest(unittest.TestCase):
    def test_registration_that_all_watches_have_missed_is_found(self):
        """Guards against a promoter that trusts a watch which hears nothing."""
        fleet = MemoryFleet(3, connected_share=1.0)
        self.addCleanup(fleet.loop.close)
        fleet.loop.advance(8.0)
        fleet.store_is_silent = True
        fleet.loop.advance(1.0)
        fleet.write("servers", "d", {})
        fleet.loop.advance(0.5)
        fleet.store_is_silent = False
        process = fleet.processes_by_name["proxy-1"]
        self.assertNotIn("d", process.catalog.servers_by_id)
        deadline = fleet.loop.clock.now() + EVIDENCE_TIMEOUT_SECONDS
        self.assertTrue(fleet.loop.result(process.feed.update_servers(deadline)))
        self.assertIn("d", process.catalog.servers_by_id)

    def test_silent_store_delays_a_promotion_by_little(self):
        """Guards against a group without a primary while the store is away."""
        fleet = MemoryFleet(3, connected_share=1.0)
        self.addCleanup(fleet.loop.close)
        fleet.loop.advance(8.0)
        fleet.store_is_silent = True
        asked_at = fleet.loop.clock.now()
        deadline = asked_at + EVIDENCE_TIMEOUT_SECONDS
        feed = fleet.processes_by_name["proxy-1"].feed
        self.assertFalse(fleet.loop.result(feed.update_servers(deadline)))
        self.assertLess(fleet.loop.clock.now() - asked_at, 0.4)


if __name__ == "__main__":
    unittest.main()
