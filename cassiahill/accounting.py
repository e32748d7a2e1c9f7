"""Counts the ends of callers' requests for metrics and the daily report."""

import time

from cassiahill import errors, figures, messages, metrics

OUTCOMES_BY_RUN = {
    errors.MayHaveRun.NO: "not_run",
    errors.MayHaveRun.YES: "unknown",
    errors.MayHaveRun.UNKNOWN: "unknown",
}


class Accounting:
    """Counters of one process.

    Parameters
    ----------
    clock_source : clock.Clock
    """

    def __init__(self, clock_source):
        self.metrics = metrics.Metrics()
        self._clock = clock_source
        self._figures = figures.FigureCollector(time.time())
        # Looking up labels costs more than counting, so their children are kept.
        self._counters_by_end = {}
        self._reads_by_replica = {
            replica: self.metrics.reads.labels(role, "yes")
            for replica, role in ((True, "replica"), (False, "primary"))
        }
        self._latencies_by_rank = {
            rank: self.metrics.request_seconds.labels(rank.name.lower())
            for rank in messages.Rank
        }

    def record_end(self, request, started_at, replica=None, error=None):
        """Count the end of a request.

        Parameters
        ----------
        request : messages.StatementRequest
        started_at : float
            Instant of arrival in seconds.
        replica : bool or None
            Whether a replica served a read; None for other requests.
        error : errors.CassiahillError or None
        """
        now = self._clock.now()
        outcome = "done" if error is None else OUTCOMES_BY_RUN[error.may_have_run]
        rank = request.rank
        key = (rank, request.kind, outcome)
        counter = self._counters_by_end.get(key)
        if counter is None:
            counter = self._counters_by_end[key] = self.metrics.requests.labels(
                rank.name.lower(), request.kind, outcome
            )
        counter.inc()
        self._latencies_by_rank[rank].observe(now - started_at)
        if outcome == "not_run":
            self.metrics.refusals.labels(rank.name.lower(), error.code).inc()
        if replica is not None:
            self._reads_by_replica[replica].inc()
        self._figures.count_request(
            time.time(),
            request.group,
            rank.name.lower(),
            outcome,
            now - started_at,
            late=error is None and now > request.deadline,
            replica=replica,
        )

    def take_figures(self):
        """Return the batch of figures since the last call."""
        return self._figures.take_batch(time.time())
