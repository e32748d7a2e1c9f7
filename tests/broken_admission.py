"""Broken versions of admission, pool and executor that the tests must detect."""

from cassiahill import errors, pool, request_executor
from cassiahill.admission import FifoAdmission, RankedAdmission
from cassiahill.messages import Rank


class WithoutFloors(RankedAdmission):
    """Strict priority: a flood of a high rank starves the others."""

    def _next_rank(self, now):
        return next((rank for rank, queue in self._queues.items() if queue), None)


class WithoutRanks(RankedAdmission):
    """Serves the lowest rank first."""

    def _next_rank(self, now):
        return next((rank for rank in reversed(Rank) if self._queues[rank]), None)


class WithoutRoundRobin(RankedAdmission):
    """Serves a caller until its backlog is empty."""

    def __init__(self, settings):
        super().__init__(settings)
        for queue in self._queues.values():
            queue.pop = lambda queue=queue: self._pop(queue)

    @staticmethod
    def _pop(queue):
        caller = queue._caller_order[0]
        request = next(queued for queued in queue if queued.caller == caller)
        queue.remove(lambda other: other.request_id == request.request_id)
        return request


class ExceedsSlots(RankedAdmission):
    """Starts one request more than there are slots."""

    def _start_request(self, request, now):
        decision = super()._start_request(request, now)
        self._running[request.request_id, "extra"] = self._running.pop(
            request.request_id
        )
        return decision

    def finish(self, request_id, now):
        self._running[request_id] = self._running.pop((request_id, "extra"))
        decisions = super().finish(request_id, now)
        waiting = [
            queue
            for queue in self._queues.values()
            if queue and all(request.deadline > now for request in queue)
        ]
        if waiting:
            decisions.append(self._start_request(waiting[0].pop(), now))
        return decisions

    def withdraw(self, request_id, now):
        self._running.pop((request_id, "extra"), None)
        return super().withdraw(request_id, now)


class ExpiredWithoutDecision(RankedAdmission):
    """Drops expired requests without a decision."""

    def tick(self, now):
        for queue in self._queues.values():
            queue.remove(lambda request: request.deadline <= now)
        return self._fill_slots(now)


class DecidesTwice(RankedAdmission):
    """Returns the first decision twice."""

    def _fill_slots(self, now):
        decisions = super()._fill_slots(now)
        return decisions + decisions[:1]


BROKEN_POLICIES = {
    WithoutRanks: "went before",
    WithoutRoundRobin: "passed over",
    ExceedsSlots: "more running",
    ExpiredWithoutDecision: "not dropped|without a decision",
    DecidesTwice: "a second decision",
    FifoAdmission: "went before|not dropped|passed over",
}


class PoolWithoutReserve(pool.ConnectionPool):
    """Opens the reserved connections as well."""

    def _open_connections(self, needed_count, now):
        settings = self._settings
        self._settings = pool.PoolSettings(
            settings.max_connections + 2, reserved_connections=0
        )
        actions = super()._open_connections(needed_count, now)
        self._settings = settings
        return actions


class PoolWithoutReset(pool.ConnectionPool):
    """Reuses connections that may have the state of another session."""

    def release(self, connection_id, now, dirty):
        return super().release(connection_id, now, False)


class PoolWithoutCheckAfterTimeout(pool.ConnectionPool):
    """Does not reset the other connections after a call on one timed out."""

    def on_timeout(self, connection_id, now):
        return self.on_connection_lost(connection_id, now)


BROKEN_POOLS = {
    PoolWithoutReserve: "over the limit",
    PoolWithoutReset: "used without a reset",
    PoolWithoutCheckAfterTimeout: "used without a reset",
}


class ExecutorReportsNotRun(request_executor.RequestExecutor):
    """Reports a statement as not run although its answer was lost."""

    def _complete_request(self, request, error, result=None, admitted=True):
        if isinstance(error, errors.OutcomeUnknown):
            error = errors.BackendUnavailable()
        super()._complete_request(request, error, result, admitted)


class ExecutorSharesConnections(request_executor.RequestExecutor):
    """Releases the connection of a transaction after each statement."""

    def _keep_or_release_connection(self, request):
        super()._keep_or_release_connection(request)
        if request.transaction is not None:
            self.connections.release(request.connection_id, False)


class ExecutorDropsAnswers(request_executor.RequestExecutor):
    """Drops the answers of sent calls when the server ownership ends."""

    def _on_answer(self, request, pending):
        if not self._refuses_all_requests():
            super()._on_answer(request, pending)


class ExecutorExceedsSlots(request_executor.RequestExecutor):
    """Frees the slot of a write when it is sent, before its answer."""

    def _send_request(self, request):
        super()._send_request(request)
        if not request.read_only and request.transaction is None:
            self._apply_decisions(
                self._policy.finish(request.request_id, self._loop.clock.now())
            )

    def _complete_request(self, request, error, result=None, admitted=True):
        if (
            not request.read_only
            and request.transaction is None
            and request.sent_at is not None
        ):
            request.sent_at = None
            admitted = False
        super()._complete_request(request, error, result, admitted)


BROKEN_EXECUTORS = {
    ExecutorReportsNotRun: "may have run",
    ExecutorSharesConnections: "session|answer was pending",
    ExecutorDropsAnswers: "has no end",
    ExecutorExceedsSlots: "over the slots",
}
