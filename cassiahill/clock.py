"""Monotonic clocks."""

import time


class Clock:
    """Source of monotonic time."""

    def now(self):
        """Return the current instant in seconds; only differences have meaning."""
        raise NotImplementedError


class SystemClock(Clock):
    """The monotonic clock of the operating system."""

    def now(self):
        """Return ``time.monotonic()``."""
        return time.monotonic()


class BootClock(Clock):
    """The clock of the operating system that also counts time spent suspended.

    Ages of what a process knows go on growing while its machine is suspended.
    """

    def now(self):
        """Return ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that tests move by hand.

    Parameters
    ----------
    start : float
        First instant in seconds.
    """

    def __init__(self, start=1000.0):
        self._now = start

    def now(self):
        """Return the instant set last."""
        return self._now

    def advance(self, seconds):
        """Move the clock forward and return the new instant."""
        self._now += seconds
        return self._now
