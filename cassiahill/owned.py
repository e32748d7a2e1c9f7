"""One owned backend server: its queue, its connections and its epoch."""

import collections
import functools
import itertools

from cassiahill import admission, calls, connections, errors, pool
from cassiahill.loop import LoopFuture, failed

TICK = 0.05  # seconds between two looks at deadlines and idle connections
CLAIM_TIMEOUT = 1.0
ANSWER_GRACE = 0.1  # seconds for the way back after the database's own timeout
SILENT_AFTER = 0.25  # a shorter wait for an answer says nothing about the connection
MAX_ATTEMPTS = 2
MAX_PARKED = 256  # writes that wait while an open transaction holds locks


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
        self.counts = collections.Counter()
        self.transactions = set()
        self._loop = loop
        self._backend = backend
        self._name = server_settings.name
        self._own_name = own_name
        self._policy = policy
        limits = pool.PoolSettings(limit=server_settings.connections)
        self._connections = connections.Connections(
            loop,
            backend,
            own_name,
            limits,
            rng,
            self._granted,
            self._refused,
            self._lose,
        )
        # Plain work must always find a connection for each slot; otherwise it would
        # hold all slots while it waits for connections of transactions that wait for
        # slots.
        self._max_transactions = max(1, limits.capacity - server_settings.slots)
        self._opening_transactions = 0
        self._max_writes = max(1, server_settings.slots - 1)
        self._writes = set()
        self._parked = {}
        self._calls = {}
        self._without_connection = set()
        self._decisions = collections.deque()
        self._deciding = False
        self._work_ids = itertools.count(1)
        self._timer = None
        self._drained = None

    @property
    def epoch(self):
        """Epoch of the last successful claim."""
        return self._connections.epoch

    @property
    def waiting(self):
        """Number of calls that have not ended yet."""
        return len(self._calls)

    # Ownership

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
            return failed(errors.NotOwner(f"{self._name} is {self.state}"))
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
        self._connections.epoch = epoch
        self.state = "owned"
        self._schedule_tick()
        return epoch

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
                self._loop.call_at(deadline, self._end_drain)
            self._check_drained()
        return self._drained

    def _end_drain(self):
        if self.state == "draining" and not self._drained.done():
            left = len(self._calls) + len(self.transactions)
            self.state = "drained"
            drained, self._drained = self._drained, None
            self._fail_all(errors.Draining(f"{self._name} is released"))
            drained.set_result(left)

    def _check_drained(self):
        if self._drained is None or self._drained.done():
            return
        if not (self._calls or self.transactions or self._opening_transactions):
            self._drained.set_result(0)

    def release(self):
        """Give up the ownership; what is left fails."""
        self._stop("released", errors.NotOwner(f"{self._name} was released"))

    def close(self):
        """End everything for good."""
        self._stop("closed", errors.NotOwner(f"{self._name} was closed"))

    def _lose(self):
        if self.state in ("owned", "draining"):
            self._stop("lost", errors.NotOwner(f"{self._name} has another owner"))

    def _stop(self, state, error):
        self.state = state
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._fail_all(error)
        self._connections.close_all()
        self._check_drained()
        self._drained = None

    def _fail_all(self, error):
        """End the waiting calls as not run, and abandon those handed over."""
        for call in list(self._calls.values()):
            if call.sent_at is None:
                self._end(call, error)
        for transaction in list(self.transactions):
            self.abandon(transaction)
        for call in list(self._calls.values()):
            self._close_connection(call.connection_id)

    # Work

    def submit(self, work, batch):
        """Run a batch.

        Parameters
        ----------
        work : object
            Has ``rank``, ``caller`` and ``deadline``.
        batch : backend.Batch

        Returns
        -------
        Future of backend.BatchResult
        """
        return self._offer(
            calls.Call(
                next(self._work_ids),
                work.rank,
                work.caller,
                work.deadline,
                batch.timeout,
                batch.read_only,
                calls.executing(batch),
            )
        )

    def open_transaction(self, work, term):
        """Begin a transaction on a connection of its own.

        Returns
        -------
        Future of calls.Transaction
        """
        count = len(self.transactions) + self._opening_transactions
        if count >= self._max_transactions:
            return failed(errors.Overloaded("too many transactions are open"))
        self._opening_transactions += 1
        return self._loop.spawn(self._open_transaction(work, term))

    def _open_transaction(self, work, term):
        transaction = calls.Transaction(self, work, term)

        def run(call, connection):
            return connection.begin(term, call.bound)

        try:
            yield self.run_in(transaction, run, True, work.deadline)
        finally:
            self._opening_transactions -= 1
            self._check_drained()
        return transaction

    def run_in(self, transaction, run, read_only, deadline, timeout=None, ends=False):
        """Queue a call of a transaction; used by ``calls.Transaction``."""
        if timeout is None:
            timeout = deadline - self._loop.clock.now()
        call = calls.Call(
            next(self._work_ids),
            transaction.work.rank,
            transaction.work.caller,
            deadline,
            timeout,
            read_only,
            run,
            transaction,
            ends,
            transaction.connection_id,
        )
        transaction.busy = True
        return self._offer(call)

    def abandon(self, transaction):
        """Close a transaction's connection, so that the database rolls back."""
        for call in list(self._calls.values()):
            if call.transaction is transaction and call.sent_at is None:
                self._end(call, errors.NoTransaction("the transaction was closed"))
        self._close_connection(transaction.connection_id)
        self._finish_transaction(transaction)

    def _finish_transaction(self, transaction):
        if transaction is not None and not transaction.ended:
            transaction.ended = True
            transaction.holds_locks = False
            self.transactions.discard(transaction)
            for _ in range(len(self._parked)):
                self._unpark()
            self._check_drained()

    def _close_connection(self, connection_id):
        # The adapter fails the pending call when its connection closes.
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.close()
            self._connections.lost(connection_id)

    def _offer(self, call):
        ready = self.state == "owned"
        if self.state == "draining" and call.connection_id is not None:
            ready = True
        if not ready:
            if call.transaction is not None:
                call.transaction.busy = False
            return failed(self._refusal())
        self._calls[call.work_id] = call
        self._queue(call)
        return call.future

    def _queue(self, call):
        work = admission.Work(call.work_id, call.rank, call.caller, call.deadline)
        self._decide(self._policy.offer(work, self._loop.clock.now()))

    def _refusal(self):
        if self.state in ("draining", "drained"):
            return errors.Draining(f"{self._name} is being released")
        return errors.NotOwner(f"{self._name} is {self.state}")

    def _decide(self, decisions):
        """Act on decisions in their order; those that they cause come after them."""
        self._decisions.extend(decisions)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._decisions:
                decision = self._decisions.popleft()
                call = self._calls.get(decision.work_id)
                if isinstance(decision, admission.Admit):
                    self._admitted(decision.work_id, call)
                elif call is not None:
                    self._end(call, decision.error, admitted=False)
        finally:
            self._deciding = False

    def _admitted(self, work_id, call):
        if call is None:
            self._decide(self._policy.withdraw(work_id, self._loop.clock.now()))
        elif self.state not in ("owned", "draining"):
            self._end(call, self._refusal())
        elif not self._may_write(call) and len(self._parked) >= MAX_PARKED:
            self._end(call, errors.Overloaded("too many writes wait for locks"))
        elif not self._may_write(call):
            self._parked[work_id] = call
            self._decide(self._policy.withdraw(work_id, self._loop.clock.now()))
        elif call.connection_id is not None:
            self._hand_over(call)
        else:
            self._without_connection.add(work_id)
            self._connections.acquire(work_id)

    # Locks of open transactions

    def _may_write(self, call):
        """Return whether a call may take a slot although it may wait for locks.

        Calls that wait for the locks of an open transaction hold their slots. One slot
        is kept free of them, so that the transaction can go on and release its locks.
        """
        if call.read_only or call.work_id in self._writes:
            return True
        if call.transaction is not None and call.transaction.holds_locks:
            return True
        if len(self._writes) >= self._max_writes and any(
            transaction.holds_locks for transaction in self.transactions
        ):
            return False
        self._writes.add(call.work_id)
        return True

    def _unpark(self):
        """Queue the parked call of the highest rank again."""
        if self._parked:
            call = min(self._parked.values(), key=lambda c: (c.rank, c.work_id))
            del self._parked[call.work_id]
            self._queue(call)

    # Connections

    def _refused(self, work_id, error):
        self._without_connection.discard(work_id)
        if work_id in self._calls:
            self._end(self._calls[work_id], error)

    def _granted(self, work_id, connection_id):
        self._without_connection.discard(work_id)
        call = self._calls.get(work_id)
        if call is None:
            self._connections.release(connection_id, False)
        elif self._loop.clock.now() >= call.deadline:
            self._connections.release(connection_id, False)
            self._end(call, errors.DeadlinePassed("no connection was free in time"))
        else:
            call.connection_id = connection_id
            self._hand_over(call)

    def _hand_over(self, call):
        connection = self._connections.get(call.connection_id)
        now = self._loop.clock.now()
        if connection is None:
            self._finish_transaction(call.transaction)
            self._end(call, errors.NoTransaction("the connection has ended"))
            return
        call.sent_at = now
        call.attempts += 1
        call.bound = min(call.deadline, now + call.timeout + ANSWER_GRACE)
        if call.transaction is not None and not call.read_only:
            call.transaction.holds_locks = not call.ends_transaction
        pending = call.run(call, connection)
        self._loop.when_done(pending, functools.partial(self._answered, call))

    # Answers

    def _answered(self, call, pending):
        error = pending.exception()
        connection_id = call.connection_id
        connection = self._connections.get(connection_id)
        usable = connection is not None and not connection.closed
        if error is None:
            if usable:
                self._keep(call)
            else:
                self._give_up(call)
            self._end(call, None, pending.result())
            return
        refused = isinstance(error, errors.NotRunError)
        if refused and usable:
            self._return(call)
        else:
            self._give_up(call)
        if isinstance(error, errors.StaleEpoch):
            self._lose()
        if self._may_repeat(call, error, refused, usable):
            call.may_have_run = call.may_have_run or not refused
            call.connection_id = call.sent_at = None
            self._decide([admission.Admit(call.work_id)])
        elif refused:
            self._end(call, error)
        else:
            self._end(call, errors.OutcomeUnknown(str(error)))

    def _may_repeat(self, call, error, refused, usable):
        """Return whether the call may go to another connection.

        A call that met a closed connection was never sent, and a read without an
        answer changed nothing.
        """
        if call.transaction is not None or call.attempts >= MAX_ATTEMPTS:
            return False
        if self.state not in ("owned", "draining"):
            return False
        if self._loop.clock.now() >= call.deadline:
            return False
        if refused:
            return isinstance(error, errors.BackendUnavailable) and not usable
        return call.read_only

    def _keep(self, call):
        """Keep a transaction's connection, or return the connection of other work."""
        transaction = call.transaction
        if transaction is None or call.ends_transaction:
            self._return(call)
        elif transaction.connection_id is None:
            transaction.connection_id = call.connection_id
            self.transactions.add(transaction)

    def _return(self, call):
        """Return a connection; a read-only batch leaves nothing to reset."""
        dirty = call.transaction is not None or not call.read_only
        self._finish_transaction(call.transaction)
        self._connections.release(call.connection_id, dirty)

    def _give_up(self, call):
        """Close the connection of a call whose answer is missing."""
        now = self._loop.clock.now()
        self._finish_transaction(call.transaction)
        if now >= call.bound and now - call.sent_at >= SILENT_AFTER:
            self._connections.silent(call.connection_id)
        else:
            self._connections.lost(call.connection_id)

    def _end(self, call, error, result=None, admitted=True):
        """Give a call its one end, and its slot to other work."""
        if self._calls.pop(call.work_id, None) is None:
            return
        if call.may_have_run and isinstance(error, errors.NotRunError):
            error = errors.OutcomeUnknown(str(error))
        if call.transaction is not None:
            call.transaction.busy = False
        if call.work_id in self._without_connection:
            self._without_connection.discard(call.work_id)
            self._connections.cancel(call.work_id)
        self._parked.pop(call.work_id, None)
        now = self._loop.clock.now()
        if call.sent_at is not None:
            self.counts["handed_over_" + call.rank.name.lower()] += 1
            self._decide(self._policy.finish(call.work_id, now))
        elif admitted:
            self._decide(self._policy.withdraw(call.work_id, now))
        if call.work_id in self._writes:
            self._writes.discard(call.work_id)
            self._unpark()
        self.counts[error.code if error is not None else "done"] += 1
        if error is not None:
            call.future.set_exception(error)
        else:
            call.future.set_result(result)
        self._check_drained()

    def _schedule_tick(self):
        self._timer = self._loop.call_at(self._loop.clock.now() + TICK, self._tick)

    def _tick(self):
        now = self._loop.clock.now()
        self._schedule_tick()
        for work_id in [*self._without_connection, *self._parked]:
            call = self._calls.get(work_id)
            if call is not None and now >= call.deadline:
                self._end(call, errors.DeadlinePassed("no connection was free in time"))
        self._unpark()
        self._decide(self._policy.tick(now))
        self._connections.tick()

    def dump(self):
        """Return the state as plain values."""
        return {
            "server": self._name,
            "state": self.state,
            "epoch": self.epoch,
            "transactions": len(self.transactions),
            "calls": len(self._calls),
            "admission": self._policy.dump(self._loop.clock.now()),
            "connections": self._connections.dump(),
            "counts": dict(self.counts),
        }
