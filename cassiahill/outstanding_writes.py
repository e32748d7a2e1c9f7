"""Writes that the primary has not answered yet, as a symptom of its failure."""

MIN_UNANSWERED_WRITES = 2  # A single answer may be lost in the network.


class OutstandingWrites:
    """Counts the unanswered writes and commits of one group.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    acknowledged_at : float
        Instant of the last acknowledgement of a write or commit.
    """

    def __init__(self, clock):
        self._clock = clock
        self._outstanding_count = 0
        self._unanswered_count = 0
        self._no_reply_since = None
        self.acknowledged_at = float("-inf")

    @property
    def unanswered_since(self):
        """Instant since which no write has been answered, or None."""
        return (
            self._no_reply_since
            if self._unanswered_count >= MIN_UNANSWERED_WRITES
            else None
        )

    def record_sent(self):
        """Count a write or commit that was sent to the primary."""
        self._outstanding_count += 1
        self._unanswered_count += 1
        if self._no_reply_since is None:
            self._no_reply_since = self._clock.now()

    def record_ended(self, reply):
        """Record that a write or commit ended, with or without a reply.

        Parameters
        ----------
        reply : statements.Reply or None
            None when no reply came; ``unanswered_since`` does not change then.
        """
        self._outstanding_count -= 1
        if reply is not None:
            now = self._clock.now()
            if reply.code is None:
                self.acknowledged_at = now
            self._unanswered_count = self._outstanding_count
            self._no_reply_since = now if self._outstanding_count else None

    def reset_failure_detection(self):
        """Reset the instant since which writes have not been answered."""
        self._no_reply_since = None
