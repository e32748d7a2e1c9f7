"""Outcomes of writes and idempotency keys in the table ``cassiahill_keys``.

A write with a key inserts the key, runs its statement and stores the result in one
database transaction. Of the answer, the row count is stored, and what is known before
the statement runs: the server and the term. Columns and rows (of ``RETURNING``) are not
stored, because plain SQL cannot pass the rows of one statement to the next.

The operations are generators without I/O: they yield a ``backend.Batch``, are sent its
``backend.BatchResult`` or are thrown its error, and return an outcome. ``Done`` and
``NotRun`` with a position rest on rows that a promotion can drop, so they may be
reported only once a majority has the log up to that position.
"""

import hashlib

import attrs
import msgspec

from cassiahill import backend, errors, messages

KEPT_SECONDS = 7 * 24 * 3600.0
MAX_DELETED_KEYS = (
    200  # Rows per batch, so that a clean-up holds the write lock only shortly.
)
_STATEMENT_INDEX = 2  # Of the caller's statement in the batch of a keyed write.

_CREATE = (
    "CREATE TABLE IF NOT EXISTS cassiahill_keys (key VARCHAR(300) PRIMARY KEY, "
    "digest VARCHAR(64) NOT NULL, state VARCHAR(8) NOT NULL, row_count INTEGER, "
    "answer TEXT, created DOUBLE PRECISION NOT NULL)",
    "CREATE INDEX IF NOT EXISTS cassiahill_keys_created ON cassiahill_keys (created)",
)
_INSERT = (
    "INSERT INTO cassiahill_keys (key, digest, state, row_count, answer, created) "
    "VALUES (?, ?, 'done', 0, ?, ?)"
)
# Changes no row, and so sets the row count to 0 for a statement that leaves it as it is
# (for example CREATE TABLE).
_CLEAR_COUNT = "UPDATE cassiahill_keys SET state = 'done' WHERE key = ? AND 1 = 0"
_STORE = "UPDATE cassiahill_keys SET row_count = {} WHERE key = ?"
_SELECT = (
    "SELECT digest, state, row_count, answer, created FROM cassiahill_keys "
    "WHERE key = ?"
)
_CLOSE = (
    "INSERT INTO cassiahill_keys (key, digest, state, row_count, answer, created) "
    "SELECT ?, ?, 'closed', 0, '', ? "
    "WHERE NOT EXISTS (SELECT 1 FROM cassiahill_keys WHERE key = ?)"
)
_DROP = (
    "DELETE FROM cassiahill_keys WHERE key IN (SELECT key FROM cassiahill_keys "
    "WHERE created < ? ORDER BY created LIMIT ?)"
)


@attrs.frozen
class Done:
    """The write ran.

    ``result`` is a ``backend.StatementResult``; ``term`` and ``position`` are the mark
    that contains it. ``repeated`` tells that the result was stored by an earlier
    attempt, so its columns and rows are empty.
    """

    result: backend.StatementResult
    server: str
    term: int
    position: int
    repeated: bool = False


@attrs.frozen
class NotRun:
    """The write did not run.

    ``position`` is None when this needs no acknowledgement, else the position in
    ``term`` of the row that proves it.
    """

    error: errors.CassiahillError
    term: int = 0
    position: int | None = None


@attrs.frozen
class Unknown:
    """The write may have run; ``key`` (or None) resolves it."""

    key: str | None
    error: errors.CassiahillError


Outcome = Done | NotRun | Unknown


@attrs.frozen
class KeyedWrite:
    """A write with an idempotency key.

    ``key`` comes from ``stored_key``, ``digest`` from ``statement_digest``, and
    ``statement`` is a ``messages.Statement``. ``created`` is Unix time in seconds,
    ``timeout`` is in seconds. ``row_count_sql`` is the database's expression for the
    row count of the previous statement.
    """

    key: str
    digest: str
    statement: messages.Statement
    server: str
    term: int
    created: float
    timeout: float
    row_count_sql: str = "changes()"


def stored_key(caller, key):
    """Return the key as it is stored; two callers' equal keys differ."""
    return f"{len(caller)}:{caller}:{key}"


def statement_digest(statement):
    """Return the digest of a ``messages.Statement``; parameter types count."""
    content = msgspec.msgpack.encode([statement.sql, list(statement.params)])
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def outcome_of_error(error, key=None):
    """Return the outcome of a write whose only attempt failed."""
    if error.may_have_run is errors.MayHaveRun.NO:
        return NotRun(error)
    return Unknown(key, error)


def keyed_write_batch(write):
    """Return the batch of a keyed write; it fails when the key exists."""
    answer = msgspec.json.encode({"server": write.server, "term": write.term}).decode()
    insert = (write.key, write.digest, answer, write.created)
    statements = (
        _sql(_INSERT, *insert),
        _sql(_CLEAR_COUNT, write.key),
        write.statement,
        _sql(_STORE.format(write.row_count_sql), write.key),
    )
    return backend.Batch(statements, write.term, False, write.timeout)


