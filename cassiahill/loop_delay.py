"""Logs when the event loop of a process runs its repeated work late."""

from cassiahill import event_log

# A request waits in such a process for longer than most of its deadlines allow. At this
# length a process that never gets the processor logs two lines a second at most.
LOGGED_DELAY_SECONDS = 0.5


class LoopDelay:
    """Delay of repeated work, because the process was busy, waiting or suspended.

    Parameters
    ----------
    due_at : float
        Instant at which the work is due first.
    """

    def __init__(self, due_at):
        self._due_at = due_at

    def record_run(self, now, next_due_at):
        """Log a long delay of a run, and note when the next run is due.

        Parameters
        ----------
        now : float
            Start of the run.
        next_due_at : float
        """
        if now - self._due_at >= LOGGED_DELAY_SECONDS:
            event_log.event("loop_delayed", seconds=now - self._due_at)
        self._due_at = next_due_at
