"""Work of this process at one group of backend servers.

Keeps the connections, the requests that wait, the proofs of freshness and the belief
about the primary; decides through ``placement``, ``request_queue``,
``position_samples`` and ``known_primary``.
"""

import random

from cassiahill import (
    errors,
    event_log,
    known_primary,
    line_connections,
    outstanding_writes,
    placement,
    position_samples,
    reachability,
    request_queue,
    server_pool,
    server_probes,
    takeover,
)
from cassiahill.loop import LoopFuture
from cassiahill.statements import Code

TICK_SECONDS = 0.02
FIRST_READ_SECONDS = 0.03
READ_WEIGHT = 0.1
STOOD_STILL_SECONDS = 0.3
# Half of a server's connections is kept, the rest is borrowed as needed: after a loss
# of power the server holds the lost connections for some seconds beside the new ones.
SHARED_PART = 2
WARM_CONNECTIONS = 1  # One spares a request the opening; more would take others' share.
LACKING_SECONDS = 1.5
# A full server has answered some statements after this; refusals in a row double it, so
# that many proxies together do not keep the server busy with refusing.
BUSY_PAUSE_SECONDS = 0.02
BUSY_DOUBLINGS = 3
BUSY_FORGOTTEN_SECONDS = 0.5
# A draining server takes requests until it has left; new ones stop long before that.
DRAINING_PRIMARY_SECONDS = 5.0


