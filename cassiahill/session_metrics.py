"""Counters and latency histograms of a session proxy.

Counting needs no library; ``prometheus_client`` is imported at the first scrape,
because it takes 10 MB that a proxy without scrapes does not need.
"""

import bisect
import collections

BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class SessionMetrics:
    """What a session proxy counts; labels never grow with clients."""

    def __init__(self):
        self.replies_by_label = collections.Counter()
        self._buckets_by_priority = {}
        self._sums_by_priority = collections.Counter()

    def count_reply(self, priority, outcome, seconds):
        """Count the answer to one statement.

        Parameters
        ----------
        priority : int
        outcome : str
            ``ok`` or the value of a ``statements.Code``.
        seconds : float
        """
        self.replies_by_label[priority, outcome] += 1
        buckets = self._buckets_by_priority.get(priority)
        if buckets is None:
            buckets = [0] * (len(BOUNDS_SECONDS) + 1)
            self._buckets_by_priority[priority] = buckets
        buckets[bisect.bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self._sums_by_priority[priority] += seconds

    def render(self, gauges_by_name):
        """Return the metrics in the Prometheus text format.

        Parameters
        ----------
        gauges_by_name : dict of str to float
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Snapshot(self._families(gauges_by_name)))
        return generate_latest(registry)

    def _families(self, gauges_by_name):
        from prometheus_client import metrics_core

        replies = metrics_core.CounterMetricFamily(
            "cassiahill_session_replies",
            "Answers to statements, by priority and outcome.",
            labels=("priority", "outcome"),
        )
        for (priority, outcome), count in sorted(self.replies_by_label.items()):
            replies.add_metric((str(priority), outcome), count)
        seconds = metrics_core.HistogramMetricFamily(
            "cassiahill_session_reply_seconds",
            "Time from receipt to answer, by priority.",
            labels=("priority",),
        )
        for priority, buckets in sorted(self._buckets_by_priority.items()):
            total = 0
            cumulative = []
            for bound, count in zip(
                (*map(str, BOUNDS_SECONDS), "+Inf"), buckets, strict=True
            ):
                total += count
                cumulative.append((bound, total))
            seconds.add_metric(
                (str(priority),), cumulative, self._sums_by_priority[priority]
            )
        gauges = [
            metrics_core.GaugeMetricFamily(f"cassiahill_session_{name}", name, value)
            for name, value in gauges_by_name.items()
        ]
        return [replies, seconds, *gauges]


class _Snapshot:
    """A collector of families that were made beforehand."""

    def __init__(self, families):
        self._families = families

    def collect(self):
        return self._families
