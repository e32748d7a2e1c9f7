"""Asks the servers of a group for their status, and ends pauses of replication."""

import enum

import attrs

from cassiahill import event_log, statements
from cassiahill.statements import Code

ANSWER_TIMEOUT_SECONDS = 0.4
POLL_INTERVAL_SECONDS = 0.03


@attrs.frozen
class ReplicaStatus:
    """Status that a server reported, or the lack of an answer.

    Attributes
    ----------
    server_id : str
    draining : bool
        Whether the server is about to leave the group.
    received : positions.LogPosition or None
        Last log position that it has received; None when it did not answer.
    term : int
        Highest term that it has heard of.
    paused_term : int
        Term of the pause in which it receives no log entries; 0 outside a pause.
    is_primary : bool
        Whether it is the primary, as it sees itself.
    """

    server_id: str
    draining: bool
    received: object
    term: int = 0
    paused_term: int = 0
    is_primary: bool = False


class ResumeResult(enum.Enum):
    """Whether replicas are left in a pause."""

    RESUMED = "resumed"  # None is.
    UNANSWERED = "unanswered"  # One that did not answer may be.
    UNCONFIRMED = "unconfirmed"  # The store has not confirmed the promoter's role.


class ReplicaStatuses:
    """Statuses and pauses of the servers of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    """

    def __init__(self, loop, group):
        self._loop = loop
        self._group = group

    def ask(self, server_id, statement, timeout_seconds=ANSWER_TIMEOUT_SECONDS):
        """Send a status or replication statement; return the ``ReplicaStatus``.

        The statement is sent again while the server answers that it is busy. A task.
        """
        deadline = self._loop.clock.now() + timeout_seconds
        pool = self._group.pools_by_id.get(server_id)
        draining = pool is not None and pool.server.draining
        while pool is not None and self._loop.clock.now() < deadline:
            report = yield from self._group.ask_status_report(
                server_id, statement, deadline
            )
            if report is not Code.BUSY:
                if report is None:
                    break
                return ReplicaStatus(
                    server_id,
                    draining,
                    report.received,
                    report.term,
                    report.paused_term,
                    report.is_primary,
                )
            yield self._loop.sleep_until(self._loop.clock.now() + POLL_INTERVAL_SECONDS)
        return ReplicaStatus(server_id, draining, None)

    def ask_all(self, server_ids, statement):
        """Send a statement to several servers at once; return a status for each."""
        futures = [
            self._loop.spawn(self.ask(server_id, statement)) for server_id in server_ids
        ]
        statuses = []
        for future in futures:
            statuses.append((yield future))
        return statuses

    def resume(self, server_ids, is_ours, confirm_promoter):
        """Let paused replicas receive the log again, if the pause is ours.

        Another promoter may have paused them since, and relies on that. No token makes
        a server refuse to end a pause, so the store must confirm right before that
        there is no newer promoter.

        Parameters
        ----------
        server_ids : list of str
        is_ours : callable
            Takes the term of a pause.
        confirm_promoter : callable
            Returns the future of whether the store names this process.

        Returns
        -------
        ResumeResult
        """
        statuses = yield from self.ask_all(server_ids, statements.ReadStatus())
        paused_ids = [
            status.server_id
            for status in statuses
            if status.paused_term and is_ours(status.paused_term)
        ]
        if paused_ids and not (yield confirm_promoter()):
            event_log.event(
                "pauses_left_unconfirmed",
                group=self._group.name,
                servers=" ".join(paused_ids),
            )
            return ResumeResult.UNCONFIRMED
        resumed = yield from self.ask_all(paused_ids, statements.ResumeReceiving())
        left_ids = [
            status.server_id
            for status in [*statuses, *resumed]
            if status.received is None and status.server_id in self._group.pools_by_id
        ]
        if paused_ids or left_ids:
            event_log.event(
                "replicas_resumed",
                group=self._group.name,
                servers=" ".join(paused_ids),
                unanswered=" ".join(left_ids),
            )
        return ResumeResult.UNANSWERED if left_ids else ResumeResult.RESUMED
