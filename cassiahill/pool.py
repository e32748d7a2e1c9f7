"""Connection pool of one backend server, without I/O.

Methods take an event and return the resulting actions.
"""

import collections
import enum

import attrs

from cassiahill import errors


@attrs.frozen
class PoolSettings:
    """Settings of one backend server's connection pool.

    Attributes
    ----------
    max_connections : int
        Connections that the server accepts.
    reserved_connections : int
        How many of them the pool leaves to probes and to a takeover.
    max_opening : int
        Most connections that are being opened at once.
    max_age_seconds : float
        Age after which a connection is closed.
    max_idle_seconds : float
        Time without use after which a connection is closed.
    backoff_base_seconds, backoff_max_seconds : float
        First and longest delay after failures to open a connection.
    """

    max_connections: int
    reserved_connections: int = 2
    max_opening: int = 4
    max_age_seconds: float = 600.0
    max_idle_seconds: float = 30.0
    backoff_base_seconds: float = 0.05
    backoff_max_seconds: float = 2.0

    @property
    def capacity(self):
        """Largest number of connections that the pool opens; at least one."""
        return max(1, self.max_connections - self.reserved_connections)


class State(enum.Enum):
    """State of a connection; ``LEASED`` means that a request uses it."""

    OPENING = "opening"
    IDLE = "idle"
    LEASED = "leased"
    RESETTING = "resetting"


@attrs.frozen
class Open:
    """Action: open a connection, then call ``on_opened`` or ``on_open_failed``."""

    connection_id: int


@attrs.frozen
class Grant:
    """Action: give the request a connection.

    The request uses the connection until ``release``, ``on_connection_lost`` or
    ``on_timeout`` is called.
    """

    request_id: int
    connection_id: int


@attrs.frozen
class Reset:
    """Action: reset a connection's session state.

    After the reset, call ``on_reset_done``, ``on_connection_lost`` or ``on_timeout``.
    """

    connection_id: int


@attrs.frozen
class Close:
    """Action: close a connection; no event follows."""

    connection_id: int


@attrs.frozen
class Refuse:
    """Action: refuse the request, because no connection can be opened."""

    request_id: int
    error: errors.NotRunError


@attrs.define(eq=False)
class _Connection:
    generation: int
    opened_at: float
    last_used_at: float
    state: State = State.OPENING


