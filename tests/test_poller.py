"""Tests of ``cassiahill.poller``."""

import unittest

from cassiahill import errors, loop, poller, settings
from tests import builders, simulated_backend


class SilentBackend:
    """Backend whose polls are never answered."""

    def status(self, _known, _wait, _deadline):
        """Return a future that stays open."""
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
            dict.fromkeys(servers, SilentBackend()),
        )
        self.monitor.record_status(builders.status("s1", role="primary", position=1))

    def test_pending_write_ends_with_its_term(self):
        """Guards against a caller that waits for a primary that was replaced."""
        pending = loop.LoopFuture()
        guarded = self.monitor.fail_when_term_ends(pending, 1)
        # The failover driver's probes move the view without the monitor.
        self.monitor.view.record_status(builders.status("s2", term=2, sent_at=1.0))
        self.assertFalse(guarded.done())
        self.monitor.record_status(builders.status("s3", term=2, sent_at=1.0))
        self.assertIsInstance(guarded.exception(), errors.OutcomeUnknown)
        pending.set_result("late")
        self.assertIsInstance(guarded.exception(), errors.OutcomeUnknown)

    def test_answer_in_its_term_is_passed_on(self):
        """Guards against a guard that loses answers."""
        pending = loop.LoopFuture()
        guarded = self.monitor.fail_when_term_ends(pending, 1)
        pending.set_result("answer")
        self.assertEqual(guarded.result(), "answer")

    def test_unknown_outcome_names_the_mark_of_the_write(self):
        """Guards against a session that skips its own write of unknown outcome."""
        deadline = self.loop.clock.now() + 1.0
        confirmed = self.monitor.wait_for_acknowledgement("s1", 1, 7, deadline)
        self.loop.run_for(1.1)
        self.assertIsInstance(confirmed.exception(), errors.OutcomeUnknown)
        self.assertEqual(confirmed.exception().mark, (1, 7))
