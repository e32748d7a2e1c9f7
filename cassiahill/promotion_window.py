"""Guards the second between an accepted promotion and the instant it takes effect.

The old primary goes on until then. Servers that start or restart are paused again. If
the successor does not receive what the old primary writes, no client can be told of
it, and the old primary steps down.
"""

from cassiahill import event_log, statements

CHECK_INTERVAL_SECONDS = 0.05
# Time for an entry to reach the successor, also on a busy network.
MAX_LAG_SECONDS = 0.08
STATUS_TIMEOUT_SECONDS = 0.15


class PromotionWindow:
    """Watches the servers of one group while a promotion is about to take effect.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    statuses : replica_statuses.ReplicaStatuses
    primary : str or None
        Id of the old primary.
    successor : str
    term : int
        Term of the other replicas' pauses.
    """

    def __init__(self, loop, group, statuses, primary, successor, term):
        self._loop = loop
        self._group = group
        self._statuses = statuses
        self._primary = primary
        self._successor = successor
        self._term = term
        self._behind_since = None
        self._closed = False

    def close(self):
        """End the watch."""
        self._closed = True

    def watch_others(self):
        """Pause servers that start or restart; a task."""
        while self._is_open():
            yield from self._pause_others()
            yield self._next_check()

    def watch_successor(self):
        """Let the old primary step down if the successor lags behind it; a task."""
        while self._is_open():
            if (yield from self._lags()):
                yield from self._step_down()
                return
            yield self._next_check()

    def _next_check(self):
        return self._loop.sleep_until(self._loop.clock.now() + CHECK_INTERVAL_SECONDS)

    def _is_open(self):
        """Return whether the old primary may still acknowledge commits.

        In a group without synchronous replication nothing is protected.
        """
        return (
            not self._closed
            and self._group.synchronous
            and self._primary in self._group.pools_by_id
            and self._group.primary.server_id == self._primary
        )

    def _pause_others(self):
        """Pause servers that have registered or restarted since the order."""
        others = set(self._group.pools_by_id) - {self._primary, self._successor}
        statuses = yield from self._ask(sorted(others), statements.ReadStatus())
        unpaused_ids = [
            status.server_id
            for status in statuses
            if status.received is not None and status.paused_term != self._term
        ]
        if not unpaused_ids or not self._is_open():
            return
        event_log.event(
            "replicas_paused_again",
            group=self._group.name,
            servers=" ".join(unpaused_ids),
            term=self._term,
        )
        yield from self._ask(unpaused_ids, statements.PauseReceiving(self._term))

    def _lags(self):
        """Return whether the successor has not received the primary's log for long."""
        [primary] = yield from self._ask([self._primary], statements.ReadStatus())
        if not primary.is_primary or primary.received is None:
            self._behind_since = None
            return False
        [successor] = yield from self._ask([self._successor], statements.ReadStatus())
        if successor.received is None or successor.received >= primary.received:
            # A successor that does not answer may not run, and never lead.
            self._behind_since = None
            return False
        now = self._loop.clock.now()
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= MAX_LAG_SECONDS

    def _step_down(self):
        """Let the old primary acknowledge nothing more."""
        status = yield from self._statuses.ask(
            self._primary, statements.StepDown(self._term)
        )
        event_log.event(
            "primary_stepped_down",
            group=self._group.name,
            primary=self._primary,
            successor=self._successor,
            answered=status.received is not None,
        )

    def _ask(self, server_ids, statement):
        futures = [
            self._loop.spawn(
                self._statuses.ask(server_id, statement, STATUS_TIMEOUT_SECONDS)
            )
            for server_id in server_ids
        ]
        statuses = []
        for future in futures:
            statuses.append((yield future))
        return statuses
