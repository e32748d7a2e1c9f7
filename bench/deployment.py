"""Starts the stand-ins of databases and platform, and proxies, as local processes."""

import contextlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import urllib.request

import attrs

START_SECONDS = 15
STOP_TIMEOUT_SECONDS = 8
# The proxies listen on ports below the range of ephemeral ports.
PORTS_START = 15_000
PORTS_END = 32_000
FLEET_SECRET = "11" * 32
SESSION_SECRET = "22" * 32


@attrs.frozen
class Shape:
    """Sizes of a deployment.

    ``slots``, ``connections`` and the times are of each backend server: ``open_ms`` to
    open a connection, ``service_ms`` to run a statement, ``lag_ms`` of replication.
    ``proxy_count`` is used unless ``running`` gets another number.
    """

    groups: tuple
    failure_domains: tuple
    slots: int
    connections: int
    open_ms: float
    service_ms: float
    lag_ms: float
    proxy_count: int


SAFEPLATE = Shape(
    groups=("renewals", "fees", "inspections"),
    failure_domains=("pk-central-a", "pk-central-b", "pk-central-c"),
    slots=3,
    connections=25,
    open_ms=10,
    service_ms=0,
    lag_ms=1,
    proxy_count=7,
)
ENTULHO = Shape(
    groups=("reports", "crews", "councils"),
    failure_domains=("nordeste-a", "nordeste-b", "nordeste-c"),
    slots=2,
    connections=30,
    open_ms=30,
    service_ms=0,
    lag_ms=1,
    proxy_count=7,
)
MIXED = Shape(
    groups=("renewals", "reports"),
    failure_domains=("a", "b", "c"),
    slots=3,
    connections=25,
    open_ms=10,
    service_ms=4,
    lag_ms=1,
    proxy_count=4,
)


@attrs.define
class Deployment:
    """Processes of a running deployment and their addresses.

    Addresses are tuples ``(ip, port)``. ``servers_by_group`` lists the servers of each
    group as tuples ``(name, failure domain)``, the primary first.
    """

    shape: Shape
    platform_address: tuple = None
    processes_by_name: dict = attrs.field(factory=dict)
    addresses_by_server: dict = attrs.field(factory=dict)
    servers_by_group: dict = attrs.field(factory=dict)
    callers_by_proxy: dict = attrs.field(factory=dict)
    operators_by_proxy: dict = attrs.field(factory=dict)

    def kill(self, name, signal_number=signal.SIGKILL):
        """Send a signal to one of the started processes."""
        self.processes_by_name[name].send_signal(signal_number)

    def fault(self, server, **faults):
        """Inject faults into a database stand-in; return its answer."""
        return post(self.addresses_by_server[server], "/fault", faults)

    def groups_document(self):
        """Return the ``groups`` table of the configuration."""
        return {
            group: {
                "servers": {
                    server: {
                        "address": "{}:{}".format(*self.addresses_by_server[server]),
                        "failure_domain": domain,
                        "slots": self.shape.slots,
                        "connections": self.shape.connections,
                    }
                    for server, domain in servers
                }
            }
            for group, servers in self.servers_by_group.items()
        }

    def dump(self, proxy):
        """Return the state dump of a proxy."""
        return get(self.operators_by_proxy[proxy], "/dump")


