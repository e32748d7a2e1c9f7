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
        """Guards against a write that runs twice, for each error and key."""
        for error_type, key in itertools.product(
            errors.by_code().values(), (None, "k")
        ):
            self.assertIsInstance(
                self.decide_retry(error_type("x", retry_after=0), key=key), Stop
            )
        unsent = self.decide_retry(errors.BackendUnavailable(), sent=False)
        self.assertIsInstance(unsent, RetryAt)

    def test_repeatable_write_needs_a_key_after_an_unknown_outcome(self):
        """Guards against unsafe repetitions without a key, and needless refusals."""
        connection_lost = errors.ConnectionLost()
        self.assertIsInstance(self.decide_retry(connection_lost, repeatable=True), Stop)
        keyed = self.decide_retry(connection_lost, repeatable=True, key="k")
        self.assertIsInstance(keyed, RetryAt)
        self.assertIsInstance(
            self.decide_retry(errors.StaleTerm(), repeatable=True), RetryAt
        )
        self.assertIsInstance(self.decide_retry(connection_lost, kind="read"), RetryAt)

    def test_no_retry_after_the_deadline_or_a_permanent_error(self):
        """Guards against retries after the deadline or that fail in the same way."""
        late_decision = self.decide_retry(
            errors.ConnectionLost(), kind="read", now=9.995
        )
        self.assertIsInstance(late_decision, Stop)
        refused_statement_decision = self.decide_retry(
            errors.StatementFailed(), kind="read"
        )
        self.assertIsInstance(refused_statement_decision, Stop)

    def test_answer_that_is_too_large(self):
        """Guards against long reads that run again and again for nothing.

        A write with a key is repeated: the answer is then its row count.
        """
        error = errors.ResponseTooLarge()
        self.assertIsInstance(self.decide_retry(error, kind="read"), Stop)
        self.assertIsInstance(
            self.decide_retry(error, repeatable=True, key="k"), RetryAt
        )

    def test_budget_is_a_tenth_of_the_requests(self):
        """Guards against retries that multiply the load during a fault."""
        budget = retries.RetryBudget(initial_retries=0)
        retry_count = 0
        for _ in range(1000):
            budget.record_request()
            for attempt_number in range(3):
                error = errors.ConnectionLost()
                decision = self.decide_retry(
                    error, budget=budget, kind="read", attempt_number=attempt_number
                )
                retry_count += isinstance(decision, RetryAt)
        self.assertIn(retry_count, (99, 100))
        for _ in range(100_000):
            budget.record_request()
        self.assertLessEqual(budget.available_retries, retries.MAX_SAVED_RETRIES)

    def test_backoff_doubles_with_full_jitter(self):
        """Guards against synchronised retries and unbounded pauses."""
        self.assertEqual(retries.backoff_seconds(0, 0.0), 0.0)
        self.assertEqual(retries.backoff_seconds(2, 0.5), 0.04)
        self.assertLessEqual(
            retries.backoff_seconds(10_000, 0.999), retries.MAX_BACKOFF_SECONDS
        )
        delayed_decision = self.decide_retry(
            errors.Overloaded(retry_after=0.3), kind="read"
        )
        self.assertAlmostEqual(delayed_decision.at, 1.31)
