"""Settings of a process: a folder of TOML files merged in the order of their names."""

import pathlib
import tomllib

import attrs

from cassiahill import errors


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


@attrs.frozen
class ProxySettings:
    """Settings of one proxy process."""

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


def merge(documents):
    """Merge parsed documents; a later one changes single keys of an earlier one."""
    merged = {}
    for document in documents:
        _merge_into(merged, document)
    return merged


def read_folder(folder):
    """Return the merged document of the TOML files in a folder."""
    paths = sorted(pathlib.Path(folder).glob("*.toml"))
    if not paths:
        raise errors.InvalidSettings(f"{folder} holds no .toml file")
    return merge(tomllib.loads(path.read_text()) for path in paths)


def address_of(text):
    """Return ``(ip, port)`` of ``"ip:port"``."""
    host, _, port = text.rpartition(":")
    return (host, int(port))


def groups_of(document):
    """Return the groups that a merged document describes, by name."""
    groups = {}
    for name, table in document.get("groups", {}).items():
        servers = {
            server_name: ServerSettings(
                name=server_name,
                group=name,
                address=address_of(server["address"]),
                failure_domain=server["failure_domain"],
                slots=server.get("slots", 3),
                connections=server.get("connections", 25),
            )
            for server_name, server in table["servers"].items()
        }
        groups[name] = GroupSettings(name, servers, table.get("acknowledge", "log"))
    return groups


def proxy_settings(document):
    """Return the settings of a proxy from a merged document."""
    proxy = document["proxy"]
    session = document["session"]
    platform = document.get("platform", {}).get("address")
    return ProxySettings(
        name=proxy["name"],
        failure_domain=proxy["failure_domain"],
        caller_address=address_of(proxy["caller_address"]),
        peer_address=address_of(proxy["peer_address"]),
        operator_address=address_of(proxy["operator_address"]),
        platform_address=address_of(platform) if platform else None,
        seeds=tuple(address_of(seed) for seed in proxy.get("seeds", ())),
        fleet_secret=bytes.fromhex(proxy["fleet_secret"]),
        session_secrets_by_id={
            key: bytes.fromhex(value) for key, value in session["secrets"].items()
        },
        current_session_secret=session["current"],
        groups_by_name=groups_of(document),
    )


def _merge_into(target, source):
    for key, value in source.items():
        if isinstance(value, dict) and isinstance(target.get(key), dict):
            _merge_into(target[key], value)
        else:
            target[key] = value
