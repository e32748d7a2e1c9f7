"""Slot time and service times of one rank, without I/O."""

BUCKET_COUNT = 50
SAMPLE_WEIGHT = 0.1  # weight of the newest sample in the mean service time
MEAN_HALF_LIFE_SECONDS = 1.0  # seconds without a sample after which the mean is halved


class SlotTime:
    """Slot time that one rank used in a sliding window, in buckets of a fixed width.

    Parameters
    ----------
    window_seconds : float
        Length in seconds. The oldest bucket is dropped whole, so that the total covers
        the last 98 to 100 % of the window.
    """

    def __init__(self, window_seconds):
        self._bucket_seconds = window_seconds / BUCKET_COUNT
        self._buckets = [0.0] * BUCKET_COUNT
        self._newest_bucket = 0
        self._total_seconds = 0.0

    def add(self, start, end):
        """Count a statement that ran from ``start`` to ``end``."""
        self._advance(end)
        oldest_bucket = max(
            int(start / self._bucket_seconds), self._newest_bucket - BUCKET_COUNT + 1
        )
        for index in range(oldest_bucket, self._newest_bucket + 1):
            overlap_start = max(start, index * self._bucket_seconds)
            overlap = min(end, (index + 1) * self._bucket_seconds) - overlap_start
            if overlap > 0:
                self._buckets[index % BUCKET_COUNT] += overlap
                self._total_seconds += overlap

    def total(self, now):
        """Return the slot time in seconds."""
        self._advance(now)
        return self._total_seconds

    def _advance(self, now):
        index = int(now / self._bucket_seconds)
        if index <= self._newest_bucket:
            return
        oldest_bucket = max(self._newest_bucket + 1, index - BUCKET_COUNT + 1)
        for bucket in range(oldest_bucket, index + 1):
            self._buckets[bucket % BUCKET_COUNT] = 0.0
        self._newest_bucket = index
        self._total_seconds = sum(self._buckets)


class ServiceTime:
    """Mean service time of one rank.

    The mean is halved when no sample arrives for a while; otherwise one slow statement
    could make all later work look hopeless, and no new sample would correct it.
    """

    def __init__(self):
        self._mean_seconds = 0.0
        self._sampled_at = None

    def add(self, duration_seconds, now):
        """Take the service time of a statement that finished now."""
        if self._sampled_at is None:
            self._mean_seconds = duration_seconds
        else:
            self._mean_seconds += SAMPLE_WEIGHT * (
                duration_seconds - self._mean_seconds
            )
        self._sampled_at = now

    def mean(self, now):
        """Return the mean in seconds; 0 before the first sample."""
        if self._mean_seconds and now - self._sampled_at > MEAN_HALF_LIFE_SECONDS:
            self._mean_seconds /= 2
            self._sampled_at = now
        return self._mean_seconds
