"""Validation of a parsed TOML document against a table of keys.

All findings on a document are collected, each with the file and line of its key.
"""

import difflib
import re
import socket
import tomllib

import attrs

from cassiahill import errors

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_MAX_SHOWN_CHARACTERS = 60
# Stands for an entry with findings, which the checked copy of a document leaves out.
_INVALID = object()


@attrs.frozen
class SourceLocation:
    """File and line that set a key; ``line`` is 0 when it is not known."""

    file: str = ""
    line: int = 0


@attrs.frozen
class Finding:
    """One thing that is wrong with a document.

    Attributes
    ----------
    location : SourceLocation
    key : str
        Dotted path; empty when the finding concerns a whole file.
    problem : str
        What is wrong.
    allowed : str
        Description of the allowed values; may be empty.
    """

    location: SourceLocation
    key: str
    problem: str
    allowed: str = ""

    def __str__(self):
        where = self.location.file or "settings"
        if self.location.line:
            where += f":{self.location.line}"
        key = f" {self.key}:" if self.key else ""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{where}:{key} {self.problem}{allowed}"

    def to_json(self):
        """Return the finding as a dict of JSON values."""
        return {
            "file": self.location.file,
            "line": self.location.line,
            "key": self.key,
            "problem": self.problem,
            "allowed": self.allowed,
        }


@attrs.frozen
class ValueType:
    """The type and range of a key's value.

    Attributes
    ----------
    allowed : str
        Description of the allowed values, for findings and the reference page.
    accepts : callable
        Takes a value and returns whether it is allowed.
    secret : bool
        Whether findings must not show the value.
    """

    allowed: str
    accepts: callable
    secret: bool = False


@attrs.frozen
class Key:
    """One key of a document.

    Attributes
    ----------
    path : str
        Dotted path, in which ``*`` stands for any valid name.
    value_type : ValueType
    meaning : str
        Description for the reference page.
    default : object
        None when the key has no default.
    required : bool
        Whether the key must be set wherever its table is present.
    """

    path: str
    value_type: ValueType
    meaning: str
    default: object = None
    required: bool = False


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)


def integer(low, high):
    """Return the type of an integer from ``low`` to ``high``, both included."""
    return ValueType(
        f"an integer from {low} to {high}",
        lambda value: _is_integer(value) and low <= value <= high,
    )


def number(low, high):
    """Return the type of a number from ``low`` to ``high``, both included."""

    def accepts(value):
        return (_is_integer(value) or isinstance(value, float)) and low <= value <= high

    return ValueType(f"a number from {low} to {high}", accepts)


def choice(*values):
    """Return the type of a string that is one of ``values``."""
    return ValueType(", ".join(values), lambda value: value in values)


def string(max_characters):
    """Return the type of a string of 1 to ``max_characters`` characters."""
    return ValueType(
        f"a string of 1 to {max_characters} characters",
        lambda value: isinstance(value, str) and 0 < len(value) <= max_characters,
    )


