"""Table of the settings' keys and the checks between keys."""

import ipaddress
import pathlib

import msgspec

from cassiahill import validation
from cassiahill.validation import Finding, Key, Place

SHARED_TABLES = ("groups", "admission")
# The platform holds values of up to 1,000,000 bytes. The difference is kept for the
# author, the time and the list of changes that are stored with a configuration.
MAX_DOCUMENT_BYTES = 960_000
# Two connections of each server are kept for probes and takeover.
MIN_CONNECTIONS = 3
RANK_NAMES = ("urgent", "lookup", "routine")
LINKS = ("callers", "peers", "platform", "backends", "operators")
_LISTENING_LINKS = ("callers", "peers", "operators")

KEYS = (
    Key("proxy.name", validation.NAME, "Name of the process in the fleet.", None, True),
    Key("proxy.failure_domain", validation.NAME, "Its failure domain.", None, True),
    Key("proxy.caller_address", validation.ADDRESS, "Port of callers.", None, True),
    Key(
        "proxy.peer_address",
        validation.ADDRESS,
        "Port of the other proxies, TCP and UDP.",
        None,
        True,
    ),
    Key("proxy.operator_address", validation.ADDRESS, "Port of operators.", None, True),
    Key("proxy.seeds", validation.ADDRESSES, "Peer addresses to join through.", []),
    Key(
        "proxy.fleet_secret",
        validation.SECRET,
        "Key of the messages between proxies; the same in the whole fleet.",
        None,
        True,
    ),
    Key(
        "proxy.drain_deadline_ms",
        validation.integer(1_000, 600_000),
        "Longest time that a drain waits for requests and transactions.",
        30_000,
    ),
    Key(
        "session.current",
        validation.NAME,
        "Name of the secret that signs new session tokens.",
        None,
        True,
    ),
    Key(
        "session.secrets.*",
        validation.SECRET,
        "Secrets that are accepted in session tokens, by name.",
    ),
    Key(
        "platform.address",
        validation.ADDRESS,
        "Object API of the platform; without it, groups come from the files only.",
        None,
        True,
    ),
    Key("tls.allow_plain", validation.BOOLEAN, "Allow links without TLS.", False),
    *(
        Key(f"tls.{link}.{name}", validation.FILE, f"{meaning} for {link}.")
        for link in LINKS
        for name, meaning in (
            ("certificate", "PEM file with the certificate chain of this process"),
            ("key", "PEM file with the key of the certificate"),
            (
                "authority",
                "PEM file with the authorities that the other side must have",
            ),
        )
    ),
    Key(
        "admission.floors.*",
        validation.number(0, 1),
        "Share of the slot time that a rank keeps: urgent, lookup, routine.",
    ),
    Key(
        "admission.queue_limits.*",
        validation.integer(1, 100_000),
        "Longest queue of a rank per backend server: urgent, lookup, routine.",
    ),
    Key(
        "groups.*.acknowledge",
        validation.choice("log", "term"),
        "What a majority must confirm before a write is acknowledged.",
        "log",
    ),
    Key(
        "groups.*.promote",
        validation.choice("majority", "operator"),
        "Who decides when the best reachable log may miss acknowledged writes.",
        "majority",
    ),
    Key("groups.*.servers.*.address", validation.ADDRESS, "Its address.", None, True),
    Key(
        "groups.*.servers.*.failure_domain",
        validation.NAME,
        "Its failure domain.",
        None,
        True,
    ),
    Key(
        "groups.*.servers.*.slots",
        validation.integer(1, 1024),
        "Statements that it executes at once.",
        3,
    ),
    Key(
        "groups.*.servers.*.connections",
        validation.integer(MIN_CONNECTIONS, 100_000),
        "Connections that it accepts; two of them stay in reserve.",
        25,
    ),
)
DEFAULT_FLOORS_BY_RANK = {"urgent": 0.20, "lookup": 0.15, "routine": 0.05}
DEFAULT_QUEUE_LIMITS_BY_RANK = {"urgent": 1_000, "lookup": 1_000, "routine": 1_000}


def check(document, place_of=lambda path: Place(), process=False):
    """Return all findings on a merged document.

    Parameters
    ----------
    document : dict
    place_of : callable
        From a path to its ``Place``.
    process : bool
        Whether the tables of a proxy process must be present.

    Returns
    -------
    list of Finding
    """
    size = _size_of(shared_document(document))
    if size > MAX_DOCUMENT_BYTES:
        problem = f"the merged configuration has {size} bytes"
        return [Finding(Place(), "", problem, f"at most {MAX_DOCUMENT_BYTES} bytes")]
    if process:
        document = {"proxy": {}, "session": {"secrets": {}}, **document}
    checker = validation.Checker(KEYS, place_of)
    valid = checker.check(document)
    for table, check_table in _TABLE_CHECKS.items():
        if table in valid:
            check_table(checker, valid[table])
    _check_plain(checker, valid)
    return checker.findings


