"""Tests of ``cassiahill.rumor_spreading``."""

import unittest

import hypothesis
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench import fleet
from cassiahill import rumor_spreading, rumors
from tests import broken_spreading as broken

NAMES = ("a", "b", "c", "d", "e")
HEALING_ROUNDS = 30
members = st.sampled_from(NAMES)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=30,
    phases=(hypothesis.Phase.generate,),
)


class RecordingFleet(fleet.SpreadFleet):
    """Keeps the messages for replays, and what members hold when they are ready."""

    def __init__(self, *args):
        self.sent = []
        self.generations_at_ready = []
        super().__init__(*args)

    def _perform(self, name, action):
        if isinstance(action, rumors.SendMessage):
            self.sent.append((name, action.message))
        if isinstance(action, rumors.Ready):
            self.generations_at_ready.append(self.generation(name))
        return super()._perform(name, action)


class SpreadMachine(RuleBasedStateMachine):
    """Publishes, loses, replays, cuts, stops and restarts in any order."""

    make = rumor_spreading.RumorSpreader

    def __init__(self):
        super().__init__()
        self.fleet = RecordingFleet(NAMES, 1, type(self).make)
        self.published = 0

    @rule(name=members, size=st.sampled_from((1, 5000)))
    def publish(self, name, size):
        if name not in self.fleet.down:
            self.published += 1
            self.fleet.publish(name, self.published, b"%d" % self.published * size)

    @rule(rounds=st.integers(1, 6), loss=st.sampled_from((0.0, 0.5)))
    def run_rounds(self, rounds, loss):
        self.fleet.loss = loss
        for _ in range(rounds):
            self.fleet.step_round()

    @rule(index=st.integers(0, 10_000), name=members)
    def replay(self, index, name):
        if self.fleet.sent and name not in self.fleet.down:
            sender, message = self.fleet.sent[index % len(self.fleet.sent)]
            self.fleet._run(_queue(sender, rumors.SendMessage(name, message)))

    @rule(side=st.frozensets(members))
    def cut(self, side):
        self.fleet.cut = lambda one, other: (one in side) != (other in side)

    @rule(name=members)
    def stop(self, name):
        if len(self.fleet.down) < 3:
            self.fleet.down.add(name)

    @rule(name=members)
    def restart(self, name):
        if name in self.fleet.down:
            self.fleet.start(name)

    @invariant()
    def generations_rise(self):
        for installed in self.fleet.installed_by_name.values():
            assert installed == sorted(set(installed)), installed

    def teardown(self):
        """Heal, and require the highest generation everywhere in bounded rounds."""
        self.fleet.cut = lambda one, other: False
        self.fleet.loss = 0.0
        live = [name for name in NAMES if name not in self.fleet.down]
        highest = max(map(self.fleet.generation, live))
        view = rumors.PeersChanged(
            tuple(live), frozenset(live)
        )  # Membership found the rest.
        for name in live:
            self.fleet.spreaders_by_name[name].step(view, self.fleet.now)
        for _ in range(HEALING_ROUNDS):
            self.fleet.step_round()
        assert not self.fleet.lacking(highest), self.fleet.lacking(highest)
        self.generations_rise()


def _queue(name, action):
    return fleet.collections.deque([(name, action)])


def run_machine(make):
    """Run the machine with a variant of ``RumorSpreader``."""
    machine = type("Machine", (SpreadMachine,), {"make": make})
    hypothesis.stateful.run_state_machine_as_test(machine, settings=SETTINGS)


class MachineTest(unittest.TestCase):
    def test_generations_rise_and_spread(self):
        """Guards against a configuration that is reverted or never arrives."""
        run_machine(rumor_spreading.RumorSpreader)

    def test_broken_variants_fail(self):
        """Guards against a machine that would pass faulty spreading."""
        for make in (broken.AcceptsOlderGenerations, broken.PushesOnly):
            with self.subTest(make.__name__), self.assertRaises(AssertionError):
                run_machine(make)


