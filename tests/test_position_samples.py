"""Tests of ``cassiahill.position_samples``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill.position_samples import PrimaryPositions, Proof, ReplicaProgress
from cassiahill.positions import LogPosition


def proof(asked_at, term, number):
    """Return a proof of the server ``a``."""
    return Proof(asked_at, "a", LogPosition(term, number))


class GroupEvidenceTest(unittest.TestCase):
    def test_oldest_sufficient_proof_is_used(self):
        """Guards against replicas that are refused although they are fresh enough."""
        held = PrimaryPositions()
        for second in range(5):
            held.record(proof(float(second), 1, second))
        self.assertEqual(held.required(1.5), LogPosition(1, 2))

    def test_nothing_is_proved_by_older_proofs(self):
        """Guards against a read that is older than its bound."""
        held = PrimaryPositions()
        held.record(proof(1.0, 1, 7))
        self.assertIsNone(held.required(1.01))

    def test_own_commit_counts_when_it_is_later(self):
        """Guards against a session that does not see its own commit."""
        held = PrimaryPositions()
        held.record(proof(1.0, 1, 7))
        self.assertEqual(held.required(0.5, LogPosition(1, 9)), LogPosition(1, 9))

    def test_new_term_drops_positions_that_may_be_rolled_back(self):
        """Guards against a position that no log will ever have."""
        held = PrimaryPositions()
        held.record(proof(1.0, 1, 9))
        held.record(proof(2.0, 2, 8))
        self.assertEqual(held.required(0.5), LogPosition(2, 8))

    def test_late_answer_of_an_ended_term_is_ignored(self):
        """Guards against an answer of the replaced primary that arrives late."""
        held = PrimaryPositions()
        held.record(proof(2.0, 2, 8))
        held.record(proof(2.5, 1, 11))
        self.assertEqual(held.required(2.2), None)

    @settings(derandomize=True, max_examples=300)
    @given(st.lists(st.tuples(st.integers(1, 9), st.integers(0, 3)), max_size=30))
    def test_required_position_covers_all_acknowledged_before(self, steps):
        """Guards against a proof that misses a commit older than the bound."""
        held = PrimaryPositions()
        now, number = 0.0, 0
        commits = []
        for pause, count in steps:
            now += pause / 10
            held.record(proof(now, 1, number))
            for _ in range(count):
                number += 1
                commits.append((now, number))
        for back in range(10):
            oldest = now - back / 5
            required = held.required(oldest)
            if required is not None:
                acknowledged = [one for at, one in commits if at < oldest]
                self.assertGreaterEqual(required.number, max(acknowledged, default=0))


class ReplicaProgressTest(unittest.TestCase):
    def test_refusal_is_remembered_for_a_moment(self):
        """Guards against a lagging replica that is asked for each read."""
        progress = ReplicaProgress()
        progress.record_position(LogPosition(1, 3))
        progress.record_refusal(LogPosition(1, 4), 10.0)
        self.assertFalse(progress.may_have(LogPosition(1, 4), 10.01))
        self.assertTrue(progress.may_have(LogPosition(1, 4), 10.2))
        self.assertTrue(progress.may_have(LogPosition(1, 3), 10.01))

    def test_pause_grows_while_the_server_stays_behind(self):
        """Guards against reads that go round between lagging replicas."""
        progress = ReplicaProgress()
        progress.record_position(LogPosition(1, 3))
        for at in (10.0, 10.1, 10.3):
            progress.record_refusal(LogPosition(1, 9), at)
        self.assertFalse(progress.may_have(LogPosition(1, 9), 10.5))
        progress.record_position(LogPosition(1, 9))
        self.assertTrue(progress.may_have(LogPosition(1, 9), 10.5))
        progress.record_refusal(LogPosition(1, 12), 11.0)
        self.assertTrue(progress.may_have(LogPosition(1, 12), 11.1))


if __name__ == "__main__":
    unittest.main()
