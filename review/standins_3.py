"""Stand-ins of the platform, its databases and its clients, for the scripts.

They use the standard library only and run on one event loop: a metadata store, the
interface for promotion orders, databases that speak the line protocol, and clients.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

REPOSITORY_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OBJECTS_PATH = "/cassiahill/objects/"
HEARTBEAT_SECONDS = 1.2
# How the service of a connection may end, also at the end of the script.
ENDINGS = (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError)
READY_TIMEOUT_SECONDS = 2.0  # A client gives up when READY takes longer.


def free_ports(host, count):
    """Return distinct ports that are free on a loopback address."""
    with contextlib.ExitStack() as exit_stack:
        sockets = [exit_stack.enter_context(socket.socket()) for _ in range(count)]
        for port_socket in sockets:
            port_socket.bind((host, 0))
        return [port_socket.getsockname()[1] for port_socket in sockets]


class Record:
    """The file that tells what was sent, answered and run.

    Parameters
    ----------
    path : str
    """

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line to the file and to standard output."""
        self.write(text)
        print(f"{self.now():9.3f} {text}", flush=True)


async def read_request(reader):
    """Return method, target, headers and body of an HTTP request."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return method, target, headers, await reader.readexactly(length)


def encode_response(status, value, headers=""):
    """Return the bytes of an HTTP response with a JSON body."""
    body = json.dumps(value).encode()
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{headers}\r\n"
    )
    return head.encode() + body


class HttpServer:
    """Base of the HTTP stand-ins; ``handle`` returns status and body."""

    headers = ""

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def handle(self, method, path, query, body):
        """Return the status and the body of an answer."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        with contextlib.suppress(*ENDINGS):
            while True:
                method, target, headers, body = await read_request(reader)
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                self.request_headers = headers
                status, value = await self.handle(method, path, fields, body)
                writer.write(encode_response(status, value, self.headers))
                await writer.drain()
        writer.close()


def without_seq(spec):
    """Return what decides whether an entry has changed."""
    return {name: value for name, value in spec.items() if name != "seq"}


