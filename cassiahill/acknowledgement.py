"""Decision when a write may be acknowledged to its caller.

A write at (term, position) is acknowledged once a majority of the group's servers has
reported a log that contains it while they were still in that term. A promotion first
raises the term on a majority, so it either finds the write in a log or prevents its
acknowledgement. This does not depend on clocks.
"""

import attrs


@attrs.frozen
class Acknowledge:
    """Decision: the write is durable on a majority and may be acknowledged."""

    write_id: int


@attrs.frozen
class ReportUnknown:
    """Decision: the outcome of the write is unknown.

    The write's term ended or its deadline passed before a majority had the write.
    """

    write_id: int
    reason: str


@attrs.define
class _PendingWrite:
    term: int
    position: int
    written_at: float
    deadline: float


class AckTracker:
    """Writes of one group that wait for their acknowledgement, without I/O.

    Parameters
    ----------
    servers : iterable of str
        Names of all backend servers of the group.
    mode : {"log", "term"}
        ``"log"`` acknowledges a write that is in the logs of a majority. ``"term"``
        acknowledges it when a majority is still in its term after it ran; a later
        promotion may drop it.
    """

    def __init__(self, servers, mode="log"):
        self._servers = frozenset(servers)
        self._mode = mode
        self._majority_size = len(self._servers) // 2 + 1
        self._pending_by_id = {}
        self._logs_by_server = {}

    @property
    def pending_count(self):
        """Number of writes that wait for their acknowledgement."""
        return len(self._pending_by_id)

    def record_write(self, write_id, server, term, position, now, deadline):
        """Record that a write ran on the primary; return the resulting decisions.

        Parameters
        ----------
        write_id : int
        server : str
            The primary that ran it.
        term, position : int
            Of the write's log entry.
        now, deadline : float
            Instants in seconds.

        Returns
        -------
        list of Acknowledge or ReportUnknown
        """
        self._pending_by_id[write_id] = _PendingWrite(term, position, now, deadline)
        self._record_log(server, term, position, now)
        return self._acknowledge_confirmed()

    def record_status(self, status):
        """Record the answer of a status poll; return the resulting decisions.

        Parameters
        ----------
        status : freshness.ServerStatus

        Returns
        -------
        list of Acknowledge or ReportUnknown
        """
        if status.server not in self._servers:
            return []
        last_position = status.position if status.last_term == status.term else 0
        self._record_log(status.server, status.term, last_position, status.sent_at)
        decisions = [
            ReportUnknown(write_id, f"term {write.term} was replaced by {status.term}")
            for write_id, write in self._pending_by_id.items()
            if write.term < status.term
        ]
        self._remove_decided(decisions)
        return decisions + self._acknowledge_confirmed()

    def expire_writes(self, now):
        """Return a ``ReportUnknown`` for each write whose deadline has passed."""
        decisions = [
            ReportUnknown(write_id, "not confirmed by a majority before the deadline")
            for write_id, write in self._pending_by_id.items()
            if write.deadline <= now
        ]
        self._remove_decided(decisions)
        return decisions

    def _record_log(self, server, term, position, sent_at):
        previous = self._logs_by_server.get(server)
        if previous is None or (term, position) >= previous[:2]:
            self._logs_by_server[server] = (term, position, sent_at)

    def _acknowledge_confirmed(self):
        decisions = [
            Acknowledge(write_id)
            for write_id, write in self._pending_by_id.items()
            if self._is_confirmed(write)
        ]
        self._remove_decided(decisions)
        return decisions

    def _is_confirmed(self, write):
        confirmed_count = sum(
            1
            for term, position, sent_at in self._logs_by_server.values()
            if term == write.term
            and (
                sent_at >= write.written_at
                if self._mode == "term"
                else position >= write.position
            )
        )
        return confirmed_count >= self._majority_size

    def _remove_decided(self, decisions):
        for decision in decisions:
            del self._pending_by_id[decision.write_id]
