"""Calls that an entry proxy sends to the owner of a backend server."""

import msgspec

from cassiahill import backend, errors, messages
from cassiahill.loop import completed_future

SUBMIT = "submit"
BEGIN = "begin"
EXECUTE = "execute"
END = "end"
PING = "ping"
OBSERVATION = "observation"
EMPTY_ANSWER_FUTURE = completed_future(b"")


class SubmitCall(msgspec.Struct, array_like=True):
    """Runs a batch; ``timeout`` is in seconds.

    With ``confirm``, the answer waits for a majority of logs.
    """

    server: str
    rank: int
    caller: str
    timeout: float
    term: int
    read_only: bool
    confirm: bool
    statements: list[tuple[str, list]]


class BeginCall(msgspec.Struct, array_like=True):
    """Opens a transaction; ``timeout`` bounds the wait for a connection."""

    server: str
    rank: int
    caller: str
    timeout: float
    term: int


class BeginResult(msgspec.Struct, array_like=True):
    """Name of a transaction at its owner."""

    transaction: str


class ExecuteCall(msgspec.Struct, array_like=True):
    """Runs statements of a transaction."""

    transaction: str
    timeout: float
    statements: list[tuple[str, list]]


class EndCall(msgspec.Struct, array_like=True):
    """Commits or rolls back a transaction."""

    transaction: str
    timeout: float
    commit: bool


class ObservationCall(msgspec.Struct, array_like=True):
    """What an observer saw of a primary; ``unreachable_seconds`` is in seconds."""

    group: str
    term: int
    primary: str
    observer: str
    unreachable_seconds: float


class ResultBody(msgspec.Struct, array_like=True):
    """Result of a batch."""

    term: int
    position: int
    results: list[tuple[list, list, int]]


def encode(call):
    """Return a call or result as bytes."""
    return msgspec.msgpack.encode(call)


def decode(payload, call_type):
    """Return the call of a type that bytes encode.

    Raises
    ------
    errors.PeerRejected
        When the bytes do not fit the type.
    """
    try:
        return msgspec.msgpack.decode(payload, type=call_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.PeerRejected(str(error)) from error


def plain_statements(statements):
    """Return ``messages.Statement`` objects as pairs of SQL and parameters."""
    return [(statement.sql, list(statement.params)) for statement in statements]


def statements_of(pairs):
    """Return the ``messages.Statement`` objects of pairs."""
    return tuple(messages.Statement(sql, tuple(params)) for sql, params in pairs)


def encode_result(result):
    """Return a ``backend.BatchResult`` as bytes."""
    return encode(
        ResultBody(
            result.term,
            result.position,
            [(r.columns, r.rows, r.row_count) for r in result.results],
        )
    )


def decode_result(payload):
    """Return the ``backend.BatchResult`` that bytes encode."""
    body = decode(payload, ResultBody)
    return backend.BatchResult(
        body.term,
        body.position,
        tuple(backend.StatementResult(*item) for item in body.results),
    )
