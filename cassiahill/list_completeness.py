"""Whether this process knows all backend servers that run.

Entries that expired while the shared store was away return some time after the store
does. A process that saw them before keeps their servers for that time
(``catalog.REMOVAL_DELAY_SECONDS``). One that has started since cannot know that they
are missing, nor when the store has returned.
"""

import math

from cassiahill.catalog import REMOVAL_DELAY_SECONDS


class ListCompleteness:
    """Tells since when the list of servers is complete in a process that has started.

    It is once the store has answered for ``REMOVAL_DELAY_SECONDS``. From then on the
    process keeps the servers whose entries expire, so that the list stays complete.

    Attributes
    ----------
    answered_since : float
        Instant since which the store has answered; infinite while it does not.
    is_complete : bool
        Whether the list is complete.
    """

    def __init__(self):
        self._era = None
        self.answered_since = math.inf
        self.is_complete = False

    @property
    def complete_at(self):
        """Instant from which an answer of the store makes the list complete.

        It is infinite while the store does not answer, and minus infinity once the list
        is complete.
        """
        if self.is_complete:
            return -math.inf
        return self.answered_since + REMOVAL_DELAY_SECONDS

    def record_answer(self, asked_at, now, era):
        """Record that the store has listed the servers or their changes.

        Parameters
        ----------
        asked_at : float
            Instant before the store was asked.
        now : float
        era : int
            Era of the store. In a new one it has been away since the last answer.
        """
        if era != self._era or self.answered_since == math.inf:
            self._era = era
            self.answered_since = now
        elif asked_at >= self.complete_at:
            self.is_complete = True

    def record_failure(self):
        """Record that the store did not answer; further entries may expire."""
        self.answered_since = math.inf
