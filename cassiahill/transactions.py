"""Open transactions at the proxy through which their callers opened them."""

import secrets

import attrs

from cassiahill import errors, messages, outcomes

ID_BYTES = 12
MAX_TRANSACTIONS = 10_000
# Longer than the idle time after which the server owner rolls a transaction back.
IDLE_TIMEOUT_SECONDS = 15.0


@attrs.define(eq=False)
class _OpenTransaction:
    owner: str
    owner_transaction_id: str
    server: str
    prepared_request: object
    connection: object
    last_used_at: float
    busy: bool = False


class OpenTransactions:
    """Transactions that callers have opened at this proxy.

    ``begin``, ``execute`` and ``end`` are generators for ``yield from``.

    Parameters
    ----------
    loop : loop.EventLoop
    dispatcher : dispatch.Dispatcher
    gateway : gateway.Gateway
    wall_clock : callable
        Returns Unix time in seconds, used as the creation time of idempotency keys.
    """

    def __init__(self, loop, dispatcher, gateway, wall_clock):
        self._wall_clock = wall_clock
        self._loop = loop
        self._dispatcher = dispatcher
        self._gateway = gateway
        self._transactions_by_id = {}

    @property
    def count(self):
        """Number of open transactions."""
        return len(self._transactions_by_id)

    def begin(self, request, connection):
        """Open a transaction at the primary; return its id.

        Parameters
        ----------
        request : messages.StatementRequest
            A write request whose statement is ignored.
        connection : object or None
            The caller's connection; when it closes, the transaction is rolled back.

        Returns
        -------
        str
        """
        if len(self._transactions_by_id) >= MAX_TRANSACTIONS:
            raise errors.Overloaded("too many open transactions")
        prepared_request = self._dispatcher.prepare_request(request)
        server = yield from self._dispatcher.wait_for_primary(prepared_request)
        term = prepared_request.monitor.view.term
        owner, owner_transaction_id = yield from self._gateway.begin(
            server, prepared_request.request_context, term
        )
        if request.key is not None:
            owner, owner_transaction_id = yield from self._insert_key(
                prepared_request, server, term, owner, owner_transaction_id
            )
        transaction_id = secrets.token_hex(ID_BYTES)
        self._transactions_by_id[transaction_id] = _OpenTransaction(
            owner,
            owner_transaction_id,
            server,
            prepared_request,
            connection,
            self._loop.clock.now(),
        )
        self._forget_when_idle(transaction_id)
        return transaction_id

    def _insert_key(self, prepared_request, server, term, owner, owner_transaction_id):
        """Insert the idempotency key as the transaction's first statement.

        The key makes the outcome of a commit resolvable when its answer is lost.

        Returns
        -------
        tuple of (str, str)
            Server owner and its id of the transaction. When the table of keys did not
            exist, it is a new transaction, begun after the table was created.
        """
        request, deadline = prepared_request.request, prepared_request.request.deadline
        key = outcomes.stored_key(request.caller, request.key)
        statement = outcomes.transaction_key_statement(
            key, server, term, self._wall_clock()
        )
        for _ in range(2):
            try:
                yield from self._gateway.execute(
                    owner, owner_transaction_id, (statement,), deadline
                )
                return owner, owner_transaction_id
            except errors.StatementFailed:
                timeout = deadline - self._loop.clock.now()
            try:
                yield from self._gateway.submit(
                    server,
                    prepared_request.request_context,
                    outcomes.create_table_batch(term, timeout),
                    True,
                )
                key_result = yield from self._gateway.submit(
                    server,
                    prepared_request.request_context,
                    outcomes.read_key_batch(key, term, timeout),
                    True,
                )
            except errors.CassiahillError as error:
                # The transaction contains only the statement that failed.
                raise errors.NotRunError(error.detail, retry_after=0.1) from error
            if key_result.results[0].rows:
                raise errors.KeyConflict("the key belongs to an earlier transaction")
            owner, owner_transaction_id = yield from self._gateway.begin(
                server, prepared_request.request_context, term
            )
        raise errors.NotRunError("the key could not be stored", retry_after=0.1)

    def execute(self, transaction_id, caller, statement, deadline):
        """Run one statement of a transaction; return its ``messages.Answer``.

        An error other than ``errors.Overloaded`` ends the transaction.
        """
        transaction = self._mark_busy(transaction_id, caller)
        try:
            result = yield from self._gateway.execute(
                transaction.owner,
                transaction.owner_transaction_id,
                (statement,),
                deadline,
            )
        except errors.Overloaded:
            transaction.busy = False
            raise
        except errors.CassiahillError:
            if self._transactions_by_id.pop(transaction_id, None) is not None:
                self._loop.spawn(self._roll_back(transaction))
            raise
        transaction.busy = False
        statement_result = result.results[0]
        return messages.Answer(
            columns=statement_result.columns,
            rows=statement_result.rows,
            row_count=statement_result.row_count,
            server=transaction.server,
            term=result.term,
            position=result.position,
        )

    def end(self, transaction_id, caller, commit, deadline):
        """Commit or roll back; return the session token and the log position."""
        transaction = self._mark_busy(transaction_id, caller)
        del self._transactions_by_id[transaction_id]
        result = yield from self._gateway.end(
            transaction.owner, transaction.owner_transaction_id, commit, deadline
        )
        session = transaction.prepared_request.request.session
        if commit:
            session = self._dispatcher.advanced_session(
                transaction.prepared_request, result.term, result.position
            )
        return session, result.position

    def on_connection_closed(self, connection):
        """Roll back the transactions opened on a connection that has closed."""
        for transaction_id, transaction in list(self._transactions_by_id.items()):
            if transaction.connection is connection:
                del self._transactions_by_id[transaction_id]
                if not transaction.busy:
                    self._loop.spawn(self._roll_back(transaction))

    def _forget_when_idle(self, transaction_id):
        transaction = self._transactions_by_id.get(transaction_id)
        if transaction is None:
            return
        forget_after = transaction.last_used_at + IDLE_TIMEOUT_SECONDS
        if self._loop.clock.now() >= forget_after and not transaction.busy:
            del self._transactions_by_id[transaction_id]
            return
        self._loop.call_at(
            max(forget_after, self._loop.clock.now() + 1.0),
            lambda: self._forget_when_idle(transaction_id),
        )

    def _roll_back(self, transaction):
        try:
            yield from self._gateway.end(
                transaction.owner,
                transaction.owner_transaction_id,
                False,
                self._loop.clock.now() + 1.0,
            )
        except errors.CassiahillError:
            return  # The server owner rolls back a transaction that is idle.

    def _mark_busy(self, transaction_id, caller):
        transaction = self._transactions_by_id.get(transaction_id)
        if transaction is None or transaction.prepared_request.request.caller != caller:
            raise errors.NoTransaction("the transaction has ended or was rolled back")
        if transaction.busy:
            raise errors.MalformedRequest("a statement of the transaction is running")
        transaction.busy = True
        transaction.last_used_at = self._loop.clock.now()
        return transaction
