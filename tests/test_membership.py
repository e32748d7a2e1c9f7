"""Tests of ``cassiahill.membership``."""

import unittest

import hypothesis
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench import fleet
from cassiahill import membership, swim
from cassiahill.swim import DEAD, LEAVING, LIVE, SUSPECTED
from tests import broken_spreading as broken

COUNT = 6
numbers = st.integers(1, COUNT)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    stateful_step_count=15,
    phases=(hypothesis.Phase.generate,),
)


def states(made):
    """Return the states of a view by name."""
    return {name: member.state for name, member in made.members_by_name.items()}


class MembershipMachine(RuleBasedStateMachine):
    """Cuts, stops, restarts and false claims in any order."""

    make = membership.Membership

    def __init__(self):
        super().__init__()
        self.fleet = fleet.MemberFleet(COUNT, 1, type(self).make)
        self.keys = {}
        self.fleet.run(3)

    @rule(seconds=st.integers(1, 6))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(side=st.frozensets(numbers))
    def cut(self, side):
        self.fleet.cut = lambda one, other: (one[1] in side) != (other[1] in side)

    @rule(number=numbers)
    def stop(self, number):
        if len(self.fleet.down) < 2:
            self.fleet.down.add(fleet.address(number))

    @rule(number=numbers)
    def restart(self, number):
        if fleet.address(number) in self.fleet.down:
            self.keys.pop(self.fleet.start(number), None)

    @rule(liar=numbers, state=st.sampled_from((SUSPECTED, LEAVING, DEAD)))
    def claim(self, liar, state):
        for made in self.fleet.live():
            news = tuple(m.replace(state=state) for m in made.members_by_name.values())
            event = swim.MessageReceived(f"p{liar}", swim.Ack(0, news))
            self.fleet.deliver(
                made.own_member.peer_address, made.step(event, self.fleet.now)
            )

    @invariant()
    def news_never_goes_back(self):
        for made in self.fleet.live():
            seen = self.keys.setdefault(made, {})
            for name, member in made.members_by_name.items():
                assert member.key >= seen.get(name, (0, 0)), (member, seen[name])
                seen[name] = member.key

    def teardown(self):
        """Heal; all views then agree on who is live within bounded rounds."""
        self.fleet.cut = lambda one, other: False
        self.fleet.run(90)
        live = {made.own_member.name for made in self.fleet.live()}
        for made in self.fleet.live():
            found = {n for n, m in made.members_by_name.items() if m.state != DEAD}
            assert found == live, (made.own_member.name, states(made), live)
            assert set(states(made).values()) <= {LIVE, DEAD}, states(made)


def run_machine(make):
    """Run the machine with a variant of ``Membership``."""
    machine = type("Machine", (MembershipMachine,), {"make": make})
    hypothesis.stateful.run_state_machine_as_test(machine, settings=SETTINGS)


class MachineTest(unittest.TestCase):
    def test_views_agree_after_healing(self):
        """Guards against members that are lost, or kept after their death."""
        run_machine(membership.Membership)

    def test_broken_variants_fail(self):
        """Guards against a machine that would pass faulty membership."""
        for make in (broken.NeverRefutes, broken.NeverExpiresSuspicions):
            with self.subTest(make.__name__), self.assertRaises(AssertionError):
                run_machine(make)


