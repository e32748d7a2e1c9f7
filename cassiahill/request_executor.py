"""Runs the calls of one backend server: queue, connections, hand-over and answers."""

import collections
import functools
import itertools

from cassiahill import admission, backend_requests, connection_manager, errors, pool
from cassiahill.loop import failed_future
from cassiahill.messages import Rank

ANSWER_GRACE = 0.1  # seconds for the way back after the database's own timeout
# An answer is awaited for this long, or for a multiple of the slowest recent one, so
# that a silent connection does not hold its caller up to the deadline.
ANSWER_TIMEOUT = 1.0
SLOWEST_FACTOR = 8.0
SLOWEST_DECAY = 0.995  # per answer
SILENT_AFTER = 0.25  # a shorter wait says nothing about the connection
COUNT_NAMES = {rank: "handed_over_" + rank.name.lower() for rank in Rank}
MAX_PARKED = 256  # writes that wait while an open transaction holds locks


class RequestExecutor:
    """Gives every call exactly one end.

    ``refusal`` is None while calls are taken, and otherwise makes the error for new
    ones; with ``pinned_only`` the calls of open transactions are still taken.

    Parameters
    ----------
    loop : loop.EventLoop
    backend : backend.Backend
    server_settings : settings.ServerSettings
    own_name : str
    policy : admission.AdmissionPolicy
    rng : random.Random
    on_idle : callable
        Called when a call or transaction has ended.
    on_stale : callable
        Called when the server answers that another proxy owns it.
    """

    def __init__(
        self,
        loop,
        backend,
        server_settings,
        own_name,
        policy,
        rng,
        on_idle,
        on_stale,
    ):
        self.refusal = errors.NotOwner
        self.pinned_only = False
        self.counts = collections.Counter()
        self.transactions = {}  # Used as an ordered set, so that runs repeat exactly.
        self._loop = loop
        self._policy = policy
        self._on_idle = on_idle
        self._on_stale = on_stale
        limits = pool.PoolSettings(max_connections=server_settings.connections)
        self.connections = connection_manager.Connections(
            loop,
            backend,
            own_name,
            limits,
            rng,
            self._granted,
            self._refused,
            on_stale,
        )
        # Plain work must always find a connection for each slot; otherwise it would
        # hold all slots while it waits for connections of transactions that wait for
        # slots.
        self._max_transactions = max(1, limits.capacity - server_settings.slots)
        self._opening_transactions = 0
        self._max_writes = max(1, server_settings.slots - 1)
        self._writes = set()
        self._parked = {}
        self._slowest = 0.0
        self._calls = {}
        self._without_connection = set()
        self._decisions = collections.deque()
        self._deciding = False
        self._request_ids = itertools.count(1)

    @property
    def load(self):
        """Number of calls and transactions that have not ended."""
        return len(self._calls) + len(self.transactions) + self._opening_transactions

    @property
    def waiting(self):
        """Number of calls that have not ended yet."""
        return len(self._calls)

    def submit(self, request, batch):
        """Serve ``owned_servers.OwnedServer.submit``."""
        return self._offer(
            backend_requests.Call(
                next(self._request_ids),
                request.rank,
                request.caller,
                request.deadline,
                batch.timeout,
                batch.read_only,
                backend_requests.executing(batch),
            )
        )

    def open_transaction(self, request, term):
        """Serve ``owned_servers.OwnedServer.open_transaction``."""
        count = len(self.transactions) + self._opening_transactions
        if count >= self._max_transactions:
            return failed_future(errors.Overloaded("too many transactions are open"))
        self._opening_transactions += 1
        return self._loop.spawn(self._open_transaction(request, term))

    def _open_transaction(self, request, term):
        transaction = backend_requests.Transaction(self, request, term)

        def run(call, connection):
            return connection.begin(term, call.bound)

        try:
            yield self.run_in(transaction, run, True, request.deadline)
        finally:
            self._opening_transactions -= 1
            self._on_idle()
        return transaction

    def run_in(self, transaction, run, read_only, deadline, timeout=None, ends=False):
        """Queue a call of a transaction; used by ``backend_requests.Transaction``."""
        if timeout is None:
            timeout = deadline - self._loop.clock.now()
        call = backend_requests.Call(
            next(self._request_ids),
            transaction.request_context.rank,
            transaction.request_context.caller,
            deadline,
            timeout,
            read_only,
            run,
            transaction,
            ends,
            transaction.connection_id,
        )
        transaction.busy = True
        return self._offer(call)

    def abandon(self, transaction):
        """Close a transaction's connection, so that the database rolls back."""
        for call in list(self._calls.values()):
            if call.transaction is transaction and call.sent_at is None:
                self._complete_request(
                    call, errors.NoTransaction("the transaction was closed")
                )
        self._close_connection(transaction.connection_id)
        self._finish_transaction(transaction)

    def _finish_transaction(self, transaction):
        if transaction is not None and not transaction.ended:
            transaction.ended = True
            transaction.holds_locks = False
            self.transactions.pop(transaction, None)
            for _ in range(len(self._parked)):
                self._unpark()
            self._on_idle()

    def _close_connection(self, connection_id):
        # The adapter fails the pending call when its connection closes.
        connection = self.connections.get(connection_id)
        if connection is not None:
            connection.close()
            self.connections.on_connection_lost(connection_id)

    def _offer(self, call):
        if not self._takes(call):
            if call.transaction is not None:
                call.transaction.busy = False
            return failed_future(self.refusal())
        self._calls[call.request_id] = call
        self._queue(call)
        return call.future

    def _takes(self, call):
        if self.refusal is None:
            return True
        pinned = call.transaction is not None and call.connection_id is not None
        return self.pinned_only and pinned

    def _refuses_all_requests(self):
        return self.refusal is not None and not self.pinned_only

    def _queue(self, call):
        request = admission.QueuedRequest(
            call.request_id, call.rank, call.caller, call.deadline
        )
        self._apply_decisions(self._policy.offer(request, self._loop.clock.now()))

    def tick(self):
        """Look at deadlines and idle connections."""
        now = self._loop.clock.now()
        for request_id in [*self._without_connection, *self._parked]:
            call = self._calls.get(request_id)
            if call is not None and now >= call.deadline:
                self._complete_request(
                    call, errors.DeadlinePassed("no connection was free in time")
                )
        self._unpark()
        self._apply_decisions(self._policy.tick(now))
        self.connections.tick()

    def fail_all(self):
        """End the waiting calls as not run, and abandon those handed over."""
        # Clearing first keeps a full queue from a search for each of its calls.
        waiting = set(self._policy.clear())
        for call in list(self._calls.values()):
            if call.sent_at is None:
                admitted = call.request_id not in waiting
                self._complete_request(call, self.refusal(), admitted=admitted)
        for transaction in list(self.transactions):
            self.abandon(transaction)
        for call in list(self._calls.values()):
            self._close_connection(call.connection_id)

    # Decisions of the policy

    def _apply_decisions(self, decisions):
        """Act on decisions in their order; those that they cause come after them."""
        self._decisions.extend(decisions)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._decisions:
                decision = self._decisions.popleft()
                call = self._calls.get(decision.request_id)
                if isinstance(decision, admission.Admit):
                    self._admitted(decision.request_id, call)
                elif call is not None:
                    self._complete_request(call, decision.error, admitted=False)
        finally:
            self._deciding = False

    def _admitted(self, request_id, call):
        if call is None:
            self._apply_decisions(
                self._policy.withdraw(request_id, self._loop.clock.now())
            )
        elif self._refuses_all_requests():
            self._complete_request(call, self.refusal())
        elif not self._may_write(call) and len(self._parked) >= MAX_PARKED:
            self._complete_request(
                call, errors.Overloaded("too many writes wait for locks")
            )
        elif not self._may_write(call):
            self._parked[request_id] = call
            self._apply_decisions(
                self._policy.withdraw(request_id, self._loop.clock.now())
            )
        elif call.connection_id is not None:
            self._send_request(call)
        else:
            self._without_connection.add(request_id)
            self.connections.acquire(request_id)

    # Locks of open transactions

    def _may_write(self, call):
        """Return whether a call may take a slot although it may wait for locks.

        Calls that wait for the locks of an open transaction hold their slots. One slot
        is kept free of them, so that the transaction can go on and release its locks.
        """
        if call.read_only or call.ends_transaction or call.request_id in self._writes:
            return True
        if call.transaction is not None and call.transaction.holds_locks:
            return True
        if len(self._writes) >= self._max_writes and any(
            transaction.holds_locks for transaction in self.transactions
        ):
            return False
        self._writes.add(call.request_id)
        return True

    def _unpark(self):
        """Queue the parked call of the highest rank again."""
        if self._parked:
            call = min(self._parked.values(), key=lambda c: (c.rank, c.request_id))
            del self._parked[call.request_id]
            self._queue(call)

    # Connections

    def _refused(self, request_id, error):
        self._without_connection.discard(request_id)
        if request_id in self._calls:
            self._complete_request(self._calls[request_id], error)

    def _granted(self, request_id, connection_id):
        self._without_connection.discard(request_id)
        call = self._calls.get(request_id)
        if call is None:
            self.connections.release(connection_id, False)
        elif self._loop.clock.now() >= call.deadline:
            self.connections.release(connection_id, False)
            self._complete_request(
                call, errors.DeadlinePassed("no connection was free in time")
            )
        else:
            call.connection_id = connection_id
            self._send_request(call)

    def _send_request(self, call):
        connection = self.connections.get(call.connection_id)
        now = self._loop.clock.now()
        if connection is None:
            self._finish_transaction(call.transaction)
            self._complete_request(
                call, errors.NoTransaction("the connection has ended")
            )
            return
        call.sent_at = now
        call.attempts += 1
        call.bound = min(call.deadline, now + call.timeout + ANSWER_GRACE)
        if not self._may_wait_for_locks(call):
            patience = max(ANSWER_TIMEOUT, SLOWEST_FACTOR * self._slowest)
            call.bound = min(call.bound, now + patience)
        if call.transaction is not None and not call.read_only:
            call.transaction.holds_locks = not call.ends_transaction
        pending = call.run(call, connection)
        self._loop.when_done(pending, functools.partial(self._on_answer, call))

    # Answers

    def _may_wait_for_locks(self, call):
        """Return whether a call may wait for the locks of an open transaction."""
        return not call.read_only and any(
            transaction.holds_locks
            for transaction in self.transactions
            if transaction is not call.transaction
        )

    def _on_answer(self, call, pending):
        error = pending.exception()
        connection = self.connections.get(call.connection_id)
        usable = connection is not None and not connection.closed
        if error is None:
            took = self._loop.clock.now() - call.sent_at
            self._slowest = max(took, self._slowest * SLOWEST_DECAY)
            (self._keep_or_release_connection if usable else self._give_up)(call)
            self._complete_request(call, None, pending.result())
            return
        if call.sent_at is not None and self._loop.clock.now() >= call.bound:
            # Doubles the next bound, so that statements that need longer get through.
            waited = call.bound - call.sent_at
            self._slowest = max(self._slowest, 2 * waited / SLOWEST_FACTOR)
        ran = getattr(error, "may_have_run", errors.MayHaveRun.UNKNOWN)
        refused = ran is errors.MayHaveRun.NO
        (self._return if refused and usable else self._give_up)(call)
        if isinstance(error, errors.StaleEpoch):
            self._on_stale()
        never_sent = isinstance(error, errors.BackendUnavailable) and not usable
        repeat = never_sent or (call.read_only and not refused)
        now = self._loop.clock.now()
        if repeat and call.may_repeat(now) and not self._refuses_all_requests():
            call.may_have_run = call.may_have_run or not refused
            call.connection_id = call.sent_at = None
            self._apply_decisions([admission.Admit(call.request_id)])
        elif ran is not errors.MayHaveRun.UNKNOWN:
            self._complete_request(call, error)
        else:
            self._complete_request(call, errors.OutcomeUnknown(str(error)))

    def _keep_or_release_connection(self, call):
        """Keep a transaction's connection, or return the connection of other work."""
        transaction = call.transaction
        if transaction is None or call.ends_transaction:
            self._return(call)
        elif transaction.connection_id is None:
            transaction.connection_id = call.connection_id
            self.transactions[transaction] = None

    def _return(self, call):
        """Return a connection; a read-only batch leaves nothing to reset."""
        dirty = call.transaction is not None or not call.read_only
        self._finish_transaction(call.transaction)
        self.connections.release(call.connection_id, dirty)

    def _give_up(self, call):
        """Close the connection of a call whose answer is missing."""
        now = self._loop.clock.now()
        self._finish_transaction(call.transaction)
        if now >= call.bound and now - call.sent_at >= SILENT_AFTER:
            self.connections.on_timeout(call.connection_id)
        else:
            self.connections.on_connection_lost(call.connection_id)

    def _complete_request(self, call, error, result=None, admitted=True):
        """Give a call its one end, and its slot to other work."""
        if self._calls.pop(call.request_id, None) is None:
            return
        if call.may_have_run and error is not None:
            error = errors.OutcomeUnknown(str(error))
        if call.transaction is not None:
            call.transaction.busy = False
        if call.request_id in self._without_connection:
            self._without_connection.discard(call.request_id)
            self.connections.cancel(call.request_id)
        self._parked.pop(call.request_id, None)
        now = self._loop.clock.now()
        if call.sent_at is not None:
            self.counts[COUNT_NAMES[call.rank]] += 1
            self._apply_decisions(self._policy.finish(call.request_id, now))
        elif admitted:
            self._apply_decisions(self._policy.withdraw(call.request_id, now))
        if call.request_id in self._writes:
            self._writes.discard(call.request_id)
            self._unpark()
        self.counts[error.code if error is not None else "done"] += 1
        if error is None:
            call.future.set_result(result)
        else:
            call.future.set_exception(error)
        self._on_idle()
