"""Samples of the primary's log position, which tell the position that a read requires.

The primary of a group reports its log position in answers to statements sent at known
instants. The position covers every commit that was acknowledged before the statement
was sent, so a replica whose log has this position is no staler than that instant. The
replica itself checks the position before it runs the read. All instants are of a clock
that also counts the time while the machine is suspended.
"""

import collections

import attrs

RETENTION_SECONDS = 10.0
# Replicas apply commits some 20 ms late, so closer samples would not help any read.
MIN_SAMPLE_INTERVAL_SECONDS = 0.02
RETRY_PAUSE_SECONDS = 0.06  # About three times the usual replication delay.
MAX_PAUSE_DOUBLINGS = 3


@attrs.frozen
class PositionSample:
    """A log position that the primary reported, and when it was asked.

    Attributes
    ----------
    asked_at : float
        Instant before the statement was sent.
    server_id : str
        The primary that answered.
    position : positions.LogPosition
    """

    asked_at: float
    server_id: str
    position: object


class PrimaryPositions:
    """Recent position samples of one group's primary, oldest first."""

    def __init__(self):
        self._samples = collections.deque()

    def clear(self):
        """Drop all samples."""
        self._samples.clear()

    @property
    def latest_sample(self):
        """The newest sample, or None."""
        return self._samples[-1] if self._samples else None

    def add_sample(self, sample):
        """Add a sample; samples of earlier terms are dropped.

        Positions of an earlier term may have been rolled back. No log would ever have
        them then, and each read that requires one would be refused.
        """
        latest = self.latest_sample
        if latest is not None:
            if sample.position.term < latest.position.term:
                return
            if sample.position.term > latest.position.term:
                self._samples.clear()
            elif sample.asked_at - latest.asked_at < MIN_SAMPLE_INTERVAL_SECONDS:
                return
        self._samples.append(sample)
        while self._samples[0].asked_at < sample.asked_at - RETENTION_SECONDS:
            self._samples.popleft()

    def required_position(self, fresh_since, own_commit=None):
        """Return the lowest position at which a read is fresh enough.

        Parameters
        ----------
        fresh_since : float
            Instant; the read must see all commits acknowledged before it.
        own_commit : positions.LogPosition or None
            Position of the session's last commit, which the read must see too.

        Returns
        -------
        positions.LogPosition or None
            None when no sample was taken since ``fresh_since``.
        """
        for sample in self._samples:
            if sample.asked_at >= fresh_since:
                if own_commit is None:
                    return sample.position
                return max(sample.position, own_commit)
        return None


class ReplicaProgress:
    """The log position of one server, as far as this process knows it."""

    def __init__(self):
        self.position = None
        self._refused_at = float("-inf")
        self._refused_position = None
        self._refusal_count = 0

    def record_position(self, position):
        """Record a position that the server reported."""
        if position is None:
            return
        self.position = position
        if self._refused_position is not None and position >= self._refused_position:
            self._refusal_count = 0

    def record_refusal(self, position, now):
        """Record that the server refused a read because its log lacked a position."""
        self._refused_at = now
        self._refused_position = position
        self._refusal_count += 1

    def may_have_position(self, position, now):
        """Return whether the server's log may have a position.

        After a refusal, the answer is False for a pause, unless the server has reported
        the position since. The pause doubles while the server stays behind.
        """
        if self.position is not None and self.position >= position:
            return True
        pause_doublings = min(max(0, self._refusal_count - 1), MAX_PAUSE_DOUBLINGS)
        pause_seconds = RETRY_PAUSE_SECONDS * 2**pause_doublings
        return now - self._refused_at >= pause_seconds
