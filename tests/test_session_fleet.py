"""Tests of ``cassiahill.session_fleet`` with an in-memory store and no network."""

import itertools
import random
import unittest

import msgspec

from cassiahill import errors, session_fleet
from cassiahill.heartbeats import Heartbeat, Member, View
from cassiahill.loop import failed_future
from cassiahill.member_registry import PROXIES_KIND, WATCH_PAUSE_SECONDS
from cassiahill.process_state import ProcessState
from cassiahill.promoter_election import PROMOTER_NAME, FencingTokens
from cassiahill.session_fleet import SessionFleet
from cassiahill.shared_store import MemorySharedStore, Revision
from cassiahill.store_readers import REGISTRATION_WAIT_SECONDS
from tests.stepped_loop import SteppedLoop

# Time from the knowledge of the fleet to a claim: up to two heartbeat intervals.
CLAIM_SECONDS = 2 * session_fleet.HEARTBEAT_INTERVAL_SECONDS


class FixedProcessState(ProcessState):
    """A connected process whose state the test sets."""

    def __init__(self):
        self.unreachable_groups = []
        self.partitioned = False

    def versions(self):
        return 1, Revision(1, 1)

    def connected_groups(self):
        return ["orders"]

    def groups_without_primary(self):
        return self.unreachable_groups

    def demand_by_group(self):
        return {}

    def apply_total_demand(self, total_demand_by_group):
        pass

    def is_partitioned(self):
        return self.partitioned

    def view(self, known):
        return View(None, 1, {})

    def is_store_unreachable(self):
        return False

    def reference_member(self):
        return None

    def apply_view(self, view, peer):
        pass

    def set_following(self, following):
        pass

    def set_watch_wait(self, seconds):
        pass

    def record_announcement(self, servers_revision):
        pass

    def request_lists(self):
        pass

    def read_configuration(self, version):
        return True
        yield

    def on_members_changed(self):
        pass


class FleetWithoutHeartbeats(SessionFleet):
    """Sends no heartbeats, so that no other proxy answers."""

    def _start_heartbeat(self, member):
        pass


class AnswerLosingStore(MemorySharedStore):
    """Carries out writes but loses the next answers."""

    answers_to_lose = 0

    def replace(self, kind, name, value, revision):
        return self._lose_answer(super().replace(kind, name, value, revision))

    def create(self, kind, name, value):
        return self._lose_answer(super().create(kind, name, value))

    def _lose_answer(self, future):
        if self.answers_to_lose and future.exception() is None:
            self.answers_to_lose -= 1
            return failed_future(errors.PlatformUnavailable("the answer was lost"))
        return future


class FleetTest(unittest.TestCase):
    """Base of tests that start proxies on one store."""

    def setUp(self):
        self.loop = SteppedLoop()
        self.store = AnswerLosingStore()
        self.fleet_started = False

    def start(self, name, partitioned=False):
        """Start a proxy and advance the clock until it has registered.

        The first one claims the promoter's role only once it knows the fleet.
        """
        process_state = FixedProcessState()
        process_state.partitioned = partitioned
        own_member = Member(name, ("127.0.0.1", 1), ("127.0.0.1", 2), "domain-a")
        fleet = FleetWithoutHeartbeats(
            self.loop, self.store, own_member, random.Random(1), process_state
        )
        self.loop.advance(2.0)
        if not self.fleet_started:
            self.fleet_started = True
            self.loop.advance(REGISTRATION_WAIT_SECONDS + CLAIM_SECONDS - 2.0)
        return fleet

    def promoters_of(self, *fleets):
        """Return the fleets whose process takes itself for the promoter."""
        return [fleet for fleet in fleets if fleet.election.is_promoter]


