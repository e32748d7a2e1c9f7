"""Settings of a process: a folder of TOML files merged in the order of their names.

The tables ``groups`` and ``admission`` are shared: the accepted configuration of the
platform replaces them. All other tables are local to one process and never sent to the
platform, because they differ by host or hold secrets.
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
from cassiahill.validation import Finding, SourceLocation

# Bounds the memory for reading the files. It exceeds the limit of the merged document,
# because comments do not count there.
MAX_FOLDER_BYTES = 8_000_000


@attrs.frozen
class ServerSettings:
    """Settings of one backend server.

    Attributes
    ----------
    name : str
    group : str
    address : tuple of (str, int)
    failure_domain : str
    slots : int
        Statements that the server executes at once.
    connections : int
        Connections that the server accepts.
    """

    name: str
    group: str
    address: tuple
    failure_domain: str
    slots: int
    connections: int


@attrs.frozen
class GroupSettings:
    """Settings of one database group.

    Attributes
    ----------
    name : str
    servers_by_name : dict of str to ServerSettings
    acknowledge : str
        What a majority must confirm before a write is acknowledged: ``log`` or
        ``term``.
    promote : str
        Who decides on a promotion that may lose acknowledged writes: ``majority`` or
        ``operator``.
    """

    name: str
    servers_by_name: dict
    acknowledge: str = "log"
    promote: str = "majority"


@attrs.frozen
class TlsFiles:
    """Paths of the PEM files of one link; an empty path stands for no file."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class ProxySettings:
    """Settings of one proxy process.

    Addresses are ``(ip, port)``. ``tls_by_link`` has ``TlsFiles`` for each link with
    TLS. Floors are shares of the slot time that are reserved for a rank.
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
class SettingsFolder:
    """The content of a settings folder.

    Attributes
    ----------
    document : dict
        Merged content of the files that could be parsed.
    texts_by_file : dict of str to str
        Text of the files that could be parsed, in merge order.
    findings : tuple of Finding
        Findings on the files that cannot be read or parsed.
    """

    document: dict
    texts_by_file: dict
    findings: tuple = ()

    def key_locator(self):
        """Return a function that finds where a key was set last.

        The function takes a path (tuple of str) and returns a ``SourceLocation``, that
        of the closest table if no file sets the key. The files are searched at the
        first call.
        """
        locations_by_path = {}

        def location_of(path):
            if not locations_by_path:
                for file, text in self.texts_by_file.items():
                    for path_in_file, line in validation.lines_by_path(text).items():
                        locations_by_path[path_in_file] = SourceLocation(file, line)
                locations_by_path[()] = SourceLocation()
            while path not in locations_by_path:
                path = path[:-1]
            return locations_by_path[path]

        return location_of


def merge(documents):
    """Return parsed documents merged key by key; later documents take precedence."""
    merged = {}
    for document in documents:
        _merge_into(merged, document)
    return merged


def read(folder):
    """Read and merge the TOML files of a folder.

    Files that cannot be read or parsed are left out, with a finding on each.

    Returns
    -------
    SettingsFolder
    """
    paths = sorted(pathlib.Path(folder).glob("*.toml"), key=lambda path: path.name)
    if not paths:
        finding = Finding(SourceLocation(str(folder)), "", "holds no .toml file")
        return SettingsFolder({}, {}, (finding,))
    all_findings = []
    texts_by_file = {}
    documents = []
    total_bytes = 0
    for path in paths:
        try:
            total_bytes += path.stat().st_size
            if total_bytes > MAX_FOLDER_BYTES:
                problem = f"the files have more than {MAX_FOLDER_BYTES} bytes"
                all_findings.append(Finding(SourceLocation(path.name), "", problem))
                break
            text = path.read_text(encoding="utf-8")
            documents.append(tomllib.loads(text))
            texts_by_file[path.name] = text.replace("\r\n", "\n")
        except (OSError, ValueError, RecursionError) as error:
            match = re.search(r"at line (\d+)", str(error))
            location = SourceLocation(path.name, int(match.group(1)) if match else 0)
            all_findings.append(Finding(location, "", f"cannot be read: {error}"))
    return SettingsFolder(merge(documents), texts_by_file, tuple(all_findings))


def check_folder(folder, require_process_tables=False):
    """Return the content of a folder and all findings on it.

    Parameters
    ----------
    folder : str or pathlib.Path
    require_process_tables : bool
        Whether the tables of a proxy process must be present.

    Returns
    -------
    tuple of (SettingsFolder, list of Finding)
    """
    content = read(folder)
    all_findings = list(content.findings)
    if content.texts_by_file:
        all_findings += check(
            content.document, content.key_locator(), require_process_tables
        )
    return content, all_findings


def read_document(folder):
    """Return the merged document of the TOML files in a folder.

    Raises
    ------
    errors.InvalidSettings
        With findings on the files that cannot be read.
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
    content, all_findings = check_folder(folder, require_process_tables=True)
    validation.raise_if_any(all_findings)
    return _build_proxy_settings(content.document)


