"""Proof of freshness: which log position a read must find.

The primary of a group is asked at known instants. What it answers covers every commit
that was acknowledged before the question was sent, so a replica whose log has that
position is at most as old as the question. The replica itself checks the position
before it runs the read. All instants are of a clock that counts suspended time.
"""

import collections

import attrs

KEEP_SECONDS = 10.0
# Closer records add nothing: replicas apply commits some 20 ms late.
SPACING_SECONDS = 0.02
REFUSAL_PAUSE_SECONDS = 0.06  # About three times the usual delay of a replica.
MAX_DOUBLINGS = 3


@attrs.frozen
class Proof:
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


class PrimaryPositions:
    """Proofs of one group's primary, oldest first."""

    def __init__(self):
        self._samples = collections.deque()

    @property
    def latest(self):
        """The newest proof, or None."""
        return self._samples[-1] if self._samples else None

    def record(self, proof):
        """Take a proof; those of a term that has ended are dropped.

        Positions of an earlier term may have been rolled back, so that no log would
        ever have them.
        """
        latest = self.latest
        if latest is not None:
            if proof.position.term < latest.position.term:
                return
            if proof.position.term > latest.position.term:
                self._samples.clear()
            elif proof.asked_at - latest.asked_at < SPACING_SECONDS:
                return
        self._samples.append(proof)
        while self._samples[0].asked_at < proof.asked_at - KEEP_SECONDS:
            self._samples.popleft()

    def required(self, oldest, own_commit=None):
        """Return the lowest position that proves a read fresh, or None.

        Parameters
        ----------
        oldest : float
            Instant; the read must see all commits acknowledged before it.
        own_commit : positions.LogPosition or None
            Last commit of the session.
        """
        for proof in self._samples:
            if proof.asked_at >= oldest:
                if own_commit is None:
                    return proof.position
                return max(proof.position, own_commit)
        return None


class ReplicaProgress:
    """What is known of the log of one server."""

    def __init__(self):
        self.position = None
        self._refused_at = float("-inf")
        self._refused_position = None
        self._refusals = 0

    def record_position(self, position):
        """Take a position that the server stated."""
        if position is None:
            return
        self.position = position
        if self._refused_position is not None and position >= self._refused_position:
            self._refusals = 0

    def record_refusal(self, position, now):
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
        doublings = min(max(0, self._refusals - 1), MAX_DOUBLINGS)
        pause = REFUSAL_PAUSE_SECONDS * 2**doublings
        return now - self._refused_at >= pause
