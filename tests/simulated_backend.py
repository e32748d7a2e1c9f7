"""An event loop on a manual clock and an in-memory backend server, for tests."""

import collections
from concurrent.futures import Future

import attrs

from cassiahill import backend, clock, errors, loop, settings
from cassiahill.loop import completed_future, failed_future
from cassiahill.messages import Rank


class SimulatedLoop(loop.EventLoop):
    """Event loop that runs its timers as the test advances the clock."""

    def __init__(self):
        super().__init__(clock.ManualClock(0.0))

    def when_done(self, future, callback):
        """Call ``callback(future)`` in the thread that completes the future."""
        future.add_done_callback(callback)

    def _selector_timeout_seconds(self):
        return 0.0  # Never waits for real time.

    def run_for(self, seconds):
        """Run all timers that are due within the next ``seconds`` of the clock."""
        end = self.clock.now() + seconds
        while self._timers and self._timers[0][0] <= end:
            self.clock.advance(max(0.0, self._timers[0][0] - self.clock.now()))
            self._run_once()
        self.clock.advance(end - self.clock.now())


@attrs.frozen
class FakeRequestContext:
    """Rank, caller and deadline of a request."""

    rank: Rank = Rank.LOOKUP
    caller: str = "c"
    deadline: float = 1e9


@attrs.define(eq=False)
class FakeServer:
    """Backend server that records the statements it receives.

    ``fault_by_tag`` holds what goes wrong, once, with the statement of a tag: an error
    to answer, ``"no_answer"`` or ``"close"``.
    """

    slots: int = 3
    service_seconds: float = 0.005
    connect_seconds: float = 0.01
    epoch: int = 0
    owner: str = ""
    running_count: int = 0
    max_running_count: int = 0
    connections: dict = attrs.field(factory=dict)  # ordered, for repeatable runs
    max_connection_count: int = 0
    received_tags: list = attrs.field(factory=list)
    opened_count: int = 0
    fault_by_tag: dict = attrs.field(factory=dict)
    down: bool = False
    tags_by_connection: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def settings(self, connections=8):
        """Return the settings that describe this server."""
        return settings.ServerSettings(
            "s", "g", ("127.0.0.1", 1), "d", self.slots, connections
        )


class FakeBackend(backend.Backend):
    """Adapter to a ``FakeServer``."""

    def __init__(self, server, simulated_loop):
        self.server = server
        self.loop = simulated_loop

    def claim(self, epoch, owner, deadline):
        server = self.server
        if (epoch, owner) < (server.epoch, server.owner) or (
            epoch == server.epoch and owner != server.owner
        ):
            return failed_future(errors.StaleEpoch())
        server.epoch, server.owner = epoch, owner
        for connection in [
            stale for stale in server.connections if stale.epoch < epoch
        ]:
            connection.close()
        return completed_future({})

    def connect(self, epoch, owner, deadline):
        connection_future = Future()
        server = self.server
        if epoch < server.epoch or server.down:
            error_type = errors.BackendUnavailable if server.down else errors.StaleEpoch
            return failed_future(error_type())
        connection = FakeConnection(self, epoch)
        server.connections[connection] = None
        server.opened_count += 1
        server.max_connection_count = max(
            server.max_connection_count, len(server.connections)
        )
        self.loop.call_at(
            self.loop.clock.now() + server.connect_seconds,
            lambda: connection_future.set_result(connection),
        )
        return connection_future


class FakeConnection(backend.BackendConnection):
    """Connection to a ``FakeServer``; a statement is ``(tag,)``.

    An ``unresponsive`` connection answers nothing any more.
    """

    def __init__(self, adapter, epoch):
        self.adapter = adapter
        self.epoch = epoch
        self.unresponsive = False
        self.pending_future = None

    def execute(self, batch, deadline):
        return self._send(batch.statements[0][0], deadline)

    def begin(self, term, deadline):
        return self._send("begin", deadline)

    def commit(self, term, deadline):
        return self._send("commit", deadline)

    def rollback(self, deadline):
        return self._send("rollback", deadline)

    def reset(self, deadline):
        return self._send("reset", deadline, service_seconds=0.0)

    def close(self):
        if not self.closed:
            self.closed = True
            self.adapter.server.connections.pop(self, None)
            self._answer_pending(errors.ConnectionLost())

    def _send(self, tag, deadline, service_seconds=None):
        server, simulated_loop = self.adapter.server, self.adapter.loop
        if self.closed:
            return failed_future(errors.BackendUnavailable())
        if self.pending_future is not None:
            raise AssertionError(f"{tag} was sent while an answer was pending")
        self.pending_future = future = Future()
        server.tags_by_connection[self].append(tag)
        if service_seconds is None:
            server.received_tags.append(tag)
            server.running_count += 1
            server.max_running_count = max(
                server.max_running_count, server.running_count
            )
            future.add_done_callback(self._on_statement_ended)
        fault = server.fault_by_tag.pop(tag, None)
        self.unresponsive = self.unresponsive or fault == "no_answer"
        if fault == "close":
            self.close()
        elif self.unresponsive:
            simulated_loop.call_at(deadline, lambda: self._time_out(future))
        else:
            answer_at = simulated_loop.clock.now() + (
                server.service_seconds if service_seconds is None else 0.0
            )
            simulated_loop.call_at(answer_at, lambda: self._answer(future, fault))
            if answer_at > deadline:
                simulated_loop.call_at(deadline, lambda: self._time_out(future))
        return future

    def _on_statement_ended(self, _future):
        self.adapter.server.running_count -= 1

    def _answer(self, future, fault):
        if self.pending_future is future:
            self._answer_pending(fault)

    def _time_out(self, future):
        if self.pending_future is future:
            self.pending_future = None
            self.close()
            future.set_exception(errors.OutcomeUnknown())

    def _answer_pending(self, fault):
        """Complete the pending future with an error, or with a result."""
        future, self.pending_future = self.pending_future, None
        if future is None:
            return
        if isinstance(fault, Exception):
            future.set_exception(fault)
        else:
            future.set_result(backend.BatchResult(1, 1, ()))


def tagged_batch(tag, read_only=True, timeout_seconds=5.0):
    """Return a batch of one statement that consists of a tag."""
    return backend.Batch(((tag,),), 1, read_only, timeout_seconds)
