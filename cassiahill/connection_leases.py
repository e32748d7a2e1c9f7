"""Leases of pooled connections, and counts of opened and given up connections."""

import attrs

from cassiahill import line_connections


@attrs.define
class ConnectionCounts:
    """Counts of connections to one server or one group since the start.

    Attributes
    ----------
    opened : int
        Connections that the server accepted.
    refused : int
        Attempts that the server's connection limit refused.
    given_up : int
        Idle connections that were closed for another tenant.
    """

    opened: int = 0
    refused: int = 0
    given_up: int = 0

    @classmethod
    def total(cls, all_counts):
        """Return the sum of several counts."""
        all_counts = list(all_counts)
        return cls(
            sum(counts.opened for counts in all_counts),
            sum(counts.refused for counts in all_counts),
            sum(counts.given_up for counts in all_counts),
        )


@attrs.define(eq=False)
class ConnectionLease:
    """A pooled connection while one request or transaction uses it.

    Attributes
    ----------
    connection : line_connections.LineConnection
    pool : ServerPool
    required_position : positions.LogPosition or None
        Position that the server's log must have before a read runs.
    """

    connection: line_connections.LineConnection
    pool: object
    required_position: object = None
    _statement_running: bool = True

    def __attrs_post_init__(self):
        self._count_primary_only(1)

    def record_statement_start(self, now):
        """Count a statement that starts, unless one is counted already."""
        if not self._statement_running:
            self._statement_running = True
            self._count_primary_only(1)
            self.pool.record_statement_start(now)

    def record_statement_end(self, now, seconds=None):
        """Count the end of the running statement, if there is one.

        Parameters
        ----------
        now : float
        seconds : float or None
            Duration at the server; None when it gave no answer.
        """
        if self._statement_running:
            self._statement_running = False
            self._count_primary_only(-1)
            self.pool.record_statement_end(now, seconds)

    def _count_primary_only(self, change):
        if self.required_position is None:
            self.pool.primary_only_statements += change
