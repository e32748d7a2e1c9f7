"""Interface of the database adapters: backend servers and connections to them."""

import attrs


@attrs.frozen
class Batch:
    """Statements that run in one database transaction.

    ``term`` is the only term in which the statements may run. ``timeout`` is the time
    in seconds that the database may spend on them.
    """

    statements: tuple
    term: int
    read_only: bool
    timeout: float


@attrs.frozen
class StatementResult:
    """Result of one statement; each row is a list of values."""

    columns: list
    rows: list
    row_count: int


@attrs.frozen
class BatchResult:
    """Results of a batch, with the term and log position of the database after it."""

    term: int
    position: int
    results: tuple


@attrs.frozen
class LogEnd:
    """Term and log position of a database's last entry when its term was raised."""

    server: str
    last_term: int
    position: int


class BackendConnection:
    """One open connection to a backend server; runs one statement or batch at a time.

    All methods but ``close`` return futures that fail with ``errors.CassiahillError``.
    An error with ``may_have_run`` ``no`` means that the database executed nothing.
    Deadlines are instants in seconds.
    """

    closed = False

    def execute(self, batch, deadline):
        """Run a batch; the future's result is a ``BatchResult``."""
        raise NotImplementedError

    def begin(self, term, deadline):
        """Open a transaction on this connection."""
        raise NotImplementedError

    def commit(self, term, deadline):
        """Commit the transaction; the future's result is an empty ``BatchResult``."""
        raise NotImplementedError

    def rollback(self, deadline):
        """Roll back the open transaction."""
        raise NotImplementedError

    def reset(self, deadline):
        """Drop the connection's session state, so that another caller can use it."""
        raise NotImplementedError

    def close(self):
        """Close the connection; the database rolls back an open transaction."""
        raise NotImplementedError


class Backend:
    """One backend server of a database group.

    A term numbers the primaries of a group, and an epoch the owners of one server. The
    server refuses commands of a lower term or epoch, so both serve as fencing tokens.
    All methods return futures. Deadlines are instants in seconds.

    Attributes
    ----------
    name : str
    group : str
    """

    name = ""
    group = ""

    def connect(self, epoch, owner, deadline):
        """Open a connection; the future's result is a ``BackendConnection``.

        Parameters
        ----------
        epoch : int
            Epoch of the server owner; the server refuses one below the claimed epoch.
        owner : str
            Name of the server owner.
        deadline : float
        """
        raise NotImplementedError

    def status(self, known_status, max_wait_seconds, deadline):
        """Poll the status.

        Parameters
        ----------
        known_status : freshness.ServerStatus or None
            The server answers when its term or position differs from this status, and
            at once when it is None.
        max_wait_seconds : float
            Time after which the server answers in any case.
        deadline : float

        Returns
        -------
        Future of freshness.ServerStatus
        """
        raise NotImplementedError

    def probe(self, deadline):
        """Poll the status on a new connection, without waiting for a change."""
        raise NotImplementedError

    def raise_term(self, term, promotion_id, deadline):
        """Raise the term for a promotion; the future's result is a ``LogEnd``.

        The database refuses statements of lower terms from then on. It refuses a term
        that another promotion has raised.
        """
        raise NotImplementedError

    def promote(self, term, promotion_id, deadline):
        """Make the database the primary of the term that the promotion raised."""
        raise NotImplementedError

    def follow(self, term, primary, address, deadline):
        """Make the database a replica of ``primary``, which is found at an address."""
        raise NotImplementedError

    def claim(self, epoch, owner, deadline):
        """Close the connections of lower epochs, and refuse to open new ones."""
        raise NotImplementedError
