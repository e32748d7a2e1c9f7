"""Tests of ``cassiahill.answer_timeouts``."""

import unittest

from cassiahill import answer_timeouts
from cassiahill.answer_timeouts import AnswerTimeout


class AnswerTimeoutTest(unittest.TestCase):
    def test_slow_answers_prolong_the_timeout(self):
        """Guards against statements that are given up although they make progress."""
        timeout = AnswerTimeout()
        timeout.record_answer(0.01)
        self.assertEqual(timeout.seconds, answer_timeouts.MIN_ANSWER_TIMEOUT_SECONDS)
        timeout.record_answer(1.0)
        self.assertEqual(timeout.seconds, answer_timeouts.SLOWEST_ANSWER_MULTIPLE)

    def test_timeout_falls_after_fast_answers(self):
        """Guards against a long wait because of one slow answer long ago."""
        timeout = AnswerTimeout()
        timeout.record_answer(1.0)
        for _ in range(1000):
            timeout.record_answer(0.01)
        self.assertEqual(timeout.seconds, answer_timeouts.MIN_ANSWER_TIMEOUT_SECONDS)

    def test_missing_answer_doubles_the_timeout(self):
        """Guards against a statement that is given up each time for being slow."""
        timeout = AnswerTimeout()
        waited_seconds = timeout.seconds
        timeout.record_missing_answer(waited_seconds)
        self.assertEqual(timeout.seconds, 2 * waited_seconds)


if __name__ == "__main__":
    unittest.main()
