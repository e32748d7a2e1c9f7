"""Tests of ``cassiahill.report`` and ``cassiahill.layout``."""

import unittest

from hypothesis import given, settings, strategies

from cassiahill import errors, figures, layout, report

HOUR_SECONDS = figures.HOUR_SECONDS


def figure(hour, done, group="fees", rank="urgent"):
    """Return a figure of ``done`` reads by replicas, each with a latency of 4 ms."""
    tally = figures.Tally(done=done, reads=done, replica_reads=done)
    for _ in range(min(done, 10)):
        tally.latencies.record_value(40)
    return figures.Figure(hour, group, rank, tally)


def proxy_day(name, *hourly_figures, covered=((0.0, 86_400.0),), ended=True):
    """Return the figures of one process."""
    return figures.ProxyDay(name, covered, ended, hourly_figures)


def render(*proxy_days, layout_text=None, **options):
    """Return the paged report of the figures of some processes."""
    page_layout = layout.read() if layout_text is None else layout.parse(layout_text)
    daily_report = report.build("2026-12-04", list(proxy_days), **options)
    return report.render_paged(daily_report, page_layout)


def cells_of_line_with(text, *words):
    """Return the cells of the first line that holds all words."""
    for line in text.splitlines():
        if all(word in line.split() for word in words):
            return line.split()
    raise AssertionError(f"no line with {words} in:\n{text}")


class GapTest(unittest.TestCase):
    def test_complete_day(self):
        """Guards against wrong sums over several processes."""
        text = render(
            proxy_day("p1", figure(1, 1000), figure(2, 5)),
            proxy_day("p2", figure(1, 234)),
        )
        self.assertEqual(cells_of_line_with(text, "01", "urgent")[3], "1,234")
        self.assertEqual(cells_of_line_with(text, "TOTAL", "fees")[2], "1,239")
        self.assertNotIn("03  urgent", text)

    def test_missing_process_marks_figures_and_totals(self):
        """Guards against a partial sum that looks like a complete one."""
        text = render(
            proxy_day("p1", figure(1, 10), figure(5, 7)),
            proxy_day(
                "p2",
                covered=((0.0, HOUR_SECONDS), (2 * HOUR_SECONDS, 24 * HOUR_SECONDS)),
            ),
        )
        self.assertEqual(cells_of_line_with(text, "01", "urgent")[3], "10*")
        self.assertEqual(cells_of_line_with(text, "05", "urgent")[3], "7")
        self.assertEqual(cells_of_line_with(text, "TOTAL", "fees")[2], "17*")
        self.assertIn("p2: figures are missing in 01:00-02:00", text)

    def test_gap_is_never_zero(self):
        """Guards against an hour without figures that looks like an idle hour."""
        text = render(proxy_day("p1", figure(1, 10), covered=((0, 5 * HOUR_SECONDS),)))
        self.assertEqual(cells_of_line_with(text, "06", "urgent")[3:], ["-"] * 6)
        self.assertIn("no process stored figures in 05:00-24:00", text)

    def test_damaged_object_marks_all_hours(self):
        """Guards against leaving out the figures of a process without a mark."""
        text = render(proxy_day("p1", figure(1, 10)), damaged_names=["p2"])
        self.assertEqual(cells_of_line_with(text, "TOTAL", "fees")[2], "10*")

    def test_running_day_ends_at_until(self):
        """Guards against gaps in hours that are still in the future."""
        day = proxy_day(
            "p1", figure(1, 9), covered=((0, 3 * HOUR_SECONDS),), ended=False
        )
        text = render(day, until_second=3 * HOUR_SECONDS)
        self.assertEqual(cells_of_line_with(text, "TOTAL", "fees")[2], "9")

    def test_no_stored_figures(self):
        """Guards against a total of zero for a day without figures."""
        cells = cells_of_line_with(render(), "TOTAL", "OF")
        self.assertEqual(set(cells[4:]), {"-"})

    def test_json_has_null_for_a_gap(self):
        """Guards against a gap that scripts take for zero."""
        daily_report = report.build(
            "2026-12-04", [proxy_day("p", figure(0, 1), covered=())]
        )
        rows = report.render_json(daily_report, layout.read())["rows"]
        self.assertEqual((rows[0]["done"], rows[5]["done"]), (1, None))


class LayoutTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        strategies.lists(strategies.text(max_size=30), max_size=6),
        strategies.integers(0, 10**15),
        strategies.integers(12, 30),
    )
    def test_page_size(self, groups, done, page_lines):
        """Guards against names or numbers that make a line or page too long."""
        layout_text = (
            f"title = ['{{day}}']\nfooter = ['{{page}}/{{pages}}']\n"
            f"page_lines = {page_lines}\nline_width = 40\n"
            "order = ['group', 'hour', 'rank']\ncolumns.group.width = 9\n"
            "columns.done.width = 6\nbreaks.group.new_page = true\n"
        )
        hourly_figures = [figure(3, done, group) for group in groups]
        pages = render(
            proxy_day("p" * 90, *hourly_figures, ended=False), layout_text=layout_text
        ).split("\f")
        for number, page in enumerate(pages, 1):
            lines = page.split("\n")
            self.assertEqual(len(lines), page_lines + 1)
            self.assertLessEqual(max(map(len, lines)), 40)
            self.assertEqual(lines[-2], f"{number}/{len(pages)}")

    def test_number_that_does_not_fit(self):
        """Guards against a truncated number that looks like a smaller one."""
        layout_text = "columns.hour.width = 4\ncolumns.done.width = 5\n"
        output = render(proxy_day("p", figure(1, 123_456)), layout_text=layout_text)
        self.assertEqual(cells_of_line_with(output, "01"), ["01", "#####"])

    def test_special_characters_in_names(self):
        """Guards against printing control characters or filling templates in names."""
        output = render(proxy_day("p", figure(1, 1, "\x1b[2J{page}\f\n\u4e2d")))
        self.assertIn("?[2J{page}???", output)
        self.assertNotIn("\x1b", output)

    def test_all_findings_at_once(self):
        """Guards against a layout check that stops at the first wrong key."""
        text = (
            "page_lines = 3\ntitel = []\norder = ['hour']\n[columns.done]\n"
            "format = '>9999999d'\n[columns.x]\nwidth = 0\n"
        )
        with self.assertRaises(errors.InvalidSettings) as caught:
            layout.parse(text, "own.toml")
        found = {
            (finding.location.line, finding.key)
            for finding in caught.exception.findings
        }
        expected = {(1, "page_lines"), (2, "titel"), (3, "order")}
        expected |= {(5, "columns.done.format"), (4, "columns.done.width")}
        self.assertEqual(found, expected | {(7, "columns.x.width")})

    def test_findings_on_combinations_of_keys(self):
        """Guards against accepting a layout that cannot be printed."""
        text = (
            "page_lines = 10\ntitle = ['', '', '', '']\nline_width = 20\n"
            "[columns.sum]\nwidth = 30\n[breaks.rank]\n"
        )
        with self.assertRaises(errors.InvalidSettings) as caught:
            layout.parse(text)
        keys = {finding.key for finding in caught.exception.findings}
        self.assertEqual(keys, {"page_lines", "line_width", "columns.sum", "breaks"})
