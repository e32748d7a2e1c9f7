"""Layout of the daily report: the keys of its TOML file, columns, and pages."""

import importlib.resources
import pathlib
import re
import tomllib
import unicodedata

import attrs

from cassiahill import errors, validation
from cassiahill.validation import Key, SourceLocation, ValueType

# Marks the start of a new page among the lines of a report.
NEW_PAGE = object()
# Fields of a row that a column can show.
LABEL_FIELDS = ("hour", "group", "rank")
NUMBER_FIELDS = (
    "requests",
    "done",
    "not_run",
    "unknown",
    "late",
    "reads",
    "replica_reads",
    "replica_share",
    "p50_ms",
    "p99_ms",
)
FIELDS = LABEL_FIELDS + NUMBER_FIELDS
MIN_BODY_LINES = 5
MAX_LAYOUT_BYTES = 100_000
_FORMAT_PATTERN = re.compile(r",?(d|(\.[0-6])?[f%])")


def _strings(max_count):
    """Return the type of a list of up to ``max_count`` strings."""

    def accepts(value):
        return (
            isinstance(value, list)
            and len(value) <= max_count
            and all(isinstance(line, str) and len(line) <= 300 for line in value)
        )

    return ValueType(f"a list of up to {max_count} strings", accepts)


_ROW_ORDER = ValueType(
    "a list with hour, group and rank in any order",
    lambda value: (
        isinstance(value, list) and sorted(map(str, value)) == sorted(LABEL_FIELDS)
    ),
)
_SHORT_TEXT = ValueType(
    "a string of 0 to 60 characters",
    lambda value: isinstance(value, str) and len(value) <= 60,
)
_CHARACTER = ValueType(
    "one printable character",
    lambda value: isinstance(value, str) and len(value) == 1 and value.isprintable(),
)
_NUMBER_FORMAT = ValueType(
    '"d", "f" or "%", with "," for thousands and ".0" to ".6" for decimals',
    lambda value: (
        isinstance(value, str) and _FORMAT_PATTERN.fullmatch(value) is not None
    ),
)
KEYS = (
    Key("title", _strings(5), "Lines at the top of each page.", ["{day}"]),
    Key("footer", _strings(5), "Lines at the bottom of each page.", []),
    Key("page_lines", validation.integer(10, 1000), "Lines of a page.", 60),
    Key("line_width", validation.integer(20, 500), "Characters of a line.", 100),
    Key("separator", validation.integer(0, 10), "Blanks between columns.", 2),
    Key("order", _ROW_ORDER, "Order of the rows.", list(LABEL_FIELDS)),
    Key("zero_rows", validation.BOOLEAN, "Whether rows of zeros are printed.", False),
    Key("gap", _CHARACTER, "Stands for a figure that is not known.", "-"),
    Key("mark", _CHARACTER, "Marks a figure that is not complete.", "*"),
    Key("total", _SHORT_TEXT, "Label of the total; empty for none.", ""),
    Key("columns.*.heading", _SHORT_TEXT, "Heading; the field's name if not set."),
    Key("columns.*.width", validation.integer(1, 200), "Width.", None, True),
    Key("columns.*.format", _NUMBER_FORMAT, "Format of a number.", ",d"),
    Key(
        "breaks.*.subtotal",
        _SHORT_TEXT,
        "Label of the subtotal; {value} is replaced.",
        "",
    ),
    Key("breaks.*.new_page", validation.BOOLEAN, "Whether a new page starts.", False),
)


@attrs.frozen
class Column:
    """A column of the report; labels are aligned left and numbers right."""

    field: str
    heading: str
    width: int
    format: str


@attrs.frozen
class ControlBreak:
    """A control break: rows with the same value of a field form a group.

    Attributes
    ----------
    field : str
    subtotal : str
        Label of the line after each group; empty for none.
    new_page : bool
        Whether each group starts on a new page.
    """

    field: str
    subtotal: str
    new_page: bool


