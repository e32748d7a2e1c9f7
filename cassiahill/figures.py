"""Figures of the daily report: counted in memory, stored in batches.

Each proxy process stores one object per day in the kind ``figures/<day>``. It replaces
the whole object with each batch, so a lost answer needs no resolution. Days and hours
are those of UTC.
"""

import datetime
import threading
import zlib

import attrs
import msgspec
from hdrh.codec import HdrCookieException, HdrLengthException
from hdrh.histogram import HdrHistogram

from cassiahill import errors, objects

COUNTS = ("done", "not_run", "unknown", "late", "reads", "replica_reads")
DAY_SECONDS = 86_400
HOUR_SECONDS = 3_600
# Latencies from 0.1 ms to 10 minutes with two significant digits.
_UNIT_SECONDS = 1e-4
_MAX_UNITS = 6_000_000
_DIGITS = 2
# A histogram takes 17 kB in memory, so a batch takes at most 5 MB and a day 20 MB.
# Requests that would need more tallies are counted under OTHER.
MAX_TALLIES = 300
MAX_DAY_TALLIES = 1_200
OTHER = "(other)"
# Days that wait for the platform; the oldest is dropped and remains a gap.
MAX_PENDING_DAYS = 2


def new_histogram():
    """Return an empty histogram of latencies."""
    return HdrHistogram(1, _MAX_UNITS, _DIGITS)


@attrs.define
class Tally:
    """Counts and latencies of one hour, group and rank.

    ``late`` counts the done requests that ended after their deadline; ``reads`` counts
    the reads that a replica may serve, ``replica_reads`` those that one served.
    ``latency_gap`` tells that the latencies of some counted requests are missing.
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
        """Add another tally to this one."""
        for name in COUNTS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.latency_gap = self.latency_gap or other.latency_gap
        self.latencies.add(other.latencies)

    def latency_ms(self, percentile):
        """Return a percentile of the latencies in milliseconds; None without any."""
        if not self.latencies.get_total_count():
            return None
        units = self.latencies.get_value_at_percentile(percentile)
        return units * _UNIT_SECONDS * 1000


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
        Name and start of the process.
    covered : tuple of (float, float)
        Seconds of the day whose figures are complete, ordered, not touching.
    ended : bool
        Whether the process handed over its last figures and exited.
    figures : tuple of Figure
    """

    proxy: str
    covered: tuple
    ended: bool
    figures: tuple

    def gap_hours(self, until=DAY_SECONDS):
        """Return the hours of which this process lost figures.

        A process that neither ended nor stored figures up to ``until`` lost those of
        all hours from its last batch on.

        Parameters
        ----------
        until : float
            Second of the day up to which figures are expected.

        Returns
        -------
        set of int
        """
        holes = [
            (end, start)
            for (_, end), (start, _) in zip(
                self.covered, self.covered[1:], strict=False
            )
        ]
        last = self.covered[-1][1] if self.covered else 0.0
        if not self.ended and last < until:
            holes.append((last, until))
        return {
            hour
            for start, end in holes
            for hour in range(24)
            if start < (hour + 1) * HOUR_SECONDS and hour * HOUR_SECONDS < end
        }


