"""Runs the requests to one backend server: queues, sends, retries and ends them."""

import collections
import functools
import itertools

from cassiahill import admission, backend_requests, connection_manager, errors, pool
from cassiahill.answer_timeouts import AnswerTimeout
from cassiahill.loop import failed_future
from cassiahill.messages import Rank
from cassiahill.write_permits import WritePermits

# Time after the database's own timeout for its last answer to arrive.
ANSWER_GRACE_SECONDS = 0.1
# After a shorter wait, a missing answer does not show that the connection is broken.
MIN_SILENCE_SECONDS = 0.25
SENT_COUNT_NAMES_BY_RANK = {rank: "handed_over_" + rank.name.lower() for rank in Rank}


class RequestExecutor:
    """Queues requests, sends them on connections, and ends each exactly once.

    ``make_refusal`` is None while requests are accepted; otherwise it returns the error
    for new ones. With ``accepts_transaction_requests``, requests of open transactions
    are accepted all the same.

    Parameters
    ----------
    loop : loop.EventLoop
    backend : backend.Backend
    server_settings : settings.ServerSettings
    own_name : str
        Name of this proxy.
    policy : admission.AdmissionPolicy
    rng : random.Random
    on_finished : callable
        Called when a request or transaction has ended.
    on_stale_epoch : callable
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
        on_finished,
        on_stale_epoch,
    ):
        self.make_refusal = errors.NotOwner
        self.accepts_transaction_requests = False
        self.counts = collections.Counter()
        # A dictionary used as an ordered set, so that test runs are reproducible.
        self.open_transactions = {}
        self._loop = loop
        self._policy = policy
        self._on_finished = on_finished
        self._on_stale_epoch = on_stale_epoch
        pool_settings = pool.PoolSettings(max_connections=server_settings.connections)
        self.connections = connection_manager.ConnectionManager(
            loop,
            backend,
            own_name,
            pool_settings,
            rng,
            self._on_connection_granted,
            self._on_connection_refused,
            on_stale_epoch,
        )
        # Requests outside transactions must always find a connection for each slot.
        # Otherwise they would hold all slots while they wait for connections of
        # transactions that wait for slots.
        self._max_transactions = max(1, pool_settings.capacity - server_settings.slots)
        self._opening_transaction_count = 0
        self._write_permits = WritePermits(server_settings.slots)
        self._answer_timeout = AnswerTimeout()
        self._unfinished_requests_by_id = {}
        self._ids_awaiting_connection = set()
        self._pending_decisions = collections.deque()
        self._applying_decisions = False
        self._request_ids = itertools.count(1)

    @property
    def unfinished_count(self):
        """Number of requests and transactions that have not ended."""
        return (
            len(self._unfinished_requests_by_id)
            + len(self.open_transactions)
            + self._opening_transaction_count
        )

    @property
    def unfinished_request_count(self):
        """Number of accepted requests that have not ended."""
        return len(self._unfinished_requests_by_id)

    def submit(self, request_context, batch):
        """Run a batch; see ``owned_servers.OwnedServer.submit``."""
        return self._accept_or_refuse(
            backend_requests.BackendRequest(
                next(self._request_ids),
                request_context.rank,
                request_context.caller,
                request_context.deadline,
                batch.timeout,
                batch.read_only,
                backend_requests.batch_sender(batch),
            )
        )

    def open_transaction(self, request_context, term):
        """Begin a transaction; see ``owned_servers.OwnedServer.open_transaction``."""
        transaction_count = (
            len(self.open_transactions) + self._opening_transaction_count
        )
        if transaction_count >= self._max_transactions:
            return failed_future(errors.Overloaded("too many transactions are open"))
        self._opening_transaction_count += 1
        return self._loop.spawn(self._open_transaction(request_context, term))

    def _open_transaction(self, request_context, term):
        transaction = backend_requests.BackendTransaction(self, request_context, term)

        def send(request, connection):
            return connection.begin(term, request.answer_deadline)

        try:
            yield self.submit_in_transaction(
                transaction, send, True, request_context.deadline
            )
        finally:
            self._opening_transaction_count -= 1
            self._on_finished()
        return transaction

    def submit_in_transaction(
        self,
        transaction,
        send,
        read_only,
        deadline,
        timeout_seconds=None,
        ends_transaction=False,
    ):
        """Queue a request of a ``backend_requests.BackendTransaction``."""
        if timeout_seconds is None:
            timeout_seconds = deadline - self._loop.clock.now()
        request = backend_requests.BackendRequest(
            next(self._request_ids),
            transaction.request_context.rank,
            transaction.request_context.caller,
            deadline,
            timeout_seconds,
            read_only,
            send,
            transaction,
            ends_transaction,
            transaction.connection_id,
        )
        transaction.has_unfinished_request = True
        return self._accept_or_refuse(request)

    def abandon_transaction(self, transaction):
        """Close a transaction's connection, so that the database rolls back."""
        for request in list(self._unfinished_requests_by_id.values()):
            if request.transaction is transaction and request.sent_at is None:
                self._complete_request(
                    request, errors.NoTransaction("the transaction was closed")
                )
        self._close_connection(transaction.connection_id)
        self._mark_transaction_ended(transaction)

    def _mark_transaction_ended(self, transaction):
        if transaction is not None and not transaction.ended:
            transaction.ended = True
            transaction.holds_locks = False
            self.open_transactions.pop(transaction, None)
            for _ in self._write_permits.deferred_ids:
                self._requeue_deferred_write()
            self._on_finished()

    def _close_connection(self, connection_id):
        # The adapter fails the pending request when its connection closes.
        connection = self.connections.get(connection_id)
        if connection is not None:
            connection.close()
            self.connections.on_connection_lost(connection_id)

    def _accept_or_refuse(self, request):
        """Queue a request or refuse it; return the future of its result."""
        if not self._accepts_request(request):
            if request.transaction is not None:
                request.transaction.has_unfinished_request = False
            return failed_future(self.make_refusal())
        self._unfinished_requests_by_id[request.request_id] = request
        self._enqueue_request(request)
        return request.future

    def _accepts_request(self, request):
        if self.make_refusal is None:
            return True
        in_open_transaction = (
            request.transaction is not None and request.connection_id is not None
        )
        return self.accepts_transaction_requests and in_open_transaction

    def _refuses_all_requests(self):
        """Return whether requests of open transactions are refused too."""
        return self.make_refusal is not None and not self.accepts_transaction_requests

    def _enqueue_request(self, request):
        """Let the admission policy queue, admit or reject a request."""
        queued_request = admission.QueuedRequest(
            request.request_id, request.rank, request.caller, request.deadline
        )
        self._apply_decisions(
            self._policy.offer(queued_request, self._loop.clock.now())
        )

    def tick(self):
        """End expired requests, requeue a deferred write and check the connections."""
        now = self._loop.clock.now()
        for request_id in [
            *self._ids_awaiting_connection,
            *self._write_permits.deferred_ids,
        ]:
            request = self._unfinished_requests_by_id.get(request_id)
            if request is not None and now >= request.deadline:
                self._complete_request(
                    request,
                    errors.DeadlinePassed("no connection was free in time"),
                )
        self._requeue_deferred_write()
        self._apply_decisions(self._policy.tick(now))
        self.connections.tick()

    def abort_all(self):
        """End unsent requests as not run, and close the connections of sent ones."""
        # Clearing first keeps a full queue from a search for each of its requests.
        queued_ids = set(self._policy.clear())
        for request in list(self._unfinished_requests_by_id.values()):
            if request.sent_at is None:
                admitted = request.request_id not in queued_ids
                self._complete_request(request, self.make_refusal(), admitted=admitted)
        for transaction in list(self.open_transactions):
            self.abandon_transaction(transaction)
        for request in list(self._unfinished_requests_by_id.values()):
            self._close_connection(request.connection_id)

    # Decisions of the admission policy

    def _apply_decisions(self, decisions):
        """Apply decisions in their order; those that they cause come after them."""
        self._pending_decisions.extend(decisions)
        if self._applying_decisions:
            return
        self._applying_decisions = True
        try:
            while self._pending_decisions:
                decision = self._pending_decisions.popleft()
                request = self._unfinished_requests_by_id.get(decision.request_id)
                if isinstance(decision, admission.Admit):
                    self._on_admitted(decision.request_id, request)
                elif request is not None:
                    self._complete_request(request, decision.error, admitted=False)
        finally:
            self._applying_decisions = False

    def _on_admitted(self, request_id, request):
        if request is None:
            self._apply_decisions(
                self._policy.withdraw(request_id, self._loop.clock.now())
            )
        elif self._refuses_all_requests():
            self._complete_request(request, self.make_refusal())
        elif not self._write_permits.acquire(request, self.open_transactions):
            self._defer_write(request)
        elif request.connection_id is not None:
            self._send_request(request)
        else:
            self._ids_awaiting_connection.add(request_id)
            self.connections.acquire(request_id)

    # Locks of open transactions

    def _defer_write(self, request):
        """Let a write wait for a permit, or refuse it if too many wait."""
        if not self._write_permits.defer(request):
            self._complete_request(
                request, errors.Overloaded("too many writes wait for locks")
            )
            return
        self._apply_decisions(
            self._policy.withdraw(request.request_id, self._loop.clock.now())
        )

    def _requeue_deferred_write(self):
        """Queue the deferred write of the highest rank again."""
        request = self._write_permits.take_deferred()
        if request is not None:
            self._enqueue_request(request)

    # Grants of connections, and sending of requests on them

    def _on_connection_refused(self, request_id, error):
        self._ids_awaiting_connection.discard(request_id)
        if request_id in self._unfinished_requests_by_id:
            self._complete_request(self._unfinished_requests_by_id[request_id], error)

    def _on_connection_granted(self, request_id, connection_id):
        self._ids_awaiting_connection.discard(request_id)
        request = self._unfinished_requests_by_id.get(request_id)
        if request is None:
            self.connections.release(connection_id, False)
        elif self._loop.clock.now() >= request.deadline:
            self.connections.release(connection_id, False)
            self._complete_request(
                request,
                errors.DeadlinePassed("no connection was free in time"),
            )
        else:
            request.connection_id = connection_id
            self._send_request(request)

    def _send_request(self, request):
        """Send a request on its connection."""
        connection = self.connections.get(request.connection_id)
        now = self._loop.clock.now()
        if connection is None:
            self._mark_transaction_ended(request.transaction)
            self._complete_request(
                request, errors.NoTransaction("the connection has ended")
            )
            return
        request.sent_at = now
        request.attempt_count += 1
        request.answer_deadline = min(
            request.deadline, now + request.timeout_seconds + ANSWER_GRACE_SECONDS
        )
        if not self._may_wait_for_locks(request):
            request.answer_deadline = min(
                request.answer_deadline, now + self._answer_timeout.seconds
            )
        if request.transaction is not None and not request.read_only:
            request.transaction.holds_locks = not request.ends_transaction
        answer_future = request.send(request, connection)
        self._loop.when_done(answer_future, functools.partial(self._on_answer, request))

    # Answers of the database, and the end of requests

    def _may_wait_for_locks(self, request):
        """Return whether a request may wait for the locks of another transaction."""
        return not request.read_only and any(
            transaction.holds_locks
            for transaction in self.open_transactions
            if transaction is not request.transaction
        )

    def _on_answer(self, request, answer_future):
        """Handle an answer or its absence: end the request or send it again."""
        error = answer_future.exception()
        connection = self.connections.get(request.connection_id)
        connection_usable = connection is not None and not connection.closed
        if error is None:
            self._answer_timeout.record_answer(self._loop.clock.now() - request.sent_at)
            (
                self._keep_or_release_connection
                if connection_usable
                else self._discard_connection
            )(request)
            self._complete_request(request, None, answer_future.result())
            return
        if (
            request.sent_at is not None
            and self._loop.clock.now() >= request.answer_deadline
        ):
            self._answer_timeout.record_missing_answer(
                request.answer_deadline - request.sent_at
            )
        may_have_run = getattr(error, "may_have_run", errors.MayHaveRun.UNKNOWN)
        not_run = may_have_run is errors.MayHaveRun.NO
        (
            self._release_connection
            if not_run and connection_usable
            else self._discard_connection
        )(request)
        if isinstance(error, errors.StaleEpoch):
            self._on_stale_epoch()
        never_sent = (
            isinstance(error, errors.BackendUnavailable) and not connection_usable
        )
        repeatable = never_sent or (request.read_only and not not_run)
        now = self._loop.clock.now()
        if repeatable and request.may_retry(now) and not self._refuses_all_requests():
            request.may_have_run = request.may_have_run or not not_run
            request.connection_id = request.sent_at = None
            self._apply_decisions([admission.Admit(request.request_id)])
        elif may_have_run is not errors.MayHaveRun.UNKNOWN:
            self._complete_request(request, error)
        else:
            self._complete_request(request, errors.OutcomeUnknown(str(error)))

    def _keep_or_release_connection(self, request):
        """Keep an open transaction's connection; release any other."""
        transaction = request.transaction
        if transaction is None or request.ends_transaction:
            self._release_connection(request)
        elif transaction.connection_id is None:
            transaction.connection_id = request.connection_id
            self.open_transactions[transaction] = None

    def _release_connection(self, request):
        """Release a connection; a read-only batch leaves nothing to reset."""
        dirty = request.transaction is not None or not request.read_only
        self._mark_transaction_ended(request.transaction)
        self.connections.release(request.connection_id, dirty)

    def _discard_connection(self, request):
        """Close the connection of a request whose answer is missing."""
        now = self._loop.clock.now()
        self._mark_transaction_ended(request.transaction)
        if (
            now >= request.answer_deadline
            and now - request.sent_at >= MIN_SILENCE_SECONDS
        ):
            self.connections.on_timeout(request.connection_id)
        else:
            self.connections.on_connection_lost(request.connection_id)

    def _complete_request(self, request, error, result=None, admitted=True):
        """Complete a request's future once, and free its slot and write permit."""
        if self._unfinished_requests_by_id.pop(request.request_id, None) is None:
            return
        if request.may_have_run and error is not None:
            error = errors.OutcomeUnknown(str(error))
        if request.transaction is not None:
            request.transaction.has_unfinished_request = False
        if request.request_id in self._ids_awaiting_connection:
            self._ids_awaiting_connection.discard(request.request_id)
            self.connections.cancel(request.request_id)
        self._write_permits.drop_deferred(request.request_id)
        now = self._loop.clock.now()
        if request.sent_at is not None:
            self.counts[SENT_COUNT_NAMES_BY_RANK[request.rank]] += 1
            self._apply_decisions(self._policy.finish(request.request_id, now))
        elif admitted:
            self._apply_decisions(self._policy.withdraw(request.request_id, now))
        if self._write_permits.release(request.request_id):
            self._requeue_deferred_write()
        self.counts[error.code if error is not None else "done"] += 1
        if error is None:
            request.future.set_result(result)
        else:
            request.future.set_exception(error)
        self._on_finished()
