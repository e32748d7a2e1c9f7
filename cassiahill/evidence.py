"""PositionSample of freshness: which log position a read must find.

The primary of a group is asked at known instants. What it answers covers every commit
that was acknowledged before the question was sent, so a replica whose log has that
position is at most as old as the question. The replica itself checks the position
before it runs the read. All instants are of a clock that counts suspended time.
"""

import collections

import attrs

RETENTION_SECONDS = 10.0
# Closer records add nothing: replicas apply commits some 20 ms late.
MIN_SAMPLE_INTERVAL_SECONDS = 0.02
RETRY_PAUSE_SECONDS = 0.06  # About three times the usual delay of a replica.
MAX_PAUSE_DOUBLINGS = 3


@attrs.frozen
class PositionSample:
    """What the primary said.

    Attributes
    ----------
    asked_at : float
        Instant before the question was sent.
    server_id : str
    position : positions.LogPosition
    """

    asked_at: float
    server_id: str
    position: object


class GroupEvidence:
    """Proofs of one group's primary, oldest first."""

    def __init__(self):
        self._proofs = collections.deque()

    @property
    def latest(self):
        """The newest proof, or None."""
        return self._proofs[-1] if self._proofs else None

    def record(self, sample):
        """Take a proof; those of a term that has ended are dropped.

        Positions of an earlier term may have been rolled back, so that no log would
        ever have them.
        """
        latest = self.latest
        if latest is not None:
            if sample.position.term < latest.position.term:
                return
            if sample.position.term > latest.position.term:
                self._proofs.clear()
            elif sample.asked_at - latest.asked_at < MIN_SAMPLE_INTERVAL_SECONDS:
                return
        self._proofs.append(sample)
        while self._proofs[0].asked_at < sample.asked_at - RETENTION_SECONDS:
            self._proofs.popleft()

    def required(self, oldest, own_commit=None):
        """Return the lowest position that proves a read fresh, or None.

        Parameters
        ----------
        oldest : float
            Instant; the read must see all commits acknowledged before it.
        own_commit : positions.LogPosition or None
            Last commit of the session.
        """
        for sample in self._proofs:
            if sample.asked_at >= oldest:
                if own_commit is None:
                    return sample.position
                return max(sample.position, own_commit)
        return None


class ReplicaProgress:
    """What is known of the log of one server."""

    def __init__(self):
        self.position = None
        self._refused_at = float("-inf")
        self._refused_position = None
        self._refusals = 0

    def observe(self, position):
        """Take a position that the server stated."""
        if position is None:
            return
        self.position = position
        if self._refused_position is not None and position >= self._refused_position:
            self._refusals = 0

    def refused(self, position, now):
        """Take note that the server lacked a position."""
        self._refused_at = now
        self._refused_position = position
        self._refusals += 1

    def may_have(self, position, now):
        """Return whether it is worth asking the server for a position.

        A server that refused is asked again after a pause, unless it has stated the
        position since. The pause doubles while the server stays behind.
        """
        if self.position is not None and self.position >= position:
            return True
        doublings = min(max(0, self._refusals - 1), MAX_PAUSE_DOUBLINGS)
        pause = RETRY_PAUSE_SECONDS * 2**doublings
        return now - self._refused_at >= pause
