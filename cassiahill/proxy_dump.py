"""State and gauges of a session proxy, as operators see them."""

from cassiahill import connection_leases, event_log


def describe_proxy(proxy, now):
    """Return the state of a process as a dump of plain values.

    Parameters
    ----------
    proxy : session_proxy.SessionProxy
    now : float

    Returns
    -------
    dict
    """
    version, revision = proxy.catalog_feed.versions
    return {
        "name": proxy.settings.name,
        "ready": proxy.ready,
        "configuration": version,
        "servers_revision": revision.number,
        "servers_era": revision.era,
        "store_era": proxy.store.era,
        "store_is_away": proxy.catalog_feed.is_store_unreachable,
        "configuration_age": proxy.configuration_age.state_proof(now).age_seconds,
        "sessions": len(proxy.sessions),
        "busy_sessions": proxy.sessions.busy_count,
        "fleet": proxy.fleet.dump(),
        "rates": proxy.rate_limits.dump(now),
        "rate_pot": proxy.rate_exchange.dump_pot(now),
        "groups": {name: group.dump() for name, group in proxy.groups_by_name.items()},
    }


def gauge_values(proxy, now):
    """Return the gauges of a process by name.

    Parameters
    ----------
    proxy : session_proxy.SessionProxy
    now : float

    Returns
    -------
    dict of str to float
    """
    groups = proxy.groups_by_name.values()
    crossings = [group.servers.crossings() for group in groups]
    connections = connection_leases.ConnectionCounts.total(
        group.servers.connection_counts for group in groups
    )
    values = {
        "open_sessions": len(proxy.sessions),
        "busy_sessions": proxy.sessions.busy_count,
        "configuration_version": proxy.catalog_feed.versions[0],
        "promoter": int(proxy.fleet.election.is_promoter),
        "store_away": int(proxy.catalog_feed.is_store_unreachable),
        "store_era": proxy.store.era,
        "store_calls": proxy.store.call_count,
        "store_calls_failed": proxy.store.failed_call_count,
        "operations_admitted": proxy.rate_limits.admitted_count,
        "operations_rate_limited": proxy.rate_limits.refused_count,
        "log_lines_dropped": event_log.dropped_lines(),
        "heartbeats_to_other_regions": proxy.fleet.heartbeats_to_other_regions,
        "sessions_relayed_to_other_regions": proxy.owners.relays_to_other_regions,
        "statements_to_other_regions": sum(
            crossing.statement_count for crossing in crossings
        ),
        "server_load_spread": max(
            (
                group.candidates.load_spread(now)
                for group in groups
                if group.active and group.pools_by_id
            ),
            default=1.0,
        ),
        "other_region_round_trip_seconds": max(
            (crossing.round_trip_seconds for crossing in crossings), default=0.0
        ),
        "other_region_queue_seconds": max(
            (crossing.queue_seconds for crossing in crossings), default=0.0
        ),
        "connections_opened": connections.opened,
        "connections_refused": connections.refused,
        "connections_given_up": connections.given_up,
    }
    if proxy.configuration_age.is_required:
        age_seconds = proxy.configuration_age.age(now)
        values["configuration_age_seconds"] = age_seconds
    return values
