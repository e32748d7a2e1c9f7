"""Hands the connections of a group's servers to the requests that wait for one."""

import collections

from cassiahill import connection_leases, fair_queueing, placement, request_queue
from cassiahill.loop import LoopFuture

# Time between passes over the queue while nothing else causes one.
SERVE_INTERVAL_SECONDS = 0.02


class QueueService:
    """Serves the queued requests of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    """

    def __init__(self, loop, group):
        self._loop = loop
        self._group = group
        self._queue = request_queue.RequestQueue()
        self._serve_scheduled = False

    def __len__(self):
        return len(self._queue)

    def primary_only_count(self):
        """Return how many queued requests need the primary."""
        return sum(map(_needs_primary, self._queue))

    def set_tenants(self, tenants):
        """Set the tenants whose requests are served by their weights.

        Parameters
        ----------
        tenants : tenants.TenantDirectory or None
            None in a deployment without tenants.
        """
        self._queue.weights_by_tenant = None
        if tenants is not None:
            self._queue.weights_by_tenant = fair_queueing.weights(tenants)

    def acquire(self, request):
        """Queue a request for a connection; see ``ServerGroup.acquire``."""
        future = LoopFuture()
        request.resolve_lease = future.set_result
        self._queue.add(request)
        self.serve()
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
            self._group.replies.reaches_primary
            and now - request.arrived_at < SERVE_INTERVAL_SECONDS
            and not self._queue.has_room_for(request, now)
        )

    def withdraw(self, request_id):
        """Remove a queued request whose client has disconnected."""
        for request in self._queue:
            if request.request_id == request_id:
                self._queue.remove(request)
                request.resolve_lease(None)

    def schedule(self):
        """Serve the queue in the next turn of the event loop."""
        if not self._serve_scheduled:
            self._serve_scheduled = True
            self._loop.call_soon(self.serve)

    def serve(self):
        """Hand connections to requests, refuse overdue requests, open connections."""
        self._serve_scheduled = False
        group = self._group
        now = self._loop.clock.now()
        self._queue.mark_late(now)
        wanted_connections = collections.Counter()
        expected_loads_by_id = {}
        if len(self._queue):
            expected_loads_by_id = group.candidates.expected_loads(now)
        for request in self._queue:
            if request not in self._queue:
                # A task that this pass has resumed asked for a connection, too.
                continue
            requirement = request.requirement()
            candidates = list(
                group.candidates.servers_for(
                    requirement, request, expected_loads_by_id, now
                )
            )
            choice = placement.choose_server(requirement, candidates)
            if group.partitioned and not placement.may_serve(requirement, candidates):
                self._queue.remove(request)
                request.resolve_lease(None)
            elif choice.server_id is not None:
                self._queue.take(request)
                self._hand_over_connection(
                    request, requirement, group.pools_by_id[choice.server_id], now
                )
            elif choice.open_server_id is not None:
                wanted_connections[choice.open_server_id, request.tenant] += 1
        self._refuse_overdue(now)
        self._open_connections(wanted_connections, now)

    def _hand_over_connection(self, request, requirement, pool, now):
        """Settle a request with an idle connection of a pool."""
        connection = pool.acquire(request.values_by_name, now, request.tenant)
        self._group.tenant_waits.record(request.tenant, now - request.arrived_at, now)
        required_position = (
            requirement.position
            if isinstance(requirement, placement.AtPosition)
            else None
        )
        request.resolve_lease(
            connection_leases.ConnectionLease(connection, pool, required_position)
        )

    def _refuse_overdue(self, now):
        """Refuse the requests that cannot be served in time."""
        group = self._group
        next_primary_expected_at = group.primary.next_primary_expected_at(
            now, group.replies.primary_unreachable_since, group.partitioned
        )
        for request in self._queue.overdue(
            now, next_primary_expected_at, _needs_primary
        ):
            if request not in self._queue:
                continue
            self._queue.remove(request)
            if group.replies.reaches_primary:
                self._queue.record_starved(request)
            group.tenant_waits.record(request.tenant, now - request.arrived_at, now)
            request.resolve_lease(None)

    def _open_connections(self, wanted_connections, now):
        """Open the connections that are wanted, and one to each server without any.

        Parameters
        ----------
        wanted_connections : collections.Counter
            Number of queued requests by the server's id and the tenant.
        now : float
        """
        pools_by_id = self._group.pools_by_id
        wanted_server_ids = {server_id for server_id, _ in wanted_connections}
        if self._group.active:
            for server_id, pool in pools_by_id.items():
                if not pool.connection_count and server_id not in wanted_server_ids:
                    wanted_connections[server_id, None] = 1
        waiting_tenants = self._queue.waiting_tenants() if wanted_connections else ()
        for (server_id, tenant), wanted_count in wanted_connections.items():
            pool = pools_by_id.get(server_id)
            if pool is not None:
                pool.open_if_needed(wanted_count, now, tenant, waiting_tenants)


def _needs_primary(request):
    """Return whether a request needs the primary, to run it or to sample a position."""
    return isinstance(
        request.requirement(), placement.OnPrimary | placement.NotProvable
    )