class PromoterTest(FleetTest):
    def test_first_proxy_becomes_promoter(self):
        """Guards against a deployment without a promoter."""
        self.assertTrue(self.start("p1").election.is_promoter)

    def test_unanswering_promoter_is_replaced(self):
        """Guards against two proxies that both act as the promoter.

        They do not answer each other, so they take turns. A former promoter may take
        itself for the promoter only until its next watch of the store.
        """
        first_fleet = self.start("p1")
        second_fleet = self.start("p2")
        promoter_counts = []
        was_replaced = False
        for _ in range(80):
            promoters = self.promoters_of(first_fleet, second_fleet)
            promoter_counts.append(len(promoters))
            was_replaced |= promoters == [second_fleet]
            self.loop.advance(0.1)
        self.assertTrue(was_replaced)
        both_in_row = max(
            len(list(group))
            for count, group in itertools.groupby(promoter_counts)
            if count == 2
        )
        self.assertLessEqual(both_in_row * 0.1, WATCH_PAUSE_SECONDS + 0.1)

    def test_tokens_increase_with_promoter_and_order(self):
        """Guards against a token that is used by two promoters or two orders."""
        fleets = [self.start(f"p{number}") for number in range(4)]
        tokens_by_promoter = {}
        for _ in range(40):
            self.loop.advance(0.5)
            for fleet in self.promoters_of(*fleets):
                key = (fleet._own_member.name, fleet.election._tokens.revision)
                tokens_by_promoter.setdefault(key, []).append(
                    fleet.election.next_token()
                )
        by_revision = sorted(tokens_by_promoter.items(), key=lambda item: item[0][1])
        tokens = [token for _, issued in by_revision for token in issued]
        self.assertGreater(len(tokens_by_promoter), 3)
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_unanswered_claim_is_detected(self):
        """Guards against a promoter that is unaware of its role."""
        self.store.answers_to_lose = 2
        fleet = self.start("p1")
        self.loop.advance(2.0)
        self.assertTrue(fleet.election.is_promoter)
        stored = self.store.get(PROXIES_KIND, PROMOTER_NAME).result()
        first_token = FencingTokens(stored.revision).next_token()
        self.assertEqual(fleet.election.next_token(), first_token)

    def test_restarted_promoter_gets_a_new_term(self):
        """Guards against a restarted process that reuses its tokens."""
        first_token = self.start("p1").election.next_token()
        restarted_fleet = self.start("p1")
        self.loop.advance(1.0)
        self.assertGreater(restarted_fleet.election.next_token(), first_token)

    def test_former_promoter_loses_the_role_on_confirmation(self):
        """Guards against orders based on a role that was lost during a partition."""
        first_fleet = self.start("p1")
        self.store.write(
            PROXIES_KIND, PROMOTER_NAME, {"holder": "p9", "incarnation": "x"}
        )
        self.assertFalse(
            self.loop.result(_wait(first_fleet.election.confirm_promoter()))
        )
        self.assertIsNone(first_fleet.election.next_token())

    def test_promoter_whose_claim_is_lost_orders_nothing_until_it_claims_again(self):
        """Guards against two promoters after the store has lost a claim."""
        copied = self.store.copy()
        fleet = self.start("p1")
        tokens_before = fleet.election._tokens
        self.store.restore(copied)
        self.assertFalse(self.loop.result(_wait(fleet.election.confirm_promoter())))
        self.assertIsNone(fleet.election.next_token())
        self.loop.advance(1.0)
        self.assertTrue(fleet.election.is_promoter)
        self.assertGreater(fleet.election._tokens.revision, tokens_before.revision)

    def test_promoter_keeps_the_role_while_the_store_is_down(self):
        """Guards against keeping a failed primary while the store is down."""
        fleet = self.start("p1")
        self.store.available = False
        self.assertTrue(self.loop.result(_wait(fleet.election.confirm_promoter())))
        self.assertIsNotNone(fleet.election.next_token())

    def test_silent_store_confirms_no_promoter_strictly(self):
        """Guards against a former promoter that ends pauses of its successor."""
        fleet = self.start("p1")
        self.assertTrue(
            self.loop.result(_wait(fleet.election.confirm_promoter(strictly=True)))
        )
        self.store.available = False
        self.assertFalse(
            self.loop.result(_wait(fleet.election.confirm_promoter(strictly=True)))
        )
        self.assertTrue(fleet.election.is_promoter)

    def test_promoter_that_was_told_of_a_newer_term_claims_a_newer_one(self):
        """Guards against a deployment without a promoter, or tokens below others'.

        The store names the process as before, so that its claim is not refused.
        """
        fleet = self.start("p1")
        own_revision = fleet.election.term_revision
        heard_of = Revision(own_revision.era, own_revision.number + 1)
        self.assertTrue(fleet.election.record_term(heard_of))
        self.assertIsNone(fleet.election.next_token())
        self.store.write(PROXIES_KIND, "proxy.other", {})
        self.loop.advance(2.0)
        self.assertGreater(fleet.election.term_revision, heard_of)
        self.assertFalse(fleet.election.record_term(own_revision))

    def test_resigned_promoter_pauses_before_claiming_again(self):
        """Guards against a promoter that resigns and claims the role again at once."""
        fleet = self.start("p1")
        fleet.election.resign()
        self.assertIsNone(fleet.election.next_token())
        self.loop.advance(1.0)
        self.assertFalse(fleet.election.is_promoter)
        self.loop.advance(4.0)
        self.assertTrue(fleet.election.is_promoter)

    def test_tokens_stay_below_those_of_the_next_revision(self):
        """Guards against a token in the range of the next promoter."""
        tokens = FencingTokens(Revision(1, 7))
        issued = [
            token for token in (tokens.next_token() for _ in range(2000)) if token
        ]
        self.assertLess(max(issued), FencingTokens(Revision(1, 8)).next_token())
        self.assertIsNone(tokens.next_token())


