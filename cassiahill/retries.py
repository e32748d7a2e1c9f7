"""Retry budget, backoff with jitter, and whether an attempt may be repeated."""

import attrs

from cassiahill import errors

BUDGET_RATIO = 0.1  # Retries per request: a fault adds at most a tenth to the load.
BUDGET_CAP = 50.0  # Retries that a quiet period saves up at most.
BUDGET_START = 5.0
BACKOFF_BASE = 0.02  # seconds
BACKOFF_CAP = 1.0  # seconds
_MAX_DOUBLINGS = 16


class RetryBudget:
    """Token bucket that each request fills and each retry empties.

    Parameters
    ----------
    ratio : float
        Retries that one request earns.
    cap : float
        Most retries that can be saved up.
    start : float
        Retries available before the first request.
    """

    def __init__(self, ratio=BUDGET_RATIO, cap=BUDGET_CAP, start=BUDGET_START):
        self._ratio = ratio
        self._cap = cap
        self.available = min(start, cap)

    def record_request(self):
        """Count a first attempt."""
        self.available = min(self._cap, self.available + self._ratio)

    def take(self):
        """Take one retry; return False when none is left."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


@attrs.frozen
class Attempt:
    """An attempt that failed.

    ``number`` counts from 0. ``sent`` tells whether it was passed to a connection of
    a database; a caller's client, which sees only answers, passes False for an error
    whose ``may_have_run`` is ``no``.
    """

    kind: str
    repeatable: bool
    key: str | None
    sent: bool
    number: int
    deadline: float


@attrs.frozen
class RetryAt:
    """Repeat the attempt at an instant, in seconds."""

    at: float


@attrs.frozen
class Stop:
    """Do not repeat the attempt."""

    reason: str


def backoff_seconds(number, unit):
    """Return the pause before a retry in seconds: full jitter over a doubling range.

    ``unit`` is a random number in [0, 1).
    """
    return unit * min(BACKOFF_CAP, BACKOFF_BASE * 2 ** min(number, _MAX_DOUBLINGS))


def is_safe(attempt, error):
    """Return whether a repetition cannot run the statement twice.

    A write that is not marked repeatable is never sent twice, not even with a key or
    when the database refused it.
    """
    if attempt.kind == "read" or not attempt.sent:
        return True
    return attempt.repeatable and (
        attempt.key is not None or error.may_have_run is errors.MayHaveRun.NO
    )


def decide_retry(attempt, error, budget, now, unit):
    """Return whether and when to repeat a failed attempt.

    Parameters
    ----------
    attempt : Attempt
    error : errors.CassiahillError
    budget : RetryBudget
        A retry is taken from it only when everything else allows the repetition.
    now : float
    unit : float
        Random number in [0, 1).

    Returns
    -------
    RetryAt or Stop
    """
    not_run = error.may_have_run is errors.MayHaveRun.NO
    if not_run and error.retry_after is None:
        return Stop("a repetition fails in the same way")
    if not is_safe(attempt, error):
        return Stop("a repetition may run the statement twice")
    at = (
        now + max(error.retry_after or 0.0, 0.0) + backoff_seconds(attempt.number, unit)
    )
    if at >= attempt.deadline:
        return Stop("the deadline comes first")
    if not budget.take():
        return Stop("the retry budget is empty")
    return RetryAt(at)
