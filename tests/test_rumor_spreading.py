"""Tests of ``cassiahill.rumor_spreading``."""

import unittest

import hypothesis
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench import fleet
from cassiahill import rumor_spreading, rumors
from tests import broken_gossip as broken

NAMES = ("a", "b", "c", "d", "e")
RECOVERY_ROUNDS = 30
member_names = st.sampled_from(NAMES)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=30,
    phases=(hypothesis.Phase.generate,),
)


class RecordingFleet(fleet.SpreadFleet):
    """Records sent messages, and the generations of members that become ready."""

    def __init__(self, *args):
        self.sent_messages = []
        self.generations_at_ready = []
        super().__init__(*args)

    def _perform(self, name, action):
        if isinstance(action, rumors.SendMessage):
            self.sent_messages.append((name, action.message))
        if isinstance(action, rumors.Ready):
            self.generations_at_ready.append(self.generation(name))
        return super()._perform(name, action)


class SpreadMachine(RuleBasedStateMachine):
    """Publishes values amid message loss, replays, partitions, stops and restarts."""

    spreader_class = rumor_spreading.RumorSpreader

    def __init__(self):
        super().__init__()
        self.fleet = RecordingFleet(NAMES, 1, type(self).spreader_class)
        self.published_generation = 0

    @rule(name=member_names, size=st.sampled_from((1, 5000)))
    def publish(self, name, size):
        if name not in self.fleet.down:
            self.published_generation += 1
            self.fleet.publish(
                name,
                self.published_generation,
                b"%d" % self.published_generation * size,
            )

    @rule(rounds=st.integers(1, 6), loss=st.sampled_from((0.0, 0.5)))
    def run_rounds(self, rounds, loss):
        self.fleet.loss = loss
        for _ in range(rounds):
            self.fleet.step_round()

    @rule(index=st.integers(0, 10_000), name=member_names)
    def replay(self, index, name):
        if self.fleet.sent_messages and name not in self.fleet.down:
            sender, message = self.fleet.sent_messages[
                index % len(self.fleet.sent_messages)
            ]
            self.fleet._run(_action_queue(sender, rumors.SendMessage(name, message)))

    @rule(side=st.frozensets(member_names))
    def partition(self, side):
        self.fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)

    @rule(name=member_names)
    def stop(self, name):
        if len(self.fleet.down) < 3:
            self.fleet.down.add(name)

    @rule(name=member_names)
    def restart(self, name):
        if name in self.fleet.down:
            self.fleet.start(name)

    @invariant()
    def generations_rise(self):
        for generations in self.fleet.installed_by_name.values():
            assert generations == sorted(set(generations)), generations

    def teardown(self):
        """End the faults; all members must get the highest generation in 30 rounds."""
        self.fleet.cut = lambda sender, receiver: False
        self.fleet.loss = 0.0
        live_names = [name for name in NAMES if name not in self.fleet.down]
        highest = max(map(self.fleet.generation, live_names))
        # The members that are down count as found dead by membership.
        live_peers = rumors.PeersChanged(tuple(live_names), frozenset(live_names))
        for name in live_names:
            self.fleet.spreaders_by_name[name].step(live_peers, self.fleet.now)
        for _ in range(RECOVERY_ROUNDS):
            self.fleet.step_round()
        assert not self.fleet.lacking(highest), self.fleet.lacking(highest)
        self.generations_rise()


def _action_queue(name, action):
    return fleet.collections.deque([(name, action)])


def run_machine(spreader_class):
    """Run the state machine with a subclass of ``RumorSpreader``."""
    machine = type("Machine", (SpreadMachine,), {"spreader_class": spreader_class})
    hypothesis.stateful.run_state_machine_as_test(machine, settings=SETTINGS)


class MachineTest(unittest.TestCase):
    def test_generations_rise_and_spread(self):
        """Guards against a configuration that is reverted or never arrives."""
        run_machine(rumor_spreading.RumorSpreader)

    def test_broken_variants_fail(self):
        """Guards against a state machine that does not find faulty spreading."""
        for spreader_class in (broken.AcceptsOlderGenerations, broken.PushesOnly):
            with (
                self.subTest(spreader_class.__name__),
                self.assertRaises(AssertionError),
            ):
                run_machine(spreader_class)


