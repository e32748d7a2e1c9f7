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
    statements,
)
from cassiahill.catalog import Consistency
from cassiahill.statement_sender import RetryableFailure, StatementSender
from cassiahill.statements import NOT_RUN_CODES, Access, Code, Reply, TransactionState

MAX_ATTEMPTS = 8
# A read whose latency exceeds the usual one by this factor is sent to a second server,
# because the answer may be lost or the server unreachable. The first answer is used.
HEDGE_LATENCY_FACTOR = 6.0
MIN_HEDGE_DELAY_SECONDS = 0.12


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
        return self._reads_need_primary()

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
                outcome = yield from self._run_hedged_read(
                    lease, request, queued_request
                )
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
                successor=getattr(self._group.announced_promotion, "successor", None),
            )
            return Reply(code=Code.OUTCOME_UNKNOWN, detail="it may be undone")
        self._session_state.last_commit = (
            reply.position or self._session_state.last_commit
        )
        return reply

    def _run_hedged_read(self, lease, request, queued_request):
        """Run a read, and hedge it on a second server when the first is slow."""
        loop = self._loop
        asked_at = loop.clock.now()
        first_read = loop.spawn(self._run_read(lease, request))
        usual_seconds = self._group.read_durations.usual_seconds(self._route.database)
        hedge_at = asked_at + max(
            MIN_HEDGE_DELAY_SECONDS, HEDGE_LATENCY_FACTOR * usual_seconds
        )
        if hedge_at < request.deadline:
            yield loop.first_done(first_read, loop.sleep_until(hedge_at))
            if not first_read.done():
                queued_request.failed_server_ids.add(lease.connection.server.server_id)
                return (yield from self._run_hedge(first_read, request, queued_request))
        outcome = yield first_read
        self._group.read_durations.record(
            self._route.database, loop.clock.now() - asked_at
        )
        return outcome

    def _run_hedge(self, first_read, request, queued_request):
        """Run the read on a second server and return the first reply of the two."""
        loop = self._loop
        lease_future = self._group.acquire(
            attrs.evolve(queued_request, resolve_lease=None)
        )
        yield loop.first_done(first_read, lease_future)
        if first_read.done():
            self._release_unused(lease_future, queued_request)
            return first_read.result()
        hedge_lease = lease_future.result()
        if hedge_lease is None:
            return (yield first_read)
        event_log.event(
            "read_repeated",
            request=request.request_id,
            server=hedge_lease.connection.server.server_id,
            after=loop.clock.now() - request.arrived_at,
        )
        second_read = loop.spawn(self._run_read(hedge_lease, request))
        finished = yield loop.first_done(first_read, second_read)
        if isinstance(finished.result(), Reply):
            return finished.result()
        return (yield second_read if finished is first_read else first_read)

    def _release_unused(self, lease_future, queued_request):
        """Release a lease that is granted after the read has ended."""

        def release_lease(future):
            if future.result() is not None:
                self._sender.release(future.result())

        self._group.withdraw(queued_request.request_id)
        self._loop.when_done(lease_future, release_lease)

    def _run_read(self, lease, request):
        if self._reads_need_primary():
            return (yield from self._run_primary_read(lease, request))
        return (yield from self._run_read_at_position(lease, request))

    def _run_primary_read(self, lease, request):
        """Run a read in a read-write transaction, which only a primary begins.

        A server that is no longer the primary does not refuse a single read.
        """
        transaction = Transaction(False, request.arrived_at, lease)
        begin_failure = yield from self._send_begin(transaction, request)
        if begin_failure is not None:
            return begin_failure
        reply = yield from self._sender.send(lease, request)
        if reply is None:
            self._sender.discard(lease)
            return RetryableFailure("no answer to a read")
        if reply.code in NOT_RUN_CODES:
            return self._end_refused_attempt(lease, reply.code)
        self._sender.release(lease)
        return attrs.evolve(reply, state=TransactionState.IDLE)

    def _run_read_at_position(self, lease, request):
        """Run a read that the server refuses below the lease's log position."""
        setup_failure = yield from self._sender.set_up_connection(lease, request)
        if setup_failure is not None:
            self._sender.release(lease)
            return setup_failure
        asked_at = self._loop.clock.now()
        reply = yield from self._sender.send(
            lease, request, required_position=lease.required_position
        )
        self._record_load(lease, asked_at, reply)
        if reply is None:
            self._sender.discard(lease)
            return RetryableFailure("no answer to a read")
        if reply.code in NOT_RUN_CODES:
            return self._end_refused_attempt(lease, reply.code)
        self._sender.release(lease)
        return reply

    def _record_load(self, lease, asked_at, reply):
        """Record what the end of a read shows of its server's load."""
        now = self._loop.clock.now()
        server_id = lease.connection.server.server_id
        if reply is None or reply.code is Code.BUSY:
            self._group.server_load.record_failed_read(server_id, now)
        elif reply.code is None:
            self._group.server_load.record_read(
                server_id,
                now - asked_at,
                self._group.read_durations.usual_seconds(self._route.database),
                now,
            )

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
            outcome = yield from self._send_begin(transaction, request)
            if outcome is None:
                return None
            transaction.lease = None
            if isinstance(outcome, Reply):
                return outcome
            self._log_retry(request, lease, outcome, attempt)
        return self._refuse_request(request, queued_request)

    def _send_begin(self, transaction, request):
        """Begin on the leased connection; return None or a ``RetryableFailure``."""
        lease = transaction.lease
        setup_failure = yield from self._sender.set_up_connection(lease, request)
        if setup_failure is not None:
            self._sender.release(lease)
            return setup_failure
        asked_at = self._loop.clock.now()
        begin = statements.Begin(transaction.read_only)
        reply = yield from self._sender.send_internal(
            lease, begin, request.deadline, lease.required_position
        )
        if reply is None:
            self._sender.discard(lease)
            return RetryableFailure("no answer to a begin")
        if reply.code is not None:
            return self._end_refused_attempt(lease, reply.code)
        if not transaction.read_only:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        return None

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
        """Record a refusal, release the connection, return a ``RetryableFailure``."""
        self._group.replies.record_refusal(
            lease.connection, code, lease.required_position
        )
        self._sender.release(lease)
        return RetryableFailure(code.value)

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
            on_primary = request.access is Access.WRITE or self._reads_need_primary()
        else:
            on_primary = not transaction.read_only
        if on_primary:
            return placement.OnPrimary
        acknowledged_before = since - self._route.max_age
        last_commit = None
        if self._route.consistency is Consistency.OWN_WRITES:
            last_commit = self._session_state.last_commit
        return lambda: self._group.read_requirement(acknowledged_before, last_commit)

    def _reads_need_primary(self):
        return self._route.consistency is Consistency.PRIMARY

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
