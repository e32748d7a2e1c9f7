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
    """Faults that tests set.

    ``slow_ms`` delays each request. While ``down``, or for a caller in a failure domain
    in ``cut``, requests get no answer. ``lose_answers`` is how many of the next writes
    run without an answer.
    """

    slow_ms: float = 0.0
    down: bool = False
    lose_answers: int = 0
    cut: list = attrs.field(factory=list)


@attrs.frozen
class StoredObject:
    """One stored object; each change of any object increases ``version``."""

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
        self._watchers = []
        self.server = http1.Server(self.loop, address, self.handle)

    def handle(self, request, _connection):
        """Return the future of the response to one request."""
        return self.loop.spawn(self._handle_request(request))

    def _handle_request(self, request):
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
        path_segments = [
            urllib.parse.unquote(segment)
            for segment in request.path.strip("/").split("/")
        ]
        match (request.method, path_segments):
            case ("GET", ["objects", kind, name]):
                self.counts["reads"] += 1
                return self._get_object(kind, name)
            case ("GET", ["objects", kind]):
                self.counts["reads"] += 1
                return (yield from self._list_objects(kind, request.query))
            case ("PUT", ["objects", kind, name]):
                self.counts["writes"] += 1
                response = self._put_object(kind, name, request)
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

    def _get_object(self, kind, name):
        stored = self.objects_by_key.get((kind, name))
        if stored is None:
            raise errors.NotFound(f"{kind}/{name}")
        return http1.json_response(
            attrs.asdict(stored), headers=((b"ETag", b'"%d"' % stored.version),)
        )

    def _list_objects(self, kind, query):
        query = dict(urllib.parse.parse_qsl(query))
        after_version = int(query.get("after", -1))
        wait_until = self.clock.now() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        while True:
            changed_objects = [
                attrs.asdict(stored)
                for (stored_kind, _), stored in self.objects_by_key.items()
                if stored_kind == kind and stored.version > after_version
            ]
            if changed_objects or self.clock.now() >= wait_until:
                return http1.json_response(
                    {"version": self.version, "objects": changed_objects}
                )
            future = Future()
            self._watchers.append(future)
            yield self._resolve_by_deadline(future, wait_until)

    def _resolve_by_deadline(self, future, deadline):
        self.loop.call_at(
            deadline, lambda: None if future.done() else future.set_result(None)
        )
        return future

    def _put_object(self, kind, name, request):
        if len(request.body) > MAX_VALUE_BYTES:
            raise errors.RequestTooLarge(f"{len(request.body)} bytes")
        stored = self.objects_by_key.get((kind, name))
        if request.headers.get("if-none-match") == "*" and stored is not None:
            raise errors.Conflict(f"{kind}/{name} exists in version {stored.version}")
        expected_version = request.headers.get("if-match", "").strip('"')
        if expected_version and (
            stored is None or str(stored.version) != expected_version
        ):
            actual_state = (
                "absent" if stored is None else f"in version {stored.version}"
            )
            raise errors.Conflict(f"{kind}/{name} is {actual_state}")
        self.version += 1
        self.objects_by_key[(kind, name)] = StoredObject(
            kind, name, self.version, request.body.decode()
        )
        watchers, self._watchers = self._watchers, []
        for future in watchers:
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
