"""Background work at the primaries that this process owns."""

from cassiahill import errors, messages, outcomes
from cassiahill.request_context import RequestContext

INTERVAL = 600.0  # seconds between two clean-ups of a group
BATCH_TIMEOUT = 5.0
MAX_BATCHES = 100  # 20,000 keys of each group per clean-up


def drop_old_keys(loop, topology, own_gateway, wall_clock):
    """Drop the idempotency keys that are past their time; a task without end.

    Parameters
    ----------
    loop : loop.EventLoop
    topology : topology.Topology
    own_gateway : gateway.Gateway
    wall_clock : callable
        Returns Unix time in seconds.
    """
    while True:
        yield loop.sleep_until(loop.clock.now() + INTERVAL)
        for monitor in list(topology.monitors_by_group.values()):
            if monitor.view.primary and own_gateway.owns(monitor.view.primary):
                yield from _drop(loop, monitor.view, own_gateway, wall_clock)


def _drop(loop, view, own_gateway, wall_clock):
    for _ in range(MAX_BATCHES):
        deadline = loop.clock.now() + BATCH_TIMEOUT
        request_context = RequestContext(
            messages.Rank.ROUTINE, "housekeeping", deadline
        )
        batch = outcomes.delete_expired_keys_batch(
            view.term, wall_clock(), BATCH_TIMEOUT
        )
        try:
            result = yield from own_gateway.submit(
                view.primary, request_context, batch, False
            )
        except errors.CassiahillError:
            return  # The table may be missing; the next clean-up tries again.
        if result.results[0].row_count < outcomes.MAX_DELETED_KEYS:
            return
