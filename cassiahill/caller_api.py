"""The HTTP interface of callers."""

from cassiahill import errors, http1, messages, outcomes

_TRANSACTION_PATH_PREFIX = "/v1/transactions/"


class CallerApi:
    """Serves the port of callers: statements, transactions and outcomes.

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
        """Serve a request by its path."""
        if request.method != "POST":
            raise errors.NotFound(f"{request.method} {request.path}")
        caller = request.peer_name or request.headers.get("caller", "")
        if request.path == "/v1/statements":
            return (yield from self._serve_statement(request, caller))
        if request.path == "/v1/transactions":
            return (yield from self._begin_transaction(request, caller, connection))
        if request.path == "/v1/outcomes":
            return (yield from self._settle_outcome(request, caller))
        if request.path.startswith(_TRANSACTION_PATH_PREFIX):
            path_parts = request.path[len(_TRANSACTION_PATH_PREFIX) :].split("/")
            if len(path_parts) == 2:
                return (yield from self._use_transaction(request, caller, *path_parts))
        raise errors.NotFound(f"{request.method} {request.path}")

    def _serve_statement(self, request, caller):
        body = messages.decode_body(request.body, messages.StatementBody)
        started_at = self._loop.clock.now()
        parsed_request = messages.build_statement_request(body, caller, started_at)
        try:
            answer = yield from self._dispatcher.serve_statement(parsed_request)
        except errors.UnknownGroup:
            raise  # Not counted: callers can invent any number of group names.
        except errors.CassiahillError as error:
            self._accounting.record_end(parsed_request, started_at, error=error)
            raise
        read_from_replica = None
        if parsed_request.kind == "read":
            read_from_replica = not self._dispatcher.is_known_primary(
                parsed_request.group, answer.server
            )
        self._accounting.record_end(
            parsed_request, started_at, read_from_replica=read_from_replica
        )
        return http1.json_response(answer)

    def _begin_transaction(self, request, caller, connection):
        body = messages.decode_body(request.body, messages.TransactionBody)
        parsed_request = self._write_request(body, caller, body.rank)
        transaction_id = yield from self._transactions.begin(
            parsed_request, None if body.survives_connection else connection
        )
        return http1.json_response({"transaction": transaction_id})

    def _use_transaction(self, request, caller, transaction_id, action):
        """Run a statement in a transaction, or commit it, or roll it back."""
        now = self._loop.clock.now()
        if action == "statements":
            body = messages.decode_body(request.body, messages.TransactionStatementBody)
            answer = yield from self._transactions.execute(
                transaction_id,
                caller,
                messages.build_statement(body.sql, body.params),
                messages.deadline_from_timeout(body.timeout_ms, now),
            )
            return http1.json_response(answer)
        if action not in ("commit", "rollback"):
            raise errors.NotFound(request.path)
        body = messages.decode_body(request.body, messages.EndTransactionBody)
        session, position = yield from self._transactions.end(
            transaction_id,
            caller,
            action == "commit",
            messages.deadline_from_timeout(body.timeout_ms, now),
        )
        return http1.json_response({"session": session, "position": position})

    def _settle_outcome(self, request, caller):
        body = messages.decode_body(request.body, messages.OutcomeBody)
        parsed_request = self._write_request(body, caller, "urgent")
        outcome = yield from self._dispatcher.settle_outcome(
            parsed_request, body.digest
        )
        match outcome:
            case outcomes.Done():
                prepared_request = self._dispatcher.prepare_request(parsed_request)
                session = self._dispatcher.advanced_session(
                    prepared_request, outcome.term, outcome.position
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
        """Return the write request of a body that has no statement."""
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
