"""Connections of one backend server: events in, actions out, without I/O."""

import collections
import enum

import attrs

from cassiahill import errors


@attrs.frozen
class PoolSettings:
    """Settings of one backend server's connections; durations in seconds.

    ``reserved_connections`` connections of the limit are left to probes and to a takeover.
    """

    limit: int
    reserved_connections: int = 2
    max_opening: int = 4
    max_age_seconds: float = 600.0
    max_idle_seconds: float = 30.0
    backoff_base_seconds: float = 0.05
    backoff_max_seconds: float = 2.0

    @property
    def capacity(self):
        """Most connections that the pool opens; at least one."""
        return max(1, self.limit - self.reserved_connections)


class State(enum.Enum):
    """State of a connection."""

    OPENING = "opening"
    IDLE = "idle"
    LEASED = "leased"
    RESETTING = "resetting"


@attrs.frozen
class Open:
    """Open a connection; report ``opened`` or ``failed``."""

    connection_id: int


@attrs.frozen
class Use:
    """The request has the connection until ``release``, ``lost`` or ``silent``."""

    request_id: int
    connection_id: int


@attrs.frozen
class Reset:
    """Reset the connection; report ``reset_done``, ``lost`` or ``silent``."""

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
    last_used_at: float
    state: State = State.OPENING


class Pool:
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
        self._opening_count = 0
        self._resetting_count = 0
        self._last_connection_id = 0
        self._generation = 0
        self._open_failures = 0
        self._next_open_at = 0.0

    def acquire(self, request_id, now):
        """Ask for a connection; it is granted now or by a later event."""
        if self._idle and not self._waiting:
            return [self._lease(request_id, self._idle.pop(), now)]
        self._waiting[request_id] = None
        return self._serve_waiting(now)

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
        if now - connection.opened_at > self._settings.max_age_seconds:
            self._remove(connection_id)
            return [Close(connection_id), *self._serve_waiting(now)]
        connection.last_used_at = now
        if dirty:
            return [self._start_reset(connection_id)]
        return self._make_idle(connection_id, now)

    def opened(self, connection_id, now):
        """Take a connection that was opened."""
        self._open_failures = 0
        self._next_open_at = now
        self._opening_count -= 1
        connection = self._connections[connection_id]
        connection.opened_at = connection.last_used_at = now
        return self._make_idle(connection_id, now)

    def failed(self, connection_id, now):
        """Take the failure to open a connection."""
        self._remove(connection_id)
        self._open_failures += 1
        settings = self._settings
        delay = settings.backoff_base_seconds * 2 ** min(self._open_failures - 1, 16)
        delay = min(delay, settings.backoff_max_seconds) * self._rng.uniform(0.5, 1.0)
        self._next_open_at = now + delay
        return self._serve_waiting(now)

    def reset_done(self, connection_id, now):
        """Take a connection whose reset succeeded; it is proven to answer."""
        self._resetting_count -= 1
        self._connections[connection_id].generation = self._generation
        return self._make_idle(connection_id, now)

    def lost(self, connection_id, now):
        """Take a connection that has ended, or whose answer was abandoned."""
        self._remove(connection_id)
        return [Close(connection_id), *self._serve_waiting(now)]

    def silent(self, connection_id, now):
        """Take a connection whose call passed its bound.

        The idle connections of its generation may be silent too, for example after a
        network device dropped its state, and are reset before reuse.
        """
        generation = self._connections[connection_id].generation
        self._remove(connection_id)
        self._generation = max(self._generation, generation + 1)
        unchecked_ids = [
            idle_id
            for idle_id in self._idle
            if self._connections[idle_id].generation <= generation
        ]
        self._idle = [idle_id for idle_id in self._idle if idle_id not in unchecked_ids]
        resets = [self._start_reset(idle_id) for idle_id in unchecked_ids]
        return [Close(connection_id), *resets, *self._serve_waiting(now)]

    def tick(self, now):
        """Close idle and old connections, and open those that backoff delayed."""
        settings = self._settings
        expired_ids = [
            idle_id
            for idle_id in self._idle
            if now - self._connections[idle_id].last_used_at > settings.max_idle_seconds
            or now - self._connections[idle_id].opened_at > settings.max_age_seconds
        ]
        for idle_id in expired_ids:
            self._remove(idle_id)
        return [Close(idle_id) for idle_id in expired_ids] + self._serve_waiting(now)

    def close_all(self):
        """Close every connection and forget the waiting requests."""
        actions = [Close(connection_id) for connection_id in self._connections]
        self._connections.clear()
        self._idle.clear()
        self._waiting.clear()
        self._opening_count = self._resetting_count = 0
        return actions

    def has(self, connection_id):
        """Return whether the connection belongs to the pool."""
        return connection_id in self._connections

    def dump(self):
        """Return the number of connections by state and of waiting requests."""
        states = collections.Counter(
            connection.state.value for connection in self._connections.values()
        )
        return {
            "capacity": self._settings.capacity,
            "waiting": len(self._waiting),
            **{state.value: states[state.value] for state in State},
        }

    def _lease(self, request_id, connection_id, now):
        connection = self._connections[connection_id]
        connection.state = State.LEASED
        connection.last_used_at = now
        return Use(request_id, connection_id)

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
        self._resetting_count += 1
        return Reset(connection_id)

    def _remove(self, connection_id):
        match self._connections.pop(connection_id).state:
            case State.OPENING:
                self._opening_count -= 1
            case State.RESETTING:
                self._resetting_count -= 1
            case State.IDLE:
                self._idle.remove(connection_id)

    def _serve_waiting(self, now):
        actions = []
        while self._waiting and self._idle:
            request_id, _ = self._waiting.popitem(last=False)
            actions.append(self._lease(request_id, self._idle.pop(), now))
        needed_count = len(self._waiting) - self._opening_count - self._resetting_count
        if needed_count > 0 and now >= self._next_open_at:
            actions.extend(self._open_connections(needed_count, now))
        if self._waiting and not self._connections:
            # Without a connection in sight, callers do better elsewhere.
            delay = max(0.0, self._next_open_at - now)
            error = errors.BackendUnavailable(
                "no connection could be opened", retry_after=delay
            )
            actions.extend(Refuse(request_id, error) for request_id in self._waiting)
            self._waiting.clear()
        return actions

    def _open_connections(self, needed_count, now):
        settings = self._settings
        count = min(
            needed_count,
            settings.max_opening - self._opening_count,
            settings.capacity - len(self._connections),
        )
        actions = []
        for _ in range(count):
            self._last_connection_id += 1
            self._connections[self._last_connection_id] = _Connection(
                self._generation, now, now
            )
            actions.append(Open(self._last_connection_id))
        self._opening_count += len(actions)
        return actions
