"""Objects of the platform: versions, conditional updates and watches.

All calls block and have a deadline; the daemon runs them in its executor.
"""

import random
import threading
import urllib.parse

import attrs

from cassiahill import blocking_http, clock, errors, http1, kernel, platform_calls

MAX_VALUE_BYTES = 1_000_000
# The platform answers a watch this long before its caller stops waiting.
WATCH_MARGIN_SECONDS = 0.25


@attrs.frozen
class Object:
    """One object; ``version`` grows with each change and ``value`` is UTF-8."""

    kind: str
    name: str
    version: int
    value: bytes


class ObjectStore:
    """Objects of the platform; deadlines are instants of the monotonic clock."""

    def get(self, kind, name, deadline):
        """Return an ``Object``.

        Raises
        ------
        errors.NotFound
            When it does not exist.
        errors.PlatformUnavailable
            When the platform did not answer before the deadline.
        """
        raise NotImplementedError

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``Object``.

        Parameters
        ----------
        kind, name : str
        value : bytes
            UTF-8 text of at most ``MAX_VALUE_BYTES``.
        expected_version : int or None
            Version that the update replaces; 0 when the object must not exist, None
            when any version may be replaced.
        deadline : float

        Raises
        ------
        errors.Conflict
            When the object has another version.
        errors.PlatformUnavailable
            When no answer came; ``may_have_run`` is ``no`` only if nothing was sent.
        """
        raise NotImplementedError

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        raise NotImplementedError

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version.

        Waits for a change until the deadline; the list is empty when there is none.
        """
        raise NotImplementedError

    def close(self):
        """End the calls in flight of other threads; nothing by default."""


def _check_value(value):
    if len(value) > MAX_VALUE_BYTES:
        raise errors.RequestTooLarge(
            f"the value has {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
        )


def _check_version(kind, name, found, expected):
    if expected is not None and expected != found:
        state = f"in version {found}" if found else "absent"
        raise errors.Conflict(f"{kind}/{name} is {state}")


@kernel.register("objects", "memory")
class MemoryObjectStore(ObjectStore):
    """Objects in memory, for tests and a single process."""

    def __init__(self, clock_source=None):
        self._clock = clock_source or clock.SystemClock()
        self._changed = threading.Condition()
        self._objects_by_key = {}
        self._version = 0

    def get(self, kind, name, deadline):
        """Return an ``Object``."""
        with self._changed:
            found = self._objects_by_key.get((kind, name))
        if found is None:
            raise errors.NotFound(f"{kind}/{name}")
        return found

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``Object``."""
        _check_value(value)
        with self._changed:
            found = self._objects_by_key.get((kind, name))
            version = found.version if found else 0
            _check_version(kind, name, version, expected_version)
            self._version += 1
            stored = Object(kind, name, self._version, bytes(value))
            self._objects_by_key[(kind, name)] = stored
            self._changed.notify_all()
        return stored

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        return self._after(kind, 0)

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version."""
        with self._changed:
            while not (found := self._after(kind, after_version)):
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                self._changed.wait(remaining)
            return found

    def _after(self, kind, version):
        with self._changed:
            return [
                stored
                for (stored_kind, _), stored in self._objects_by_key.items()
                if stored_kind == kind and stored.version > version
            ]


@kernel.register("objects", "http")
class HttpObjectStore(ObjectStore):
    """Objects of the platform over HTTP; safe to use from several threads.

    Parameters
    ----------
    address : tuple of (str, int) or None
        Without an address, every call fails as during an outage.
    domain : str
        Failure domain of this process, sent with each call.
    clock_source : clock.Clock or None
    ssl_context : ssl.SSLContext or None
    """

    def __init__(self, address, domain="", clock_source=None, ssl_context=None):
        self._address = address
        self._domain = domain
        self._clock = clock_source or clock.SystemClock()
        self._ssl_context = ssl_context
        self._open_sockets = blocking_http.OpenSockets()

    def get(self, kind, name, deadline):
        """Return an ``Object``."""
        return _object_of(self._call("GET", _path(kind, name), deadline))

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``Object``."""
        _check_value(value)
        headers = {}
        if expected_version == 0:
            headers["If-None-Match"] = "*"
        elif expected_version is not None:
            headers["If-Match"] = f'"{expected_version}"'
        answer = self._call("PUT", _path(kind, name), deadline, value, headers)
        return Object(kind, name, _field(answer, "version"), bytes(value))

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        answer = self._call("GET", _path(kind), deadline)
        return [_object_of(item) for item in _field(answer, "objects")]

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version."""
        wait = max(0.0, deadline - self._clock.now() - WATCH_MARGIN_SECONDS)
        query = f"after={after_version}&wait_ms={int(wait * 1000)}"
        answer = self._call("GET", _path(kind), deadline, query=query)
        return [_object_of(item) for item in _field(answer, "objects")]

    def close(self):
        """End the calls in flight; a watch would otherwise wait for its deadline."""
        self._open_sockets.close()

    def list_hosts(self, deadline):
        """Return the platform's list of hosts as decoded JSON."""
        return self._call("GET", "/hosts", deadline)

    def _call(self, method, path, deadline, body=b"", headers=None, query=""):
        if self._address is None:
            detail = "no address of the platform is configured"
            raise errors.PlatformUnavailable(detail, may_have_run="no")
        headers = {**(headers or {}), "Domain": self._domain}
        request = http1.Request(method, path, query, headers, body)
        try:
            response = blocking_http.send_request(
                self._address,
                request,
                deadline,
                self._clock,
                self._ssl_context,
                self._open_sockets,
            )
            return http1.decode_response(response)
        except errors.ConnectionLost as error:
            raise errors.PlatformUnavailable(
                error.detail, may_have_run=error.may_have_run
            ) from error


