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
    complete_at : float
        Instant from which an answer of the store makes the list complete; infinite
        while the store does not answer, minus infinity once the list is complete.
    """

    def __init__(self):
        self._era = None
        self.complete_at = math.inf

    @property
    def is_complete(self):
        """Whether the list is complete."""
        return self.complete_at == -math.inf

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
        if self.is_complete:
            return
        if era != self._era or self.complete_at == math.inf:
            self._era = era
            self.complete_at = now + REMOVAL_DELAY_SECONDS
        elif asked_at >= self.complete_at:
            self.complete_at = -math.inf

    def record_failure(self):
        """Record that the store did not answer; further entries may expire."""
        if not self.is_complete:
            self.complete_at = math.inf
