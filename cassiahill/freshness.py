"""Log positions and data ages of a group's servers, as known from status polls."""

import bisect
import enum
import math

import attrs

from cassiahill import tokens

# Number of newest primary position samples that are always kept: 100 s of polls every
# 50 ms.
MAX_PRIMARY_SAMPLES = 2048


class Containment(enum.Enum):
    """Whether a backend server's data contains a session's mark.

    ``YES``: it does. ``WAIT``: it may after further replication. ``DIVERGED``: it never
    will, because a promotion dropped the log entry at the mark.
    """

    YES = "yes"
    WAIT = "wait"
    DIVERGED = "diverged"


@attrs.frozen
class ServerStatus:
    """Answer of a backend server to one status poll.

    ``term`` is the server's current term, ``last_term`` that of its last log entry.
    ``term_starts`` holds the ``(term, first position)`` pairs of its log in ascending
    order. ``sent_at`` and ``received_at`` are the instants of the poll and its answer,
    in seconds. ``primary_unreachable_seconds`` is the time for which a replica has not
    heard from its primary. ``recovering`` is true for a server that lost its state.
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
    """State of a server, in the view's term, when a read was sent to it.

    The log may change before the answer arrives, so the answer is interpreted by this
    state and not by later polls. ``log_is_prefix`` is true when the log was known to be
    a prefix of the term's history; ``term_starts`` holds the ``(term, first position)``
    pairs of that history.
    """

    server: str
    term: int
    log_is_prefix: bool
    term_starts: tuple
    is_primary: bool
    sent_at: float


def term_end(term_starts, term):
    """Return the last log position of a term, or None when no later term exists.

    For a term without entries, this is the position before the next term.

    Parameters
    ----------
    term_starts : iterable of tuple of (int, int)
        Term and its first position, ascending.
    term : int
    """
    for start_term, start in term_starts:
        if start_term > term:
            return start - 1
    return None


class GroupView:
    """Known term, primary, log positions and data ages of one group, without I/O.

    Parameters
    ----------
    group : str
    servers : iterable of str
        Names of all backend servers of the group.
    """

    def __init__(self, group, servers):
        self.group = group
        self.servers = tuple(servers)
        self.term = 0
        self.primary = ""
        self.status_by_server = {}
        # Primary position samples as parallel lists, both ascending: a position that
        # the primary reported, and the instant when that poll was sent.
        self._sample_positions = []
        self._sample_times = []
        self._majority_confirmed_at = -math.inf

    @property
    def majority_size(self):
        """Number of servers that form a majority of the group."""
        return len(self.servers) // 2 + 1

    def record_status(self, status):
        """Record the answer of a poll; return whether the term or primary changed."""
        previous_status = self.status_by_server.get(status.server)
        if previous_status is not None and previous_status.sent_at > status.sent_at:
            return False
        self.status_by_server[status.server] = status
        previous_term_and_primary = (self.term, self.primary)
        if status.term > self.term:
            self.term = status.term
            self.primary = ""
            self._sample_positions.clear()
            self._sample_times.clear()
        if status.term == self.term and status.role == "primary":
            self.primary = status.server
            self._add_sample(status)
        self._majority_confirmed_at = self._latest_majority_confirmation()
        return previous_term_and_primary != (self.term, self.primary)

    def age(self, server, now):
        """Return an upper bound of the age of a server's data, in seconds.

        A replica at position p contains all writes that ran before the poll at which
        the primary reported p or less was sent. A primary may have been replaced
        without this view's knowledge, and then its position does not show later writes;
        so the age counts at least from the last instant when a majority was known to be
        in the term. The age is infinite when nothing is known.
        """
        status = self.status_by_server.get(server)
        if status is None or status.term != self.term:
            return math.inf
        if server == self.primary:
            return now - self._majority_confirmed_at
        if status.last_term != self.term:
            return math.inf  # The log may end with entries that the new term dropped.
        return self._age_of_position(status.position, now)

    def read_target(self, server, now):
        """Return the state of a server to which a read is sent at ``now``."""
        status = self.status_by_server[server]
        log_is_prefix = self.log_is_prefix(server)
        term_starts = status.term_starts
        if log_is_prefix and status.last_term != self.term:
            # The server may receive entries of later terms before the read runs.
            term_starts = self.status_by_server[self.primary].term_starts
        return ReadTarget(
            server=server,
            term=status.term,
            log_is_prefix=log_is_prefix,
            term_starts=term_starts,
            is_primary=server == self.primary,
            sent_at=now,
        )

    def answer_age(self, target, position, now):
        """Return an upper bound of the age of an answer's data, in seconds.

        The bound follows from the position in the answer. A later poll may report a
        higher position, and a server that restarted may have lost entries.

        Parameters
        ----------
        target : ReadTarget
        position : int
            Log position in the answer.
        now : float
        """
        if not target.log_is_prefix or target.term != self.term:
            return math.inf
        if target.is_primary:
            return now - min(target.sent_at, self._majority_confirmed_at)
        return self._age_of_position(position, now)

    @staticmethod
    def answer_contains_mark(target, position, mark):
        """Return whether an answer contains the session's mark.

        The server was chosen because it contained the mark, but it may have restarted
        and lost entries since its last poll; the read then has to be sent again.

        Parameters
        ----------
        target : ReadTarget
        position : int
            Log position in the answer.
        mark : tokens.Mark or None
        """
        if mark is None or position >= mark.position:
            return True
        return target.is_primary and target.term == mark.term

    def _age_of_position(self, position, now):
        index = bisect.bisect_right(self._sample_positions, position)
        if not index:
            return math.inf
        return now - min(self._sample_times[index - 1], self._majority_confirmed_at)

    def log_is_prefix(self, server):
        """Return whether a server's log is known to be a prefix of the term's history.

        A log that ends in an earlier term may have a suffix that the server drops
        without a further change of term, unless the primary's history is known to
        contain the log.
        """
        status = self.status_by_server.get(server)
        if status is None or status.term != self.term:
            return False
        if status.last_term == self.term:
            return True
        primary = self.status_by_server.get(self.primary)
        if primary is None or primary.last_term != self.term:
            return False
        # The log may have entries of a term that the primary's history does not have.
        terms_match = set(status.term_starts) <= set(primary.term_starts)
        end = term_end(primary.term_starts, status.last_term)
        return terms_match and end is not None and status.position <= end

    def contains(self, server, mark):
        """Return whether a server's data contains a mark.

        Parameters
        ----------
        server : str
        mark : tokens.Mark

        Returns
        -------
        Containment
        """
        if not self.log_is_prefix(server):
            return Containment.WAIT
        if server == self.primary and mark.term == self.term:
            # Only the primary assigns positions in its term, so its data contain all of
            # them, even when its last poll is older than the mark.
            return Containment.YES
        status = self.status_by_server[server]
        if status.last_term < mark.term:
            return Containment.WAIT
        if mark.position <= 0:
            return Containment.YES
        if all(term != mark.term for term, _ in status.term_starts):
            return Containment.DIVERGED  # A promotion dropped all entries of the term.
        end = term_end(status.term_starts, mark.term)
        if end is not None and mark.position > end:
            return Containment.DIVERGED
        return Containment.YES if status.position >= mark.position else Containment.WAIT

    @staticmethod
    def mark_after_read(target, position):
        """Return the mark of a session after it has read at a position.

        The mark's term is that of the log entry at the position. A history with another
        entry at that position is thereby detected.

        Parameters
        ----------
        target : ReadTarget
        position : int
            Log position in the answer.

        Returns
        -------
        tokens.Mark
        """
        terms = [term for term, start in target.term_starts if start <= position]
        return tokens.Mark(terms[-1] if terms else 0, position)

    def mark_for_unknown_write(self, term):
        """Return the mark that a session gets if a write in ``term`` has no answer.

        It must be called before the write is sent, because the view may be in another
        term afterwards.
        """
        status = self.status_by_server.get(self.primary)
        is_in_term = status is not None and status.term == term
        return tokens.Mark(term, status.position + 1 if is_in_term else 1)

    def history_contains(self, mark):
        """Return whether the current term's history is known to contain a mark.

        A request that is not routed by the mark, such as the resolution of an unknown
        outcome, may advance the mark only if this is true. Otherwise the session would
        not learn that the history has diverged. It must be called before the request is
        sent, in the view's term.
        """
        return mark is None or (
            bool(self.primary) and self.contains(self.primary, mark) is Containment.YES
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

    def _latest_majority_confirmation(self):
        """Return the last instant when a majority was known to be in the term."""
        sent_instants = sorted(
            (
                status.sent_at
                for status in self.status_by_server.values()
                if status.term == self.term
            ),
            reverse=True,
        )
        return (
            sent_instants[self.majority_size - 1]
            if len(sent_instants) >= self.majority_size
            else -math.inf
        )
