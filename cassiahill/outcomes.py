"""Outcomes of writes and idempotency keys in the table ``cassiahill_keys``.

A write with a key inserts the key, runs its statement and stores the result in one
database transaction. The stored result consists of the row count, the server and the
term. Columns and rows (of ``RETURNING``) are not stored, because plain SQL cannot pass
the rows of one statement to the next.

``keyed_write`` and ``resolve`` are generators without I/O: they yield a
``backend.Batch``, are sent its ``backend.BatchResult`` or are thrown its error, and
return an outcome. ``Done``, and ``NotRun`` with a position, depend on table rows that a
promotion can drop, so they may be reported only once a majority has the log up to that
position.
"""

import hashlib

import attrs
import msgspec

from cassiahill import backend, errors, messages

KEY_RETENTION_SECONDS = 7 * 24 * 3600.0
# Rows that one batch deletes; a small number keeps the write lock short.
MAX_DELETED_KEYS = 200
# Index of the caller's statement in the batch of a keyed write.
_STATEMENT_INDEX = 2

_CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS cassiahill_keys (key VARCHAR(300) PRIMARY KEY, "
    "digest VARCHAR(64) NOT NULL, state VARCHAR(8) NOT NULL, row_count INTEGER, "
    "answer TEXT, created DOUBLE PRECISION NOT NULL)",
    "CREATE INDEX IF NOT EXISTS cassiahill_keys_created ON cassiahill_keys (created)",
)
_INSERT_KEY = (
    "INSERT INTO cassiahill_keys (key, digest, state, row_count, answer, created) "
    "VALUES (?, ?, 'done', 0, ?, ?)"
)
# Updates no row and thereby sets the row count to 0. Some statements, such as CREATE
# TABLE, leave the row count of the previous statement unchanged.
_RESET_ROW_COUNT = "UPDATE cassiahill_keys SET state = 'done' WHERE key = ? AND 1 = 0"
_STORE_ROW_COUNT = "UPDATE cassiahill_keys SET row_count = {} WHERE key = ?"
_SELECT_KEY = (
    "SELECT digest, state, row_count, answer, created FROM cassiahill_keys "
    "WHERE key = ?"
)
_CLOSE_ABSENT_KEY = (
    "INSERT INTO cassiahill_keys (key, digest, state, row_count, answer, created) "
    "SELECT ?, ?, 'closed', 0, '', ? "
    "WHERE NOT EXISTS (SELECT 1 FROM cassiahill_keys WHERE key = ?)"
)
_DELETE_EXPIRED_KEYS = (
    "DELETE FROM cassiahill_keys WHERE key IN (SELECT key FROM cassiahill_keys "
    "WHERE created < ? ORDER BY created LIMIT ?)"
)


@attrs.frozen
class Done:
    """The write ran.

    A log that contains ``position`` in ``term`` contains the write. ``repeated`` is
    true when the result was stored by an earlier attempt; its columns and rows are
    empty then.
    """

    result: backend.StatementResult
    server: str
    term: int
    position: int
    repeated: bool = False


@attrs.frozen
class NotRun:
    """The write did not run.

    ``position`` is the log position, in ``term``, of the table row that proves it; None
    when no row has to be acknowledged.
    """

    error: errors.CassiahillError
    term: int = 0
    position: int | None = None


@attrs.frozen
class Unknown:
    """The write may have run; its outcome can be resolved by ``key``, if not None."""

    key: str | None
    error: errors.CassiahillError


Outcome = Done | NotRun | Unknown


@attrs.frozen
class KeyedWrite:
    """A write with an idempotency key.

    ``key`` comes from ``stored_key`` and ``digest`` from ``statement_digest``.
    ``created_at`` is Unix time in seconds, ``timeout`` is in seconds. ``row_count_sql``
    is the database's expression for the row count of the previous statement.
    """

    key: str
    digest: str
    statement: messages.Statement
    server: str
    term: int
    created_at: float
    timeout: float
    row_count_sql: str = "changes()"


def stored_key(caller, key):
    """Return the key as it is stored; it is different for each caller."""
    return f"{len(caller)}:{caller}:{key}"


def statement_digest(statement):
    """Return the digest of a ``messages.Statement``, including parameter types."""
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
    insert = (write.key, write.digest, answer, write.created_at)
    statements = (
        _make_statement(_INSERT_KEY, *insert),
        _make_statement(_RESET_ROW_COUNT, write.key),
        write.statement,
        _make_statement(_STORE_ROW_COUNT.format(write.row_count_sql), write.key),
    )
    return backend.Batch(statements, write.term, False, write.timeout)


def read_key_batch(key, term, timeout):
    """Return the batch that reads a key at the primary."""
    return backend.Batch((_make_statement(_SELECT_KEY, key),), term, True, timeout)


def resolve_batch(key, digest, term, created_at, timeout):
    """Return the batch that inserts a key as closed if it is absent, and reads it.

    A closed key prevents a late attempt of its write from running.
    """
    statements = (
        _make_statement(_CLOSE_ABSENT_KEY, key, digest or "", created_at, key),
        _make_statement(_SELECT_KEY, key),
    )
    return backend.Batch(statements, term, False, timeout)


