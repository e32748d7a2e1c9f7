"""The servers of one group and this process's connections to them."""

from cassiahill import (
    connection_leases,
    connection_quotas,
    network_delays,
    position_samples,
    reachability,
    server_pool,
)
from cassiahill.regions import Distance


class GroupServers:
    """Pools of connections to the servers of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    own_name, own_domain : str
        Name and failure domain of this process.
    regions : regions.Regions
    connect : callable
        Opens a connection to a server; see ``server_pool.ServerPool``.
    on_change : callable
        Called when a connection may be had or opened; see ``server_pool.ServerPool``.

    Attributes
    ----------
    pools_by_id : dict
        ``server_pool.ServerPool`` by server id.
    progress_by_id : dict
        ``position_samples.ReplicaProgress`` by server id.
    quotas : connection_quotas.ConnectionQuotas
    """

    def __init__(
        self, loop, dialect, own_name, own_domain, regions, connect, on_change
    ):
        self._loop = loop
        self._dialect = dialect
        self._own_name = own_name
        self._own_domain = own_domain
        self._regions = regions
        self._connect = connect
        self._on_change = on_change
        self._closed_pools_counts = connection_leases.ConnectionCounts()
        self._former_crossing_statements = 0
        self.pools_by_id = {}
        self.progress_by_id = {}
        self.quotas = connection_quotas.ConnectionQuotas()

    def put_server(self, server, restarted):
        """Add a server, or update the entry of one that is known.

        Parameters
        ----------
        server : catalog.BackendServer
        restarted : bool
            Whether the server has restarted since its last entry.

        Returns
        -------
        bool
            Whether the connections to a former process of the server were closed.
        """
        pool = self.pools_by_id.get(server.server_id)
        if pool is not None and not restarted:
            pool.server = server
            return False
        if pool is not None:
            self._close_pool(pool)
        self._add_pool(server)
        return pool is not None

    def _add_pool(self, server):
        """Add a pool without connections, in the place of a former one."""
        pool = server_pool.ServerPool(
            self._loop,
            self._dialect,
            server,
            self._own_name,
            self.quotas.per_process,
            self._on_change,
            self._connect,
        )
        pool.tenant_limit = self.quotas.per_tenant
        self.pools_by_id[server.server_id] = pool
        self.progress_by_id[server.server_id] = position_samples.ReplicaProgress()

    def remove_server(self, server_id):
        """Close a server's connections; return its last entry, or None if unknown."""
        pool = self.pools_by_id.pop(server_id, None)
        self.progress_by_id.pop(server_id, None)
        if pool is None:
            return None
        self._close_pool(pool)
        return pool.server

    def _close_pool(self, pool):
        """Close the pool of a server that was removed or has restarted."""
        if self._is_pool_in_other_region(pool):
            self._former_crossing_statements += pool.statement_count
        pool.close()
        self._closed_pools_counts = connection_leases.ConnectionCounts.total(
            (self._closed_pools_counts, pool.counts)
        )

    def set_quotas(self, quotas):
        """Set how many connections the pools may keep."""
        self.quotas = quotas
        for pool in self.pools_by_id.values():
            pool.quota = quotas.per_process
            pool.tenant_limit = quotas.per_tenant

    def close(self):
        """Close all connections."""
        for pool in self.pools_by_id.values():
            pool.close()

    @property
    def connection_counts(self):
        """Counts of connections to all servers since the start."""
        return connection_leases.ConnectionCounts.total(
            [
                self._closed_pools_counts,
                *(pool.counts for pool in self.pools_by_id.values()),
            ]
        )

    def ids_in_own_domain(self):
        """Return the ids of the servers in the failure domain of this process."""
        return [
            server_id
            for server_id, pool in self.pools_by_id.items()
            if pool.server.failure_domain == self._own_domain
        ]

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

    def is_in_other_region(self, server_id):
        """Return whether a server is known and in another region."""
        pool = self.pools_by_id.get(server_id)
        return pool is not None and self._is_pool_in_other_region(pool)

    def _is_pool_in_other_region(self, pool):
        return (
            self._regions.distance(pool.server.failure_domain) is Distance.OTHER_REGION
        )

    def crossings(self):
        """Return the ``network_delays.Crossings`` of this process and group."""
        pools = [
            pool
            for pool in self.pools_by_id.values()
            if self._is_pool_in_other_region(pool)
        ]
        return network_delays.Crossings(
            self._former_crossing_statements
            + sum(pool.statement_count for pool in pools),
            max((pool.round_trip.seconds or 0.0 for pool in pools), default=0.0),
            max((pool.round_trip.queue_seconds for pool in pools), default=0.0),
        )
