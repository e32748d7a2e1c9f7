"""The servers of a group that may take a request, as candidates for its placement."""

from cassiahill import network_delays, placement, server_load

# Statements beyond the limit that the most urgent requests may have at a server.
# They do not wait for a statement of a less urgent request to end.
URGENT_STATEMENTS = 1
MOST_URGENT_PRIORITY = 0
# Time for which a draining primary gets new requests. Its process stays up for much
# longer.
DRAINING_PRIMARY_SERVICE_SECONDS = 5.0


class ServerCandidates:
    """Describes the servers of one group to ``placement``.

    Parameters
    ----------
    group : server_group.ServerGroup
    own_domain : str
        Failure domain of this process.
    draining_since : callable
        Takes a server id and returns the instant since which that server is known to
        drain, or None.
    busy_servers : busy_servers.BusyServers
    regions : regions.Regions
    """

    def __init__(self, group, own_domain, draining_since, busy_servers, regions):
        self._group = group
        self._servers = group.servers
        self._own_domain = own_domain
        self._draining_since = draining_since
        self._busy_servers = busy_servers
        self._regions = regions

    def _statement_limit(self, server, now):
        """Return how many statements this process may have running at a server."""
        return self._group.slot_share.statement_limit(
            server.slots, self._servers.quotas.proxy_count, now
        )

    def expected_loads(self, now):
        """Return the ``server_load.ExpectedLoad`` of each server, by its id."""
        return self._group.server_load.expected(
            {
                server_id: max(1, pool.server.slots)
                for server_id, pool in self._group.pools_by_id.items()
            },
            self._group.primary.server_id,
            self._group.slot_share,
            now,
        )

    def load_spread(self, now):
        """Return the highest expected level of the servers divided by the mean."""
        loads_by_id = self.expected_loads(now)
        return server_load.load_spread(
            {
                server_id: (
                    pool.running_statements + loads_by_id[server_id].other_statements
                )
                / max(1, pool.server.slots)
                for server_id, pool in self._group.pools_by_id.items()
            }
        )

    def servers_for(self, requirement, request, expected_loads_by_id, now):
        """Yield a ``ServerCandidate`` for each server that takes the request.

        In a partition these are the servers of the own failure domain only.
        """
        reserved_statements = (
            URGENT_STATEMENTS if request.priority == MOST_URGENT_PRIORITY else 0
        )
        for server_id, pool in self._group.pools_by_id.items():
            is_primary = server_id == self._group.primary.server_id
            same_domain = pool.server.failure_domain == self._own_domain
            if not self._accepts_requests(pool, is_primary, now) or (
                self._group.partitioned and not same_domain
            ):
                continue
            position = (
                requirement.position
                if isinstance(requirement, placement.AtPosition)
                else None
            )
            yield placement.ServerCandidate(
                server_id=server_id,
                is_primary=is_primary,
                has_connection=pool.idle_count_for(request.tenant) > 0,
                has_slot=pool.running_statements
                < self._statement_limit(pool.server, now) + reserved_statements
                and not self._busy_servers.is_paused(server_id, now),
                may_have_position=position is None
                or self._servers.progress_by_id[server_id].may_have_position(
                    position, now
                ),
                latency_seconds=expected_loads_by_id[server_id].latency_seconds,
                running_statements=pool.running_statements,
                network_seconds=network_delays.network_seconds(
                    self._regions.distance(pool.server.failure_domain),
                    pool.round_trip.seconds,
                ),
                may_be_unreachable=server_id in request.failed_server_ids
                or pool.may_be_unreachable(now),
                opening=pool.opening_for(request.tenant, now),
                other_statements=expected_loads_by_id[server_id].other_statements,
            )

    def _accepts_requests(self, pool, is_primary, now):
        """Return whether a server, which may be draining, gets new requests."""
        if not pool.server.draining:
            return True
        draining_since = self._draining_since(pool.server.server_id)
        return (
            is_primary
            and now - (draining_since or now) < DRAINING_PRIMARY_SERVICE_SECONDS
        )
