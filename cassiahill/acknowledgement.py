"""When a write may be acknowledged.

A write at (term, position) is acknowledged once a majority of the group's databases has
reported a log that contains it while their own term was still that term. A promotion
raises the term on a majority first, so that it either finds the write or prevents its
acknowledgement; no clock is involved.
"""

import attrs


@attrs.frozen
class Acknowledge:
    """The write is durable on a majority and may be acknowledged."""

    write_id: int


@attrs.frozen
class ReportUnknown:
    """The outcome of the write is unknown: its term ended or its deadline passed."""

    write_id: int
    reason: str


@attrs.define
class _PendingWrite:
    term: int
    position: int
    written_at: float
    deadline: float


class AckTracker:
    """Pending writes of one group, without I/O.

    Parameters
    ----------
    servers : iterable of str
        All databases of the group.
    mode : {"log", "term"}
        ``"log"`` waits for a majority of logs; ``"term"`` only for a majority that is
        still in the term after the write ran, which a promotion may then drop.
    """

    def __init__(self, servers, mode="log"):
        self._servers = frozenset(servers)
        self._mode = mode
        self._majority = len(self._servers) // 2 + 1
        self._pending_by_id = {}
        self._reports_by_server = {}

    @property
    def pending_count(self):
        """Number of writes that wait for an acknowledgement."""
        return len(self._pending_by_id)

    def record_write(self, write_id, server, term, position, now, deadline):
        """Record that a write ran on the primary.

        Parameters
        ----------
        write_id : int
        server : str
            The primary that ran it.
        term, position : int
        now, deadline : float
            Instants in seconds.

        Returns
        -------
        list of Acknowledge or ReportUnknown
        """
        self._pending_by_id[write_id] = _PendingWrite(term, position, now, deadline)
        self._report(server, term, position, now)
        return self._settle()

    def record_status(self, status):
        """Take over a status poll; return what it decides.

        Parameters
        ----------
        status : freshness.ServerStatus
        """
        if status.server not in self._servers:
            return []
        last_position = status.position if status.last_term == status.term else 0
        self._report(status.server, status.term, last_position, status.sent_at)
        decisions = [
            ReportUnknown(write_id, f"term {write.term} was replaced by {status.term}")
            for write_id, write in self._pending_by_id.items()
            if write.term < status.term
        ]
        self._forget(decisions)
        return decisions + self._settle()

    def expire_writes(self, now):
        """Give up the writes whose deadline has passed."""
        decisions = [
            ReportUnknown(write_id, "not confirmed by a majority before the deadline")
            for write_id, write in self._pending_by_id.items()
            if write.deadline <= now
        ]
        self._forget(decisions)
        return decisions

    def _report(self, server, term, position, sent_at):
        known = self._reports_by_server.get(server)
        if known is None or (term, position) >= known[:2]:
            self._reports_by_server[server] = (term, position, sent_at)

    def _settle(self):
        decisions = [
            Acknowledge(write_id)
            for write_id, write in self._pending_by_id.items()
            if self._is_confirmed(write)
        ]
        self._forget(decisions)
        return decisions

    def _is_confirmed(self, write):
        confirming = sum(
            1
            for term, position, sent_at in self._reports_by_server.values()
            if term == write.term
            and (
                sent_at >= write.written_at
                if self._mode == "term"
                else position >= write.position
            )
        )
        return confirming >= self._majority

    def _forget(self, decisions):
        for decision in decisions:
            del self._pending_by_id[decision.write_id]
