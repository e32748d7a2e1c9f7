"""Deletion of expired idempotency keys at the primaries that this process owns."""

from cassiahill import errors, messages, outcomes
from cassiahill.request_context import RequestContext

EXPIRY_INTERVAL_SECONDS = 600.0  # Time between two passes over the groups.
BATCH_TIMEOUT_SECONDS = 5.0
MAX_BATCHES = 100  # Each pass deletes up to 20,000 keys of a group.


def delete_expired_keys(loop, topology, own_gateway, wall_clock):
    """Delete expired idempotency keys in each interval; a task without end.

    Parameters
    ----------
    loop : loop.EventLoop
    topology : topology.Topology
    own_gateway : gateway.Gateway
    wall_clock : callable
        Returns Unix time in seconds.
    """
    while True:
        yield loop.sleep_until(loop.clock.now() + EXPIRY_INTERVAL_SECONDS)
        for monitor in list(topology.monitors_by_group.values()):
            if monitor.view.primary and own_gateway.owns_server(monitor.view.primary):
                yield from _delete_keys_of_group(
                    loop, monitor.view, own_gateway, wall_clock
                )


def _delete_keys_of_group(loop, view, own_gateway, wall_clock):
    for _ in range(MAX_BATCHES):
        deadline = loop.clock.now() + BATCH_TIMEOUT_SECONDS
        request_context = RequestContext(
            messages.Rank.ROUTINE, "housekeeping", deadline
        )
        batch = outcomes.delete_expired_keys_batch(
            view.term, wall_clock(), BATCH_TIMEOUT_SECONDS
        )
        try:
            result = yield from own_gateway.submit(
                view.primary, request_context, batch, False
            )
        except errors.CassiahillError:
            return  # The table may be missing; the next pass tries again.
        if result.results[0].row_count < outcomes.MAX_DELETED_KEYS:
            return
