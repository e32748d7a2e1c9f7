"""Runs the statements of one session at the backend servers of its group.

A statement outside a transaction borrows a connection for itself. A transaction keeps
one connection from its first statement to its end. What may be repeated is decided
here: a refusal that proves that nothing ran, and a read whose answer was lost. A write
or commit that has been passed on is never repeated.
"""

import attrs

from cassiahill import event_log, placement, request_queue, statements
from cassiahill.catalog import Consistency
from cassiahill.statement_sender import LeaseSteps, Retry
from cassiahill.statements import NOT_RUN_CODES, Access, Code, Reply, TransactionState

MAX_ATTEMPTS = 8
# A read that takes this many times as long as usual is sent once more; the first answer
# counts. Its own answer may be lost, or its server may have gone silent.
SLOW_FACTOR = 6.0
SLOW_FLOOR_SECONDS = 0.12


@attrs.define(eq=False)
class Transaction:
    """A transaction of a session.

    Attributes
    ----------
    read_only : bool
    began_at : float
        Instant at which the client began it.
    lease : server_pool.ConnectionLease or None
        None until the first statement.
    wrote : bool
    changed_values : bool
        Whether session values were set on the connection inside the transaction.
    failed : bool
    """

    read_only: bool
    began_at: float
    lease: object = None
    wrote: bool = False
    changed_values: bool = False
    failed: bool = False


