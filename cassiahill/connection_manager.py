"""Performs the I/O that one backend server's connection pool decides on."""

import collections
import functools

from cassiahill import errors, pool

OPEN_TIMEOUT_SECONDS = 1.0
RESET_TIMEOUT_SECONDS = 0.5


class ConnectionManager:
    """Opens, resets and closes the connections that a ``ConnectionPool`` decides on.

    Parameters
    ----------
    loop : loop.EventLoop
    backend : backend.Backend
    own_name : str
        Name of this proxy.
    pool_settings : pool.PoolSettings
    rng : random.Random
    on_granted : callable
        Called with a request id and a connection id.
    on_refused : callable
        Called with a request id and an ``errors.NotRunError``.
    on_stale_epoch : callable
        Called when the server answers that another proxy owns it.
    """

    def __init__(
        self,
        loop,
        backend,
        own_name,
        pool_settings,
        rng,
        on_granted,
        on_refused,
        on_stale_epoch,
    ):
        self.epoch = 0
        self.counts = collections.Counter()
        self._loop = loop
        self._backend = backend
        self._own_name = own_name
        self._pool = pool.ConnectionPool(pool_settings, rng)
        self._on_granted = on_granted
        self._on_refused = on_refused
        self._on_stale_epoch = on_stale_epoch
        self._connections_by_id = {}
        self._pending_actions = collections.deque()
        self._performing_actions = False

    def get(self, connection_id):
        """Return a connection that belongs to the pool, or None."""
        if self._pool.contains(connection_id):
            return self._connections_by_id.get(connection_id)
        return None

    def acquire(self, request_id):
        """Ask for a connection; ``on_granted`` or ``on_refused`` gets the answer."""
        self._perform_actions(self._pool.acquire(request_id, self._loop.clock.now()))

    def cancel(self, request_id):
        """Withdraw a request that still waits for a connection."""
        self._pool.cancel(request_id)

    def release(self, connection_id, dirty):
        """Return a connection to the pool; a dirty one is reset before reuse."""
        if self._pool.contains(connection_id):
            now = self._loop.clock.now()
            self._perform_actions(self._pool.release(connection_id, now, dirty))

    def on_connection_lost(self, connection_id):
        """Close a connection that ended or whose answer was abandoned."""
        if self._pool.contains(connection_id):
            self._perform_actions(
                self._pool.on_connection_lost(connection_id, self._loop.clock.now())
            )

    def on_timeout(self, connection_id):
        """Close a connection that did not answer in time, and check the others."""
        if self._pool.contains(connection_id):
            self.counts["silent"] += 1
            self._perform_actions(
                self._pool.on_timeout(connection_id, self._loop.clock.now())
            )

    def tick(self):
        """Close idle and old connections, and open those that backoff delayed."""
        self._perform_actions(self._pool.tick(self._loop.clock.now()))

    def close_all(self):
        """Close every connection; requests on them fail through the adapter."""
        self._perform_actions(self._pool.close_all())

    def dump(self):
        """Return the number of connections by state, and the event counts."""
        return {**self._pool.dump(), **self.counts}

    def _perform_actions(self, actions):
        """Perform actions in their order; those that they cause come after them."""
        self._pending_actions.extend(actions)
        if self._performing_actions:
            return
        self._performing_actions = True
        try:
            while self._pending_actions:
                self._perform_action(self._pending_actions.popleft())
        finally:
            self._performing_actions = False

    def _perform_action(self, action):
        match action:
            case pool.Grant(request_id, connection_id):
                self._grant_connection(request_id, connection_id)
            case pool.Reset(connection_id):
                self._reset_connection(connection_id)
            case pool.Open(connection_id):
                self._open_connection(connection_id)
            case pool.Close(connection_id):
                connection = self._connections_by_id.pop(connection_id, None)
                if connection is not None:
                    connection.close()
            case pool.Refuse(request_id, error):
                self._on_refused(request_id, error)

    def _grant_connection(self, request_id, connection_id):
        """Grant a connection, or ask for another one when it has closed."""
        connection = self.get(connection_id)
        if connection is None:
            self.acquire(request_id)
        elif connection.closed:
            self.on_connection_lost(connection_id)
            self.acquire(request_id)
        else:
            self._on_granted(request_id, connection_id)

    def _open_connection(self, connection_id):
        if not self._pool.contains(connection_id):
            return
        self.counts["opened"] += 1
        deadline = self._loop.clock.now() + OPEN_TIMEOUT_SECONDS
        connection_future = self._backend.connect(self.epoch, self._own_name, deadline)
        self._loop.when_done(
            connection_future, functools.partial(self._on_open_done, connection_id)
        )

    def _on_open_done(self, connection_id, connection_future):
        error = connection_future.exception()
        now = self._loop.clock.now()
        if not self._pool.contains(connection_id):
            if error is None:
                connection_future.result().close()
        elif error is None:
            self._connections_by_id[connection_id] = connection_future.result()
            self._perform_actions(self._pool.on_opened(connection_id, now))
        elif isinstance(error, errors.StaleEpoch):
            self._on_stale_epoch()
        else:
            self.counts["open_failed"] += 1
            self._perform_actions(self._pool.on_open_failed(connection_id, now))

    def _reset_connection(self, connection_id):
        connection = self.get(connection_id)
        if connection is None:
            return
        deadline = self._loop.clock.now() + RESET_TIMEOUT_SECONDS
        self._loop.when_done(
            connection.reset(deadline),
            functools.partial(self._on_reset_done, connection_id, deadline),
        )

    def _on_reset_done(self, connection_id, deadline, reset_future):
        if not self._pool.contains(connection_id):
            return
        error = reset_future.exception()
        now = self._loop.clock.now()
        if error is None:
            self._perform_actions(self._pool.on_reset_done(connection_id, now))
        elif isinstance(error, errors.StaleEpoch):
            self._on_stale_epoch()
        elif now >= deadline:
            self.on_timeout(connection_id)
        else:
            self.on_connection_lost(connection_id)
