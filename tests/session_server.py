"""Runs session servers on loopback sockets, in a thread, with an in-memory group."""

import contextlib
import socket
import threading

from cassiahill import clock
from cassiahill.caller_checks import CallerChecks
from cassiahill.catalog import Catalog, Configuration, Consistency, GroupLimits
from cassiahill.heartbeats import Member
from cassiahill.loop import EventLoop
from cassiahill.server_group import ServerGroup
from cassiahill.session_server import SessionRouting, SessionServer
from tests import adapter_path
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.session_builders import make_route

with adapter_path.importable():
    from adapter import wire

ANSWER_TIMEOUT_SECONDS = 10.0
ANY_PORT = ("127.0.0.1", 0)


class FixedRouting(SessionRouting):
    """Serves every group, or relays every session to the owner."""

    def __init__(self, servers, serves_groups):
        self._servers = servers
        self._serves_groups = serves_groups

    def knows_deployment(self):
        return True

    def serves_group(self, group, tenant=None):
        return self._serves_groups

    def relay_targets(self, group, tenant=None):
        if not self._servers.owner_is_up:
            return []
        address = self._servers.owner_server.relay_address
        return [Member("owner", ANY_PORT, address, "domain-a")]

    def record_owner_failure(self, group, member):
        pass

    def record_relay_opened(self, group, member):
        pass

    def fall_back_to_local(self, group, tenant=None):
        return False

    def should_refuse_relayed(self, group):
        return self._servers.owner_lacks_primary


class ServerPair:
    """A session server that owns the group ``orders``, and one that relays to it.

    Parameters
    ----------
    tenants : tenants.TenantDirectory or None
    """

    def __init__(self, tenants=None):
        self.loop = EventLoop(clock.SystemClock())
        self.backend_group = InMemoryGroup(self.loop)
        self.replies = []
        self.tenants = tenants
        self.owner_is_up = True
        self.owner_lacks_primary = False
        self.owner_server = self._make_server(serves_groups=True)
        self.relaying_server = self._make_server(serves_groups=False)

    def _make_server(self, serves_groups):
        catalog = Catalog()
        routes = {
            "shop": make_route(Consistency.OWN_WRITES),
            "till": make_route(Consistency.PRIMARY, database="till"),
            "market": make_route(database="market", public=True),
        }
        limits = {"orders": GroupLimits("orders", 20, True)}
        catalog.install(Configuration(1, routes, limits, 3.0, {}, self.tenants))
        server_group = ServerGroup(
            self.loop,
            InMemoryDialect(),
            "orders",
            "proxy-1",
            "domain-a",
            {}.get,
            self.backend_group.connect,
        )
        server_group.active = serves_groups
        if serves_groups:
            self.owner_server_group = server_group
            server_group.set_limits(limits["orders"], 1)
            for server_id in self.backend_group.by_id:
                server_group.put_server(self.backend_group.registered(server_id), None)
        return SessionServer(
            self.loop,
            ANY_PORT,
            wire.LineDialect(),
            catalog,
            lambda _group: server_group,
            lambda *arguments: self.replies.append(arguments),
            ANY_PORT,
            FixedRouting(self, serves_groups),
            CallerChecks(lambda: catalog.configuration, self.loop.clock),
        )

    def run_on_loop(self, function):
        """Run a function on the loop's thread and return its result."""
        finished = threading.Event()
        results = []

        def run():
            results.append(function())
            finished.set()

        self.loop.call_soon_threadsafe(run)
        if not finished.wait(ANSWER_TIMEOUT_SECONDS):
            raise TimeoutError("the loop does not run")
        return results[0]


@contextlib.contextmanager
def running_servers(tenants=None):
    """Run a ``ServerPair`` in a thread within the ``with`` block."""
    servers = ServerPair(tenants)
    thread = threading.Thread(target=servers.loop.run, daemon=True)
    thread.start()
    try:
        yield servers
    finally:
        servers.loop.stop()
        thread.join(ANSWER_TIMEOUT_SECONDS)


class LineClient:
    """A blocking client of the line protocol."""

    def __init__(self, address):
        self._sock = socket.create_connection(address, ANSWER_TIMEOUT_SECONDS)
        self._file = self._sock.makefile("rb")

    def send_lines(self, *lines):
        """Send lines, adding line ends, without waiting for answers."""
        self._sock.sendall(b"".join(line + b"\r\n" for line in lines))

    def send_bytes(self, data):
        """Send bytes unchanged."""
        self._sock.sendall(data)

    def read_line(self):
        """Return one line without its end; empty when the connection has ended."""
        try:
            return self._file.readline().removesuffix(b"\r\n")
        except ConnectionResetError:
            return b""

    def read_answer(self):
        """Return the lines of one answer, up to the READY line."""
        lines = []
        while True:
            line = self.read_line()
            if not line:
                return lines
            lines.append(line)
            if line.startswith(b"READY"):
                return lines

    def exchange(self, *lines):
        """Send lines at once and return the answer to each."""
        self.send_lines(*lines)
        return [self.read_answer() for _ in lines]

    def open_session(self, database=b"shop", caller=b"u1"):
        """Open a session and return the answer."""
        (answer,) = self.exchange(b"STARTUP %b %b" % (database, caller))
        return answer

    def close(self):
        """Close the connection."""
        self._file.close()
        self._sock.close()
