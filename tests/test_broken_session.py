"""Scenarios that the real modules pass and one broken version of each fails."""

import unittest

from tests import broken_session
from tests.session_model import FRESHNESS, Model
from tests.session_parts import Parts

OWN_WRITES, STATED_AGE, _ = FRESHNESS


def read_three_times(model, session, proxy, wanted):
    """Read often enough that each replica has its turn."""
    for _ in range(3):
        if model.read(session, proxy, "x", wanted):
            model.arrive()


def acknowledged_by_s2(model):
    """Write with one replica caught up and the other behind."""
    model.write(0, 0, "x")
    model.arrive()
    model.pull("s2")
    model.poll("s2", 0)
    model.deliver()


def own_write_at_another_proxy(model):
    """Read an own write where the proxy knows little."""
    acknowledged_by_s2(model)
    model.poll("s1", 1)
    model.deliver()
    read_three_times(model, 0, 1, OWN_WRITES)


def lagging_replica_answers_polls(model):
    """Read with a stated age while one replica lags 5 s."""
    acknowledged_by_s2(model)
    model.advance(5.0)
    for name in ("s1", "s3"):
        model.poll(name, 1)
        model.deliver()
    read_three_times(model, 1, 1, STATED_AGE)


def restart_after_poll(model):
    """Read an own write from a replica that lost it and follows again."""
    acknowledged_by_s2(model)
    model.poll("s1", 0)
    model.deliver()
    model.read(0, 0, "x")
    model.restart("s2")
    model.pull("s2", 2)
    model.arrive()


def late_attempt_after_resolve(model):
    """Resolve a delayed write; an earlier write has created the table."""
    model.write(1, 0, "y", "k")
    while model.calls:
        model.arrive()
    model.confirm()
    model.write(0, 0, "x", "k")
    model.delay()
    model.resolve(0, 0)
    while model.calls:
        model.arrive()
    model.confirm()
    model.run_late()


def retry_through_another_proxy(model):
    """Lose the answer of a write and send it again."""
    model.write(0, 0, "x", "k")
    while "items" not in str(model.calls[0].batch) or not model.keys_exist:
        model.arrive()  # Creates the table before the attempt that counts.
    model.arrive(answered=False)
    model.confirm(1)
    model.write(0, 1, "x", "k")
    while model.calls:
        model.arrive()
    model.confirm(1)


def promotion_drops_what_was_read(model):
    """Read a write that is then dropped."""
    model.write(0, 0, "x")
    model.arrive()
    model.advance(5.0)
    for name in ("s1", "s2"):
        model.poll(name, 0)
        model.deliver()
    read_three_times(model, 1, 0, STATED_AGE)
    model.promote(absent="s1")
    model.settle()
    read_three_times(model, 1, 0, OWN_WRITES)


class BrokenVersionsTest(unittest.TestCase):
    def check(self, scenario, broken, expected):
        for parts in (Parts(), broken):
            model = Model(parts)
            scenario(model)
            findings = model.finish()
            if parts is broken:
                self.assertIn(expected, str(findings))
            else:
                self.assertEqual(findings, [])
                self.assertTrue(model.recorder.operations)

    def test_marks_ignored(self):
        """Guards against a checker that misses a session's lost own write."""
        broken = Parts(
            policy=broken_session.MarksIgnored, view=broken_session.AnswersUnchecked
        )
        self.check(own_write_at_another_proxy, broken, "read-your-writes")

    def test_answers_not_checked(self):
        """Guards against a read from a replica that restarted after its last poll."""
        broken = Parts(view=broken_session.AnswersUnchecked)
        self.check(restart_after_poll, broken, "read-your-writes")

    def test_age_by_report_time(self):
        """Guards against a stated age that a replica's lag exceeds."""
        broken = Parts(view=broken_session.ReportTimeAge)
        self.check(lagging_replica_answers_polls, broken, "age 5.000 s")

    def test_no_closing_row(self):
        """Guards against a first attempt that runs after "not run" was reported."""
        broken = Parts(resolve=broken_session.resolve_without_closing)
        self.check(late_attempt_after_resolve, broken, "not run, but ran")

    def test_key_in_another_transaction(self):
        """Guards against a retry that runs the statement a second time."""
        broken = Parts(keyed_write=broken_session.keyed_write_in_two_transactions)
        self.check(retry_through_another_proxy, broken, "at most once")

    def test_suffix_not_checked(self):
        """Guards against a session that silently loses what it has seen."""
        broken = Parts(view=broken_session.SuffixUnchecked)
        self.check(promotion_drops_what_was_read, broken, "monotonic reads")
