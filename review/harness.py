"""Stand-ins for the review's scripts: store, databases, promotion service and clients.

All run in one asyncio process on loopback addresses. The session proxies are separate
processes, started with the command of ``deploy/system.toml``. The module needs nothing
but the standard library.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PORT_RANGE = (20_000, 30_000)
PORTS_PER_PROXY = 8
HISTORY_SECONDS = 20.0
STORE_ANSWER_SECONDS = 0.004
ZONES = ("zone-a", "zone-b", "zone-c")
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
MAX_RUN_SECONDS = 110
MAX_PRINTED_LINES = 6


class NotRun(Exception):
    """The case could not be run as it is meant."""


class Record:
    """The file ``record.txt`` of a case; lines carry the seconds since its start."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


# Metadata store


class Store:
    """Objects with revisions over HTTP, with lists, watches and conditional writes."""

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._history = []
        self._trimmed_revision = 0
        self._changed = asyncio.Condition()
        self.silent = False  # Calls that arrive, and answers due, are lost for good.
        self.revision = 1
        self.era = 1
        self.address = None

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=4 * 2**20)
        self.address = server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        """Write an object as the operator or a database does; return its revision."""
        await self._store(kind, name, spec)
        return self.revision

    async def delete(self, kind, name):
        """Remove an object as the platform does."""
        document = self._objects.pop((kind, name), None)
        if document is not None:
            self.revision += 1
            await self._announce(kind, document, deleted=True)

    async def _store(self, kind, name, spec):
        old = self._objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "createRev": old["meta"]["createRev"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        document = {"meta": meta, "spec": spec, "status": {}}
        self._objects[kind, name] = document
        await self._announce(kind, document, deleted=False)
        return document

    async def _announce(self, kind, document, deleted):
        event = {"object": document, "deleted": deleted}
        self._history.append((time.monotonic(), self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    def _trim_history(self):
        oldest = time.monotonic() - HISTORY_SECONDS
        while self._history and self._history[0][0] < oldest:
            self._trimmed_revision = self._history.pop(0)[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_line, *header_lines = head.decode("latin-1").split("\r\n")
                method, target, _ = request_line.split(" ")
                length = 0
                for line in header_lines:
                    key, _, value = line.partition(":")
                    if key.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                await self._stay_silent_if_told()
                await asyncio.sleep(STORE_ANSWER_SECONDS)
                status, answer = await self._handle(method, target, body)
                await self._stay_silent_if_told()
                payload = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        writer.close()

    async def _stay_silent_if_told(self):
        if self.silent:
            await asyncio.sleep(3600.0)  # Nothing further comes on this connection.

    async def _handle(self, method, target, body):
        path, _, query_text = target.partition("?")
        kind, _, name = path.removeprefix("/cassiahill/objects/").partition("/")
        name = urllib.parse.unquote(name)
        query = dict(urllib.parse.parse_qsl(query_text))
        if method == "GET":
            if name:
                document = self._objects.get((kind, name))
                return (200, document) if document else (404, {})
            if "watch" in query:
                return await self._watch(
                    kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000
                )
            items = [
                document
                for (stored_kind, stored_name), document in sorted(
                    self._objects.items(), key=lambda item: item[0]
                )
                if stored_kind == kind and stored_name > query.get("after", "")
            ]
            page = items[:500]
            return 200, {
                "items": page,
                "more": len(items) > len(page),
                "storeRevision": self.revision,
            }
        sent = json.loads(body)
        name = name or sent["meta"]["name"]
        old = self._objects.get((kind, name))
        if method == "POST":
            if old is not None:
                return 409, old
        elif method == "PUT":
            if old is None:
                return 404, {}
            if (
                sent["meta"].get("revision", old["meta"]["revision"])
                != (old["meta"]["revision"])
            ):
                return 409, old
        else:
            return 405, {}
        return 200, await self._store(kind, name, sent["spec"])

    async def _watch(self, kind, after, wait_seconds):
        deadline = time.monotonic() + wait_seconds
        while True:
            self._trim_history()
            if after < self._trimmed_revision or after > self.revision:
                return 410, {}
            events = [
                event
                for _, revision, event_kind, event in self._history
                if event_kind == kind and revision > after
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), remaining)


# Databases


class Database:
    """One database of a group: a log of commits, and what it ran."""

    def __init__(self, group, number):
        self.group = group
        self.id = f"i-{group.name}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.log = [(1, 1, ())]  # Term, number and writes of each commit.
        self.paused_term = 0
        self.version = "1"
        self.draining = False
        self.stopped = False
        self.dark = False  # Neither answers nor replicates.
        self.deaf = False  # Receives nothing of the primary's log.
        self.started_at_ms = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(group.slots)
        self.connections = set()
        self.ran = []  # Time, id, text and kind of each statement.
        self.callers_by_id = {}  # Proxies that sent the statements, by request id.
        self.address = None
        self._server = None

    @property
    def is_primary(self):
        """Whether this database leads its group."""
        return self.group.primary is self

    @property
    def position(self):
        """Position of the last commit, as text."""
        return f"{self.log[-1][0]}.{self.log[-1][1]}"

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=2 * 2**20)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self):
        """End the process of this database: no listener, no connection."""
        self.stopped = True
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self, address=None):
        """Return the entry with which the database registers in the store."""
        host, port = address or self.address
        return {
            "service": self.group.name,
            "addr": f"{host}:{port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.group.slots,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "dbRole": "primary" if self.is_primary else "replica",
            "born": self.started_at_ms,
        }

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await _DatabaseConnection(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class _DatabaseConnection:
    def __init__(self, database, reader, writer):
        self._database = database
        self._group = database.group
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._read_only = False
        self._writes = []
        self._shapes = {}
        self._caller = ""

    async def run(self):
        """Serve the connection until it closes."""
        startup = await self._read_line()
        await self._stay_silent_if_dark()
        fields = startup.split(" ")
        self._caller = fields[2]
        if fields[0] != "STARTUP" or fields[1] != self._group.name:
            self._writer.write(b"ERROR MISROUTED -\r\n")
            return
        if len(fields) > 3 and fields[3] != self._database.id:
            self._writer.write(b"ERROR MISROUTED -\r\n")
            return
        if len(self._database.connections) > self._group.connection_limit:
            self._writer.write(b"ERROR TOOMANY -\r\n")
            return
        await self._work(self._group.open_seconds)
        self._ready()
        while True:
            line = await self._read_line()
            await self._stay_silent_if_dark()
            if line == "TERMINATE":
                return
            _, request_id, text = line.split(" ", 2)
            await self._run(request_id, text)
            await self._writer.drain()

    async def _read_line(self):
        # A message ends with CR LF; a single CR or LF is part of its last field.
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode()

    async def _stay_silent_if_dark(self):
        while self._database.dark:
            await asyncio.sleep(1.0)

    async def _work(self, seconds):
        async with self._database.slots:
            await asyncio.sleep(seconds)

    def _ready(self):
        self._writer.write(
            f"READY {self._state} {self._database.position}\r\n".encode()
        )

    def _complete(self, signature="-", rows=()):
        for row in rows:
            self._writer.write(f"ROW {row}\r\n".encode())
        self._writer.write(f"COMPLETE {signature}\r\n".encode())
        self._ready()

    def _error(self, code):
        if self._state == "T":
            self._state = "E"
        self._writer.write(f"ERROR {code} {self._database.id}\r\n".encode())
        self._ready()

    async def _run(self, request_id, text):
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            if self._database.log[-1][:2] < (term, number):
                self._error("LAGGING")
                return
        word, _, rest = text.partition(" ")
        match word:
            case "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN":
                self._control(word, rest)
            case "RESET":
                self._shapes = {}
                self._complete()
            case "SET":
                self._complete()
            case "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self._shapes[name] = access
                self._complete()
            case "BEGIN":
                self._begin(rest == "READ")
            case "ROLLBACK":
                self._state, self._writes = "I", []
                self._complete()
            case "COMMIT":
                await self._commit(request_id, text)
            case "READ" | "WRITE" | "EXECUTE":
                name = rest.partition(" ")[0]
                access = self._shapes.get(name) if word == "EXECUTE" else word
                await self._statement(request_id, text, access)
            case _:
                self._error("MALFORMED")

    def _begin(self, read_only):
        if not read_only and not self._database.is_primary:
            self._error("READONLY")
            return
        self._state, self._read_only, self._writes = "T", read_only, []
        self._complete()

    async def _statement(self, request_id, text, access):
        database, group = self._database, self._group
        if access is None:
            self._error("NOSTMT")
            return
        in_plain_transaction = self._state == "T" and not self._read_only
        if not database.is_primary and (access == "WRITE" or in_plain_transaction):
            self._error("READONLY")
            return
        arrived_at = group.record.now()
        group.record.write(f"{database.id} got {request_id} {text!r}")
        await self._work(group.work_seconds(access))
        database.ran.append((arrived_at, request_id, text, access))
        database.callers_by_id[request_id] = self._caller
        if access == "READ":
            self._complete(group.sign(request_id), ("row",))
            return
        self._writes.append((request_id, text))
        if self._state == "T":
            self._complete(group.sign(request_id))
        else:
            await self._store(request_id)

    async def _commit(self, request_id, text):
        group = self._group
        group.record.write(f"{self._database.id} got {request_id} {text!r}")
        await self._work(group.work_seconds("WRITE"))
        self._database.ran.append((group.record.now(), request_id, text, "COMMIT"))
        self._state = "I"
        if not self._writes:
            self._complete(group.sign(request_id))
            return
        if not self._database.is_primary:
            self._writes = []
            self._error("READONLY")
            return
        await self._store(request_id)

    async def _store(self, request_id):
        writes, self._writes = tuple(self._writes), []
        database, group = self._database, self._group
        term, number, _ = database.log[-1]
        commit = (term, number + 1, writes)
        database.log.append(commit)
        # A commit is acknowledged once a replica has it, and never by a former primary.
        while not await group.replicate(database):
            await asyncio.sleep(0.01)
        if not database.is_primary or database.dark:
            await asyncio.sleep(3600.0)
        group.acknowledged.append(commit)
        group.record.write(f"{database.id} acknowledges {term}.{number + 1}")
        self._complete(group.sign(request_id))

    def _control(self, word, rest):
        database = self._database
        if word == "PAUSE" and int(rest) > self._group.term:
            database.paused_term = int(rest)
        if word == "RESUME":
            database.paused_term = 0
        if word == "STEPDOWN" and database.is_primary and int(rest) > self._group.term:
            self._group.primary = None
        role = "primary" if database.is_primary else "replica"
        row = (
            f"{role} {database.log[-1][0]} {database.position} {database.paused_term} "
            f"0 0 {len(database.connections)}"
        )
        self._complete(rows=(row,))


class Group:
    """A service: one primary and its replicas, with one synchronous replica."""

    def __init__(self, record, name, count=3, slots=3, connection_limit=23):
        self.record = record
        self.name = name
        self.slots = slots
        self.connection_limit = connection_limit
        self.open_seconds = 0.012
        self.read_seconds = (0.010, 0.020)
        self.write_seconds = (0.005, 0.010)
        self.rng = random.Random(f"{name} 1")
        self.term = 1
        self.databases = [Database(self, number) for number in range(count)]
        self.primary = self.databases[0]
        self._signatures = itertools.count(1)
        self.signed = {}
        self.acknowledged = []
        self.lost = []  # Acknowledged commits that a promoted database did not have.

    async def start(self):
        """Start all databases."""
        for database in self.databases:
            await database.start()

    def sign(self, request_id):
        """Return the signature of an answer."""
        signature = f"{self.name}.{next(self._signatures)}"
        self.signed[request_id] = signature
        return signature

    def work_seconds(self, access):
        """Return the time that a statement takes."""
        bounds = self.read_seconds if access == "READ" else self.write_seconds
        return self.rng.uniform(*bounds)

    async def replicate(self, primary):
        """Send the primary's log to the replicas; return whether one received it."""
        await asyncio.sleep(0.002)
        if primary is not self.primary or primary.dark:
            return False
        received = False
        for database in self.databases:
            if database is primary or database.paused_term:
                continue
            if database.stopped or database.dark or database.deaf:
                continue
            database.log = list(primary.log)
            received = True
        return received

    async def promote(self, server_id):
        """Let a database lead the next term; return whether it runs."""
        for database in self.databases:
            if database.id == server_id and not (database.stopped or database.dark):
                if database is self.primary:
                    return True
                await asyncio.sleep(0.5)
                self._lead(database)
                return True
        return False

    def _lead(self, database):
        self.term += 1
        self.record.write(
            f"{database.id} leads term {self.term} from {database.position}"
        )
        held = set(database.log)
        self.lost += [commit for commit in self.acknowledged if commit not in held]
        database.log.append((self.term, database.log[-1][1] + 1, ()))
        self.primary = database
        for other in self.databases:
            other.paused_term = 0


class Promotions:
    """The platform's service for promotions; checks the fencing tokens."""

    def __init__(self, record, groups):
        self._record = record
        self._groups = {group.name: group for group in groups}
        self._highest = {}
        self.address = None

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = dict(
                    line.lower().split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if line
                )
                body = await reader.readexactly(int(headers["content-length"]))
                order = json.loads(body)
                token = int(headers["x-cassiahill-fencing-token"])
                group = self._groups.get(order["service"])
                status = 409
                if group and token >= self._highest.get(group.name, 0):
                    self._highest[group.name] = token
                    status = 200 if await group.promote(order["id"]) else 409
                self._record.write(f"promote {order} token {token} -> {status}")
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
                )
                await writer.drain()
        writer.close()


