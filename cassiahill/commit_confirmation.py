"""Holds back an acknowledged commit until a replica proves that it is kept.

Otherwise a promotion, of which this process need not know, may lose a commit that a
client was told of; see ``commit_witnesses``.
"""

from cassiahill import statements

POLL_INTERVAL_SECONDS = 0.005
STATUS_TIMEOUT_SECONDS = 0.4  # Allows for a lost packet.
HEDGE_DELAY_SECONDS = 0.03  # Until a second replica is asked.


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
    if not group.synchronous or group.commit_witnesses is None or position is None:
        return True
    reports_by_id = {}
    while loop.clock.now() < deadline:
        if group.commit_witnesses.proves(position):
            return True
        is_proved = yield from _ask_witnesses(
            loop, group, server_id, position, reports_by_id, deadline
        )
        if is_proved is not False:
            return is_proved is True
        if group.is_partitioned_from_replicas:
            return False
        yield loop.sleep_until(loop.clock.now() + POLL_INTERVAL_SECONDS)
    return False


def _ask_witnesses(loop, group, server_id, position, reports_by_id, deadline):
    """Ask one replica after the other until one proves the commit; a task.

    A server that has acknowledged the commit and has stepped down since proves nothing.

    Parameters
    ----------
    loop, group, server_id, position, deadline
        See ``confirm_commit``.
    reports_by_id : dict of str to loop.LoopFuture
        Questions without an answer yet, to which new ones are added.

    Returns
    -------
    bool or None
        Whether the commit is proved; None if it cannot be any more.
    """
    now = loop.clock.now()
    status_deadline = min(deadline, now + STATUS_TIMEOUT_SECONDS)
    group.commit_witnesses.ask_for_connections(server_id, now)
    for replica_id in group.commit_witnesses.usable_ids(server_id, now):
        if replica_id in reports_by_id:
            continue
        report = loop.spawn(group.ask_witness(replica_id, status_deadline))
        reports_by_id[replica_id] = report
        hedge_at = loop.clock.now() + HEDGE_DELAY_SECONDS
        yield loop.first_done(report, loop.sleep_until(hedge_at))
        is_proved = _take_answers(group, reports_by_id, position)
        if is_proved is not False:
            return is_proved
    return _take_answers(group, reports_by_id, position)


def _take_answers(group, reports_by_id, position):
    """Return whether an answer proves a commit; None if none can any more."""
    is_proved = False
    for replica_id, report in list(reports_by_id.items()):
        if not report.done():
            continue
        del reports_by_id[replica_id]
        if not isinstance(report.result(), statements.ServerReport):
            continue
        received = _has_received(report.result(), position)
        if received:
            group.commit_witnesses.record_received(report.result().received)
            return True
        if received is None:
            is_proved = None
    return is_proved


def _has_received(report, position):
    """Return whether a server has a commit; None if that cannot be told any more.

    Parameters
    ----------
    report : statements.ServerReport
        Status of the server.
    position : positions.LogPosition
        Of a commit that another server has acknowledged.
    """
    received = report.received
    if report.is_primary or (received is not None and received.term > position.term):
        # Its log has gone on in a new term, and does not show where the old one ended.
        return None
    return received is not None and received >= position
