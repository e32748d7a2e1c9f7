"""Polls the status of a group's backend servers and acknowledges its writes."""

from cassiahill import acknowledgement, errors, freshness
from cassiahill.loop import LoopFuture, copy_result

# Longest time for which a server may delay its answer while its status stays the same.
# It bounds the age that an idle primary's data are taken to have.
POLL_WAIT_SECONDS = 0.1
# Longest wait for the answer to a poll, POLL_WAIT_SECONDS included.
POLL_TIMEOUT_SECONDS = 0.75
# Shortest time between the starts of two polls of a server. It limits the poll rate
# while the status of a busy group changes all the time.
MIN_POLL_INTERVAL_SECONDS = 0.002
# Time between the start of a failed poll and the next one.
RETRY_INTERVAL_SECONDS = 0.1


class GroupMonitor:
    """Polls the servers of one group, and tracks its view and its pending writes.

    Parameters
    ----------
    loop : loop.EventLoop
    settings : settings.GroupSettings
    backends_by_server : dict of str to backend.Backend

    Attributes
    ----------
    view : freshness.GroupView
        Terms, log positions and ages of the group's servers.
    """

    def __init__(self, loop, settings, backends_by_server):
        self.view = freshness.GroupView(settings.name, settings.servers_by_name)
        self._loop = loop
        self._ack_tracker = acknowledgement.AckTracker(
            settings.servers_by_name, settings.acknowledge
        )
        # Future of the acknowledgement, and the write's term and log position.
        self._pending_writes_by_id = {}
        self._last_write_id = 0
        self._change_futures = []
        # Pairs of a future that ``fail_when_term_ends`` returned and its term.
        self._pending_answers = set()
        self._last_seen_term = 0
        self._closed = False
        for server in settings.servers_by_name:
            loop.spawn(self._poll_server(backends_by_server[server]))

    def wait_for_acknowledgement(self, server, term, position, deadline):
        """Return a future that completes when a write may be acknowledged.

        The future fails with ``errors.OutcomeUnknown`` when the term ends or the
        deadline passes first.

        Parameters
        ----------
        server : str
            The primary that ran the write.
        term, position : int
            Term and log position of the write.
        deadline : float
            Instant in seconds.

        Returns
        -------
        loop.LoopFuture of None
        """
        self._last_write_id += 1
        write_id = self._last_write_id
        future = LoopFuture()
        self._pending_writes_by_id[write_id] = (future, (term, position))
        now = self._loop.clock.now()
        self._apply_decisions(
            self._ack_tracker.record_write(
                write_id, server, term, position, now, deadline
            )
        )
        if not future.done():
            self._loop.call_at(
                deadline,
                lambda: self._apply_decisions(
                    self._ack_tracker.expire_writes(self._loop.clock.now())
                ),
            )
        return future

    def fail_when_term_ends(self, future, term):
        """Return a future with the same result that fails when the term is replaced.

        A write of a replaced term can no longer be acknowledged, so the returned future
        fails with ``errors.OutcomeUnknown`` instead of waiting for the old primary.

        Parameters
        ----------
        future : Future
            Answer of a backend server.
        term : int
            Term in which the server was asked.

        Returns
        -------
        loop.LoopFuture
        """
        result_future = LoopFuture()
        self._pending_answers.add((result_future, term))

        def forward_result(done_future):
            self._pending_answers.discard((result_future, term))
            if not result_future.done():
                copy_result(done_future, result_future)

        self._loop.when_done(future, forward_result)
        return result_future

    def _fail_answers_of_replaced_terms(self):
        # The failover driver also records statuses in the view, without calling the
        # monitor. So the view's term is compared with the last one seen here.
        if self.view.term == self._last_seen_term:
            return
        self._last_seen_term = self.view.term
        replaced_answers = [
            answer for answer in self._pending_answers if answer[1] < self.view.term
        ]
        for result_future, term in replaced_answers:
            self._pending_answers.discard((result_future, term))
            if not result_future.done():
                result_future.set_exception(
                    errors.OutcomeUnknown(
                        f"term {term} was replaced by {self.view.term}"
                    )
                )

    def wait_for_change(self, deadline):
        """Return a future that completes at the next status or at the deadline."""
        future = LoopFuture()
        self._change_futures.append(future)
        self._loop.call_at(
            deadline, lambda: None if future.done() else future.set_result(None)
        )
        return future

    def record_status(self, status):
        """Update the view with a status, and settle the futures that depend on it."""
        self.view.record_status(status)
        self._fail_answers_of_replaced_terms()
        self._apply_decisions(self._ack_tracker.record_status(status))
        change_futures, self._change_futures = self._change_futures, []
        for future in change_futures:
            if not future.done():
                future.set_result(None)

    def close(self):
        """Stop polling; a poll that is in flight still ends."""
        self._closed = True

    def dump(self):
        """Return the state of the group for the operators' interface."""
        now = self._loop.clock.now()
        return {
            "term": self.view.term,
            "primary": self.view.primary,
            "pending_writes": self._ack_tracker.pending_count,
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

    def _apply_decisions(self, decisions):
        for decision in decisions:
            future, write_mark = self._pending_writes_by_id.pop(decision.write_id)
            match decision:
                case acknowledgement.Acknowledge():
                    future.set_result(None)
                case acknowledgement.ReportUnknown(reason=reason):
                    error = errors.OutcomeUnknown(reason)
                    error.mark = write_mark
                    future.set_exception(error)

    def _poll_server(self, backend):
        last_status = None
        while not self._closed:
            started_at = self._loop.clock.now()
            try:
                last_status = yield backend.status(
                    last_status, POLL_WAIT_SECONDS, started_at + POLL_TIMEOUT_SECONDS
                )
            except errors.CassiahillError:
                last_status = None
                yield self._loop.sleep_until(started_at + RETRY_INTERVAL_SECONDS)
                continue
            self.record_status(last_status)
            if self._loop.clock.now() < started_at + MIN_POLL_INTERVAL_SECONDS:
                yield self._loop.sleep_until(started_at + MIN_POLL_INTERVAL_SECONDS)
