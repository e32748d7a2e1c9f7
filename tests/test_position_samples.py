"""Tests of ``cassiahill.position_samples``."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill.position_samples import (
    PositionSample,
    PrimaryPositions,
    ReplicaProgress,
)
from cassiahill.positions import LogPosition


def sample(asked_at, term, number):
    """Return a position sample of the primary ``a``."""
    return PositionSample(asked_at, "a", LogPosition(term, number))


class PrimaryPositionsTest(unittest.TestCase):
    def test_oldest_sufficient_sample_is_used(self):
        """Guards against replicas that are not used although they are fresh enough."""
        primary_positions = PrimaryPositions()
        for second in range(5):
            primary_positions.add_sample(sample(float(second), 1, second))
        self.assertEqual(primary_positions.required_position(1.5), LogPosition(1, 2))

    def test_no_position_from_older_samples(self):
        """Guards against a read that is staler than its freshness bound."""
        primary_positions = PrimaryPositions()
        primary_positions.add_sample(sample(1.0, 1, 7))
        self.assertIsNone(primary_positions.required_position(1.01))

    def test_own_commit_counts_when_it_is_later(self):
        """Guards against a session that does not see its own commit."""
        primary_positions = PrimaryPositions()
        primary_positions.add_sample(sample(1.0, 1, 7))
        self.assertEqual(
            primary_positions.required_position(0.5, LogPosition(1, 9)),
            LogPosition(1, 9),
        )

    def test_new_term_drops_positions_that_may_be_rolled_back(self):
        """Guards against reads that require a position which no log will ever have."""
        primary_positions = PrimaryPositions()
        primary_positions.add_sample(sample(1.0, 1, 9))
        primary_positions.add_sample(sample(2.0, 2, 8))
        self.assertEqual(primary_positions.required_position(0.5), LogPosition(2, 8))

    def test_late_answer_of_an_ended_term_is_ignored(self):
        """Guards against a sample from a late answer of the replaced primary."""
        primary_positions = PrimaryPositions()
        primary_positions.add_sample(sample(2.0, 2, 8))
        primary_positions.add_sample(sample(2.5, 1, 11))
        self.assertEqual(primary_positions.required_position(2.2), None)

    @settings(derandomize=True, max_examples=300)
    @given(st.lists(st.tuples(st.integers(1, 9), st.integers(0, 3)), max_size=30))
    def test_required_position_covers_all_acknowledged_before(self, steps):
        """Guards against a required position that misses a commit before the bound."""
        primary_positions = PrimaryPositions()
        now, number = 0.0, 0
        commits = []
        for pause, count in steps:
            now += pause / 10
            primary_positions.add_sample(sample(now, 1, number))
            for _ in range(count):
                number += 1
                commits.append((now, number))
        for back in range(10):
            fresh_since = now - back / 5
            required = primary_positions.required_position(fresh_since)
            if required is not None:
                acknowledged = [
                    commit
                    for acknowledged_at, commit in commits
                    if acknowledged_at < fresh_since
                ]
                self.assertGreaterEqual(required.number, max(acknowledged, default=0))


class ReplicaProgressTest(unittest.TestCase):
    def test_refusal_is_remembered_for_a_moment(self):
        """Guards against a lagging replica that every read is sent to."""
        progress = ReplicaProgress()
        progress.record_position(LogPosition(1, 3))
        progress.record_refusal(LogPosition(1, 4), 10.0)
        self.assertFalse(progress.may_have_position(LogPosition(1, 4), 10.01))
        self.assertTrue(progress.may_have_position(LogPosition(1, 4), 10.2))
        self.assertTrue(progress.may_have_position(LogPosition(1, 3), 10.01))

    def test_pause_grows_while_the_server_stays_behind(self):
        """Guards against reads that are tried on lagging replicas in turn."""
        progress = ReplicaProgress()
        progress.record_position(LogPosition(1, 3))
        for refused_at in (10.0, 10.1, 10.3):
            progress.record_refusal(LogPosition(1, 9), refused_at)
        self.assertFalse(progress.may_have_position(LogPosition(1, 9), 10.5))
        progress.record_position(LogPosition(1, 9))
        self.assertTrue(progress.may_have_position(LogPosition(1, 9), 10.5))
        progress.record_refusal(LogPosition(1, 12), 11.0)
        self.assertTrue(progress.may_have_position(LogPosition(1, 12), 11.1))


if __name__ == "__main__":
    unittest.main()
