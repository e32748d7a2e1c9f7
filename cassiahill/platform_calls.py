"""When calls to the platform may start: a budget of calls in flight, and backoff."""

import attrs

MAX_IN_FLIGHT = 4
# A fleet of 4,200 proxies that all retry with a mean delay of 15 s makes 280 calls a
# second, within the platform's several hundred writes and two thousand reads a second.
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_CAP_SECONDS = 30.0


@attrs.define
class CallBudget:
    """Budget of the calls of one process; it shrinks to one call while calls fail.

    A failure sets the instant of the next attempt with full jitter: a uniform share of
    a limit that doubles with each failure in a row. After the first success the budget
    grows by one call for each success, so that the calls that waited during an outage
    are not all sent at once.

    Attributes
    ----------
    limit : int
        Most calls in flight in good times.
    base, cap : float
        First and highest limit of the delay, in seconds.
    """

    limit: int = MAX_IN_FLIGHT
    base: float = BACKOFF_BASE_SECONDS
    cap: float = BACKOFF_CAP_SECONDS
    in_flight: int = 0
    failures: int = 0
    next_attempt: float = 0.0
    _allowed: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._allowed = self.limit

    def try_start(self, now):
        """Count a call as started if one may start now; return whether it may."""
        if self.in_flight >= self._allowed or now < self.next_attempt:
            return False
        self.in_flight += 1
        return True

    def ended(self):
        """Give the place of a started call back."""
        self.in_flight -= 1

    def succeeded(self):
        """Record that a call was answered, whatever its status."""
        self.failures = 0
        self._allowed = min(self.limit, self._allowed + 1)

    def failed(self, now, uniform):
        """Record a call without an answer.

        Parameters
        ----------
        now : float
            Instant in seconds.
        uniform : float
            A random number from 0 to 1.
        """
        ceiling = min(self.cap, self.base * 2 ** min(self.failures, 30))
        self.failures += 1
        self._allowed = 1
        self.next_attempt = max(self.next_attempt, now + uniform * ceiling)
