"""Retries: budget, backoff with jitter, and whether an attempt may be repeated."""

import attrs

from cassiahill import errors

# During a fault, retries add at most a tenth to the load.
RETRIES_PER_REQUEST = 0.1
# Most retries that requests without failures can accumulate.
MAX_SAVED_RETRIES = 50.0
INITIAL_RETRIES = 5.0
BASE_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
_MAX_BACKOFF_DOUBLINGS = 16


class RetryBudget:
    """Token bucket that each request fills and each retry empties.

    Parameters
    ----------
    retries_per_request : float
        Retries that each request adds.
    max_retries : float
        Most retries that can accumulate.
    initial_retries : float
        Retries available before the first request.
    """

    def __init__(
        self,
        retries_per_request=RETRIES_PER_REQUEST,
        max_retries=MAX_SAVED_RETRIES,
        initial_retries=INITIAL_RETRIES,
    ):
        self._retries_per_request = retries_per_request
        self._max_retries = max_retries
        self.available_retries = min(initial_retries, max_retries)

    def record_request(self):
        """Add the retries that the first attempt of a request earns."""
        self.available_retries = min(
            self._max_retries, self.available_retries + self._retries_per_request
        )

    def take_retry(self):
        """Consume one retry; return False when none is left."""
        if self.available_retries < 1:
            return False
        self.available_retries -= 1
        return True


@attrs.frozen
class Attempt:
    """A failed attempt of a request.

    ``attempt_number`` counts from 0. ``sent`` is true when the attempt was passed to a
    connection of a backend server. A caller's client sees only answers and sets it to
    False for an error whose ``may_have_run`` is ``no``.
    """

    kind: str
    repeatable: bool
    key: str | None
    sent: bool
    attempt_number: int
    deadline: float


@attrs.frozen
class RetryAt:
    """Decision: repeat the request at the instant ``at``, in seconds."""

    at: float


@attrs.frozen
class Stop:
    """Decision: do not repeat the request."""

    reason: str


def backoff_seconds(attempt_number, random_fraction):
    """Return the pause before a retry, in seconds.

    The pause is exponential backoff with full jitter: a random part of a range that
    doubles with each attempt.

    Parameters
    ----------
    attempt_number : int
        Counts from 0.
    random_fraction : float
        Random number in [0, 1).
    """
    return random_fraction * min(
        MAX_BACKOFF_SECONDS,
        BASE_BACKOFF_SECONDS * 2 ** min(attempt_number, _MAX_BACKOFF_DOUBLINGS),
    )


def is_safe_to_repeat(attempt, error):
    """Return whether a repetition cannot run the statement twice.

    A write that is not marked repeatable is never sent twice, not even when it has a
    key or when the backend server refused it.
    """
    if attempt.kind == "read" or not attempt.sent:
        return True
    return attempt.repeatable and (
        attempt.key is not None or error.may_have_run is errors.MayHaveRun.NO
    )


def decide_retry(attempt, error, budget, now, random_fraction):
    """Return whether and when to repeat a failed attempt.

    Parameters
    ----------
    attempt : Attempt
    error : errors.CassiahillError
    budget : RetryBudget
        A retry is consumed only when every other condition allows the repetition.
    now : float
        Instant in seconds.
    random_fraction : float
        Random number in [0, 1).

    Returns
    -------
    RetryAt or Stop
    """
    did_not_run = error.may_have_run is errors.MayHaveRun.NO
    # The repetition of a write with a key returns its row count only, which has room.
    too_many_rows = attempt.kind == "read" and isinstance(
        error, errors.ResponseTooLarge
    )
    if too_many_rows or (did_not_run and error.retry_after is None):
        return Stop("a repetition would fail in the same way")
    if not is_safe_to_repeat(attempt, error):
        return Stop("a repetition might run the statement twice")
    retry_at = (
        now
        + max(error.retry_after or 0.0, 0.0)
        + backoff_seconds(attempt.attempt_number, random_fraction)
    )
    if retry_at >= attempt.deadline:
        return Stop("the deadline passes before the next attempt")
    if not budget.take_retry():
        return Stop("the retry budget is empty")
    return RetryAt(retry_at)