class SessionExecutor:
    """Statements of one session.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    route : catalog.Route
    state : SessionState
    """

    def __init__(self, loop, group, route, state):
        self._loop = loop
        self._group = group
        self._route = route
        self._state = state
        self._steps = LeaseSteps(loop, group, state)

    @property
    def route(self):
        """The route that the session uses."""
        return self._route

    @property
    def needs_primary_for_reads(self):
        """Whether also reads must run on the server that leads the group."""
        return self._reads_primary()

    def withdraw(self, request_id):
        """Drop a request that still waits, because its client has gone."""
        self._group.withdraw(request_id)

    # Outside a transaction

    def run(self, job):
        """Run one statement; a task that returns the ``Reply`` for the client."""
        request = self._request(job, self._need(job, job.arrived_at))
        for attempt in range(MAX_ATTEMPTS):
            lease = yield self._group.acquire(request)
            if lease is None:
                return self._refusal(job, request)
            if job.access is Access.WRITE:
                outcome = yield from self._write(lease, job)
            else:
                outcome = yield from self._hedged_read(lease, job, request)
            if isinstance(outcome, Reply):
                return outcome
            self._log_retry(job, lease, outcome, attempt)
            request.failed_server_ids.add(lease.connection.server.server_id)
        return self._refusal(job, request)

    def _write(self, lease, job):
        asked_at = self._loop.clock.now()
        ready = yield from self._steps.set_up(lease, job)
        if ready is not None:
            self._steps.release(lease)
            return ready
        self._group.outstanding_writes.record_sent()
        reply = yield from self._steps.ask(lease, job)
        self._group.outstanding_writes.record_ended(reply)
        if reply is None:
            self._steps.drop(lease)
            return Reply(code=Code.OUTCOME_UNKNOWN, detail="no answer to a write")
        if reply.code in NOT_RUN_CODES:
            self._group.record_refusal(lease.connection, reply.code)
            self._steps.release(lease)
            return Retry(reply.code.value)
        if reply.code is None:
            self._group.confirm_primary(lease.connection, asked_at, reply)
            self._state.own_commit = reply.position or self._state.own_commit
        self._steps.release(lease)
        return reply

    def _hedged_read(self, lease, job, request):
        """Read, and read once more elsewhere when the answer is slow."""
        loop = self._loop
        asked_at = loop.clock.now()
        first = loop.spawn(self._read_once(lease, job))
        usual = self._group.usual_read_seconds(self._route.database)
        slow_at = asked_at + max(SLOW_FLOOR_SECONDS, SLOW_FACTOR * usual)
        if slow_at < job.deadline:
            yield loop.first_done(first, loop.sleep_until(slow_at))
            if not first.done():
                request.failed_server_ids.add(lease.connection.server.server_id)
                return (yield from self._second_read(first, job, request))
        outcome = yield first
        self._group.record_read_seconds(
            self._route.database, loop.clock.now() - asked_at
        )
        return outcome

    def _second_read(self, first, job, request):
        loop = self._loop
        granted = self._group.acquire(attrs.evolve(request, settle=None))
        yield loop.first_done(first, granted)
        if first.done():
            self._return_unused(granted, request)
            return first.result()
        second_lease = granted.result()
        if second_lease is None:
            return (yield first)
        event_log.event(
            "read_repeated",
            request=job.request_id,
            server=second_lease.connection.server.server_id,
            after=loop.clock.now() - job.arrived_at,
        )
        second = loop.spawn(self._read_once(second_lease, job))
        finished = yield loop.first_done(first, second)
        if isinstance(finished.result(), Reply):
            return finished.result()
        return (yield second if finished is first else first)

    def _return_unused(self, granted, request):
        """Give back a lease that is granted after it is needed no more."""

        def release(future):
            if future.result() is not None:
                self._steps.release(future.result())

        self._group.withdraw(request.request_id)
        self._loop.when_done(granted, release)

    def _read_once(self, lease, job):
        if self._reads_primary():
            return (yield from self._read_primary(lease, job))
        return (yield from self._read(lease, job))

    def _read_primary(self, lease, job):
        """Run a read inside an empty transaction, which only a primary allows.

        A single read is not refused by a server that has lost its role.
        """
        transaction = Transaction(False, job.arrived_at, lease)
        begun = yield from self._begin(transaction, job)
        if begun is not None:
            return begun
        reply = yield from self._steps.ask(lease, job)
        if reply is None:
            self._steps.drop(lease)
            return Retry("no answer to a read")
        self._steps.release(lease)
        if reply.code in NOT_RUN_CODES:
            self._group.record_refusal(lease.connection, reply.code)
            return Retry(reply.code.value)
        return attrs.evolve(reply, state=TransactionState.IDLE)

    def _read(self, lease, job):
        ready = yield from self._steps.set_up(lease, job)
        if ready is not None:
            self._steps.release(lease)
            return ready
        reply = yield from self._steps.ask(lease, job, after=lease.after)
        if reply is None:
            self._steps.drop(lease)
            return Retry("no answer to a read")
        if reply.code in NOT_RUN_CODES:
            self._group.record_refusal(lease.connection, reply.code, lease.after)
            self._steps.release(lease)
            return Retry(reply.code.value)
        self._steps.release(lease)
        return reply

    # Inside a transaction

    def run_in_transaction(self, transaction, job):
        """Run a statement or the commit of a transaction; a task."""
        if transaction.lease is None:
            failure = yield from self._start(transaction, job)
            if failure is not None:
                transaction.failed = True
                return attrs.evolve(failure, state=TransactionState.FAILED)
        else:
            transaction.lease.record_start(self._loop.clock.now())
        lease = transaction.lease
        if job.access is None:
            return (yield from self._commit(transaction, job))
        had = dict(lease.connection.values_by_name)
        ready = yield from self._steps.set_up(lease, job)
        transaction.changed_values |= lease.connection.values_by_name != had
        if ready is not None:
            return self._fail(transaction, Code.ABORTED, ready.cause)
        asked_at = self._loop.clock.now()
        reply = yield from self._steps.ask(lease, job)
        if reply is None:
            return self._fail(transaction, Code.ABORTED, "the connection was lost")
        transaction.wrote |= job.access is Access.WRITE and reply.code is None
        if reply.code is None and not transaction.read_only:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        if reply.code in NOT_RUN_CODES:
            self._group.record_refusal(lease.connection, reply.code)
        if reply.state is not TransactionState.OPEN:
            transaction.failed = True
            reply = attrs.evolve(reply, state=TransactionState.FAILED)
        return reply

    def roll_back(self, transaction):
        """End a transaction without keeping anything."""
        lease = transaction.lease
        transaction.lease = None
        if lease is None:
            return
        if transaction.changed_values:
            # Whether a rollback also takes values back is not known.
            lease.connection.values_by_name = None
        self._steps.release(lease)

    def _start(self, transaction, job):
        """Find a connection and begin; return the reply of a failure, or None."""
        request = self._request(job, self._need(job, transaction.began_at, transaction))
        for attempt in range(MAX_ATTEMPTS):
            lease = yield self._group.acquire(request)
            if lease is None:
                return self._refusal(job, request)
            transaction.lease = lease
            outcome = yield from self._begin(transaction, job)
            if outcome is None:
                return None
            transaction.lease = None
            if isinstance(outcome, Reply):
                return outcome
            self._log_retry(job, lease, outcome, attempt)
        return self._refusal(job, request)

    def _begin(self, transaction, job):
        """Begin on the leased connection; return None, or why it did not begin."""
        lease = transaction.lease
        ready = yield from self._steps.set_up(lease, job)
        if ready is not None:
            self._steps.release(lease)
            return ready
        asked_at = self._loop.clock.now()
        begin = statements.Begin(transaction.read_only)
        reply = yield from self._steps.ask_own(lease, begin, job.deadline, lease.after)
        if reply is None:
            self._steps.drop(lease)
            return Retry("no answer to a begin")
        if reply.code is not None:
            self._group.record_refusal(lease.connection, reply.code, lease.after)
            self._steps.release(lease)
            return Retry(reply.code.value)
        if not transaction.read_only:
            self._group.confirm_primary(lease.connection, asked_at, reply)
        return None

    def _commit(self, transaction, job):
        lease = transaction.lease
        asked_at = self._loop.clock.now()
        if transaction.wrote:
            self._group.outstanding_writes.record_sent()
        reply = yield from self._steps.ask(lease, job)
        if transaction.wrote:
            self._group.outstanding_writes.record_ended(reply)
        transaction.lease = None
        if reply is None:
            self._steps.drop(lease)
            if transaction.wrote:
                return Reply(code=Code.OUTCOME_UNKNOWN, detail="no answer to a commit")
            return Reply(code=Code.ABORTED, detail="no answer to an empty commit")
        if reply.code is None and transaction.wrote:
            self._group.confirm_primary(lease.connection, asked_at, reply)
            self._state.own_commit = reply.position or self._state.own_commit
        elif transaction.changed_values:
            lease.connection.values_by_name = None
        if reply.code in NOT_RUN_CODES:
            self._group.record_refusal(lease.connection, reply.code)
        self._steps.release(lease)
        return attrs.evolve(reply, state=TransactionState.IDLE)

    def _fail(self, transaction, code, detail):
        self._steps.drop(transaction.lease)
        transaction.lease = None
        transaction.failed = True
        return Reply(code=code, detail=detail, state=TransactionState.FAILED)

    # Steps

    def _need(self, job, since, transaction=None):
        """Return the function that tells what a statement needs now."""
        if transaction is None:
            on_primary = job.access is Access.WRITE or self._reads_primary()
        else:
            on_primary = not transaction.read_only
        if on_primary:
            return placement.OnPrimary
        oldest = since - self._route.max_age
        own_commit = None
        if self._route.consistency is Consistency.OWN_WRITES:
            own_commit = self._state.own_commit
        return lambda: self._group.read_requirement(oldest, own_commit)

    def _reads_primary(self):
        return self._route.consistency is Consistency.PRIMARY

    def _request(self, job, needed):
        return request_queue.QueuedRequest(
            job.request_id,
            self._route.priority,
            job.arrived_at,
            job.deadline,
            needed,
            self._state.values_by_name,
            target_at=job.arrived_at
            + self._route.target
            - self._group.usual_read_seconds(self._route.database),
        )

    def _refusal(self, job, request):
        event_log.event(
            "refused",
            request=job.request_id,
            priority=request.priority,
            need=type(request.requirement()).__name__,
            waited=self._loop.clock.now() - job.arrived_at,
            primary=self._group.primary.server_id,
        )
        return Reply(code=Code.BUSY, detail="no backend server can take it now")

    def _log_retry(self, job, lease, outcome, attempt):
        event_log.event(
            "attempt_failed",
            request=job.request_id,
            server=lease.connection.server.server_id,
            cause=outcome.cause,
            attempt=attempt,
            after=lease.after,
            position=lease.connection.position,
        )


def with_state(reply, state):
    """Return a reply with the state of the session that gets it."""
    return reply if reply.state is state else attrs.evolve(reply, state=state)