class Store(HttpServer):
    """The metadata store: objects with revisions, lists and watches."""

    headers = "Store-Era: 1\r\n"

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, as the operator, a database or a proxy does."""
        known = self.objects.get((kind, name))
        if known is not None and without_seq(known["spec"]) == without_seq(spec):
            return known
        self.revision += 1
        meta = {"name": name, "revision": self.revision}
        self.objects[kind, name] = {"meta": meta, "spec": spec}
        self._history.append((self.revision, kind, self.objects[kind, name]))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.objects[kind, name]

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return [name for stored_kind, name in self.objects if stored_kind == kind]

    async def handle(self, method, path, query, body):
        """Answer a call."""
        kind, _, name = path.removeprefix(OBJECTS_PATH).partition("/")
        name = urllib.parse.unquote(name)
        if method == "GET" and name:
            stored = self.objects.get((kind, name))
            return (404, {}) if stored is None else (200, stored)
        if method == "GET" and "watch" in query:
            return 200, await self._watch(kind, query)
        if method == "GET":
            items = [
                stored
                for (stored_kind, _), stored in sorted(self.objects.items())
                if stored_kind == kind
            ]
            return 200, {"items": items, "storeRevision": self.revision}
        value = json.loads(body)
        name = name or value["meta"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT":
            expected = value["meta"].get("revision")
            if stored is None or stored["meta"]["revision"] != expected:
                return 409, stored or {}
        return 200, self.put(kind, name, value["spec"])

    async def _watch(self, kind, query):
        after = int(query["watch"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                {"object": stored, "deleted": False}
                for revision, stored_kind, stored in self._history
                if revision > after and stored_kind == kind
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                return {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)


class Orders(HttpServer):
    """The interface for promotions, with fences; it accepts present primaries only.

    Attributes
    ----------
    unplayed : list of str
        What the proxies asked for and the stand-ins do not play.
    """

    def __init__(self, record, unplayed):
        self._record = record
        self.unplayed = unplayed
        self.primaries_by_service = {}
        self._tokens_by_service = {}

    async def handle(self, method, path, query, body):
        """Answer an order; one for the present primary changes nothing."""
        order = json.loads(body)
        token = int(self.request_headers["x-cassiahill-fencing-token"])
        self._record.write(f"platform {method} {path} {body.decode()} token {token}")
        if token < self._tokens_by_service.get(order["service"], 0):
            return 409, {}
        self._tokens_by_service[order["service"]] = token
        if self.primaries_by_service.get(order["service"]) != order["id"]:
            self.unplayed.append(f"promotion of {order['id']}")
        return 200, {}


class Group:
    """A service with a primary and replicas, which share one log here."""

    def __init__(self, name, zones, max_connections, slots, unplayed):
        self.name = name
        self.unplayed = unplayed
        self.items = {}
        self.number = 1
        self.max_connections = max_connections
        self.slots = slots
        self.databases = [
            Database(self, f"i-{name}-{index}", zone, index == 0)
            for index, zone in enumerate(zones)
        ]


class Database:
    """One database; statements run at once."""

    signature_numbers = itertools.count(1)

    def __init__(self, group, server_id, zone, is_primary):
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.is_primary = is_primary
        self._connection_count = 0
        self._born = int(time.time() * 1000)
        self._write_count = 0

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def entry(self):
        """Return what the database writes into the store."""
        self._write_count += 1
        return {
            "service": self.group.name,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.group.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._write_count,
            "born": self._born,
            "dbRole": "primary" if self.is_primary else "replica",
        }

    async def _serve(self, reader, writer):
        self._connection_count += 1
        state = "I"
        writes = []
        shapes = {}
        try:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip()
            _, service, _, *expected = line.split(" ")
            if service != self.group.name or expected not in ([], [self.server_id]):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            if self._connection_count > self.group.max_connections:
                writer.write(b"ERROR TOOMANY -\r\n")
                return
            writer.write(self._ready("I"))
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().rstrip()
                if line == "TERMINATE":
                    return
                _, _, text = line.split(" ", 2)
                answer, state = self._run(text, state, writes, shapes)
                writer.write(answer + self._ready(state))
                await writer.drain()
        except ENDINGS:
            pass
        finally:
            self._connection_count -= 1
            writer.close()

    def _ready(self, state):
        return f"READY {state} 1.{self.group.number}\r\n".encode()

    def _run(self, text, state, writes, shapes):
        """Return the lines of the answer before READY, and the new state."""
        words = text.split(" ")
        if words[0] == "AFTER":
            words = words[2:]
        match words[0]:
            case "BEGIN":
                if len(words) == 1 and not self.is_primary:
                    return f"ERROR READONLY {self.server_id}\r\n".encode(), state
                return b"COMPLETE -\r\n", "T"
            case "COMMIT" | "ROLLBACK":
                if words[0] == "COMMIT" and writes:
                    self._commit(writes)
                writes.clear()
                return self._complete(), "I"
            case "STATUS":
                role = "primary" if self.is_primary else "replica"
                row = f"ROW {role} 1 1.{self.group.number} 0 0 0 "
                row += f"{self._connection_count}\r\n"
                return row.encode() + b"COMPLETE -\r\n", state
            case "PREPARE":
                shapes[words[1]] = words[2]
            case "EXECUTE":
                return self._run_access(shapes[words[1]], words[2:], state, writes)
            case "READ" | "WRITE":
                return self._run_access(words[0], words[1:], state, writes)
            case "RESET":
                shapes.clear()
            case "PAUSE" | "RESUME" | "STEPDOWN":
                self.group.unplayed.append(f"{text} at {self.server_id}")
        return b"COMPLETE -\r\n", state

    def _run_access(self, access, arguments, state, writes):
        if access == "READ":
            row = self.group.items.get(arguments[0], "none")
            return f"ROW {row}\r\n".encode() + self._complete(), state
        if not self.is_primary:
            failed = "E" if state == "T" else state
            return f"ERROR READONLY {self.server_id}\r\n".encode(), failed
        writes.append((arguments[0], arguments[1]))
        if state == "I":
            self._commit(writes)
            writes.clear()
        return self._complete(), state

    def _commit(self, writes):
        self.group.items.update(writes)
        self.group.number += 1

    def _complete(self):
        return f"COMPLETE {self.server_id}.{next(self.signature_numbers)}\r\n".encode()


async def write_heartbeats(store, databases):
    """Let the databases write their entries, as long as the script runs."""
    while True:
        for database in databases:
            store.put("servers", database.server_id, database.entry())
        await asyncio.sleep(HEARTBEAT_SECONDS)


class Proxy:
    """A machine of the system with its proxy process.

    Parameters
    ----------
    name, zone, host : str
    folder : str
        For settings and logs.
    common_settings : str
        Text of the settings that all machines have.
    seeds : list of str
        Control addresses of other machines.
    """

    def __init__(self, name, zone, host, folder, common_settings, seeds):
        self.name = name
        self.zone = zone
        self.host = host
        ports = free_ports(host, 4)
        self.front = (host, ports[0])
        self.ready = (host, ports[1])
        self.control = f"{host}:{ports[2]}"
        self._settings_path = os.path.join(folder, f"{name}.toml")
        self.log_path = os.path.join(folder, f"{name}.log")
        with open(self._settings_path, "w", encoding="utf-8") as file:
            file.write(
                f'node = "{name}"\nrole = "proxy"\nclass = "front"\nip = "{host}"\n'
                f'zone = "{zone}"\nregion = "pk-central"\n'
                f"internalPortRange = [{ports[3]}, {ports[3] + 15}]\n"
                f"seeds = {json.dumps(seeds)}\nbootstrap = true\n"
                f'[listen]\nfront = "{host}:{ports[0]}"\n'
                f'ready = "{host}:{ports[1]}"\ncontrol = "{self.control}"\n'
                + common_settings
            )
        self.process = None
        self.is_removed = False
        self.in_rotation = False
        self.missed_probes = 0

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": os.path.join(REPOSITORY_ROOT, "target", "deps"),
            "CASSIAHILL_SETTINGS": self._settings_path,
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/run.py"],
                cwd=REPOSITORY_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def restart_if_ended(self):
        """Start the process again if it has ended by itself, as the platform does."""
        if self.process.poll() is not None:
            self.start()

    def kill(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.in_rotation = False

    async def probe(self):
        """Ask the readiness question, as the platform does each second."""
        status = b""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            status = await asyncio.wait_for(self._ask_readiness(), 0.9)
        if b" 200 " in status:
            self.in_rotation = True
            self.missed_probes = 0
            return
        self.missed_probes += 1
        if self.missed_probes >= 2:
            self.in_rotation = False

    async def _ask_readiness(self):
        reader, writer = await asyncio.open_connection(*self.ready)
        writer.write(b"GET /cassiahill/readiness HTTP/1.1\r\nHost: proxy\r\n\r\n")
        try:
            return await reader.readline()
        finally:
            writer.close()


async def probe_all(get_proxies):
    """Keep the rotation of the platform's balancer up to date."""
    while True:
        proxies = [proxy for proxy in get_proxies() if not proxy.is_removed]
        await asyncio.gather(*(proxy.probe() for proxy in proxies))
        await asyncio.sleep(1.0)


