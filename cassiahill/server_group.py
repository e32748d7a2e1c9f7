"""Connections, request queue and known state of one group of backend servers.

The state consists of the known primary, its position samples and the replicas' log
positions. Requests get a connection to a server that meets their requirement.
"""

import random

from cassiahill import (
    acknowledged_commits,
    busy_servers,
    commit_witnesses,
    connection_quotas,
    group_dump,
    group_servers,
    line_connections,
    outstanding_writes,
    placement,
    primary_symptoms,
    queue_service,
    read_durations,
    removed_replicas,
    sample_demand,
    server_candidates,
    server_load,
    server_probes,
    server_replies,
    slot_shares,
    sole_copies,
    statements,
    tenant_waits,
)
from cassiahill.regions import Regions
from cassiahill.statements import Code

MAX_TICK_GAP_SECONDS = 0.3  # A longer gap between ticks means a suspended process.
# Connections to keep open without requests. One saves a request the time to open it;
# more would take connections from other proxies.
MIN_IDLE_CONNECTIONS = 1


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
    servers : group_servers.GroupServers
    pools_by_id : dict
        ``server_pool.ServerPool`` by server id.
    outstanding_writes : outstanding_writes.OutstandingWrites
    read_durations : read_durations.ReadDurations
    removed_replicas : removed_replicas.RemovedReplicas
    sole_copies : sole_copies.SoleCopies
    acknowledged_commits : acknowledged_commits.AcknowledgedCommits
    commit_witnesses : commit_witnesses.CommitWitnesses or None
        None in a process without a promoter: nothing is promoted then.
    replies : server_replies.ServerReplies
    candidates : server_candidates.ServerCandidates
    probes : server_probes.ServerProbes
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
        regions = regions or Regions(own_domain)
        self._queue_service = queue_service.QueueService(loop, self)
        self.servers = group_servers.GroupServers(
            loop,
            dialect,
            own_name,
            own_domain,
            regions,
            connect,
            self._queue_service.schedule,
        )
        rng = random.Random(f"{own_name} {group}")
        paused_servers = busy_servers.BusyServers(rng)
        self.replies = server_replies.ServerReplies(loop, self, paused_servers)
        self.candidates = server_candidates.ServerCandidates(
            self, own_domain, draining_since, paused_servers, regions
        )
        self.probes = server_probes.ServerProbes(loop, self)
        self.name = group
        # Only group owners connect. If all proxies did so when they start together,
        # they would use up the servers' connection limits.
        self.active = False
        self.supervised = False
        self.synchronous = True
        self.partitioned = False
        self.last_request_at = float("-inf")
        self.primary = self.replies.primary
        self.primary_positions = self.replies.primary_positions
        self.sample_demand = sample_demand.SampleDemand()
        self.pools_by_id = self.servers.pools_by_id
        self.removed_replicas = removed_replicas.RemovedReplicas()
        self.sole_copies = sole_copies.SoleCopies()
        self.acknowledged_commits = acknowledged_commits.AcknowledgedCommits()
        self.commit_witnesses = None
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
        restarted = previous is not None and (
            previous.address != server.address
            or previous.started_at_ms != server.started_at_ms
        )
        if self.servers.put_server(server, restarted):
            self.server_load.remove_server(server.server_id)
            self.sole_copies.record_lost_log(now)
        self.replies.record_registration(server, previous)
        self._queue_service.schedule()

    def remove_server(self, server_id):
        """Stop using a server and close its connections."""
        now = self._loop.clock.now()
        server = self.servers.remove_server(server_id)
        if server is not None:
            self.server_load.remove_server(server_id)
            self.sole_copies.record_lost_log(now)
            if not server.registered_as_primary:
                self.removed_replicas.record_removal(server_id, now)
        self.replies.record_removal(server_id)

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
        self.servers.set_quotas(
            connection_quotas.ConnectionQuotas(
                limits.connections, max(1, proxy_count), tenants is not None
            )
        )
        self._queue_service.set_tenants(tenants)
        if tenants is not None:
            self.tenant_waits.forget_others(tenants.by_name)

    def close(self):
        """Close all connections."""
        self._timer.cancel()
        self.servers.close()

    def dump(self):
        """Return the state of the group and its servers for operators."""
        return group_dump.describe_group(
            self, len(self._queue_service), self._loop.clock.now()
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
        return self._queue_service.acquire(request)

    def withdraw(self, request_id):
        """Remove a queued request whose client has disconnected."""
        self._queue_service.withdraw(request_id)

    @property
    def primary_domain(self):
        """Failure domain of the known primary, or None."""
        pool = self.pools_by_id.get(self.primary.server_id)
        return None if pool is None else pool.server.failure_domain

    @property
    def can_acknowledge_commits(self):
        """Whether a replica that acknowledges commits may be within reach.

        In a partition without one, the other failure domains may promote a server
        that lacks what is committed here. Nor can a commit be passed on to the client
        without a replica that proves it.
        """
        if not self.synchronous:
            return True
        if self.is_partitioned_from_replicas:
            return False
        return self.commit_witnesses is None or bool(
            self.commit_witnesses.usable_ids(
                self.primary.server_id, self._loop.clock.now()
            )
        )

    def start_proving_commits(self):
        """Pass commits on only if a replica proves that a promotion keeps them."""
        self.commit_witnesses = commit_witnesses.CommitWitnesses(self.pools_by_id)

    @property
    def is_partitioned_from_replicas(self):
        """Whether no known replica is on this process's side of a partition."""
        return self.partitioned and not self.has_replica_in_own_domain

    @property
    def has_replica_in_own_domain(self):
        """Whether a known replica is in the failure domain of this process."""
        return any(
            server_id != self.primary.server_id
            for server_id in self.servers.ids_in_own_domain()
        )

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
        return list(self.removed_seconds_by_id(max_age_seconds))

    def removed_seconds_by_id(self, max_age_seconds):
        """Return for how long the replicas of ``removed_with_primary`` are removed.

        Returns
        -------
        dict of str to float
            Seconds, by server id.
        """
        now = self._loop.clock.now()
        removed_at_by_id = self.removed_replicas.removed_at_by_id(
            self.primary_answered_at, now - max_age_seconds
        )
        return {
            server_id: now - removed_at
            for server_id, removed_at in removed_at_by_id.items()
        }

    def absent_ids(self, listed_since):
        """Return the ids of servers whose entries are all that there is of them.

        Parameters
        ----------
        listed_since : float
            See ``server_absence.ServerAbsence.is_certain``.
        """
        now = self._loop.clock.now()
        return {
            server_id
            for server_id, pool in self.pools_by_id.items()
            if pool.absence.is_certain(now, listed_since)
        }

    @property
    def primary_answered_at(self):
        """Instant at which the last question was sent that a primary has answered."""
        latest = self.primary_positions.latest_sample
        return float("-inf") if latest is None else latest.asked_at

    def confirm_primary(self, connection, asked_at, reply):
        """Record a reply that only a primary gives; see ``ServerReplies``."""
        self.replies.confirm_primary(connection, asked_at, reply)

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

    def ask_witness(self, server_id, deadline):
        """Ask a replica for a status that proves commits; a task.

        Returns as ``ask_status_report`` does, ``Code.BUSY`` also if no connection that
        proves commits is idle.
        """
        now = self._loop.clock.now()
        connection = self.commit_witnesses.acquire(server_id, now)
        if connection is None:
            return Code.BUSY
        return (
            yield from server_probes.ask_on(
                self._loop,
                self._dialect,
                self.pools_by_id[server_id],
                connection,
                statements.ReadStatus(),
                deadline,
            )
        )

    def primary_symptoms(self, now, reported_unreachable_since=None):
        """Return the ``primary_symptoms.PrimarySymptoms`` that this process observes.

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
        return primary_symptoms.PrimarySymptoms(
            primary=server_id,
            draining=draining,
            unreachable_since=self.replies.primary_unreachable_since,
            refuses_connections=pool is not None and pool.refuses_connections,
            primary_unknown_since=primary_unknown_since,
            writes_unacknowledged_since=self.outstanding_writes.unanswered_since,
            reported_unreachable_since=reported_unreachable_since,
        )

    # Periodic work

    def _run_periodic_work(self):
        """Serve the queue, close idle connections, send probes."""
        now = self._loop.clock.now()
        if now - self._last_tick_at > MAX_TICK_GAP_SECONDS:
            # This process was suspended and could not receive answers, so missing
            # answers do not show that a server is unreachable.
            self.replies.reset_failure_detection()
            for pool in self.pools_by_id.values():
                pool.record_contact(now)
        running_count = sum(
            pool.running_statements for pool in self.pools_by_id.values()
        )
        elapsed_seconds = now - self._last_tick_at
        self.slot_share.record_statements(
            len(self._queue_service) + running_count, elapsed_seconds
        )
        self.server_load.record_primary_only(
            self._queue_service.primary_only_count()
            + sum(pool.primary_only_statements for pool in self.pools_by_id.values()),
            elapsed_seconds,
        )
        self._last_tick_at = now
        self._queue_service.serve()
        for pool in self.pools_by_id.values():
            pool.close_idle_connections(now, MIN_IDLE_CONNECTIONS if self.active else 0)
        if self.active:
            self.probes.send_due_probes(now)
        return now + queue_service.SERVE_INTERVAL_SECONDS
