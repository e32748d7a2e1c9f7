"""Evidence that no database runs where an entry in the store says so.

Nobody can ask such a server what it has, and its entry may stay for ever, because
another writer has made it. The entry of a server that has ended is removed after some
heartbeats. One that is still listed after that time, while its address refuses all
connections, belongs to nobody. A server that only stays silent may be behind a cut, so
that it takes much longer until the others go on without it.
"""

import math

# Longer than the heartbeats after whose absence the store removes an entry.
REFUSED_ABSENCE_SECONDS = 8.0
# As long as is waited for a server that has crashed with commits of its own.
SILENT_ABSENCE_SECONDS = 30.0


class ServerAbsence:
    """For how long one server has refused connections or given no answer.

    Attributes
    ----------
    refused_since, unanswered_since : float
        Instants; infinite after an answer. The first one is infinite also after an
        attempt that was not refused.
    """

    def __init__(self):
        self.refused_since = math.inf
        self.unanswered_since = math.inf

    def record_answer(self):
        """Record any sign of the server."""
        self.refused_since = self.unanswered_since = math.inf

    def record_refusal(self, now):
        """Record that nobody accepts connections, or that another server does."""
        self.refused_since = min(self.refused_since, now)
        self.unanswered_since = min(self.unanswered_since, now)

    def record_silence(self, now):
        """Record that an answer did not come in time."""
        self.refused_since = math.inf
        self.unanswered_since = min(self.unanswered_since, now)

    def is_certain(self, now, listed_since):
        """Return whether no server is there although its entry is.

        Parameters
        ----------
        now : float
        listed_since : float
            Instant since which the store has answered, so that it would have removed
            the entry of a server that has ended.
        """
        return (
            now - max(self.refused_since, listed_since) >= REFUSED_ABSENCE_SECONDS
            or now - max(self.unanswered_since, listed_since) >= SILENT_ABSENCE_SECONDS
        )
