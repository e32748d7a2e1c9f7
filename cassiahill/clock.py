"""Monotonic clocks."""

import time


class Clock:
    """Interface of a monotonic clock."""

    def now(self):
        """Return the current time in seconds; only differences are meaningful."""
        raise NotImplementedError


class SystemClock(Clock):
    """The monotonic clock of the operating system."""

    def now(self):
        """Return ``time.monotonic()``."""
        return time.monotonic()


class BootClock(Clock):
    """The clock of the operating system that also runs while the host is suspended.

    The ages of replica statuses and of position samples are measured with this clock,
    because they must also grow while the host is suspended.
    """

    def now(self):
        """Return ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that tests move by hand.

    Parameters
    ----------
    start : float
        Initial time in seconds.
    """

    def __init__(self, start=1000.0):
        self._now = start

    def now(self):
        """Return the time that was set last."""
        return self._now

    def advance(self, seconds):
        """Move the clock forward and return the new time."""
        self._now += seconds
        return self._now
