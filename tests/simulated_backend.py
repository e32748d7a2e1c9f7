"""A loop on a manual clock and a backend server in memory, for tests of drivers."""

import collections
from concurrent.futures import Future

import attrs

from cassiahill import backend, clock, errors, loop, settings
from cassiahill.loop import completed_future, failed_future
from cassiahill.messages import Rank


class SimulatedLoop(loop.EventLoop):
    """Event loop that runs its timers as the test moves the clock."""

    def __init__(self):
        super().__init__(clock.ManualClock(0.0))

    def when_done(self, future, callback):
        """Call back at once when the future completes."""
        future.add_done_callback(callback)

    def _timeout(self):
        return 0.0  # Never waits for real time.

    def run_for(self, seconds):
        """Run all timers of the next ``seconds``."""
        end = self.clock.now() + seconds
        while self._timers and self._timers[0][0] <= end:
            self.clock.advance(max(0.0, self._timers[0][0] - self.clock.now()))
            self._run_once()
        self.clock.advance(end - self.clock.now())


@attrs.frozen
class Asked:
    """What a caller asks for."""

    rank: Rank = Rank.LOOKUP
    caller: str = "c"
    deadline: float = 1e9


@attrs.define(eq=False)
class FakeServer:
    """Backend server that records what it is given; durations in seconds."""

    slots: int = 3
    service: float = 0.005
    open_cost: float = 0.01
    epoch: int = 0
    owner: str = ""
    running: int = 0
    most_running: int = 0
    connections: dict = attrs.field(factory=dict)  # ordered, for repeatable runs
    most_connections: int = 0
    given: list = attrs.field(factory=list)
    opened: int = 0
    fail: dict = attrs.field(factory=dict)
    down: bool = False
    users_by_connection: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def settings(self, connections=8):
        """Return the settings that describe this server."""
        return settings.ServerSettings(
            "s", "g", ("127.0.0.1", 1), "d", self.slots, connections
        )


class FakeBackend(backend.Backend):
    """Adapter to a ``FakeServer``."""

    def __init__(self, server, simulated):
        self.server = server
        self.loop = simulated

    def claim(self, epoch, owner, deadline):
        server = self.server
        if (epoch, owner) < (server.epoch, server.owner) or (
            epoch == server.epoch and owner != server.owner
        ):
            return failed_future(errors.StaleEpoch())
        server.epoch, server.owner = epoch, owner
        for connection in [c for c in server.connections if c.epoch < epoch]:
            connection.close()
        return completed_future({})

    def connect(self, epoch, owner, deadline):
        future = Future()
        server = self.server
        if epoch < server.epoch or server.down:
            error = errors.BackendUnavailable if server.down else errors.StaleEpoch
            return failed_future(error())
        connection = FakeConnection(self, epoch)
        server.connections[connection] = None
        server.opened += 1
        server.most_connections = max(server.most_connections, len(server.connections))
        self.loop.call_at(
            self.loop.clock.now() + server.open_cost,
            lambda: future.set_result(connection),
        )
        return future


class FakeConnection(backend.BackendConnection):
    """Connection to a ``FakeServer``; a statement is ``(tag,)``.

    ``server.fail[tag]`` is an error to answer, ``"silent"`` or ``"close"``, once.
    """

    def __init__(self, adapter, epoch):
        self.adapter = adapter
        self.epoch = epoch
        self.silent = False
        self.pending = None

    def execute(self, batch, deadline):
        return self._call(batch.statements[0][0], deadline)

    def begin(self, term, deadline):
        return self._call("begin", deadline)

    def commit(self, term, deadline):
        return self._call("commit", deadline)

    def rollback(self, deadline):
        return self._call("rollback", deadline)

    def reset(self, deadline):
        return self._call("reset", deadline, service=0.0)

    def close(self):
        if not self.closed:
            self.closed = True
            self.adapter.server.connections.pop(self, None)
            self._answer(errors.ConnectionLost())

    def _call(self, tag, deadline, service=None):
        server, simulated = self.adapter.server, self.adapter.loop
        if self.closed:
            return failed_future(errors.BackendUnavailable())
        if self.pending is not None:
            raise AssertionError(f"{tag} was sent while an answer was pending")
        self.pending = future = Future()
        server.users_by_connection[self].append(tag)
        if service is None:
            server.given.append(tag)
            server.running += 1
            server.most_running = max(server.most_running, server.running)
            future.add_done_callback(self._leave)
        outcome = server.fail.pop(tag, None)
        self.silent = self.silent or outcome == "silent"
        if outcome == "close":
            self.close()
        elif self.silent:
            simulated.call_at(deadline, lambda: self._give_up(future))
        else:
            at = simulated.clock.now() + (server.service if service is None else 0.0)
            simulated.call_at(at, lambda: self._finish(future, outcome))
            if at > deadline:
                simulated.call_at(deadline, lambda: self._give_up(future))
        return future

    def _leave(self, _future):
        self.adapter.server.running -= 1

    def _finish(self, future, outcome):
        if self.pending is future:
            self._answer(outcome)

    def _give_up(self, future):
        if self.pending is future:
            self.pending = None
            self.close()
            future.set_exception(errors.OutcomeUnknown())

    def _answer(self, outcome):
        future, self.pending = self.pending, None
        if future is None:
            return
        if isinstance(outcome, Exception):
            future.set_exception(outcome)
        else:
            future.set_result(backend.BatchResult(1, 1, ()))


def batch(tag, read_only=True, timeout=5.0):
    """Return a batch of one tagged statement."""
    return backend.Batch(((tag,),), 1, read_only, timeout)