class ServerGroup:
    """Connections, waiting requests and knowledge of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    group : str
    own_name, own_domain : str
    draining_since : callable
        Returns the instant at which a server was seen to drain, by server id.
    connect : callable
        Makes a connection to a server; see ``server_pool.ServerPool``.
    """

    def __init__(
        self,
        loop,
        dialect,
        group,
        own_name,
        own_domain,
        draining_since,
        connect=line_connections.LineConnection,
    ):
        self._loop = loop
        self._dialect = dialect
        self._own_name = own_name
        self._own_domain = own_domain
        self._draining_since = draining_since
        self._connect = connect
        self._waiting = request_queue.RequestQueue()
        self._connection_limit = 1
        self._proxies = 1
        self._busy_by_id = {}
        self._rng = random.Random(f"{own_name} {group}")
        self._pumping = False
        self._timer = None
        self._probes = server_probes.ServerProbes(loop, self)
        self.name = group
        # Only owners connect: at a start, all proxies together would take the limit.
        self.active = False
        self.synchronous = True
        self.partitioned = False
        self.last_request_at = float("-inf")
        self.primary = known_primary.PrimaryView()
        self.evidence = position_samples.PrimaryPositions()
        self.pools_by_id = {}
        self.progress_by_id = {}
        self._gone_at_by_id = {}
        self.primary_unreachable_since = None
        self._usual_seconds_by_database = {}
        self.outstanding_writes = outstanding_writes.OutstandingWrites(loop.clock)
        self._ticked_at = loop.clock.now()
        self._tick()

    # Members of the group

    def put_server(self, server, before):
        """Take a server that registered or changed."""
        now = self._loop.clock.now()
        self._gone_at_by_id.pop(server.server_id, None)
        pool = self.pools_by_id.get(server.server_id)
        restarted = before is not None and (
            before.address != server.address
            or before.started_at_ms != server.started_at_ms
        )
        if pool is not None and restarted:
            pool.close()
            pool = None
        if pool is None:
            self.pools_by_id[server.server_id] = server_pool.ServerPool(
                self._loop,
                self._dialect,
                server,
                self._own_name,
                self._share(),
                self._pump_soon,
                self._connect,
            )
            self.progress_by_id[server.server_id] = position_samples.ReplicaProgress()
        else:
            pool.server = server
        if self.primary.registered(server, before, now):
            self._log_primary("registered")
        self._pump_soon()

    def remove_server(self, server_id):
        """Stop using a server."""
        pool = self.pools_by_id.pop(server_id, None)
        self.progress_by_id.pop(server_id, None)
        now = self._loop.clock.now()
        if pool is not None:
            pool.close()
            if not pool.server.registered_as_primary:
                self._gone_at_by_id[server_id] = now
        if self.primary.removed(server_id, now):
            self._log_primary("removed")

    def set_limits(self, limits, proxies):
        """Take the limits of each server and the number of proxies.

        Parameters
        ----------
        limits : catalog.GroupLimits
        proxies : int
            Proxies that hold connections to the servers.
        """
        self.synchronous = limits.synchronous
        self._connection_limit = limits.connections
        self._proxies = max(1, proxies)
        for pool in self.pools_by_id.values():
            pool.share = self._share()

    def close(self):
        """Close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for pool in self.pools_by_id.values():
            pool.close()

    def dump(self):
        """Return the state as plain values."""
        now = self._loop.clock.now()
        latest = self.evidence.latest
        return {
            "primary": self.primary.server_id,
            "proof": None if latest is None else str(latest.position),
            "proof_age": None if latest is None else now - latest.asked_at,
            "waiting": len(self._waiting),
            "servers": {
                server_id: {
                    "connections": pool.connection_count,
                    "idle": pool.idle,
                    "running": pool.running_statements,
                    "latency": pool.latency,
                    "position": str(self.progress_by_id[server_id].position),
                    "draining": pool.server.draining,
                }
                for server_id, pool in self.pools_by_id.items()
            },
        }

    # Requests

    def acquire(self, request):
        """Return the future of a lease, or of None when the request is refused.

        Parameters
        ----------
        request : request_queue.QueuedRequest
        """
        self.last_request_at = self._loop.clock.now()
        future = LoopFuture()
        request.settle = future.set_result
        self._waiting.add(request)
        self._pump()
        return future

    def usual_read_seconds(self, database):
        """Return how long a read of a database takes of late."""
        return self._usual_seconds_by_database.get(database, FIRST_READ_SECONDS)

    def record_read_seconds(self, database, seconds):
        """Take the time of one read."""
        usual = self.usual_read_seconds(database)
        usual += READ_WEIGHT * (seconds - usual)
        self._usual_seconds_by_database[database] = usual

    def read_requirement(self, oldest, own_commit):
        """Return the need of a read that must see commits acknowledged before."""
        position = self.evidence.required(oldest, own_commit)
        if position is None:
            return placement.NotProvable()
        return placement.AtPosition(position)

    def gone_with_primary(self, seconds):
        """Return the replicas whose entries have gone since the primary's last proof.

        They may live on where the primary is, out of reach for this process.

        Parameters
        ----------
        seconds : float
            Those that have gone for longer are left out.
        """
        now = self._loop.clock.now()
        latest = self.evidence.latest
        proved_at = float("-inf") if latest is None else latest.asked_at
        return [
            server_id
            for server_id, gone_at in self._gone_at_by_id.items()
            if gone_at >= proved_at and now - gone_at < seconds
        ]

    # Answers

    def record_position(self, connection, reply):
        """Take the position that a reply stated."""
        progress = self.progress_by_id.get(connection.server.server_id)
        if progress is not None:
            progress.record_position(reply.position)

    def confirm_primary(self, connection, asked_at, reply):
        """Take an answer that only a primary gives."""
        server_id = connection.server.server_id
        self.primary_unreachable_since = None
        if self.primary.confirm_primary(server_id, asked_at):
            self._log_primary("proved")
        if reply.position is not None and self.primary.server_id == server_id:
            self.evidence.record(
                position_samples.Proof(asked_at, server_id, reply.position)
            )

    def unanswered(self, server_id, asked_at):
        """Take note that a server did not answer a question whether it leads."""
        if server_id == self.primary.server_id:
            self.primary_unreachable_since = self.primary_unreachable_since or asked_at

    def record_refusal(self, connection, code, after=None):
        """Take the refusal of a statement that did not run.

        Parameters
        ----------
        connection : line_connections.LineConnection
        code : statements.Code
        after : positions.LogPosition or None
            Position that the statement asked for.
        """
        now = self._loop.clock.now()
        server_id = connection.server.server_id
        match code:
            case Code.NOT_PRIMARY:
                if self.primary.refuted(server_id, now):
                    self._log_primary("refused")
            case Code.NOT_CURRENT:
                if server_id in self.progress_by_id:
                    self.progress_by_id[server_id].record_refusal(after, now)
                if self.primary.refuted(server_id, now):
                    # A primary has every position that was proved, unless its term
                    # has ended or it has lost its log.
                    self.evidence = position_samples.PrimaryPositions()
                    self._log_primary("behind")
            case Code.BUSY:
                self._refused_as_busy(server_id, now)
            case Code.UNKNOWN_STATEMENT:
                connection.names_by_shape.clear()

    def _refused_as_busy(self, server_id, now):
        until, streak = self._busy_by_id.get(server_id, (0.0, 0))
        if now < until:
            return
        streak = streak + 1 if now - until < BUSY_FORGOTTEN_SECONDS else 0
        pause = BUSY_PAUSE_SECONDS * 2 ** min(streak, BUSY_DOUBLINGS)
        jitter = 0.5 + self._rng.random()
        self._busy_by_id[server_id] = (now + pause * jitter, streak)

    def is_primary_unreachable(self, now):
        """Return whether this process has been without the primary for long.

        Until then replicas still serve the reads whose freshness was proved before.
        """
        since = self.primary_unreachable_since
        if self.primary.server_id is None:
            since = self.primary.lost_at
        return since is not None and now - since > LACKING_SECONDS

    # Questions to one server

    def ask_report(self, server_id, statement, deadline):
        """Send a status or replication statement on a free connection; a task.

        Returns
        -------
        statements.ServerReport, Code.BUSY or None
            ``Code.BUSY`` when the server or all its connections are busy; None when
            it does not answer.
        """
        loop = self._loop
        pool = self.pools_by_id.get(server_id)
        if pool is None:
            return None
        connection = pool.lend({}, loop.clock.now())
        if connection is None:
            pool.open_if_needed(1, loop.clock.now())
            return Code.BUSY
        late = errors.ConnectionLost("no answer to a status")
        try:
            reply = yield loop.with_deadline(connection.ask(statement), deadline, late)
        except errors.CassiahillError as error:
            event_log.event("status_lost", server=server_id, cause=error.detail)
            connection.close()
            pool.record_lost_answer(loop.clock.now())
            pool.finished(loop.clock.now())
            return None
        pool.heard(loop.clock.now())
        pool.finished(loop.clock.now())
        pool.release(connection)
        if reply.code is not None:
            return Code.BUSY if reply.code is Code.BUSY else None
        return self._dialect.decode_report(reply)

    def reset_failure_detection(self):
        """Start anew to judge whether the primary answers."""
        self.primary_unreachable_since = None
        self.outstanding_writes.reset_failure_detection()

    def contacts(self, now):
        """Return what is known of the path to each server."""
        return [
            reachability.Contact(
                pool.server.failure_domain, pool.answered_at, pool.failing(now)
            )
            for pool in self.pools_by_id.values()
        ]

    def primary_symptoms(self, now, reported_since=None):
        """Return what this process knows of the primary's health."""
        server_id = self.primary.server_id
        pool = self.pools_by_id.get(server_id)
        draining = pool is not None and pool.server.draining
        unknown_since = None
        if server_id is None and self.pools_by_id:
            unknown_since = self.primary.lost_at
        return takeover.Symptoms(
            primary=server_id,
            draining=draining,
            unreachable_since=self.primary_unreachable_since,
            refuses=pool is not None and pool.refuses,
            unknown_since=unknown_since,
            writes_stuck_since=self.outstanding_writes.stuck_since,
            reported_since=reported_since,
        )

    # Decisions

    def _share(self):
        return max(1, self._connection_limit // (SHARED_PART * self._proxies))

    def _statements_at_once(self, server):
        return placement.statements_at_once(server.slots, self._proxies)

    def _candidates(self, need, now, avoid):
        for server_id, pool in self.pools_by_id.items():
            is_primary = server_id == self.primary.server_id
            if not self._takes_requests(pool, is_primary, now):
                continue
            position = need.position if isinstance(need, placement.AtPosition) else None
            yield placement.Candidate(
                server_id=server_id,
                is_primary=is_primary,
                has_connection=pool.idle > 0,
                has_slot=pool.running_statements < self._statements_at_once(pool.server)
                and now >= self._busy_by_id.get(server_id, (0.0, 0))[0],
                may_have_position=position is None
                or self.progress_by_id[server_id].may_have(position, now),
                latency=pool.latency,
                running_statements=pool.running_statements,
                same_domain=pool.server.failure_domain == self._own_domain,
                suspect=server_id in avoid or pool.suspect(now),
            )

    def _takes_requests(self, pool, is_primary, now):
        if not pool.server.draining:
            return True
        since = self._draining_since(pool.server.server_id)
        return is_primary and now - (since or now) < DRAINING_PRIMARY_SECONDS

    def _pump_soon(self):
        if not self._pumping:
            self._pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self):
        """Grant what can be granted, refuse what cannot be served, open connections."""
        self._pumping = False
        now = self._loop.clock.now()
        self._waiting.mark_late(now)
        wanted_by_id = dict.fromkeys(self.pools_by_id, 0)
        for request in self._waiting:
            need = request.requirement()
            candidates = self._candidates(need, now, request.failed_server_ids)
            choice = placement.choose(need, candidates)
            if choice.server_id is not None:
                self._waiting.remove(request)
                self._grant(request, need, self.pools_by_id[choice.server_id], now)
            elif choice.open_at is not None:
                wanted_by_id[choice.open_at] += 1
        expected_at = self.primary.expected_at(
            now, self.primary_unreachable_since, self.partitioned
        )
        for request in self._waiting.overdue(now, expected_at, _needs_primary):
            self._waiting.remove(request)
            request.settle(None)
        for server_id, wanted in wanted_by_id.items():
            pool = self.pools_by_id.get(server_id)
            if pool is not None:
                first = 1 if self.active and not pool.connection_count else 0
                pool.open_if_needed(max(wanted, first), now)

    def _grant(self, request, need, pool, now):
        connection = pool.lend(request.values_by_name, now)
        after = need.position if isinstance(need, placement.AtPosition) else None
        request.settle(server_pool.ConnectionLease(connection, pool, after))

    def withdraw(self, request_id):
        """Drop a waiting request, because its client has gone."""
        for request in self._waiting:
            if request.request_id == request_id:
                self._waiting.remove(request)
                request.settle(None)

    # Background

    def _tick(self):
        now = self._loop.clock.now()
        if now - self._ticked_at > STOOD_STILL_SECONDS:
            # This process stood still: the silence of others proves nothing.
            self.reset_failure_detection()
            for pool in self.pools_by_id.values():
                pool.heard(now)
        self._ticked_at = now
        self._pump()
        for pool in self.pools_by_id.values():
            pool.trim(now, WARM_CONNECTIONS if self.active else 0)
        if self.active:
            self._probes.tick(now)
        self._timer = self._loop.call_at(now + TICK_SECONDS, self._tick)

    def _log_primary(self, source):
        self.reset_failure_detection()
        latest = self.evidence.latest
        event_log.event(
            "primary_changed",
            group=self.name,
            primary=self.primary.server_id,
            source=source,
            proof=None if latest is None else str(latest.position),
        )


def _needs_primary(request):
    """Return whether only a primary helps: to run the request, or to prove a read."""
    return isinstance(
        request.requirement(), placement.OnPrimary | placement.NotProvable
    )
