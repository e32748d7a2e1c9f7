"""Platform stand-in: object API with versions, conditional updates and watches.

Run ``python -m standins.platform --help``. The protocol is section 4.3 of
``docs/design.md``; ``POST /fault`` makes it slow, down, or lose answers.
"""

import argparse
import collections
import signal
import sys
import urllib.parse
from concurrent.futures import Future

import attrs
import msgspec

from cassiahill import clock, errors, http1, loop

MAX_VALUE_BYTES = 1_000_000


@attrs.define
class Faults:
    """Faults that tests set."""

    slow_ms: float = 0.0
    down: bool = False
    lose_answers: int = 0
    cut: list = attrs.field(factory=list)


@attrs.frozen
class Stored:
    """One object; ``version`` grows with each change of any object."""

    kind: str
    name: str
    version: int
    value: str


class Platform:
    """The platform's object API and list of hosts."""

    def __init__(self, address):
        self.clock = clock.SystemClock()
        self.loop = loop.EventLoop(self.clock)
        self.faults = Faults()
        self.version = 0
        self.objects_by_key = {}
        self.hosts_by_name = {}
        self.counts = collections.Counter()
        self._waiters = []
        self.server = http1.Server(self.loop, address, self.handle)

    def handle(self, request, _connection):
        """Return the future of the response to one request."""
        return self.loop.spawn(self._handle(request))

    def _handle(self, request):
        if request.path == "/fault":
            for name, value in msgspec.json.decode(request.body).items():
                setattr(self.faults, name, value)
            return http1.json_response(attrs.asdict(self.faults))
        if request.path == "/counts":
            return http1.json_response(dict(self.counts))
        if self.faults.down or request.headers.get("domain") in self.faults.cut:
            yield Future()  # Never completes: the request stays without an answer.
        if self.faults.slow_ms:
            yield self.loop.sleep_until(self.clock.now() + self.faults.slow_ms / 1000)
        parts = [
            urllib.parse.unquote(part) for part in request.path.strip("/").split("/")
        ]
        match (request.method, parts):
            case ("GET", ["objects", kind, name]):
                self.counts["reads"] += 1
                return self._get(kind, name)
            case ("GET", ["objects", kind]):
                self.counts["reads"] += 1
                return (yield from self._list(kind, request.query))
            case ("PUT", ["objects", kind, name]):
                self.counts["writes"] += 1
                response = self._put(kind, name, request)
                if self.faults.lose_answers > 0:
                    self.faults.lose_answers -= 1
                    yield Future()
                return response
            case ("GET", ["hosts"]):
                self.counts["reads"] += 1
                return http1.json_response(list(self.hosts_by_name.values()))
            case ("POST", ["hosts"]):
                for host in msgspec.json.decode(request.body):
                    self.hosts_by_name[host["name"]] = host
                return http1.json_response({})
        raise errors.NotFound(request.path)

    def _get(self, kind, name):
        stored = self.objects_by_key.get((kind, name))
        if stored is None:
            raise errors.NotFound(f"{kind}/{name}")
        return http1.json_response(
            attrs.asdict(stored), headers=((b"ETag", b'"%d"' % stored.version),)
        )

    def _list(self, kind, query):
        query = dict(urllib.parse.parse_qsl(query))
        after = int(query.get("after", -1))
        wait_until = self.clock.now() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        while True:
            found = [
                attrs.asdict(stored)
                for (stored_kind, _), stored in self.objects_by_key.items()
                if stored_kind == kind and stored.version > after
            ]
            if found or self.clock.now() >= wait_until:
                return http1.json_response({"version": self.version, "objects": found})
            future = Future()
            self._waiters.append(future)
            yield self._bounded(future, wait_until)

    def _bounded(self, future, deadline):
        self.loop.call_at(
            deadline, lambda: None if future.done() else future.set_result(None)
        )
        return future

    def _put(self, kind, name, request):
        if len(request.body) > MAX_VALUE_BYTES:
            raise errors.RequestTooLarge(f"{len(request.body)} bytes")
        stored = self.objects_by_key.get((kind, name))
        if request.headers.get("if-none-match") == "*" and stored is not None:
            raise errors.Conflict(f"{kind}/{name} exists in version {stored.version}")
        expected = request.headers.get("if-match", "").strip('"')
        if expected and (stored is None or str(stored.version) != expected):
            found = "absent" if stored is None else f"in version {stored.version}"
            raise errors.Conflict(f"{kind}/{name} is {found}")
        self.version += 1
        self.objects_by_key[(kind, name)] = Stored(
            kind, name, self.version, request.body.decode()
        )
        waiters, self._waiters = self._waiters, []
        for future in waiters:
            if not future.done():
                future.set_result(None)
        return http1.json_response({"version": self.version})


def main(argv=None):
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins.platform", description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args(argv)
    platform = Platform((options.host, options.port))
    signal.signal(signal.SIGTERM, lambda *_: platform.loop.stop())
    print(f"ready {platform.server.address[1]}", flush=True)
    platform.loop.run()


if __name__ == "__main__":
    sys.exit(main())
