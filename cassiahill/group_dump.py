"""State of a group and its servers, as operators see it."""

import attrs


def describe_group(group, waiting_count, now):
    """Return the state of a group as a dump.

    Parameters
    ----------
    group : server_group.ServerGroup
    waiting_count : int
        Number of queued requests.
    now : float

    Returns
    -------
    dict
    """
    expected_loads_by_id = group.candidates.expected_loads(now)
    latest = group.primary_positions.latest_sample
    return {
        "primary": group.primary.server_id,
        "proof": None if latest is None else str(latest.position),
        "proof_age": None if latest is None else now - latest.asked_at,
        "waiting": waiting_count,
        "demand": group.slot_share.demand,
        "total_demand": group.slot_share.total_demand,
        "load_spread": group.candidates.load_spread(now),
        "connections": attrs.asdict(group.servers.connection_counts),
        "tenants_waiting_most": group.tenant_waits.dump(now),
        "servers": {
            server_id: describe_server(
                pool,
                group.servers.progress_by_id[server_id],
                expected_loads_by_id[server_id],
            )
            for server_id, pool in group.pools_by_id.items()
        },
    }


def describe_server(pool, progress, expected_load):
    """Return the state of one server and its pool as a dump."""
    return {
        "connections": pool.connection_count,
        "idle": pool.idle_count,
        "running": pool.running_statements,
        "expected_of_others": expected_load.other_statements,
        "slowness": expected_load.slowness,
        "latency": pool.latency_seconds,
        "position": str(progress.position),
        "draining": pool.server.draining,
        "round_trip": pool.round_trip.seconds,
        **attrs.asdict(pool.counts),
    }