class FigureCollector:
    """Counts the requests of one process; used on the loop's thread.

    Parameters
    ----------
    now : float
        Wall-clock time in seconds.
    """

    def __init__(self, now):
        self._start = now
        self._tallies_by_key = {}

    def count_request(
        self, now, group, rank, outcome, latency, late=False, replica=None
    ):
        """Count one request.

        Parameters
        ----------
        now : float
            Wall-clock time in seconds.
        group, rank : str
        outcome : str
            ``done``, ``not_run`` or ``unknown``.
        latency : float
            Seconds.
        late : bool
        replica : bool or None
            Whether a replica served it; None when only the primary may serve it.
        """
        key = (int(now // HOUR_SECONDS), group, rank)
        tally = self._tallies_by_key.get(key)
        if tally is None:
            tally = self._new_tally(key)
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        tally.late += late
        if replica is not None:
            tally.reads += 1
            tally.replica_reads += replica
        units = int(latency / _UNIT_SECONDS)
        tally.latencies.record_value(min(max(units, 1), _MAX_UNITS))

    def take_batch(self, now):
        """Return ``(start, end, tallies_by_key)`` since the last call."""
        batch = (self._start, now, self._tallies_by_key)
        self._start = now
        self._tallies_by_key = {}
        return batch

    def _new_tally(self, key):
        return _tally_of(self._tallies_by_key, key, MAX_TALLIES)


def _tally_of(tallies_by_key, key, limit):
    if key not in tallies_by_key and len(tallies_by_key) >= limit:
        key = (key[0], OTHER, key[2])
    return tallies_by_key.setdefault(key, Tally())


@attrs.define
class _PendingDay:
    covered: list = attrs.field(factory=list)
    tallies_by_key: dict = attrs.field(factory=dict)
    ended: bool = False
    stored: bool = True


class FigurePublisher:
    """Stores batches of figures; runs in the executor.

    Parameters
    ----------
    store : objects.ObjectStore
    proxy : str
        Name and start of the process; a restarted process must have another one, so
        that it does not replace the figures of the former process.
    """

    def __init__(self, store, proxy):
        self._store = store
        self._proxy = proxy
        self._lock = threading.Lock()
        self._days = {}
        self.dropped_days = 0

    def publish(self, batch, deadline, ended=False):
        """Add a batch and store all days that are not stored yet.

        Parameters
        ----------
        batch : tuple
            From ``FigureCollector.take``.
        deadline : float
        ended : bool
            Whether this is the last batch of the process.

        Returns
        -------
        bool
            Whether everything is stored; the rest is stored with a later batch.
        """
        with self._lock:
            self._add(batch, ended)
            for day in sorted(self._days):
                if not self._days[day].stored:
                    self._days[day].stored = self._put(day, deadline)
            latest = max(self._days)
            for day in [d for d in self._days if d < latest and self._days[d].stored]:
                del self._days[day]
            while len(self._days) > MAX_PENDING_DAYS:
                del self._days[min(self._days)]
                self.dropped_days += 1
            return all(pending.stored for pending in self._days.values())

    def _add(self, batch, ended):
        start, end, tallies_by_key = batch
        first = int(start // DAY_SECONDS)
        # A clock that was set back must not produce an empty or reversed interval.
        last = max(first, int(end // DAY_SECONDS))
        for day in range(max(first, last - MAX_PENDING_DAYS), last + 1):
            pending = self._days.setdefault(day, _PendingDay())
            pending.stored = False
            pending.ended = ended and day == last
            offset = day * DAY_SECONDS
            low = max(0.0, start - offset)
            high = max(low, min(float(DAY_SECONDS), end - offset))
            _extend(pending.covered, low, high)
        for (hour, group, rank), tally in tallies_by_key.items():
            pending = self._days.get(hour // 24)
            if pending is not None:
                key = (hour % 24, group, rank)
                _tally_of(pending.tallies_by_key, key, MAX_DAY_TALLIES).add(tally)

    def _put(self, day, deadline):
        value = encode(self._proxy, self._days[day])
        date = datetime.date(1970, 1, 1) + datetime.timedelta(days=day)
        try:
            self._store.put(f"figures/{date}", self._proxy, value, None, deadline)
        except errors.CassiahillError:
            return False
        return True


def _extend(covered, start, end):
    # Batches of one process follow each other, so a later one starts where the former
    # one ended unless a whole batch was lost.
    if covered and start <= covered[-1][1]:
        covered[-1][1] = max(covered[-1][1], end)
    else:
        covered.append([start, end])


def encode(proxy, pending):
    """Return the JSON bytes of a day of figures.

    Histograms are left out, from the last hours back, when the object would be too
    large for the platform; the counts are kept.
    """
    rows = [
        [*key, *(getattr(tally, name) for name in COUNTS), tally.latencies.encode()]
        for key, tally in sorted(pending.tallies_by_key.items())
    ]
    size = sum(len(row[-1]) + len(row[1]) + 80 for row in rows)
    for row in reversed(rows):
        if size < objects.MAX_VALUE_BYTES:
            break
        size -= len(row[-1])
        row[-1] = b""
    return msgspec.json.encode(
        {
            "proxy": proxy,
            "covered": pending.covered,
            "ended": pending.ended,
            "rows": [[*row[:-1], row[-1].decode()] for row in rows],
        }
    )


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
    proxy: str
    covered: list[tuple[float, float]]
    ended: bool
    rows: list[tuple[int, str, str, int, int, int, int, int, int, str]]


def decode(value):
    """Return the ``ProxyDay`` that JSON bytes describe.

    Raises
    ------
    errors.MalformedRequest
        When the bytes are not figures of a day.
    """
    try:
        body = msgspec.json.decode(value, type=_DayBody)
        found = tuple(_figure_of(row) for row in body.rows)
    except _DECODE_ERRORS as error:
        raise errors.MalformedRequest(f"figures: {error}") from error
    return ProxyDay(body.proxy, tuple(body.covered), body.ended, found)


def _figure_of(row):
    hour, group, rank, *counts, encoded = row
    if not 0 <= hour < 24 or min(counts) < 0:
        raise ValueError(f"hour {hour} or a count is out of range")
    tally = Tally(*counts, latency_gap=not encoded)
    if encoded:
        tally.latencies.decode_and_add(encoded)
    return Figure(hour, group, rank, tally)


def read_day(store, day, deadline):
    """Return the figures of all proxies for a day, and the names of damaged objects.

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
    days = []
    damaged = []
    for stored in store.list(f"figures/{day}", deadline):
        try:
            days.append(decode(stored.value))
        except errors.MalformedRequest:
            damaged.append(stored.name)
    return days, damaged
