"""Chooses the replica to promote from the statuses of all replicas of a group."""

from cassiahill.successor_nearness import Nearness


def choose_successor(statuses, synchronous=True, nearness_by_id=None):
    """Return the id of the replica to promote, or None while that is not safe.

    With synchronous replication, a replica that does not answer may be the only one
    with an acknowledged commit, so all replicas must answer, the draining ones too.
    Without synchronous replication, the newest commits are lost with the primary in any
    case, so replicas that do not answer are ignored.

    Parameters
    ----------
    statuses : list of ReplicaStatus
        All registered servers of the group but the primary.
    synchronous : bool
        Whether the group acknowledges a commit only after a replica has received it.
    nearness_by_id : dict of str to successor_nearness.Nearness, or None
        Decides among replicas that have received the same log.

    Returns
    -------
    str or None
    """
    nearness_by_id = nearness_by_id or {}
    answered = [status for status in statuses if status.received is not None]
    if not answered or (synchronous and len(answered) < len(statuses)):
        return None
    preferred = [status for status in answered if not status.draining] or answered
    return max(
        preferred,
        key=lambda status: (
            status.received,
            nearness_by_id.get(status.server_id, Nearness()),
            status.server_id,
        ),
    ).server_id


def replica_with_longest_log(statuses):
    """Return the ``ReplicaStatus`` of the replica with the longest log.

    Among equals, one that is not draining is preferred. A draining replica can win,
    because no other server has its last entries; a planned switchover then replaces it
    as primary.
    """
    return max(
        statuses,
        key=lambda status: (status.received, not status.draining, status.server_id),
    )