def _size_of(document):
    try:
        return len(msgspec.json.encode(document))
    except (OverflowError, RecursionError):
        return 0  # No key allows such a value, so there is a finding on it.


def reference():
    """Return the table of all keys for ``docs/configuration.md``."""
    lines = ["| key | allowed | default | meaning |", "| --- | --- | --- | --- |"]
    for key in KEYS:
        default = "required" if key.required else msgspec.json.encode(key.default)
        if isinstance(default, bytes):
            default = "" if key.default is None else f"`{default.decode()}`"
        lines.append(
            f"| `{key.path}` | {key.kind.allowed} | {default} | {key.meaning} |"
        )
    return "\n".join(lines) + "\n"


def shared_document(document):
    """Return the tables that ``config apply`` sends to the platform."""
    return {name: document[name] for name in SHARED_TABLES if name in document}


def _check_proxy(checker, proxy):
    names = ("caller_address", "peer_address", "operator_address")
    taken = {}
    for name in names:
        address = proxy.get(name, ":0")
        if not address.endswith(":0") and taken.setdefault(address, name) != name:
            checker.add(("proxy", name), f"is the same as {taken[address]}")


def _check_session(checker, session):
    known = session.get("secrets", {})
    if "current" in session and session["current"] not in known:
        allowed = ", ".join(known) or "a name in session.secrets"
        checker.add(("session", "current"), "names no secret", allowed)


def _check_admission(checker, admission):
    for table in ("floors", "queue_limits"):
        for rank in admission.get(table, {}):
            if rank not in RANK_NAMES:
                path = ("admission", table, rank)
                checker.add(path, "is not a rank", ", ".join(RANK_NAMES))
    floors = {**DEFAULT_FLOORS_BY_RANK, **admission.get("floors", {})}
    total = sum(floors[rank] for rank in RANK_NAMES)
    if total > 1:
        problem = f"the floors add up to {total:g}"
        checker.add(("admission", "floors"), problem, "at most 1, defaults included")


def _check_groups(checker, groups):
    groups_by_server = {}
    servers_by_address = {}
    for group, table in groups.items():
        if not table.get("servers"):
            checker.add(
                ("groups", group, "servers"), "is missing", "at least one server"
            )
        for server, values in table.get("servers", {}).items():
            path = ("groups", group, "servers", server)
            if groups_by_server.setdefault(server, group) != group:
                checker.add(path, f"is also a server of {groups_by_server[server]}")
            address = values.get("address", path)
            if servers_by_address.setdefault(address, server) != server:
                problem = f"is also the address of {servers_by_address[address]}"
                checker.add((*path, "address"), problem)


def _check_tls(checker, tls):
    for link in LINKS:
        files = tls.get(link)
        if files is None:
            continue
        for name, file in files.items():
            if not pathlib.Path(file).is_file():
                checker.add(
                    ("tls", link, name), f"{validation.show(file)} is not a file"
                )
        needed = {"certificate", "key"} if link in _LISTENING_LINKS else set()
        if link not in ("callers", "operators"):
            needed.add("authority")
        if {"certificate", "key"} & set(files):
            needed |= {"certificate", "key"}
        for name in sorted(needed - set(files)):
            checker.add(("tls", link, name), "is missing", validation.FILE.allowed)


_TABLE_CHECKS = {
    "proxy": _check_proxy,
    "session": _check_session,
    "admission": _check_admission,
    "groups": _check_groups,
    "tls": _check_tls,
}


def _addresses_by_link(document):
    proxy = document.get("proxy", {})
    for link, name in (
        ("callers", "caller_address"),
        ("peers", "peer_address"),
        ("operators", "operator_address"),
    ):
        if name in proxy:
            yield link, ("proxy", name), proxy[name]
    if "address" in document.get("platform", {}):
        yield "platform", ("platform", "address"), document["platform"]["address"]
    for group, table in document.get("groups", {}).items():
        for server, values in table.get("servers", {}).items():
            path = ("groups", group, "servers", server, "address")
            if "address" in values:
                yield "backends", path, values["address"]


def _is_loopback(host):
    return host.startswith("127.") or (
        ":" in host and ipaddress.ip_address(host).is_loopback
    )


def _check_plain(checker, document):
    # Only a process knows its TLS files; shared tables alone are not judged.
    tls = document.get("tls", {})
    if "proxy" not in document or tls.get("allow_plain", False):
        return
    for link, path, address in _addresses_by_link(document):
        host = address.rpartition(":")[0].strip("[]")
        if not tls.get(link) and not _is_loopback(host):
            problem = f"{address} is not a loopback address and tls.{link} is not set"
            checker.add(path, problem, f"tls.{link}, or tls.allow_plain = true")
