"""Connections of one backend server: events in, actions out, without I/O."""

import collections
import enum

import attrs

from cassiahill import errors


@attrs.frozen
class PoolSettings:
    """Settings of one backend server's connections; durations in seconds.

    ``reserve`` connections of the limit are left to probes and to a takeover.
    """

    max_connections: int
    reserve: int = 2
    max_opening: int = 4
    max_age: float = 600.0
    max_idle: float = 30.0
    backoff_base: float = 0.05
    backoff_max: float = 2.0

    @property
    def capacity(self):
        """Most connections that the pool opens; at least one."""
        return max(1, self.max_connections - self.reserve)


class State(enum.Enum):
    """State of a connection."""

    OPENING = "opening"
    IDLE = "idle"
    LEASED = "leased"
    RESETTING = "resetting"


@attrs.frozen
class Open:
    """Open a connection; report ``on_opened`` or ``on_open_failed``."""

    connection_id: int


@attrs.frozen
class Grant:
    """The request has the connection.

    It ends with ``release``, ``on_connection_lost`` or ``on_timeout``.
    """

    request_id: int
    connection_id: int


@attrs.frozen
class Reset:
    """Reset the connection.

    Report ``on_reset_done``, ``on_connection_lost`` or ``on_timeout``.
    """

    connection_id: int


@attrs.frozen
class Close:
    """Close the connection; nothing is reported."""

    connection_id: int


@attrs.frozen
class Refuse:
    """The request gets no connection."""

    request_id: int
    error: errors.NotRunError


@attrs.define(eq=False)
class _Connection:
    generation: int
    opened_at: float
    used_at: float
    state: State = State.OPENING


class ConnectionPool:
    """Connections of one backend server.

    Parameters
    ----------
    settings : PoolSettings
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._connections = {}
        self._idle = []
        self._waiting = collections.OrderedDict()
        self._opening = 0
        self._resetting = 0
        self._next_id = 0
        self._generation = 0
        self._failures = 0
        self._open_after = 0.0

    def acquire(self, request_id, now):
        """Ask for a connection; it is granted now or by a later event."""
        if self._idle and not self._waiting:
            return [self._lease(request_id, self._idle.pop(), now)]
        self._waiting[request_id] = None
        return self._serve(now)

    def cancel(self, request_id):
        """Withdraw a request that still waits."""
        self._waiting.pop(request_id, None)

    def release(self, connection_id, now, dirty):
        """Take a connection back.

        Parameters
        ----------
        connection_id : int
        now : float
        dirty : bool
            Whether the session may hold state, so that it needs a reset.
        """
        connection = self._connections[connection_id]
        if now - connection.opened_at > self._settings.max_age:
            self._remove(connection_id)
            return [Close(connection_id), *self._serve(now)]
        connection.used_at = now
        if dirty:
            return [self._start_reset(connection_id)]
        return self._make_idle(connection_id, now)

    def on_opened(self, connection_id, now):
        """Take a connection that was opened."""
        self._failures = 0
        self._open_after = now
        self._opening -= 1
        connection = self._connections[connection_id]
        connection.opened_at = connection.used_at = now
        return self._make_idle(connection_id, now)

    def on_open_failed(self, connection_id, now):
        """Take the failure to open a connection."""
        self._remove(connection_id)
        self._failures += 1
        settings = self._settings
        delay = settings.backoff_base * 2 ** min(self._failures - 1, 16)
        delay = min(delay, settings.backoff_max) * self._rng.uniform(0.5, 1.0)
        self._open_after = now + delay
        return self._serve(now)

    def on_reset_done(self, connection_id, now):
        """Take a connection whose reset succeeded; it is proven to answer."""
        self._resetting -= 1
        self._connections[connection_id].generation = self._generation
        return self._make_idle(connection_id, now)

    def on_connection_lost(self, connection_id, now):
        """Take a connection that has ended, or whose answer was abandoned."""
        self._remove(connection_id)
        return [Close(connection_id), *self._serve(now)]

    def on_timeout(self, connection_id, now):
        """Take a connection whose call passed its bound.

        The idle connections of its generation may be silent too, for example after a
        network device dropped its state, and are reset before reuse.
        """
        generation = self._connections[connection_id].generation
        self._remove(connection_id)
        self._generation = max(self._generation, generation + 1)
        suspects = [
            idle_id
            for idle_id in self._idle
            if self._connections[idle_id].generation <= generation
        ]
        self._idle = [idle_id for idle_id in self._idle if idle_id not in suspects]
        resets = [self._start_reset(suspect) for suspect in suspects]
        return [Close(connection_id), *resets, *self._serve(now)]

    def tick(self, now):
        """Close idle and old connections, and open those that backoff delayed."""
        settings = self._settings
        ended = [
            idle_id
            for idle_id in self._idle
            if now - self._connections[idle_id].used_at > settings.max_idle
            or now - self._connections[idle_id].opened_at > settings.max_age
        ]
        for idle_id in ended:
            self._remove(idle_id)
        return [Close(idle_id) for idle_id in ended] + self._serve(now)

    def close_all(self):
        """Close every connection and forget the waiting requests."""
        actions = [Close(connection_id) for connection_id in self._connections]
        self._connections.clear()
        self._idle.clear()
        self._waiting.clear()
        self._opening = self._resetting = 0
        return actions

    def contains(self, connection_id):
        """Return whether the connection belongs to the pool."""
        return connection_id in self._connections

    def dump(self):
        """Return the number of connections by state and of waiting requests."""
        states = collections.Counter(c.state.value for c in self._connections.values())
        return {
            "capacity": self._settings.capacity,
            "waiting": len(self._waiting),
            **{state.value: states[state.value] for state in State},
        }

    def _lease(self, request_id, connection_id, now):
        connection = self._connections[connection_id]
        connection.state = State.LEASED
        connection.used_at = now
        return Grant(request_id, connection_id)

    def _make_idle(self, connection_id, now):
        if self._waiting:
            request_id, _ = self._waiting.popitem(last=False)
            return [self._lease(request_id, connection_id, now)]
        self._connections[connection_id].state = State.IDLE
        # The last one is used first, so that connections in excess become idle.
        self._idle.append(connection_id)
        return []

    def _start_reset(self, connection_id):
        self._connections[connection_id].state = State.RESETTING
        self._resetting += 1
        return Reset(connection_id)

    def _remove(self, connection_id):
        match self._connections.pop(connection_id).state:
            case State.OPENING:
                self._opening -= 1
            case State.RESETTING:
                self._resetting -= 1
            case State.IDLE:
                self._idle.remove(connection_id)

    def _serve(self, now):
        actions = []
        while self._waiting and self._idle:
            request_id, _ = self._waiting.popitem(last=False)
            actions.append(self._lease(request_id, self._idle.pop(), now))
        missing = len(self._waiting) - self._opening - self._resetting
        if missing > 0 and now >= self._open_after:
            actions.extend(self._open(missing, now))
        if self._waiting and not self._connections:
            # Without a connection in sight, callers do better elsewhere.
            delay = max(0.0, self._open_after - now)
            error = errors.BackendUnavailable(
                "no connection could be opened", retry_after=delay
            )
            actions.extend(Refuse(request_id, error) for request_id in self._waiting)
            self._waiting.clear()
        return actions

    def _open(self, missing, now):
        settings = self._settings
        count = min(
            missing,
            settings.max_opening - self._opening,
            settings.capacity - len(self._connections),
        )
        actions = []
        for _ in range(count):
            self._next_id += 1
            self._connections[self._next_id] = _Connection(self._generation, now, now)
            actions.append(Open(self._next_id))
        self._opening += len(actions)
        return actions
