"""The newest commit of a group whose acknowledgement this process has seen.

A new primary must have it, whichever replica acknowledged it and whether or not that
replica is known.
"""


class AcknowledgedCommits:
    """The newest acknowledged commit of one group.

    Attributes
    ----------
    position : positions.LogPosition or None
        Position that the primary stated when it acknowledged the commit; None before
        the first one.
    seen_at : float
        Instant of the acknowledgement.
    """

    def __init__(self):
        self.position = None
        self.seen_at = float("-inf")

    def record(self, position, now):
        """Record the position in an acknowledgement, or None if it states none."""
        if position is None or (
            self.position is not None and position <= self.position
        ):
            return
        self.position = position
        self.seen_at = now

    def may_be_beyond(self, position):
        """Return whether a log that ends at a position may lack such a commit."""
        return self.position is not None and position < self.position
