"""Layout of the daily report: its TOML form, columns, cells and pages."""

import importlib.resources
import pathlib
import re
import tomllib
import unicodedata

import attrs

from cassiahill import errors, validation
from cassiahill.validation import Key, Kind, Place

NEW_PAGE = object()
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
_FORMAT = re.compile(r",?(d|(\.[0-6])?[f%])")


def _strings(most):
    def accepts(value):
        return (
            isinstance(value, list)
            and len(value) <= most
            and all(isinstance(line, str) and len(line) <= 300 for line in value)
        )

    return Kind(f"a list of up to {most} strings", accepts)


_ORDER = Kind(
    "a list with hour, group and rank in any order",
    lambda value: (
        isinstance(value, list) and sorted(map(str, value)) == sorted(LABEL_FIELDS)
    ),
)
_SHORT = Kind(
    "a string of 0 to 60 characters",
    lambda value: isinstance(value, str) and len(value) <= 60,
)
_CHARACTER = Kind(
    "one printable character",
    lambda value: isinstance(value, str) and len(value) == 1 and value.isprintable(),
)
_NUMBER_FORMAT = Kind(
    '"d", "f" or "%", with "," for thousands and ".0" to ".6" for decimals',
    lambda value: isinstance(value, str) and _FORMAT.fullmatch(value) is not None,
)
KEYS = (
    Key("title", _strings(5), "Lines at the top of each page.", ["{day}"]),
    Key("footer", _strings(5), "Lines at the bottom of each page.", []),
    Key("page_lines", validation.integer(10, 1000), "Lines of a page.", 60),
    Key("line_width", validation.integer(20, 500), "Characters of a line.", 100),
    Key("separator", validation.integer(0, 10), "Blanks between columns.", 2),
    Key("order", _ORDER, "Order of the rows.", list(LABEL_FIELDS)),
    Key("zero_rows", validation.BOOLEAN, "Whether rows of zeros are printed.", False),
    Key("gap", _CHARACTER, "Stands for a figure that is not known.", "-"),
    Key("mark", _CHARACTER, "Marks a figure that is not complete.", "*"),
    Key("total", _SHORT, "Label of the total; empty for none.", ""),
    Key("columns.*.heading", _SHORT, "Heading; the field's name if not set."),
    Key("columns.*.width", validation.integer(1, 200), "Width.", None, True),
    Key("columns.*.format", _NUMBER_FORMAT, "Format of a number.", ",d"),
    Key("breaks.*.subtotal", _SHORT, "Label of the subtotal; {value} is replaced.", ""),
    Key("breaks.*.new_page", validation.BOOLEAN, "Whether a new page starts.", False),
)


@attrs.frozen
class Column:
    """One column; labels are aligned left and numbers right."""

    field: str
    heading: str
    width: int
    format: str


@attrs.frozen
class Break:
    """A group break on a field."""

    field: str
    subtotal: str
    new_page: bool


@attrs.frozen
class Layout:
    """A checked layout."""

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
        """Return the two lines above the rows of a page."""
        names = [self._align(column, column.heading) for column in self.columns]
        rules = ["-" * column.width for column in self.columns]
        return [self._join(names), self._join(rules)]

    def row_line(self, row, label=None):
        """Return the line of a row; a label takes the place of the leading labels."""
        cells = [
            self._align(column, self._cell(column, row)) for column in self.columns
        ]
        if label is not None:
            count = 0
            while count < len(self.columns) and self._is_label(self.columns[count]):
                count += 1
            gaps = self.separator * max(0, count - 1)
            width = sum(column.width for column in self.columns[:count]) + gaps
            if count:
                cells[:count] = [_fit(label, width)]
        return self._join(cells)

    def _is_label(self, column):
        return column.field in LABEL_FIELDS

    def _cell(self, column, row):
        value = row.value(column.field)
        if value is None:
            return self.gap
        if isinstance(value, str):
            return value
        if column.format.endswith("d"):
            value = round(value)
        text = format(value, column.format)
        return text + self.mark if row.incomplete(column.field) else text

    def _align(self, column, text):
        if self._is_label(column):
            return _fit(text, column.width)
        text = printable(text)
        # A cut number would read as another number.
        return (
            text.rjust(column.width)
            if len(text) <= column.width
            else ("#" * column.width)
        )

    def _join(self, cells):
        return (" " * self.separator).join(cells)


