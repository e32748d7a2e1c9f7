"""Request counts and latencies for the daily report.

A proxy process counts its requests in memory and regularly stores the batch since the
last time. It has one object per day in the kind ``figures/<day>`` and replaces the
whole object with each batch, so a put whose answer was lost can be repeated. Days and
hours are in UTC.
"""

import datetime
import threading
import zlib

import attrs
import msgspec
from hdrh.codec import HdrCookieException, HdrLengthException
from hdrh.histogram import HdrHistogram

from cassiahill import errors, objects

# Names of the count attributes of ``Tally``, in the order of a stored row.
COUNT_FIELDS = ("done", "not_run", "unknown", "late", "reads", "replica_reads")
DAY_SECONDS = 86_400
HOUR_SECONDS = 3_600
# Histograms hold latencies from 0.1 ms to 10 minutes with two significant digits.
_LATENCY_UNIT_SECONDS = 1e-4
_MAX_LATENCY_UNITS = 6_000_000
_SIGNIFICANT_DIGITS = 2
# A histogram takes 17 kB of memory, so a batch takes at most 5 MB and a day 20 MB.
# Requests that would need another tally are counted under the group OTHER_GROUPS.
MAX_BATCH_TALLIES = 300
MAX_DAY_TALLIES = 1_200
OTHER_GROUPS = "(other)"
# Number of days that are kept until the platform has stored them. When there are more,
# the oldest is dropped, and its figures stay missing in the report.
MAX_PENDING_DAYS = 2


def new_histogram():
    """Return an empty histogram of latencies in units of 0.1 ms."""
    return HdrHistogram(1, _MAX_LATENCY_UNITS, _SIGNIFICANT_DIGITS)


@attrs.define
class Tally:
    """Counts and latencies of the requests of one hour, group and rank.

    Attributes
    ----------
    done, not_run, unknown : int
        Requests by outcome.
    late : int
        Done requests that ended after their deadline.
    reads : int
        Reads that a replica was allowed to serve.
    replica_reads : int
        Reads that a replica served.
    latency_gap : bool
        Whether the latencies of some counted requests are missing.
    latencies : HdrHistogram
    """

    done: int = 0
    not_run: int = 0
    unknown: int = 0
    late: int = 0
    reads: int = 0
    replica_reads: int = 0
    latency_gap: bool = False
    latencies: HdrHistogram = attrs.field(factory=new_histogram, eq=False)

    def add(self, other):
        """Add the counts and latencies of another tally to this one."""
        for name in COUNT_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.latency_gap = self.latency_gap or other.latency_gap
        self.latencies.add(other.latencies)

    def latency_ms(self, percentile):
        """Return a latency percentile in milliseconds; None without any latency."""
        if not self.latencies.get_total_count():
            return None
        units = self.latencies.get_value_at_percentile(percentile)
        return units * _LATENCY_UNIT_SECONDS * 1000


@attrs.frozen
class Figure:
    """The tally of one hour, group and rank."""

    hour: int
    group: str
    rank: str
    tally: Tally


@attrs.frozen
class ProxyDay:
    """The figures of one proxy process for one day.

    Attributes
    ----------
    proxy : str
        Name of the process: the proxy's name and a part that differs for each start.
    covered : tuple of (float, float)
        Intervals of the day in seconds whose figures are complete; ordered and
        not adjacent.
    ended : bool
        Whether the process stored its last figures on this day and exited.
    figures : tuple of Figure
    """

    proxy: str
    covered: tuple
    ended: bool
    figures: tuple

    def gap_hours(self, until_second=DAY_SECONDS):
        """Return the hours in which figures of this process are missing.

        If the process has not ended and has not stored figures up to ``until_second``,
        its figures since the last batch are missing.

        Parameters
        ----------
        until_second : float
            Second of the day up to which figures are expected.

        Returns
        -------
        set of int
        """
        gaps = [
            (end, start)
            for (_, end), (start, _) in zip(
                self.covered, self.covered[1:], strict=False
            )
        ]
        covered_until = self.covered[-1][1] if self.covered else 0.0
        if not self.ended and covered_until < until_second:
            gaps.append((covered_until, until_second))
        return {
            hour
            for start, end in gaps
            for hour in range(24)
            if start < (hour + 1) * HOUR_SECONDS and hour * HOUR_SECONDS < end
        }