# Proxies


def free_ports(count):
    """Return the first of some consecutive free ports.

    They are below the range from which the kernel takes ports for outgoing connections.
    """
    while True:
        first = random.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in range(first, first + count):
                port_socket = stack.enter_context(socket.socket())
                port_socket.bind((HOST, port))
            return first


class Proxy:
    """One process of the session proxy."""

    def __init__(self, record, number, directory, store_address, promote_address):
        self._record = record
        self.name = f"front-{number}"
        first = free_ports(PORTS_PER_PROXY)
        front, ready, control, internal = range(first, first + 4)
        self.front = (HOST, front)
        self.ready = (HOST, ready)
        self._settings = pathlib.Path(directory) / f"{self.name}.toml"
        self.log_path = pathlib.Path(directory) / f"{self.name}.log"
        self._settings.write_text(
            f'node = "{self.name}"\nrole = "proxy"\nclass = "front"\n'
            f'serves = ["front","control"]\nip = "{HOST}"\n'
            f'zone = "{ZONES[number % len(ZONES)]}"\nregion = "region-1"\n'
            f"internalPortRange = [{internal},{internal + 4}]\nseeds = []\n"
            'bootstrap = true\ndiscovery = "platform"\nentry = "vip"\n'
            "heartbeatMs = 1200\n"
            f'[listen]\nfront = "{HOST}:{front}"\nready = "{HOST}:{ready}"\n'
            f'control = "{HOST}:{control}"\n'
            "[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\nmaxFds = 4200\n"
            "[bounds]\nstableWindowMs = 4000\nackMs = 5000\ndrainMs = 7000\n"
            "graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrecoveryS = 12\n"
            "requireFence = true\n"
            f'[platform]\naddr = "{HOST}:{store_address[1]}"\nform = "objects"\n'
            "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
            f'[cloudApi]\naddr = "{HOST}:{promote_address[1]}"\n'
            'duties = ["promotion"]\n'
        )
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["proxy"]["run"].split(" ")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CASSIAHILL_SETTINGS"] = str(self._settings)
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        self._record.write(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number):
        """Send a signal to the process."""
        self._record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether the readiness question is answered with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 0.5
            )
        except (TimeoutError, OSError):
            return False
        try:
            writer.write(b"GET /cassiahill/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(reader.readline(), 0.5)
            return b" 200 " in answer
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()


# Clients


class Ended(Exception):
    """The connection to a proxy has ended."""


class Session:
    """A client's session; one request is outstanding at a time."""

    _numbers = itertools.count(1)

    def __init__(self, record, proxy):
        self._record = record
        self.proxy = proxy
        self._reader = None
        self._writer = None
        self.number = next(self._numbers)
        self._requests = itertools.count(1)
        self.last_id = None
        self.sent_at = None

    async def open(self, database):
        """Open the session; return the first word of the answer and its detail."""
        self._reader, self._writer = await asyncio.open_connection(
            *self.proxy.front, limit=2 * 2**20
        )
        self._writer.write(f"STARTUP {database} review\r\n".encode())
        line = await asyncio.wait_for(self._line(), 2.0)
        return line.split(" ")[:2]

    def new_id(self):
        """Return a request id that was not used before."""
        return f"{self.number:04x}{next(self._requests):08x}"

    async def query(self, text, timeout=3.0):
        """Send a request; return the error code, or None after a success.

        Raises ``Ended`` when the connection ends before the answer is complete.
        """
        self.last_id = self.new_id()
        self.sent_at = self._record.now()
        self._record.write(f"client {self.number} sends {self.last_id} {text!r}")
        error = None
        try:
            self._writer.write(f"QUERY {self.last_id} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self._line(), timeout)
                word, _, rest = line.partition(" ")
                if word == "ERROR":
                    error = rest.split(" ")[0]
                elif word == "COMPLETE":
                    error = None
                elif word == "READY":
                    break
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as cause:
            self._record.write(
                f"client {self.number} {self.last_id} no answer: {type(cause).__name__}"
            )
            raise Ended from cause
        self._record.write(
            f"client {self.number} {self.last_id} -> {error or 'success'}"
        )
        return error

    def at_end(self):
        """Return whether the proxy has closed the connection."""
        return self._reader.at_eof()

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _line(self):
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode()


# Deployment


def route(name, group, kind, **changes):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": name,
        "pathPrefix": "/",
        "service": group.name,
        "kind": kind,
        "timeoutMs": 800,
        "latencySloMs": 250,
        "priority": 1,
        "maxStalenessMs": 2500,
        **changes,
    }


class Deployment:
    """Store, groups, promotion service and proxies of one case."""

    def __init__(self, record, directory, proxy_count):
        self.record = record
        self.directory = directory
        self._proxy_count = proxy_count
        self.store = Store(record)
        self.groups = [Group(record, "orders")]
        self.promotions = Promotions(record, self.groups)
        self.proxies = []
        self.version = 1
        self.routes = [
            route("orders-own", self.groups[0], "read_your_writes"),
            route("orders-primary", self.groups[0], "primary", priority=0),
            route("orders-bounded", self.groups[0], "bounded_staleness", priority=2),
        ]

    def configuration(self):
        """Return the configuration with its present version."""
        return {
            "version": self.version,
            "routes": list(self.routes),
            "services": [
                {
                    "name": group.name,
                    "maxConns": group.connection_limit,
                    "syncReplicas": 1,
                }
                for group in self.groups
            ],
            "limits": {"idleTxMs": 3000},
        }

    async def write_configuration(self):
        """Write the configuration under the next version, as the operator does."""
        self.version += 3
        await self.store.put("config", "main", self.configuration())
        self.record.write(f"configuration {self.version} acknowledged")
        return self.record.now()

    async def register(self, database, address=None):
        """Write a database's entry to the store."""
        await self.store.put("servers", database.id, database.entry(address))
        self.record.write(
            f"{database.id} registers as {'draining' if database.draining else 'ready'}"
        )
        return self.record.now()

    async def keep_registered(self):
        """Write each change of a database's role to the store, as it does itself."""
        written = {
            database.id: database.entry() for database in self.groups[0].databases
        }
        while True:
            for database in self.groups[0].databases:
                entry = database.entry()
                silent = database.dark or database.stopped
                if not silent and entry != written[database.id]:
                    written[database.id] = entry
                    await self.register(database)
            await asyncio.sleep(0.02)

    async def start(self, store_address=None):
        """Start everything and wait until all proxies are ready."""
        if self.store.address is None:
            await self.store.start()
        await self.promotions.start()
        for group in self.groups:
            await group.start()
            for database in group.databases:
                await self.register(database)
        await self.write_configuration()
        for number in range(self._proxy_count):
            self.proxies.append(
                Proxy(
                    self.record,
                    number,
                    self.directory,
                    store_address or self.store.address,
                    self.promotions.address,
                )
            )
            self.proxies[-1].start()
        await self.wait_ready(self.proxies, 15.0)

    async def wait_ready(self, proxies, seconds):
        """Wait until proxies are ready; raises ``NotRun`` if they are not in time."""
        deadline = time.monotonic() + seconds
        for proxy in proxies:
            while not await proxy.is_ready():
                if time.monotonic() > deadline:
                    raise NotRun(f"{proxy.name} does not become ready")
                await asyncio.sleep(0.1)

    def end(self):
        """End all processes."""
        for proxy in self.proxies:
            proxy.end()


def run_case(record_path, case, proxy_count):
    """Run a case and exit with its result.

    Parameters
    ----------
    record_path : pathlib.Path
        File that gets what was sent, answered and run.
    case : coroutine function
        Takes the ``Deployment`` and whether the disruption takes place; returns the
        list of violations.
    proxy_count : int
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    directory = tempfile.mkdtemp(prefix="review-")
    deployment = Deployment(record, directory, proxy_count)

    def finish(result, *lines):
        """End all processes, write what was found, and exit."""
        deployment.end()
        for line in lines:
            record.write(line)
        record.close()
        if os.environ.get("KEEP"):
            lines = (*lines, f"logs in {directory}")
        else:
            shutil.rmtree(directory, ignore_errors=True)
        with contextlib.suppress(OSError):  # Nobody may read the output any more.
            print(*lines[-MAX_PRINTED_LINES:], sep="\n", flush=True)
        # The stand-ins need no orderly end.
        os._exit(result)

    async def run():
        try:
            violations = await case(deployment, trouble)
        except Exception as error:  # noqa: BLE001 whatever it is, nothing was shown
            finish(EXIT_NOT_RUN, f"not run: {error!r}")
        finish(
            EXIT_BROKEN if violations else EXIT_HELD,
            *(f"BROKEN: {violation}" for violation in violations),
            f"{len(violations)} violations",
        )

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: finish(EXIT_NOT_RUN, "not run: stopped"))
    signal.alarm(MAX_RUN_SECONDS)
    asyncio.run(run())
