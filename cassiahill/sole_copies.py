"""Commits of which a group's primary may have the only copy.

A commit is acknowledged once one replica has it. When that replica leaves or restarts
without its log, or becomes the primary after the former one was lost, the primary may
be the only server that has the commit. A new primary must have it too.
"""


class SoleCopies:
    """What a new primary's log must have, whatever the present replicas have.

    Commits that are acknowledged later are in the log of one of the present replicas.

    Attributes
    ----------
    required_position : positions.LogPosition or None
        Position that a new primary's log must have, so that no commit is lost; None
        when all acknowledged commits are in the logs of the present replicas.
    lost_at : float
        Instant at which this process last learned that a server's log was lost.
    """

    def __init__(self):
        self._primary_id = None
        self._awaits_position = False
        self.required_position = None
        self.lost_at = float("-inf")

    def record_lost_log(self, now):
        """Record that a server has left the group or restarted without its log."""
        self.lost_at = now
        self._awaits_position = True

    def record_promotion(self, server_id, position):
        """Record what a new primary had received when its promotion was ordered.

        Parameters
        ----------
        server_id : str
        position : positions.LogPosition
        """
        if self._primary_id == server_id:
            return  # Its own answer covers more.
        self._primary_id = server_id
        self._awaits_position = True
        self.required_position = position

    def record_primary_position(self, server_id, asked_at, position):
        """Record a position that the primary had after it was asked.

        It covers all commits acknowledged before, by whichever server. What happened
        before the first answer is unknown, also to a process that has just started.

        Parameters
        ----------
        server_id : str
            The primary.
        asked_at : float
        position : positions.LogPosition
        """
        is_first_answer = self._primary_id != server_id
        if is_first_answer or (self._awaits_position and asked_at >= self.lost_at):
            self._awaits_position = False
            self.required_position = position
        self._primary_id = server_id

    def may_be_beyond(self, position):
        """Return whether a log that ends at a position may lack such a commit."""
        return self.required_position is not None and position < self.required_position
