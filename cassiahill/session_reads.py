"""Reads of a session outside transactions, hedged when the first server is slow."""

import attrs

from cassiahill import event_log
from cassiahill.catalog import Consistency
from cassiahill.statement_sender import RetryableFailure
from cassiahill.statements import NOT_RUN_CODES, Code, Reply, TransactionState

# A read whose latency exceeds the usual one by this factor is sent to a second server,
# because the answer may be lost or the server unreachable. The first answer is used.
HEDGE_LATENCY_FACTOR = 6.0
MIN_HEDGE_DELAY_SECONDS = 0.12


class SessionReads:
    """Runs the reads of one session on leased connections.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    route : catalog.Route
    sender : statement_sender.StatementSender
    """

    def __init__(self, loop, group, route, sender):
        self._loop = loop
        self._group = group
        self._route = route
        self._sender = sender

    @property
    def need_primary(self):
        """Whether the reads must run on the group's primary."""
        return self._route.consistency is Consistency.PRIMARY

    def run(self, lease, request, queued_request):
        """Run a read, and hedge it on a second server when the first is slow; a task.

        Parameters
        ----------
        lease : connection_leases.ConnectionLease
            Connection to the first server.
        request : statement_sender.SessionRequest
        queued_request : request_queue.QueuedRequest
            What the read needs of a second server.

        Returns
        -------
        statements.Reply or statement_sender.RetryableFailure
        """
        loop = self._loop
        asked_at = loop.clock.now()
        first_read = loop.spawn(self._run_read(lease, request))
        usual_seconds = self._group.read_durations.usual_seconds(self._route.database)
        hedge_at = asked_at + max(
            MIN_HEDGE_DELAY_SECONDS, HEDGE_LATENCY_FACTOR * usual_seconds
        )
        if hedge_at < request.deadline:
            yield loop.first_done(first_read, loop.sleep_until(hedge_at))
            if not first_read.done():
                queued_request.failed_server_ids.add(lease.connection.server.server_id)
                return (yield from self._run_hedge(first_read, request, queued_request))
        outcome = yield first_read
        self._group.read_durations.record(
            self._route.database, loop.clock.now() - asked_at
        )
        return outcome

    def _run_hedge(self, first_read, request, queued_request):
        """Run the read on a second server and return the first reply of the two."""
        loop = self._loop
        lease_future = self._group.acquire(
            attrs.evolve(queued_request, resolve_lease=None)
        )
        yield loop.first_done(first_read, lease_future)
        if first_read.done():
            self._release_unused(lease_future, queued_request)
            return first_read.result()
        hedge_lease = lease_future.result()
        if hedge_lease is None:
            return (yield first_read)
        event_log.event(
            "read_repeated",
            request=request.request_id,
            server=hedge_lease.connection.server.server_id,
            after=loop.clock.now() - request.arrived_at,
        )
        second_read = loop.spawn(self._run_read(hedge_lease, request))
        finished = yield loop.first_done(first_read, second_read)
        if isinstance(finished.result(), Reply):
            return finished.result()
        return (yield second_read if finished is first_read else first_read)

    def _release_unused(self, lease_future, queued_request):
        """Release a lease that is granted after the read has ended."""

        def release_lease(future):
            if future.result() is not None:
                self._sender.release(future.result())

        self._group.withdraw(queued_request.request_id)
        self._loop.when_done(lease_future, release_lease)

    def _run_read(self, lease, request):
        if self.need_primary:
            return (yield from self._run_primary_read(lease, request))
        return (yield from self._run_read_at_position(lease, request))

    def _run_primary_read(self, lease, request):
        """Run a read in a read-write transaction, which only a primary begins.

        A server that is no longer the primary does not refuse a single read.
        """
        begin_failure = yield from self._sender.begin(lease, False, request)
        if begin_failure is not None:
            return begin_failure
        reply = yield from self._sender.send(lease, request)
        if reply is None:
            self._sender.discard(lease)
            return RetryableFailure("no answer to a read")
        if reply.code in NOT_RUN_CODES:
            return self._sender.end_refused_attempt(lease, reply.code)
        self._sender.release(lease)
        return attrs.evolve(reply, state=TransactionState.IDLE)

    def _run_read_at_position(self, lease, request):
        """Run a read that the server refuses below the lease's log position."""
        setup_failure = yield from self._sender.set_up_connection(lease, request)
        if setup_failure is not None:
            self._sender.release(lease)
            return setup_failure
        asked_at = self._loop.clock.now()
        reply = yield from self._sender.send(
            lease, request, required_position=lease.required_position
        )
        self._record_load(lease, asked_at, reply)
        if reply is None:
            self._sender.discard(lease)
            return RetryableFailure("no answer to a read")
        if reply.code in NOT_RUN_CODES:
            return self._sender.end_refused_attempt(lease, reply.code)
        self._sender.release(lease)
        return reply

    def _record_load(self, lease, asked_at, reply):
        """Record what the end of a read shows of its server's load."""
        now = self._loop.clock.now()
        server_id = lease.connection.server.server_id
        if reply is None or reply.code is Code.BUSY:
            self._group.server_load.record_failed_read(server_id, now)
        elif reply.code is None:
            self._group.server_load.record_read(
                server_id,
                now - asked_at,
                self._group.read_durations.usual_seconds(self._route.database),
                now,
            )
