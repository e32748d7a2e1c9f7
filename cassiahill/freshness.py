"""What is known of each backend server's log position and of its age."""

import bisect
import enum
import math

import attrs

from cassiahill import tokens

MAX_PRIMARY_SAMPLES = 2048  # The least that is kept; 100 s of polls every 50 ms.


class Contains(enum.Enum):
    """Whether a backend server's data contains a session's mark."""

    YES = "yes"
    WAIT = "wait"
    DIVERGED = "diverged"


@attrs.frozen
class ServerStatus:
    """Answer of one status poll.

    ``sent_at`` and ``received_at`` are instants in seconds,
    ``primary_unreachable_seconds`` is in seconds, ``term_starts`` holds
    ``(term, first position)`` in ascending order.
    """

    server: str
    group: str
    role: str
    term: int
    position: int
    last_term: int
    term_starts: tuple
    primary: str
    primary_unreachable_seconds: float
    sent_at: float
    received_at: float
    connection_limit: int = 0
    epoch: int = 0
    recovering: bool = False


@attrs.frozen
class ReadTarget:
    """A server as a read was sent to it, in ``term``.

    Its log may change before the answer arrives, so the answer is interpreted by this
    and not by later polls. ``settled`` tells whether the log was known to be a prefix
    of the term's history, whose ``(term, first position)`` pairs ``term_starts`` holds.
    """

    server: str
    term: int
    settled: bool
    term_starts: tuple
    is_primary: bool
    sent_at: float


def term_end(term_starts, term):
    """Return the last position of a term, or None while the term is the last one.

    For a term that the history does not have, this is the position before the next
    term.
    """
    for start_term, start in term_starts:
        if start_term > term:
            return start - 1
    return None


