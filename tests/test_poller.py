"""Tests of ``cassiahill.poller``."""

import unittest

from cassiahill import errors, loop, poller, settings
from tests import builders, simulated_backend


class UnansweringBackend:
    """Backend that never answers a status poll."""

    def status(self, _known_status, _max_wait_seconds, _deadline):
        """Return a future that never completes."""
        return loop.LoopFuture()


class GroupMonitorTest(unittest.TestCase):
    def setUp(self):
        self.loop = simulated_backend.SimulatedLoop()
        self.addCleanup(self.loop.close)
        servers = {
            name: settings.ServerSettings(name, "g", ("127.0.0.1", 1), "a", 3, 25)
            for name in ("s1", "s2", "s3")
        }
        self.monitor = poller.GroupMonitor(
            self.loop,
            settings.GroupSettings("g", servers),
            dict.fromkeys(servers, UnansweringBackend()),
        )
        self.monitor.record_status(builders.status("s1", role="primary", position=1))

    def test_pending_write_fails_when_its_term_is_replaced(self):
        """Guards against a caller that waits for a primary that was replaced."""
        answer = loop.LoopFuture()
        bounded = self.monitor.fail_when_term_ends(answer, 1)
        # The failover driver's probes update the view without calling the monitor.
        self.monitor.view.record_status(builders.status("s2", term=2, sent_at=1.0))
        self.assertFalse(bounded.done())
        self.monitor.record_status(builders.status("s3", term=2, sent_at=1.0))
        self.assertIsInstance(bounded.exception(), errors.OutcomeUnknown)
        answer.set_result("late")
        self.assertIsInstance(bounded.exception(), errors.OutcomeUnknown)

    def test_answer_within_its_term_is_passed_on(self):
        """Guards against an answer that is lost although its term still holds."""
        answer = loop.LoopFuture()
        bounded = self.monitor.fail_when_term_ends(answer, 1)
        answer.set_result("answer")
        self.assertEqual(bounded.result(), "answer")

    def test_unknown_outcome_carries_the_mark_of_the_write(self):
        """Guards against a later read of the session that misses the write.

        The write may have run although its acknowledgement timed out, so the error
        carries its term and position for the session's token.
        """
        deadline = self.loop.clock.now() + 1.0
        acknowledged = self.monitor.wait_for_acknowledgement("s1", 1, 7, deadline)
        self.loop.run_for(1.1)
        self.assertIsInstance(acknowledged.exception(), errors.OutcomeUnknown)
        self.assertEqual(acknowledged.exception().mark, (1, 7))