def with_shared_tables(document, accepted_tables):
    """Return a process's document with its shared tables replaced by accepted ones."""
    local_tables = {
        name: table for name, table in document.items() if name not in SHARED_TABLES
    }
    return {**local_tables, **shared_document(accepted_tables)}


def parse_address(text):
    """Return the ``(ip, port)`` of a checked address ``ip:port``."""
    host, _, port = text.rpartition(":")
    return (host.strip("[]"), int(port))


def build_groups(document):
    """Return the ``GroupSettings`` of a merged document by name."""
    groups_by_name = {}
    for name, table in document.get("groups", {}).items():
        servers_by_name = {
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
        groups_by_name[name] = GroupSettings(
            name,
            servers_by_name,
            table.get("acknowledge", "log"),
            table.get("promote", "majority"),
        )
    return groups_by_name


def build_proxy_settings(document):
    """Check a merged document and return the ``ProxySettings`` that it describes.

    Raises
    ------
    errors.InvalidSettings
        With all findings; ``load`` also names the file and line of each.
    """
    validation.raise_if_any(check(document, require_process_tables=True))
    return _build_proxy_settings(document)


def update_proxy_settings(current, document, old, new):
    """Return the settings of a running proxy with newly accepted shared tables.

    Only groups that changed are checked and built, because a full check of 7,200
    servers takes about 0.2 s of CPU time. The operator's command has checked the whole
    document before it was accepted.

    Parameters
    ----------
    current : ProxySettings
        Settings in use.
    document : dict
        Merged document of the process's settings folder.
    old, new : dict
        Accepted shared tables that ``current`` was built with, and those that replace
        them; ``old`` is empty when no accepted tables are in use yet.

    Raises
    ------
    errors.InvalidSettings
        With all findings on the groups that changed.
    """
    old_groups = old.get("groups", {})
    new_groups = new.get("groups", {})
    changed_groups = {
        name: table
        for name, table in new_groups.items()
        if old_groups.get(name) != table
    }
    partial_document = with_shared_tables(document, {**new, "groups": changed_groups})
    partial_settings = build_proxy_settings(partial_document)
    kept_groups = {
        name: group
        for name, group in current.groups_by_name.items()
        if name in old_groups
    }
    groups_by_name = {**kept_groups, **partial_settings.groups_by_name}
    ordered_groups = {name: groups_by_name[name] for name in new_groups}
    return attrs.evolve(partial_settings, groups_by_name=ordered_groups)


def _build_proxy_settings(document):
    """Return the ``ProxySettings`` of a merged document that has been checked."""
    proxy = document["proxy"]
    session = document["session"]
    admission = document.get("admission", {})
    tls = document.get("tls", {})
    platform_address = document.get("platform", {}).get("address")
    return ProxySettings(
        name=proxy["name"],
        failure_domain=proxy["failure_domain"],
        caller_address=parse_address(proxy["caller_address"]),
        peer_address=parse_address(proxy["peer_address"]),
        operator_address=parse_address(proxy["operator_address"]),
        platform_address=parse_address(platform_address) if platform_address else None,
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
            # Tables of ``source`` are copied, so that merging never changes a document.
            merged_so_far = target.get(key)
            target[key] = merged_so_far if isinstance(merged_so_far, dict) else {}
            _merge_into(target[key], value)
        else:
            target[key] = value
