"""Requests of callers and their answers: attrs classes and their JSON form."""

import enum
import re

import attrs
import msgspec

from cassiahill import errors

MAX_SQL_CHARACTERS = 65_536
MAX_KEY_CHARACTERS = 200
MAX_TIMEOUT_MS = 60_000
# MessagePack, which carries the parameters to another proxy, holds no other integers.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
DEFAULT_TIMEOUT_MS = 5_000

# SQL that begins with a transaction control statement, after whitespace and comments.
_TRANSACTION_CONTROL = re.compile(
    r"(?:\s|--[^\n]*\n|/\*.*?\*/)*"
    r"(?:begin|start|commit|end|rollback|abort|savepoint|release)\b",
    re.IGNORECASE | re.DOTALL,
)


class Rank(enum.IntEnum):
    """Priority class of a request; the lowest number is served first."""

    URGENT = 1
    LOOKUP = 2
    ROUTINE = 3


RANKS_BY_NAME = {rank.name.lower(): rank for rank in Rank}


@attrs.frozen
class OwnWrites:
    """Freshness bound: the read sees all that the session has read or written."""


@attrs.frozen
class MaxAge:
    """Freshness bound: the read lags behind the primary by at most ``seconds``."""

    seconds: float


@attrs.frozen
class AnyAge:
    """Freshness bound: any age, but never older than what the session has seen."""


Freshness = OwnWrites | MaxAge | AnyAge


@attrs.frozen
class Statement:
    """One SQL statement with its positional parameters."""

    sql: str
    params: tuple = ()


@attrs.frozen
class StatementRequest:
    """A caller's request to run a single statement.

    Attributes
    ----------
    kind : {"read", "write"}
    group : str
        Name of the database group.
    statement : Statement
    rank : Rank
    deadline : float
        Instant of the monotonic clock, in seconds.
    freshness : Freshness
        Applies to reads.
    key : str or None
        Idempotency key.
    repeatable : bool
        Whether the write may be sent again.
    caller : str
        Name of the caller.
    session : str or None
        Session token.
    """

    kind: str
    group: str
    statement: Statement
    rank: Rank
    deadline: float
    freshness: Freshness
    key: str | None
    repeatable: bool
    caller: str
    session: str | None


@attrs.frozen
class Answer:
    """The result of a statement.

    Attributes
    ----------
    columns : list of str
    rows : list of list
        Values in the order of ``columns``.
    row_count : int
    server : str
        Backend server that ran the statement.
    term, position : int
        Log position up to which the answer reflects the group's history.
    session : str
        Session token to continue with.
    age_ms : float or None
        Upper bound on the age of the data; None for a write.
    """

    columns: list
    rows: list
    row_count: int
    server: str
    term: int
    position: int
    session: str = ""
    age_ms: float | None = None


class FreshnessBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of a read's freshness bound."""

    kind: str
    max_age_ms: float = 0.0


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of ``POST /v1/statements``."""

    kind: str
    group: str
    sql: str
    params: list = []
    rank: str = "routine"
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    freshness: FreshnessBody | None = None
    key: str | None = None
    repeatable: bool = False
    session: str | None = None


class TransactionBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of ``POST /v1/transactions``.

    A transaction ends with the connection that opened it. With ``survives_connection``
    it ends instead when it has received no request for ten seconds.
    """

    group: str
    rank: str = "routine"
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    session: str | None = None
    key: str | None = None
    survives_connection: bool = False


class TransactionStatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of ``POST /v1/transactions/{id}/statements``."""

    sql: str
    params: list = []
    timeout_ms: int = DEFAULT_TIMEOUT_MS


class EndTransactionBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of a request to commit or roll back a transaction."""

    timeout_ms: int = DEFAULT_TIMEOUT_MS


class OutcomeBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of ``POST /v1/outcomes``.

    ``digest`` is the ``outcomes.statement_digest`` of the write; without it, the key of
    another statement is not reported as a conflict.
    """

    group: str
    key: str
    digest: str | None = None
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    session: str | None = None


def decode_body(body, body_type):
    """Decode and validate a JSON request body.

    Parameters
    ----------
    body : bytes
        An empty body counts as an empty JSON object.
    body_type : type
        One of the ``...Body`` classes of this module.

    Returns
    -------
    msgspec.Struct
        Instance of ``body_type``.

    Raises
    ------
    errors.MalformedRequest
        When the JSON is invalid, a field has the wrong type or is unknown.
    """
    try:
        return msgspec.json.decode(body or b"{}", type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.MalformedRequest(str(error)) from error


def deadline_from_timeout(timeout_ms, now):
    """Return the deadline of a request from its timeout and its time of arrival.

    Parameters
    ----------
    timeout_ms : int
        Values above ``MAX_TIMEOUT_MS`` are reduced to it.
    now : float
        Monotonic time of arrival in seconds.

    Returns
    -------
    float
        Monotonic time in seconds.

    Raises
    ------
    errors.DeadlinePassed
        When the timeout is not positive.
    """
    if timeout_ms <= 0:
        raise errors.DeadlinePassed("timeout_ms must be positive")
    return now + min(timeout_ms, MAX_TIMEOUT_MS) / 1000


def rank_from_name(name):
    """Return the rank with a name, such as ``"urgent"``.

    Raises
    ------
    errors.MalformedRequest
        When no rank has the name.
    """
    rank = RANKS_BY_NAME.get(name)
    if rank is None:
        raise errors.MalformedRequest(
            f"rank {name!r} is not one of {', '.join(RANKS_BY_NAME)}"
        )
    return rank


def freshness_from_body(body):
    """Return the freshness bound that a ``FreshnessBody`` describes.

    ``OwnWrites`` is the default for None.

    Raises
    ------
    errors.MalformedRequest
        When the kind is unknown or the age is out of range.
    """
    if body is None:
        return OwnWrites()
    match body.kind:
        case "own_writes":
            return OwnWrites()
        case "any":
            return AnyAge()
        case "max_age":
            if not 0 <= body.max_age_ms <= 86_400_000:
                raise errors.MalformedRequest("max_age_ms is out of range")
            return MaxAge(body.max_age_ms / 1000)
        case _:
            raise errors.MalformedRequest(
                f"freshness {body.kind!r} is not own_writes, max_age or any"
            )


def build_statement(sql, params):
    """Check SQL and parameters and return them as a ``Statement``.

    Parameters
    ----------
    sql : str
    params : list

    Returns
    -------
    Statement

    Raises
    ------
    errors.MalformedRequest
        When the SQL is empty or too long, controls a transaction, or a parameter is
        not a JSON scalar or is an integer beyond 64 bits.
    """
    if not sql.strip() or len(sql) > MAX_SQL_CHARACTERS:
        raise errors.MalformedRequest("sql is empty or too long")
    if _TRANSACTION_CONTROL.match(sql):
        # The statement would end the batch's transaction, which commits a write
        # together with its idempotency key.
        raise errors.MalformedRequest("transactions are controlled by their own calls")
    for param in params:
        if not isinstance(param, str | int | float | bool | None):
            raise errors.MalformedRequest("params must be JSON scalars")
        if isinstance(param, int) and not MIN_INTEGER <= param <= MAX_INTEGER:
            raise errors.MalformedRequest("an integer in params exceeds 64 bits")
    return Statement(sql, tuple(params))


def build_statement_request(body, caller, now):
    """Check a decoded body and build the request from it.

    Parameters
    ----------
    body : StatementBody
    caller : str
        Name of the caller, from its certificate or the ``Caller`` header.
    now : float
        Monotonic time of arrival in seconds.

    Returns
    -------
    StatementRequest

    Raises
    ------
    errors.MalformedRequest
        When a field has a value that is not allowed.
    errors.DeadlinePassed
        When the timeout is not positive.
    """
    if body.kind not in ("read", "write"):
        raise errors.MalformedRequest("kind must be read or write")
    if body.key is not None and not 0 < len(body.key) <= MAX_KEY_CHARACTERS:
        raise errors.MalformedRequest("key is empty or too long")
    return StatementRequest(
        kind=body.kind,
        group=body.group,
        statement=build_statement(body.sql, body.params),
        rank=rank_from_name(body.rank),
        deadline=deadline_from_timeout(body.timeout_ms, now),
        freshness=freshness_from_body(body.freshness),
        key=body.key,
        repeatable=body.repeatable,
        caller=caller,
        session=body.session,
    )


def encode(value):
    """Encode a value as JSON bytes; attrs and msgspec classes are supported."""
    return msgspec.json.encode(value)
