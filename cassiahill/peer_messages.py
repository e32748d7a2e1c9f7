"""Formats of the calls between proxies: requests to server owners, and observations."""

import msgspec

from cassiahill import backend, errors, messages
from cassiahill.loop import completed_future

# Kinds of calls.
SUBMIT = "submit"
BEGIN = "begin"
EXECUTE = "execute"
END = "end"
PING = "ping"
OBSERVATION = "observation"
EMPTY_ANSWER_FUTURE = completed_future(b"")


class SubmitCall(msgspec.Struct, array_like=True):
    """Runs a batch at a backend server of the called proxy.

    With ``wait_for_majority``, the answer waits until a majority of the group has the
    log up to the result's position. Statements are pairs of SQL and parameters.
    """

    server: str
    rank: int
    caller: str
    timeout_seconds: float
    term: int
    read_only: bool
    wait_for_majority: bool
    statements: list[tuple[str, list]]


class BeginCall(msgspec.Struct, array_like=True):
    """Opens a transaction; ``timeout_seconds`` bounds the wait for a connection."""

    server: str
    rank: int
    caller: str
    timeout_seconds: float
    term: int


class BeginResult(msgspec.Struct, array_like=True):
    """Id of a transaction at the proxy that owns its server."""

    transaction_id: str


class ExecuteCall(msgspec.Struct, array_like=True):
    """Runs statements of a transaction, given as pairs of SQL and parameters."""

    transaction_id: str
    timeout_seconds: float
    statements: list[tuple[str, list]]


class EndCall(msgspec.Struct, array_like=True):
    """Commits or rolls back a transaction."""

    transaction_id: str
    timeout_seconds: float
    commit: bool


class ObservationCall(msgspec.Struct, array_like=True):
    """Reports for how long an observer has not reached a group's primary."""

    group: str
    term: int
    primary: str
    observer: str
    unreachable_seconds: float


class ResultBody(msgspec.Struct, array_like=True):
    """Result of a batch: for each statement its columns, rows and row count."""

    term: int
    position: int
    results: list[tuple[list, list, int]]


def encode(message):
    """Return a call or result as bytes."""
    return msgspec.msgpack.encode(message)


def decode(payload, message_type):
    """Return the call or result of a type that bytes encode.

    Raises
    ------
    errors.PeerRejected
        When the bytes do not fit the type.
    """
    try:
        return msgspec.msgpack.decode(payload, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.PeerRejected(str(error)) from error


def statements_to_pairs(statements):
    """Return ``messages.Statement`` objects as pairs of SQL and parameters."""
    return [(statement.sql, list(statement.params)) for statement in statements]


def statements_from_pairs(pairs):
    """Return the ``messages.Statement`` objects of pairs of SQL and parameters."""
    return tuple(messages.Statement(sql, tuple(params)) for sql, params in pairs)


def encode_result(result):
    """Return a ``backend.BatchResult`` as bytes."""
    return encode(
        ResultBody(
            result.term,
            result.position,
            [
                (
                    statement_result.columns,
                    statement_result.rows,
                    statement_result.row_count,
                )
                for statement_result in result.results
            ],
        )
    )


def decode_result(payload):
    """Return the ``backend.BatchResult`` that bytes encode."""
    body = decode(payload, ResultBody)
    return backend.BatchResult(
        body.term,
        body.position,
        tuple(backend.StatementResult(*fields) for fields in body.results),
    )