class ViewTest(unittest.TestCase):
    def states_after_claim(self, make, state):
        """Return all states that a victim had while one member claims it failed."""
        run = fleet.MemberFleet(12, 1, make, known=True)
        run.run(2)
        seen = set()
        for _ in range(40):
            for made in run.live():
                victim = made.members_by_name["p5"].replace(state=state)
                if made.own_member.name != "p5":
                    event = swim.MessageReceived("p9", swim.Ack(0, (victim,)))
                    run.deliver(made.own_member.peer_address, made.step(event, run.now))
            run.run(0.5)
            seen |= {states(made)["p5"] for made in run.live()}
        return seen

    def test_one_bad_view_removes_nobody(self):
        """Guards against a member that is removed because one other claims it."""
        for state in (SUSPECTED, DEAD):
            self.assertNotIn(
                DEAD, self.states_after_claim(membership.Membership, state)
            )
        self.assertIn(DEAD, self.states_after_claim(broken.BelievesDeadNews, DEAD))

    def suspected_after_mass_claim(self, make):
        """Return how many members one message makes suspected."""
        made = fleet.MemberFleet(100, 1, make, known=True).live()[0]
        news = [m.replace(state=DEAD) for m in made.members_by_name.values()]
        made.step(swim.MessageReceived("p9", swim.Ack(0, tuple(news))), 1.0)
        return list(states(made).values()).count(SUSPECTED), made

    def test_member_that_claims_everything(self):
        """Guards against one member that has the whole fleet suspected."""
        suspected, made = self.suspected_after_mass_claim(membership.Membership)
        self.assertEqual(suspected, 25)
        self.assertEqual(made.refusals_by_reason["too many suspicions"], 74)
        suspected, _ = self.suspected_after_mass_claim(broken.BelievesEveryClaim)
        self.assertEqual(suspected, 99)

    def test_refused_news_changes_nothing(self):
        """Guards against strangers, names as addresses and blocked incarnations."""
        made = fleet.MemberFleet(4, 1, known=True).live()[0]
        member = made.members_by_name["p2"]
        before = dict(made.members_by_name)
        for sender, news, reason in (
            ("x", member.replace(state=DEAD), "unknown sender"),
            ("p3", member.replace(incarnation=1 << 40), "incarnation too high"),
            ("p3", member.replace(state=9), "malformed news"),
            ("p3", member.replace(peer_address=("host", 1)), "malformed news"),
        ):
            made.step(swim.MessageReceived(sender, swim.Ack(0, (news,))), 1.0)
            self.assertGreaterEqual(made.refusals_by_reason[reason], 1)
        made.step(
            swim.MessageReceived("p3", swim.Ack(0, (member.replace(state=LEAVING),))), 1
        )
        made.step(swim.MessageReceived("p3", swim.Ack(0, (member,))), 1.0)
        self.assertEqual(made.members_by_name.pop("p2").state, LEAVING)
        before.pop("p2")
        self.assertEqual(made.members_by_name, before)

    def test_indirect_probes_keep_a_member(self):
        """Guards against a removal because one path between two members is broken."""
        run = fleet.MemberFleet(6, 1, known=True)
        run.cut = lambda one, other: {one[1], other[1]} == {3, 4}
        seen = set()
        for _ in range(60):
            run.run(0.5)
            seen.update(*(states(made).values() for made in run.live()))
        self.assertEqual(seen, {LIVE})

    def removed_by_readings(self, make, readings):
        """Return whether a list that lost all but two hosts suspects members."""
        made = fleet.MemberFleet(9, 1, make, known=True).live()[0]
        everyone = frozenset(made.members_by_name)
        made.step(swim.HostList(everyone), 1.0)
        for _ in range(readings):
            made.step(swim.HostList(frozenset({"p1", "p2"})), 2.0)
        return SUSPECTED in states(made).values()

    def test_host_list_that_loses_many_is_read_three_times(self):
        """Guards against one bad reading that empties the fleet."""
        self.assertFalse(self.removed_by_readings(membership.Membership, 2))
        self.assertTrue(self.removed_by_readings(membership.Membership, 3))
        self.assertTrue(self.removed_by_readings(broken.BelievesOneHostList, 1))

    def test_leaving_hosts(self):
        """Guards against new work for a backend server that leaves or has left."""
        made = fleet.MemberFleet(3, 1, known=True).live()[0]
        servers = frozenset({"db1", "p2"})
        (action,) = made.step(swim.HostList(frozenset({"p1"}), servers), 1.0)
        self.assertEqual(action, swim.HostsLeaving(servers))
        made.step(swim.HostList(frozenset({"p1", "p2", "p3"})), 2.0)
        self.assertEqual(made.leaving_hosts, {"db1"})
        self.assertIn("p2", made.usable())
        made.step(swim.HostList(frozenset({"p2"}), frozenset({"p1"})), 3.0)
        self.assertEqual(made.own_member.state, LEAVING)
