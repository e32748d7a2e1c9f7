"""Tests of ``cassiahill.metrics``."""

import pathlib
import unittest

from prometheus_client.parser import text_string_to_metric_families

from cassiahill import metrics


class MetricsTest(unittest.TestCase):
    def test_exposition(self):
        """Guards against an exposition that a monitoring system cannot read."""
        process_metrics = metrics.Metrics()
        process_metrics.requests.labels("urgent", "write", "done").inc(2)
        process_metrics.request_seconds.labels("urgent").observe(0.004)
        families = text_string_to_metric_families(process_metrics.exposition().decode())
        values = {
            (sample.name, sample.labels.get("le")): sample.value
            for family in families
            for sample in family.samples
        }
        self.assertEqual(values["cassiahill_requests_total", None], 2)
        self.assertEqual(values["cassiahill_request_seconds_bucket", "0.005"], 1)

    def test_instances_are_independent(self):
        """Guards against metrics in the library's global registry."""
        first, second = metrics.Metrics(), metrics.Metrics()
        first.generation.set(3)
        self.assertNotEqual(first.exposition(), second.exposition())

    def test_reference(self):
        """Guards against an operations page that differs from the metrics."""
        page = pathlib.Path("docs/OPERATIONS.md").read_text()
        self.assertIn(metrics.reference(), page)
