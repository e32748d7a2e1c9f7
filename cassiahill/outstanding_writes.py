"""Writes that a primary has not acknowledged yet, as a sign of its health."""

STUCK_WRITES = 2  # A single answer may be lost on its way.


class OutstandingWrites:
    """Counts the writes and commits of one group that are under way.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    acknowledged_at : float
        Instant of the last acknowledgement.
    """

    def __init__(self, clock):
        self._clock = clock
        self._outstanding = 0
        self._unanswered = 0
        self._silent_since = None
        self.acknowledged_at = float("-inf")

    @property
    def stuck_since(self):
        """Instant since which no write is answered, or None."""
        return self._silent_since if self._unanswered >= STUCK_WRITES else None

    def record_sent(self):
        """Count a write or commit that a primary is to acknowledge."""
        self._outstanding += 1
        self._unanswered += 1
        if self._silent_since is None:
            self._silent_since = self._clock.now()

    def record_ended(self, reply):
        """Count its end; without a reply, the time since the last one goes on.

        Parameters
        ----------
        reply : statements.Reply or None
        """
        self._outstanding -= 1
        if reply is not None:
            now = self._clock.now()
            if reply.code is None:
                self.acknowledged_at = now
            self._unanswered = self._outstanding
            self._silent_since = now if self._outstanding else None

    def reset_failure_detection(self):
        """Start anew to judge whether writes are answered."""
        self._silent_since = None
