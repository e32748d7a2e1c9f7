"""Serves the requests of callers: route, run, acknowledge, answer."""

import attrs

from cassiahill import (
    backend,
    errors,
    messages,
    outcomes,
    retries,
    routing,
    tokens,
)
from cassiahill.request_context import RequestContext

NO_MARK = tokens.Mark(0, 0)
# Refusals that were decided before a statement was passed to a database connection.
NEVER_SENT = (
    errors.NotOwner,
    errors.BackendUnavailable,
    errors.Overloaded,
)
# Refusals that end when a takeover or promotion does. Waiting for that costs the
# databases nothing, so it takes nothing from the retry budget.
PASSING = (errors.NotOwner, errors.BackendUnavailable)


@attrs.frozen
class Environment:
    """What the dispatcher works with.

    ``leaving_hosts`` returns the names of the backend servers that get no new work;
    ``wall_clock`` returns Unix time in seconds, used only to date idempotency keys.
    """

    loop: object
    signer: tokens.TokenSigner
    topology: object
    gateway: object
    policy: routing.RoutingPolicy
    own_domain: str
    leaving_hosts: object
    rng: object
    wall_clock: object


@attrs.frozen
class Turn:
    """One request on its way: its monitor, session and what admission needs."""

    monitor: object
    request: messages.StatementRequest
    token: tokens.SessionToken
    request_context: RequestContext

    @property
    def mark(self):
        """The session's mark of the request's group."""
        return self.token.marks_by_group.get(self.request.group, NO_MARK)