def _path(*parts):
    quoted = (urllib.parse.quote(part, safe="") for part in parts)
    return "/objects/" + "/".join(quoted)


def _field(answer, name):
    if not isinstance(answer, dict) or name not in answer:
        raise errors.PlatformUnavailable(f"the answer has no {name}")
    return answer[name]


def _object_of(item):
    return Object(
        _field(item, "kind"),
        _field(item, "name"),
        _field(item, "version"),
        _field(item, "value").encode(),
    )


class RetryingObjectStore(ObjectStore):
    """Calls another store within a ``CallBudget`` and repeats what is safe to repeat.

    Reads are repeated until their deadline. A put is repeated only when nothing was
    sent. A watch takes no part of the budget while it waits, because it may wait for
    minutes; its start does.

    Parameters
    ----------
    store : ObjectStore
    budget : platform_calls.CallBudget or None
    max_waiting : int
        Most calls that wait for the budget; further ones fail at once.
    clock_source : clock.Clock or None
    uniform : callable or None
        Returns a random number from 0 to 1.
    """

    def __init__(
        self, store, budget=None, max_waiting=64, clock_source=None, uniform=None
    ):
        self._store = store
        self._budget = budget or platform_calls.CallBudget()
        self._max_waiting = max_waiting
        self._clock = clock_source or clock.SystemClock()
        self._uniform = uniform or random.random
        self._changed = threading.Condition()
        self._waiting = 0
        self._closed = False

    def get(self, kind, name, deadline):
        """Return an ``Object``."""
        return self._repeat(lambda: self._store.get(kind, name, deadline), deadline)

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``Object``."""
        return self._repeat(
            lambda: self._store.put(kind, name, value, expected_version, deadline),
            deadline,
            read=False,
        )

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        return self._repeat(lambda: self._store.list(kind, deadline), deadline)

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version."""
        return self._repeat(
            lambda: self._store.watch(kind, after_version, deadline),
            deadline,
            counted=False,
        )

    def close(self):
        """End the calls in flight and those that wait."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self._store.close()

    def _repeat(self, call, deadline, read=True, counted=True):
        while True:
            self._wait_for_start(deadline)
            if not counted:
                self._end()
            answered = True
            try:
                return call()
            except errors.PlatformUnavailable as error:
                answered = False
                sent = error.may_have_run is not errors.MayHaveRun.NO
                ended = self._closed or self._clock.now() >= deadline
                if (sent and not read) or ended:
                    raise
            finally:
                self._record(answered)
                if counted:
                    self._end()

    def _wait_for_start(self, deadline):
        with self._changed:
            if self._waiting >= self._max_waiting:
                detail = f"{self._waiting} calls wait for the platform"
                raise errors.PlatformUnavailable(detail, may_have_run="no")
            self._waiting += 1
            try:
                while not self._budget.try_start(now := self._clock.now()):
                    if self._closed:
                        detail = "the process ends"
                        raise errors.PlatformUnavailable(detail, may_have_run="no")
                    if now >= deadline:
                        detail = "the platform did not answer earlier calls"
                        raise errors.PlatformUnavailable(detail, may_have_run="no")
                    until = deadline
                    if self._budget.next_attempt > now:
                        until = min(until, self._budget.next_attempt)
                    self._changed.wait(until - now)
            finally:
                self._waiting -= 1

    def _record(self, answered):
        with self._changed:
            if answered:
                self._budget.succeeded()
            else:
                self._budget.failed(self._clock.now(), self._uniform())

    def _end(self):
        with self._changed:
            self._budget.ended()
            self._changed.notify_all()
