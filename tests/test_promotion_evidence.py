"""Tests of what a promoter must know that it has not seen itself."""

import unittest

import msgspec

from cassiahill import errors, heartbeats
from cassiahill.loop import completed_future, failed_future
from cassiahill.positions import LogPosition
from cassiahill.promoter_election import PROMOTER_NAME
from cassiahill.promotion_evidence import (
    EVIDENCE_TIMEOUT_SECONDS,
    FleetEvidence,
    answer_notice,
)
from cassiahill.shared_store import Revision, StoredObject
from tests.memory_fleet import MemoryFleet
from tests.promotion_builders import (
    AnsweringMembers,
    PromoterFixture,
    promoter_of_term,
)
from tests.session_builders import GroupFixture
from tests.stepped_loop import SteppedLoop

OLDER_TERM = Revision(2, 7)
NEWER_TERM = Revision(2, 8)


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


def seen(position):
    """Return the future of an answer to a notice that has an effect."""
    return completed_future(heartbeats.encode_commit(position))


class AskedProxiesTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.addCleanup(self.loop.close)
        self.election = promoter_of_term(self.loop, OLDER_TERM)

    def ask(self, futures_by_name):
        """Ask proxies that answer with these futures; return the positions."""
        self.members = AnsweringMembers(futures_by_name, self.election)
        self.evidence = FleetEvidence(
            self.loop, None, self.members, lambda _group: set()
        )

        def wait_for_answers():
            return (yield self.evidence.ask_about_promotion("orders", "b"))

        return self.loop.result(wait_for_answers())

    def test_proxies_that_do_not_answer_are_left_out(self):
        """Guards against a promotion that fails because another proxy is down."""
        positions = self.ask(
            {
                "proxy-1": seen(LogPosition(1, 7)),
                "proxy-2": failed_future(errors.ConnectionLost("down")),
                "proxy-3": seen(None),
            }
        )
        self.assertEqual(positions, [LogPosition(1, 7)])

    def test_former_promoter_learns_of_its_succession(self):
        """Guards against a former promoter that acts while the store is silent to it.

        Its notices and orders went on until the store answered it again.
        """
        refusal = heartbeats.encode_commit(LogPosition(1, 7), NEWER_TERM)
        answers = {"proxy-1": seen(None), "proxy-3": completed_future(refusal)}
        self.assertTrue(self.election.is_promoter)
        self.assertIsNone(self.ask(answers))
        self.assertFalse(self.election.is_promoter)
        self.assertIsNone(self.election.next_token())
        self.assertIsNone(self.ask({"proxy-1": seen(None)}))

    def test_replicas_that_others_are_connected_to_are_known(self):
        """Guards against a promoter that does not know of a replica.

        Its entry has expired with an outage of the store, and the promoter has started
        since. Other proxies still use the replica.
        """
        fixture = GroupFixture()
        election = promoter_of_term(fixture.loop, OLDER_TERM)
        notice = heartbeats.PromotionNotice("orders", "b", 2, 7)
        commit = answer_notice(notice, fixture.group, election)
        self.assertEqual(commit.replica_ids, ["b", "c"])
        body = msgspec.json.encode(commit)
        answers = {"proxy-1": completed_future(heartbeats.decode_commit(body))}
        self.ask(answers)
        known_ids = self.evidence.replicas_known_to_others("orders")
        self.assertEqual(known_ids, {"b", "c"})

    def test_predecessor_is_told(self):
        """Guards against a former promoter that is none of the known connected proxies.

        A promoter that has just started has no heartbeats of others yet.
        """
        self.election.predecessor_name = "proxy-9"
        self.ask({})
        self.assertEqual(self.members.asked_names, {"proxy-9"})

    def test_commit_survives_its_message(self):
        """Guards against a position that the receiving proxy reads differently."""
        notice = heartbeats.PromotionNotice("orders", "b", 2, 7)
        body = msgspec.json.encode(notice)
        self.assertEqual(heartbeats.decode_promotion_notice(body), notice)
        self.assertEqual(notice.promoter_term, Revision(2, 7))
        for position in (LogPosition(3, 12), None):
            for newer_term in (NEWER_TERM, None):
                commit = heartbeats.encode_commit(position, newer_term)
                decoded = heartbeats.decode_commit(msgspec.json.encode(commit))
                self.assertEqual(decoded.position, position)
                self.assertEqual(decoded.newer_term, newer_term)
        with self.assertRaises(errors.MalformedRequest):
            heartbeats.decode_commit(b'{"term":"x"}')


class NoticeTest(unittest.TestCase):
    """A proxy that hears of promotions from two promoters."""

    def setUp(self):
        self.fixture = GroupFixture()
        self.group = self.fixture.group
        self.election = promoter_of_term(self.fixture.loop, OLDER_TERM)

    def notify(self, successor, term):
        """Let a notice arrive; return the ``NewestCommit`` in the answer."""
        notice = heartbeats.PromotionNotice("orders", successor, term.era, term.number)
        return answer_notice(notice, self.group, self.election)

    def test_older_notice_is_ignored(self):
        """Guards against a former promoter that learns of no newer one, and orders."""
        self.assertIsNone(self.notify("b", NEWER_TERM).newer_term)
        for successor in ("b", "c"):
            answer = self.notify(successor, OLDER_TERM)
            self.assertEqual(answer.newer_term, NEWER_TERM)
            self.assertEqual(answer.replica_ids, [])
        answer = self.notify("c", NEWER_TERM)
        self.assertIsNone(answer.newer_term)
        self.assertEqual(answer.replica_ids, ["b", "c"])

    def test_era_decides_first(self):
        """Guards against a promoter after a restore whose notices are ignored."""
        after_restore = Revision(NEWER_TERM.era + 1, 1)
        self.notify("b", NEWER_TERM)
        self.assertIsNone(self.notify("c", after_restore).newer_term)
        self.assertEqual(self.notify("b", NEWER_TERM).newer_term, after_restore)

    def test_promoter_that_is_told_of_a_newer_one_acts_no_more(self):
        """Guards against two promoters while the store does not answer one of them."""
        self.assertTrue(self.election.is_promoter)
        self.notify("b", NEWER_TERM)
        self.assertFalse(self.election.is_promoter)
        self.assertIsNone(self.election.next_token())

    def test_term_that_the_store_states_counts(self):
        """Guards against a notice of a promoter that the store names no more."""
        self.election.apply_stored(
            StoredObject(PROMOTER_NAME, NEWER_TERM, {"holder": "proxy-3"})
        )
        answer = self.notify("b", OLDER_TERM)
        self.assertEqual(answer.newer_term, NEWER_TERM)
        self.assertEqual(answer.replica_ids, [])

    def test_notice_of_an_earlier_release_counts(self):
        """Guards against a promotion that asks nobody during a rolling update."""
        notice = heartbeats.decode_promotion_notice(
            b'{"group":"orders","successor":"b"}'
        )
        answer = answer_notice(notice, self.group, self.election)
        self.assertIsNone(answer.newer_term)
        self.assertEqual(answer.replica_ids, ["b", "c"])
        self.assertTrue(self.election.is_promoter)

    def test_notice_for_an_unknown_group_is_answered(self):
        """Guards against a proxy without the group that hides a newer term."""
        notice = heartbeats.PromotionNotice("unknown", "b", NEWER_TERM.era, 999)
        answer = answer_notice(notice, None, self.election)
        self.assertIsNone(answer.position)
        self.assertFalse(self.election.is_promoter)


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
