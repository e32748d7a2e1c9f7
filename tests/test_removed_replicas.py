"""Tests of ``cassiahill.removed_replicas``."""

import unittest

from cassiahill.removed_replicas import RemovedReplicas


class RemovedReplicasTest(unittest.TestCase):
    def setUp(self):
        self.replicas = RemovedReplicas()

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
