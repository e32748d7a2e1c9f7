"""Results of the Python client's requests, and the errors that it raises."""

import attrs

from cassiahill import errors


@attrs.frozen
class Result:
    """Result of a statement.

    ``age`` is an upper bound on the age of the data in seconds, None for writes.
    ``repeated`` is true when a write with an idempotency key had already run in an
    earlier attempt; then only its row count is known.
    """

    columns: list
    rows: list
    row_count: int
    term: int
    position: int
    server: str = ""
    age: float | None = None
    repeated: bool = False


def error_to_raise(kind, unknown_outcome_error, last_error):
    """Return the error that describes all attempts of a request together.

    Parameters
    ----------
    kind : {"read", "write"}
    unknown_outcome_error : errors.CassiahillError or None
        Error of the latest attempt that may have run.
    last_error : errors.CassiahillError
        Error of the last attempt.
    """
    if (
        kind == "read"
        or unknown_outcome_error is None
        or last_error is unknown_outcome_error
    ):
        return last_error
    if isinstance(last_error, errors.KeyClosed | errors.KeyConflict):
        # A closed key proves that no attempt ran. A key conflict proves that the key
        # was used for another statement.
        return last_error
    return errors.OutcomeUnknown(
        f"{unknown_outcome_error.detail}; then: {last_error.detail}"
    )


def error_from_answer(problem):
    """Return the exception that a proxy's answer with an error status describes."""
    try:
        return errors.from_problem(problem)
    except (ValueError, TypeError):
        return errors.CassiahillError("the answer is not a valid problem")


def result_from_answer(answer, repeated=False):
    """Return the ``Result`` in a proxy's answer.

    Parameters
    ----------
    answer : dict
        Decoded answer; absent fields get empty values.
    repeated : bool
        Whether the write had already run in an earlier attempt.
    """
    age_ms = answer.get("age_ms")
    return Result(
        columns=answer.get("columns", []),
        rows=answer.get("rows", []),
        row_count=answer.get("row_count", 0),
        term=answer.get("term", 0),
        position=answer.get("position", 0),
        server=answer.get("server", ""),
        age=None if age_ms is None else age_ms / 1000,
        repeated=repeated or bool(answer.get("repeated", False)),
    )
