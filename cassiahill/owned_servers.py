"""One owned backend server: claim, work, drain and release."""

import functools

from cassiahill import errors, request_executor
from cassiahill.loop import LoopFuture, failed_future

TICK = 0.05  # seconds between two looks at deadlines and idle connections
CLAIM_TIMEOUT = 1.0


class OwnedServer:
    """Runs work on one backend server while this proxy owns it.

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
        self._name = server_settings.name
        self._own_name = own_name
        self._policy = policy
        self._runner = request_executor.RequestExecutor(
            loop,
            backend,
            server_settings,
            own_name,
            policy,
            rng,
            self._check_drained,
            self._lose,
        )
        self._timer = None
        self._drained = None

    @property
    def epoch(self):
        """Epoch of the last successful claim."""
        return self._runner.connections.epoch

    @property
    def waiting(self):
        """Number of calls that have not ended yet."""
        return self._runner.waiting

    def claim(self, known_epoch):
        """Claim the server's connections.

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
            return failed_future(errors.NotOwner(f"{self._name} is {self.state}"))
        self.state = "claiming"
        return self._loop.spawn(self._claim(known_epoch + 1))

    def _claim(self, epoch):
        deadline = self._loop.clock.now() + CLAIM_TIMEOUT
        try:
            yield self._backend.claim(epoch, self._own_name, deadline)
        except Exception:
            if self.state == "claiming":
                self.state = "released"
            raise
        if self.state != "claiming":
            raise errors.NotOwner(f"{self._name} is {self.state}")
        self._runner.connections.epoch = epoch
        self.state = "owned"
        self._runner.refusal = None
        self._schedule_tick()
        return epoch

    def submit(self, request, batch):
        """Run a batch.

        Parameters
        ----------
        request : object
            Has ``rank``, ``caller`` and ``deadline``.
        batch : backend.Batch

        Returns
        -------
        Future of backend.BatchResult
        """
        return self._runner.submit(request, batch)

    def open_transaction(self, request, term):
        """Begin a transaction on a connection of its own.

        Returns
        -------
        Future of backend_requests.Transaction
        """
        return self._runner.open_transaction(request, term)

    def drain(self, deadline):
        """Refuse new work and let the rest end.

        Returns
        -------
        Future of int
            The number of calls and transactions that were ended at the deadline.
        """
        if self._drained is None:
            self._drained = LoopFuture()
            if self.state == "owned":
                self.state = "draining"
                self._refuse(errors.Draining, "is being released")
                self._runner.pinned_only = True
                self._loop.call_at(deadline, self._end_drain)
            self._check_drained()
        return self._drained

    def release(self):
        """Give up the ownership; what is left fails."""
        self._stop("released", "was released")

    def close(self):
        """End everything for good."""
        self._stop("closed", "was closed")

    def dump(self):
        """Return the state as plain values."""
        return {
            "server": self._name,
            "state": self.state,
            "epoch": self.epoch,
            "transactions": len(self._runner.transactions),
            "load": self._runner.load,
            "admission": self._policy.dump(self._loop.clock.now()),
            "connections": self._runner.connections.dump(),
            "counts": dict(self._runner.counts),
        }

    def _refuse(self, error_type, text):
        self._runner.refusal = functools.partial(error_type, f"{self._name} {text}")
        self._runner.pinned_only = False

    def _end_drain(self):
        if self.state != "draining" or self._drained.done():
            return
        left = self._runner.load
        self.state = "drained"
        drained, self._drained = self._drained, None
        self._refuse(errors.Draining, "is released")
        self._runner.fail_all()
        drained.set_result(left)

    def _check_drained(self):
        if self._drained is None or self._drained.done() or self._runner.load:
            return
        self._drained.set_result(0)

    def _lose(self):
        if self.state in ("owned", "draining"):
            self._stop("lost", "has another owner")

    def _stop(self, state, text):
        self.state = state
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._refuse(errors.NotOwner, text)
        self._runner.fail_all()
        self._runner.connections.close_all()
        self._check_drained()
        self._drained = None

    def _schedule_tick(self):
        self._timer = self._loop.call_at(self._loop.clock.now() + TICK, self._tick)

    def _tick(self):
        self._schedule_tick()
        self._runner.tick()
