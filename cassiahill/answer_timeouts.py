"""How long the answers of one backend server are awaited."""

# An answer is awaited for this long, or for a multiple of the slowest recent one, so
# that a connection without answers does not hold its caller up to the deadline.
MIN_ANSWER_TIMEOUT_SECONDS = 1.0
SLOWEST_ANSWER_MULTIPLE = 8.0
SLOWEST_ANSWER_DECAY = 0.995  # factor per answer


class AnswerTimeout:
    """Time-out of an answer, from the slowest recent answers."""

    def __init__(self):
        self._slowest_answer_seconds = 0.0

    @property
    def seconds(self):
        """Time in seconds after which an answer is given up."""
        return max(
            MIN_ANSWER_TIMEOUT_SECONDS,
            SLOWEST_ANSWER_MULTIPLE * self._slowest_answer_seconds,
        )

    def record_answer(self, answer_seconds):
        """Record the time that an answer took."""
        self._slowest_answer_seconds = max(
            answer_seconds, self._slowest_answer_seconds * SLOWEST_ANSWER_DECAY
        )

    def record_missing_answer(self, waited_seconds):
        """Record how long an answer was awaited that did not come.

        This doubles the next time-out, so that statements that need longer get through.
        """
        self._slowest_answer_seconds = max(
            self._slowest_answer_seconds, 2 * waited_seconds / SLOWEST_ANSWER_MULTIPLE
        )
