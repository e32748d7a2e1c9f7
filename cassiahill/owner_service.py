"""Serves requests at the backend servers that this process owns.

The requests come from this proxy's callers and from other proxies.
"""

import itertools

import attrs

from cassiahill import backend, errors, messages, peer_messages
from cassiahill.request_context import RequestContext

TRANSACTION_IDLE_SECONDS = 10.0  # A transaction without statements is rolled back then.


@attrs.define(eq=False)
class _OpenTransaction:
    """A transaction that is open at an owned backend server."""

    transaction: object
    server: str
    term: int
    idle_timer: object = None


class OwnerService:
    """Runs batches and transactions at owned backend servers.

    The methods are generators for ``yield from``.

    Parameters
    ----------
    loop : loop.EventLoop
    own_name : str
        Name of this proxy.
    topology : topology.Topology
    find_owned_server : callable
        Returns the ``owned_servers.OwnedServer`` of a name, or raises
        ``errors.NotOwner``.
    counts : collections.Counter
    """

    def __init__(self, loop, own_name, topology, find_owned_server, counts):
        self._loop = loop
        self._own_name = own_name
        self._topology = topology
        self._find_owned_server = find_owned_server
        self._counts = counts
        self._open_transactions_by_id = {}
        self._transaction_numbers = itertools.count(1)

    @property
    def open_transaction_count(self):
        """Number of open transactions."""
        return len(self._open_transactions_by_id)

    def submit(self, server, request_context, batch, wait_for_majority):
        """Run a batch; see ``gateway.Gateway.submit``."""
        result_future = self._find_owned_server(server).submit(request_context, batch)
        if not wait_for_majority:
            return (yield result_future)
        return (
            yield from self._result_after_majority(
                server, result_future, batch.term, request_context.deadline
            )
        )

    def begin(self, server, request_context, term):
        """Open a transaction; return its id."""
        transaction = yield self._find_owned_server(server).open_transaction(
            request_context, term
        )
        transaction_id = f"{self._own_name}/{next(self._transaction_numbers)}"
        open_transaction = _OpenTransaction(transaction, server, term)
        self._open_transactions_by_id[transaction_id] = open_transaction
        self._restart_idle_timer(transaction_id, open_transaction)
        return transaction_id

    def execute(self, transaction_id, statements, deadline):
        """Run statements of a transaction."""
        open_transaction = self._open_transaction(transaction_id)
        self._restart_idle_timer(transaction_id, open_transaction)
        timeout_seconds = deadline - self._loop.clock.now()
        batch = backend.Batch(statements, open_transaction.term, False, timeout_seconds)
        try:
            return (yield open_transaction.transaction.execute(batch, deadline))
        except errors.CassiahillError:
            if open_transaction.transaction.ended:
                self._abandon_transaction(transaction_id)
            raise

    def end(self, transaction_id, commit, deadline):
        """Commit or roll back a transaction."""
        open_transaction = self._open_transaction(transaction_id)
        del self._open_transactions_by_id[transaction_id]
        open_transaction.idle_timer.cancel()
        if not commit:
            yield open_transaction.transaction.rollback(deadline)
            return backend.BatchResult(0, 0, ())
        result_future = open_transaction.transaction.commit(deadline)
        return (
            yield from self._result_after_majority(
                open_transaction.server, result_future, open_transaction.term, deadline
            )
        )

    def handle_peer_call(self, kind, payload):
        """Serve another proxy's call; return the bytes of the answer.

        Parameters
        ----------
        kind : str
            Kind of the call, such as ``peer_messages.SUBMIT``.
        payload : bytes
            The encoded call.

        Raises
        ------
        errors.PeerRejected
            When the kind is not known or the bytes do not fit it.
        """
        now = self._loop.clock.now()
        match kind:
            case peer_messages.PING:
                return b""
            case peer_messages.SUBMIT:
                call = peer_messages.decode(payload, peer_messages.SubmitCall)
                batch = backend.Batch(
                    peer_messages.statements_from_pairs(call.statements),
                    call.term,
                    call.read_only,
                    call.timeout_seconds,
                )
                result = yield from self.submit(
                    call.server,
                    _request_context(call, now),
                    batch,
                    call.wait_for_majority,
                )
            case peer_messages.BEGIN:
                call = peer_messages.decode(payload, peer_messages.BeginCall)
                transaction_id = yield from self.begin(
                    call.server, _request_context(call, now), call.term
                )
                return peer_messages.encode(peer_messages.BeginResult(transaction_id))
            case peer_messages.EXECUTE:
                call = peer_messages.decode(payload, peer_messages.ExecuteCall)
                result = yield from self.execute(
                    call.transaction_id,
                    peer_messages.statements_from_pairs(call.statements),
                    now + call.timeout_seconds,
                )
            case peer_messages.END:
                call = peer_messages.decode(payload, peer_messages.EndCall)
                result = yield from self.end(
                    call.transaction_id, call.commit, now + call.timeout_seconds
                )
            case _:
                raise errors.PeerRejected(f"unknown call {kind!r}")
        return peer_messages.encode_result(result)

    def _result_after_majority(self, server, result_future, term, deadline):
        """Return the result once a majority has it; fail when the term is replaced."""
        group = self._topology.servers_by_name[server].group
        monitor = self._topology.monitors_by_group[group]
        result = yield monitor.fail_when_term_ends(result_future, term)
        yield monitor.wait_for_acknowledgement(
            server, result.term, result.position, deadline
        )
        return result

    def _open_transaction(self, transaction_id):
        open_transaction = self._open_transactions_by_id.get(transaction_id)
        if open_transaction is None:
            raise errors.NoTransaction("the transaction has ended or was rolled back")
        return open_transaction

    def _restart_idle_timer(self, transaction_id, open_transaction):
        """Postpone the rollback of a transaction without statements."""
        if open_transaction.idle_timer is not None:
            open_transaction.idle_timer.cancel()
        open_transaction.idle_timer = self._loop.call_at(
            self._loop.clock.now() + TRANSACTION_IDLE_SECONDS,
            lambda: self._abandon_transaction(transaction_id),
        )

    def _abandon_transaction(self, transaction_id):
        """Close a transaction, which the database then rolls back."""
        open_transaction = self._open_transactions_by_id.pop(transaction_id, None)
        if open_transaction is not None:
            self._counts["transactions_abandoned"] += 1
            open_transaction.idle_timer.cancel()
            open_transaction.transaction.close()


def _request_context(call, now):
    return RequestContext(
        messages.Rank(call.rank), call.caller, now + call.timeout_seconds
    )
