"""Writes that a primary has not acknowledged yet, as a sign of its health."""

MIN_UNANSWERED_WRITES = 2  # A single answer may be lost on its way.


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
        self._no_reply_since = None
        self.acknowledged_at = float("-inf")

    @property
    def unanswered_since(self):
        """Instant since which no write is answered, or None."""
        return (
            self._no_reply_since if self._unanswered >= MIN_UNANSWERED_WRITES else None
        )

    def sent(self):
        """Count a write or commit that a primary is to acknowledge."""
        self._outstanding += 1
        self._unanswered += 1
        if self._no_reply_since is None:
            self._no_reply_since = self._clock.now()

    def ended(self, reply):
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
            self._no_reply_since = now if self._outstanding else None

    def forget_silence(self):
        """Start anew to judge whether writes are answered."""
        self._no_reply_since = None
