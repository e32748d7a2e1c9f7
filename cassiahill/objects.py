"""Clients of the platform's object store: versions, conditional updates and watches.

All calls block and have a deadline; the proxy runs them in an executor.
"""

import random
import threading
import urllib.parse

import attrs

from cassiahill import blocking_http, clock, errors, http1, kernel, platform_calls

MAX_VALUE_BYTES = 1_000_000
# The platform is asked to answer a watch this long before the caller's deadline, so
# that the answer arrives in time.
WATCH_MARGIN_SECONDS = 0.25


@attrs.frozen
class VersionedObject:
    """One object; ``version`` grows with each change and ``value`` is UTF-8 text."""

    kind: str
    name: str
    version: int
    value: bytes


class ObjectStore:
    """Interface of the object stores.

    Deadlines are instants of the monotonic clock in seconds.
    """

    def get(self, kind, name, deadline):
        """Return one object as a ``VersionedObject``.

        Raises
        ------
        errors.NotFound
            When the object does not exist.
        errors.PlatformUnavailable
            When the platform did not answer before the deadline.
        """
        raise NotImplementedError

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``VersionedObject``.

        Parameters
        ----------
        kind, name : str
        value : bytes
            UTF-8 text of at most ``MAX_VALUE_BYTES``.
        expected_version : int or None
            Version that the update replaces; 0 when the object must not exist, None
            when any version may be replaced.
        deadline : float
            Instant in seconds.

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
        """Abort the calls that other threads have in flight; a no-op by default."""


def _check_value_size(value):
    if len(value) > MAX_VALUE_BYTES:
        raise errors.RequestTooLarge(
            f"the value has {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
        )


def _check_version(kind, name, current_version, expected_version):
    if expected_version is not None and expected_version != current_version:
        state = f"in version {current_version}" if current_version else "absent"
        raise errors.Conflict(f"{kind}/{name} is {state}")


@kernel.register("objects", "memory")
class MemoryObjectStore(ObjectStore):
    """Object store in memory, for tests and for a single process."""

    def __init__(self, clock_source=None):
        self._clock = clock_source or clock.SystemClock()
        self._condition = threading.Condition()
        self._objects_by_key = {}
        self._last_version = 0

    def get(self, kind, name, deadline):
        """Return one object as a ``VersionedObject``."""
        with self._condition:
            existing = self._objects_by_key.get((kind, name))
        if existing is None:
            raise errors.NotFound(f"{kind}/{name}")
        return existing

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``VersionedObject``."""
        _check_value_size(value)
        with self._condition:
            existing = self._objects_by_key.get((kind, name))
            current_version = existing.version if existing else 0
            _check_version(kind, name, current_version, expected_version)
            self._last_version += 1
            stored = VersionedObject(kind, name, self._last_version, bytes(value))
            self._objects_by_key[(kind, name)] = stored
            self._condition.notify_all()
        return stored

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        return self._changed_after(kind, 0)

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version."""
        with self._condition:
            while not (changed := self._changed_after(kind, after_version)):
                remaining_seconds = deadline - self._clock.now()
                if remaining_seconds <= 0:
                    break
                self._condition.wait(remaining_seconds)
            return changed

    def _changed_after(self, kind, after_version):
        with self._condition:
            return [
                stored
                for (stored_kind, _), stored in self._objects_by_key.items()
                if stored_kind == kind and stored.version > after_version
            ]


@kernel.register("objects", "http")
class HttpObjectStore(ObjectStore):
    """Client of the platform's object store over HTTP; thread-safe.

    Parameters
    ----------
    address : tuple of (str, int) or None
        Without an address, every call fails with ``errors.PlatformUnavailable``.
    own_domain : str
        Failure domain of this process, sent with each call.
    clock_source : clock.Clock or None
    ssl_context : ssl.SSLContext or None
    """

    def __init__(self, address, own_domain="", clock_source=None, ssl_context=None):
        self._address = address
        self._own_domain = own_domain
        self._clock = clock_source or clock.SystemClock()
        self._ssl_context = ssl_context
        self._open_sockets = blocking_http.OpenSockets()

    def get(self, kind, name, deadline):
        """Return one object as a ``VersionedObject``."""
        return _decode_object(
            self._send_request("GET", _object_path(kind, name), deadline)
        )

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``VersionedObject``."""
        _check_value_size(value)
        headers = {}
        if expected_version == 0:
            headers["If-None-Match"] = "*"
        elif expected_version is not None:
            headers["If-Match"] = f'"{expected_version}"'
        answer = self._send_request(
            "PUT", _object_path(kind, name), deadline, value, headers
        )
        return VersionedObject(
            kind, name, _required_field(answer, "version"), bytes(value)
        )

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        answer = self._send_request("GET", _object_path(kind), deadline)
        return [_decode_object(item) for item in _required_field(answer, "objects")]

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version."""
        wait_seconds = max(0.0, deadline - self._clock.now() - WATCH_MARGIN_SECONDS)
        query = f"after={after_version}&wait_ms={int(wait_seconds * 1000)}"
        answer = self._send_request("GET", _object_path(kind), deadline, query=query)
        return [_decode_object(item) for item in _required_field(answer, "objects")]

    def close(self):
        """Abort the calls in flight, so that no watch waits until its deadline."""
        self._open_sockets.close()

    def list_hosts(self, deadline):
        """Return the platform's list of hosts as decoded JSON."""
        return self._send_request("GET", "/hosts", deadline)

    def _send_request(self, method, path, deadline, body=b"", headers=None, query=""):
        if self._address is None:
            detail = "no address of the platform is configured"
            raise errors.PlatformUnavailable(detail, may_have_run="no")
        headers = {**(headers or {}), "Domain": self._own_domain}
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
        except errors.ResponseTooLarge as error:
            raise errors.AnswerTooLarge(error.detail) from error
        except errors.ConnectionLost as error:
            raise errors.PlatformUnavailable(
                error.detail, may_have_run=error.may_have_run
            ) from error


