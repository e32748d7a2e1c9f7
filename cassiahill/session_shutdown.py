"""Shutdown of a session proxy within its grace period."""

from cassiahill import event_log

# Instants of a shutdown, as fractions of the grace period.
STOP_LISTENING_SHARE = 0.4  # By then the balancer sends no new clients.
REFUSE_STATEMENTS_SHARE = 0.5  # Until then open transactions may end by themselves.
EXIT_SHARE = 0.85  # The rest is left for the process to exit.
DRAIN_POLL_SECONDS = 0.05


class SessionShutdown:
    """Drains the sessions of a process and stops its loop.

    Parameters
    ----------
    loop : loop.EventLoop
    grace_seconds : float
        Time between the request to stop and the kill of the process.
    sessions : session_server.SessionServer
    election : promoter_election.PromoterElection
    groups_by_name : dict of str to server_group.ServerGroup
        Groups of the process, which are closed at the end.
    """

    def __init__(self, loop, grace_seconds, sessions, election, groups_by_name):
        self._loop = loop
        self._grace_seconds = grace_seconds
        self._sessions = sessions
        self._election = election
        self._groups_by_name = groups_by_name
        self._started_at = None

    @property
    def has_begun(self):
        """Whether the process was asked to stop."""
        return self._started_at is not None

    def start(self):
        """Stop accepting clients, drain the open sessions, and stop the loop."""
        if self._started_at is None:
            self._started_at = self._loop.clock.now()
            self._election.shutting_down = True
            event_log.event("stop_begins", sessions=len(self._sessions))
            self._loop.spawn(self._drain())

    def _drain(self):
        """Close the sessions within the grace period and stop the loop; a task."""
        started_at = self._started_at
        grace_seconds = self._grace_seconds
        yield self._loop.sleep_until(started_at + STOP_LISTENING_SHARE * grace_seconds)
        self._sessions.stop_listening()
        refuse_at = started_at + REFUSE_STATEMENTS_SHARE * grace_seconds
        while len(self._sessions):
            self._sessions.close_idle()
            now = self._loop.clock.now()
            if now >= refuse_at:
                self._sessions.refuse_statements()
            if now >= started_at + EXIT_SHARE * grace_seconds:
                break
            yield self._loop.sleep_until(now + DRAIN_POLL_SECONDS)
        event_log.event("stopped", sessions_left=len(self._sessions))
        for group in self._groups_by_name.values():
            group.close()
        self._loop.stop()
