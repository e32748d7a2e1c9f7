"""Tests of ``cassiahill.loop_delay``."""

import unittest

from cassiahill import loop_delay
from tests.log_lines import captured_log_lines


class LoopDelayTest(unittest.TestCase):
    def test_late_run(self):
        """Guards against a process that stood still without a trace in its log."""
        delay = loop_delay.LoopDelay(10.0)
        with captured_log_lines() as lines:
            delay.record_run(10.0, 10.05)
            delay.record_run(12.55, 12.6)
        self.assertEqual(len(lines), 1)
        self.assertIn('"event":"loop_delayed","seconds":2.5', lines[0])

    def test_runs_on_time(self):
        """Guards against lines about delays that no request notices."""
        delay = loop_delay.LoopDelay(10.0)
        with captured_log_lines() as lines:
            for number in range(100):
                now = 10.0 + 0.1 * number
                delay.record_run(now, now + 0.05)
        self.assertEqual(lines, [])


if __name__ == "__main__":
    unittest.main()
