"""Broken versions of the admission modules; the tests must reject each of them."""

from cassiahill import errors, pool, runner
from cassiahill.admission import FifoAdmission, RankedAdmission
from cassiahill.messages import Rank


class WithoutFloors(RankedAdmission):
    """Strict priority: a flood of a high rank starves the others."""

    def _next_rank(self, now):
        return next((rank for rank, queue in self._queues.items() if queue), None)


class WithoutRanks(RankedAdmission):
    """The lowest rank goes first."""

    def _next_rank(self, now):
        return next((rank for rank in reversed(Rank) if self._queues[rank]), None)


class WithoutTurns(RankedAdmission):
    """A caller is served until its backlog is empty."""

    def __init__(self, settings):
        super().__init__(settings)
        for queue in self._queues.values():
            queue.pop = lambda queue=queue: self._pop(queue)

    @staticmethod
    def _pop(queue):
        caller = queue._turns[0]
        work = next(w for w in queue if w.caller == caller)
        queue.remove(lambda other: other.request_id == work.request_id)
        return work


class OneSlotTooMany(RankedAdmission):
    """Counts the running works after the next one started."""

    def _start(self, work, now):
        decision = super()._start(work, now)
        self._running[work.request_id, "extra"] = self._running.pop(work.request_id)
        return decision

    def finish(self, work_id, now):
        self._running[work_id] = self._running.pop((work_id, "extra"))
        decisions = super().finish(work_id, now)
        waiting = [queue for queue in self._queues.values() if queue]
        if waiting:
            decisions.append(self._start(waiting[0].pop(), now))
        return decisions

    def withdraw(self, work_id, now):
        self._running.pop((work_id, "extra"), None)
        return super().withdraw(work_id, now)


class LosesExpired(RankedAdmission):
    """Drops expired works without telling their callers."""

    def tick(self, now):
        for queue in self._queues.values():
            queue.remove(lambda work: work.deadline <= now)
        return self._fill(now)


class AnswersTwice(RankedAdmission):
    """Rejects an expired work that it admits as well."""

    def _fill(self, now):
        decisions = super()._fill(now)
        return decisions + decisions[:1]


POLICIES = {
    WithoutRanks: "went before",
    WithoutTurns: "passed over",
    OneSlotTooMany: "more running",
    LosesExpired: "not dropped|without an end",
    AnswersTwice: "a second end",
    FifoAdmission: "went before|not dropped|passed over",
}


class PoolWithoutReserve(pool.ConnectionPool):
    """Opens all connections of the limit."""

    def _open(self, missing, now):
        settings = self._settings
        self._settings = pool.PoolSettings(settings.max_connections + 2, reserve=0)
        actions = super()._open(missing, now)
        self._settings = settings
        return actions


class PoolWithoutReset(pool.ConnectionPool):
    """Reuses connections that may hold the state of another session."""

    def release(self, connection_id, now, dirty):
        return super().release(connection_id, now, False)


class PoolTrustsSilence(pool.ConnectionPool):
    """Does not check the other connections after one went silent."""

    def on_timeout(self, connection_id, now):
        return self.on_connection_lost(connection_id, now)


POOLS = {
    PoolWithoutReserve: "over the limit",
    PoolWithoutReset: "used without a reset",
    PoolTrustsSilence: "used without a reset",
}


class RunnerClaimsNotRun(runner.Runner):
    """Reports a lost answer as "not run"."""

    def _end(self, call, error, result=None, admitted=True):
        if isinstance(error, errors.OutcomeUnknown):
            error = errors.BackendUnavailable()
        super()._end(call, error, result, admitted)


class RunnerSharesConnections(runner.Runner):
    """Returns the connection of a transaction to the pool after each statement."""

    def _keep(self, call):
        super()._keep(call)
        if call.transaction is not None:
            self.connections.release(call.connection_id, False)


class RunnerForgets(runner.Runner):
    """Leaves handed-over calls without an end when the ownership ends."""

    def _answered(self, call, pending):
        if not self._stopped():
            super()._answered(call, pending)


class RunnerOversubscribes(runner.Runner):
    """Frees the slot of a write when it is handed over."""

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
    RunnerClaimsNotRun: "may have run",
    RunnerSharesConnections: "session|answer was pending",
    RunnerForgets: "has no end",
    RunnerOversubscribes: "over the slots",
}
