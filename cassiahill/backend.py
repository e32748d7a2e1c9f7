"""Contract of the database adapter."""

import attrs


@attrs.frozen
class Batch:
    """Statements that run in one database transaction.

    ``term`` is the term in which they may run; ``timeout`` in seconds is what the
    database may spend on them.
    """

    statements: tuple
    term: int
    read_only: bool
    timeout: float


@attrs.frozen
class StatementResult:
    """Result of one statement; ``rows`` is a list of lists."""

    columns: list
    rows: list
    row_count: int


@attrs.frozen
class BatchResult:
    """Result of a batch and the log position after it."""

    term: int
    position: int
    results: tuple


@attrs.frozen
class LogEnd:
    """The end of a database's log when its term was raised."""

    server: str
    last_term: int
    position: int


class BackendConnection:
    """One open connection to a backend server; serves one call at a time.

    All methods return futures that fail with ``errors.CassiahillError``. An error with
    ``may_have_run`` ``no`` means that the database executed nothing.
    """

    closed = False

    def execute(self, batch, deadline):
        """Run a batch; the future's result is a ``BatchResult``."""
        raise NotImplementedError

    def begin(self, term, deadline):
        """Open a transaction on this connection."""
        raise NotImplementedError

    def commit(self, term, deadline):
        """Commit; the future's result is a ``BatchResult`` without results."""
        raise NotImplementedError

    def rollback(self, deadline):
        """Roll back the open transaction."""
        raise NotImplementedError

    def reset(self, deadline):
        """Drop all state of the session, so that another caller can use it."""
        raise NotImplementedError

    def close(self):
        """Close the connection; the database rolls back an open transaction."""
        raise NotImplementedError


class Backend:
    """One backend server of a database group.

    Attributes
    ----------
    name : str
    group : str
    """

    name = ""
    group = ""

    def connect(self, epoch, owner, deadline):
        """Open a connection; the future's result is a ``BackendConnection``."""
        raise NotImplementedError

    def status(self, known, wait, deadline):
        """Poll the status.

        Parameters
        ----------
        known : freshness.ServerStatus or None
            The call waits until the status differs in term or position.
        wait : float
            Longest wait in seconds.
        deadline : float

        Returns
        -------
        Future of freshness.ServerStatus
        """
        raise NotImplementedError

    def probe(self, deadline):
        """Poll the status on a new connection."""
        raise NotImplementedError

    def raise_term(self, term, by, deadline):
        """Raise the term; the future's result is a ``LogEnd``."""
        raise NotImplementedError

    def promote(self, term, by, deadline):
        """Make the database the primary of a term that ``by`` raised."""
        raise NotImplementedError

    def follow(self, term, primary, address, deadline):
        """Make the database a replica of ``primary``."""
        raise NotImplementedError

    def claim(self, epoch, owner, deadline):
        """Close the connections of lower epochs and refuse new ones."""
        raise NotImplementedError
