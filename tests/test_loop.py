"""Tests of ``cassiahill.loop`` for work that fails."""

import unittest

from cassiahill import errors
from tests.stepped_loop import SteppedLoop


class RepeatedWorkTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.runs = []

    def work(self):
        """Fail on the second run."""
        self.runs.append(self.loop.clock.now())
        if len(self.runs) == 2:
            raise ZeroDivisionError
        return self.loop.clock.now() + 1.0

    def test_work_goes_on_after_an_unexpected_error(self):
        """Guards against heartbeats or probes that one error ends for good.

        The timer was set at the end of the work, so that an error left none.
        """
        self.loop.repeat(self.loop.clock.now(), self.work)
        with self.assertLogs("absl", "ERROR") as logs:
            self.loop.advance(5.0)
        self.assertGreaterEqual(len(self.runs), 5)
        self.assertIn("repeated_work_failed", logs.output[0])

    def test_cancelled_work_does_not_run(self):
        """Guards against work of a closed object, also when it cancels itself."""
        timer = self.loop.repeat(self.loop.clock.now(), self.work)
        self.loop.advance(0.5)
        timer.cancel()
        self.loop.advance(5.0)
        self.assertEqual(len(self.runs), 1)


class FailedTaskTest(unittest.TestCase):
    def fail(self, error):
        raise error
        yield

    def test_unexpected_error_of_a_task_is_logged(self):
        """Guards against a background task that ends without a trace."""
        loop = SteppedLoop()
        with self.assertLogs("absl", "ERROR"):
            future = loop.spawn(self.fail(ZeroDivisionError()))
        self.assertIsInstance(future.exception(), ZeroDivisionError)

    def test_expected_error_of_a_task_is_not_logged(self):
        """Guards against log lines for each answer that does not come."""
        with self.assertNoLogs("absl", "ERROR"):
            SteppedLoop().spawn(self.fail(errors.ConnectionLost("closed")))


if __name__ == "__main__":
    unittest.main()
