"""Metrics of a process in the Prometheus text format.

``docs/OPERATIONS.md`` lists every name and label; a test compares it with this module.
"""

import prometheus_client
from prometheus_client import Counter, Gauge, Histogram

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()
LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class Metrics:
    """All metrics of one process, in a separate Prometheus registry.

    No label holds callers, sessions or keys, because their number is not bounded and
    each value of a label adds a time series.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._new_metric(
            Counter,
            "cassiahill_requests_total",
            "Requests of callers that ended.",
            "rank kind outcome",
        )
        self.request_seconds = self._new_metric(
            Histogram,
            "cassiahill_request_seconds",
            "Time from receipt to answer.",
            "rank",
            LATENCY_BUCKETS_SECONDS,
        )
        self.refusals = self._new_metric(
            Counter,
            "cassiahill_refusals_total",
            "Requests that were refused without running, by error code.",
            "rank code",
        )
        self.reads = self._new_metric(
            Counter,
            "cassiahill_reads_total",
            "Reads by the role of the server that answered (replica, primary) and by "
            "whether a replica was allowed to (yes, no).",
            "role eligible",
        )
        self.forwarded = self._new_metric(
            Counter,
            "cassiahill_forwarded_total",
            "Requests for the owner of a backend server (sent, refused here).",
            "result",
        )
        self.promotions = self._new_metric(
            Counter,
            "cassiahill_promotions_total",
            "Promotions that this process finished.",
            "group result",
        )
        self.platform_calls = self._new_metric(
            Counter,
            "cassiahill_platform_calls_total",
            "Calls to the platform (watches, claims) and failed ones (failures).",
            "call",
        )
        self.connections = self._new_metric(
            Gauge,
            "cassiahill_connections",
            "Open connections by side (caller, backend).",
            "side",
        )
        self.queue_length = self._new_metric(
            Gauge,
            "cassiahill_queue_length",
            "Requests that wait for a slot of an owned backend server.",
            "server rank",
        )
        self.replica_age_seconds = self._new_metric(
            Gauge,
            "cassiahill_replica_age_seconds",
            "Upper bound of the age of a server's data.",
            "server",
        )
        self.term = self._new_metric(
            Gauge, "cassiahill_term", "Highest known term of a group.", "group"
        )
        self.members = self._new_metric(
            Gauge, "cassiahill_members", "Known proxies by state.", "state"
        )
        self.generation = self._new_metric(
            Gauge,
            "cassiahill_configuration_generation",
            "Generation of the configuration in use.",
        )
        self.draining = self._new_metric(
            Gauge, "cassiahill_draining", "1 while the process drains, else 0."
        )

    def _new_metric(self, metric_class, name, documentation, labels="", buckets=None):
        """Return a new metric in the registry; ``labels`` are separated by blanks."""
        options = {} if buckets is None else {"buckets": buckets}
        return metric_class(
            name, documentation, labels.split(), registry=self.registry, **options
        )

    def exposition(self):
        """Return all metrics in the text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)


def reference():
    """Return the table of all metrics as Markdown for ``docs/OPERATIONS.md``."""
    lines = ["| metric | type | labels | meaning |", "| --- | --- | --- | --- |"]
    for metric in vars(Metrics()).values():
        if isinstance(metric, Counter | Gauge | Histogram):
            (family,) = metric.describe()
            suffix = "_total" if family.type == "counter" else ""
            labels = ", ".join(f"`{label}`" for label in metric._labelnames)
            lines.append(
                f"| `{family.name}{suffix}` | {family.type} | {labels} "
                f"| {family.documentation} |"
            )
    return "\n".join(lines) + "\n"
