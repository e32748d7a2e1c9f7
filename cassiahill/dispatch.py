"""Serves the requests of callers: routes, runs, retries and answers them."""

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
# Errors of requests whose statement was not passed to a database connection.
NEVER_SENT_ERRORS = (
    errors.NotOwner,
    errors.BackendUnavailable,
    errors.Overloaded,
)
# Errors that last only until a takeover or promotion ends. Requests that failed with
# them cost the databases nothing, so their retries take nothing from the retry budget.
TRANSIENT_ERRORS = (errors.NotOwner, errors.BackendUnavailable)


@attrs.frozen
class DispatcherContext:
    """Objects and settings that the dispatcher uses.

    ``leaving_hosts`` returns the names of the backend servers that get no new requests;
    ``wall_clock`` returns Unix time in seconds, used only to date idempotency keys.
    """

    loop: object
    token_signer: tokens.TokenSigner
    topology: object
    gateway: object
    routing_policy: routing.RoutingPolicy
    own_domain: str
    leaving_hosts: object
    rng: object
    wall_clock: object


@attrs.frozen
class PreparedRequest:
    """A request with its group's monitor, session token and admission context."""

    monitor: object
    request: messages.StatementRequest
    token: tokens.SessionToken
    request_context: RequestContext

    @property
    def mark(self):
        """The latest point of the group's history that the session has seen."""
        return self.token.marks_by_group.get(self.request.group, NO_MARK)


