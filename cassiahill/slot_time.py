"""Slot time and mean service time of one rank, without I/O."""

BUCKET_COUNT = 50
# Weight of the newest sample in the mean service time.
SAMPLE_WEIGHT = 0.1
# Time without a sample after which the mean service time is halved.
MEAN_HALF_LIFE_SECONDS = 1.0


class SlotTime:
    """Slot time that one rank used in a sliding window.

    The window is divided into ``BUCKET_COUNT`` buckets. The oldest bucket expires as a
    whole, so the total covers the last 98 to 100 % of the window.

    Parameters
    ----------
    window_seconds : float
        Length of the window.
    """

    def __init__(self, window_seconds):
        self._bucket_seconds = window_seconds / BUCKET_COUNT
        self._buckets = [0.0] * BUCKET_COUNT
        self._newest_bucket = 0
        self._total_seconds = 0.0

    def add(self, start, end):
        """Add the run time of a statement.

        Parameters
        ----------
        start, end : float
            Instants in seconds; ``end`` is the present.
        """
        self._advance_window(end)
        oldest_bucket = max(
            int(start / self._bucket_seconds), self._newest_bucket - BUCKET_COUNT + 1
        )
        for bucket in range(oldest_bucket, self._newest_bucket + 1):
            overlap_start = max(start, bucket * self._bucket_seconds)
            overlap_seconds = (
                min(end, (bucket + 1) * self._bucket_seconds) - overlap_start
            )
            if overlap_seconds > 0:
                self._buckets[bucket % BUCKET_COUNT] += overlap_seconds
                self._total_seconds += overlap_seconds

    def total(self, now):
        """Return the slot time in the window that ends at ``now``, in seconds."""
        self._advance_window(now)
        return self._total_seconds

    def _advance_window(self, now):
        newest_bucket = int(now / self._bucket_seconds)
        if newest_bucket <= self._newest_bucket:
            return
        oldest_bucket = max(self._newest_bucket + 1, newest_bucket - BUCKET_COUNT + 1)
        for bucket in range(oldest_bucket, newest_bucket + 1):
            self._buckets[bucket % BUCKET_COUNT] = 0.0
        self._newest_bucket = newest_bucket
        self._total_seconds = sum(self._buckets)


class ServiceTime:
    """Exponentially weighted mean of the service times of one rank.

    The mean is halved when no sample arrives for ``MEAN_HALF_LIFE_SECONDS``. Otherwise
    one slow statement could lead to the refusal of all later requests, and no new
    sample would correct the mean.
    """

    def __init__(self):
        self._mean_seconds = 0.0
        self._sampled_at = None

    def add(self, service_seconds, now):
        """Add the service time of a statement that ended at ``now``."""
        if self._sampled_at is None:
            self._mean_seconds = service_seconds
        else:
            self._mean_seconds += SAMPLE_WEIGHT * (service_seconds - self._mean_seconds)
        self._sampled_at = now

    def mean(self, now):
        """Return the mean service time in seconds; 0 before the first sample."""
        if self._mean_seconds and now - self._sampled_at > MEAN_HALF_LIFE_SECONDS:
            self._mean_seconds /= 2
            self._sampled_at = now
        return self._mean_seconds