def post(address, path, body, headers=None, timeout=10):
    """Send a JSON request and return the decoded answer."""
    request = urllib.request.Request(
        f"http://{address[0]}:{address[1]}{path}",
        json.dumps(body).encode(),
        {"Content-Type": "application/json", **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return json.load(response)


def get(address, path, timeout=10):
    """Return the decoded JSON answer of a GET."""
    url = f"http://{address[0]}:{address[1]}{path}"
    with urllib.request.urlopen(url, timeout=timeout) as response:
        return json.load(response)


def free_ports(count):
    """Return loopback ports that are free now.

    They lie below the range of ephemeral ports, so no outgoing connection takes one
    before the process that is to listen on it starts.
    """
    ports = []
    for port in random.sample(range(PORTS_START, PORTS_END), PORTS_END - PORTS_START):
        with contextlib.suppress(OSError), socket.socket() as probe_socket:
            probe_socket.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"fewer than {count} loopback ports are free")


@contextlib.contextmanager
def running(shape, proxy_count=None):
    """Run a deployment while the context is open; stop its processes at the end.

    Yields
    ------
    Deployment
    """
    deployment = Deployment(shape)
    with tempfile.TemporaryDirectory(prefix="cassiahill-") as folder:
        try:
            _start_platform(deployment)
            _start_databases(deployment)
            _start_proxies(deployment, proxy_count or shape.proxy_count, folder)
            yield deployment
        finally:
            _stop_all(deployment)


def _start_process(deployment, name, *argv):
    process = subprocess.Popen(
        [sys.executable, "-m", *argv], stdout=subprocess.PIPE, text=True
    )
    deployment.processes_by_name[name] = process
    ready_line = process.stdout.readline().split()
    if not ready_line or ready_line[0] != "ready":
        raise RuntimeError(f"{name} did not start: {ready_line}")
    return ("127.0.0.1", int(ready_line[1]))


def _start_platform(deployment):
    deployment.platform_address = _start_process(
        deployment, "platform", "standins.platform", "--port", "0"
    )


def _start_databases(deployment):
    shape = deployment.shape
    for group_index, group in enumerate(shape.groups):
        servers = deployment.servers_by_group[group] = []
        for server_index in range(3):
            # Spreads the primaries of the groups over the failure domains.
            domain = shape.failure_domains[
                (group_index + server_index) % len(shape.failure_domains)
            ]
            server = f"{group}-{server_index + 1}"
            argv = ["--name", server, "--group", group, "--domain", domain]
            argv += ["--port", "0", "--bootstrap"]
            argv += ["--slots", str(shape.slots)]
            argv += ["--connections", str(shape.connections)]
            argv += ["--open-ms", str(shape.open_ms)]
            argv += ["--service-ms", str(shape.service_ms)]
            argv += ["--lag-ms", str(shape.lag_ms)]
            if server_index == 0:
                argv += ["--role", "primary"]
            else:
                host, port = deployment.addresses_by_server[servers[0][0]]
                argv += ["--follow", f"{host}:{port}", "--follow-name", servers[0][0]]
            address = _start_process(deployment, server, "standins.database", *argv)
            deployment.addresses_by_server[server] = address
            servers.append((server, domain))


def _start_proxies(deployment, proxy_count, folder):
    ports = free_ports(3 * proxy_count)
    peer_ports = ports[proxy_count : 2 * proxy_count]
    common_folder = pathlib.Path(folder, "common")
    common_folder.mkdir()
    _write_common_settings(deployment, common_folder, peer_ports)
    for proxy_index in range(proxy_count):
        name = f"proxy-{proxy_index + 1}"
        domain = deployment.shape.failure_domains[
            proxy_index % len(deployment.shape.failure_domains)
        ]
        proxy_folder = pathlib.Path(folder, name)
        proxy_folder.mkdir()
        for path in common_folder.iterdir():
            (proxy_folder / path.name).write_text(path.read_text())
        (proxy_folder / "90-proxy.toml").write_text(
            f'[proxy]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'caller_address = "127.0.0.1:{ports[proxy_index]}"\n'
            f'peer_address = "127.0.0.1:{peer_ports[proxy_index]}"\n'
            f'operator_address = "127.0.0.1:{ports[2 * proxy_count + proxy_index]}"\n'
        )
        _start_process(
            deployment, name, "cassiahill", "proxy", "run", str(proxy_folder)
        )
        deployment.callers_by_proxy[name] = ("127.0.0.1", ports[proxy_index])
        deployment.operators_by_proxy[name] = (
            "127.0.0.1",
            ports[2 * proxy_count + proxy_index],
        )


def _write_common_settings(deployment, folder, peer_ports):
    host, port = deployment.platform_address
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in peer_ports[:3])
    (folder / "10-platform.toml").write_text(
        f'[platform]\naddress = "{host}:{port}"\n'
        f'[proxy]\nseeds = [{seeds}]\nfleet_secret = "{FLEET_SECRET}"\n'
        f'[session]\ncurrent = "k1"\n[session.secrets]\nk1 = "{SESSION_SECRET}"\n'
    )
    for group, servers in deployment.servers_by_group.items():
        settings_text = f"[groups.{group}]\n"
        for server, domain in servers:
            host, port = deployment.addresses_by_server[server]
            settings_text += (
                f"[groups.{group}.servers.{server}]\n"
                f'address = "{host}:{port}"\nfailure_domain = "{domain}"\n'
                f"slots = {deployment.shape.slots}\n"
                f"connections = {deployment.shape.connections}\n"
            )
        (folder / f"20-{group}.toml").write_text(settings_text)


def _stop_all(deployment):
    # Proxies stop first, because a draining proxy still writes to the platform.
    proxy_names = [
        name for name in deployment.processes_by_name if name.startswith("proxy-")
    ]
    other_names = [
        name for name in deployment.processes_by_name if name not in proxy_names
    ]
    for names in (proxy_names, other_names):
        processes = [deployment.processes_by_name[name] for name in names]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in processes:
            try:
                process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()
