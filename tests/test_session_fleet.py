"""Tests of ``cassiahill.session_fleet`` on a store in memory, without connections."""

import random
import unittest

import msgspec

from cassiahill import errors, session_fleet
from cassiahill.heartbeats import Member, Pulse, View
from cassiahill.loop import failed
from cassiahill.promoter_election import PROMOTER_NAME, Tokens
from cassiahill.session_fleet import KIND, SessionFleet
from cassiahill.shared_store import MemorySharedStore
from tests.stepped_loop import SteppedLoop


class Local(session_fleet.LocalState):
    """A process that sees nothing unusual."""

    def __init__(self):
        self.lacking = []
        self.cut_off = False

    def versions(self):
        return 1, 1

    def watched_groups(self):
        return ["orders"]

    def lacking_groups(self):
        return self.lacking

    def is_partitioned(self):
        return self.cut_off

    def view(self):
        return View(None, 1, {})

    def store_is_away(self):
        return False

    def guide(self):
        return None

    def take_view(self, view, peer):
        pass

    def members_changed(self):
        pass


class SilentFleet(SessionFleet):
    """Sends no pulses, so that every other proxy seems silent."""

    def _send_pulse(self, member):
        pass


class LostAnswers(MemorySharedStore):
    """Carries out the next writes without an answer."""

    lose = 0

    def replace(self, kind, name, value, revision):
        return self._lose(super().replace(kind, name, value, revision))

    def create(self, kind, name, value):
        return self._lose(super().create(kind, name, value))

    def _lose(self, future):
        if self.lose and future.exception() is None:
            self.lose -= 1
            return failed(errors.PlatformUnavailable("the answer was lost"))
        return future


class FleetTest(unittest.TestCase):
    """Starts proxies on one store."""

    def setUp(self):
        self.loop = SteppedLoop()
        self.store = LostAnswers()

    def start(self, name, cut_off=False):
        """Start a proxy and let it register."""
        local = Local()
        local.cut_off = cut_off
        own = Member(name, ("127.0.0.1", 1), ("127.0.0.1", 2), "domain-a")
        fleet = SilentFleet(self.loop, self.store, own, random.Random(1), local)
        self.loop.advance(2.0)
        return fleet

    def promoter_of(self, *fleets):
        return [fleet for fleet in fleets if fleet.place.is_promoter]