class Dispatcher:
    """Serves callers' statements.

    Parameters
    ----------
    environment : Environment
    """

    def __init__(self, environment):
        self._env = environment
        self._loop = environment.loop
        self._budget = retries.RetryBudget()

    def statement(self, request):
        """Serve a ``messages.StatementRequest``; a generator for ``yield from``.

        Returns
        -------
        messages.Answer
        """
        turn = self.prepare_request(request)
        self._budget.record_request()
        if request.kind == "write":
            return (yield from self._write(turn))
        return (yield from self._read(turn))

    def outcome(self, request, digest=None):
        """Settle the outcome of a key: ``request.key`` is closed if it is absent.

        Parameters
        ----------
        request : messages.StatementRequest
        digest : str or None
            When given, a key of another statement is a conflict.

        Returns
        -------
        outcomes.Done, outcomes.NotRun or outcomes.Unknown
        """
        turn = self.prepare_request(request)
        while True:
            server = yield from self._route(turn)
            steps = outcomes.resolve(
                outcomes.stored_key(request.caller, request.key),
                digest,
                turn.monitor.view.term,
                self._env.wall_clock(),
                self._left(turn),
            )
            outcome = yield from self._drive(steps, server, turn)
            if not isinstance(outcome, outcomes.Unknown):
                return outcome
            yield from self._pause(turn, 1)

    def prepare_request(self, request):
        """Return the checked start of a request."""
        monitor = self._env.topology.monitors_by_group.get(request.group)
        if monitor is None:
            raise errors.UnknownGroup(f"group {request.group!r} is not configured")
        token = self._env.signer.decode(request.session, request.caller)
        request_context = RequestContext(request.rank, request.caller, request.deadline)
        return Turn(monitor, request, token, request_context)

    def advanced_session(self, turn, term, position):
        """Return the session's token after it has seen a position."""
        mark = tokens.Mark(term, position)
        return self._env.signer.encode(turn.token.with_mark(turn.request.group, mark))

    def is_primary(self, group, server):
        """Return whether a backend server is the primary, as known here."""
        return self._env.topology.monitors_by_group[group].view.primary == server

    def wait_for_primary(self, turn):
        """Wait for a primary that a write of the session may use; return its name."""
        return (yield from self._route(turn))

    def _write(self, turn):
        number = 0
        while True:
            server = yield from self._route(turn)
            view = turn.monitor.view
            unknown_mark = view.mark_for_unknown_write(view.term)
            try:
                if turn.request.key is None:
                    return (yield from self._plain_write(turn, server))
                return (yield from self._keyed_write(turn, server))
            except errors.CassiahillError as error:
                number += 1
                if not (yield from self._may_repeat(turn, error, number)):
                    raise self._with_session(turn, error, unknown_mark) from error

    def _plain_write(self, turn, server):
        batch = self._batch(turn, read_only=False)
        result = yield from self._env.gateway.submit(
            server, turn.request_context, batch, True
        )
        return self._answer(turn, server, result, result.results[0])

    def _keyed_write(self, turn, server):
        request = turn.request
        write = outcomes.KeyedWrite(
            outcomes.stored_key(request.caller, request.key),
            outcomes.statement_digest(request.statement),
            request.statement,
            server,
            turn.monitor.view.term,
            self._env.wall_clock(),
            self._left(turn),
        )
        outcome = yield from self._drive(outcomes.keyed_write(write), server, turn)
        match outcome:
            case outcomes.Done():
                return self._answer(turn, outcome.server, outcome, outcome.result)
            case outcomes.NotRun(error=error) | outcomes.Unknown(error=error):
                raise error

    def _drive(self, steps, server, turn):
        """Run the batches that a generator of ``outcomes`` yields."""
        batch = next(steps)
        while True:
            try:
                try:
                    result = yield from self._env.gateway.submit(
                        server, turn.request_context, batch, True
                    )
                except errors.CassiahillError as error:
                    batch = steps.throw(error)
                else:
                    batch = steps.send(result)
            except StopIteration as stop:
                return stop.value

    def _read(self, turn):
        number = 0
        while True:
            server = yield from self._route(turn)
            view = turn.monitor.view
            target = view.read_target(server, self._loop.clock.now())
            batch = self._batch(turn, read_only=True)
            try:
                result = yield from self._env.gateway.submit(
                    server, turn.request_context, batch, False
                )
            except errors.CassiahillError as error:
                number += 1
                if not (yield from self._may_repeat(turn, error, number)):
                    raise
                continue
            age = self._accepted_age(turn, target, result)
            if age is not None:
                mark = view.mark_after_read(target, result.position)
                return self._answer(turn, server, mark, result.results[0], age)
            yield from self._pause(turn, 1)

    def _accepted_age(self, turn, target, result):
        """Return the age of an answer; None when the read has to be sent again.

        The server may have dropped a suffix of its log or restarted since its last
        poll, or the read may have waited for longer than the stated age allows.
        """
        view = turn.monitor.view
        if not view.answer_contains_mark(target, result.position, turn.mark):
            return None
        age = view.answer_age(target, result.position, self._loop.clock.now())
        match turn.request.freshness:
            case messages.MaxAge(seconds=seconds) if age > seconds:
                return None
        return age

    def _route(self, turn):
        env = self._env
        while True:
            route = env.policy.route(
                turn.request,
                turn.mark,
                turn.monitor.view,
                env.gateway.waiting_by_server,
                env.leaving_hosts(),
                env.own_domain,
                env.topology.domains_by_server,
                self._loop.clock.now(),
            )
            match route:
                case routing.ToServer(server=server):
                    return server
                case routing.WaitUntil(at=at):
                    yield turn.monitor.wait_for_change(at)
                case routing.Refuse(error=error):
                    raise error

    def _may_repeat(self, turn, error, number):
        if isinstance(error, PASSING):
            at = self._loop.clock.now() + retries.backoff_seconds(
                number, self._env.rng.random()
            )
            if at >= turn.request.deadline:
                return False
            yield self._loop.sleep_until(at)
            return True
        attempt = retries.Attempt(
            turn.request.kind,
            turn.request.repeatable,
            turn.request.key,
            not isinstance(error, NEVER_SENT),
            number,
            turn.request.deadline,
        )
        decision = retries.decide_retry(
            attempt, error, self._budget, self._loop.clock.now(), self._env.rng.random()
        )
        match decision:
            case retries.RetryAt(at=at):
                yield self._loop.sleep_until(at)
                return True
        return False

    def _pause(self, turn, number):
        at = self._loop.clock.now() + retries.backoff_seconds(
            number, self._env.rng.random()
        )
        if at >= turn.request.deadline:
            raise errors.NotFresh("the deadline passed between two attempts")
        yield self._loop.sleep_until(at)

    def _left(self, turn):
        return max(0.001, turn.request.deadline - self._loop.clock.now())

    def _batch(self, turn, read_only):
        return backend.Batch(
            statements=(turn.request.statement,),
            term=turn.monitor.view.term,
            read_only=read_only,
            timeout=self._left(turn),
        )

    def _answer(self, turn, server, seen, result, age=None):
        return messages.Answer(
            columns=result.columns,
            rows=result.rows,
            row_count=result.row_count,
            server=server,
            term=seen.term,
            position=seen.position,
            session=self.advanced_session(turn, seen.term, seen.position),
            age_ms=None if age is None else age * 1000,
        )

    def _with_session(self, turn, error, unknown_mark):
        """Add the token that makes the session see an unknown write if it ran."""
        if error.may_have_run is errors.MayHaveRun.NO:
            return error
        mark = getattr(error, "mark", None) or (
            unknown_mark.term,
            unknown_mark.position,
        )
        error.session = self.advanced_session(turn, *mark)
        return error
