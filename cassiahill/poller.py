"""Polls the status of the backend servers and settles what depends on it."""

from cassiahill import acknowledgement, errors, freshness
from cassiahill.loop import LoopFuture, copy_result

POLL_WAIT_SECONDS = 0.1  # Bounds the age that an idle primary shows.
POLL_TIMEOUT = 0.75  # seconds for the answer of one poll
POLL_INTERVAL = 0.002  # seconds; bounds the polls of a busy group
RETRY_INTERVAL = 0.1  # seconds after a failed poll


class GroupMonitor:
    """Keeps the view of one group current and acknowledges its writes.

    Parameters
    ----------
    loop : loop.EventLoop
    settings : settings.GroupSettings
    backends_by_server : dict of str to backend.Backend
    """

    def __init__(self, loop, settings, backends_by_server):
        self.view = freshness.GroupView(settings.name, settings.servers_by_name)
        self._loop = loop
        self._tracker = acknowledgement.AckTracker(
            settings.servers_by_name, settings.acknowledge
        )
        self._acks_by_id = {}
        self._next_write_id = 0
        self._change_waiters = []
        self._guards = set()
        self._guarded_term = 0
        self._closed = False
        self.observers = []
        for server in settings.servers_by_name:
            loop.spawn(self._poll_forever(backends_by_server[server]))

    def wait_for_acknowledgement(self, server, term, position, deadline):
        """Return a future that completes when a write may be acknowledged.

        It fails with ``errors.OutcomeUnknown`` when the term ends or the deadline
        passes first.
        """
        self._next_write_id += 1
        write_id = self._next_write_id
        future = LoopFuture()
        self._acks_by_id[write_id] = (future, (term, position))
        now = self._loop.clock.now()
        self._settle(
            self._tracker.record_write(write_id, server, term, position, now, deadline)
        )
        if not future.done():
            self._loop.call_at(
                deadline,
                lambda: self._settle(
                    self._tracker.expire_writes(self._loop.clock.now())
                ),
            )
        return future

    def fail_when_term_ends(self, future, term):
        """Return a future with the same result, or ``errors.OutcomeUnknown``.

        It fails as soon as the term is replaced: an answer of the old primary could no
        longer be acknowledged, so nobody needs to wait for it.
        """
        bounded = LoopFuture()
        self._guards.add((bounded, term))

        def settle(finished):
            self._guards.discard((bounded, term))
            if not bounded.done():
                copy_result(finished, bounded)

        self._loop.when_done(future, settle)
        return bounded

    def _end_replaced_terms(self):
        # The failover driver's probes also move the view, so its term is compared.
        if self.view.term == self._guarded_term:
            return
        self._guarded_term = self.view.term
        replaced = [guard for guard in self._guards if guard[1] < self.view.term]
        for bounded, term in replaced:
            self._guards.discard((bounded, term))
            if not bounded.done():
                bounded.set_exception(
                    errors.OutcomeUnknown(
                        f"term {term} was replaced by {self.view.term}"
                    )
                )

    def wait_for_change(self, deadline):
        """Return a future that completes at the next change of the view."""
        future = LoopFuture()
        self._change_waiters.append(future)
        self._loop.call_at(
            deadline, lambda: None if future.done() else future.set_result(None)
        )
        return future

    def record_status(self, status):
        """Take over a status from a poll or a probe."""
        self.view.record_status(status)
        self._end_replaced_terms()
        self._settle(self._tracker.record_status(status))
        for observer in self.observers:
            observer(status)
        waiters, self._change_waiters = self._change_waiters, []
        for future in waiters:
            if not future.done():
                future.set_result(None)

    def close(self):
        """Stop polling."""
        self._closed = True

    def dump(self):
        """Return what is known of the group, as plain values."""
        now = self._loop.clock.now()
        return {
            "term": self.view.term,
            "primary": self.view.primary,
            "pending_writes": self._tracker.pending_count,
            "servers": {
                server: {
                    "role": status.role,
                    "term": status.term,
                    "position": status.position,
                    "polled_ms_ago": round((now - status.received_at) * 1000),
                    "age_ms": round(min(1e9, self.view.age(server, now) * 1000)),
                }
                for server, status in self.view.status_by_server.items()
            },
        }

    def _settle(self, decisions):
        for decision in decisions:
            future, mark = self._acks_by_id.pop(decision.write_id)
            match decision:
                case acknowledgement.Acknowledge():
                    future.set_result(None)
                case acknowledgement.ReportUnknown(reason=reason):
                    error = errors.OutcomeUnknown(reason)
                    error.mark = mark
                    future.set_exception(error)

    def _poll_forever(self, backend):
        known = None
        while not self._closed:
            started = self._loop.clock.now()
            try:
                known = yield backend.status(
                    known, POLL_WAIT_SECONDS, started + POLL_TIMEOUT
                )
            except errors.CassiahillError:
                known = None
                yield self._loop.sleep_until(started + RETRY_INTERVAL)
                continue
            self.record_status(known)
            if self._loop.clock.now() < started + POLL_INTERVAL:
                yield self._loop.sleep_until(started + POLL_INTERVAL)
