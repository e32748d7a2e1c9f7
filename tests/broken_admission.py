"""Broken versions of admission, pool and runner that the tests must detect."""

from cassiahill import errors, pool, runner
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
        waiting = [queue for queue in self._queues.values() if queue]
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


class RunnerReportsNotRun(runner.Runner):
    """Reports a statement as not run although its answer was lost."""

    def _end(self, call, error, result=None, admitted=True):
        if isinstance(error, errors.OutcomeUnknown):
            error = errors.BackendUnavailable()
        super()._end(call, error, result, admitted)


class RunnerSharesConnections(runner.Runner):
    """Releases the connection of a transaction after each statement."""

    def _keep(self, call):
        super()._keep(call)
        if call.transaction is not None:
            self.connections.release(call.connection_id, False)


class RunnerDropsAnswers(runner.Runner):
    """Drops the answers of sent calls when the server ownership ends."""

    def _answered(self, call, pending):
        if not self._stopped():
            super()._answered(call, pending)


class RunnerExceedsSlots(runner.Runner):
    """Frees the slot of a write when it is sent, before its answer."""

    def _hand_over(self, call):
        super()._hand_over(call)
        if not call.read_only and call.transaction is None:
            self._decide(self._policy.finish(call.request_id, self._loop.clock.now()))

    def _end(self, call, error, result=None, admitted=True):
        if not call.read_only and call.transaction is None and call.sent_at is not None:
            call.sent_at = None
            admitted = False
        super()._end(call, error, result, admitted)


RUNNERS = {
    RunnerReportsNotRun: "may have run",
    RunnerSharesConnections: "session|answer was pending",
    RunnerDropsAnswers: "has no end",
    RunnerExceedsSlots: "over the slots",
}
