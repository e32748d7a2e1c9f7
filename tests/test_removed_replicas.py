"""Tests of ``cassiahill.removed_replicas``."""

import unittest

from cassiahill.positions import LogPosition
from cassiahill.removed_replicas import RemovedReplicas


class RemovedReplicasTest(unittest.TestCase):
    def setUp(self):
        self.replicas = RemovedReplicas()

    def test_position_is_that_of_the_first_answer_after_the_removal(self):
        """Guards against a position that lacks what the replica acknowledged last."""
        self.replicas.record_primary_position(9.0, LogPosition(1, 5))
        self.assertIsNone(self.replicas.required_position)
        self.replicas.record_removal("c", 10.0)
        self.replicas.record_primary_position(9.9, LogPosition(1, 6))
        self.assertIsNone(self.replicas.required_position)
        self.replicas.record_primary_position(10.1, LogPosition(1, 7))
        self.replicas.record_primary_position(11.0, LogPosition(1, 8))
        self.assertEqual(self.replicas.required_position, LogPosition(1, 7))

    def test_replicas_removed_since_the_primary_answered(self):
        """Guards against waiting for replicas that left in a planned way."""
        self.replicas.record_removal("b", 5.0)
        self.replicas.record_removal("c", 10.0)
        self.assertEqual(self.replicas.removed_since(6.0, 0.0), ["c"])
        self.assertEqual(self.replicas.removed_since(4.0, 6.0), ["c"])
        self.replicas.record_registration("c")
        self.assertEqual(self.replicas.removed_since(6.0, 0.0), [])


if __name__ == "__main__":
    unittest.main()