class FigureCollector:
    """Counts the requests of one process until they are taken as a batch.

    It is not thread-safe and used only on the event loop's thread.

    Parameters
    ----------
    now : float
        Wall-clock time in seconds at which counting starts.
    """

    def __init__(self, now):
        self._batch_start = now
        self._tallies_by_key = {}

    def count_request(
        self,
        now,
        group,
        rank,
        outcome,
        latency_seconds,
        late=False,
        read_from_replica=None,
    ):
        """Count one request that has ended.

        Parameters
        ----------
        now : float
            Wall-clock time of the end in seconds.
        group, rank : str
        outcome : str
            ``done``, ``not_run`` or ``unknown``.
        latency_seconds : float
            Time from the arrival to the end of the request.
        late : bool
            Whether the request was done after its deadline.
        read_from_replica : bool or None
            Whether a replica served the read; None for a request that only the
            primary may serve.
        """
        key = (int(now // HOUR_SECONDS), group, rank)
        tally = self._tallies_by_key.get(key)
        if tally is None:
            tally = self._new_tally(key)
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        tally.late += late
        if read_from_replica is not None:
            tally.reads += 1
            tally.replica_reads += read_from_replica
        units = int(latency_seconds / _LATENCY_UNIT_SECONDS)
        tally.latencies.record_value(min(max(units, 1), _MAX_LATENCY_UNITS))

    def take_batch(self, now):
        """Return what was counted since the last call, and start a new batch.

        Parameters
        ----------
        now : float
            Wall-clock time in seconds.

        Returns
        -------
        tuple of (float, float, dict)
            Start and end in seconds of wall-clock time, and the tallies by hour since
            the epoch, group and rank.
        """
        batch = (self._batch_start, now, self._tallies_by_key)
        self._batch_start = now
        self._tallies_by_key = {}
        return batch

    def _new_tally(self, key):
        return _get_or_add_tally(self._tallies_by_key, key, MAX_BATCH_TALLIES)


def _get_or_add_tally(tallies_by_key, key, max_tallies):
    """Return the tally of a key, or of ``OTHER_GROUPS`` if there are too many."""
    if key not in tallies_by_key and len(tallies_by_key) >= max_tallies:
        key = (key[0], OTHER_GROUPS, key[2])
    return tallies_by_key.setdefault(key, Tally())


@attrs.define
class _PendingDay:
    """Figures of a day; ``stored`` tells whether the platform holds all of them."""

    covered: list = attrs.field(factory=list)
    tallies_by_key: dict = attrs.field(factory=dict)
    ended: bool = False
    stored: bool = True


class FigurePublisher:
    """Stores batches of figures; called on the threads of an executor.

    Parameters
    ----------
    store : objects.ObjectStore
    process_name : str
        Name of the process and its objects. It must differ after a restart, so that the
        figures of the previous process are not replaced.
    """

    def __init__(self, store, process_name):
        self._store = store
        self._process_name = process_name
        self._lock = threading.Lock()
        self._pending_by_day = {}
        self.dropped_days = 0

    def publish(self, batch, deadline, ended=False):
        """Add a batch and store all days that are not stored yet.

        Parameters
        ----------
        batch : tuple
            Start, end and tallies from a ``FigureCollector``.
        deadline : float
            Deadline of the calls to the store.
        ended : bool
            Whether this is the last batch of the process.

        Returns
        -------
        bool
            Whether everything is stored. What is not is tried again with the next
            batch.
        """
        with self._lock:
            self._add_batch(batch, ended)
            for day in sorted(self._pending_by_day):
                if not self._pending_by_day[day].stored:
                    self._pending_by_day[day].stored = self._store_day(day, deadline)
            latest_day = max(self._pending_by_day)
            for day in [
                day
                for day in self._pending_by_day
                if day < latest_day and self._pending_by_day[day].stored
            ]:
                del self._pending_by_day[day]
            while len(self._pending_by_day) > MAX_PENDING_DAYS:
                del self._pending_by_day[min(self._pending_by_day)]
                self.dropped_days += 1
            return all(pending.stored for pending in self._pending_by_day.values())

    def _add_batch(self, batch, ended):
        start, end, tallies_by_key = batch
        first_day = int(start // DAY_SECONDS)
        # If the clock was set back, ``end`` may be on an earlier day than ``start``.
        # Then the batch belongs to the day of its start.
        last_day = max(first_day, int(end // DAY_SECONDS))
        for day in range(max(first_day, last_day - MAX_PENDING_DAYS), last_day + 1):
            pending = self._pending_by_day.setdefault(day, _PendingDay())
            pending.stored = False
            pending.ended = ended and day == last_day
            midnight = day * DAY_SECONDS
            covered_start = max(0.0, start - midnight)
            covered_end = max(covered_start, min(float(DAY_SECONDS), end - midnight))
            _extend_covered(pending.covered, covered_start, covered_end)
        for (hour, group, rank), tally in tallies_by_key.items():
            pending = self._pending_by_day.get(hour // 24)
            if pending is not None:
                key = (hour % 24, group, rank)
                _get_or_add_tally(pending.tallies_by_key, key, MAX_DAY_TALLIES).add(
                    tally
                )

    def _store_day(self, day, deadline):
        """Put the figures of a day; return whether the store has accepted them."""
        value = encode(self._process_name, self._pending_by_day[day])
        date = datetime.date(1970, 1, 1) + datetime.timedelta(days=day)
        try:
            self._store.put(
                f"figures/{date}", self._process_name, value, None, deadline
            )
        except errors.CassiahillError:
            return False
        return True


def _extend_covered(covered, start, end):
    # A batch starts at the end of the previous one. A gap means that a batch was lost.
    if covered and start <= covered[-1][1]:
        covered[-1][1] = max(covered[-1][1], end)
    else:
        covered.append([start, end])


def encode(process_name, pending):
    """Return a day of figures as JSON bytes.

    If the object would be too large for the platform, the histograms of the last rows
    are left out, which are those of the latest hours. The counts are kept.

    Parameters
    ----------
    process_name : str
        Name of the process.
    pending : _PendingDay
    """
    rows = [
        [
            *key,
            *(getattr(tally, name) for name in COUNT_FIELDS),
            tally.latencies.encode(),
        ]
        for key, tally in sorted(pending.tallies_by_key.items())
    ]
    # 80 bytes are allowed for the numbers, the rank and the punctuation of a row.
    size_bytes = sum(len(row[-1]) + len(row[1]) + 80 for row in rows)
    for row in reversed(rows):
        if size_bytes < objects.MAX_VALUE_BYTES:
            break
        size_bytes -= len(row[-1])
        row[-1] = b""
    return msgspec.json.encode(
        {
            "proxy": process_name,
            "covered": pending.covered,
            "ended": pending.ended,
            "rows": [[*row[:-1], row[-1].decode()] for row in rows],
        }
    )


# Errors of decoding the JSON and the histograms in it.
_DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    IndexError,
    zlib.error,
    HdrCookieException,
    HdrLengthException,
)


class _DayBody(msgspec.Struct):
    """JSON body of a stored day.

    A row has the hour, the group, the rank, the counts in the order of
    ``COUNT_FIELDS``, and the encoded histogram, which may be empty.
    """

    proxy: str
    covered: list[tuple[float, float]]
    ended: bool
    rows: list[tuple[int, str, str, int, int, int, int, int, int, str]]


def decode(value):
    """Return the ``ProxyDay`` of a stored object.

    Parameters
    ----------
    value : bytes

    Raises
    ------
    errors.MalformedRequest
        When the bytes are not valid figures of a day.
    """
    try:
        body = msgspec.json.decode(value, type=_DayBody)
        decoded_figures = tuple(_decode_row(row) for row in body.rows)
    except _DECODE_ERRORS as error:
        raise errors.MalformedRequest(f"figures: {error}") from error
    return ProxyDay(body.proxy, tuple(body.covered), body.ended, decoded_figures)


def _decode_row(row):
    hour, group, rank, *counts, encoded_latencies = row
    if not 0 <= hour < 24 or min(counts) < 0:
        raise ValueError(f"hour {hour} or a count is out of range")
    tally = Tally(*counts, latency_gap=not encoded_latencies)
    if encoded_latencies:
        tally.latencies.decode_and_add(encoded_latencies)
    return Figure(hour, group, rank, tally)


def read_day(store, day, deadline):
    """Return the figures of all processes for a day, and the names of damaged objects.

    Parameters
    ----------
    store : objects.ObjectStore
    day : str
        ISO date.
    deadline : float

    Returns
    -------
    tuple of (list of ProxyDay, list of str)
    """
    proxy_days = []
    damaged_names = []
    for stored in store.list(f"figures/{day}", deadline):
        try:
            proxy_days.append(decode(stored.value))
        except errors.MalformedRequest:
            damaged_names.append(stored.name)
    return proxy_days, damaged_names
