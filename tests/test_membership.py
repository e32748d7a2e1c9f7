"""Tests of ``cassiahill.membership``."""

import unittest

import hypothesis
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench import fleet
from cassiahill import membership, swim
from cassiahill.swim import DEAD, LEAVING, LIVE, SUSPECTED
from tests import broken_gossip as broken

MEMBER_COUNT = 6
member_numbers = st.integers(1, MEMBER_COUNT)
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    stateful_step_count=15,
    phases=(hypothesis.Phase.generate,),
)


def states_by_name(node):
    """Return the states of the members in one process's view, by name."""
    return {name: member.state for name, member in node.members_by_name.items()}


class MembershipMachine(RuleBasedStateMachine):
    """Partitions, stops, restarts and false claims in any order."""

    membership_class = membership.Membership

    def __init__(self):
        super().__init__()
        self.fleet = fleet.MemberFleet(MEMBER_COUNT, 1, type(self).membership_class)
        self.highest_precedences = {}
        self.fleet.run(3)

    @rule(seconds=st.integers(1, 6))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(side=st.frozensets(member_numbers))
    def partition(self, side):
        self.fleet.cut = lambda sender, receiver: (
            (sender[1] in side) != (receiver[1] in side)
        )

    @rule(number=member_numbers)
    def stop(self, number):
        if len(self.fleet.down) < 2:
            self.fleet.down.add(fleet.address(number))

    @rule(number=member_numbers)
    def restart(self, number):
        if fleet.address(number) in self.fleet.down:
            self.highest_precedences.pop(self.fleet.start(number), None)

    @rule(claimant=member_numbers, state=st.sampled_from((SUSPECTED, LEAVING, DEAD)))
    def claim(self, claimant, state):
        for node in self.fleet.live():
            updates = tuple(
                member.replace(state=state) for member in node.members_by_name.values()
            )
            event = swim.MessageReceived(f"p{claimant}", swim.Ack(0, updates))
            self.fleet.deliver(
                node.own_member.peer_address, node.step(event, self.fleet.now)
            )

    @invariant()
    def precedence_never_decreases(self):
        for node in self.fleet.live():
            highest = self.highest_precedences.setdefault(node, {})
            for name, member in node.members_by_name.items():
                assert member.precedence >= highest.get(name, (0, 0)), (
                    member,
                    highest[name],
                )
                highest[name] = member.precedence

    def teardown(self):
        """End the partition; all views must agree on the live members after 90 s."""
        self.fleet.cut = lambda sender, receiver: False
        self.fleet.run(90)
        live = {node.own_member.name for node in self.fleet.live()}
        for node in self.fleet.live():
            found = {
                name
                for name, member in node.members_by_name.items()
                if member.state != DEAD
            }
            assert found == live, (node.own_member.name, states_by_name(node), live)
            assert set(states_by_name(node).values()) <= {LIVE, DEAD}, states_by_name(
                node
            )


def run_machine(membership_class):
    """Run the state machine with a subclass of ``Membership``."""
    machine = type(
        "Machine", (MembershipMachine,), {"membership_class": membership_class}
    )
    hypothesis.stateful.run_state_machine_as_test(machine, settings=SETTINGS)


class MachineTest(unittest.TestCase):
    def test_views_agree_after_a_partition(self):
        """Guards against members that stay unknown, or live after they stopped."""
        run_machine(membership.Membership)

    def test_broken_variants_fail(self):
        """Guards against a state machine that does not find faulty membership."""
        for membership_class in (broken.NeverRefutes, broken.NeverExpiresSuspicions):
            with (
                self.subTest(membership_class.__name__),
                self.assertRaises(AssertionError),
            ):
                run_machine(membership_class)


