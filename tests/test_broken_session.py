"""Scenarios that the real components pass and a broken version fails."""

import unittest

from tests import broken_session
from tests.session_model import FRESHNESS_CHOICES, SessionModel
from tests.session_parts import Components

OWN_WRITES, MAX_AGE, _ = FRESHNESS_CHOICES


def read_three_times(model, session_index, proxy_index, freshness):
    """Send as many reads as there are servers, so that each replica gets one."""
    for _ in range(3):
        if model.read(session_index, proxy_index, "x", freshness):
            model.complete_batch()


def write_confirmed_by_s2(model):
    """Write a value that s2 has and confirms, and s3 lacks."""
    model.write(0, 0, "x")
    model.complete_batch()
    model.pull("s2")
    model.poll("s2", 0)
    model.deliver_status()


def own_write_at_another_proxy(model):
    """Read an own write at a proxy that has polled only the primary since."""
    write_confirmed_by_s2(model)
    model.poll("s1", 1)
    model.deliver_status()
    read_three_times(model, 0, 1, OWN_WRITES)


def lagging_replica_answers_polls(model):
    """Read with a maximum age while one replica lags 5 s."""
    write_confirmed_by_s2(model)
    model.advance_time(5.0)
    for name in ("s1", "s3"):
        model.poll(name, 1)
        model.deliver_status()
    read_three_times(model, 1, 1, MAX_AGE)


def restart_after_poll(model):
    """Read an own write from a replica that lost it in a restart since its poll."""
    write_confirmed_by_s2(model)
    model.poll("s1", 0)
    model.deliver_status()
    model.read(0, 0, "x")
    model.restart("s2")
    model.pull("s2", 2)
    model.complete_batch()


def delayed_attempt_after_resolve(model):
    """Resolve a delayed write after an earlier write has created the key table."""
    model.write(1, 0, "y", "k")
    while model.sent_requests:
        model.complete_batch()
    model.confirm_replication()
    model.write(0, 0, "x", "k")
    model.delay_batch()
    model.resolve(0, 0)
    while model.sent_requests:
        model.complete_batch()
    model.confirm_replication()
    model.run_delayed_batch()


def retry_through_another_proxy(model):
    """Lose the answer of a write and send the write again through another proxy."""
    model.write(0, 0, "x", "k")
    while (
        "items" not in str(model.sent_requests[0].batch) or not model.key_table_exists
    ):
        model.complete_batch()  # Creates the key table before the write is attempted.
    model.complete_batch(answered=False)
    model.confirm_replication(1)
    model.write(0, 1, "x", "k")
    while model.sent_requests:
        model.complete_batch()
    model.confirm_replication(1)


def promotion_drops_read_write(model):
    """Read a write, and read again after a promotion has dropped it."""
    model.write(0, 0, "x")
    model.complete_batch()
    model.advance_time(5.0)
    for name in ("s1", "s2"):
        model.poll(name, 0)
        model.deliver_status()
    read_three_times(model, 1, 0, MAX_AGE)
    model.promote(unreachable_name="s1")
    model.catch_up_all()
    read_three_times(model, 1, 0, OWN_WRITES)


class BrokenVersionsTest(unittest.TestCase):
    def check(self, scenario, broken_components, expected_finding):
        for components in (Components(), broken_components):
            model = SessionModel(components)
            scenario(model)
            findings = model.finish_and_check()
            if components is broken_components:
                self.assertIn(expected_finding, str(findings))
            else:
                self.assertEqual(findings, [])
                self.assertTrue(model.recorder.operations)

    def test_session_marks_ignored(self):
        """Guards against a history check that misses a session's lost own write."""
        broken_components = Components(
            policy=broken_session.MarkIgnoringPolicy,
            view=broken_session.UncheckedAnswerView,
        )
        self.check(own_write_at_another_proxy, broken_components, "read-your-writes")

    def test_answers_not_checked(self):
        """Guards against a read from a replica that restarted after its last poll."""
        broken_components = Components(view=broken_session.UncheckedAnswerView)
        self.check(restart_after_poll, broken_components, "read-your-writes")

    def test_age_since_last_report(self):
        """Guards against a stated age that is less than the replica's real lag."""
        broken_components = Components(view=broken_session.AgeSinceReportView)
        self.check(lagging_replica_answers_polls, broken_components, "age 5.000 s")

    def test_key_not_closed(self):
        """Guards against a first attempt that runs after "not run" was reported."""
        broken_components = Components(resolve=broken_session.resolve_without_closing)
        self.check(delayed_attempt_after_resolve, broken_components, "not run, but ran")

    def test_key_in_separate_transaction(self):
        """Guards against a retry that runs the statement a second time."""
        broken_components = Components(
            keyed_write=broken_session.keyed_write_in_two_transactions
        )
        self.check(retry_through_another_proxy, broken_components, "at most once")

    def test_suffix_not_checked(self):
        """Guards against a session that loses data it has read without an error."""
        broken_components = Components(view=broken_session.UncheckedSuffixView)
        self.check(promotion_drops_read_write, broken_components, "monotonic reads")
