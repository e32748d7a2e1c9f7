"""Typed messages: clients' requests, statements for backend servers, and replies."""

import enum

import attrs

from cassiahill.positions import LogPosition


class Access(enum.Enum):
    """Whether a statement changes data."""

    READ = "read"
    WRITE = "write"


class Code(enum.Enum):
    """Why a statement did not succeed."""

    BUSY = "busy"
    NOT_CURRENT = "not_current"  # The log lacks the position that the read requires.
    NOT_PRIMARY = "not_primary"
    WRONG_SERVER = "wrong_server"
    CONNECTION_LIMIT = "connection_limit"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    UNKNOWN_DATABASE = "unknown_database"
    UNAUTHENTICATED = "unauthenticated"  # The caller's key is not in force.
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    ABORTED = "aborted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OTHER = "other"


# Refusals of a backend server that prove that the statement has not run.
NOT_RUN_CODES = frozenset(
    {Code.BUSY, Code.NOT_CURRENT, Code.NOT_PRIMARY, Code.UNKNOWN_STATEMENT}
)


class TransactionState(enum.Enum):
    """Transaction state of a session or connection between two statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@attrs.frozen
class Begin:
    """Starts a transaction."""

    read_only: bool


@attrs.frozen
class Commit:
    """Ends a transaction and keeps its changes."""


@attrs.frozen
class Rollback:
    """Ends a transaction and discards its changes."""


@attrs.frozen
class Run:
    """Runs a read or a write that is given as text.

    Attributes
    ----------
    access : Access
    text : str
        The statement as the client sent it.
    """

    access: Access
    text: str


@attrs.frozen
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@attrs.frozen
class Shape:
    """Text and access of a prepared statement, without its name.

    Statements of equal shape share one prepared statement on a backend connection.
    """

    access: Access
    text: str


@attrs.frozen
class Prepare:
    """Prepares a statement under a name that is local to the session."""

    name: str
    shape: Shape


@attrs.frozen
class Execute:
    """Runs a prepared statement with arguments."""

    name: str
    arguments: str


@attrs.frozen
class Deallocate:
    """Deletes a prepared statement."""

    name: str


@attrs.frozen
class ResetSession:
    """Clears the values and prepared statements of a backend connection."""


@attrs.frozen
class ReadStatus:
    """Asks a backend server for a ``ServerReport``."""


@attrs.frozen
class PauseReceiving:
    """Stops a replica from receiving the log until it is resumed or promoted.

    Attributes
    ----------
    term : int
        A term higher than that of the present primary.
    """

    term: int


@attrs.frozen
class ResumeReceiving:
    """Lets a paused replica receive the log again."""


@attrs.frozen
class StepDown:
    """Makes a primary of a lower term a replica, which acknowledges no more commits."""

    term: int


@attrs.frozen
class OpenSession:
    """First message of a client.

    Attributes
    ----------
    database : str
    caller : str
        The client's key, or the digest of it if another proxy relays the session. In a
        deployment without tenants it is a name that the client chooses.
    """

    database: str
    caller: str = attrs.field(repr=False)


@attrs.frozen
class Request:
    """One statement of a client, with the id that the client gave it."""

    request_id: str
    statement: object


@attrs.frozen
class CloseSession:
    """Ends the client's session."""


@attrs.frozen
class Reply:
    """Complete reply to one statement.

    Attributes
    ----------
    rows : tuple of str
    signature : str
        Signature by which the backend server attests that it ran the statement; empty
        after an error.
    code : Code or None
        None after success.
    detail : str
        Text of the error; empty after success.
    state : TransactionState
        State of the session after the statement.
    position : LogPosition or None
        Position of the server's log after the statement.
    """

    rows: tuple = ()
    signature: str = ""
    code: Code | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


@attrs.frozen
class ServerReport:
    """Status that a backend server reports of itself.

    Attributes
    ----------
    is_primary : bool
    term : int
        The highest term that it has heard of.
    received : LogPosition or None
        Last log entry that it has received, whether applied or not.
    connections : int
        Number of open connections of all callers.
    paused_term : int
        Term of the pause in which it receives no log entries; 0 outside a pause.
    """

    is_primary: bool
    term: int
    received: LogPosition | None
    connections: int
    paused_term: int = 0
