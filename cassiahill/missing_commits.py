"""Commits that a new primary must have and that no reachable replica has."""

# Longer than a network partition around the primary and a replica is expected to last;
# both answer again after it.
REMOVED_REPLICA_WAIT_SECONDS = 10.0
# Longer than a server that has crashed takes to come back with its log.
MISSING_COMMIT_WAIT_SECONDS = 30.0
# An entry that expired while the store was away is back two seconds after its return.
UNKNOWN_REPLICA_WAIT_SECONDS = 3.0
# Attempts of one incident follow one another within a second or two.
MAX_CHECK_GAP_SECONDS = 5.0


class MissingCommits:
    """Decides whether to wait for a server of one group that has such commits.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    """

    def __init__(self, loop, group):
        self._loop = loop
        self._group = group
        self._missing_since = None
        self._checked_at = float("-inf")
        self._unknown_since_by_id = {}

    def awaited_ids(self, replica_ids):
        """Return the replicas, known to other proxies only, that may register again.

        Nobody has paused such a replica. It may acknowledge commits that are lost when
        another server is promoted.

        Parameters
        ----------
        replica_ids : set of str
            Those that other proxies are connected to.
        """
        if not self._group.synchronous:
            return []
        now = self._loop.clock.now()
        former = self._unknown_since_by_id
        self._unknown_since_by_id = {
            server_id: former.get(server_id, now)
            for server_id in sorted(replica_ids - set(self._group.pools_by_id))
        }
        return [
            server_id
            for server_id, unknown_since in self._unknown_since_by_id.items()
            if now - unknown_since < UNKNOWN_REPLICA_WAIT_SECONDS
        ]

    def awaited_removed_ids(self, removed_seconds_by_id):
        """Return the replicas that others have removed and that may run by the primary.

        A promoter that started after the removal does not know of it.

        Parameters
        ----------
        removed_seconds_by_id : dict of str to float
            For how long other proxies have removed replicas.
        """
        if not self._group.synchronous:
            return []
        now = self._loop.clock.now()
        return [
            server_id
            for server_id, seconds in sorted(removed_seconds_by_id.items())
            if server_id not in self._group.pools_by_id
            and now - seconds >= self._group.primary_answered_at
        ]

    def may_lack(self, successor, primary_answers):
        """Return whether a successor may lack acknowledged commits.

        While the primary answers, it keeps its role until the others have received
        them. Otherwise it, or a replica, may come back with them for some time.
        """
        if not self._group.synchronous:
            return False
        is_missing = self._group.acknowledged_commits.may_be_beyond(successor.received)
        if is_missing and primary_answers:
            return True
        return self._awaits_holder(is_missing) or self._may_lack_sole_copies(
            successor, primary_answers
        )

    def _awaits_holder(self, is_missing):
        """Return whether a server that has acknowledged commits may still come back."""
        if not is_missing:
            self._missing_since = None
            return False
        now = self._loop.clock.now()
        if (
            self._missing_since is None
            or now - self._checked_at > MAX_CHECK_GAP_SECONDS
        ):
            self._missing_since = now
        self._checked_at = now
        return now - self._missing_since <= MISSING_COMMIT_WAIT_SECONDS

    def _may_lack_sole_copies(self, successor, primary_answers):
        """Return whether only the primary may have some acknowledged commits."""
        sole_copies = self._group.sole_copies
        if not sole_copies.may_be_beyond(successor.received):
            return False
        if primary_answers:
            return True
        waited_since = max(self._group.primary_answered_at, sole_copies.lost_at)
        return self._loop.clock.now() - waited_since <= REMOVED_REPLICA_WAIT_SECONDS
