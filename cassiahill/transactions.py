"""Open transactions of callers at their entry proxy."""

import secrets

import attrs

from cassiahill import errors, messages, outcomes

ID_BYTES = 12
MAX_TRANSACTIONS = 10_000
FORGET_AFTER = 15.0  # seconds of silence; the owner has rolled back before that


@attrs.define(eq=False)
class _Open:
    owner: str
    remote_id: str
    server: str
    turn: object
    connection: object
    used_at: float
    busy: bool = False


class OpenTransactions:
    """Transactions that callers have opened at this proxy.

    The methods are generators for ``yield from``.

    Parameters
    ----------
    loop : loop.EventLoop
    dispatcher : dispatch.Dispatcher
    gateway : gateway.Gateway
    wall_clock : callable
        Returns Unix time in seconds, to date idempotency keys.
    """

    def __init__(self, loop, dispatcher, gateway, wall_clock):
        self._wall_clock = wall_clock
        self._loop = loop
        self._dispatcher = dispatcher
        self._gateway = gateway
        self._open_by_id = {}

    @property
    def count(self):
        """Number of open transactions."""
        return len(self._open_by_id)

    def begin(self, request, connection):
        """Open a transaction at the primary; return its id.

        Parameters
        ----------
        request : messages.StatementRequest
            A write request whose statement is ignored.
        connection : object or None
            The caller's connection; the transaction ends with it unless it is None.
        """
        if len(self._open_by_id) >= MAX_TRANSACTIONS:
            raise errors.Overloaded("too many open transactions")
        turn = self._dispatcher.turn(request)
        server = yield from self._dispatcher.primary(turn)
        term = turn.monitor.view.term
        owner, remote_id = yield from self._gateway.begin(
            server, turn.request_context, term
        )
        if request.key is not None:
            owner, remote_id = yield from self._insert_key(
                turn, server, term, owner, remote_id
            )
        transaction_id = secrets.token_hex(ID_BYTES)
        self._open_by_id[transaction_id] = _Open(
            owner, remote_id, server, turn, connection, self._loop.clock.now()
        )
        self._forget_when_silent(transaction_id)
        return transaction_id

    def _insert_key(self, turn, server, term, owner, remote_id):
        """Make the key part of the transaction, so that it settles a lost commit.

        Returns
        -------
        tuple of (str, str)
            Owner and remote id; another transaction when the table was missing.
        """
        request, deadline = turn.request, turn.request.deadline
        key = outcomes.stored_key(request.caller, request.key)
        statement = outcomes.transaction_key_statement(
            key, server, term, self._wall_clock()
        )
        for _ in range(2):
            try:
                yield from self._gateway.execute(
                    owner, remote_id, (statement,), deadline
                )
                return owner, remote_id
            except errors.StatementFailed:
                timeout = deadline - self._loop.clock.now()
            try:
                yield from self._gateway.submit(
                    server,
                    turn.request_context,
                    outcomes.create_table_batch(term, timeout),
                    True,
                )
                found = yield from self._gateway.submit(
                    server,
                    turn.request_context,
                    outcomes.read_key_batch(key, term, timeout),
                    True,
                )
            except errors.CassiahillError as error:
                # The transaction holds nothing but its key, which was refused.
                raise errors.NotRunError(error.detail, retry_after=0.1) from error
            if found.results[0].rows:
                raise errors.KeyConflict("the key belongs to an earlier transaction")
            owner, remote_id = yield from self._gateway.begin(
                server, turn.request_context, term
            )
        raise errors.NotRunError("the key could not be stored", retry_after=0.1)

    def execute(self, transaction_id, caller, statement, deadline):
        """Run one statement; return its ``messages.Answer``."""
        opened = self._take(transaction_id, caller)
        try:
            result = yield from self._gateway.execute(
                opened.owner, opened.remote_id, (statement,), deadline
            )
        except errors.Overloaded:
            opened.busy = False
            raise
        except errors.CassiahillError:
            if self._open_by_id.pop(transaction_id, None) is not None:
                self._loop.spawn(self._roll_back(opened))
            raise
        opened.busy = False
        first = result.results[0]
        return messages.Answer(
            columns=first.columns,
            rows=first.rows,
            row_count=first.row_count,
            server=opened.server,
            term=result.term,
            position=result.position,
        )

    def end(self, transaction_id, caller, commit, deadline):
        """Commit or roll back; return the session's token and the position."""
        opened = self._take(transaction_id, caller)
        del self._open_by_id[transaction_id]
        result = yield from self._gateway.end(
            opened.owner, opened.remote_id, commit, deadline
        )
        session = opened.turn.request.session
        if commit:
            session = self._dispatcher.advanced_session(
                opened.turn, result.term, result.position
            )
        return session, result.position

    def on_connection_closed(self, connection):
        """Roll back the transactions of a caller whose connection closed."""
        for transaction_id, opened in list(self._open_by_id.items()):
            if opened.connection is connection:
                del self._open_by_id[transaction_id]
                if not opened.busy:
                    self._loop.spawn(self._roll_back(opened))

    def _forget_when_silent(self, transaction_id):
        opened = self._open_by_id.get(transaction_id)
        if opened is None:
            return
        forget_at = opened.used_at + FORGET_AFTER
        if self._loop.clock.now() >= forget_at and not opened.busy:
            del self._open_by_id[transaction_id]
            return
        self._loop.call_at(
            max(forget_at, self._loop.clock.now() + 1.0),
            lambda: self._forget_when_silent(transaction_id),
        )

    def _roll_back(self, opened):
        try:
            yield from self._gateway.end(
                opened.owner, opened.remote_id, False, self._loop.clock.now() + 1.0
            )
        except errors.CassiahillError:
            return  # The owner rolls back a transaction that has gone silent.

    def _take(self, transaction_id, caller):
        opened = self._open_by_id.get(transaction_id)
        if opened is None or opened.turn.request.caller != caller:
            raise errors.NoTransaction("the transaction has ended or was rolled back")
        if opened.busy:
            raise errors.MalformedRequest("a statement of the transaction is running")
        opened.busy = True
        opened.used_at = self._loop.clock.now()
        return opened