@attrs.frozen
class Layout:
    """A checked layout; its attributes are the keys in ``KEYS``."""

    title: list
    footer: list
    page_lines: int
    line_width: int
    separator: int
    order: list
    zero_rows: bool
    gap: str
    mark: str
    total: str
    columns: tuple
    breaks: tuple

    def headings(self):
        """Return the two lines above the rows of a page: headings and a rule."""
        heading_cells = [
            self._align_cell(column, column.heading) for column in self.columns
        ]
        rule_cells = ["-" * column.width for column in self.columns]
        return [self._join_cells(heading_cells), self._join_cells(rule_cells)]

    def row_line(self, row, label=None):
        """Return the text line of a row of the report.

        Parameters
        ----------
        row : report.Row
        label : str or None
            Text of a total; takes the place of the label columns before the first
            number column.
        """
        cells = [
            self._align_cell(column, self._format_cell(column, row))
            for column in self.columns
        ]
        if label is not None:
            label_count = 0
            while label_count < len(self.columns) and self._is_label_column(
                self.columns[label_count]
            ):
                label_count += 1
            separators_width = self.separator * max(0, label_count - 1)
            width = (
                sum(column.width for column in self.columns[:label_count])
                + separators_width
            )
            if label_count:
                cells[:label_count] = [_fit_to_width(label, width)]
        return self._join_cells(cells)

    def _is_label_column(self, column):
        return column.field in LABEL_FIELDS

    def _format_cell(self, column, row):
        value = row.value(column.field)
        if value is None:
            return self.gap
        if isinstance(value, str):
            return value
        if column.format.endswith("d"):
            value = round(value)
        text = format(value, column.format)
        return text + self.mark if row.is_incomplete(column.field) else text

    def _align_cell(self, column, text):
        if self._is_label_column(column):
            return _fit_to_width(text, column.width)
        text = to_single_width(text)
        # A truncated number would look like another number.
        return (
            text.rjust(column.width)
            if len(text) <= column.width
            else ("#" * column.width)
        )

    def _join_cells(self, cells):
        return (" " * self.separator).join(cells)


def to_single_width(text):
    """Return a text with ``?`` for characters that do not take one terminal column."""
    return "".join(
        character if _is_one_column_wide(character) else "?"
        for character in unicodedata.normalize("NFC", text)
    )


def _is_one_column_wide(character):
    return (
        character.isprintable()
        and not unicodedata.combining(character)
        and unicodedata.category(character) != "Me"
        and unicodedata.east_asian_width(character) not in ("W", "F")
    )


def _fit_to_width(text, width):
    """Return a text padded or truncated to a width; ``~`` marks a truncated one."""
    text = to_single_width(text)
    return text.ljust(width) if len(text) <= width else text[: width - 1] + "~"