def read_key_batch(key, term, timeout):
    """Return the batch that reads a key at the primary."""
    return backend.Batch((_sql(_SELECT, key),), term, True, timeout)


def resolve_batch(key, digest, term, created, timeout):
    """Return the batch that closes a key if it is absent, and reads it."""
    statements = (
        _sql(_CLOSE, key, digest or "", created, key),
        _sql(_SELECT, key),
    )
    return backend.Batch(statements, term, False, timeout)


def create_table_batch(term, timeout):
    """Return the batch that creates the table when it is missing."""
    return backend.Batch(tuple(map(_sql, _CREATE)), term, False, timeout)


def delete_expired_keys_batch(term, now, timeout):
    """Return the batch that drops some keys older than ``KEPT_SECONDS``.

    ``now`` is Unix time in seconds. Run it again while its row count is
    ``MAX_DELETED_KEYS``.
    """
    statement = _sql(_DROP, now - KEPT_SECONDS, MAX_DELETED_KEYS)
    return backend.Batch((statement,), term, False, timeout)


def transaction_key_statement(key, server, term, created):
    """Return the first statement of a transaction with a key.

    Its failure means that the key exists: run ``read_key_batch`` then. The row becomes
    visible with the commit, so that ``resolve`` also settles a lost commit.
    """
    answer = msgspec.json.encode({"server": server, "term": term}).decode()
    return _sql(_INSERT, key, "", answer, created)


def keyed_write(write):
    """Run a keyed write; see the module for how to drive the generator.

    Returns
    -------
    Done, NotRun or Unknown
    """
    for _ in range(2):
        try:
            result = yield keyed_write_batch(write)
        except errors.StatementFailed as error:
            failure = error
        except errors.CassiahillError as error:
            return outcome_of_error(error, write.key)
        else:
            own = result.results[_STATEMENT_INDEX]
            return Done(own, write.server, result.term, result.position)
        # Nothing of this attempt ran; the key tells whether an earlier one did.
        try:
            found = yield read_key_batch(write.key, write.term, write.timeout)
        except errors.StatementFailed:
            pass
        except errors.CassiahillError as error:
            return Unknown(write.key, error)
        else:
            return _outcome_of_row(found, write.digest) or NotRun(failure)
        try:
            yield create_table_batch(write.term, write.timeout)
        except errors.CassiahillError as error:
            # Without the table, no earlier attempt ran either.
            return NotRun(errors.NotRunError(error.detail, retry_after=0.1))
    return NotRun(failure)


def resolve(key, digest, term, created, timeout):
    """Settle an unknown outcome: a key that is absent is closed.

    Parameters
    ----------
    key : str
        From ``stored_key``.
    digest : str or None
        When given, a key of another statement is a ``KeyConflict``.
    term : int
        The current term; a late attempt of an earlier term cannot be acknowledged.
    created, timeout : float

    Returns
    -------
    Done, NotRun or Unknown
    """
    for _ in range(2):
        try:
            result = yield resolve_batch(key, digest, term, created, timeout)
        except errors.StatementFailed as error:
            failure = error
        except errors.CassiahillError as error:
            return Unknown(key, error)
        else:
            outcome = _outcome_of_row(result, digest)
            if result.results[0].row_count:
                closed = errors.KeyClosed("the write did not run; its key is closed")
                outcome = NotRun(closed, result.term, result.position)
            return outcome or Unknown(key, errors.OutcomeUnknown("the key is gone"))
        try:
            yield create_table_batch(term, timeout)
        except errors.CassiahillError as error:
            return Unknown(key, error)
    return Unknown(key, errors.OutcomeUnknown(failure.detail))


def answer_body(outcome):
    """Return the JSON fields of the answer of ``POST /v1/outcomes``.

    Raises
    ------
    errors.CassiahillError
        When the outcome is unknown, or the key belongs to another statement.
    """
    # A retry after this time is treated as a new write.
    kept = {"kept_seconds": KEPT_SECONDS}
    match outcome:
        case Done(result, server, term, position):
            answer = {
                "columns": result.columns,
                "rows": result.rows,
                "row_count": result.row_count,
                "server": server,
                "term": term,
                "position": position,
            }
            return {"outcome": "done", "answer": answer, **kept}
        case NotRun(errors.KeyClosed()):
            return {"outcome": "not_run", **kept}
    raise outcome.error


def _outcome_of_row(found, digest):
    """Return the outcome that a stored key proves; None when the key is absent."""
    rows = found.results[-1].rows
    if not rows:
        return None
    stored_digest, state, row_count, answer, _created = rows[0]
    if state == "closed":
        error = errors.KeyClosed("the key was closed; its write did not and cannot run")
        return NotRun(error, found.term, found.position)
    if digest is not None and digest != stored_digest:
        error = errors.KeyConflict("the key was used with another statement")
        return NotRun(error, found.term, found.position)
    known = msgspec.json.decode(answer)
    stored = backend.StatementResult([], [], row_count)
    return Done(stored, known["server"], found.term, found.position, repeated=True)


def _sql(sql, *params):
    return messages.Statement(sql, params)
