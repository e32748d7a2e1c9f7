"""Stand-ins for the scripts of the second review: store, databases, platform, clients.

They follow the users' pages and use the standard library only. ``TROUBLE=0`` in the
environment turns the disruption of a script off; ``record.txt`` gets what was sent,
answered and run.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ERA = 1
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
RECEIVE_SECONDS = 0.001
APPLY_SECONDS = 0.02
PROMOTE_SECONDS = 1.0
RESTART_SECONDS = 0.5
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


class Record:
    """The file ``record.txt`` of a case, with seconds since the start of the script."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, *words):
        """Write one line."""
        print(f"{self.now():9.4f}", *words, file=self._file, flush=True)


def own_address():
    """Return a loopback address that differs between scripts that run together."""
    number = os.getpid() % 2**16
    return f"127.2.{number // 256}.{number % 256}"


def free_ports(host, count):
    """Return distinct ports that are free on a loopback address."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]


async def read_http(reader):
    """Return method, target, headers and body of a request; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def http_response(status, body, headers=""):
    """Return the bytes of a response with a JSON body."""
    data = body.encode("utf-8")
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    return head.encode("latin-1") + data


class Store:
    """The platform's metadata store.

    Specs are kept as JSON texts, so that they are returned as they were written.

    Attributes
    ----------
    after_page : coroutine function or None
        Called with the kind, ``after`` and ``more`` when a page of a list was read.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._history = []
        self._changed = asyncio.Condition()
        self.revision = 1
        self.answer_seconds = 0.004
        self.down = False
        self.after_page = None

    async def start(self, host):
        """Listen; return the address."""
        server = await asyncio.start_server(self._serve, host, 0, limit=2**22)
        return server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec_text):
        """Write an object as the operator or a database does."""
        self.revision += 1
        former = self._objects.get((kind, name))
        created = former["createRev"] if former else self.revision
        self._objects[kind, name] = {
            "revision": self.revision,
            "createRev": created,
            "spec": spec_text,
        }
        await self._note(kind, name, False)

    async def delete(self, kind, name):
        """Remove an object."""
        if (kind, name) in self._objects:
            self.revision += 1
            self._objects[kind, name]["revision"] = self.revision
            await self._note(kind, name, True)
            del self._objects[kind, name]

    def has(self, kind, name):
        """Return whether there is such an object."""
        return (kind, name) in self._objects

    async def _note(self, kind, name, deleted):
        text = self._object_text(kind, name)
        event = f'{{"object":{text},"deleted":{json.dumps(deleted)}}}'
        self._history.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    def _object_text(self, kind, name):
        stored = self._objects[kind, name]
        meta = {
            "name": name,
            "revision": stored["revision"],
            "createRev": stored["createRev"],
            "finalizers": [],
            "deleting": False,
        }
        return f'{{"meta":{json.dumps(meta)},"spec":{stored["spec"]},"status":{{}}}}'

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_http(reader)) is not None:
                await asyncio.sleep(self.answer_seconds)
                status, body = await self._answer(*request)
                if self.down:
                    writer.transport.abort()
                    return
                writer.write(http_response(status, body, f"Store-Era: {ERA}\r\n"))
                await writer.drain()
        writer.close()

    async def set_down(self, down):
        """Reset connections instead of answering, or answer again."""
        self.down = down
        self._record.write("the store is", "down" if down else "back")
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, method, target, _headers, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        kind, _, name = path.removeprefix("/cassiahill/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if self.down:
            return 503, "{}"
        if method == "GET" and name:
            if (kind, name) not in self._objects:
                return 404, "{}"
            return 200, self._object_text(kind, name)
        if method == "GET" and "watch" in query:
            wait_seconds = int(query.get("waitMs", 0)) / 1000
            return await self._watch(kind, int(query["watch"]), wait_seconds)
        if method == "GET":
            return await self._list(kind, query.get("after", ""))
        document = json.loads(body)
        name = name or document["meta"]["name"]
        former = self._objects.get((kind, name))
        wanted = document["meta"].get("revision")
        if method == "POST" and former is not None:
            return 409, self._object_text(kind, name)
        if method == "PUT" and former is None:
            return 404, "{}"
        if method == "PUT" and wanted not in (None, former["revision"]):
            return 409, self._object_text(kind, name)
        spec_text = json.dumps(document["spec"])
        if former is None or former["spec"] != spec_text:
            await self.put(kind, name, spec_text)
        return 200, self._object_text(kind, name)

    async def _list(self, kind, after):
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        texts, size = [], 0
        for name in names[:PAGE_ITEMS]:
            text = self._object_text(kind, name)
            if texts and size + len(text) > PAGE_BYTES:
                break
            texts.append(text)
            size += len(text)
        more = len(texts) < len(names)
        body = (
            f'{{"items":[{",".join(texts)}],"more":{json.dumps(more)},'
            f'"storeRevision":{self.revision}}}'
        )
        if self.after_page is not None:
            await self.after_page(kind, after, more)
        return 200, body

    async def _watch(self, kind, revision, wait_seconds):
        deadline = time.monotonic() + wait_seconds
        while True:
            events = [e for r, k, e in self._history if k == kind and r > revision]
            if self.down:
                return 503, "{}"
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, (
                    f'{{"events":[{",".join(events)}],"storeRevision":{self.revision}}}'
                )
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)


class Database:
    """One database of a service.

    Attributes
    ----------
    log : list of (int, int, str)
        Term, number and data of each commit received.
    """

    def __init__(self, service, server_id, zone):
        self.service = service
        self.server_id = server_id
        self.zone = zone
        self.log = [(1, 1, "")]
        self.applied = 1
        self.term = 1
        self.paused = 0
        self.draining = False
        self.deaf = False
        self.running = True
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.address = None
        self.writers = set()
        self._server = None

    async def start(self, host):
        """Listen for proxies."""
        self._server = await asyncio.start_server(self._serve, host, 0, limit=2**21)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self):
        """End the process of the database."""
        self.running = False
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def is_primary(self):
        """Whether it leads."""
        return self.service.primary is self

    def position(self):
        """Return the position of the applied log as text."""
        term, number, _ = self.log[self.applied - 1]
        return f"{term}.{number}"

    def entry(self):
        """Return its entry in the store."""
        self.seq += 1
        return {
            "service": self.service.name,
            "addr": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "1.0",
            "slots": 3,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
            "dbRole": "primary" if self.is_primary else "replica",
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        session = _DatabaseSession(self, writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, ValueError
        ):
            while self.running and (line := await reader.readline()):
                if not await session.handle(line.rstrip(b"\r\n").decode()):
                    break
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


class _DatabaseSession:
    """A connection to a database."""

    _signatures = iter(range(1, 10**9))

    def __init__(self, database, writer):
        self._database = database
        self._writer = writer
        self._state = "I"
        self._read_only = False
        self._writes = []
        self._caller = ""

    async def handle(self, line):
        """Answer one line; return whether the connection stays open."""
        database = self._database
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            self._caller = fields[1]
            if fields[0] != database.service.name or (
                len(fields) > 2 and fields[2] != database.server_id
            ):
                self._send("ERROR MISROUTED -")
                return False
            self._send(f"READY I {database.position()}")
            return True
        if word != "QUERY":
            return False
        request_id, _, text = rest.partition(" ")
        if text.startswith("AFTER "):
            _, needed, text = text.split(" ", 2)
            term, number = map(int, needed.split("."))
            if database.log[database.applied - 1][:2] < (term, number):
                self._refuse("LAGGING")
                return True
        await self._run(request_id, text)
        return True

    def _send(self, *lines):
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def _complete(self, *rows, signature=None):
        signature = signature or f"{self._database.server_id}.{next(self._signatures)}"
        self._send(
            *(f"ROW {row}" for row in rows),
            f"COMPLETE {signature}",
            f"READY {self._state} {self._database.position()}",
        )

    def _refuse(self, code):
        if self._state == "T":
            self._state = "E"
        self._send(
            f"ERROR {code} {self._database.server_id}",
            f"READY {self._state} {self._database.position()}",
        )

    async def _run(self, request_id, text):
        database = self._database
        word, _, rest = text.partition(" ")
        if request_id != "-":
            database.service.note_arrival(database, request_id, text, self._state)
        if word in {"STATUS", "PAUSE", "RESUME", "STEPDOWN"}:
            self._control(word, rest)
            self._complete(self._status(), signature="-")
        elif word in {"RESET", "SET", "PREPARE", "DEALLOCATE"}:
            self._complete()
        elif word == "ROLLBACK":
            self._state, self._writes = "I", []
            self._complete()
        elif word == "COMMIT":
            await self._run_commit()
        elif self._needs_lead(word, rest) and not database.is_primary:
            self._refuse("READONLY")
        elif word == "BEGIN":
            self._state, self._read_only, self._writes = "T", rest == "READ", []
            self._complete()
        elif word == "READ":
            await asyncio.sleep(0.005)
            self._complete("row")
        elif word == "WRITE":
            await self._run_write(rest)

    def _needs_lead(self, word, rest):
        """Return whether only the primary runs a statement."""
        if word == "BEGIN":
            return rest != "READ"
        return word == "WRITE" or (self._state == "T" and not self._read_only)

    async def _run_commit(self):
        failed, self._state = self._state == "E", "I"
        if failed or (self._writes and not self._database.is_primary):
            self._refuse("READONLY")
        elif self._writes and not await self._commit():
            self._writer.transport.abort()
        else:
            self._complete()

    async def _run_write(self, rest):
        await asyncio.sleep(0.003)
        self._writes.append(rest)
        if self._state == "T" or await self._commit():
            self._complete()
        else:
            self._writer.transport.abort()

    async def _commit(self):
        """Commit; return whether a replica has received it."""
        writes, self._writes = self._writes, []
        return await self._database.service.commit(self._database, " ; ".join(writes))

    def _control(self, word, rest):
        database = self._database
        term = int(rest or 0)
        if word == "PAUSE" and not database.is_primary:
            if term > database.term:
                database.paused = max(database.paused, term)
        elif word == "RESUME":
            database.paused = 0
        elif word == "STEPDOWN" and database.is_primary and term > database.term:
            database.service.primary = None

    def _status(self):
        database = self._database
        role = "primary" if database.is_primary else "replica"
        term, number, _ = database.log[-1]
        connections = len(database.writers)
        return f"{role} {database.term} {term}.{number} {database.paused} 0 0 " + str(
            connections
        )


class Service:
    """A primary and its replicas, which receive each commit.

    A replica that is ``deaf`` or paused receives nothing.
    """

    def __init__(self, name, record):
        self.name = name
        self.databases = {}
        self.primary = None
        self.arrivals = []
        self._record = record
        self.on_arrival = lambda database, request_id, text, state: None
        self.on_promotion = lambda database: None

    def note_arrival(self, database, request_id, text, state):
        """Record that a client's statement has reached a database."""
        at = self._record.now()
        self.arrivals.append((at, database.server_id, request_id, text, state))
        self._record.write("runs", database.server_id, request_id, text[:60])
        self.on_arrival(database, request_id, text, state)

    async def add(self, server_id, zone, host):
        """Start a database; the first one leads."""
        database = Database(self, server_id, zone)
        await database.start(host)
        if self.primary is None and not self.databases:
            self.primary = database
        elif self.primary is not None:
            database.log = list(self.primary.log)
            database.applied = len(database.log)
            database.term = self.primary.term
        self.databases[server_id] = database
        return database

    def remove(self, server_id):
        """End a database."""
        database = self.databases.pop(server_id)
        if self.primary is database:
            self.primary = None
        database.stop()
        self._record.write("database", server_id, "has ended")

    async def commit(self, primary, data):
        """Append a commit and wait until one replica has received it."""
        number = primary.log[-1][1] + 1
        primary.log.append((primary.term, number, data))
        primary.applied = len(primary.log)
        deadline = time.monotonic() + 5.0
        while self.primary is primary and time.monotonic() < deadline:
            await asyncio.sleep(RECEIVE_SECONDS)
            if self.primary is primary and self.replicate():
                self._record.write("committed", f"{primary.term}.{number}", data[:60])
                return True
        return False

    def replicate(self):
        """Let the replicas receive; return whether one has all."""
        primary = self.primary
        received = False
        for replica in self.databases.values():
            if primary is None or replica is primary or replica.paused or replica.deaf:
                continue
            replica.term = primary.term
            replica.log = list(primary.log)
            replica.applied = min(replica.applied, len(replica.log))
            asyncio.get_running_loop().call_later(
                APPLY_SECONDS, self._apply, replica, len(replica.log)
            )
            received = True
        return received

    @staticmethod
    def _apply(replica, count):
        replica.applied = max(replica.applied, min(count, len(replica.log)))

    def promote(self, server_id):
        """Let a database lead the next term."""
        database = self.databases.get(server_id)
        if database is None or self.primary is database:
            return
        database.term = 1 + max(each.term for each in self.databases.values())
        database.log.append((database.term, database.log[-1][1] + 1, ""))
        database.applied = len(database.log)
        for each in self.databases.values():
            each.paused = 0
        self.primary = database
        self._record.write("promoted", server_id, "term", database.term)
        self.on_promotion(database)


