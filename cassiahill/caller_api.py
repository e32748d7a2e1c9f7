"""The HTTP interface of callers."""

from cassiahill import errors, http1, messages, outcomes

_TRANSACTION_PATH = "/v1/transactions/"


class Frontend:
    """Turns callers' HTTP requests into calls of the dispatcher.

    Parameters
    ----------
    loop : loop.EventLoop
    dispatcher : dispatch.Dispatcher
    transactions : transactions.OpenTransactions
    accounting : accounting.Accounting
    """

    def __init__(self, loop, dispatcher, transactions, accounting):
        self._accounting = accounting
        self._loop = loop
        self._dispatcher = dispatcher
        self._transactions = transactions

    def handle(self, request, connection):
        """Return the future of the response to one request."""
        return self._loop.spawn(self._handle(request, connection))

    def _handle(self, request, connection):
        if request.method != "POST":
            raise errors.NotFound(f"{request.method} {request.path}")
        caller = request.peer_name or request.headers.get("caller", "")
        if request.path == "/v1/statements":
            return (yield from self._statement(request, caller))
        if request.path == "/v1/transactions":
            return (yield from self._begin(request, caller, connection))
        if request.path == "/v1/outcomes":
            return (yield from self._outcome(request, caller))
        if request.path.startswith(_TRANSACTION_PATH):
            parts = request.path[len(_TRANSACTION_PATH) :].split("/")
            if len(parts) == 2:
                return (yield from self._transaction(request, caller, *parts))
        raise errors.NotFound(f"{request.method} {request.path}")

    def _statement(self, request, caller):
        body = messages.decode_body(request.body, messages.StatementBody)
        started_at = self._loop.clock.now()
        parsed = messages.build_statement_request(body, caller, started_at)
        try:
            answer = yield from self._dispatcher.statement(parsed)
        except errors.UnknownGroup:
            raise  # Counting names that callers make up would not be bounded.
        except errors.CassiahillError as error:
            self._accounting.record_end(parsed, started_at, error=error)
            raise
        replica = None
        if parsed.kind == "read":
            replica = not self._dispatcher.is_primary(parsed.group, answer.server)
        self._accounting.record_end(parsed, started_at, replica=replica)
        return http1.json_response(answer)

    def _begin(self, request, caller, connection):
        body = messages.decode_body(request.body, messages.TransactionBody)
        parsed = self._write_request(body, caller, body.rank)
        transaction = yield from self._transactions.begin(
            parsed, None if body.survives_connection else connection
        )
        return http1.json_response({"transaction": transaction})

    def _transaction(self, request, caller, transaction, action):
        now = self._loop.clock.now()
        if action == "statements":
            body = messages.decode_body(request.body, messages.TransactionStatementBody)
            answer = yield from self._transactions.execute(
                transaction,
                caller,
                messages.build_statement(body.sql, body.params),
                messages.deadline_from_timeout(body.timeout_ms, now),
            )
            return http1.json_response(answer)
        if action not in ("commit", "rollback"):
            raise errors.NotFound(request.path)
        body = messages.decode_body(request.body, messages.EndTransactionBody)
        session, position = yield from self._transactions.end(
            transaction,
            caller,
            action == "commit",
            messages.deadline_from_timeout(body.timeout_ms, now),
        )
        return http1.json_response({"session": session, "position": position})

    def _outcome(self, request, caller):
        body = messages.decode_body(request.body, messages.OutcomeBody)
        parsed = self._write_request(body, caller, "urgent")
        outcome = yield from self._dispatcher.outcome(parsed, body.digest)
        match outcome:
            case outcomes.Done():
                turn = self._dispatcher.prepare_request(parsed)
                session = self._dispatcher.advanced_session(
                    turn, outcome.term, outcome.position
                )
                return http1.json_response(
                    {
                        "outcome": "done",
                        "answer": {
                            "row_count": outcome.result.row_count,
                            "server": outcome.server,
                            "term": outcome.term,
                            "position": outcome.position,
                        },
                        "session": session,
                    }
                )
            case outcomes.NotRun(error=error):
                if isinstance(error, errors.KeyConflict):
                    raise error
                return http1.json_response({"outcome": "not_run", "code": error.code})

    def _write_request(self, body, caller, rank):
        return messages.StatementRequest(
            kind="write",
            group=body.group,
            statement=messages.Statement(""),
            rank=messages.rank_from_name(rank),
            deadline=messages.deadline_from_timeout(
                body.timeout_ms, self._loop.clock.now()
            ),
            freshness=messages.OwnWrites(),
            key=body.key,
            repeatable=False,
            caller=caller,
            session=body.session,
        )