def printable(text):
    """Return a text in which each character takes one column of a terminal."""
    return "".join(
        character if _takes_one_column(character) else "?"
        for character in unicodedata.normalize("NFC", text)
    )


def _takes_one_column(character):
    return (
        character.isprintable()
        and not unicodedata.combining(character)
        and unicodedata.category(character) != "Me"
        and unicodedata.east_asian_width(character) not in ("W", "F")
    )


def _fit(text, width):
    text = printable(text)
    return text.ljust(width) if len(text) <= width else text[: width - 1] + "~"


def read(path=None):
    """Return the layout in a TOML file, or the default layout.

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
    """Return the ``Layout`` that a TOML text describes."""
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise errors.InvalidSettings(f"{file}: {error}") from error
    lines = {}

    def place_of(path):
        if not lines:
            lines.update(validation.lines_by_path(text))
        while path and path not in lines:
            path = path[:-1]
        return Place(file, lines.get(path, 0))

    checker = validation.Checker(KEYS, place_of)
    checker.check(document)
    validation.raise_if_any(checker.findings)
    result = _layout_of(document)
    _check_layout(checker, result)
    validation.raise_if_any(checker.findings)
    return result


def _layout_of(document):
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
        Break(field, table.get("subtotal", ""), table.get("new_page", False))
        for field, table in document.get("breaks", {}).items()
    )
    return Layout(**values, columns=columns, breaks=breaks)


def _check_layout(checker, result):
    if not result.columns:
        checker.add(("columns",), "is missing", "at least one column")
    for column in result.columns:
        if column.field not in FIELDS:
            checker.add(("columns", column.field), "is not a field", ", ".join(FIELDS))
    used = [one.field for one in result.breaks]
    if used != list(result.order[: len(used)]):
        checker.add(
            ("breaks",),
            f"{', '.join(used)} does not start the order",
            f"breaks on the first of {', '.join(result.order)}",
        )
    width = sum(column.width for column in result.columns)
    width += result.separator * max(0, len(result.columns) - 1)
    if width > result.line_width:
        checker.add(("line_width",), f"the columns take {width} characters")
    fixed = len(result.title) + len(result.footer) + 2
    if result.page_lines < fixed + MIN_BODY_LINES:
        problem = f"{fixed} lines are taken by title, headings and footer"
        checker.add(("page_lines",), problem, f"at least {fixed + MIN_BODY_LINES}")


def paginate(lines, page_layout, day):
    """Return the pages of a report as one text.

    Every page has exactly ``page_lines`` lines of at most ``line_width`` characters;
    pages are separated by a form feed.

    Parameters
    ----------
    lines : iterable of str or NEW_PAGE
    page_layout : Layout
    day : str
    """
    room = page_layout.page_lines - len(page_layout.title) - len(page_layout.footer) - 2
    pages = [[]]
    for line in lines:
        if line is NEW_PAGE or len(pages[-1]) == room:
            pages.append([])
        # A page does not start with the blank line that separates two groups.
        if line is not NEW_PAGE and (line or pages[-1]):
            pages[-1].append(line)
    if len(pages) > 1 and not pages[-1]:
        pages.pop()

    def filled(templates, number):
        for template in templates:
            text = template.replace("{day}", day).replace("{page}", str(number))
            yield text.replace("{pages}", str(len(pages)))

    texts = []
    for number, body in enumerate(pages, 1):
        page = [
            *filled(page_layout.title, number),
            *page_layout.headings(),
            *body,
            *[""] * (room - len(body)),
            *filled(page_layout.footer, number),
        ]
        width = page_layout.line_width
        texts.append("".join(_fit(line, width).rstrip() + "\n" for line in page))
    return "\f".join(texts)