class PromoterTest(FleetTest):
    def test_first_proxy_becomes_promoter(self):
        """Guards against a deployment in which nobody orders promotions."""
        self.assertTrue(self.start("p1").place.is_promoter)

    def test_silent_promoter_is_followed_and_gives_way(self):
        """Guards against two proxies that order promotions for long."""
        first = self.start("p1")
        second = self.start("p2")
        self.loop.advance(4.0)
        self.assertTrue(second.place.is_promoter)
        self.assertFalse(first.place.is_promoter)

    def test_tokens_grow_with_each_promoter_and_each_order(self):
        """Guards against a token that two promoters, or two orders, use."""
        fleets = [self.start(f"p{number}") for number in range(4)]
        tokens_by_promoter = {}
        for _ in range(40):
            self.loop.advance(0.5)
            for fleet in self.promoter_of(*fleets):
                key = (fleet._own.name, fleet.place._tokens.revision)
                tokens_by_promoter.setdefault(key, []).append(fleet.place.next_token())
        by_revision = sorted(tokens_by_promoter.items(), key=lambda one: one[0][1])
        tokens = [token for _, given in by_revision for token in given]
        self.assertGreater(len(tokens_by_promoter), 3)
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_claim_whose_answer_was_lost_is_found(self):
        """Guards against a promoter that does not know that it is one."""
        self.store.lose = 2
        fleet = self.start("p1")
        self.loop.advance(2.0)
        self.assertTrue(fleet.place.is_promoter)
        stored = self.store.get(KIND, PROMOTER_NAME).result()
        self.assertEqual(fleet.place.next_token() // 1000, stored.revision)

    def test_restarted_promoter_gets_a_new_term(self):
        """Guards against a restarted process that repeats its former tokens."""
        first = self.start("p1").place.next_token()
        second = self.start("p1")
        self.loop.advance(1.0)
        self.assertGreater(second.place.next_token(), first)

    def test_former_promoter_learns_it_when_it_asks(self):
        """Guards against orders by what was known before a cut."""
        first = self.start("p1")
        self.store.write(KIND, PROMOTER_NAME, {"holder": "p9", "incarnation": "x"})
        self.assertFalse(self.loop.result(_wait(first.place.confirm())))
        self.assertIsNone(first.place.next_token())

    def test_promoter_goes_on_while_the_store_is_away(self):
        """Guards against a dead primary that stays while the store is down."""
        fleet = self.start("p1")
        self.store.available = False
        self.assertTrue(self.loop.result(_wait(fleet.place.confirm())))
        self.assertIsNotNone(fleet.place.next_token())

    def test_resigned_promoter_gives_no_orders_for_a_while(self):
        """Guards against a promoter that resigns and takes its place back at once."""
        fleet = self.start("p1")
        fleet.place.resign()
        self.assertIsNone(fleet.place.next_token())
        self.loop.advance(1.0)
        self.assertFalse(fleet.place.is_promoter)
        self.loop.advance(4.0)
        self.assertTrue(fleet.place.is_promoter)

    def test_tokens_end_before_those_of_the_next_revision(self):
        """Guards against a token that reaches into the next promoter's."""
        tokens = Tokens(7)
        taken = [token for token in (tokens.take() for _ in range(2000)) if token]
        self.assertLess(max(taken), 8000)
        self.assertIsNone(tokens.take())


class CutOffTest(FleetTest):
    def test_proxy_behind_a_cut_does_not_claim_when_it_heals(self):
        """Guards against a promoter that acts on what it saw behind a cut.

        Found by the incidents inc-f993 and inc-f829: after a cut one of the proxies
        behind it became promoter and replaced healthy primaries.
        """
        first = self.start("p1")
        before = first.place.promoter.revision
        second = self.start("p2", cut_off=True)
        self.loop.advance(6.0)
        second._local.cut_off = False
        self.loop.advance(0.5)
        stored = self.store.get(KIND, PROMOTER_NAME).result()
        self.assertEqual(stored.revision, before)


class RegistrationTest(FleetTest):
    def test_entry_is_written_after_the_store_refused_it(self):
        """Guards against a proxy that no other knows, because one write failed."""
        self.store.lose = 1
        self.start("p1")
        self.loop.advance(3.0)
        stored = self.store.get(KIND, "proxy.p1").result()
        self.assertEqual(stored.value["failure_domain"], "domain-a")

    def test_restart_leaves_the_entry_as_it_is(self):
        """Guards against a restart that ends the watches of all proxies."""
        self.start("p1")
        before = self.store.get(KIND, "proxy.p1").result().revision
        self.start("p1")
        after = self.store.get(KIND, "proxy.p1").result().revision
        self.assertEqual(after, before)

    def test_entry_is_written_again_after_its_removal(self):
        """Guards against a proxy that no other knows, because its entry was removed."""
        self.start("p1")
        self.store.delete(KIND, "proxy.p1")
        self.loop.advance(6.0)
        self.assertIsNotNone(self.store.get(KIND, "proxy.p1").result())

    def test_entry_is_written_after_an_outage(self):
        """Guards against a proxy that gives up while the store is away."""
        listed = self.store.list(KIND)
        self.store.available = False
        self.store.list = lambda _kind: listed
        self.start("p1")
        self.assertEqual(list(listed.result().objects), [])
        self.store.available = True
        self.loop.advance(3.0)
        self.assertIsNotNone(self.store.get(KIND, "proxy.p1").result())


class ReportTest(unittest.TestCase):
    def test_many_lacking_proxies_are_reported(self):
        """Guards against a primary that only the promoter reaches."""
        loop = SteppedLoop()
        own = Member("p1", ("127.0.0.1", 1), ("127.0.0.1", 2), "domain-a")
        fleet = SilentFleet(loop, MemorySharedStore(), own, random.Random(1), Local())
        loop.advance(2.0)
        for lacking in (["orders"], []):
            for _ in range(4):
                for name in ("p2", "p3"):
                    pulse = Pulse(name, 1, 1, lacking, ["orders"])
                    fleet.answer(msgspec.json.encode(pulse))
                loop.advance(0.4)
            since = fleet.reported_since("orders")
            self.assertEqual(since is not None, bool(lacking))

    def test_garbage_is_refused(self):
        """Guards against a stranger's message that ends the process."""
        loop = SteppedLoop()
        own = Member("p1", ("127.0.0.1", 1), ("127.0.0.1", 2), "domain-a")
        fleet = SilentFleet(loop, MemorySharedStore(), own, random.Random(1), Local())
        for body in (b"", b"[]", b"\xff", b'{"name": 3}'):
            with self.assertRaises(errors.MalformedRequest):
                fleet.answer(body)


def _wait(future):
    return (yield future)


if __name__ == "__main__":
    unittest.main()
