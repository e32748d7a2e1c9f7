"""A backend server that this proxy owns: claim, serve, drain and release."""

import functools

from cassiahill import errors, request_executor
from cassiahill.loop import LoopFuture, failed_future

# Interval of the checks for deadlines and idle connections.
TICK_INTERVAL_SECONDS = 0.05
CLAIM_TIMEOUT_SECONDS = 1.0


class OwnedServer:
    """Serves requests at one backend server while this proxy owns it.

    All methods are called on the loop's thread. ``state`` is ``released``,
    ``claiming``, ``owned``, ``draining``, ``drained``, ``lost`` or ``closed``.

    Parameters
    ----------
    loop : loop.EventLoop
    backend : backend.Backend
    server_settings : settings.ServerSettings
    own_name : str
        Name of this proxy.
    policy : admission.AdmissionPolicy
    rng : random.Random
    """

    def __init__(self, loop, backend, server_settings, own_name, policy, rng):
        self.state = "released"
        self._loop = loop
        self._backend = backend
        self._server_name = server_settings.name
        self._own_name = own_name
        self._policy = policy
        self._executor = request_executor.RequestExecutor(
            loop,
            backend,
            server_settings,
            own_name,
            policy,
            rng,
            self._complete_drain_if_idle,
            self._on_ownership_lost,
        )
        self._tick_timer = None
        self._drain_future = None

    @property
    def epoch(self):
        """Epoch of the last successful claim."""
        return self._executor.connections.epoch

    @property
    def unfinished_request_count(self):
        """Number of accepted requests that have not ended."""
        return self._executor.unfinished_request_count

    def claim(self, known_epoch):
        """Claim the server's connections for this proxy.

        Parameters
        ----------
        known_epoch : int
            Highest epoch that the server is known to have.

        Returns
        -------
        Future of int
            The epoch. It fails with ``errors.StaleEpoch`` when another proxy holds it
            or a higher one; a claim whose answer was lost can be repeated.
        """
        if self.state not in ("released", "lost"):
            return failed_future(
                errors.NotOwner(f"{self._server_name} is {self.state}")
            )
        self.state = "claiming"
        return self._loop.spawn(self._claim(known_epoch + 1))

    def _claim(self, epoch):
        deadline = self._loop.clock.now() + CLAIM_TIMEOUT_SECONDS
        try:
            yield self._backend.claim(epoch, self._own_name, deadline)
        except Exception:
            if self.state == "claiming":
                self.state = "released"
            raise
        if self.state != "claiming":
            raise errors.NotOwner(f"{self._server_name} is {self.state}")
        self._executor.connections.epoch = epoch
        self.state = "owned"
        self._executor.make_refusal = None
        self._schedule_tick()
        return epoch

    def submit(self, request_context, batch):
        """Run a batch.

        Parameters
        ----------
        request_context : object
            Has ``rank``, ``caller`` and ``deadline``.
        batch : backend.Batch

        Returns
        -------
        Future of backend.BatchResult
        """
        return self._executor.submit(request_context, batch)

    def open_transaction(self, request_context, term):
        """Begin a transaction on a connection of its own.

        Returns
        -------
        Future of backend_requests.BackendTransaction
        """
        return self._executor.open_transaction(request_context, term)

    def drain(self, deadline):
        """Refuse new requests and let the accepted ones and transactions end.

        Returns
        -------
        Future of int
            The number of requests and transactions that were ended at the deadline.
        """
        if self._drain_future is None:
            self._drain_future = LoopFuture()
            if self.state == "owned":
                self.state = "draining"
                self._refuse_requests(errors.Draining, "is being released")
                self._executor.accepts_transaction_requests = True
                self._loop.call_at(deadline, self._on_drain_deadline)
            self._complete_drain_if_idle()
        return self._drain_future

    def release(self):
        """Give up the ownership; unfinished requests and transactions fail."""
        self._stop_serving("released", "was released")

    def close(self):
        """Close the connections for good; unfinished requests and transactions fail."""
        self._stop_serving("closed", "was closed")

    def dump(self):
        """Return the state of the owned server for operators, as plain values."""
        return {
            "server": self._server_name,
            "state": self.state,
            "epoch": self.epoch,
            "transactions": len(self._executor.open_transactions),
            "load": self._executor.unfinished_count,
            "admission": self._policy.dump(self._loop.clock.now()),
            "connections": self._executor.connections.dump(),
            "counts": dict(self._executor.counts),
        }

    def _refuse_requests(self, error_type, reason):
        self._executor.make_refusal = functools.partial(
            error_type, f"{self._server_name} {reason}"
        )
        self._executor.accepts_transaction_requests = False

    def _on_drain_deadline(self):
        if self.state != "draining" or self._drain_future.done():
            return
        unfinished_count = self._executor.unfinished_count
        self.state = "drained"
        drain_future, self._drain_future = self._drain_future, None
        self._refuse_requests(errors.Draining, "is released")
        self._executor.abort_all()
        drain_future.set_result(unfinished_count)

    def _complete_drain_if_idle(self):
        if (
            self._drain_future is None
            or self._drain_future.done()
            or self._executor.unfinished_count
        ):
            return
        self._drain_future.set_result(0)

    def _on_ownership_lost(self):
        if self.state in ("owned", "draining"):
            self._stop_serving("lost", "has another owner")

    def _stop_serving(self, state, reason):
        self.state = state
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        self._refuse_requests(errors.NotOwner, reason)
        self._executor.abort_all()
        self._executor.connections.close_all()
        self._complete_drain_if_idle()
        self._drain_future = None

    def _schedule_tick(self):
        self._tick_timer = self._loop.call_at(
            self._loop.clock.now() + TICK_INTERVAL_SECONDS, self._on_tick
        )

    def _on_tick(self):
        self._schedule_tick()
        self._executor.tick()