def read(path=None):
    """Return the layout in a TOML file, or the default layout.

    Parameters
    ----------
    path : str or None
        None for the default layout.

    Returns
    -------
    Layout

    Raises
    ------
    errors.InvalidSettings
        With all findings.
    """
    if path is None:
        resource = importlib.resources.files("cassiahill") / "report_default.toml"
        return parse(resource.read_text(encoding="utf-8"), resource.name)
    try:
        with pathlib.Path(path).open("rb") as file:
            content = file.read(MAX_LAYOUT_BYTES + 1)
        if len(content) > MAX_LAYOUT_BYTES:
            raise errors.InvalidSettings(f"{path}: more than {MAX_LAYOUT_BYTES} bytes")
        return parse(content.decode("utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidSettings(f"{path}: cannot be read: {error}") from error


def parse(text, file=""):
    """Return the ``Layout`` that a TOML text describes.

    Parameters
    ----------
    text : str
    file : str
        Name of the file for findings.

    Raises
    ------
    errors.InvalidSettings
        With all findings.
    """
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise errors.InvalidSettings(f"{file}: {error}") from error
    line_numbers = {}

    def location_of(path):
        if not line_numbers:
            line_numbers.update(validation.lines_by_path(text))
        while path and path not in line_numbers:
            path = path[:-1]
        return SourceLocation(file, line_numbers.get(path, 0))

    checker = validation.DocumentChecker(KEYS, location_of)
    checker.check(document)
    validation.raise_if_any(checker.findings)
    parsed_layout = _build_layout(document)
    _check_layout(checker, parsed_layout)
    validation.raise_if_any(checker.findings)
    return parsed_layout


def _build_layout(document):
    values = {
        key.path: document.get(key.path, key.default)
        for key in KEYS
        if "." not in key.path
    }
    columns = tuple(
        Column(
            field,
            table.get("heading", field),
            table["width"],
            table.get("format", ",d"),
        )
        for field, table in document.get("columns", {}).items()
    )
    breaks = tuple(
        ControlBreak(field, table.get("subtotal", ""), table.get("new_page", False))
        for field, table in document.get("breaks", {}).items()
    )
    return Layout(**values, columns=columns, breaks=breaks)


def _check_layout(checker, page_layout):
    """Add findings on columns, breaks and sizes that do not fit together."""
    if not page_layout.columns:
        checker.add_finding(("columns",), "is missing", "at least one column")
    for column in page_layout.columns:
        if column.field not in FIELDS:
            checker.add_finding(
                ("columns", column.field), "is not a field", ", ".join(FIELDS)
            )
    break_fields = [group_break.field for group_break in page_layout.breaks]
    if break_fields != list(page_layout.order[: len(break_fields)]):
        checker.add_finding(
            ("breaks",),
            f"{', '.join(break_fields)} does not start the order",
            f"breaks on the first of {', '.join(page_layout.order)}",
        )
    width = sum(column.width for column in page_layout.columns)
    width += page_layout.separator * max(0, len(page_layout.columns) - 1)
    if width > page_layout.line_width:
        checker.add_finding(("line_width",), f"the columns take {width} characters")
    # Each page has the title, the footer and the two lines of headings.
    fixed_lines = len(page_layout.title) + len(page_layout.footer) + 2
    if page_layout.page_lines < fixed_lines + MIN_BODY_LINES:
        problem = f"{fixed_lines} lines are taken by title, headings and footer"
        checker.add_finding(
            ("page_lines",), problem, f"at least {fixed_lines + MIN_BODY_LINES}"
        )


def paginate(lines, page_layout, day):
    """Return the pages of a report as one text.

    Every page has exactly ``page_lines`` lines of at most ``line_width`` characters.
    Pages are separated by a form feed.

    Parameters
    ----------
    lines : iterable of str or NEW_PAGE
        Lines of the body.
    page_layout : Layout
    day : str
        Replaces ``{day}`` in the title and the footer.
    """
    # The other lines of a page are the title, the footer and two lines of headings.
    body_line_count = (
        page_layout.page_lines - len(page_layout.title) - len(page_layout.footer) - 2
    )
    bodies = [[]]
    for line in lines:
        if line is NEW_PAGE or len(bodies[-1]) == body_line_count:
            bodies.append([])
        # A page does not start with the blank line that separates two groups.
        if line is not NEW_PAGE and (line or bodies[-1]):
            bodies[-1].append(line)
    if len(bodies) > 1 and not bodies[-1]:
        bodies.pop()

    def fill_templates(templates, page_number):
        for template in templates:
            text = template.replace("{day}", day).replace("{page}", str(page_number))
            yield text.replace("{pages}", str(len(bodies)))

    page_texts = []
    for page_number, body in enumerate(bodies, 1):
        page = [
            *fill_templates(page_layout.title, page_number),
            *page_layout.headings(),
            *body,
            *[""] * (body_line_count - len(body)),
            *fill_templates(page_layout.footer, page_number),
        ]
        width = page_layout.line_width
        page_texts.append(
            "".join(_fit_to_width(line, width).rstrip() + "\n" for line in page)
        )
    return "\f".join(page_texts)