class GroupView:
    """Positions, terms and ages of one group's databases, without I/O.

    Parameters
    ----------
    group : str
    servers : iterable of str
        All databases of the group.
    """

    def __init__(self, group, servers):
        self.group = group
        self.servers = tuple(servers)
        self.term = 0
        self.primary = ""
        self.status_by_server = {}
        # Parallel lists, both ascending: position of the primary, and when a poll that
        # found it there was sent.
        self._sample_positions = []
        self._sample_times = []
        self._confirmed_at = -math.inf

    @property
    def majority(self):
        """Number of databases that form a majority of the group."""
        return len(self.servers) // 2 + 1

    def record_status(self, status):
        """Take over the answer of a poll; return whether term or primary changed."""
        previous = self.status_by_server.get(status.server)
        if previous is not None and previous.sent_at > status.sent_at:
            return False
        self.status_by_server[status.server] = status
        before = (self.term, self.primary)
        if status.term > self.term:
            self.term = status.term
            self.primary = ""
            self._sample_positions.clear()
            self._sample_times.clear()
        if status.term == self.term and status.role == "primary":
            self.primary = status.server
            self._add_sample(status)
        self._confirmed_at = self._newest_confirmation()
        return before != (self.term, self.primary)

    def age(self, server, now):
        """Return an upper bound of the age of a server's data, in seconds.

        A replica at position p holds all that the primary had when a poll that found
        the primary at p or before was sent. A primary that has been replaced without
        this view's knowledge says nothing about later writes, so the bound also counts
        from the last time that a majority was in the term. Infinite when nothing is
        known.
        """
        status = self.status_by_server.get(server)
        if status is None or status.term != self.term:
            return math.inf
        if server == self.primary:
            return now - self._confirmed_at
        if status.last_term != self.term:
            return math.inf  # It may still hold a suffix that the term dropped.
        return self._age_of_position(status.position, now)

    def read_target(self, server, now):
        """Return what is known of a server when a read is sent to it."""
        status = self.status_by_server[server]
        settled = self.settled(server)
        starts = status.term_starts
        if settled and status.last_term != self.term:
            # The log may grow into later terms before the read runs.
            starts = self.status_by_server[self.primary].term_starts
        return ReadTarget(
            server=server,
            term=status.term,
            settled=settled,
            term_starts=starts,
            is_primary=server == self.primary,
            sent_at=now,
        )

    def answer_age(self, point, position, now):
        """Return an upper bound of the age of an answer's data, in seconds.

        The bound follows from the answer's own position: later polls may have found
        the server further, and a server that restarted has less than it had.

        Parameters
        ----------
        point : ReadTarget
        position : int
            From the answer.
        now : float
        """
        if not point.settled or point.term != self.term:
            return math.inf
        if point.is_primary:
            return now - min(point.sent_at, self._confirmed_at)
        return self._age_of_position(position, now)

    @staticmethod
    def answer_contains_mark(point, position, mark):
        """Return whether an answer contains a mark that its server contained.

        A server that restarted after its last poll may have less; the read then has to
        be sent again. Parameters are as in ``answer_age``; ``mark`` may be None.
        """
        if mark is None or position >= mark.position:
            return True
        return point.is_primary and point.term == mark.term

    def _age_of_position(self, position, now):
        index = bisect.bisect_right(self._sample_positions, position)
        if not index:
            return math.inf
        return now - min(self._sample_times[index - 1], self._confirmed_at)

    def settled(self, server):
        """Return whether a server's log is a prefix of the current term's history.

        A log that ends in an earlier term may hold a suffix that the server drops
        without a further change of term, unless the primary's history is known to
        contain it.
        """
        status = self.status_by_server.get(server)
        if status is None or status.term != self.term:
            return False
        if status.last_term == self.term:
            return True
        primary = self.status_by_server.get(self.primary)
        if primary is None or primary.last_term != self.term:
            return False
        # An older log may have a term that the primary's history does not have.
        common = set(status.term_starts) <= set(primary.term_starts)
        end = term_end(primary.term_starts, status.last_term)
        return common and end is not None and status.position <= end

    def contains(self, server, mark):
        """Return whether a server's data contains a mark.

        Parameters
        ----------
        server : str
        mark : tokens.Mark

        Returns
        -------
        Contains
            ``WAIT`` when later data may contain it, ``DIVERGED`` when it never will.
        """
        if not self.settled(server):
            return Contains.WAIT
        if server == self.primary and mark.term == self.term:
            # Only this server assigns positions in the term, so it has them all, even
            # when the last poll is older than the mark.
            return Contains.YES
        status = self.status_by_server[server]
        if status.last_term < mark.term:
            return Contains.WAIT
        if mark.position <= 0:
            return Contains.YES
        if all(term != mark.term for term, _ in status.term_starts):
            return Contains.DIVERGED  # The whole term was dropped.
        end = term_end(status.term_starts, mark.term)
        if end is not None and mark.position > end:
            return Contains.DIVERGED
        return Contains.YES if status.position >= mark.position else Contains.WAIT

    @staticmethod
    def mark_after_read(point, position):
        """Return the mark of a session that has read at a point.

        Its term is that of the log entry at the position, so that a history that has
        another entry there is recognised.

        Parameters
        ----------
        point : ReadTarget
        position : int
            From the answer.

        Returns
        -------
        tokens.Mark
        """
        terms = [term for term, start in point.term_starts if start <= position]
        return tokens.Mark(terms[-1] if terms else 0, position)

    def mark_for_unknown_write(self, term):
        """Return the mark for a write in ``term`` in case its outcome gets unknown.

        Call it before the write is sent: the view may be in another term afterwards.
        """
        status = self.status_by_server.get(self.primary)
        known = status is not None and status.term == term
        return tokens.Mark(term, status.position + 1 if known else 1)

    def history_contains(self, mark):
        """Return whether the current term's history is known to contain a mark.

        A request that is not routed by the mark, as the settling of an outcome, may
        advance the mark only then; else the session would not be told that the history
        has diverged. Call it before the request is sent, in the view's term.
        """
        return mark is None or (
            bool(self.primary) and self.contains(self.primary, mark) is Contains.YES
        )

    def _add_sample(self, status):
        if self._sample_positions and self._sample_positions[-1] == status.position:
            self._sample_times[-1] = status.sent_at
            return
        self._sample_positions.append(status.position)
        self._sample_times.append(status.sent_at)
        if len(self._sample_positions) > 2 * MAX_PRIMARY_SAMPLES:
            del self._sample_positions[:-MAX_PRIMARY_SAMPLES]
            del self._sample_times[:-MAX_PRIMARY_SAMPLES]

    def _newest_confirmation(self):
        """Return when a majority was last known to be in the current term."""
        sent = sorted(
            (
                status.sent_at
                for status in self.status_by_server.values()
                if status.term == self.term
            ),
            reverse=True,
        )
        return sent[self.majority - 1] if len(sent) >= self.majority else -math.inf
