"""Runs the statements of one session at the backend servers of its group.

A statement outside a transaction leases a connection for itself. A transaction keeps
one connection from its first statement to its end. This module decides what is retried:
a refusal that proves that the statement did not run, and a read whose answer was lost.
A write or commit that has been sent to a server is never retried.
"""

import attrs

from cassiahill import (
    commit_confirmation,
    event_log,
    placement,
    request_queue,
)
from cassiahill.catalog import Consistency
from cassiahill.session_reads import SessionReads
from cassiahill.statement_sender import StatementSender
from cassiahill.statements import NOT_RUN_CODES, Access, Code, Reply, TransactionState

MAX_ATTEMPTS = 8


@attrs.define(eq=False)
class Transaction:
    """A transaction of a session.

    Attributes
    ----------
    read_only : bool
        Whether it may run on a replica.
    began_at : float
        Instant at which the client began it.
    lease : connection_leases.ConnectionLease or None
        The leased connection; None until the first statement.
    wrote : bool
        Whether a write has succeeded in it.
    values_changed : bool
        Whether session values were set on the connection inside the transaction.
    failed : bool
        Whether it can only be rolled back.
    """

    read_only: bool
    began_at: float
    lease: object = None
    wrote: bool = False
    values_changed: bool = False
    failed: bool = False


