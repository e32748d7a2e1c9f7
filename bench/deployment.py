"""Starts stand-ins and proxies as separate processes on loopback."""

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
STOP_SECONDS = 8
PORTS_START = 15_000
PORTS_END = 32_000
FLEET_SECRET = "11" * 32
SESSION_SECRET = "22" * 32


@attrs.frozen
class Shape:
    """Sizes of a deployment; times in milliseconds."""

    groups: tuple
    domains: tuple
    slots: int
    connections: int
    open_ms: float
    service_ms: float
    lag_ms: float
    proxies: int


SAFEPLATE = Shape(
    groups=("renewals", "fees", "inspections"),
    domains=("pk-central-a", "pk-central-b", "pk-central-c"),
    slots=3,
    connections=25,
    open_ms=10,
    service_ms=0,
    lag_ms=1,
    proxies=7,
)
ENTULHO = Shape(
    groups=("reports", "crews", "councils"),
    domains=("nordeste-a", "nordeste-b", "nordeste-c"),
    slots=2,
    connections=30,
    open_ms=30,
    service_ms=0,
    lag_ms=1,
    proxies=7,
)
MIXED = Shape(
    groups=("renewals", "reports"),
    domains=("a", "b", "c"),
    slots=3,
    connections=25,
    open_ms=10,
    service_ms=4,
    lag_ms=1,
    proxies=4,
)


@attrs.define
class Deployment:
    """Running processes; addresses are ``(ip, port)``."""

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
        """Set faults of a database stand-in."""
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

    They lie below the range from which the system takes the ports of outgoing
    connections, so that none is taken before the process that is to use it starts.
    """
    ports = []
    for port in random.sample(range(PORTS_START, PORTS_END), PORTS_END - PORTS_START):
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"{count} ports are not free")


@contextlib.contextmanager
def running(shape, proxy_count=None):
    """Start a deployment and stop all its processes at the end.

    Yields
    ------
    Deployment
    """
    deployment = Deployment(shape)
    with tempfile.TemporaryDirectory(prefix="cassiahill-") as folder:
        try:
            _start_platform(deployment)
            _start_databases(deployment)
            _start_proxies(deployment, proxy_count or shape.proxies, folder)
            yield deployment
        finally:
            _stop_all(deployment)


def _start(deployment, name, *argv):
    process = subprocess.Popen(
        [sys.executable, "-m", *argv], stdout=subprocess.PIPE, text=True
    )
    deployment.processes_by_name[name] = process
    line = process.stdout.readline().split()
    if not line or line[0] != "ready":
        raise RuntimeError(f"{name} did not start: {line}")
    return ("127.0.0.1", int(line[1]))


def _start_platform(deployment):
    deployment.platform_address = _start(
        deployment, "platform", "standins.platform", "--port", "0"
    )


def _start_databases(deployment):
    shape = deployment.shape
    for number, group in enumerate(shape.groups):
        servers = deployment.servers_by_group[group] = []
        for index in range(3):
            # The primaries are spread over the failure domains.
            domain = shape.domains[(number + index) % len(shape.domains)]
            server = f"{group}-{index + 1}"
            argv = ["--name", server, "--group", group, "--domain", domain]
            argv += ["--port", "0", "--bootstrap"]
            argv += ["--slots", str(shape.slots)]
            argv += ["--connections", str(shape.connections)]
            argv += ["--open-ms", str(shape.open_ms)]
            argv += ["--service-ms", str(shape.service_ms)]
            argv += ["--lag-ms", str(shape.lag_ms)]
            if index == 0:
                argv += ["--role", "primary"]
            else:
                host, port = deployment.addresses_by_server[servers[0][0]]
                argv += ["--follow", f"{host}:{port}", "--follow-name", servers[0][0]]
            address = _start(deployment, server, "standins.database", *argv)
            deployment.addresses_by_server[server] = address
            servers.append((server, domain))


def _start_proxies(deployment, count, folder):
    ports = free_ports(3 * count)
    peer_ports = ports[count : 2 * count]
    common = pathlib.Path(folder, "common")
    common.mkdir()
    _write_common(deployment, common, peer_ports)
    for number in range(count):
        name = f"proxy-{number + 1}"
        domain = deployment.shape.domains[number % len(deployment.shape.domains)]
        own = pathlib.Path(folder, name)
        own.mkdir()
        for path in common.iterdir():
            (own / path.name).write_text(path.read_text())
        (own / "90-proxy.toml").write_text(
            f'[proxy]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'caller_address = "127.0.0.1:{ports[number]}"\n'
            f'peer_address = "127.0.0.1:{peer_ports[number]}"\n'
            f'operator_address = "127.0.0.1:{ports[2 * count + number]}"\n'
        )
        _start(deployment, name, "cassiahill", "proxy", "run", str(own))
        deployment.callers_by_proxy[name] = ("127.0.0.1", ports[number])
        deployment.operators_by_proxy[name] = (
            "127.0.0.1",
            ports[2 * count + number],
        )


def _write_common(deployment, folder, peer_ports):
    host, port = deployment.platform_address
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in peer_ports[:3])
    (folder / "10-platform.toml").write_text(
        f'[platform]\naddress = "{host}:{port}"\n'
        f'[proxy]\nseeds = [{seeds}]\nfleet_secret = "{FLEET_SECRET}"\n'
        f'[session]\ncurrent = "k1"\n[session.secrets]\nk1 = "{SESSION_SECRET}"\n'
    )
    for group, servers in deployment.servers_by_group.items():
        text = f"[groups.{group}]\n"
        for server, domain in servers:
            host, port = deployment.addresses_by_server[server]
            text += (
                f"[groups.{group}.servers.{server}]\n"
                f'address = "{host}:{port}"\nfailure_domain = "{domain}"\n'
                f"slots = {deployment.shape.slots}\n"
                f"connections = {deployment.shape.connections}\n"
            )
        (folder / f"20-{group}.toml").write_text(text)


def _stop_all(deployment):
    # Proxies go first, because a drain still writes to the platform.
    proxies = [n for n in deployment.processes_by_name if n.startswith("proxy-")]
    others = [n for n in deployment.processes_by_name if n not in proxies]
    for names in (proxies, others):
        processes = [deployment.processes_by_name[name] for name in names]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in processes:
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()