def is_address(value):
    """Return whether a value is a string ``ip:port``."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    host = host.strip("[]")
    # Not the ``ipaddress`` module: a configuration holds thousands of addresses, and
    # with that module, parsing them takes a third of the time of the whole check.
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return re.fullmatch(r"[0-9]{1,5}", port) is not None and int(port) <= 65_535


def is_name(value):
    """Return whether a value is a valid name of a process, server, group or domain."""
    return isinstance(value, str) and _NAME_PATTERN.fullmatch(value) is not None


def _is_secret(value):
    if not isinstance(value, str) or not re.fullmatch(r"[0-9A-Fa-f]{32,256}", value):
        return False
    return len(value) % 2 == 0


BOOLEAN = ValueType("true or false", lambda value: isinstance(value, bool))
NAME = ValueType("1 to 64 letters, digits, '.', '_' or '-'", is_name)
ADDRESS = ValueType('"ip:port"', is_address)
ADDRESSES = ValueType(
    'a list of "ip:port"',
    lambda value: isinstance(value, list) and all(map(is_address, value)),
)
SECRET = ValueType(
    "an even number of 32 to 256 hexadecimal digits", _is_secret, secret=True
)
FILE_PATH = string(4096)


def format_value(value, value_type=None):
    """Return the text of a value for a finding, truncated; a secret is not shown."""
    if value_type is not None and value_type.secret:
        return "the value"
    escaped = ascii(value)
    if len(escaped) > _MAX_SHOWN_CHARACTERS:
        return escaped[:_MAX_SHOWN_CHARACTERS] + "..."
    return escaped


class DocumentChecker:
    """Checks one document and collects the findings on it.

    Parameters
    ----------
    keys : sequence of Key
    location_of : callable
        Takes the path of a key (tuple of str) and returns its ``SourceLocation``.
    """

    def __init__(self, keys, location_of=lambda path: SourceLocation()):
        # The rules are nested like the document: a table has a dictionary of rules by
        # name, and a value has its ``Key``.
        self._rules = {}
        self._location_of = location_of
        self.findings = []
        for key in keys:
            rules = self._rules
            *parents, last = key.path.split(".")
            for part in parents:
                rules = rules.setdefault(part, {})
            rules[last] = key

    def add_finding(self, path, problem, allowed=""):
        """Add a finding on the key at ``path``, a tuple of str."""
        # Names come from files; escaping keeps control characters from a terminal.
        dotted_path = ".".join(ascii(name)[1:-1] for name in path)
        self.findings.append(
            Finding(self._location_of(path), dotted_path, problem, allowed)
        )

    def check(self, document):
        """Check a document; return a copy without the entries that have findings."""
        return self._check_table((), document, self._rules)

    def _check_table(self, path, table, rules):
        valid_entries = {}
        for name, value in table.items():
            checked_value = self._check_entry((*path, name), value, rules)
            if checked_value is not _INVALID:
                valid_entries[name] = checked_value
        for name, rule in rules.items():
            if isinstance(rule, Key) and rule.required and name not in table:
                self.add_finding((*path, name), "is missing", rule.value_type.allowed)
        return valid_entries

    def _check_entry(self, path, value, rules):
        """Return the valid part of an entry's value, or ``_INVALID``."""
        name = path[-1]
        rule = None if name == "*" else rules.get(name, rules.get("*"))
        if rule is None:
            self._add_unknown_key(path, rules)
        elif name not in rules and not is_name(name):
            self.add_finding(path, "is not a valid name", NAME.allowed)
        elif isinstance(rule, Key):
            if rule.value_type.accepts(value):
                return value
            problem = f"{format_value(value, rule.value_type)} is not allowed"
            self.add_finding(path, problem, rule.value_type.allowed)
        elif isinstance(value, dict):
            return self._check_table(path, value, rule)
        else:
            self.add_finding(path, f"{format_value(value)} is not allowed", "a table")
        return _INVALID

    def _add_unknown_key(self, path, rules):
        known_names = sorted(rules)
        closest_names = difflib.get_close_matches(str(path[-1]), known_names, 1, 0.5)
        hint = f"; did you mean {closest_names[0]}?" if closest_names else ""
        self.add_finding(path, "is not a known key" + hint, ", ".join(known_names))


def lines_by_path(toml_text):
    """Return the line of each key that a valid TOML text sets.

    A table header, and a key with its value, are each a valid document by themselves,
    so lines are joined until the parser accepts them.

    Parameters
    ----------
    toml_text : str
        Text with lines that end with a line feed.

    Returns
    -------
    dict of tuple of str to int
        Line numbers, starting at 1, by path.
    """
    line_numbers = {}
    table = ()
    pending_text = ""
    first_line = 0
    for number, line in enumerate(toml_text.split("\n"), 1):
        if not pending_text:
            first_line = number
        pending_text += line + "\n"
        # Only a line with a closing delimiter can end a value of several lines. Without
        # this check, a long array would be parsed again at each of its lines.
        if first_line != number and not any(
            delimiter in line for delimiter in ("]", "}", '"""', "'''")
        ):
            continue
        try:
            parsed = tomllib.loads(pending_text)
        except tomllib.TOMLDecodeError:
            continue
        paths = list(_key_paths((), parsed))
        if pending_text.lstrip().startswith("["):
            table = max(paths, key=len)
            line_numbers.setdefault(table, first_line)
        else:
            line_numbers.update({(*table, *path): first_line for path in paths})
        pending_text = ""
    return line_numbers


def _key_paths(path, value):
    """Yield the paths of all keys in a table and the tables within it."""
    if isinstance(value, list) and len(value) == 1 and value[0] == {}:
        return
    for name, child in value.items():
        yield (*path, name)
        if isinstance(child, dict):
            yield from _key_paths((*path, name), child)


def raise_if_any(findings):
    """Raise an error with all findings if there are any.

    Raises
    ------
    errors.InvalidSettings
        With the findings in its attribute ``findings``.
    """
    if findings:
        error = errors.InvalidSettings("\n".join(map(str, findings)))
        error.findings = tuple(findings)
        raise error
