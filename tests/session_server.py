"""Runs session servers on loopback in a thread, in front of a group in memory."""

import contextlib
import socket
import threading

from cassiahill import clock
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

ANSWER_SECONDS = 10.0
ANY_PORT = ("127.0.0.1", 0)


class Routing(SessionRouting):
    """Serves the group, or relays to the owner."""

    def __init__(self, servers, serves):
        self._servers = servers
        self._serves = serves

    def knows_deployment(self):
        return True

    def serves(self, group):
        return self._serves

    def owners_for(self, group):
        if not self._servers.owner_up:
            return []
        address = self._servers.owner.relay_address
        return [Member("owner", ANY_PORT, address, "domain-a")]

    def owner_failed(self, group, member):
        pass

    def relay_opened(self, group):
        pass

    def relay_failed(self, group):
        return False

    def cannot_serve(self, group):
        return self._servers.lacking


class Servers:
    """A server that serves the group ``orders``, and one that relays to it."""

    def __init__(self):
        self.loop = EventLoop(clock.SystemClock())
        self.group = InMemoryGroup(self.loop)
        self.replies = []
        self.owner_up = True
        self.lacking = False
        self.owner = self._make(serves=True)
        self.entry = self._make(serves=False)

    def _make(self, serves):
        catalog = Catalog()
        routes = {
            "shop": make_route(Consistency.OWN_WRITES),
            "till": make_route(Consistency.PRIMARY, database="till"),
        }
        limits = {"orders": GroupLimits("orders", 20, True)}
        catalog.install(Configuration(1, routes, limits, 3.0, {}))
        work = ServerGroup(
            self.loop,
            InMemoryDialect(),
            "orders",
            "proxy-1",
            "domain-a",
            {}.get,
            self.group.connect,
        )
        work.active = serves
        if serves:
            self.work = work
            work.set_limits(limits["orders"], 1)
            for server_id in self.group.by_id:
                work.put_server(self.group.registered(server_id), None)
        return SessionServer(
            self.loop,
            ANY_PORT,
            wire.LineDialect(),
            catalog,
            lambda _group: work,
            lambda *reply: self.replies.append(reply),
            ANY_PORT,
            Routing(self, serves),
        )

    def call(self, function):
        """Run a function on the loop's thread and return its result."""
        done = threading.Event()
        results = []

        def run():
            results.append(function())
            done.set()

        self.loop.call_soon_threadsafe(run)
        if not done.wait(ANSWER_SECONDS):
            raise TimeoutError("the loop does not run")
        return results[0]


@contextlib.contextmanager
def running():
    """Run the servers while the block runs."""
    servers = Servers()
    thread = threading.Thread(target=servers.loop.run, daemon=True)
    thread.start()
    try:
        yield servers
    finally:
        servers.loop.stop()
        thread.join(ANSWER_SECONDS)


class Client:
    """A client that sends lines and reads answers."""

    def __init__(self, address):
        self._sock = socket.create_connection(address, ANSWER_SECONDS)
        self._file = self._sock.makefile("rb")

    def send(self, *lines):
        """Send lines at once."""
        self._sock.sendall(b"".join(line + b"\r\n" for line in lines))

    def send_raw(self, data):
        """Send bytes as they are."""
        self._sock.sendall(data)

    def read(self):
        """Return one line, without its end; empty at the end of the connection."""
        try:
            return self._file.readline().removesuffix(b"\r\n")
        except ConnectionResetError:
            return b""

    def answer(self):
        """Return the lines of one answer, up to its state."""
        lines = []
        while True:
            line = self.read()
            if not line:
                return lines
            lines.append(line)
            if line.startswith(b"READY"):
                return lines

    def ask(self, *lines):
        """Send lines and return the answer to each."""
        self.send(*lines)
        return [self.answer() for _ in lines]

    def open(self, database=b"shop"):
        """Open a session."""
        (answer,) = self.ask(b"STARTUP " + database + b" u1")
        return answer

    def close(self):
        """Close the connection."""
        self._file.close()
        self._sock.close()
