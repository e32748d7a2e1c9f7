"""Exceptions of the package; each class has a unique, stable code."""

import enum


class MayHaveRun(enum.StrEnum):
    """Whether the statement of a request that failed may have run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class CassiahillError(Exception):
    """Base class of all errors that reach a caller or an operator.

    Attributes
    ----------
    code : str
        Stable name of the error, part of the public interface.
    http_status : int
        Status of the HTTP response that carries the error.
    may_have_run : MayHaveRun
        Whether the statement may have run.
    retry_after : float or None
        Seconds after which a retry may succeed; None when a retry would fail too.
    session : str or None
        Session token to continue with, if the request changed it.
    detail : str
        Text for people.
    """

    code = "internal"
    http_status = 500
    may_have_run = MayHaveRun.UNKNOWN
    retry_after = None
    session = None

    def __init__(self, detail="", *, retry_after=None, may_have_run=None):
        super().__init__(detail)
        self.detail = detail
        if retry_after is not None:
            self.retry_after = retry_after
        if may_have_run is not None:
            self.may_have_run = MayHaveRun(may_have_run)

    def to_problem(self):
        """Return the fields of an ``application/problem+json`` body."""
        problem = {
            "code": self.code,
            "status": self.http_status,
            "may_have_run": self.may_have_run.value,
            "detail": self.detail,
        }
        if self.retry_after is not None:
            problem["retry_after_ms"] = int(self.retry_after * 1000)
        if self.session is not None:
            problem["session"] = self.session
        return problem


class NotRunError(CassiahillError):
    """The request certainly did not run; base class of errors with that guarantee."""

    code = "not_run"
    http_status = 503
    may_have_run = MayHaveRun.NO


class MalformedRequest(NotRunError):
    """The request cannot be parsed or has wrong fields."""

    code = "malformed_request"
    http_status = 400


class RequestTooLarge(NotRunError):
    """The request exceeds the size limit."""

    code = "request_too_large"
    http_status = 413


class NotFound(NotRunError):
    """The path or object does not exist."""

    code = "not_found"
    http_status = 404


class UnknownGroup(NotRunError):
    """The database group is not configured."""

    code = "unknown_group"
    http_status = 404


class InvalidToken(NotRunError):
    """The session token is malformed, forged, or belongs to another caller."""

    code = "invalid_token"
    http_status = 403


class Unauthenticated(NotRunError):
    """The caller's key is not in force."""

    code = "unauthenticated"
    http_status = 401


class ConfigurationUnproved(NotRunError):
    """The configuration is not proved young enough to tell which keys are in force."""

    code = "configuration_unproved"
    http_status = 503
    retry_after = 0.25


class DeadlinePassed(NotRunError):
    """The deadline passed before the statement was sent to a database."""

    code = "deadline_passed"
    http_status = 504


class Overloaded(NotRunError):
    """Admission control refused the request because of the load; retry later."""

    code = "overloaded"
    http_status = 429
    retry_after = 0.1


class NotFresh(NotRunError):
    """No backend server is fresh enough for the session or the maximum age."""

    code = "not_fresh"
    http_status = 503
    retry_after = 0.1


class NoPrimary(NotRunError):
    """No primary of the group is known or reachable."""

    code = "no_primary"
    http_status = 503
    retry_after = 0.25


class Draining(NotRunError):
    """The proxy is shutting down; send the request to another one."""

    code = "draining"
    http_status = 503
    retry_after = 0.0


class BackendUnavailable(NotRunError):
    """The backend server cannot be reached; nothing was sent to it."""

    code = "backend_unavailable"
    http_status = 503
    retry_after = 0.1


class StaleTerm(NotRunError):
    """The database refused the statement because its term is not the current one."""

    code = "stale_term"
    http_status = 503
    retry_after = 0.05


class StaleEpoch(NotRunError):
    """The database refused a server owner that has since been replaced."""

    code = "stale_epoch"
    http_status = 503
    retry_after = 0.05


class NotOwner(NotRunError):
    """The proxy is not the owner of the backend server."""

    code = "not_owner"
    http_status = 503
    retry_after = 0.05


class StatementFailed(NotRunError):
    """The database executed nothing: the SQL is invalid or violates a constraint."""

    code = "statement_failed"
    http_status = 422


class KeyConflict(NotRunError):
    """The idempotency key was used with a different statement."""

    code = "key_conflict"
    http_status = 409


class KeyClosed(NotRunError):
    """The idempotency key was closed; its statement can no longer run."""

    code = "key_closed"
    http_status = 409


class NoTransaction(NotRunError):
    """The transaction does not exist, has ended, or was rolled back."""

    code = "no_transaction"
    http_status = 404


class HistoryDiverged(NotRunError):
    """The session saw a write that a promotion dropped."""

    code = "history_diverged"
    http_status = 410


class OutcomeUnknown(CassiahillError):
    """The statement was sent to a database and its outcome is not known.

    Attributes
    ----------
    mark : tuple of (int, int) or None
        Term and log position that the statement has if it ran; None if they are not
        known.
    """

    code = "outcome_unknown"
    http_status = 504
    may_have_run = MayHaveRun.UNKNOWN
    mark = None

    def to_problem(self):
        """Return the fields of the body; other proxies need the mark in it."""
        problem = super().to_problem()
        if self.mark is not None:
            problem["mark"] = self.mark
        return problem


class ConnectionLost(CassiahillError):
    """A connection closed or stopped responding before the answer arrived."""

    code = "connection_lost"
    http_status = 502


class ResponseTooLarge(ConnectionLost):
    """A response is larger than this process accepts."""

    code = "response_too_large"


class Conflict(NotRunError):
    """A conditional update found another version than expected."""

    code = "conflict"
    http_status = 412


class PlatformUnavailable(CassiahillError):
    """The platform did not answer; the change may have taken effect."""

    code = "platform_unavailable"
    http_status = 503
    retry_after = 1.0


class AnswerTooLarge(PlatformUnavailable):
    """The platform's answer is larger than this process accepts."""

    code = "answer_too_large"


class HistoryLost(NotRunError):
    """The shared store no longer keeps the changes that follow a revision."""

    code = "history_lost"
    http_status = 410


class InvalidSettings(NotRunError):
    """The settings are invalid; the error reports all findings together."""

    code = "invalid_settings"
    http_status = 422


class PeerRejected(NotRunError):
    """A message between proxies failed authentication or validation."""

    code = "peer_rejected"
    http_status = 403


def _class_and_subclasses(cls):
    yield cls
    for subclass in cls.__subclasses__():
        yield from _class_and_subclasses(subclass)


def by_code():
    """Return a dictionary of all error classes by their code."""
    return {cls.code: cls for cls in _class_and_subclasses(CassiahillError)}


def from_problem(problem):
    """Return the exception that an ``application/problem+json`` body describes.

    Parameters
    ----------
    problem : dict
        Decoded body with ``code``, ``detail``, ``may_have_run`` and, optionally,
        ``retry_after_ms``, ``session`` and ``mark``.

    Returns
    -------
    CassiahillError
        ``CassiahillError`` itself when the code is unknown.
    """
    cls = by_code().get(problem.get("code"), CassiahillError)
    retry_after_ms = problem.get("retry_after_ms")
    error = cls(
        str(problem.get("detail", "")),
        retry_after=None if retry_after_ms is None else retry_after_ms / 1000,
        may_have_run=problem.get("may_have_run"),
    )
    error.session = problem.get("session")
    mark = problem.get("mark")
    if isinstance(error, OutcomeUnknown) and mark is not None:
        error.mark = (int(mark[0]), int(mark[1]))
    return error