class PartitionTest(FleetTest):
    def test_partitioned_proxy_makes_no_claim_after_healing(self):
        """Guards against a promoter that acts on what it saw in a partition.

        In incidents inc-f993 and inc-f829 a proxy that had been partitioned became the
        promoter and replaced healthy primaries.
        """
        first_fleet = self.start("p1")
        revision_before = first_fleet.election.promoter.revision
        second_fleet = self.start("p2", partitioned=True)
        self.loop.advance(6.0)
        second_fleet._process_state.partitioned = False
        self.loop.advance(0.5)
        stored = self.store.get(PROXIES_KIND, PROMOTER_NAME).result()
        self.assertEqual(stored.revision, revision_before)


class RegistrationTest(FleetTest):
    def test_entry_is_written_after_an_unanswered_write(self):
        """Guards against a proxy that stays unregistered after a failed write."""
        self.store.answers_to_lose = 1
        self.start("p1")
        self.loop.advance(3.0)
        stored = self.store.get(PROXIES_KIND, "proxy.p1").result()
        self.assertEqual(stored.value["failure_domain"], "domain-a")

    def test_restart_does_not_change_the_entry(self):
        """Guards against a restart that ends the watches of all proxies."""
        self.start("p1")
        revision_before = self.store.get(PROXIES_KIND, "proxy.p1").result().revision
        self.start("p1")
        revision_after = self.store.get(PROXIES_KIND, "proxy.p1").result().revision
        self.assertEqual(revision_after, revision_before)

    def test_entry_is_written_again_after_its_removal(self):
        """Guards against a proxy that stays unregistered after a deletion."""
        self.start("p1")
        self.store.delete(PROXIES_KIND, "proxy.p1")
        self.loop.advance(6.0)
        self.assertIsNotNone(self.store.get(PROXIES_KIND, "proxy.p1").result())

    def test_entry_is_written_after_an_outage(self):
        """Guards against a proxy that gives up registering while the store is down."""
        empty_list = self.store.list(PROXIES_KIND)
        self.store.available = False
        self.store.list = lambda *_: empty_list
        self.start("p1")
        self.assertEqual(list(empty_list.result().objects), [])
        self.store.available = True
        self.loop.advance(3.0)
        self.assertIsNotNone(self.store.get(PROXIES_KIND, "proxy.p1").result())


class MalformedEntryTest(FleetTest):
    def test_malformed_member_does_not_hide_others(self):
        """Guards against one invalid entry after which no members are known."""
        fleet = self.start("p1")
        self.store.write(PROXIES_KIND, "proxy.p8", {"address": 7})
        self.start("p2")
        self.loop.advance(WATCH_PAUSE_SECONDS + 1.0)
        self.assertEqual(set(fleet.members_by_name), {"p1", "p2"})


class HeartbeatTest(unittest.TestCase):
    def test_primary_reported_unreachable_by_many_proxies(self):
        """Guards against keeping a primary that only the promoter reaches."""
        loop = SteppedLoop()
        own_member = Member("p1", ("127.0.0.1", 1), ("127.0.0.1", 2), "domain-a")
        fleet = FleetWithoutHeartbeats(
            loop, MemorySharedStore(), own_member, random.Random(1), FixedProcessState()
        )
        loop.advance(2.0)
        for unreachable_groups in (["orders"], []):
            for _ in range(4):
                for name in ("p2", "p3"):
                    heartbeat = Heartbeat(name, 1, 1, unreachable_groups, ["orders"])
                    fleet.handle_heartbeat(msgspec.json.encode(heartbeat))
                loop.advance(0.4)
            reported_since = fleet.reports.primary_unreachable_since("orders")
            self.assertEqual(reported_since is not None, bool(unreachable_groups))

    def test_malformed_heartbeat_is_refused(self):
        """Guards against a malformed message that ends the process."""
        loop = SteppedLoop()
        own_member = Member("p1", ("127.0.0.1", 1), ("127.0.0.1", 2), "domain-a")
        fleet = FleetWithoutHeartbeats(
            loop, MemorySharedStore(), own_member, random.Random(1), FixedProcessState()
        )
        for body in (b"", b"[]", b"\xff", b'{"name": 3}'):
            with self.assertRaises(errors.MalformedRequest):
                fleet.handle_heartbeat(body)


def _wait(future):
    """Wait for a future; a task that returns its result."""
    return (yield future)


if __name__ == "__main__":
    unittest.main()
