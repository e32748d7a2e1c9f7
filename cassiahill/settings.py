"""Settings of a process: a folder of TOML files merged in the order of their names.

The tables ``groups`` and ``admission`` are shared: the accepted configuration replaces
them. All other tables belong to one process and are never sent to the platform, because
they differ by host or hold secrets.
"""

import pathlib
import re
import tomllib

import attrs

from cassiahill import validation
from cassiahill.settings_keys import (
    DEFAULT_FLOORS_BY_RANK,
    DEFAULT_QUEUE_LIMITS_BY_RANK,
    LINKS,
    SHARED_TABLES,
    check,
    shared_document,
)
from cassiahill.validation import Finding, Place

# Comments do not count as part of the document; this bounds what is read at all.
MAX_FOLDER_BYTES = 8_000_000


@attrs.frozen
class ServerSettings:
    """One backend server."""

    name: str
    group: str
    address: tuple
    failure_domain: str
    slots: int
    connections: int


@attrs.frozen
class GroupSettings:
    """One database group."""

    name: str
    servers_by_name: dict
    acknowledge: str = "log"
    promote: str = "majority"


@attrs.frozen
class TlsFiles:
    """PEM files of one link; an empty name means that the file is not used."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class ProxySettings:
    """Settings of one proxy process.

    ``tls_by_link`` has an entry for each link with TLS. Floors are shares of the slot
    time.
    """

    name: str
    failure_domain: str
    caller_address: tuple
    peer_address: tuple
    operator_address: tuple
    platform_address: tuple | None
    seeds: tuple
    fleet_secret: bytes
    session_secrets_by_id: dict
    current_session_secret: str
    groups_by_name: dict
    drain_deadline_ms: int = 30_000
    floors_by_rank: dict = attrs.field(factory=DEFAULT_FLOORS_BY_RANK.copy)
    queue_limits_by_rank: dict = attrs.field(factory=DEFAULT_QUEUE_LIMITS_BY_RANK.copy)
    tls_by_link: dict = attrs.field(factory=dict)
    allow_plain: bool = False


@attrs.frozen
class Folder:
    """A folder as it was read.

    Attributes
    ----------
    document : dict
        Merged content of the files that could be parsed.
    texts_by_file : dict of str to str
        Text of the files that could be parsed, in merge order.
    findings : tuple of Finding
        What prevented files from being read.
    """

    document: dict
    texts_by_file: dict
    findings: tuple = ()

    def key_locator(self):
        """Return a function from a path to the ``Place`` that set it last."""
        places = {}

        def place_of(path):
            if not places:
                for file, text in self.texts_by_file.items():
                    for known, line in validation.lines_by_path(text).items():
                        places[known] = Place(file, line)
                places[()] = Place()
            while path not in places:
                path = path[:-1]
            return places[path]

        return place_of


def merge(documents):
    """Merge parsed documents; a later one changes single keys of an earlier one."""
    merged = {}
    for document in documents:
        _merge_into(merged, document)
    return merged


def read(folder):
    """Read and merge the TOML files of a folder, collecting what cannot be read.

    Returns
    -------
    Folder
    """
    paths = sorted(pathlib.Path(folder).glob("*.toml"), key=lambda path: path.name)
    if not paths:
        finding = Finding(Place(str(folder)), "", "holds no .toml file")
        return Folder({}, {}, (finding,))
    found = []
    texts = {}
    documents = []
    size = 0
    for path in paths:
        try:
            size += path.stat().st_size
            if size > MAX_FOLDER_BYTES:
                problem = f"the files have more than {MAX_FOLDER_BYTES} bytes"
                found.append(Finding(Place(path.name), "", problem))
                break
            text = path.read_text(encoding="utf-8")
            documents.append(tomllib.loads(text))
            texts[path.name] = text.replace("\r\n", "\n")
        except (OSError, ValueError, RecursionError) as error:
            line = re.search(r"at line (\d+)", str(error))
            place = Place(path.name, int(line.group(1)) if line else 0)
            found.append(Finding(place, "", f"cannot be read: {error}"))
    return Folder(merge(documents), texts, tuple(found))


def check_folder(folder, process=False):
    """Return the folder and all findings on it."""
    content = read(folder)
    found = list(content.findings)
    if content.texts_by_file:
        found += check(content.document, content.key_locator(), process)
    return content, found


def read_document(folder):
    """Return the merged document of the TOML files in a folder.

    Raises
    ------
    errors.InvalidSettings
        With all findings on files that cannot be read.
    """
    content = read(folder)
    validation.raise_if_any(content.findings)
    return content.document


def load(folder):
    """Return the checked ``ProxySettings`` of a folder.

    Raises
    ------
    errors.InvalidSettings
        With all findings.
    """
    content, found = check_folder(folder, process=True)
    validation.raise_if_any(found)
    return _proxy_settings(content.document)


def with_configuration(document, accepted):
    """Return the document of a process with the accepted shared tables."""
    local = {name: t for name, t in document.items() if name not in SHARED_TABLES}
    return {**local, **shared_document(accepted)}


def parse_address(text):
    """Return ``(ip, port)`` of ``"ip:port"``."""
    host, _, port = text.rpartition(":")
    return (host.strip("[]"), int(port))


def build_groups(document):
    """Return the groups that a merged document describes, by name."""
    groups = {}
    for name, table in document.get("groups", {}).items():
        servers = {
            server_name: ServerSettings(
                name=server_name,
                group=name,
                address=parse_address(server["address"]),
                failure_domain=server["failure_domain"],
                slots=server.get("slots", 3),
                connections=server.get("connections", 25),
            )
            for server_name, server in table["servers"].items()
        }
        groups[name] = GroupSettings(
            name,
            servers,
            table.get("acknowledge", "log"),
            table.get("promote", "majority"),
        )
    return groups


def build_proxy_settings(document):
    """Return the settings of a proxy from a merged document.

    Raises
    ------
    errors.InvalidSettings
        With all findings; ``load`` also names the file and line of each.
    """
    validation.raise_if_any(check(document, process=True))
    return _proxy_settings(document)


def update_proxy_settings(current, document, old, new):
    """Return the settings of a running proxy with newly accepted shared tables.

    Only groups that changed are checked and built, because a full check of 7,200
    servers takes about 0.2 s of CPU time. The operator's command checked the whole.

    Parameters
    ----------
    current : ProxySettings
        Settings in use.
    document : dict
        The process's own document.
    old, new : dict
        Shared tables in use and accepted; ``old`` is empty when ``current`` has no
        accepted tables yet.

    Raises
    ------
    errors.InvalidSettings
        With all findings on the groups that changed.
    """
    before = old.get("groups", {})
    groups = new.get("groups", {})
    changed = {name: t for name, t in groups.items() if before.get(name) != t}
    partial = with_configuration(document, {**new, "groups": changed})
    built = build_proxy_settings(partial)
    kept = {name: g for name, g in current.groups_by_name.items() if name in before}
    groups_by_name = {**kept, **built.groups_by_name}
    ordered = {name: groups_by_name[name] for name in groups}
    return attrs.evolve(built, groups_by_name=ordered)


def _proxy_settings(document):
    proxy = document["proxy"]
    session = document["session"]
    admission = document.get("admission", {})
    tls = document.get("tls", {})
    platform = document.get("platform", {}).get("address")
    return ProxySettings(
        name=proxy["name"],
        failure_domain=proxy["failure_domain"],
        caller_address=parse_address(proxy["caller_address"]),
        peer_address=parse_address(proxy["peer_address"]),
        operator_address=parse_address(proxy["operator_address"]),
        platform_address=parse_address(platform) if platform else None,
        seeds=tuple(parse_address(seed) for seed in proxy.get("seeds", ())),
        fleet_secret=bytes.fromhex(proxy["fleet_secret"]),
        session_secrets_by_id={
            key: bytes.fromhex(value) for key, value in session["secrets"].items()
        },
        current_session_secret=session["current"],
        groups_by_name=build_groups(document),
        drain_deadline_ms=proxy.get("drain_deadline_ms", 30_000),
        floors_by_rank={**DEFAULT_FLOORS_BY_RANK, **admission.get("floors", {})},
        queue_limits_by_rank={
            **DEFAULT_QUEUE_LIMITS_BY_RANK,
            **admission.get("queue_limits", {}),
        },
        tls_by_link={link: TlsFiles(**tls[link]) for link in LINKS if tls.get(link)},
        allow_plain=tls.get("allow_plain", False),
    )


def _merge_into(target, source):
    for key, value in source.items():
        if isinstance(value, dict):
            # A copy, so that later files never change an earlier document.
            kept = target.get(key)
            target[key] = kept if isinstance(kept, dict) else {}
            _merge_into(target[key], value)
        else:
            target[key] = value
