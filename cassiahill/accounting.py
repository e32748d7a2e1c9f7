"""Counts callers' requests when they end, for the metrics and the daily report."""

import time

from cassiahill import errors, figures, messages, metrics

OUTCOMES_BY_MAY_HAVE_RUN = {
    errors.MayHaveRun.NO: "not_run",
    errors.MayHaveRun.YES: "unknown",
    errors.MayHaveRun.UNKNOWN: "unknown",
}


class Accounting:
    """Counts the requests of one process.

    Parameters
    ----------
    clock_source : clock.Clock
        Measures the latencies.
    """

    def __init__(self, clock_source):
        self.metrics = metrics.Metrics()
        self._clock = clock_source
        self._figures = figures.FigureCollector(time.time())
        # Looking up the labels of a metric costs more than counting, so the counters
        # of all labels in use are kept.
        self._request_counters = {}
        self._read_counters = {
            read_from_replica: self.metrics.reads.labels(role, "yes")
            for read_from_replica, role in ((True, "replica"), (False, "primary"))
        }
        self._latency_histograms = {
            rank: self.metrics.request_seconds.labels(rank.name.lower())
            for rank in messages.Rank
        }

    def record_end(self, request, started_at, read_from_replica=None, error=None):
        """Count a request that has ended and record its latency.

        Parameters
        ----------
        request : messages.StatementRequest
        started_at : float
            Instant at which the request arrived, in seconds of the clock.
        read_from_replica : bool or None
            Whether a replica served a read; None for requests that are no reads.
        error : errors.CassiahillError or None
            None for a request that was done.
        """
        now = self._clock.now()
        outcome = (
            "done" if error is None else OUTCOMES_BY_MAY_HAVE_RUN[error.may_have_run]
        )
        rank = request.rank
        key = (rank, request.kind, outcome)
        counter = self._request_counters.get(key)
        if counter is None:
            counter = self._request_counters[key] = self.metrics.requests.labels(
                rank.name.lower(), request.kind, outcome
            )
        counter.inc()
        self._latency_histograms[rank].observe(now - started_at)
        if outcome == "not_run":
            self.metrics.refusals.labels(rank.name.lower(), error.code).inc()
        if read_from_replica is not None:
            self._read_counters[read_from_replica].inc()
        self._figures.count_request(
            time.time(),
            request.group,
            rank.name.lower(),
            outcome,
            now - started_at,
            late=error is None and now > request.deadline,
            read_from_replica=read_from_replica,
        )

    def take_figures(self):
        """Return the figures since the last call, for ``figures.FigurePublisher``."""
        return self._figures.take_batch(time.time())
