"""Requests and answers of callers as attrs classes, and their JSON form."""

import enum
import re

import attrs
import msgspec

from cassiahill import errors

MAX_SQL_CHARACTERS = 65_536
MAX_KEY_CHARACTERS = 200
MAX_TIMEOUT_MS = 60_000
DEFAULT_TIMEOUT_MS = 5_000


_TRANSACTION_CONTROL = re.compile(
    r"(?:\s|--[^\n]*\n|/\*.*?\*/)*"
    r"(?:begin|start|commit|end|rollback|abort|savepoint|release)\b",
    re.IGNORECASE | re.DOTALL,
)


class Rank(enum.IntEnum):
    """Rank of a request; a lower number is served first."""

    URGENT = 1
    LOOKUP = 2
    ROUTINE = 3


RANKS_BY_NAME = {rank.name.lower(): rank for rank in Rank}


@attrs.frozen
class OwnWrites:
    """The read must see everything that the session has seen or written."""


@attrs.frozen
class MaxAge:
    """The read may be older than the primary by a stated age, in seconds."""

    seconds: float


@attrs.frozen
class AnyAge:
    """The read may be of any age that does not go back within the session."""


Freshness = OwnWrites | MaxAge | AnyAge


@attrs.frozen
class Statement:
    """One SQL statement with its positional parameters."""

    sql: str
    params: tuple = ()


@attrs.frozen
class StatementRequest:
    """A single statement of a caller.

    ``deadline`` is an instant of the monotonic clock, in seconds.
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

    ``rows`` is a list of lists in the order of ``columns``; ``age_ms`` is an upper
    bound, or None when the answer comes from a write.
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
    """JSON form of a freshness."""

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

    A transaction ends with the connection that opened it unless ``survives_connection``
    is set; then it ends after it has been silent for ten seconds.
    """

    group: str
    rank: str = "routine"
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    session: str | None = None
    key: str | None = None
    survives_connection: bool = False


class TransactionStatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of a statement within a transaction."""

    sql: str
    params: list = []
    timeout_ms: int = DEFAULT_TIMEOUT_MS


class EndTransactionBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of a commit or rollback."""

    timeout_ms: int = DEFAULT_TIMEOUT_MS


class OutcomeBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON form of ``POST /v1/outcomes``."""

    group: str
    key: str
    digest: str | None = None
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    session: str | None = None


def decode_body(body, body_type):
    """Decode a JSON request body.

    Parameters
    ----------
    body : bytes
    body_type : type
        One of the ``...Body`` classes of this module.

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
    """Return the deadline for a timeout that arrived at ``now``, in seconds."""
    if timeout_ms <= 0:
        raise errors.DeadlinePassed("timeout_ms must be positive")
    return now + min(timeout_ms, MAX_TIMEOUT_MS) / 1000


def rank_from_name(name):
    """Return the rank with a name."""
    rank = RANKS_BY_NAME.get(name)
    if rank is None:
        raise errors.MalformedRequest(
            f"rank {name!r} is not one of {', '.join(RANKS_BY_NAME)}"
        )
    return rank


def freshness_of(body):
    """Return the freshness that a body describes; own writes when it is absent."""
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
    """Return a checked statement.

    Raises
    ------
    errors.MalformedRequest
        When the SQL is empty or too long, controls a transaction, or a parameter is
        not a JSON scalar.
    """
    if not sql.strip() or len(sql) > MAX_SQL_CHARACTERS:
        raise errors.MalformedRequest("sql is empty or too long")
    if _TRANSACTION_CONTROL.match(sql):
        # It would end the batch that keeps a write and its key together.
        raise errors.MalformedRequest("transactions are controlled by their own calls")
    for param in params:
        if not isinstance(param, str | int | float | bool | None):
            raise errors.MalformedRequest("params must be JSON scalars")
    return Statement(sql, tuple(params))


def build_statement_request(body, caller, now):
    """Build a request from its decoded body.

    Parameters
    ----------
    body : StatementBody
    caller : str
        Name of the caller, from its certificate or the ``Caller`` header.
    now : float
        Instant of arrival in seconds.

    Returns
    -------
    StatementRequest
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
        freshness=freshness_of(body.freshness),
        key=body.key,
        repeatable=body.repeatable,
        caller=caller,
        session=body.session,
    )


def encode(value):
    """Encode a value as JSON bytes; attrs and msgspec classes are supported."""
    return msgspec.json.encode(value)