class ViewTest(unittest.TestCase):
    def states_after_claim(self, membership_class, state):
        """Return the states that p5 is given while p9 claims that it failed."""
        simulation = fleet.MemberFleet(12, 1, membership_class, known=True)
        simulation.run(2)
        seen_states = set()
        for _ in range(40):
            for node in simulation.live():
                target = node.members_by_name["p5"].replace(state=state)
                if node.own_member.name != "p5":
                    event = swim.MessageReceived("p9", swim.Ack(0, (target,)))
                    simulation.deliver(
                        node.own_member.peer_address, node.step(event, simulation.now)
                    )
            simulation.run(0.5)
            seen_states |= {states_by_name(node)["p5"] for node in simulation.live()}
        return seen_states

    def test_one_wrong_view_removes_no_member(self):
        """Guards against a member that is declared dead on the claim of one other."""
        for state in (SUSPECTED, DEAD):
            self.assertNotIn(
                DEAD, self.states_after_claim(membership.Membership, state)
            )
        self.assertIn(DEAD, self.states_after_claim(broken.AcceptsDeadClaims, DEAD))

    def suspected_after_mass_claim(self, membership_class):
        """Return how many members one message makes suspected, and the receiver."""
        node = fleet.MemberFleet(100, 1, membership_class, known=True).live()[0]
        updates = [
            member.replace(state=DEAD) for member in node.members_by_name.values()
        ]
        node.step(swim.MessageReceived("p9", swim.Ack(0, tuple(updates))), 1.0)
        return list(states_by_name(node).values()).count(SUSPECTED), node

    def test_mass_claim_is_limited(self):
        """Guards against one faulty member that makes all others suspected."""
        suspected, node = self.suspected_after_mass_claim(membership.Membership)
        self.assertEqual(suspected, 25)
        self.assertEqual(node.refusals_by_reason["too many suspicions"], 74)
        suspected, _ = self.suspected_after_mass_claim(broken.HasNoSuspicionLimit)
        self.assertEqual(suspected, 99)

    def test_refused_updates_change_nothing(self):
        """Guards against updates by non-members, host names and huge incarnations."""
        node = fleet.MemberFleet(4, 1, known=True).live()[0]
        member = node.members_by_name["p2"]
        members_before = dict(node.members_by_name)
        for sender, update, reason in (
            ("x", member.replace(state=DEAD), "unknown sender"),
            ("p3", member.replace(incarnation=1 << 40), "incarnation too high"),
            ("p3", member.replace(state=9), "malformed news"),
            ("p3", member.replace(peer_address=("host", 1)), "malformed news"),
        ):
            node.step(swim.MessageReceived(sender, swim.Ack(0, (update,))), 1.0)
            self.assertGreaterEqual(node.refusals_by_reason[reason], 1)
        node.step(
            swim.MessageReceived("p3", swim.Ack(0, (member.replace(state=LEAVING),))), 1
        )
        node.step(swim.MessageReceived("p3", swim.Ack(0, (member,))), 1.0)
        self.assertEqual(node.members_by_name.pop("p2").state, LEAVING)
        members_before.pop("p2")
        self.assertEqual(node.members_by_name, members_before)

    def test_indirect_probes_keep_a_member(self):
        """Guards against a suspicion because one path between two members is broken."""
        simulation = fleet.MemberFleet(6, 1, known=True)
        simulation.cut = lambda sender, receiver: {sender[1], receiver[1]} == {3, 4}
        seen_states = set()
        for _ in range(60):
            simulation.run(0.5)
            seen_states.update(
                *(states_by_name(node).values() for node in simulation.live())
            )
        self.assertEqual(seen_states, {LIVE})

    def suspects_after_readings(self, membership_class, readings):
        """Return whether host lists without most hosts make members suspected."""
        node = fleet.MemberFleet(9, 1, membership_class, known=True).live()[0]
        all_names = frozenset(node.members_by_name)
        node.step(swim.HostList(all_names), 1.0)
        for _ in range(readings):
            node.step(swim.HostList(frozenset({"p1", "p2"})), 2.0)
        return SUSPECTED in states_by_name(node).values()

    def test_host_list_that_loses_many_is_read_three_times(self):
        """Guards against one wrong host list that makes most members suspected."""
        self.assertFalse(self.suspects_after_readings(membership.Membership, 2))
        self.assertTrue(self.suspects_after_readings(membership.Membership, 3))
        self.assertTrue(self.suspects_after_readings(broken.AcceptsFirstHostList, 1))

    def test_leaving_hosts(self):
        """Guards against requests for a backend server that leaves or has left."""
        node = fleet.MemberFleet(3, 1, known=True).live()[0]
        servers = frozenset({"db1", "p2"})
        (action,) = node.step(swim.HostList(frozenset({"p1"}), servers), 1.0)
        self.assertEqual(action, swim.LeavingHostsChanged(servers))
        node.step(swim.HostList(frozenset({"p1", "p2", "p3"})), 2.0)
        self.assertEqual(node.leaving_hosts, {"db1"})
        self.assertIn("p2", node.eligible_members())
        node.step(swim.HostList(frozenset({"p2"}), frozenset({"p1"})), 3.0)
        self.assertEqual(node.own_member.state, LEAVING)