class ConnectionPool:
    """Connection pool of one backend server.

    The generation of a connection is that of the pool when it was opened or last reset.
    A call that times out starts a new generation.

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
        self._idle_ids = []
        self._waiting_requests = collections.OrderedDict()
        self._opening_count = 0
        self._resetting_count = 0
        self._last_connection_id = 0
        self._generation = 0
        self._open_failures = 0
        self._next_open_at = 0.0

    def acquire(self, request_id, now):
        """Request a connection; an action of this or of a later event grants it."""
        if self._idle_ids and not self._waiting_requests:
            return [self._lease_connection(request_id, self._idle_ids.pop(), now)]
        self._waiting_requests[request_id] = None
        return self._serve_waiting(now)

    def cancel(self, request_id):
        """Remove a request that still waits for a connection."""
        self._waiting_requests.pop(request_id, None)

    def release(self, connection_id, now, dirty):
        """Return a connection to the pool.

        Parameters
        ----------
        connection_id : int
        now : float
            Instant in seconds.
        dirty : bool
            Whether the database session may have state that requires a reset.
        """
        connection = self._connections[connection_id]
        if now - connection.opened_at > self._settings.max_age_seconds:
            self._remove_connection(connection_id)
            return [Close(connection_id), *self._serve_waiting(now)]
        connection.last_used_at = now
        if dirty:
            return [self._start_reset(connection_id)]
        return self._make_idle(connection_id, now)

    def on_opened(self, connection_id, now):
        """Handle a connection that was opened."""
        self._open_failures = 0
        self._next_open_at = now
        self._opening_count -= 1
        connection = self._connections[connection_id]
        connection.opened_at = connection.last_used_at = now
        return self._make_idle(connection_id, now)

    def on_open_failed(self, connection_id, now):
        """Handle a failure to open a connection; delay the next by backoff."""
        self._remove_connection(connection_id)
        self._open_failures += 1
        settings = self._settings
        delay_seconds = settings.backoff_base_seconds * 2 ** min(
            self._open_failures - 1, 16
        )
        delay_seconds = min(
            delay_seconds, settings.backoff_max_seconds
        ) * self._rng.uniform(0.5, 1.0)
        self._next_open_at = now + delay_seconds
        return self._serve_waiting(now)

    def on_reset_done(self, connection_id, now):
        """Handle a successful reset, which shows that the connection answers."""
        self._resetting_count -= 1
        self._connections[connection_id].generation = self._generation
        return self._make_idle(connection_id, now)

    def on_connection_lost(self, connection_id, now):
        """Close a connection that the server closed, or whose answer was abandoned."""
        self._remove_connection(connection_id)
        return [Close(connection_id), *self._serve_waiting(now)]

    def on_timeout(self, connection_id, now):
        """Close a connection after a call on it timed out.

        Idle connections of the same or an earlier generation may not answer either, for
        example after a network device lost its state. They are reset before reuse.
        """
        generation = self._connections[connection_id].generation
        self._remove_connection(connection_id)
        self._generation = max(self._generation, generation + 1)
        unchecked_ids = [
            idle_id
            for idle_id in self._idle_ids
            if self._connections[idle_id].generation <= generation
        ]
        self._idle_ids = [
            idle_id for idle_id in self._idle_ids if idle_id not in unchecked_ids
        ]
        resets = [self._start_reset(idle_id) for idle_id in unchecked_ids]
        return [Close(connection_id), *resets, *self._serve_waiting(now)]

    def tick(self, now):
        """Close idle and old connections; open those that backoff has delayed."""
        settings = self._settings
        expired_ids = [
            idle_id
            for idle_id in self._idle_ids
            if now - self._connections[idle_id].last_used_at > settings.max_idle_seconds
            or now - self._connections[idle_id].opened_at > settings.max_age_seconds
        ]
        for idle_id in expired_ids:
            self._remove_connection(idle_id)
        return [Close(idle_id) for idle_id in expired_ids] + self._serve_waiting(now)

    def close_all(self):
        """Close every connection and remove the waiting requests without an answer."""
        actions = [Close(connection_id) for connection_id in self._connections]
        self._connections.clear()
        self._idle_ids.clear()
        self._waiting_requests.clear()
        self._opening_count = self._resetting_count = 0
        return actions

    def contains(self, connection_id):
        """Return whether a connection belongs to the pool."""
        return connection_id in self._connections

    def dump(self):
        """Return the numbers of connections by state and of waiting requests."""
        count_by_state = collections.Counter(
            connection.state.value for connection in self._connections.values()
        )
        return {
            "capacity": self._settings.capacity,
            "waiting": len(self._waiting_requests),
            **{state.value: count_by_state[state.value] for state in State},
        }

    def _lease_connection(self, request_id, connection_id, now):
        connection = self._connections[connection_id]
        connection.state = State.LEASED
        connection.last_used_at = now
        return Grant(request_id, connection_id)

    def _make_idle(self, connection_id, now):
        if self._waiting_requests:
            request_id, _ = self._waiting_requests.popitem(last=False)
            return [self._lease_connection(request_id, connection_id, now)]
        self._connections[connection_id].state = State.IDLE
        # The most recently used connection is used first, so that surplus connections
        # stay idle and are closed.
        self._idle_ids.append(connection_id)
        return []

    def _start_reset(self, connection_id):
        self._connections[connection_id].state = State.RESETTING
        self._resetting_count += 1
        return Reset(connection_id)

    def _remove_connection(self, connection_id):
        match self._connections.pop(connection_id).state:
            case State.OPENING:
                self._opening_count -= 1
            case State.RESETTING:
                self._resetting_count -= 1
            case State.IDLE:
                self._idle_ids.remove(connection_id)

    def _serve_waiting(self, now):
        actions = []
        while self._waiting_requests and self._idle_ids:
            request_id, _ = self._waiting_requests.popitem(last=False)
            actions.append(
                self._lease_connection(request_id, self._idle_ids.pop(), now)
            )
        needed_count = (
            len(self._waiting_requests) - self._opening_count - self._resetting_count
        )
        if needed_count > 0 and now >= self._next_open_at:
            actions.extend(self._open_connections(needed_count, now))
        if self._waiting_requests and not self._connections:
            # No connection is open or being opened: refuse at once, so that callers
            # can retry elsewhere.
            delay_seconds = max(0.0, self._next_open_at - now)
            error = errors.BackendUnavailable(
                "no connection could be opened", retry_after=delay_seconds
            )
            actions.extend(
                Refuse(request_id, error) for request_id in self._waiting_requests
            )
            self._waiting_requests.clear()
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
