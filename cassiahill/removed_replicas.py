"""Replicas that have left a group, and the commits that only they may have had.

A replica that leaves counts for the acknowledgement of commits until it is gone, and
its log goes with it. Then the primary may be the only server with an acknowledged
commit.
"""


class RemovedReplicas:
    """The replicas of one group that were removed.

    Attributes
    ----------
    required_position : positions.LogPosition or None
        Position that a new primary's log must have, so that no commit is lost which a
        removed replica had acknowledged; None when none was removed. It is known from
        the primary's first answer after the removal.
    removed_at : float
        Instant of the last removal.
    """

    def __init__(self):
        self._removed_at_by_id = {}
        self._awaits_position = False
        self.required_position = None
        self.removed_at = float("-inf")

    def record_removal(self, server_id, now):
        """Record that a replica was removed."""
        self._removed_at_by_id[server_id] = self.removed_at = now
        self._awaits_position = True

    def record_registration(self, server_id):
        """Record that a server is registered again."""
        self._removed_at_by_id.pop(server_id, None)

    def record_primary_position(self, asked_at, position):
        """Record a position that the primary had after it was asked.

        Parameters
        ----------
        asked_at : float
        position : positions.LogPosition
        """
        if self._awaits_position and asked_at >= self.removed_at:
            self._awaits_position = False
            self.required_position = position

    def removed_since(self, asked_at, not_before):
        """Return the ids of the replicas that were removed since an instant.

        Parameters
        ----------
        asked_at : float
            Instant of the primary's last answer.
        not_before : float
            Replicas that were removed earlier are left out.
        """
        return [
            server_id
            for server_id, removed_at in self._removed_at_by_id.items()
            if removed_at >= asked_at and removed_at > not_before
        ]
