"""Checking of a document against a table of keys; findings carry their place."""

import difflib
import re
import socket
import tomllib

import attrs

from cassiahill import errors

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHOWN_CHARACTERS = 60
_INVALID = object()


@attrs.frozen
class Place:
    """Where a key was set; ``line`` is 0 when it is not known."""

    file: str = ""
    line: int = 0


@attrs.frozen
class Finding:
    """One thing that is wrong with a document.

    Attributes
    ----------
    place : Place
    key : str
        Dotted path; empty when the finding concerns a whole file.
    problem : str
        What is wrong.
    allowed : str
        What is allowed instead.
    """

    place: Place
    key: str
    problem: str
    allowed: str = ""

    def __str__(self):
        where = self.place.file or "settings"
        if self.place.line:
            where += f":{self.place.line}"
        key = f" {self.key}:" if self.key else ""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{where}:{key} {self.problem}{allowed}"

    def to_json(self):
        """Return the finding as plain values."""
        return {
            "file": self.place.file,
            "line": self.place.line,
            "key": self.key,
            "problem": self.problem,
            "allowed": self.allowed,
        }


@attrs.frozen
class Kind:
    """A type of value.

    Attributes
    ----------
    allowed : str
        Description for findings and the reference.
    accepts : callable
        Whether a value is allowed.
    secret : bool
        Whether findings must not show the value.
    """

    allowed: str
    accepts: callable
    secret: bool = False


@attrs.frozen
class Key:
    """One key of a document; ``*`` in the path stands for a name.

    ``default`` is None when the key has none. A required key must be set wherever its
    table is present.
    """

    path: str
    kind: Kind
    meaning: str
    default: object = None
    required: bool = False


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)


def integer(low, high):
    """Return the kind of integers in a closed range."""
    return Kind(
        f"an integer from {low} to {high}",
        lambda value: _is_integer(value) and low <= value <= high,
    )


def number(low, high):
    """Return the kind of numbers in a closed range."""

    def accepts(value):
        return (_is_integer(value) or isinstance(value, float)) and low <= value <= high

    return Kind(f"a number from {low} to {high}", accepts)


def choice(*values):
    """Return the kind of one of several strings."""
    return Kind(", ".join(values), lambda value: value in values)


def text(most):
    """Return the kind of strings of one to ``most`` characters."""
    return Kind(
        f"a string of 1 to {most} characters",
        lambda value: isinstance(value, str) and 0 < len(value) <= most,
    )


def is_address(value):
    """Return whether a value is ``ip:port``."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    host = host.strip("[]")
    # A configuration holds thousands of addresses, and ``ipaddress`` took a third of
    # the time of its check.
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return re.fullmatch(r"[0-9]{1,5}", port) is not None and int(port) <= 65_535


def is_name(value):
    """Return whether a value can name a process, server, group or domain."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def _is_secret(value):
    if not isinstance(value, str) or not re.fullmatch(r"[0-9A-Fa-f]{32,256}", value):
        return False
    return len(value) % 2 == 0


BOOLEAN = Kind("true or false", lambda value: isinstance(value, bool))
NAME = Kind("1 to 64 letters, digits, '.', '_' or '-'", is_name)
ADDRESS = Kind('"ip:port"', is_address)
ADDRESSES = Kind(
    'a list of "ip:port"',
    lambda value: isinstance(value, list) and all(map(is_address, value)),
)
SECRET = Kind("an even number of 32 to 256 hexadecimal digits", _is_secret, secret=True)
FILE = text(4096)


def show(value, kind=None):
    """Return a value for a finding, shortened; the value of a secret is hidden."""
    if kind is not None and kind.secret:
        return "the value"
    shown = ascii(value)
    if len(shown) > _SHOWN_CHARACTERS:
        return shown[:_SHOWN_CHARACTERS] + "..."
    return shown


class Checker:
    """Collects the findings on one document.

    Parameters
    ----------
    keys : sequence of Key
    place_of : callable
        Takes a path (tuple of str) and returns its ``Place``.
    """

    def __init__(self, keys, place_of=lambda path: Place()):
        self._tree = {}
        self._place_of = place_of
        self.findings = []
        for key in keys:
            node = self._tree
            *parents, last = key.path.split(".")
            for part in parents:
                node = node.setdefault(part, {})
            node[last] = key

    def add(self, path, problem, allowed=""):
        """Record a finding on the key at ``path``, a tuple of str."""
        # Names come from files, so that control characters must not reach a terminal.
        dotted = ".".join(ascii(name)[1:-1] for name in path)
        self.findings.append(Finding(self._place_of(path), dotted, problem, allowed))

    def check(self, document):
        """Check a document; return a copy without the values that have findings."""
        return self._check_table((), document, self._tree)

    def _check_table(self, path, table, node):
        valid = {}
        for name, value in table.items():
            checked = self._check_entry((*path, name), value, node)
            if checked is not _INVALID:
                valid[name] = checked
        for name, key in node.items():
            if isinstance(key, Key) and key.required and name not in table:
                self.add((*path, name), "is missing", key.kind.allowed)
        return valid

    def _check_entry(self, path, value, node):
        name = path[-1]
        rule = None if name == "*" else node.get(name, node.get("*"))
        if rule is None:
            self._add_unknown(path, node)
        elif name not in node and not is_name(name):
            self.add(path, "is not a valid name", NAME.allowed)
        elif isinstance(rule, Key):
            if rule.kind.accepts(value):
                return value
            problem = f"{show(value, rule.kind)} is not allowed"
            self.add(path, problem, rule.kind.allowed)
        elif isinstance(value, dict):
            return self._check_table(path, value, rule)
        else:
            self.add(path, f"{show(value)} is not allowed", "a table")
        return _INVALID

    def _add_unknown(self, path, node):
        known = sorted(node)
        closest = difflib.get_close_matches(str(path[-1]), known, 1, 0.5)
        hint = f"; did you mean {closest[0]}?" if closest else ""
        self.add(path, "is not a known key" + hint, ", ".join(known))


def lines_by_path(source):
    """Return the line of each key that a valid TOML text sets.

    Each statement (a header or a key with its value) is a valid document by itself, so
    lines are collected until the parser accepts them.

    Parameters
    ----------
    source : str

    Returns
    -------
    dict of tuple of str to int
    """
    lines = {}
    table = ()
    pending = ""
    start = 0
    for number, line in enumerate(source.split("\n"), 1):
        if not pending:
            start = number
        pending += line + "\n"
        # Only a line with a closing delimiter can end a value of several lines; the
        # check keeps a long array of plain values from being parsed at each line.
        if start != number and not any(end in line for end in ("]", "}", '"""', "'''")):
            continue
        try:
            parsed = tomllib.loads(pending)
        except tomllib.TOMLDecodeError:
            continue
        paths = list(_paths((), parsed))
        if pending.lstrip().startswith("["):
            table = max(paths, key=len)
            lines.setdefault(table, start)
        else:
            lines.update({(*table, *path): start for path in paths})
        pending = ""
    return lines


def _paths(path, value):
    if isinstance(value, list) and len(value) == 1 and value[0] == {}:
        return
    for name, child in value.items():
        yield (*path, name)
        if isinstance(child, dict):
            yield from _paths((*path, name), child)


def raise_if_any(findings):
    """Raise the error that reports all findings, unless there are none.

    Raises
    ------
    errors.InvalidSettings
        With the findings in its attribute ``findings``.
    """
    if findings:
        error = errors.InvalidSettings("\n".join(map(str, findings)))
        error.findings = tuple(findings)
        raise error