class Platform:
    """The platform: store, promotions, entries of the databases, and the proxies."""

    def __init__(self, case_folder, zones=("zone-a", "zone-b", "zone-c")):
        self.record = Record(case_folder)
        self.host = own_address()
        self.zones = zones
        self.store = Store(self.record)
        self.services = {}
        self.proxies = []
        self.orders = []
        self.tasks = []
        self.on_order = lambda service, server_id, token, holder: None
        self._highest_tokens = {}
        self._version = 0
        self.silent_until = {}
        self._written = {}
        self._folder = None

    async def start(self, service_names, proxy_count, databases=3, bounds=""):
        """Start everything; return when the proxies are ready."""
        self.store_address = await self.store.start(self.host)
        api = await asyncio.start_server(self._serve_api, self.host, 0)
        self.api_address = api.sockets[0].getsockname()[:2]
        for name in service_names:
            service = self.services[name] = Service(name, self.record)
            for number in range(databases):
                zone = self.zones[number % len(self.zones)]
                await service.add(f"i-{name}-{number}", zone, self.host)
        await self.write_configuration()
        self.tasks.append(asyncio.create_task(self._beat()))
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        ports = free_ports(self.host, 4 * proxy_count)
        for number in range(proxy_count):
            self.proxies.append(
                Proxy(self, number, ports[4 * number : 4 * number + 4], bounds)
            )
        for proxy in self.proxies:
            proxy.start()
        self.tasks.append(asyncio.create_task(self._restart()))

    async def write_configuration(self, **fields):
        """Write the next version of the configuration."""
        self._version += random.randint(1, 5)
        routes = [
            {
                "name": f"{name}-{kind}",
                "host": f"{name}-{kind}",
                "service": name,
                "kind": kind,
                "timeoutMs": 800,
                "latencySloMs": 200,
                "priority": 1,
                "maxStalenessMs": 1500,
            }
            for name in self.services
            for kind in ("primary", "bounded_staleness", "read_your_writes")
        ]
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "maxConns": 30, "syncReplicas": 1}
                for name in self.services
            ],
            "limits": {"idleTxMs": 3000},
            **fields,
        }
        await self.store.put("config", "main", json.dumps(document))
        self.record.write("operator wrote configuration", self._version)

    async def write_entry(self, database):
        """Write the entry of a database, in which more than ``seq`` has changed."""
        await self.store.put(
            "servers", database.server_id, json.dumps(database.entry())
        )
        self._written[database.server_id] = (database.is_primary, database.draining)
        self.record.write(
            "entry of",
            database.server_id,
            "primary" if database.is_primary else "replica",
            "draining" if database.draining else "ready",
        )

    async def _beat(self):
        """Write the entries that are missing or have changed."""
        while True:
            for service in self.services.values():
                service.replicate()
                for server_id, database in list(service.databases.items()):
                    known = self._written.get(server_id)
                    if (
                        not self.store.down
                        and self.record.now() >= self.silent_until.get(server_id, 0.0)
                        and known != (database.is_primary, database.draining)
                    ):
                        await self.write_entry(database)
            await asyncio.sleep(0.02)

    async def forget_entry(self, server_id):
        """Remove the entry of a database that has left or whose entry lapses."""
        self.record.write("entry of", server_id, "is removed")
        self._written.pop(server_id, None)
        await self.store.delete("servers", server_id)

    async def _serve_api(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_http(reader)) is not None:
                status = self._promote(request[2], json.loads(request[3]))
                writer.write(http_response(status, "{}"))
                await writer.drain()
        writer.close()

    def _promote(self, headers, body):
        token = int(headers["x-cassiahill-fencing-token"])
        holder = headers["x-cassiahill-lease-holder"]
        name, server_id = body["service"], body["id"]
        service = self.services.get(name)
        highest = self._highest_tokens.get(name, 0)
        self._highest_tokens[name] = max(highest, token)
        known = service is not None and server_id in service.databases
        status = 409 if token < highest or not known else 200
        self.orders.append((self.record.now(), name, server_id, token, holder, status))
        self.record.write("order", name, server_id, token, holder, status)
        self.on_order(name, server_id, token, holder)
        if status == 200 and service.primary is not service.databases[server_id]:
            asyncio.get_running_loop().call_later(
                PROMOTE_SECONDS, service.promote, server_id
            )
        return status

    async def _restart(self):
        """Start processes that have ended again after a short delay."""
        while True:
            await asyncio.sleep(0.05)
            for proxy in self.proxies:
                if proxy.process is not None and proxy.process.returncode is not None:
                    self.record.write(proxy.name, "ended", proxy.process.returncode)
                    proxy.ends.append((self.record.now(), proxy.process.returncode))
                    proxy.process = None
                    asyncio.get_running_loop().call_later(RESTART_SECONDS, proxy.start)

    async def until_ready(self, seconds=25.0):
        """Wait until all proxies say that they are ready; return whether they do."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            answers = [await proxy.is_ready() for proxy in self.proxies]
            if all(answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies:
            await proxy.kill()
        if self._folder is not None:
            self._folder.cleanup()


class Proxy:
    """A proxy process, started with the command of the deploy file."""

    def __init__(self, platform, number, ports, bounds):
        self.name = f"front-{number}"
        self.process = None
        self.ends = []
        self._platform = platform
        host = platform.host
        zone = platform.zones[number % len(platform.zones)]
        self.address = (host, ports[0])
        self.ready_address = (host, ports[1])
        self.control_address = (host, ports[2])
        store = "{}:{}".format(*platform.store_address)
        api = "{}:{}".format(*platform.api_address)
        zones = "".join(f'{each} = "region"\n' for each in platform.zones)
        self._settings_path = pathlib.Path(platform._folder.name) / f"{self.name}.toml"
        self._settings_path.write_text(
            f'node = "{self.name}"\nrole = "proxy"\nclass = "front"\n'
            f'serves = ["front","control"]\nip = "{host}"\nzone = "{zone}"\n'
            f'region = "region"\ninternalPortRange = [{ports[3]}, {ports[3] + 15}]\n'
            "seeds = []\nbootstrap = true\nheartbeatMs = 1200\n"
            f"[zones]\n{zones}"
            f'[listen]\nfront = "{host}:{ports[0]}"\nready = "{host}:{ports[1]}"\n'
            f'control = "{host}:{ports[2]}"\n'
            "[bounds]\nstableWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\n"
            "drainMs = 7000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n"
            "rollbackSlackMs = 250\nskewMs = 12000\nrecoveryS = 12\n"
            f"requireFence = true\nthawSlackMs = 300\n{bounds}"
            f'[platform]\naddr = "{store}"\nform = "objects"\nwritesPerS = 400\n'
            "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
            f'[cloudApi]\naddr = "{api}"\nratePerS = 50.0\nduties = ["promotion"]\n'
            "dutyPerS = 50.0\n"
        )
        log_folder = os.environ.get("REVIEW_LOGS")
        self._log_path = (
            pathlib.Path(log_folder) / f"{self.name}.log" if log_folder else os.devnull
        )

    def start(self):
        """Start the process."""
        asyncio.get_running_loop().create_task(self._start())

    async def _start(self):
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY_ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CASSIAHILL_SETTINGS"] = str(self._settings_path)
        with open(self._log_path, "ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "platform/run.py",
                cwd=REPOSITORY_ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        self._platform.record.write(self.name, "starts")

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._platform.record.write(self.name, signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        """End the process for good."""
        process = self.process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()

    async def is_ready(self):
        """Return whether the process answers 200 to the question for readiness."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready_address), 0.5
            )
            writer.write(b"GET /cassiahill/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        return False


class ClientSession:
    """A client's connection to a proxy."""

    def __init__(self, record, reader, writer):
        self._record = record
        self._reader = reader
        self._writer = writer
        self.state = "I"

    @classmethod
    async def open(cls, record, address, database, user, seconds=2.0):
        """Return an open session; raises ``ConnectionError`` without one."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*address, limit=2**21), seconds
            )
            session = cls(record, reader, writer)
            writer.write(f"STARTUP {database} {user}\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), seconds)
        except (TimeoutError, OSError) as error:
            raise ConnectionError(str(error)) from error
        if not line.startswith(b"READY"):
            writer.close()
            raise ConnectionError(line.decode(errors="replace").strip() or "closed")
        return session

    async def query(self, text, seconds=3.0):
        """Send a statement; return its id, the code or ``OK``, and the rows."""
        request_id = secrets.token_hex(8)
        self._record.write("sends", request_id, text[:60])
        rows, outcome = [], None
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self._reader.readline(), seconds)
                if not line.endswith(b"\n"):
                    raise ConnectionError("closed")
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    outcome = "OK"
                elif word == "ERROR":
                    outcome = rest.partition(" ")[0]
                elif word == "READY":
                    self.state = rest.partition(" ")[0]
                    break
        except (TimeoutError, OSError) as error:
            self._record.write("no answer", request_id, repr(error))
            self.close()
            raise ConnectionError(str(error)) from error
        self._record.write("answer", request_id, outcome)
        return request_id, outcome, rows

    def close(self):
        """Close the connection."""
        self._writer.close()


class Clients:
    """Clients that read and write all the time.

    Attributes
    ----------
    operations : list of dict
        Each with ``sent``, ``ended``, ``kind`` and ``outcome``.
    """

    def __init__(self, platform, service, count, pause=0.05, write_share=0.2):
        self._platform = platform
        self._service = service
        self._pause = pause
        self._write_share = write_share
        self.operations = []
        self.tasks = [
            asyncio.create_task(self._run(random.Random(number), f"u{number}"))
            for number in range(count)
        ]

    async def _run(self, rng, user):
        platform = self._platform
        while True:
            kind = rng.choice(("primary", "bounded_staleness", "read_your_writes"))
            sent_at = platform.record.now()
            try:
                session = await ClientSession.open(
                    platform.record,
                    rng.choice(platform.proxies).address,
                    f"{self._service}-{kind}",
                    user,
                )
            except ConnectionError as error:
                self._note(sent_at, kind, "open", f"no session: {error}")
                await asyncio.sleep(0.2)
                continue
            try:
                for _ in range(rng.randint(3, 20)):
                    await self._operate(session, rng, kind)
                    await asyncio.sleep(self._pause * rng.uniform(0.5, 1.5))
            except ConnectionError:
                pass
            finally:
                session.close()

    async def _operate(self, session, rng, kind):
        writes = kind != "bounded_staleness" and rng.random() < self._write_share
        data = secrets.token_hex(4)
        text = f"WRITE item {data}" if writes else "READ item"
        sent_at = self._platform.record.now()
        try:
            _, outcome, _ = await session.query(text)
        except ConnectionError:
            self._note(sent_at, kind, text, "no answer")
            raise
        self._note(sent_at, kind, text, outcome)

    def _note(self, sent_at, kind, text, outcome):
        self.operations.append(
            {
                "sent": sent_at,
                "ended": self._platform.record.now(),
                "kind": kind,
                "text": text,
                "outcome": outcome,
            }
        )

    def served_share(self, since, until, writes_only=False):
        """Return the served share of the requests sent in a span, and their number."""
        chosen = [
            operation
            for operation in self.operations
            if since <= operation["sent"] < until
            and (not writes_only or operation["text"].startswith("WRITE"))
        ]
        served = sum(operation["outcome"] == "OK" for operation in chosen)
        return (served / len(chosen) if chosen else 0.0), len(chosen)

    def acknowledged_writes(self, until):
        """Return the data of the writes that clients were told of before an instant."""
        return {
            operation["text"].split(" ")[2]
            for operation in self.operations
            if operation["text"].startswith("WRITE")
            and operation["outcome"] == "OK"
            and operation["ended"] < until
        }

    def stop(self):
        """End the clients."""
        for task in self.tasks:
            task.cancel()


def run(case_file, scenario):
    """Run a scenario, a coroutine function of a ``Platform``; exit with its result."""
    folder = pathlib.Path(case_file).resolve().parent

    async def main():
        platform = Platform(folder)
        task = asyncio.ensure_future(asyncio.wait_for(scenario(platform), 110))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            result = await task
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            platform.record.write("the case could not run:", repr(error))
            print("could not run:", repr(error))
            result = NOT_RUN
        finally:
            await platform.stop()
        platform.record.write("result", result)
        return result

    result = asyncio.run(main())
    sys.stdout.flush()
    os._exit(result)
