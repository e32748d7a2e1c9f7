"""Tests of ``cassiahill.retries``."""

import itertools
import unittest

import attrs

from cassiahill import errors, retries
from cassiahill.retries import Attempt, RetryAt, Stop

WRITE = Attempt("write", False, None, True, 0, 10.0)


class RetriesTest(unittest.TestCase):
    def decide_retry(self, error, now=1.0, budget=None, **changes):
        attempt = attrs.evolve(WRITE, **changes)
        budget = budget or retries.RetryBudget()
        return retries.decide_retry(attempt, error, budget, now, 0.5)

    def test_write_that_is_not_repeatable_is_never_sent_twice(self):
        """Guards against a payment that runs twice, for each error and key."""
        for cls, key in itertools.product(errors.by_code().values(), (None, "k")):
            self.assertIsInstance(
                self.decide_retry(cls("x", retry_after=0), key=key), Stop
            )
        unsent = self.decide_retry(errors.BackendUnavailable(), sent=False)
        self.assertIsInstance(unsent, RetryAt)

    def test_repeatable_write_needs_a_key_after_an_unknown_outcome(self):
        """Guards against repetitions without a key, and against needless stops."""
        lost = errors.ConnectionLost()
        self.assertIsInstance(self.decide_retry(lost, repeatable=True), Stop)
        keyed = self.decide_retry(lost, repeatable=True, key="k")
        self.assertIsInstance(keyed, RetryAt)
        self.assertIsInstance(
            self.decide_retry(errors.StaleTerm(), repeatable=True), RetryAt
        )
        self.assertIsInstance(self.decide_retry(lost, kind="read"), RetryAt)

    def test_stops_at_the_deadline_and_for_lasting_errors(self):
        """Guards against retries that nobody waits for or that cannot help."""
        late = self.decide_retry(errors.ConnectionLost(), kind="read", now=9.995)
        self.assertIsInstance(late, Stop)
        wrong = self.decide_retry(errors.StatementFailed(), kind="read")
        self.assertIsInstance(wrong, Stop)

    def test_budget_is_a_tenth_of_the_requests(self):
        """Guards against retries that multiply the load of a fault."""
        budget = retries.RetryBudget(start=0)
        taken = 0
        for _ in range(1000):
            budget.record_request()
            for number in range(3):
                error = errors.ConnectionLost()
                decision = self.decide_retry(
                    error, budget=budget, kind="read", number=number
                )
                taken += isinstance(decision, RetryAt)
        self.assertIn(taken, (99, 100))
        for _ in range(100_000):
            budget.record_request()
        self.assertLessEqual(budget.available, retries.BUDGET_CAP)

    def test_backoff_doubles_with_full_jitter(self):
        """Guards against retries in step, and against endless pauses."""
        self.assertEqual(retries.backoff_seconds(0, 0.0), 0.0)
        self.assertEqual(retries.backoff_seconds(2, 0.5), 0.04)
        self.assertLessEqual(
            retries.backoff_seconds(10_000, 0.999), retries.BACKOFF_CAP
        )
        after = self.decide_retry(errors.Overloaded(retry_after=0.3), kind="read")
        self.assertAlmostEqual(after.at, 1.31)
