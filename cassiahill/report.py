"""Daily report: rows from the figures, and their fixed-width, paged layout."""

import attrs

from cassiahill import figures, kernel, layout

RANK_ORDER = {"urgent": 0, "lookup": 1, "routine": 2}
# Shared by all rows of idle hours, because a histogram takes 17 kB; never changed.
_ZERO = figures.Tally()


@attrs.frozen
class Row:
    """Figures of one hour, group and rank, or a total.

    Attributes
    ----------
    hour : int or None
    group : str
    rank : str
    tally : figures.Tally or None
        None when nothing is known.
    partial : bool
        Whether figures of some processes are missing.
    """

    hour: int | None
    group: str
    rank: str
    tally: figures.Tally | None
    partial: bool = False

    def value(self, field):
        """Return the value of a field; None when it is not known.

        Returns
        -------
        str, int, float or None
            The empty text when the field does not apply.
        """
        if field in ("group", "rank"):
            return getattr(self, field)
        if field == "hour":
            return "" if self.hour is None else f"{self.hour:02d}"
        tally = self.tally
        match field:
            case _ if tally is None:
                return None
            case "requests":
                return tally.done + tally.not_run + tally.unknown
            case "replica_share":
                return tally.replica_reads / tally.reads if tally.reads else ""
            case "p50_ms" | "p99_ms":
                found = tally.latency_ms(50 if field == "p50_ms" else 99)
                return "" if found is None and not tally.latency_gap else found
            case _:
                return getattr(tally, field)

    def incomplete(self, field):
        """Return whether a value of this row misses figures."""
        if field in ("hour", "group", "rank"):
            return False
        latency_gap = self.tally is not None and self.tally.latency_gap
        return self.partial or (field in ("p50_ms", "p99_ms") and latency_gap)


@attrs.frozen
class Report:
    """The rows of a day and what is missing.

    Attributes
    ----------
    day : str
        ISO date.
    rows : list of Row
    notes : list of str
        One line for each process with missing figures.
    """

    day: str
    rows: list
    notes: list


def build(day, proxy_days, damaged=(), until=figures.DAY_SECONDS):
    """Build the report of a day.

    Parameters
    ----------
    day : str
    proxy_days : list of figures.ProxyDay
    damaged : sequence of str
        Names of objects that cannot be decoded; every hour misses their figures.
    until : float
        Second of the day up to which figures are expected; later hours are left out.

    Returns
    -------
    Report
    """
    hours = range(min(24, int(until // figures.HOUR_SECONDS)))
    partial_hours = set(hours) if damaged else set()
    known_hours = set()
    tallies_by_key = {}
    notes = [f"{name}: the stored figures cannot be read" for name in sorted(damaged)]
    for proxy_day in sorted(proxy_days, key=lambda one: one.proxy):
        lost = proxy_day.gap_hours(until) & set(hours)
        partial_hours |= lost
        known_hours |= _covered_hours(proxy_day)
        if lost:
            notes.append(f"{proxy_day.proxy}: figures are missing in {_ranges(lost)}")
        for figure in proxy_day.figures:
            key = (figure.hour, figure.group, figure.rank)
            tallies_by_key.setdefault(key, figures.Tally()).add(figure.tally)
    if not known_hours.issuperset(hours):
        notes.append(
            f"no process stored figures in {_ranges(set(hours) - known_hours)}"
        )
    rows = []
    for group, rank in sorted({key[1:] for key in tallies_by_key}):
        for hour in hours:
            partial = hour in partial_hours or hour not in known_hours
            tally = tallies_by_key.get((hour, group, rank))
            if tally is None and not partial:
                tally = _ZERO
            rows.append(Row(hour, group, rank, tally, partial))
    return Report(day, rows, notes)


def _ranges(hours):
    starts = [hour for hour in sorted(hours) if hour - 1 not in hours]
    ends = [hour + 1 for hour in sorted(hours) if hour + 1 not in hours]
    pairs = zip(starts, ends, strict=True)
    return ", ".join(f"{start:02d}:00-{end:02d}:00" for start, end in pairs)


def _covered_hours(proxy_day):
    return {
        hour
        for start, end in proxy_day.covered
        for hour in range(24)
        if start < (hour + 1) * figures.HOUR_SECONDS
        and hour * figures.HOUR_SECONDS < end
    }


def total_of(rows):
    """Return the total of rows; it is partial when any of them misses figures."""
    tally = figures.Tally()
    partial = False
    known = False
    for row in rows:
        partial = partial or row.partial or row.tally is None
        if row.tally is not None:
            known = True
            tally.add(row.tally)
    return Row(None, "", "", tally if known else None, partial)


def sort_key(order):
    """Return the key function that sorts rows by fields."""

    def key(row):
        parts = {"hour": row.hour, "group": row.group}
        parts["rank"] = (RANK_ORDER.get(row.rank, len(RANK_ORDER)), row.rank)
        return tuple(parts[field] for field in order)

    return key


def _is_zero(row):
    return row.tally is not None and not row.partial and not row.value("requests")


def _lines(report, page_layout):
    """Yield the body's lines and ``layout.NEW_PAGE``."""
    rows = [row for row in report.rows if page_layout.zero_rows or not _is_zero(row)]
    rows.sort(key=sort_key(page_layout.order))
    yield from _section(rows, page_layout, page_layout.breaks, first=True)
    if page_layout.total:
        # Rows that are left out hold zeros only and do not change a total.
        total = total_of(report.rows)
        yield ""
        yield page_layout.row_line(total, label=page_layout.total)
    if report.notes:
        yield ""
        yield from report.notes


def _section(rows, page_layout, breaks, first):
    if not breaks:
        yield from map(page_layout.row_line, rows)
        return
    current, *inner = breaks
    parts = {}
    for row in rows:
        parts.setdefault(row.value(current.field), []).append(row)
    for value, part in parts.items():
        if not first:
            yield layout.NEW_PAGE if current.new_page else ""
        first = False
        yield from _section(part, page_layout, inner, first=True)
        if current.subtotal:
            label = current.subtotal.replace("{value}", str(value))
            yield page_layout.row_line(total_of(part), label=label)


@kernel.register("report", "paged")
def render_paged(report, page_layout):
    """Return the report as text in fixed-width pages, separated by form feeds."""
    return layout.paginate(_lines(report, page_layout), page_layout, report.day)


@kernel.register("report", "json")
def render_json(report, page_layout):
    """Return the report as plain values; a missing figure is null."""
    fields = list(layout.NUMBER_FIELDS)
    return {
        "day": report.day,
        "rows": [
            {
                "hour": row.hour,
                "group": row.group,
                "rank": row.rank,
                "partial": row.partial,
                **{name: _json_value(row.value(name)) for name in fields},
            }
            for row in sorted(report.rows, key=sort_key(page_layout.order))
        ],
        "notes": report.notes,
    }


def _json_value(value):
    return None if value == "" else value