class SessionExecutor:
    """Runs the requests of one session.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    route : catalog.Route
    state : SessionState
    tenant : str or None
        Tenant in whose name the statements run; None for the process's own name.
    """

    def __init__(self, loop, group, route, state, tenant=None):
        self._loop = loop
        self._group = group
        self._route = route
        self._session_state = state
        self._tenant = tenant
        self._sender = StatementSender(loop, group, state)
        self._reads = SessionReads(loop, group, route, self._sender)

    @property
    def tenant(self):
        """Tenant in whose name the statements run, or None."""
        return self._tenant

    @property
    def route(self):
        """The route of the session's database."""
        return self._route

    @property
    def needs_primary_for_reads(self):
        """Whether reads, too, must run on the group's primary."""
        return self._reads.need_primary

    def withdraw(self, request_id):
        """Remove a queued request whose client has disconnected."""
        self._group.withdraw(request_id)

    # Statements outside a transaction

    def run(self, request):
        """Run one statement; a task that returns the client's ``Reply``."""
        queued_request = self._make_queued_request(
            request, self._requirement_getter(request, request.arrived_at)
        )
        for attempt in range(MAX_ATTEMPTS):
            if self._would_commit_in_vain(request):
                return self._refuse_request(request, queued_request)
            lease = yield self._group.acquire(queued_request)
            if lease is None:
                return self._refuse_request(request, queued_request)
            if self._would_commit_in_vain(request):
                self._sender.release(lease)
                return self._refuse_request(request, queued_request)
            if request.access is Access.WRITE:
                outcome = yield from self._run_write(lease, request)
            else:
                outcome = yield from self._reads.run(lease, request, queued_request)
            if isinstance(outcome, Reply):
                return outcome
            self._log_retry(request, lease, outcome, attempt)
            queued_request.failed_server_ids.add(lease.connection.server.server_id)
        return self._refuse_request(request, queued_request)

    def _run_write(self, lease, request):
        """Run a write; return its ``Reply`` or a ``RetryableFailure``."""
        asked_at = self._loop.clock.now()
        setup_failure = yield from self._sender.set_up_connection(lease, request)
        if setup_failure is not None:
            self._sender.release(lease)
            return setup_failure
        self._group.outstanding_writes.record_sent()
        reply = yield from self._sender.send(lease, request)
        self._group.outstanding_writes.record_ended(reply)
        if reply is None:
            self._sender.discard(lease)
            return Reply(code=Code.OUTCOME_UNKNOWN, detail="no answer to a write")
        if reply.code in NOT_RUN_CODES:
            return self._end_refused_attempt(lease, reply.code)
        if reply.code is None:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        self._sender.release(lease)
        if reply.code is None:
            return (yield from self._confirm_commit(lease, reply, request))
        return reply

    def _confirm_commit(self, lease, reply, request):
        """Return the reply to an acknowledged commit; a task."""
        self._group.acknowledged_commits.record(reply.position, self._loop.clock.now())
        confirmed = yield from commit_confirmation.confirm_commit(
            self._loop,
            self._group,
            lease.connection.server.server_id,
            reply.position,
            request.deadline,
        )
        if not confirmed:
            event_log.event(
                "commit_unconfirmed",
                request=request.request_id,
                group=self._group.name,
                position=reply.position,
            )
            return Reply(code=Code.OUTCOME_UNKNOWN, detail="it may be undone")
        self._session_state.last_commit = (
            reply.position or self._session_state.last_commit
        )
        return reply

    # Statements inside a transaction

    def run_in_transaction(self, transaction, request):
        """Run a statement or the commit of a transaction; a task.

        Returns
        -------
        statements.Reply
        """
        if self._would_commit_in_vain(request, transaction):
            return self._abort_in_partition(transaction, request)
        if transaction.lease is None:
            failure = yield from self._start_transaction(transaction, request)
            if failure is not None:
                transaction.failed = True
                return attrs.evolve(failure, state=TransactionState.FAILED)
        else:
            transaction.lease.record_statement_start(self._loop.clock.now())
        lease = transaction.lease
        if request.access is None:
            return (yield from self._run_commit(transaction, request))
        values_before = dict(lease.connection.values_by_name)
        setup_failure = yield from self._sender.set_up_connection(lease, request)
        transaction.values_changed |= lease.connection.values_by_name != values_before
        if setup_failure is not None:
            return self._fail_transaction(
                transaction, Code.ABORTED, setup_failure.cause
            )
        asked_at = self._loop.clock.now()
        reply = yield from self._sender.send(lease, request)
        if reply is None:
            return self._fail_transaction(
                transaction, Code.ABORTED, "the connection was lost"
            )
        transaction.wrote |= request.access is Access.WRITE and reply.code is None
        if reply.code is None and not transaction.read_only:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        if reply.code in NOT_RUN_CODES:
            self._group.replies.record_refusal(lease.connection, reply.code)
        if reply.state is not TransactionState.OPEN:
            transaction.failed = True
            reply = attrs.evolve(reply, state=TransactionState.FAILED)
        return reply

    def _would_commit_in_vain(self, request, transaction=None):
        """Return whether a write would wait for an acknowledgement in vain."""
        writes = request.access is Access.WRITE or (
            transaction is not None and transaction.wrote
        )
        return writes and not self._group.can_acknowledge_commits

    def _abort_in_partition(self, transaction, request):
        """Abort a transaction that writes, because its commit would be in vain."""
        event_log.event("transaction_cut_off", request=request.request_id)
        self.roll_back(transaction)
        transaction.failed = True
        state = (
            TransactionState.IDLE if request.access is None else TransactionState.FAILED
        )
        return Reply(
            code=Code.ABORTED, detail="no replica is within reach", state=state
        )

    def roll_back(self, transaction):
        """Roll back a transaction and release its connection."""
        lease = transaction.lease
        transaction.lease = None
        if lease is None:
            return
        if transaction.values_changed:
            # Whether the server's rollback also reverts session values is not known.
            lease.connection.values_by_name = None
        self._sender.release(lease)

    def _start_transaction(self, transaction, request):
        """Lease a connection and begin; return the reply for a failure, or None."""
        queued_request = self._make_queued_request(
            request,
            self._requirement_getter(request, transaction.began_at, transaction),
        )
        for attempt in range(MAX_ATTEMPTS):
            lease = yield self._group.acquire(queued_request)
            if lease is None:
                return self._refuse_request(request, queued_request)
            transaction.lease = lease
            outcome = yield from self._sender.begin(
                lease, transaction.read_only, request
            )
            if outcome is None:
                return None
            transaction.lease = None
            if isinstance(outcome, Reply):
                return outcome
            self._log_retry(request, lease, outcome, attempt)
        return self._refuse_request(request, queued_request)

    def _run_commit(self, transaction, request):
        lease = transaction.lease
        asked_at = self._loop.clock.now()
        if transaction.wrote:
            self._group.outstanding_writes.record_sent()
        reply = yield from self._sender.send(lease, request)
        if transaction.wrote:
            self._group.outstanding_writes.record_ended(reply)
        transaction.lease = None
        if reply is None:
            self._sender.discard(lease)
            if transaction.wrote:
                return Reply(code=Code.OUTCOME_UNKNOWN, detail="no answer to a commit")
            return Reply(code=Code.ABORTED, detail="no answer to an empty commit")
        has_committed = reply.code is None and transaction.wrote
        if has_committed:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        elif transaction.values_changed:
            lease.connection.values_by_name = None
        if reply.code in NOT_RUN_CODES:
            self._group.replies.record_refusal(lease.connection, reply.code)
        self._sender.release(lease)
        if has_committed:
            reply = yield from self._confirm_commit(lease, reply, request)
        return attrs.evolve(reply, state=TransactionState.IDLE)

    def _fail_transaction(self, transaction, code, detail):
        self._sender.discard(transaction.lease)
        transaction.lease = None
        transaction.failed = True
        return Reply(code=code, detail=detail, state=TransactionState.FAILED)

    # Steps of statements inside and outside a transaction

    def _end_refused_attempt(self, lease, code):
        return self._sender.end_refused_attempt(lease, code)

    def _requirement_getter(self, request, since, transaction=None):
        """Return a function that returns what the request needs of a server now.

        Parameters
        ----------
        request : SessionRequest
        since : float
            Start of the request or transaction. A read must see the commits that were
            acknowledged the route's maximal age before it.
        transaction : Transaction or None
        """
        if transaction is None:
            on_primary = request.access is Access.WRITE or self._reads.need_primary
        else:
            on_primary = not transaction.read_only
        if on_primary:
            return placement.OnPrimary
        acknowledged_before = since - self._route.max_age
        last_commit = None
        if self._route.consistency is Consistency.OWN_WRITES:
            last_commit = self._session_state.last_commit
        return lambda: self._group.read_requirement(acknowledged_before, last_commit)

    def _make_queued_request(self, request, get_requirement):
        """Return the ``QueuedRequest`` with which a request waits for a connection."""
        return request_queue.QueuedRequest(
            request.request_id,
            self._route.priority,
            request.arrived_at,
            request.deadline,
            get_requirement,
            self._session_state.values_by_name,
            target_at=request.arrived_at
            + self._route.target
            - self._group.read_durations.usual_seconds(self._route.database),
            tenant=self._tenant,
        )

    def _refuse_request(self, request, queued_request):
        """Log that no server could run the request; return the reply."""
        event_log.event(
            "refused",
            request=request.request_id,
            priority=queued_request.priority,
            need=type(queued_request.requirement()).__name__,
            waited=self._loop.clock.now() - request.arrived_at,
            primary=self._group.primary.server_id,
        )
        return Reply(code=Code.BUSY, detail="no backend server can take it now")

    def _log_retry(self, request, lease, outcome, attempt):
        event_log.event(
            "attempt_failed",
            request=request.request_id,
            server=lease.connection.server.server_id,
            cause=outcome.cause,
            attempt=attempt,
            after=lease.required_position,
            position=lease.connection.position,
        )


def with_state(reply, state):
    """Return a reply with the transaction state that the client is told."""
    return reply if reply.state is state else attrs.evolve(reply, state=state)
