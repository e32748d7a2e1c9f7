"""Tests of ``cassiahill.admission`` against a simple model."""

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
from tests.admission_model import AdmissionMachine, lowest_margin_by_rank

CHECK_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
# More examples, because the search ends as soon as it finds the fault.
SEARCH_SETTINGS = settings(CHECK_SETTINGS, max_examples=1000)


def admission_machine(policy_type):
    """Return the model as a state machine type for a policy."""
    return type("Machine", (AdmissionMachine,), {"policy_type": policy_type})


class RankedAdmissionTest(unittest.TestCase):
    def test_agrees_with_the_model(self):
        """Guards against lost or double decisions, exceeded slots and wrong order."""
        run_state_machine_as_test(
            admission_machine(RankedAdmission), settings=CHECK_SETTINGS
        )

    def test_model_rejects_broken_versions(self):
        """Guards against a model that accepts a faulty policy."""
        for policy_type, reason in broken_admission.BROKEN_POLICIES.items():
            with (
                self.subTest(policy_type.__name__),
                self.assertRaisesRegex(AssertionError, reason),
            ):
                run_state_machine_as_test(
                    admission_machine(policy_type), settings=SEARCH_SETTINGS
                )

    @settings(CHECK_SETTINGS, max_examples=8)
    @given(st.integers(0, 1000), st.sampled_from((1, 2, 3, 8)))
    def test_keeps_the_floors_over_any_second(self, seed, slots):
        """Guards against a rank that starves while a higher rank floods."""
        margin_by_rank = lowest_margin_by_rank(RankedAdmission, slots, seed)
        self.assertGreaterEqual(min(margin_by_rank.values()), 0.0, margin_by_rank)

    def test_model_rejects_a_policy_without_floors(self):
        """Guards against a check that accepts a policy without floors."""
        margin_by_rank = lowest_margin_by_rank(broken_admission.WithoutFloors, 3, 1)
        self.assertLess(margin_by_rank[Rank.ROUTINE], 0.0)

    def policy_with_backlog(self, count, timeout=9.0, caller="a"):
        """Return a policy with one slot, a mean service time of 10 ms and a queue."""
        policy = RankedAdmission(AdmissionSettings(1))
        policy.offer(QueuedRequest(0, Rank.ROUTINE, "a", 99.0), 10.0)
        policy.finish(0, 10.01)
        for request_id in range(1, count + 1):
            policy.offer(
                QueuedRequest(request_id, Rank.ROUTINE, caller, 10.01 + timeout), 10.01
            )
        return policy

    def test_refuses_a_request_that_would_miss_its_deadline(self):
        """Guards against a request that waits although it will miss its deadline."""
        policy = self.policy_with_backlog(31)
        (decision,) = policy.offer(QueuedRequest(99, Rank.ROUTINE, "a", 10.11), 10.01)
        self.assertIsInstance(decision.error, errors.Overloaded)
        self.assertGreaterEqual(decision.error.retry_after, 0.2)
        self.assertEqual(
            policy.offer(QueuedRequest(98, Rank.ROUTINE, "a", 10.5), 10.01), []
        )

    def test_flooding_caller_does_not_fill_the_queue(self):
        """Guards against a caller whose backlog fills the queue for all others."""
        policy = self.policy_with_backlog(257, timeout=60.0)
        (decision,) = policy.offer(QueuedRequest(999, Rank.ROUTINE, "b", 70.0), 10.02)
        self.assertIsInstance(decision.error, errors.Overloaded)
        self.assertEqual(decision.request_id, 257)
        self.assertIn(999, policy.clear())
        self.assertEqual(policy.clear(), [])

    def test_slow_statement_does_not_cause_lasting_refusals(self):
        """Guards against a mean service time that no new sample can correct."""
        policy = RankedAdmission(AdmissionSettings(1))
        policy.offer(QueuedRequest(1, Rank.ROUTINE, "a", 99.0), 10.0)
        policy.finish(1, 30.0)
        policy.offer(QueuedRequest(2, Rank.URGENT, "a", 99.0), 30.0)
        request = QueuedRequest(3, Rank.ROUTINE, "a", 31.0)
        self.assertIsInstance(policy.offer(request, 30.0)[0], Reject)
        decisions = [
            policy.offer(
                QueuedRequest(10 + index, Rank.ROUTINE, "a", 32.0 + index), 31.0 + index
            )
            for index in range(20)
        ]
        self.assertEqual(decisions[-1], [])

    def test_policies_are_plug_ins(self):
        """Guards against a policy that cannot be selected by its name."""
        self.assertIs(kernel.plugin("admission", "ranked"), RankedAdmission)
        self.assertIs(kernel.plugin("admission", "fifo"), FifoAdmission)

    def test_floors_above_one_are_refused(self):
        """Guards against floors whose sum exceeds 1."""
        with self.assertRaises(errors.InvalidSettings):
            AdmissionSettings(3, floors=dict.fromkeys(Rank, 0.5))

    def test_free_slot_admits_at_once(self):
        """Guards against a request that waits while a slot is free."""
        policy = RankedAdmission(AdmissionSettings(1))
        request = QueuedRequest(1, Rank.LOOKUP, "a", 11.0)
        self.assertEqual(policy.offer(request, 10.0), [Admit(1)])
