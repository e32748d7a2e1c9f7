"""Connections, request queue and known state of one group of backend servers.

The state consists of the known primary, its position samples and the replicas' log
positions. Requests get a connection to a server that meets their requirement.
"""

import collections
import random

from cassiahill import (
    acknowledged_commits,
    busy_servers,
    connection_leases,
    connection_quotas,
    event_log,
    fair_queueing,
    group_dump,
    known_primary,
    line_connections,
    network_delays,
    outstanding_writes,
    placement,
    position_samples,
    reachability,
    read_durations,
    removed_replicas,
    request_queue,
    sample_demand,
    server_candidates,
    server_load,
    server_pool,
    server_probes,
    slot_shares,
    sole_copies,
    takeover,
    tenant_waits,
)
from cassiahill.loop import LoopFuture
from cassiahill.regions import Distance, Regions
from cassiahill.statements import Code

TICK_INTERVAL_SECONDS = 0.02
MAX_TICK_GAP_SECONDS = 0.3  # A longer gap between ticks means a suspended process.
# Connections to keep open without requests. One saves a request the time to open it;
# more would take connections from other proxies.
MIN_IDLE_CONNECTIONS = 1
REPLICA_READS_WITHOUT_PRIMARY_SECONDS = 1.5


class ServerGroup:
    """Connections, queued requests and known state of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    group : str
        Name of the group.
    own_name, own_domain : str
        Name and failure domain of this process.
    draining_since : callable
        Takes a server id and returns the instant since which that server is known to
        drain, or None.
    connect : callable
        Opens a connection to a server; see ``server_pool.ServerPool``.
    regions : regions.Regions or None
        None in a deployment without regions.

    Attributes
    ----------
    active : bool
        Whether this process keeps connections to the servers.
    supervised : bool
        Whether this process is the promoter or its successor.
    synchronous : bool
        Whether a commit is acknowledged only after a replica has received it.
    partitioned : bool
        Whether this process does not reach the other failure domains.
    last_request_at : float
        Instant of the last request for the group.
    primary : known_primary.KnownPrimary
    primary_positions : position_samples.PrimaryPositions
    sample_demand : sample_demand.SampleDemand
    pools_by_id : dict
        ``server_pool.ServerPool`` by server id.
    progress_by_id : dict
        ``position_samples.ReplicaProgress`` by server id.
    primary_unreachable_since : float or None
        Instant since which the known primary has not answered probes.
    outstanding_writes : outstanding_writes.OutstandingWrites
    read_durations : read_durations.ReadDurations
    removed_replicas : removed_replicas.RemovedReplicas
    sole_copies : sole_copies.SoleCopies
    acknowledged_commits : acknowledged_commits.AcknowledgedCommits
    candidates : server_candidates.ServerCandidates
    quotas : connection_quotas.ConnectionQuotas
    slot_share : slot_shares.SlotShare
    tenant_waits : tenant_waits.TenantWaits
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
        regions=None,
    ):
        self._loop = loop
        self._dialect = dialect
        self._own_name = own_name
        self._own_domain = own_domain
        self._connect = connect
        self._regions = regions or Regions(own_domain)
        self._former_crossing_statements = 0
        self._queue = request_queue.RequestQueue()
        self.quotas = connection_quotas.ConnectionQuotas()
        self._removed_pools_counts = connection_leases.ConnectionCounts()
        rng = random.Random(f"{own_name} {group}")
        self._busy_servers = busy_servers.BusyServers(rng)
        self.candidates = server_candidates.ServerCandidates(
            self, own_domain, draining_since, self._busy_servers, self._regions
        )
        self._serve_scheduled = False
        self._probes = server_probes.ServerProbes(loop, self)
        self.name = group
        # Only group owners connect. If all proxies did so when they start together,
        # they would use up the servers' connection limits.
        self.active = False
        self.supervised = False
        self.synchronous = True
        self.partitioned = False
        self.last_request_at = float("-inf")
        self.primary = known_primary.KnownPrimary()
        self.primary_positions = position_samples.PrimaryPositions()
        self.sample_demand = sample_demand.SampleDemand()
        self.pools_by_id = {}
        self.progress_by_id = {}
        self.removed_replicas = removed_replicas.RemovedReplicas()
        self.sole_copies = sole_copies.SoleCopies()
        self.acknowledged_commits = acknowledged_commits.AcknowledgedCommits()
        self.primary_unreachable_since = None
        self.read_durations = read_durations.ReadDurations()
        self.outstanding_writes = outstanding_writes.OutstandingWrites(loop.clock)
        self.slot_share = slot_shares.SlotShare()
        self.server_load = server_load.ServerLoad(
            random.Random(f"{own_name} {group} load")
        )
        self.tenant_waits = tenant_waits.TenantWaits()
        self._last_tick_at = loop.clock.now()
        self._timer = loop.repeat(loop.clock.now(), self._run_periodic_work)

    # Servers of the group

    def put_server(self, server, previous):
        """Add a server that registered, or update one whose entry changed.

        Parameters
        ----------
        server : catalog.BackendServer
        previous : catalog.BackendServer or None
            The server's entry before the change.
        """
        now = self._loop.clock.now()
        self.removed_replicas.record_registration(server.server_id)
        pool = self.pools_by_id.get(server.server_id)
        restarted = previous is not None and (
            previous.address != server.address
            or previous.started_at_ms != server.started_at_ms
        )
        if pool is not None and restarted:
            self._close_pool(pool)
            pool = None
            self.sole_copies.record_lost_log(now)
        if pool is None:
            pool = server_pool.ServerPool(
                self._loop,
                self._dialect,
                server,
                self._own_name,
                self.quotas.per_process,
                self._schedule_serve_queue,
                self._connect,
            )
            pool.tenant_limit = self.quotas.per_tenant
            self.pools_by_id[server.server_id] = pool
            self.progress_by_id[server.server_id] = position_samples.ReplicaProgress()
        else:
            pool.server = server
        if self.primary.record_registration(server, previous, now):
            self._log_primary_change("registered")
        self._schedule_serve_queue()

    def remove_server(self, server_id):
        """Stop using a server and close its connections."""
        pool = self.pools_by_id.pop(server_id, None)
        self.progress_by_id.pop(server_id, None)
        now = self._loop.clock.now()
        if pool is not None:
            self._close_pool(pool)
            self.sole_copies.record_lost_log(now)
            if not pool.server.registered_as_primary:
                self.removed_replicas.record_removal(server_id, now)
        if self.primary.record_removal(server_id, now):
            self._log_primary_change("removed")

    def _close_pool(self, pool):
        """Close the pool of a server that was removed or has restarted."""
        if self._is_in_other_region(pool):
            self._former_crossing_statements += pool.statement_count
        pool.close()
        self.server_load.remove_server(pool.server.server_id)
        self._removed_pools_counts = connection_leases.ConnectionCounts.total(
            (self._removed_pools_counts, pool.counts)
        )

    def set_limits(self, limits, proxy_count, tenants=None):
        """Set the limits of each server and the connection quotas that follow.

        Parameters
        ----------
        limits : catalog.GroupLimits
        proxy_count : int
            Number of proxies that hold connections to the servers.
        tenants : tenants.TenantDirectory or None
            None in a deployment without tenants.
        """
        self.synchronous = limits.synchronous
        self.quotas = connection_quotas.ConnectionQuotas(
            limits.connections, max(1, proxy_count), tenants is not None
        )
        self._queue.weights_by_tenant = None
        if tenants is not None:
            self._queue.weights_by_tenant = fair_queueing.weights(tenants)
            self.tenant_waits.forget_others(tenants.by_name)
        for pool in self.pools_by_id.values():
            pool.quota = self.quotas.per_process
            pool.tenant_limit = self.quotas.per_tenant

    def close(self):
        """Close all connections."""
        self._timer.cancel()
        for pool in self.pools_by_id.values():
            pool.close()

    def dump(self):
        """Return the state of the group and its servers for operators."""
        return group_dump.describe_group(self, len(self._queue), self._loop.clock.now())

    @property
    def connection_counts(self):
        """Counts of connections to all servers since the start."""
        return connection_leases.ConnectionCounts.total(
            [
                self._removed_pools_counts,
                *(pool.counts for pool in self.pools_by_id.values()),
            ]
        )

    # Queued requests and what they require of a server

    def acquire(self, request):
        """Queue a request for a connection.

        Parameters
        ----------
        request : request_queue.QueuedRequest

        Returns
        -------
        loop.LoopFuture
            Future of a ``connection_leases.ConnectionLease``, or of None when the
            request is refused.
        """
        self.last_request_at = self._loop.clock.now()
        future = LoopFuture()
        request.resolve_lease = future.set_result
        self._queue.add(request)
        self._serve_queue()
        if not future.done() and self._is_overloaded_for(request):
            self._queue.remove(request)
            future.set_result(None)
        return future

    def _is_overloaded_for(self, request):
        """Return whether a request that has just been queued would wait in vain.

        Without a primary the queue does not tell: its requests are served together as
        soon as there is one.
        """
        now = self._loop.clock.now()
        return (
            self._reaches_primary
            and now - request.arrived_at < TICK_INTERVAL_SECONDS
            and not self._queue.has_room_for(request, now)
        )

    @property
    def _reaches_primary(self):
        """Whether the primary is known and answers."""
        return (
            self.primary.server_id is not None
            and self.primary_unreachable_since is None
        )

    @property
    def primary_domain(self):
        """Failure domain of the known primary, or None."""
        pool = self.pools_by_id.get(self.primary.server_id)
        return None if pool is None else pool.server.failure_domain

    @property
    def is_primary_in_other_region(self):
        """Whether the primary is known and in another region."""
        pool = self.pools_by_id.get(self.primary.server_id)
        return pool is not None and self._is_in_other_region(pool)

    @property
    def can_acknowledge_commits(self):
        """Whether a replica that acknowledges commits may be within reach.

        In a partition without one, the other failure domains may promote a server
        that lacks what is committed here.
        """
        return (
            not self.partitioned
            or not self.synchronous
            or self.has_replica_in_own_domain
        )

    @property
    def has_replica_in_own_domain(self):
        """Whether a known replica is in the failure domain of this process."""
        return any(
            pool.server.failure_domain == self._own_domain
            and server_id != self.primary.server_id
            for server_id, pool in self.pools_by_id.items()
        )

    @property
    def elsewhere_answered_at(self):
        """Instant at which a server in another failure domain last answered.

        Infinite if the group has none.
        """
        return reachability.last_answer_elsewhere(
            self._own_domain, self.contacts(self._loop.clock.now())
        )

    def probe_elsewhere(self):
        """Probe the servers in other failure domains."""
        now = self._loop.clock.now()
        for server_id, pool in self.pools_by_id.items():
            if pool.server.failure_domain != self._own_domain:
                self._probes.probe_server(server_id, now)

    def read_requirement(self, fresh_since, own_commit):
        """Return what a read requires of a server.

        Parameters
        ----------
        fresh_since : float
            Instant; the read must see all commits acknowledged before it.
        own_commit : positions.LogPosition or None
            Position of the session's last commit, which the read must see too.

        Returns
        -------
        placement.AtPosition or placement.NotProvable
        """
        now = self._loop.clock.now()
        self.sample_demand.record_read(now - fresh_since, now)
        position = self.primary_positions.required_position(fresh_since, own_commit)
        if position is None:
            return placement.NotProvable()
        return placement.AtPosition(position)

    def removed_with_primary(self, max_age_seconds):
        """Return ids of the replicas that were removed since the primary last answered.

        These replicas may still run on the primary's side of a network partition.

        Parameters
        ----------
        max_age_seconds : float
            Replicas that were removed longer ago are left out.

        Returns
        -------
        list of str
        """
        latest = self.primary_positions.latest_sample
        return self.removed_replicas.removed_since(
            float("-inf") if latest is None else latest.asked_at,
            self._loop.clock.now() - max_age_seconds,
        )

    # Replies of servers

    def record_position(self, connection, reply):
        """Record the log position that a reply states."""
        progress = self.progress_by_id.get(connection.server.server_id)
        if progress is not None:
            progress.record_position(reply.position)

    def confirm_primary(self, connection, asked_at, reply):
        """Record a reply that only a primary gives.

        Parameters
        ----------
        connection : line_connections.LineConnection
        asked_at : float
            Instant before the statement was sent.
        reply : statements.Reply
        """
        server_id = connection.server.server_id
        self.primary_unreachable_since = None
        if self.primary.confirm_primary(server_id, asked_at):
            self._log_primary_change("proved")
        if reply.position is not None and self.primary.server_id == server_id:
            self.primary_positions.add_sample(
                position_samples.PositionSample(asked_at, server_id, reply.position)
            )
            self.sole_copies.record_primary_position(
                server_id, asked_at, reply.position
            )

    def record_unanswered_probe(self, server_id, asked_at):
        """Record that a server did not answer a probe sent at ``asked_at``."""
        if server_id == self.primary.server_id:
            self.primary_unreachable_since = self.primary_unreachable_since or asked_at

    def record_refusal(self, connection, code, required_position=None):
        """Record that a server refused a statement without running it.

        Parameters
        ----------
        connection : line_connections.LineConnection
        code : statements.Code
        required_position : positions.LogPosition or None
            Log position that the statement required.
        """
        now = self._loop.clock.now()
        server_id = connection.server.server_id
        match code:
            case Code.NOT_PRIMARY:
                if self.primary.reject_primary(server_id, now):
                    self._log_primary_change("refused")
            case Code.NOT_CURRENT:
                if server_id in self.progress_by_id:
                    self.progress_by_id[server_id].record_refusal(
                        required_position, now
                    )
                if self.primary.reject_primary(server_id, now):
                    # A primary has every position that was sampled, unless its term
                    # has ended or it has lost its log.
                    self.primary_positions = position_samples.PrimaryPositions()
                    self._log_primary_change("behind")
            case Code.BUSY:
                self._busy_servers.record_refusal(server_id, now)
            case Code.UNKNOWN_STATEMENT:
                connection.names_by_shape.clear()

    def is_primary_unreachable(self, now):
        """Return whether the primary has been unreachable or unknown for too long.

        The limit is ``PRIMARY_UNREACHABLE_SECONDS``. Until it has passed, replicas
        still serve reads by the position samples of the time before.
        """
        no_primary_since = self.primary_unreachable_since
        if self.primary.server_id is None:
            no_primary_since = self.primary.unknown_since
        return (
            no_primary_since is not None
            and now - no_primary_since > REPLICA_READS_WITHOUT_PRIMARY_SECONDS
        )

    # Status of one server

    def ask_status_report(self, server_id, statement, deadline):
        """Send a status or replication statement on an idle connection; a task.

        Parameters
        ----------
        server_id : str
        statement : object
            One of the classes of ``cassiahill.statements``.
        deadline : float
            Instant until which a reply is awaited.

        Returns
        -------
        statements.ServerReport, Code.BUSY or None
            ``Code.BUSY`` when the server or all its connections are busy; None when
            it does not answer.
        """
        pool = self.pools_by_id.get(server_id)
        if pool is None:
            return None
        return (
            yield from server_probes.ask_status_report(
                self._loop, self._dialect, pool, statement, deadline
            )
        )

    def reset_failure_detection(self):
        """Reset the instants since which probes and writes have not been answered."""
        self.primary_unreachable_since = None
        self.outstanding_writes.reset_failure_detection()

    def contacts(self, now):
        """Return a ``reachability.Contact`` for each server."""
        return [
            reachability.Contact(
                pool.server.failure_domain,
                pool.answered_at,
                pool.has_unanswered_requests(now),
            )
            for pool in self.pools_by_id.values()
        ]

    def _is_in_other_region(self, pool):
        return (
            self._regions.distance(pool.server.failure_domain) is Distance.OTHER_REGION
        )

    def crossings(self):
        """Return the ``network_delays.Crossings`` of this process and group."""
        pools = [
            pool for pool in self.pools_by_id.values() if self._is_in_other_region(pool)
        ]
        return network_delays.Crossings(
            self._former_crossing_statements
            + sum(pool.statement_count for pool in pools),
            max((pool.round_trip.seconds or 0.0 for pool in pools), default=0.0),
            max((pool.round_trip.queue_seconds for pool in pools), default=0.0),
        )

    def primary_symptoms(self, now, reported_unreachable_since=None):
        """Return the ``takeover.PrimarySymptoms`` that this process observes.

        Parameters
        ----------
        now : float
        reported_unreachable_since : float or None
            Since when a large fraction of the proxies does not reach the primary.
        """
        server_id = self.primary.server_id
        pool = self.pools_by_id.get(server_id)
        draining = pool is not None and pool.server.draining
        primary_unknown_since = None
        if server_id is None and self.pools_by_id:
            primary_unknown_since = self.primary.unknown_since
        return takeover.PrimarySymptoms(
            primary=server_id,
            draining=draining,
            unreachable_since=self.primary_unreachable_since,
            refuses_connections=pool is not None and pool.refuses_connections,
            primary_unknown_since=primary_unknown_since,
            writes_unacknowledged_since=self.outstanding_writes.unanswered_since,
            reported_unreachable_since=reported_unreachable_since,
        )

    # Serving the queue

    def _schedule_serve_queue(self):
        """Serve the queue in the next turn of the event loop."""
        if not self._serve_scheduled:
            self._serve_scheduled = True
            self._loop.call_soon(self._serve_queue)

    def _serve_queue(self):
        """Hand connections to requests, refuse overdue requests, open connections."""
        self._serve_scheduled = False
        now = self._loop.clock.now()
        self._queue.mark_late(now)
        wanted_connections = collections.Counter()
        expected_loads_by_id = {}
        if len(self._queue):
            expected_loads_by_id = self.candidates.expected_loads(now)
        for request in self._queue:
            if request not in self._queue:
                # A task that this pass has resumed asked for a connection, too.
                continue
            requirement = request.requirement()
            candidates = list(
                self.candidates.servers_for(
                    requirement, request, expected_loads_by_id, now
                )
            )
            choice = placement.choose_server(requirement, candidates)
            if self.partitioned and not placement.may_serve(requirement, candidates):
                self._queue.remove(request)
                request.resolve_lease(None)
            elif choice.server_id is not None:
                self._queue.take(request)
                self._hand_over_connection(
                    request, requirement, self.pools_by_id[choice.server_id], now
                )
            elif choice.open_server_id is not None:
                wanted_connections[choice.open_server_id, request.tenant] += 1
        next_primary_expected_at = self.primary.next_primary_expected_at(
            now, self.primary_unreachable_since, self.partitioned
        )
        for request in self._queue.overdue(
            now, next_primary_expected_at, _needs_primary
        ):
            if request not in self._queue:
                continue
            self._queue.remove(request)
            if self._reaches_primary:
                self._queue.record_starved(request)
            self.tenant_waits.record(request.tenant, now - request.arrived_at, now)
            request.resolve_lease(None)
        self._open_connections(wanted_connections, now)

    def _open_connections(self, wanted_connections, now):
        """Open the connections that are wanted, and one to each server without any.

        Parameters
        ----------
        wanted_connections : collections.Counter
            Number of queued requests by the server's id and the tenant.
        now : float
        """
        wanted_server_ids = {server_id for server_id, _ in wanted_connections}
        if self.active:
            for server_id, pool in self.pools_by_id.items():
                if not pool.connection_count and server_id not in wanted_server_ids:
                    wanted_connections[server_id, None] = 1
        waiting_tenants = self._queue.waiting_tenants() if wanted_connections else ()
        for (server_id, tenant), wanted_count in wanted_connections.items():
            pool = self.pools_by_id.get(server_id)
            if pool is not None:
                pool.open_if_needed(wanted_count, now, tenant, waiting_tenants)

    def _hand_over_connection(self, request, requirement, pool, now):
        """Settle a request with an idle connection of a pool."""
        connection = pool.acquire(request.values_by_name, now, request.tenant)
        self.tenant_waits.record(request.tenant, now - request.arrived_at, now)
        required_position = (
            requirement.position
            if isinstance(requirement, placement.AtPosition)
            else None
        )
        request.resolve_lease(
            connection_leases.ConnectionLease(connection, pool, required_position)
        )

    def withdraw(self, request_id):
        """Remove a queued request whose client has disconnected."""
        for request in self._queue:
            if request.request_id == request_id:
                self._queue.remove(request)
                request.resolve_lease(None)

    # Periodic work

    def _run_periodic_work(self):
        """Serve the queue, close idle connections, send probes."""
        now = self._loop.clock.now()
        if now - self._last_tick_at > MAX_TICK_GAP_SECONDS:
            # This process was suspended and could not receive answers, so missing
            # answers do not show that a server is unreachable.
            self.reset_failure_detection()
            for pool in self.pools_by_id.values():
                pool.record_contact(now)
        running_count = sum(
            pool.running_statements for pool in self.pools_by_id.values()
        )
        elapsed_seconds = now - self._last_tick_at
        self.slot_share.record_statements(
            len(self._queue) + running_count, elapsed_seconds
        )
        self.server_load.record_primary_only(
            sum(map(_needs_primary, self._queue))
            + sum(pool.primary_only_statements for pool in self.pools_by_id.values()),
            elapsed_seconds,
        )
        self._last_tick_at = now
        self._serve_queue()
        for pool in self.pools_by_id.values():
            pool.close_idle_connections(now, MIN_IDLE_CONNECTIONS if self.active else 0)
        if self.active:
            self._probes.send_due_probes(now)
        return now + TICK_INTERVAL_SECONDS

    def _log_primary_change(self, source):
        """Log the new known primary and forget the failure symptoms of the last one."""
        self.reset_failure_detection()
        latest = self.primary_positions.latest_sample
        event_log.event(
            "primary_changed",
            group=self.name,
            primary=self.primary.server_id,
            source=source,
            proof=None if latest is None else str(latest.position),
        )


def _needs_primary(request):
    """Return whether a request needs the primary, to run it or to sample a position."""
    return isinstance(
        request.requirement(), placement.OnPrimary | placement.NotProvable
    )
