"""What is known of each backend server's log position and of its age."""

import collections
import enum
import math

import attrs

MAX_PRIMARY_SAMPLES = 2048


class Contains(enum.Enum):
    """Whether a backend server's data contains a session's mark."""

    YES = "yes"
    WAIT = "wait"
    DIVERGED = "diverged"


@attrs.frozen
class ServerStatus:
    """Answer of one status poll.

    ``sent_at`` and ``received_at`` are instants in seconds, ``primary_silent`` is in
    seconds, ``term_starts`` holds ``(term, first position)`` in ascending order.
    """

    server: str
    group: str
    role: str
    term: int
    position: int
    last_term: int
    term_starts: tuple
    primary: str
    primary_silent: float
    sent_at: float
    received_at: float
    connection_limit: int = 0
    epoch: int = 0
    recovering: bool = False


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
        self._samples = collections.deque(maxlen=MAX_PRIMARY_SAMPLES)

    @property
    def majority(self):
        """Number of databases that form a majority of the group."""
        return len(self.servers) // 2 + 1

    def observe(self, status):
        """Take over the answer of a poll; return whether term or primary changed."""
        previous = self.status_by_server.get(status.server)
        if previous is not None and previous.sent_at > status.sent_at:
            return False
        self.status_by_server[status.server] = status
        before = (self.term, self.primary)
        if status.term > self.term:
            self.term = status.term
            self.primary = ""
            self._samples.clear()
        if status.term == self.term and status.role == "primary":
            self.primary = status.server
            if not self._samples or self._samples[-1][1] != status.position:
                self._samples.append((status.sent_at, status.position))
            else:
                self._samples[-1] = (status.sent_at, status.position)
        return before != (self.term, self.primary)

    def age(self, server, now):
        """Return an upper bound of the age of a server's data, in seconds.

        A replica at position p holds all that the primary had when a poll that found
        the primary at p or before was sent. Infinite when nothing is known.
        """
        status = self.status_by_server.get(server)
        if status is None or status.term != self.term:
            return math.inf
        if server == self.primary:
            return now - self._confirmed_at()
        if status.last_term != self.term:
            return math.inf  # It may still hold a suffix that the term dropped.
        for sent_at, position in reversed(self._samples):
            if position <= status.position:
                return now - sent_at
        return math.inf

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
        status = self.status_by_server.get(server)
        if status is None or status.last_term < mark.term:
            return Contains.WAIT
        end = term_end(status.term_starts, mark.term)
        if end is not None and mark.position > end:
            return Contains.DIVERGED
        return Contains.YES if status.position >= mark.position else Contains.WAIT

    def _confirmed_at(self):
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