def _object_path(*segments):
    """Return the path of a kind, or of the object with a kind and a name."""
    quoted = (urllib.parse.quote(segment, safe="") for segment in segments)
    return "/objects/" + "/".join(quoted)


def _required_field(answer, name):
    """Return a field of a JSON object, which must be there."""
    if not isinstance(answer, dict) or name not in answer:
        raise errors.PlatformUnavailable(f"the answer has no {name}")
    return answer[name]


def _decode_object(item):
    return VersionedObject(
        _required_field(item, "kind"),
        _required_field(item, "name"),
        _required_field(item, "version"),
        _required_field(item, "value").encode(),
    )


class RetryingObjectStore(ObjectStore):
    """Limits the calls in flight to another store, and retries calls with backoff.

    Reads are retried until their deadline. A put is retried only when nothing was sent.
    A watch may wait for minutes, so it counts towards the limit only while it starts.

    Parameters
    ----------
    store : ObjectStore
    limiter : platform_calls.CallLimiter or None
    max_waiting : int
        Largest number of calls that wait for the limiter; further ones fail at once.
    clock_source : clock.Clock or None
    random_source : callable or None
        Returns a random number from 0 to 1.
    """

    def __init__(
        self, store, limiter=None, max_waiting=64, clock_source=None, random_source=None
    ):
        self._store = store
        self._limiter = limiter or platform_calls.CallLimiter()
        self._max_waiting = max_waiting
        self._clock = clock_source or clock.SystemClock()
        self._random_fraction = random_source or random.random
        self._condition = threading.Condition()
        self._waiting_count = 0
        self._closed = False

    def get(self, kind, name, deadline):
        """Return one object as a ``VersionedObject``."""
        return self._call_with_retries(
            lambda: self._store.get(kind, name, deadline), deadline
        )

    def put(self, kind, name, value, expected_version, deadline):
        """Store a value and return the new ``VersionedObject``."""
        return self._call_with_retries(
            lambda: self._store.put(kind, name, value, expected_version, deadline),
            deadline,
            is_read=False,
        )

    def list(self, kind, deadline):
        """Return all objects of a kind."""
        return self._call_with_retries(
            lambda: self._store.list(kind, deadline), deadline
        )

    def watch(self, kind, after_version, deadline):
        """Return the objects of a kind that changed after a version."""
        return self._call_with_retries(
            lambda: self._store.watch(kind, after_version, deadline),
            deadline,
            counts_in_flight=False,
        )

    def close(self):
        """Abort the calls in flight and those that wait for the limiter."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()
        self._store.close()

    def _call_with_retries(self, call, deadline, is_read=True, counts_in_flight=True):
        while True:
            self._wait_for_start(deadline)
            if not counts_in_flight:
                self._record_end()
            answered = True
            try:
                return call()
            except errors.AnswerTooLarge:
                # The platform works, and another attempt would get the same answer.
                raise
            except errors.PlatformUnavailable as error:
                answered = False
                may_have_run = error.may_have_run is not errors.MayHaveRun.NO
                is_last = self._closed or self._clock.now() >= deadline
                if (may_have_run and not is_read) or is_last:
                    raise
            finally:
                self._record_outcome(answered)
                if counts_in_flight:
                    self._record_end()

    def _wait_for_start(self, deadline):
        """Wait until the limiter lets a call start; fail at the deadline."""
        with self._condition:
            if self._waiting_count >= self._max_waiting:
                detail = f"{self._waiting_count} calls wait for the platform"
                raise errors.PlatformUnavailable(detail, may_have_run="no")
            self._waiting_count += 1
            try:
                while not self._limiter.try_start(now := self._clock.now()):
                    if self._closed:
                        detail = "the process is shutting down"
                        raise errors.PlatformUnavailable(detail, may_have_run="no")
                    if now >= deadline:
                        detail = "the platform did not answer earlier calls"
                        raise errors.PlatformUnavailable(detail, may_have_run="no")
                    wake_at = deadline
                    if self._limiter.next_attempt_at > now:
                        wake_at = min(wake_at, self._limiter.next_attempt_at)
                    self._condition.wait(wake_at - now)
            finally:
                self._waiting_count -= 1

    def _record_outcome(self, answered):
        with self._condition:
            if answered:
                self._limiter.record_success()
            else:
                self._limiter.record_failure(self._clock.now(), self._random_fraction())

    def _record_end(self):
        with self._condition:
            self._limiter.record_end()
            self._condition.notify_all()
