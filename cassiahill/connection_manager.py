"""Driver of one backend server's pool on the event loop."""

import collections
import functools

from cassiahill import errors, pool

OPEN_TIMEOUT = 1.0
RESET_TIMEOUT = 0.5


class Connections:
    """Opens, resets and closes the connections that a ``ConnectionPool`` decides on.

    Parameters
    ----------
    loop : loop.EventLoop
    backend : backend.Backend
    own_name : str
        Name of this proxy.
    settings : pool.PoolSettings
    rng : random.Random
    granted : callable
        Called with a request id and a connection id.
    refused : callable
        Called with a request id and an ``errors.NotRunError``.
    stale : callable
        Called when the server answers that another proxy owns it.
    """

    def __init__(self, loop, backend, own_name, settings, rng, granted, refused, stale):
        self.epoch = 0
        self.counts = collections.Counter()
        self._loop = loop
        self._backend = backend
        self._own_name = own_name
        self._pool = pool.ConnectionPool(settings, rng)
        self._granted = granted
        self._refused = refused
        self._stale = stale
        self._connections = {}
        self._actions = collections.deque()
        self._acting = False

    def get(self, connection_id):
        """Return a connection that belongs to the pool, or None."""
        if self._pool.contains(connection_id):
            return self._connections.get(connection_id)
        return None

    def acquire(self, request_id):
        """Ask for a connection; ``granted`` or ``refused`` answers."""
        self._act(self._pool.acquire(request_id, self._loop.clock.now()))

    def cancel(self, request_id):
        """Withdraw a request that still waits."""
        self._pool.cancel(request_id)

    def release(self, connection_id, dirty):
        """Return a connection; it is reset before reuse when it is dirty."""
        if self._pool.contains(connection_id):
            now = self._loop.clock.now()
            self._act(self._pool.release(connection_id, now, dirty))

    def on_connection_lost(self, connection_id):
        """Close a connection that ended or whose answer was abandoned."""
        if self._pool.contains(connection_id):
            self._act(
                self._pool.on_connection_lost(connection_id, self._loop.clock.now())
            )

    def on_timeout(self, connection_id):
        """Close a connection that went silent, and check the others."""
        if self._pool.contains(connection_id):
            self.counts["silent"] += 1
            self._act(self._pool.on_timeout(connection_id, self._loop.clock.now()))

    def tick(self):
        """Close idle and old connections."""
        self._act(self._pool.tick(self._loop.clock.now()))

    def close_all(self):
        """Close every connection; calls on them fail through the adapter."""
        self._act(self._pool.close_all())

    def dump(self):
        """Return the number of connections by state."""
        return {**self._pool.dump(), **self.counts}

    def _act(self, actions):
        """Perform actions in their order; those that they cause come after them."""
        self._actions.extend(actions)
        if self._acting:
            return
        self._acting = True
        try:
            while self._actions:
                self._perform(self._actions.popleft())
        finally:
            self._acting = False

    def _perform(self, action):
        match action:
            case pool.Grant(request_id, connection_id):
                self._use(request_id, connection_id)
            case pool.Reset(connection_id):
                self._reset(connection_id)
            case pool.Open(connection_id):
                self._open(connection_id)
            case pool.Close(connection_id):
                connection = self._connections.pop(connection_id, None)
                if connection is not None:
                    connection.close()
            case pool.Refuse(request_id, error):
                self._refused(request_id, error)

    def _use(self, request_id, connection_id):
        connection = self.get(connection_id)
        if connection is None:
            self.acquire(request_id)
        elif connection.closed:
            self.on_connection_lost(connection_id)
            self.acquire(request_id)
        else:
            self._granted(request_id, connection_id)

    def _open(self, connection_id):
        if not self._pool.contains(connection_id):
            return
        self.counts["opened"] += 1
        deadline = self._loop.clock.now() + OPEN_TIMEOUT
        pending = self._backend.connect(self.epoch, self._own_name, deadline)
        self._loop.when_done(pending, functools.partial(self._opened, connection_id))

    def _opened(self, connection_id, pending):
        error = pending.exception()
        now = self._loop.clock.now()
        if not self._pool.contains(connection_id):
            if error is None:
                pending.result().close()
        elif error is None:
            self._connections[connection_id] = pending.result()
            self._act(self._pool.on_opened(connection_id, now))
        elif isinstance(error, errors.StaleEpoch):
            self._stale()
        else:
            self.counts["open_failed"] += 1
            self._act(self._pool.on_open_failed(connection_id, now))

    def _reset(self, connection_id):
        connection = self.get(connection_id)
        if connection is None:
            return
        bound = self._loop.clock.now() + RESET_TIMEOUT
        self._loop.when_done(
            connection.reset(bound),
            functools.partial(self._was_reset, connection_id, bound),
        )

    def _was_reset(self, connection_id, bound, pending):
        if not self._pool.contains(connection_id):
            return
        error = pending.exception()
        now = self._loop.clock.now()
        if error is None:
            self._act(self._pool.on_reset_done(connection_id, now))
        elif isinstance(error, errors.StaleEpoch):
            self._stale()
        elif now >= bound:
            self.on_timeout(connection_id)
        else:
            self.on_connection_lost(connection_id)
