"""Tests of ``cassiahill.successor_choice``."""

import unittest

from cassiahill import successor_choice
from cassiahill.positions import LogPosition
from cassiahill.replica_statuses import ReplicaStatus


def status(server_id, number, draining=False):
    """Return a replica's status; ``number`` None means that it did not answer."""
    position = None if number is None else LogPosition(1, number)
    return ReplicaStatus(server_id, draining, position, 1)


class ChooseSuccessorTest(unittest.TestCase):
    def test_longest_log_is_chosen(self):
        """Guards against the loss of a commit that only one replica has received."""
        chosen = successor_choice.choose_successor([status("b", 5), status("c", 9)])
        self.assertEqual(chosen, "c")

    def test_no_successor_while_a_replica_does_not_answer(self):
        """Guards against the loss of a commit that only the unreachable replica has."""
        self.assertIsNone(
            successor_choice.choose_successor([status("b", 5), status("c", None)])
        )

    def test_draining_replica_is_not_chosen_but_must_answer(self):
        """Guards against a new primary that leaves the group at once."""
        chosen = successor_choice.choose_successor(
            [status("b", 5), status("c", 9, True)]
        )
        self.assertEqual(chosen, "b")
        self.assertIsNone(
            successor_choice.choose_successor([status("b", 5), status("c", None, True)])
        )

    def test_longest_log_wins_although_its_replica_drains(self):
        """Guards against the loss of a commit that only a draining replica has.

        The search found that another replica was preferred although it was behind.
        """
        statuses = [status("b", 5), status("c", 9, draining=True)]
        longest = successor_choice.replica_with_longest_log(statuses)
        self.assertEqual(longest.server_id, "c")
        equal = [status("b", 9), status("c", 9, draining=True)]
        longest = successor_choice.replica_with_longest_log(equal)
        self.assertEqual(longest.server_id, "b")

    def test_no_successor_without_replicas(self):
        """Guards against an order to promote the present primary."""
        self.assertIsNone(successor_choice.choose_successor([]))
        self.assertIsNone(successor_choice.choose_successor([], synchronous=False))

    def test_asynchronous_group_waits_for_no_unreachable_replica(self):
        """Guards against an outage prolonged by a replica that is down."""
        statuses = [status("b", 5), status("c", None)]
        chosen = successor_choice.choose_successor(statuses, synchronous=False)
        self.assertEqual(chosen, "b")
        unreachable = [status("b", None), status("c", None)]
        self.assertIsNone(
            successor_choice.choose_successor(unreachable, synchronous=False)
        )


if __name__ == "__main__":
    unittest.main()
