"""Requests at the backend servers that this process owns, of itself and others."""

import itertools

import attrs

from cassiahill import backend, errors, messages, peer_messages
from cassiahill.request_context import RequestContext

TRANSACTION_IDLE = 10.0  # seconds after which a silent transaction is rolled back


@attrs.define(eq=False)
class _Hosted:
    """A transaction that runs at an owned backend server."""

    transaction: object
    server: str
    term: int
    timer: object = None


class Hosting:
    """Runs batches and transactions at owned backend servers.

    The methods are generators for ``yield from``.

    Parameters
    ----------
    loop : loop.EventLoop
    own_name : str
    topology : topology.Topology
    find_owned : callable
        Returns the ``owned_servers.OwnedServer`` of a name, or raises
        ``errors.NotOwner``.
    counts : collections.Counter
    """

    def __init__(self, loop, own_name, topology, find_owned, counts):
        self._loop = loop
        self._own_name = own_name
        self._topology = topology
        self._find_owned = find_owned
        self._counts = counts
        self._hosted_by_id = {}
        self._ids = itertools.count(1)

    @property
    def count(self):
        """Number of open transactions."""
        return len(self._hosted_by_id)

    def submit(self, server, request_context, batch, confirm):
        """Run a batch; see ``gateway.Gateway.submit``."""
        pending = self._find_owned(server).submit(request_context, batch)
        if not confirm:
            return (yield pending)
        return (
            yield from self._confirmed(
                server, pending, batch.term, request_context.deadline
            )
        )

    def begin(self, server, request_context, term):
        """Open a transaction; return its id."""
        transaction = yield self._find_owned(server).open_transaction(
            request_context, term
        )
        transaction_id = f"{self._own_name}/{next(self._ids)}"
        hosted = _Hosted(transaction, server, term)
        self._hosted_by_id[transaction_id] = hosted
        self._keep(transaction_id, hosted)
        return transaction_id

    def execute(self, transaction_id, statements, deadline):
        """Run statements of a transaction."""
        hosted = self._hosted(transaction_id)
        self._keep(transaction_id, hosted)
        timeout = deadline - self._loop.clock.now()
        batch = backend.Batch(statements, hosted.term, False, timeout)
        try:
            return (yield hosted.transaction.execute(batch, deadline))
        except errors.CassiahillError:
            if hosted.transaction.ended:
                self._abandon(transaction_id)
            raise

    def end(self, transaction_id, commit, deadline):
        """Commit or roll back a transaction."""
        hosted = self._hosted(transaction_id)
        del self._hosted_by_id[transaction_id]
        hosted.timer.cancel()
        if not commit:
            yield hosted.transaction.rollback(deadline)
            return backend.BatchResult(0, 0, ())
        pending = hosted.transaction.commit(deadline)
        return (
            yield from self._confirmed(hosted.server, pending, hosted.term, deadline)
        )

    def handle_peer_call(self, kind, payload):
        """Serve another proxy's call; return the bytes of the answer."""
        now = self._loop.clock.now()
        match kind:
            case peer_messages.PING:
                return b""
            case peer_messages.SUBMIT:
                call = peer_messages.decode(payload, peer_messages.SubmitCall)
                batch = backend.Batch(
                    peer_messages.statements_of(call.statements),
                    call.term,
                    call.read_only,
                    call.timeout,
                )
                result = yield from self.submit(
                    call.server, _work(call, now), batch, call.confirm
                )
            case peer_messages.BEGIN:
                call = peer_messages.decode(payload, peer_messages.BeginCall)
                transaction = yield from self.begin(
                    call.server, _work(call, now), call.term
                )
                return peer_messages.encode(peer_messages.BeginResult(transaction))
            case peer_messages.EXECUTE:
                call = peer_messages.decode(payload, peer_messages.ExecuteCall)
                result = yield from self.execute(
                    call.transaction,
                    peer_messages.statements_of(call.statements),
                    now + call.timeout,
                )
            case peer_messages.END:
                call = peer_messages.decode(payload, peer_messages.EndCall)
                result = yield from self.end(
                    call.transaction, call.commit, now + call.timeout
                )
            case _:
                raise errors.PeerRejected(f"unknown call {kind!r}")
        return peer_messages.encode_result(result)

    def _confirmed(self, server, pending, term, deadline):
        """Return the result once a majority has it; fail when the term is replaced."""
        group = self._topology.servers_by_name[server].group
        monitor = self._topology.monitors_by_group[group]
        result = yield monitor.fail_when_term_ends(pending, term)
        yield monitor.wait_for_acknowledgement(
            server, result.term, result.position, deadline
        )
        return result

    def _hosted(self, transaction_id):
        hosted = self._hosted_by_id.get(transaction_id)
        if hosted is None:
            raise errors.NoTransaction("the transaction has ended or was rolled back")
        return hosted

    def _keep(self, transaction_id, hosted):
        """Move the instant at which a silent transaction is rolled back."""
        if hosted.timer is not None:
            hosted.timer.cancel()
        hosted.timer = self._loop.call_at(
            self._loop.clock.now() + TRANSACTION_IDLE,
            lambda: self._abandon(transaction_id),
        )

    def _abandon(self, transaction_id):
        hosted = self._hosted_by_id.pop(transaction_id, None)
        if hosted is not None:
            self._counts["transactions_abandoned"] += 1
            hosted.timer.cancel()
            hosted.transaction.close()


def _work(call, now):
    return RequestContext(messages.Rank(call.rank), call.caller, now + call.timeout)