class Dispatcher:
    """Serves callers' requests outside transactions, and settles idempotency keys.

    Parameters
    ----------
    context : DispatcherContext
    """

    def __init__(self, context):
        self._context = context
        self._loop = context.loop
        self._retry_budget = retries.RetryBudget()

    def serve_statement(self, request):
        """Run a caller's statement; a generator for ``yield from``.

        Parameters
        ----------
        request : messages.StatementRequest

        Returns
        -------
        messages.Answer
        """
        prepared_request = self.prepare_request(request)
        self._retry_budget.record_request()
        if request.kind == "write":
            return (yield from self._run_write(prepared_request))
        return (yield from self._run_read(prepared_request))

    def settle_outcome(self, request, digest=None):
        """Return the outcome of a write by its idempotency key.

        A key that is not stored is closed, so that its write can no longer run. A
        generator for ``yield from``.

        Parameters
        ----------
        request : messages.StatementRequest
        digest : str or None
            Digest of the statement; a key stored with another one is a conflict.

        Returns
        -------
        outcomes.Done or outcomes.NotRun
        """
        prepared_request = self.prepare_request(request)
        while True:
            server = yield from self._choose_server(prepared_request)
            outcome_steps = outcomes.resolve(
                outcomes.stored_key(request.caller, request.key),
                digest,
                prepared_request.monitor.view.term,
                self._context.wall_clock(),
                self._remaining_seconds(prepared_request),
            )
            outcome = yield from self._run_outcome_steps(
                outcome_steps, server, prepared_request
            )
            if not isinstance(outcome, outcomes.Unknown):
                return outcome
            yield from self._back_off(prepared_request, 1)

    def prepare_request(self, request):
        """Return the ``PreparedRequest`` of a request.

        Raises
        ------
        errors.UnknownGroup
        errors.InvalidToken
        """
        monitor = self._context.topology.monitors_by_group.get(request.group)
        if monitor is None:
            raise errors.UnknownGroup(f"group {request.group!r} is not configured")
        token = self._context.token_signer.decode(request.session, request.caller)
        request_context = RequestContext(request.rank, request.caller, request.deadline)
        return PreparedRequest(monitor, request, token, request_context)

    def advanced_session(self, prepared_request, term, position):
        """Return the session's encoded token, advanced to a term and log position."""
        mark = tokens.Mark(term, position)
        return self._context.token_signer.encode(
            prepared_request.token.with_mark(prepared_request.request.group, mark)
        )

    def is_known_primary(self, group, server):
        """Return whether this process takes a backend server for the primary."""
        return self._context.topology.monitors_by_group[group].view.primary == server

    def wait_for_primary(self, prepared_request):
        """Wait for a primary that the session may write to; return its name."""
        return (yield from self._choose_server(prepared_request))

    def _run_write(self, prepared_request):
        failed_attempt_count = 0
        while True:
            server = yield from self._choose_server(prepared_request)
            view = prepared_request.monitor.view
            unknown_mark = view.mark_for_unknown_write(view.term)
            try:
                if prepared_request.request.key is None:
                    return (
                        yield from self._write_without_key(prepared_request, server)
                    )
                return (yield from self._write_with_key(prepared_request, server))
            except errors.CassiahillError as error:
                failed_attempt_count += 1
                if not (
                    yield from self._wait_before_retry(
                        prepared_request, error, failed_attempt_count
                    )
                ):
                    raise self._add_session(
                        prepared_request, error, unknown_mark
                    ) from error

    def _write_without_key(self, prepared_request, server):
        batch = self._single_statement_batch(prepared_request, read_only=False)
        result = yield from self._context.gateway.submit(
            server, prepared_request.request_context, batch, True
        )
        return self._make_answer(prepared_request, server, result, result.results[0])

    def _write_with_key(self, prepared_request, server):
        request = prepared_request.request
        keyed_write = outcomes.KeyedWrite(
            outcomes.stored_key(request.caller, request.key),
            outcomes.statement_digest(request.statement),
            request.statement,
            server,
            prepared_request.monitor.view.term,
            self._context.wall_clock(),
            self._remaining_seconds(prepared_request),
        )
        outcome = yield from self._run_outcome_steps(
            outcomes.keyed_write(keyed_write), server, prepared_request
        )
        match outcome:
            case outcomes.Done():
                return self._make_answer(
                    prepared_request, outcome.server, outcome, outcome.result
                )
            case outcomes.NotRun(error=error) | outcomes.Unknown(error=error):
                raise error

    def _run_outcome_steps(self, outcome_steps, server, prepared_request):
        """Run the batches that an ``outcomes`` generator yields; return its outcome."""
        batch = next(outcome_steps)
        while True:
            try:
                try:
                    result = yield from self._context.gateway.submit(
                        server, prepared_request.request_context, batch, True
                    )
                except errors.CassiahillError as error:
                    batch = outcome_steps.throw(error)
                else:
                    batch = outcome_steps.send(result)
            except StopIteration as stop:
                return stop.value

    def _run_read(self, prepared_request):
        failed_attempt_count = 0
        while True:
            server = yield from self._choose_server(prepared_request)
            view = prepared_request.monitor.view
            read_target = view.read_target(server, self._loop.clock.now())
            batch = self._single_statement_batch(prepared_request, read_only=True)
            try:
                result = yield from self._context.gateway.submit(
                    server, prepared_request.request_context, batch, False
                )
            except errors.CassiahillError as error:
                failed_attempt_count += 1
                if not (
                    yield from self._wait_before_retry(
                        prepared_request, error, failed_attempt_count
                    )
                ):
                    raise
                continue
            age_seconds = self._accepted_answer_age_seconds(
                prepared_request, read_target, result
            )
            if age_seconds is not None:
                mark = view.mark_after_read(read_target, result.position)
                return self._make_answer(
                    prepared_request, server, mark, result.results[0], age_seconds
                )
            yield from self._back_off(prepared_request, 1)

    def _accepted_answer_age_seconds(self, prepared_request, read_target, result):
        """Return the age of an answer in seconds; None if the read must be repeated.

        The server may have dropped the end of its log or restarted since its last poll,
        or the read may have waited for longer than its largest accepted age.
        """
        view = prepared_request.monitor.view
        if not view.answer_contains_mark(
            read_target, result.position, prepared_request.mark
        ):
            return None
        age_seconds = view.answer_age(
            read_target, result.position, self._loop.clock.now()
        )
        match prepared_request.request.freshness:
            case messages.MaxAge(seconds=max_age_seconds) if (
                age_seconds > max_age_seconds
            ):
                return None
        return age_seconds

    def _choose_server(self, prepared_request):
        """Wait until a server may serve the request; return its name."""
        context = self._context
        while True:
            route = context.routing_policy.route(
                prepared_request.request,
                prepared_request.mark,
                prepared_request.monitor.view,
                context.gateway.unfinished_requests_by_server,
                context.leaving_hosts(),
                context.own_domain,
                context.topology.domains_by_server,
                self._loop.clock.now(),
            )
            match route:
                case routing.ToServer(server=server):
                    return server
                case routing.WaitUntil(at=wait_until):
                    yield prepared_request.monitor.wait_for_change(wait_until)
                case routing.Refuse(error=error):
                    raise error

    def _wait_before_retry(self, prepared_request, error, failed_attempt_count):
        """Wait before a retry; return False, without a wait, if none is allowed."""
        if isinstance(error, TRANSIENT_ERRORS):
            retry_at = self._loop.clock.now() + retries.backoff_seconds(
                failed_attempt_count, self._context.rng.random()
            )
            if retry_at >= prepared_request.request.deadline:
                return False
            yield self._loop.sleep_until(retry_at)
            return True
        failed_attempt = retries.Attempt(
            prepared_request.request.kind,
            prepared_request.request.repeatable,
            prepared_request.request.key,
            not isinstance(error, NEVER_SENT_ERRORS),
            failed_attempt_count,
            prepared_request.request.deadline,
        )
        decision = retries.decide_retry(
            failed_attempt,
            error,
            self._retry_budget,
            self._loop.clock.now(),
            self._context.rng.random(),
        )
        match decision:
            case retries.RetryAt(at=retry_at):
                yield self._loop.sleep_until(retry_at)
                return True
        return False

    def _back_off(self, prepared_request, failed_attempt_count):
        """Wait before another attempt, unless that takes longer than the deadline."""
        retry_at = self._loop.clock.now() + retries.backoff_seconds(
            failed_attempt_count, self._context.rng.random()
        )
        if retry_at >= prepared_request.request.deadline:
            raise errors.NotFresh("the deadline passed between two attempts")
        yield self._loop.sleep_until(retry_at)

    def _remaining_seconds(self, prepared_request):
        """Return the seconds up to the deadline, as a positive timeout."""
        return max(0.001, prepared_request.request.deadline - self._loop.clock.now())

    def _single_statement_batch(self, prepared_request, read_only):
        return backend.Batch(
            statements=(prepared_request.request.statement,),
            term=prepared_request.monitor.view.term,
            read_only=read_only,
            timeout=self._remaining_seconds(prepared_request),
        )

    def _make_answer(
        self, prepared_request, server, history_point, result, age_seconds=None
    ):
        return messages.Answer(
            columns=result.columns,
            rows=result.rows,
            row_count=result.row_count,
            server=server,
            term=history_point.term,
            position=history_point.position,
            session=self.advanced_session(
                prepared_request, history_point.term, history_point.position
            ),
            age_ms=None if age_seconds is None else age_seconds * 1000,
        )

    def _add_session(self, prepared_request, error, unknown_mark):
        """Add a token to the error, so that later reads see the write if it ran."""
        if error.may_have_run is errors.MayHaveRun.NO:
            return error
        mark = getattr(error, "mark", None) or (
            unknown_mark.term,
            unknown_mark.position,
        )
        error.session = self.advanced_session(prepared_request, *mark)
        return error