class RefusalTest(unittest.TestCase):
    def setUp(self):
        self.spreader = self.make_spreader(rumor_spreading.RumorSpreader)

    def make_spreader(self, spreader_class):
        spreader = spreader_class("a", fleet.SECRET, fleet.random.Random(1), 0.0)
        spreader.ready = True
        spreader.step(rumors.PeersChanged(NAMES, frozenset(NAMES)), 0.0)
        spreader.step(rumors.Publish("configuration", "current", 5, b"five"), 0.0)
        return spreader

    def offer_rumor(
        self, spreader, sender="b", generation=6, value=b"six", digest=None
    ):
        """Send one rumor to a spreader; return the generation that it then holds."""
        if digest is None:
            digest = self.spreader.keyed_digest(
                "configuration", "current", generation, value
            )
        rumor = rumors.Rumor(
            "configuration", "current", generation, digest, value=value
        )
        spreader.step(rumors.MessageReceived(sender, rumors.Rumors((rumor,))), 1.0)
        return spreader.get("configuration", "current")[0]

    def check_refusal(self, broken_class, reason, **rumor_fields):
        self.assertEqual(self.offer_rumor(self.spreader, **rumor_fields), 5)
        self.assertEqual(self.spreader.refusals_by_reason[reason], 1)
        self.assertNotEqual(
            self.offer_rumor(self.make_spreader(broken_class), **rumor_fields), 5
        )

    def test_newer_generation_is_installed(self):
        """Guards against a spreader that refuses valid rumors too."""
        self.assertEqual(self.offer_rumor(self.spreader), 6)

    def test_unknown_sender(self):
        """Guards against values from processes that are not members."""
        self.check_refusal(broken.AcceptsUnknownSenders, "unknown sender", sender="x")

    def test_wrong_hash(self):
        """Guards against a value that was modified on its way."""
        self.check_refusal(broken.IgnoresHashes, "wrong hash", digest=b"")

    def test_older_generation(self):
        """Guards against a value that an older rumor reverts."""
        self.check_refusal(
            broken.AcceptsOlderGenerations, "older generation", generation=4
        )

    def test_generation_too_high(self):
        """Guards against a faulty member that blocks all later generations."""
        self.check_refusal(
            broken.AcceptsAnyStep, "generation too high", generation=1 << 40
        )

    def test_other_value_of_the_same_generation(self):
        """Guards against members that hold two values of one generation."""
        self.offer_rumor(self.spreader, generation=5, value=b"other")
        self.assertEqual(self.spreader.get("configuration", "current"), (5, b"five"))
        reason = "another value of the same generation"
        self.assertEqual(self.spreader.refusals_by_reason[reason], 1)

    def test_value_expires(self):
        """Guards against observations that are used after they expired."""
        event = rumors.Publish("observation", "g", 1, b"silent", lifetime_ms=500)
        self.spreader.step(event, 10.0)
        digest = self.spreader.digest
        self.spreader.step(rumors.Tick(), 10.4)
        self.assertEqual(self.spreader.get("observation", "g"), (1, b"silent"))
        self.spreader.step(rumors.Tick(), 10.8)
        self.assertEqual(self.spreader.get("observation", "g"), (1, None))
        self.assertEqual(self.spreader.digest, digest)


class StartTest(unittest.TestCase):
    def restarted_generation(self, spreader_class):
        """Return the lowest generation at which a restarted member became ready.

        One of its three peers is stale.
        """
        simulation = RecordingFleet(("a", "b", "c", "d"), 3, spreader_class)
        simulation.cut = lambda sender, receiver: "b" in (sender, receiver)
        simulation.publish("a", 1, b"one")
        for _ in range(10):
            simulation.step_round()
        simulation.cut = lambda sender, receiver: (
            "b" in (sender, receiver) and "a" not in (sender, receiver)
        )
        for _ in range(20):
            simulation.start("a")
            simulation.start("b", ready=True)
            for _ in range(10):
                simulation.step_round()
        self.assertEqual(len(simulation.generations_at_ready), 20)
        return min(simulation.generations_at_ready)

    def test_start_takes_the_highest_of_three(self):
        """Guards against a start during an outage that takes a stale peer's value."""
        self.assertEqual(self.restarted_generation(rumor_spreading.RumorSpreader), 1)
        self.assertEqual(self.restarted_generation(broken.StartsWithOnePeer), 0)

    def test_platform_readers_are_three_per_domain(self):
        """Guards against a watch by every proxy, and against needless changes."""
        names = [f"p{number}" for number in range(50)]
        chosen = rumor_spreading.choose_platform_readers("domain", names)
        self.assertEqual(len(set(chosen)), 3)
        others = [name for name in names if name != chosen[0]]
        self.assertEqual(
            rumor_spreading.choose_platform_readers("domain", others)[:2], chosen[1:]
        )
