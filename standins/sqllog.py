"""A replicated SQL log over two in-memory SQLite databases, without I/O.

``committed`` has the rows that follow from the log. The one write transaction runs on
``working_copy`` before it is appended to the log.
"""

import sqlite3

import attrs

from cassiahill import errors


@attrs.frozen
class LogEntry:
    """One committed transaction: its term and ``[[sql, params], ...]``."""

    term: int
    statements: list


class SqlLog:
    """Log of committed transactions and the rows that follow from it."""

    def __init__(self):
        self.entries = []
        self._term_starts = []
        self._reset_databases()

    @property
    def position(self):
        """Position of the last entry; 0 when the log is empty."""
        return len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry; 0 when the log is empty."""
        return self.entries[-1].term if self.entries else 0

    def term_at(self, position):
        """Return the term of the entry at a position; 0 for position 0."""
        return self.entries[position - 1].term if position else 0

    def term_starts(self):
        """Return ``(term, first position)`` for each term in the log."""
        return self._term_starts

    def append(self, entry):
        """Append an entry and apply it to the committed rows."""
        if entry.term != self.last_term:
            self._term_starts.append((entry.term, self.position + 1))
        self.entries.append(entry)
        self._apply(self.committed, entry)

    def truncate(self, position):
        """Drop the entries after a position and rebuild the rows."""
        del self.entries[position:]
        self._term_starts = [
            term_start for term_start in self._term_starts if term_start[1] <= position
        ]
        self._reset_databases()
        for entry in self.entries:
            self._apply(self.committed, entry)

    def reset_working_copy(self):
        """Replace ``working_copy`` by a copy of the committed rows."""
        self.working_copy.close()
        self.working_copy = _open_database()
        self.committed.backup(self.working_copy)

    def read(self, statements):
        """Run read-only statements on the committed rows."""
        self.committed.execute("PRAGMA query_only=1")
        try:
            return [
                run_statement(self.committed, sql, params) for sql, params in statements
            ]
        finally:
            self.committed.execute("PRAGMA query_only=0")

    def _reset_databases(self):
        self.committed = _open_database()
        self.working_copy = _open_database()

    @staticmethod
    def _apply(database, entry):
        database.execute("BEGIN")
        for sql, params in entry.statements:
            database.execute(sql, params).fetchall()
        database.execute("COMMIT")


def run_statement(database, sql, params):
    """Run one statement and return its columns, rows and row count.

    Raises
    ------
    errors.StatementFailed
        When SQLite refuses the statement.
    """
    try:
        cursor = database.execute(sql, params)
        rows = cursor.fetchall()
    except (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError) as error:
        raise errors.StatementFailed(str(error)) from error
    columns = [column[0] for column in cursor.description or ()]
    return {
        "columns": columns,
        "rows": [list(row) for row in rows],
        "row_count": len(rows) if columns else max(0, cursor.rowcount),
    }


def _open_database():
    return sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
