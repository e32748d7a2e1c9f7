"""How often a primary in another region is asked for its position; does no I/O.

Each answer of the primary to a write or a read of the newest state is a position
sample. Only without one does a probe cross for it. A probe across is worth its room on
the link when recent reads have a freshness bound that older samples would not meet.
"""

# Samples within the shortest freshness bound of recent reads: one may be lost, and a
# replica must have time to receive the position.
SAMPLES_PER_BOUND = 3
RECENT_READ_SECONDS = 5.0  # A read counts for this time.


class SampleDemand:
    """The shortest freshness bound of recent reads."""

    def __init__(self):
        self._bound_seconds = float("inf")
        self._valid_until = float("-inf")

    def record_read(self, bound_seconds, now):
        """Record the freshness bound of a read that looks for a server."""
        if now > self._valid_until or bound_seconds <= self._bound_seconds:
            self._bound_seconds = bound_seconds
            self._valid_until = now + RECENT_READ_SECONDS

    def sample_interval(self, shortest_seconds, longest_seconds, now):
        """Return the time after which a sample is renewed by a probe.

        Parameters
        ----------
        shortest_seconds : float
            Interval that meets the lowest freshness bound.
        longest_seconds : float
            Interval in which each server is probed in any case.
        now : float

        Returns
        -------
        float
        """
        if now > self._valid_until:
            return longest_seconds
        needed_seconds = self._bound_seconds / SAMPLES_PER_BOUND
        return min(longest_seconds, max(shortest_seconds, needed_seconds))
