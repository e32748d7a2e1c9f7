"""Slot time and service times of one rank, without I/O."""

BUCKETS = 50
SERVICE_WEIGHT = 0.1  # weight of the newest sample in the mean service time
SERVICE_HALF_LIFE = 1.0  # seconds without a sample after which the mean is halved


class SlotTime:
    """Slot time that one rank used in a sliding window, in buckets of a fixed width.

    Parameters
    ----------
    window : float
        Length in seconds. The oldest bucket is dropped whole, so that the total covers
        the last 98 to 100 % of the window.
    """

    def __init__(self, window):
        self._width = window / BUCKETS
        self._buckets = [0.0] * BUCKETS
        self._newest = 0
        self._total = 0.0

    def add(self, start, end):
        """Count a statement that ran from ``start`` to ``end``."""
        self._advance(end)
        oldest = max(int(start / self._width), self._newest - BUCKETS + 1)
        for index in range(oldest, self._newest + 1):
            begin = max(start, index * self._width)
            part = min(end, (index + 1) * self._width) - begin
            if part > 0:
                self._buckets[index % BUCKETS] += part
                self._total += part

    def total(self, now):
        """Return the slot time in seconds."""
        self._advance(now)
        return self._total

    def _advance(self, now):
        index = int(now / self._width)
        if index <= self._newest:
            return
        oldest_new = max(self._newest + 1, index - BUCKETS + 1)
        for new in range(oldest_new, index + 1):
            self._buckets[new % BUCKETS] = 0.0
        self._newest = index
        self._total = sum(self._buckets)


class ServiceTime:
    """Mean service time of one rank.

    The mean is halved when no sample arrives for a while; otherwise one slow statement
    could make all later work look hopeless, and no new sample would correct it.
    """

    def __init__(self):
        self._mean = 0.0
        self._sampled_at = None

    def add(self, duration, now):
        """Take the service time of a statement that finished now."""
        if self._sampled_at is None:
            self._mean = duration
        else:
            self._mean += SERVICE_WEIGHT * (duration - self._mean)
        self._sampled_at = now

    def mean(self, now):
        """Return the mean in seconds; 0 before the first sample."""
        if self._mean and now - self._sampled_at > SERVICE_HALF_LIFE:
            self._mean /= 2
            self._sampled_at = now
        return self._mean