def create_table_batch(term, timeout):
    """Return the batch that creates the table of keys if it does not exist."""
    return backend.Batch(
        tuple(map(_make_statement, _CREATE_TABLE)), term, False, timeout
    )


def delete_expired_keys_batch(term, now, timeout):
    """Return a batch that deletes keys older than ``KEY_RETENTION_SECONDS``.

    ``now`` is Unix time in seconds. The caller repeats the batch while its row count is
    ``MAX_DELETED_KEYS``.
    """
    statement = _make_statement(
        _DELETE_EXPIRED_KEYS, now - KEY_RETENTION_SECONDS, MAX_DELETED_KEYS
    )
    return backend.Batch((statement,), term, False, timeout)


def transaction_key_statement(key, server, term, created_at):
    """Return the first statement of a transaction with a key.

    When the statement fails, the key may exist; ``read_key_batch`` shows whether it
    does. The row becomes visible with the commit, so ``resolve`` can also find out the
    outcome of a commit whose answer was lost.
    """
    answer = msgspec.json.encode({"server": server, "term": term}).decode()
    return _make_statement(_INSERT_KEY, key, "", answer, created_at)


def keyed_write(write):
    """Run a keyed write; a generator as described in the module's docstring.

    Parameters
    ----------
    write : KeyedWrite

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
            statement_result = result.results[_STATEMENT_INDEX]
            return Done(statement_result, write.server, result.term, result.position)
        # This attempt did not run; the key shows whether an earlier attempt did.
        try:
            key_result = yield read_key_batch(write.key, write.term, write.timeout)
        except errors.StatementFailed:
            pass
        except errors.CassiahillError as error:
            return Unknown(write.key, error)
        else:
            return _outcome_of_row(key_result, write.digest) or NotRun(failure)
        try:
            yield create_table_batch(write.term, write.timeout)
        except errors.CassiahillError as error:
            # Without the table, no earlier attempt ran either.
            return NotRun(errors.NotRunError(error.detail, retry_after=0.1))
    return NotRun(failure)


def resolve(key, digest, term, created_at, timeout):
    """Find out the outcome of a keyed write; a generator like ``keyed_write``.

    An absent key is closed, so that the write cannot run later.

    Parameters
    ----------
    key : str
        From ``stored_key``.
    digest : str or None
        From ``statement_digest``. When given, a key that was used with another
        statement is a ``KeyConflict``.
    term : int
        The current term; a late attempt of an earlier term cannot be acknowledged.
    created_at : float
        Unix time in seconds.
    timeout : float
        Seconds.

    Returns
    -------
    Done, NotRun or Unknown
    """
    for _ in range(2):
        try:
            result = yield resolve_batch(key, digest, term, created_at, timeout)
        except errors.StatementFailed as error:
            failure = error
        except errors.CassiahillError as error:
            return Unknown(key, error)
        else:
            outcome = _outcome_of_row(result, digest)
            if result.results[0].row_count:
                closed_error = errors.KeyClosed(
                    "the write did not run; its key is closed"
                )
                outcome = NotRun(closed_error, result.term, result.position)
            return outcome or Unknown(key, errors.OutcomeUnknown("the key is gone"))
        try:
            yield create_table_batch(term, timeout)
        except errors.CassiahillError as error:
            return Unknown(key, error)
    return Unknown(key, errors.OutcomeUnknown(failure.detail))


def answer_body(outcome):
    """Return the JSON fields of the answer of ``POST /v1/outcomes``.

    Parameters
    ----------
    outcome : Done, NotRun or Unknown

    Raises
    ------
    errors.CassiahillError
        When the outcome is unknown, or the key belongs to another statement.
    """
    # After this time the key is deleted and a retry is a new write.
    retention = {"kept_seconds": KEY_RETENTION_SECONDS}
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
            return {"outcome": "done", "answer": answer, **retention}
        case NotRun(errors.KeyClosed()):
            return {"outcome": "not_run", **retention}
    raise outcome.error


def _outcome_of_row(key_result, digest):
    """Return the outcome that a stored key proves, or None when the key is absent."""
    rows = key_result.results[-1].rows
    if not rows:
        return None
    stored_digest, state, row_count, answer, _created_at = rows[0]
    if state == "closed":
        error = errors.KeyClosed("the key was closed; its write did not and cannot run")
        return NotRun(error, key_result.term, key_result.position)
    if digest is not None and digest != stored_digest:
        error = errors.KeyConflict("the key was used with another statement")
        return NotRun(error, key_result.term, key_result.position)
    stored_answer = msgspec.json.decode(answer)
    stored_result = backend.StatementResult([], [], row_count)
    return Done(
        stored_result,
        stored_answer["server"],
        key_result.term,
        key_result.position,
        repeated=True,
    )


def _make_statement(sql, *params):
    return messages.Statement(sql, params)
