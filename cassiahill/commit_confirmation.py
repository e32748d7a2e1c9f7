"""Holds back an acknowledged commit until a partition can be ruled out.

A partition is noticed only after a while. Until then a replica that starts on the
primary's side may acknowledge a commit which the other side, that does not know this
replica, loses by a promotion. So the client is told of a commit only if a server in
another failure domain has answered recently, or answers after the acknowledgement.
A replica must prove that a promotion would keep the commit, whether this process knows
of one or not.
"""

from cassiahill import announced_promotion, statements
from cassiahill.reachability import DOMAIN_UNREACHABLE_SECONDS

# A commit that is acknowledged within this time after a cut has begun may be lost.
RECENT_ANSWER_SECONDS = 0.1
# Longer than a partition that has begun before can stay unnoticed.
MAX_HOLD_SECONDS = DOMAIN_UNREACHABLE_SECONDS + 0.2
POLL_INTERVAL_SECONDS = 0.005
STATUS_TIMEOUT_SECONDS = 0.15


def confirm_commit(loop, group, server_id, position, deadline):
    """Wait until it is known whether a commit may be lost; a task.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
        The group whose primary has just acknowledged the commit.
    server_id : str
        This primary.
    position : positions.LogPosition or None
        Position that it stated.
    deadline : float
        Instant at which the client's statement times out.

    Returns
    -------
    bool
        Whether the client may be told of the commit.
    """
    if not group.synchronous:
        return True
    if group.commit_witnesses is not None:
        return (yield from _prove(loop, group, server_id, position, deadline))
    if not (yield from _rule_out_partition(loop, group, deadline)):
        return False
    return (
        yield from _confirm_at_successor(loop, group, server_id, position, deadline)
    )


def _rule_out_partition(loop, group, deadline):
    """Return whether no partition has begun around the primary; a task."""
    acknowledged_at = loop.clock.now()
    if group.has_replica_in_own_domain or not group.synchronous:
        return True
    if group.servers.elsewhere_answered_at > acknowledged_at - RECENT_ANSWER_SECONDS:
        return True
    group.probes.probe_elsewhere(acknowledged_at)
    hold_until = acknowledged_at + MAX_HOLD_SECONDS
    while loop.clock.now() < min(deadline, hold_until):
        if group.servers.elsewhere_answered_at > acknowledged_at:
            return True
        if group.partitioned:
            return False
        yield loop.sleep_until(loop.clock.now() + POLL_INTERVAL_SECONDS)
    return loop.clock.now() < deadline


def _prove(loop, group, server_id, position, deadline):
    """Return whether a replica proves that a promotion keeps a commit; a task.

    See ``commit_witnesses``.
    """
    if position is None:
        return True
    while loop.clock.now() < deadline:
        is_proved = yield from _ask_witnesses(
            loop, group, server_id, position, deadline
        )
        if is_proved is not False:
            return is_proved is True
        yield loop.sleep_until(loop.clock.now() + POLL_INTERVAL_SECONDS)
    return False


def _ask_witnesses(loop, group, server_id, position, deadline):
    """Return whether a replica proves a commit; None if none can any more; a task.

    A server that has acknowledged the commit and has stepped down since proves nothing.
    """
    now = loop.clock.now()
    status_deadline = min(deadline, now + STATUS_TIMEOUT_SECONDS)
    witnesses = group.commit_witnesses
    if witnesses.proves(position):
        return True
    witnesses.ask_for_connections(server_id, now)
    for replica_id in witnesses.usable_ids(server_id, now):
        report = yield from group.ask_witness(replica_id, status_deadline)
        if not isinstance(report, statements.ServerReport):
            continue
        received = announced_promotion.has_received(report, position)
        if received:
            witnesses.record_received(report.received)
        if received is not False:
            return received
    return False


def _confirm_at_successor(loop, group, server_id, position, deadline):
    """Return whether the successor of the primary, if there is one, has a commit.

    A task. The commit may be in the log of a replica only that the promotion leaves
    behind.
    """
    is_held = False
    while loop.clock.now() < deadline:
        promotion = group.announced_promotion
        if promotion is None:
            # An announcement that has lapsed does not tell that nothing is promoted.
            return not is_held or group.is_promotion_withdrawn
        if position is None or server_id == promotion.successor:
            return True
        is_held = True
        status_deadline = min(deadline, loop.clock.now() + STATUS_TIMEOUT_SECONDS)
        report = yield from group.ask_status_report(
            promotion.successor, statements.ReadStatus(), status_deadline
        )
        if isinstance(report, statements.ServerReport):
            received = announced_promotion.has_received(report, position)
            if received is not False:
                return received is True
        yield loop.sleep_until(loop.clock.now() + POLL_INTERVAL_SECONDS)
    return False
