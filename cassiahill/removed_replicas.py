"""Replicas that have left a group, and may still run beside its primary."""


class RemovedReplicas:
    """The replicas of one group that were removed."""

    def __init__(self):
        self._removed_at_by_id = {}

    def record_removal(self, server_id, now):
        """Record that a replica was removed."""
        self._removed_at_by_id[server_id] = now

    def record_registration(self, server_id):
        """Record that a server is registered again."""
        self._removed_at_by_id.pop(server_id, None)

    def removed_since(self, asked_at, not_before):
        """Return the ids of the replicas that were removed since an instant.

        Parameters
        ----------
        asked_at : float
            Instant of the primary's last answer.
        not_before : float
            Replicas that were removed earlier are left out.
        """
        return list(self.removed_at_by_id(asked_at, not_before))

    def removed_at_by_id(self, asked_at, not_before):
        """Return the instants of the removals that ``removed_since`` names, by id."""
        return {
            server_id: removed_at
            for server_id, removed_at in self._removed_at_by_id.items()
            if removed_at >= asked_at and removed_at > not_before
        }
