"""Limit of the calls in flight to the platform, with backoff after failures."""

import attrs

MAX_CALLS_IN_FLIGHT = 4
FIRST_BACKOFF_SECONDS = 0.1
# At this limit the mean delay is 15 s, so a fleet of 4,200 proxies that all retry makes
# 280 calls a second. The platform serves several hundred writes and two thousand reads
# a second.
MAX_BACKOFF_SECONDS = 30.0


@attrs.define
class CallLimiter:
    """Decides when a call of this process may start.

    A failed call lowers the limit of calls in flight to one and delays the next attempt
    by a backoff with full jitter: a random fraction of a bound that doubles with each
    failure in a row. Each answered call raises the limit by one again, so that the
    calls that waited during an outage are not all sent at once.

    Attributes
    ----------
    max_in_flight : int
        Limit of the calls in flight while no call fails.
    first_backoff_seconds, max_backoff_seconds : float
        Bound of the delay after the first failure, and its largest value, in seconds.
    in_flight : int
        Calls that have started and not ended.
    consecutive_failures : int
    next_attempt_at : float
        Instant in seconds before which no call may start.
    """

    max_in_flight: int = MAX_CALLS_IN_FLIGHT
    first_backoff_seconds: float = FIRST_BACKOFF_SECONDS
    max_backoff_seconds: float = MAX_BACKOFF_SECONDS
    in_flight: int = 0
    consecutive_failures: int = 0
    next_attempt_at: float = 0.0
    _current_limit: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._current_limit = self.max_in_flight

    def try_start(self, now):
        """Count a call as started if one may start now; return whether it may."""
        if self.in_flight >= self._current_limit or now < self.next_attempt_at:
            return False
        self.in_flight += 1
        return True

    def record_end(self):
        """Stop counting a call as in flight."""
        self.in_flight -= 1

    def record_success(self):
        """Record that a call was answered, whatever its status."""
        self.consecutive_failures = 0
        self._current_limit = min(self.max_in_flight, self._current_limit + 1)

    def record_failure(self, now, random_fraction):
        """Record a call without an answer.

        Parameters
        ----------
        now : float
            Instant in seconds.
        random_fraction : float
            A random number from 0 to 1.
        """
        delay_bound_seconds = min(
            self.max_backoff_seconds,
            self.first_backoff_seconds * 2 ** min(self.consecutive_failures, 30),
        )
        self.consecutive_failures += 1
        self._current_limit = 1
        self.next_attempt_at = max(
            self.next_attempt_at, now + random_fraction * delay_bound_seconds
        )