def choose_proxy(proxies, zone, rng, avoided_name=None):
    """Return the proxy to which the platform forwards a client, or None.

    A retry reaches another one than the attempt before, if there is one.
    """
    present = [proxy for proxy in proxies if not proxy.is_removed]
    own = [proxy for proxy in present if proxy.zone == zone]
    ready = [proxy for proxy in own if proxy.in_rotation]
    if ready and 2 * len(ready) < len(own):
        ready = own
    ready = ready or [proxy for proxy in present if proxy.in_rotation]
    others = [proxy for proxy in ready if proxy.name != avoided_name]
    return rng.choice(others or ready) if ready else None


class Client:
    """A client whose session stays open; each operation is one statement.

    Parameters
    ----------
    number : int
    zone, database : str
    get_proxies : callable
    record : Record
    deadline_seconds : float
    """

    def __init__(self, number, zone, database, get_proxies, record, deadline_seconds):
        self.number = number
        self.zone = zone
        self.database = database
        self._get_proxies = get_proxies
        self._record = record
        self._deadline_seconds = deadline_seconds
        self._rng = random.Random(number)
        self._streams = None
        self._proxy_name = None
        self._avoided_name = None
        self._sent = False
        self.results = []

    async def run(self, stop_at):
        """Make an operation about twice a second until an instant."""
        while self._record.now() < stop_at:
            await asyncio.sleep(self._rng.uniform(0.3, 0.7))
            sent_at = self._record.now()
            served = await self._operate(sent_at + self._deadline_seconds)
            self.results.append((sent_at, served))
        self._close()

    async def _operate(self, deadline):
        """Return whether an operation with up to two retries was served."""
        self._avoided_name = None
        for _ in range(3):
            self._sent = False
            request_id = f"{self._rng.getrandbits(64):016x}"
            text = f"READ k{self.number}"
            if self.number % 3 == 0:
                text = f"WRITE k{self.number} {request_id}"
            timeout = deadline - self._record.now()
            outcome = "timeout"
            if timeout > 0:
                with contextlib.suppress(asyncio.TimeoutError):
                    outcome = await asyncio.wait_for(
                        self._attempt(request_id, text), timeout
                    )
            self._record.write(
                f"client {self.number} {self._proxy_name} {request_id} {text}: "
                f"{outcome}"
            )
            if outcome == "served":
                return True
            self._close()
            self._avoided_name = self._proxy_name
            is_unknown = outcome in {"timeout", "closed"} and self._sent
            if is_unknown and text.startswith("WRITE"):
                return False
            await asyncio.sleep(0.05)
        return False

    async def _attempt(self, request_id, text):
        """Return ``served`` or why the attempt was not."""
        try:
            if self._streams is None:
                refusal = await asyncio.wait_for(self._open(), READY_TIMEOUT_SECONDS)
                if refusal:
                    return refusal
            reader, writer = self._streams
            writer.write(f"QUERY {request_id} {text}\r\n".encode())
            self._sent = True
            is_complete = False
            answer = ""
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().rstrip()
                word, _, rest = line.partition(" ")
                if word == "READY":
                    return "served" if is_complete else answer
                is_complete = word == "COMPLETE" and rest != "-"
                answer = line
        except (OSError, asyncio.IncompleteReadError):
            return "closed"

    async def _open(self):
        """Open a session; return why it was refused, or None."""
        proxy = choose_proxy(
            self._get_proxies(), self.zone, self._rng, self._avoided_name
        )
        self._proxy_name = None if proxy is None else proxy.name
        if proxy is None:
            return "no proxy in rotation"
        self._streams = await asyncio.open_connection(*proxy.front)
        reader, writer = self._streams
        writer.write(f"STARTUP {self.database} u{self.number}\r\n".encode())
        line = (await reader.readuntil(b"\r\n")).decode().rstrip()
        return None if line.startswith("READY") else line

    def _close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def check_build():
    """Exit with 2 unless the build of the deploy file was made."""
    if not os.path.isdir(os.path.join(REPOSITORY_ROOT, "target", "deps")):
        print("target/deps is missing: run the build of deploy/system.toml")
        sys.exit(2)
