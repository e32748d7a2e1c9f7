"""The keys of the settings, and the checks that concern several keys."""

import ipaddress
import pathlib

import msgspec

from cassiahill import validation
from cassiahill.validation import Finding, Key, SourceLocation

SHARED_TABLES = ("groups", "admission")
# The platform holds values of up to 1,000,000 bytes. The difference is reserved for the
# author, the time and the list of changes that are stored with a configuration.
MAX_DOCUMENT_BYTES = 960_000
# Two connections to each server are reserved for probes and takeover.
MIN_CONNECTIONS = 3
RANK_NAMES = ("urgent", "lookup", "routine")
# Kinds of connections, named by the other side; each has its own TLS files.
LINKS = ("callers", "peers", "platform", "backends", "operators")
# Links on which a process accepts connections, so that it needs its own certificate.
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
        Key(f"tls.{link}.{name}", validation.FILE_PATH, f"{meaning} for {link}.")
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


def check(
    document, location_of=lambda path: SourceLocation(), require_process_tables=False
):
    """Return all findings on a merged document.

    Parameters
    ----------
    document : dict
        Merged document of a settings folder.
    location_of : callable
        Takes the path of a key (tuple of str) and returns its ``SourceLocation``.
    require_process_tables : bool
        Whether the tables of a proxy process must be present.

    Returns
    -------
    list of Finding
    """
    size_bytes = _encoded_size_bytes(shared_document(document))
    if size_bytes > MAX_DOCUMENT_BYTES:
        problem = f"the merged configuration has {size_bytes} bytes"
        return [
            Finding(
                SourceLocation(), "", problem, f"at most {MAX_DOCUMENT_BYTES} bytes"
            )
        ]
    if require_process_tables:
        document = {"proxy": {}, "session": {"secrets": {}}, **document}
    checker = validation.DocumentChecker(KEYS, location_of)
    valid_document = checker.check(document)
    for table, check_table in _TABLE_CHECKS.items():
        if table in valid_document:
            check_table(checker, valid_document[table])
    _check_unencrypted_links(checker, valid_document)
    return checker.findings


def _encoded_size_bytes(document):
    try:
        return len(msgspec.json.encode(document))
    except (OverflowError, RecursionError):
        return 0  # No key allows such a value, so the check adds a finding on it.


def reference():
    """Return the table of all keys as Markdown for ``docs/configuration.md``."""
    lines = ["| key | allowed | default | meaning |", "| --- | --- | --- | --- |"]
    for key in KEYS:
        default = "required" if key.required else msgspec.json.encode(key.default)
        if isinstance(default, bytes):
            default = "" if key.default is None else f"`{default.decode()}`"
        lines.append(
            f"| `{key.path}` | {key.value_type.allowed} | {default} | {key.meaning} |"
        )
    return "\n".join(lines) + "\n"


def shared_document(document):
    """Return the shared tables of a document, which ``config apply`` sends."""
    return {name: document[name] for name in SHARED_TABLES if name in document}


def _check_proxy(checker, proxy):
    names = ("caller_address", "peer_address", "operator_address")
    names_by_address = {}
    for name in names:
        address = proxy.get(name, ":0")
        if (
            not address.endswith(":0")
            and names_by_address.setdefault(address, name) != name
        ):
            checker.add_finding(
                ("proxy", name), f"is the same as {names_by_address[address]}"
            )


def _check_session(checker, session):
    secrets = session.get("secrets", {})
    if "current" in session and session["current"] not in secrets:
        allowed = ", ".join(secrets) or "a name in session.secrets"
        checker.add_finding(("session", "current"), "names no secret", allowed)


def _check_admission(checker, admission):
    for table in ("floors", "queue_limits"):
        for rank in admission.get(table, {}):
            if rank not in RANK_NAMES:
                path = ("admission", table, rank)
                checker.add_finding(path, "is not a rank", ", ".join(RANK_NAMES))
    floors = {**DEFAULT_FLOORS_BY_RANK, **admission.get("floors", {})}
    total = sum(floors[rank] for rank in RANK_NAMES)
    if total > 1:
        problem = f"the floors add up to {total:g}"
        checker.add_finding(
            ("admission", "floors"), problem, "at most 1, defaults included"
        )


def _check_groups(checker, groups):
    groups_by_server = {}
    servers_by_address = {}
    for group, table in groups.items():
        if not table.get("servers"):
            checker.add_finding(
                ("groups", group, "servers"), "is missing", "at least one server"
            )
        for server, values in table.get("servers", {}).items():
            path = ("groups", group, "servers", server)
            if groups_by_server.setdefault(server, group) != group:
                checker.add_finding(
                    path, f"is also a server of {groups_by_server[server]}"
                )
            # A server without a valid address gets its path, which is unique, instead.
            address = values.get("address", path)
            if servers_by_address.setdefault(address, server) != server:
                problem = f"is also the address of {servers_by_address[address]}"
                checker.add_finding((*path, "address"), problem)


def _check_tls(checker, tls):
    for link in LINKS:
        files = tls.get(link)
        if files is None:
            continue
        for name, file in files.items():
            if not pathlib.Path(file).is_file():
                checker.add_finding(
                    ("tls", link, name),
                    f"{validation.format_value(file)} is not a file",
                )
        required_names = {"certificate", "key"} if link in _LISTENING_LINKS else set()
        if link not in ("callers", "operators"):
            required_names.add("authority")
        if {"certificate", "key"} & set(files):
            required_names |= {"certificate", "key"}
        for name in sorted(required_names - set(files)):
            checker.add_finding(
                ("tls", link, name), "is missing", validation.FILE_PATH.allowed
            )


# Checks that concern several keys of one table. They see only its valid entries.
_TABLE_CHECKS = {
    "proxy": _check_proxy,
    "session": _check_session,
    "admission": _check_admission,
    "groups": _check_groups,
    "tls": _check_tls,
}


def _linked_addresses(document):
    """Yield the link, the path and the value of each address in a document."""
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


def _check_unencrypted_links(checker, document):
    # Shared tables alone are not checked, because each process has its own TLS files.
    tls = document.get("tls", {})
    if "proxy" not in document or tls.get("allow_plain", False):
        return
    for link, path, address in _linked_addresses(document):
        host = address.rpartition(":")[0].strip("[]")
        if not tls.get(link) and not _is_loopback(host):
            problem = f"{address} is not a loopback address and tls.{link} is not set"
            checker.add_finding(path, problem, f"tls.{link}, or tls.allow_plain = true")