class RefusalTest(unittest.TestCase):
    def setUp(self):
        self.spreader = self.make(rumor_spreading.RumorSpreader)

    def make(self, cls):
        spreader = cls("a", fleet.SECRET, fleet.random.Random(1), 0.0)
        spreader.ready = True
        spreader.step(rumors.PeersChanged(NAMES, frozenset(NAMES)), 0.0)
        spreader.step(rumors.Publish("configuration", "current", 5, b"five"), 0.0)
        return spreader

    def offer(self, spreader, sender="b", generation=6, value=b"six", digest=None):
        """Offer one rumor; return the generation that is held then."""
        if digest is None:
            digest = self.spreader.digest_of(
                "configuration", "current", generation, value
            )
        rumor = rumors.Rumor(
            "configuration", "current", generation, digest, value=value
        )
        spreader.step(rumors.MessageReceived(sender, rumors.Rumors((rumor,))), 1.0)
        return spreader.get("configuration", "current")[0]

    def check(self, broken_class, reason, **offer):
        self.assertEqual(self.offer(self.spreader, **offer), 5)
        self.assertEqual(self.spreader.refusals_by_reason[reason], 1)
        self.assertNotEqual(self.offer(self.make(broken_class), **offer), 5)

    def test_newer_generation_is_installed(self):
        """Guards against refusals of everything."""
        self.assertEqual(self.offer(self.spreader), 6)

    def test_unknown_sender(self):
        """Guards against values of processes that are no members."""
        self.check(broken.AcceptsStrangers, "unknown sender", sender="x")

    def test_wrong_hash(self):
        """Guards against a value that was changed after its acceptance."""
        self.check(broken.IgnoresHashes, "wrong hash", digest=b"")

    def test_older_generation(self):
        """Guards against a revert by old news."""
        self.check(broken.AcceptsOlderGenerations, "older generation", generation=4)

    def test_generation_out_of_reach(self):
        """Guards against a member that blocks all later generations."""
        self.check(broken.AcceptsAnyStep, "generation too high", generation=1 << 40)

    def test_other_value_of_the_same_generation(self):
        """Guards against two values under one generation."""
        self.offer(self.spreader, generation=5, value=b"other")
        self.assertEqual(self.spreader.get("configuration", "current"), (5, b"five"))
        reason = "another value of the same generation"
        self.assertEqual(self.spreader.refusals_by_reason[reason], 1)

    def test_short_life(self):
        """Guards against observations that are used after their life."""
        event = rumors.Publish("observation", "g", 1, b"silent", life_ms=500)
        self.spreader.step(event, 10.0)
        digest = self.spreader.digest
        self.spreader.step(rumors.Tick(), 10.4)
        self.assertEqual(self.spreader.get("observation", "g"), (1, b"silent"))
        self.spreader.step(rumors.Tick(), 10.8)
        self.assertEqual(self.spreader.get("observation", "g"), (1, None))
        self.assertEqual(self.spreader.digest, digest)


class StartTest(unittest.TestCase):
    def restarted_generation(self, make):
        """Return what a member holds when it is ready, while one peer is stale."""
        run = RecordingFleet(("a", "b", "c", "d"), 3, make)
        run.cut = lambda one, other: "b" in (one, other)
        run.publish("a", 1, b"one")
        for _ in range(10):
            run.step_round()
        run.cut = lambda one, other: "b" in (one, other) and "a" not in (one, other)
        for _ in range(20):
            run.start("a")
            run.start("b", ready=True)
            for _ in range(10):
                run.step_round()
        self.assertEqual(len(run.generations_at_ready), 20)
        return min(run.generations_at_ready)

    def test_start_takes_the_highest_of_three(self):
        """Guards against a start during an outage that reverts to a stale peer."""
        self.assertEqual(self.restarted_generation(rumor_spreading.RumorSpreader), 1)
        self.assertEqual(self.restarted_generation(broken.StartsWithOnePeer), 0)

    def test_readers_are_three_per_domain(self):
        """Guards against watches of all proxies, and against moving readers."""
        names = [f"p{number}" for number in range(50)]
        chosen = rumor_spreading.choose_platform_readers("domain", names)
        self.assertEqual(len(set(chosen)), 3)
        others = [name for name in names if name != chosen[0]]
        self.assertEqual(
            rumor_spreading.choose_platform_readers("domain", others)[:2], chosen[1:]
        )
