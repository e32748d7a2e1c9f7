"""Runs statements at backend servers, directly or through their owner proxy."""

from cassiahill import errors


class DirectGateway:
    """Opens connections of its own to every backend server.

    Parameters
    ----------
    loop : loop.EventLoop
    backends_by_server : dict of str to backend.Backend
    own_name : str
    """

    def __init__(self, loop, backends_by_server, own_name):
        self._loop = loop
        self._backends_by_server = backends_by_server
        self._own_name = own_name
        self._idle_by_server = {server: [] for server in backends_by_server}

    def submit(self, server, work, batch):
        """Run a batch; the future's result is a ``backend.BatchResult``."""
        return self._loop.spawn(self._submit(server, work, batch))

    def _submit(self, server, work, batch):
        connection = yield from self._acquire(server, work.deadline)
        result = yield connection.execute(batch, work.deadline)
        if not connection.closed:
            self._idle_by_server[server].append(connection)
        return result

    def _acquire(self, server, deadline):
        idle = self._idle_by_server[server]
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        if self._loop.clock.now() >= deadline:
            raise errors.DeadlinePassed("the deadline passed before a connection")
        backend = self._backends_by_server[server]
        return (yield backend.connect(0, self._own_name, deadline))
