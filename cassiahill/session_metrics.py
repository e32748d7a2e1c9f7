"""Counters and latency histograms of a session proxy.

``prometheus_client`` is imported only at the first scrape, because it takes 10 MB of
memory that a proxy without scrapes does not need.
"""

import bisect
import collections

BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class SessionMetrics:
    """Counters of a session proxy; the number of labels does not depend on clients."""

    def __init__(self):
        self.reply_counts_by_label = collections.Counter()
        self.refused_caller_counts_by_reason = collections.Counter()
        self._bucket_counts_by_priority = {}
        self._total_seconds_by_priority = collections.Counter()

    def count_reply(self, priority, outcome, seconds):
        """Count the reply to one request.

        Parameters
        ----------
        priority : int
        outcome : str
            ``ok`` or the value of a ``statements.Code``.
        seconds : float
            Time from receipt to reply.
        """
        self.reply_counts_by_label[priority, outcome] += 1
        bucket_counts = self._bucket_counts_by_priority.get(priority)
        if bucket_counts is None:
            bucket_counts = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
            self._bucket_counts_by_priority[priority] = bucket_counts
        bucket_counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self._total_seconds_by_priority[priority] += seconds

    def count_refused_caller(self, reason):
        """Count a session or statement that was refused because of who its caller is.

        Parameters
        ----------
        reason : caller_checks.RefusalReason
        """
        self.refused_caller_counts_by_reason[reason.value] += 1

    def render(self, gauges_by_name):
        """Return the metrics in the Prometheus text format.

        Parameters
        ----------
        gauges_by_name : dict of str to float

        Returns
        -------
        bytes
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_FamilyCollector(self._metric_families(gauges_by_name)))
        return generate_latest(registry)

    def _metric_families(self, gauges_by_name):
        from prometheus_client import metrics_core

        replies = metrics_core.CounterMetricFamily(
            "cassiahill_session_replies",
            "Answers to statements, by priority and outcome.",
            labels=("priority", "outcome"),
        )
        for (priority, outcome), count in sorted(self.reply_counts_by_label.items()):
            replies.add_metric((str(priority), outcome), count)
        refused_callers = metrics_core.CounterMetricFamily(
            "cassiahill_session_refused_callers",
            "Sessions and statements refused because of their callers, by reason.",
            labels=("reason",),
        )
        for reason, count in sorted(self.refused_caller_counts_by_reason.items()):
            refused_callers.add_metric((reason,), count)
        seconds = metrics_core.HistogramMetricFamily(
            "cassiahill_session_reply_seconds",
            "Time from receipt to answer, by priority.",
            labels=("priority",),
        )
        for priority, bucket_counts in sorted(self._bucket_counts_by_priority.items()):
            cumulative_count = 0
            cumulative_buckets = []
            for bound, count in zip(
                (*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"), bucket_counts, strict=True
            ):
                cumulative_count += count
                cumulative_buckets.append((bound, cumulative_count))
            seconds.add_metric(
                (str(priority),),
                cumulative_buckets,
                self._total_seconds_by_priority[priority],
            )
        gauges = [
            metrics_core.GaugeMetricFamily(f"cassiahill_session_{name}", name, value)
            for name, value in gauges_by_name.items()
        ]
        return [replies, refused_callers, seconds, *gauges]


class _FamilyCollector:
    """Collector of metric families that were built in advance."""

    def __init__(self, families):
        self._metric_families = families

    def collect(self):
        return self._metric_families
