"""The daily report: its rows, built from stored figures, and its output formats."""

import attrs

from cassiahill import figures, kernel, layout

SORT_POSITIONS_BY_RANK = {"urgent": 0, "lookup": 1, "routine": 2}
# All rows of idle hours share this tally, because a histogram takes 17 kB of memory. It
# must not be changed.
_ZERO_TALLY = figures.Tally()


@attrs.frozen
class Row:
    """The figures of one hour, group and rank, or a total of several rows.

    Attributes
    ----------
    hour : int or None
        None in a total.
    group, rank : str
        Empty in a total.
    tally : figures.Tally or None
        None if no figures are known.
    partial : bool
        Whether figures of some processes are missing.
    """

    hour: int | None
    group: str
    rank: str
    tally: figures.Tally | None
    partial: bool = False

    def value(self, field):
        """Return the value of a label or number field of the row.

        Parameters
        ----------
        field : str
            One of ``layout.FIELDS``.

        Returns
        -------
        str, int, float or None
            None if the value is missing; an empty text if there is nothing to show,
            such as a latency without any request.
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
                latency = tally.latency_ms(50 if field == "p50_ms" else 99)
                return "" if latency is None and not tally.latency_gap else latency
            case _:
                return getattr(tally, field)

    def is_incomplete(self, field):
        """Return whether the value of a field is computed from incomplete figures."""
        if field in ("hour", "group", "rank"):
            return False
        latency_gap = self.tally is not None and self.tally.latency_gap
        return self.partial or (field in ("p50_ms", "p99_ms") and latency_gap)


@attrs.frozen
class Report:
    """The rows of a day and notes on missing figures.

    Attributes
    ----------
    day : str
        ISO date.
    rows : list of Row
    notes : list of str
        Lines that name the processes and hours with missing figures.
    """

    day: str
    rows: list
    notes: list


def build(day, proxy_days, damaged_names=(), until_second=figures.DAY_SECONDS):
    """Build the report of a day.

    Parameters
    ----------
    day : str
        ISO date.
    proxy_days : list of figures.ProxyDay
    damaged_names : sequence of str
        Names of objects that cannot be decoded. If there are any, all hours are
        partial.
    until_second : float
        Second of the day up to which figures are expected; later hours are left out.

    Returns
    -------
    Report
    """
    hours = range(min(24, int(until_second // figures.HOUR_SECONDS)))
    partial_hours = set(hours) if damaged_names else set()
    covered_hours = set()
    tallies_by_key = {}
    notes = [
        f"{name}: the stored figures cannot be read" for name in sorted(damaged_names)
    ]
    for proxy_day in sorted(proxy_days, key=lambda proxy_day: proxy_day.proxy):
        gap_hours = proxy_day.gap_hours(until_second) & set(hours)
        partial_hours |= gap_hours
        covered_hours |= _covered_hours(proxy_day)
        if gap_hours:
            notes.append(
                f"{proxy_day.proxy}: figures are missing in {_format_hours(gap_hours)}"
            )
        for figure in proxy_day.figures:
            key = (figure.hour, figure.group, figure.rank)
            tallies_by_key.setdefault(key, figures.Tally()).add(figure.tally)
    if not covered_hours.issuperset(hours):
        notes.append(
            f"no process stored figures in {_format_hours(set(hours) - covered_hours)}"
        )
    rows = []
    for group, rank in sorted({key[1:] for key in tallies_by_key}):
        for hour in hours:
            partial = hour in partial_hours or hour not in covered_hours
            tally = tallies_by_key.get((hour, group, rank))
            if tally is None and not partial:
                tally = _ZERO_TALLY
            rows.append(Row(hour, group, rank, tally, partial))
    return Report(day, rows, notes)


def _format_hours(hours):
    """Return a set of hours as text, such as ``01:00-03:00, 05:00-06:00``."""
    starts = [hour for hour in sorted(hours) if hour - 1 not in hours]
    ends = [hour + 1 for hour in sorted(hours) if hour + 1 not in hours]
    pairs = zip(starts, ends, strict=True)
    return ", ".join(f"{start:02d}:00-{end:02d}:00" for start, end in pairs)


def _covered_hours(proxy_day):
    """Return the hours that the figures of a process cover at least partly."""
    return {
        hour
        for start, end in proxy_day.covered
        for hour in range(24)
        if start < (hour + 1) * figures.HOUR_SECONDS
        and hour * figures.HOUR_SECONDS < end
    }


def sum_rows(rows):
    """Return the total of rows; it is partial if figures of any row are missing."""
    tally = figures.Tally()
    partial = False
    has_figures = False
    for row in rows:
        partial = partial or row.partial or row.tally is None
        if row.tally is not None:
            has_figures = True
            tally.add(row.tally)
    return Row(None, "", "", tally if has_figures else None, partial)


def make_sort_key(order):
    """Return the key function that sorts rows by the fields in ``order``."""

    def key(row):
        values_by_field = {"hour": row.hour, "group": row.group}
        values_by_field["rank"] = (
            SORT_POSITIONS_BY_RANK.get(row.rank, len(SORT_POSITIONS_BY_RANK)),
            row.rank,
        )
        return tuple(values_by_field[field] for field in order)

    return key


def _is_idle(row):
    """Return whether a row has complete figures without any request."""
    return row.tally is not None and not row.partial and not row.value("requests")


def _body_lines(report, page_layout):
    """Yield the lines of the body, with ``layout.NEW_PAGE`` for page breaks."""
    rows = [row for row in report.rows if page_layout.zero_rows or not _is_idle(row)]
    rows.sort(key=make_sort_key(page_layout.order))
    yield from _section_lines(rows, page_layout, page_layout.breaks)
    if page_layout.total:
        # Includes the rows without requests that are not printed; they add nothing.
        total = sum_rows(report.rows)
        yield ""
        yield page_layout.row_line(total, label=page_layout.total)
    if report.notes:
        yield ""
        yield from report.notes


def _section_lines(rows, page_layout, breaks):
    """Yield the lines of rows, grouped and subtotalled by the fields of ``breaks``.

    Parameters
    ----------
    rows : list of Row
    page_layout : layout.Layout
    breaks : sequence of layout.ControlBreak
    """
    if not breaks:
        yield from map(page_layout.row_line, rows)
        return
    outer_break, *inner_breaks = breaks
    rows_by_value = {}
    for row in rows:
        rows_by_value.setdefault(row.value(outer_break.field), []).append(row)
    for index, (value, value_rows) in enumerate(rows_by_value.items()):
        if index > 0:
            yield layout.NEW_PAGE if outer_break.new_page else ""
        yield from _section_lines(value_rows, page_layout, inner_breaks)
        if outer_break.subtotal:
            label = outer_break.subtotal.replace("{value}", str(value))
            yield page_layout.row_line(sum_rows(value_rows), label=label)


@kernel.register("report", "paged")
def render_paged(report, page_layout):
    """Return the report as text in pages of fixed size, separated by form feeds."""
    return layout.paginate(_body_lines(report, page_layout), page_layout, report.day)


@kernel.register("report", "json")
def render_json(report, page_layout):
    """Return the report as JSON values; a missing figure is null."""
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
            for row in sorted(report.rows, key=make_sort_key(page_layout.order))
        ],
        "notes": report.notes,
    }


def _json_value(value):
    """Return a field's value for JSON, where an empty text becomes null."""
    return None if value == "" else value
