"""Tests of ``cassiahill.session_metrics``."""

import pathlib
import re
import unittest

from prometheus_client.parser import text_string_to_metric_families

from cassiahill.caller_checks import RefusalReason
from cassiahill.session_metrics import SessionMetrics


class SessionMetricsTest(unittest.TestCase):
    def test_rendered_metrics_can_be_parsed(self):
        """Guards against wrong counts and text that Prometheus cannot parse."""
        metrics = SessionMetrics()
        for seconds in (0.001, 0.2, 9.0):
            metrics.count_reply(0, "ok", seconds)
        metrics.count_reply(1, "busy", 0.0)
        metrics.count_refused_caller(RefusalReason.RATE_LIMIT)
        text = metrics.render({"open_sessions": 7}).decode()
        samples = {
            (sample.name, tuple(sorted(sample.labels.items()))): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }
        ok = (("outcome", "ok"), ("priority", "0"))
        self.assertEqual(samples["cassiahill_session_replies_total", ok], 3)
        count = ("cassiahill_session_reply_seconds_count", (("priority", "0"),))
        self.assertEqual(samples[count], 3)
        refused = (
            "cassiahill_session_refused_callers_total",
            (("reason", "rate_limit"),),
        )
        self.assertEqual(samples[refused], 1)
        self.assertEqual(samples["cassiahill_session_open_sessions", ()], 7)

    def test_operations_page_lists_every_metric(self):
        """Guards against an undocumented metric."""
        metrics = SessionMetrics()
        metrics.count_reply(0, "ok", 0.1)
        text = metrics.render({}).decode()
        page = pathlib.Path("docs/OPERATIONS.md").read_text()
        for name in re.findall(r"^# TYPE (\w+)", text, re.M):
            self.assertIn(f"`{name}`", page)


if __name__ == "__main__":
    unittest.main()
