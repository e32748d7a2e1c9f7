"""Holds back an acknowledged commit until a partition can be ruled out.

A partition is noticed only after a while. Until then a replica that starts on the
primary's side may acknowledge a commit which the other side, that does not know this
replica, loses by a promotion. So the client is told of a commit only if a server in
another failure domain has answered recently, or answers after the acknowledgement.
"""

from cassiahill.reachability import DOMAIN_UNREACHABLE_SECONDS

# A commit that is acknowledged within this time after a cut has begun may be lost.
RECENT_ANSWER_SECONDS = 0.1
# Longer than a partition that has begun before can stay unnoticed.
MAX_HOLD_SECONDS = DOMAIN_UNREACHABLE_SECONDS + 0.2
POLL_INTERVAL_SECONDS = 0.005


def confirm_commit(loop, group, deadline):
    """Wait until it is known whether a commit may be lost in a partition; a task.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
        The group whose primary has just acknowledged the commit.
    deadline : float
        Instant at which the client's statement times out.

    Returns
    -------
    bool
        Whether the client may be told of the commit.
    """
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
