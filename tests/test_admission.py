"""Tests of ``cassiahill.admission`` against a naive model."""

import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from cassiahill import errors, kernel
from cassiahill.admission import (
    AdmissionSettings,
    Admit,
    FifoAdmission,
    QueuedRequest,
    RankedAdmission,
    Reject,
)
from cassiahill.messages import Rank
from tests import broken_admission
from tests.admission_model import AdmissionMachine, lowest_margins

PROFILE = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
# More examples than usual, because a broken version ends the search at once.
SEARCH = settings(PROFILE, max_examples=1000)


def machine(policy_type):
    """Return a state machine type that checks a policy."""
    return type("Machine", (AdmissionMachine,), {"policy_type": policy_type})


class RankedAdmissionTest(unittest.TestCase):
    def test_agrees_with_the_model(self):
        """Guards against lost or doubled ends, exceeded slots and wrong order."""
        run_state_machine_as_test(machine(RankedAdmission), settings=PROFILE)

    def test_model_rejects_broken_versions(self):
        """Guards against a model that accepts anything."""
        for policy_type, reason in broken_admission.POLICIES.items():
            with (
                self.subTest(policy_type.__name__),
                self.assertRaisesRegex(AssertionError, reason),
            ):
                run_state_machine_as_test(machine(policy_type), settings=SEARCH)

    @settings(PROFILE, max_examples=8)
    @given(st.integers(0, 1000), st.sampled_from((1, 2, 3, 8)))
    def test_keeps_the_floors_over_any_second(self, seed, slots):
        """Guards against a rank that starves while a higher rank floods."""
        margins = lowest_margins(RankedAdmission, slots, seed)
        self.assertGreaterEqual(min(margins.values()), 0.0, margins)

    def test_model_rejects_a_policy_without_floors(self):
        """Guards against a check of the floors that accepts anything."""
        margins = lowest_margins(broken_admission.WithoutFloors, 3, 1)
        self.assertLess(margins[Rank.ROUTINE], 0.0)

    def fill(self, count, timeout=9.0, caller="a"):
        """Return a policy with one slot, 10 ms of service time and a queue."""
        policy = RankedAdmission(AdmissionSettings(1))
        policy.offer(QueuedRequest(0, Rank.ROUTINE, "a", 99.0), 10.0)
        policy.finish(0, 10.01)
        for work_id in range(1, count + 1):
            policy.offer(
                QueuedRequest(work_id, Rank.ROUTINE, caller, 10.01 + timeout), 10.01
            )
        return policy

    def test_refuses_what_cannot_finish_in_time(self):
        """Guards against work that waits only to be dropped at its deadline."""
        policy = self.fill(31)
        (decision,) = policy.offer(QueuedRequest(99, Rank.ROUTINE, "a", 10.11), 10.01)
        self.assertIsInstance(decision.error, errors.Overloaded)
        self.assertGreaterEqual(decision.error.retry_after, 0.2)
        self.assertEqual(
            policy.offer(QueuedRequest(98, Rank.ROUTINE, "a", 10.5), 10.01), []
        )

    def test_flooding_caller_does_not_fill_the_queue(self):
        """Guards against one caller whose backlog keeps all others out."""
        policy = self.fill(257, timeout=60.0)
        (decision,) = policy.offer(QueuedRequest(999, Rank.ROUTINE, "b", 70.0), 10.02)
        self.assertIsInstance(decision.error, errors.Overloaded)
        self.assertEqual(decision.request_id, 257)
        self.assertIn(999, policy.clear())
        self.assertEqual(policy.clear(), [])

    def test_slow_statement_does_not_refuse_for_ever(self):
        """Guards against an estimate that no new sample ever corrects."""
        policy = RankedAdmission(AdmissionSettings(1))
        policy.offer(QueuedRequest(1, Rank.ROUTINE, "a", 99.0), 10.0)
        policy.finish(1, 30.0)
        policy.offer(QueuedRequest(2, Rank.URGENT, "a", 99.0), 30.0)
        work = QueuedRequest(3, Rank.ROUTINE, "a", 31.0)
        self.assertIsInstance(policy.offer(work, 30.0)[0], Reject)
        outcomes = [
            policy.offer(QueuedRequest(10 + i, Rank.ROUTINE, "a", 32.0 + i), 31.0 + i)
            for i in range(20)
        ]
        self.assertEqual(outcomes[-1], [])

    def test_policies_are_plug_ins(self):
        """Guards against a policy that settings cannot name."""
        self.assertIs(kernel.plugin("admission", "ranked"), RankedAdmission)
        self.assertIs(kernel.plugin("admission", "fifo"), FifoAdmission)

    def test_impossible_floors_are_refused(self):
        """Guards against floors that cannot all be kept."""
        with self.assertRaises(errors.InvalidSettings):
            AdmissionSettings(3, floors=dict.fromkeys(Rank, 0.5))

    def test_free_slot_admits_at_once(self):
        """Guards against a queue that delays work while a slot is free."""
        policy = RankedAdmission(AdmissionSettings(1))
        work = QueuedRequest(1, Rank.LOOKUP, "a", 11.0)
        self.assertEqual(policy.offer(work, 10.0), [Admit(1)])
