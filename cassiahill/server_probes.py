"""Probes of a group's backend servers: which is the primary, and which are reachable.

The answers to clients' requests tell both, so a server is probed only when it has not
answered anything for a while, and the primary when its newest position sample gets old.
A primary in another region is asked for samples as often as recent reads need them.
"""

from cassiahill import errors, event_log, statements

# Short enough that position samples meet the lowest freshness bound of clients.
PRIMARY_PROBE_INTERVAL_SECONDS = 0.2
# Time between probes of a server while no primary is known.
SEARCH_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.3
SERVER_PROBE_INTERVAL_SECONDS = 0.4  # Time from a server's last answer to a probe.


class ServerProbes:
    """Probes the servers of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    """

    def __init__(self, loop, group):
        self._loop = loop
        self._group = group
        self._probed_server_ids = set()

    def send_due_probes(self, now):
        """Probe the servers whose last answer is too old."""
        group = self._group
        primary_id = group.primary.server_id
        latest = group.primary_positions.latest_sample
        if primary_id is not None and (
            latest is None or now - latest.asked_at > self._sample_interval(now)
        ):
            self.probe_server(primary_id, now)
        for server_id, pool in group.pools_by_id.items():
            if (
                primary_id is None
                or now - pool.answered_at > SERVER_PROBE_INTERVAL_SECONDS
            ):
                self.probe_server(server_id, now)

    def _sample_interval(self, now):
        """Return the time after which the primary's newest sample is renewed.

        The promoter, its successor and the owners in the primary's region notice its
        failure, so they probe it as often as without regions.
        """
        group = self._group
        if group.supervised or not group.servers.is_in_other_region(
            group.primary.server_id
        ):
            return PRIMARY_PROBE_INTERVAL_SECONDS
        return group.sample_demand.sample_interval(
            PRIMARY_PROBE_INTERVAL_SECONDS, SERVER_PROBE_INTERVAL_SECONDS, now
        )

    def probe_server(self, server_id, now):
        """Probe a server unless a probe is under way or no connection is idle."""
        pool = self._group.pools_by_id.get(server_id)
        if pool is None or server_id in self._probed_server_ids:
            return
        connection = pool.acquire_any(now)
        if connection is None:
            if pool.failed_openings:
                self._group.replies.record_unanswered_probe(server_id, now)
            return
        self._probed_server_ids.add(server_id)
        self._loop.spawn(self._probe_for_primary(pool, connection))

    def _probe_for_primary(self, pool, connection):
        """Begin and roll back an empty write transaction; only a primary allows it."""
        loop, group = self._loop, self._group
        server_id = pool.server.server_id
        asked_at = loop.clock.now()
        timeout_error = errors.ConnectionLost("no answer to a probe")
        try:
            reply = yield loop.with_deadline(
                connection.send_statement(statements.Begin(read_only=False)),
                asked_at + PROBE_TIMEOUT_SECONDS,
                timeout_error,
            )
        except errors.CassiahillError:
            connection.close()
            pool.round_trip.record(PROBE_TIMEOUT_SECONDS)
            pool.record_lost_answer(loop.clock.now())
            pool.record_statement_end(loop.clock.now())
            self._probed_server_ids.discard(server_id)
            group.replies.record_unanswered_probe(server_id, asked_at)
            return
        pool.round_trip.record(loop.clock.now() - asked_at)
        pool.record_contact(loop.clock.now())
        pool.record_statement_end(loop.clock.now())
        group.replies.record_position(connection, reply)
        if reply.code is None:
            group.confirm_primary(connection, asked_at, reply)
            yield from self._roll_back_probe(connection)
        else:
            group.replies.record_refusal(connection, reply.code)
        pool.release(connection)
        yield loop.sleep_until(asked_at + SEARCH_INTERVAL_SECONDS)
        self._probed_server_ids.discard(server_id)

    def _roll_back_probe(self, connection):
        """Roll back the probe's transaction; without an answer close the connection.

        The server is not probed again until the rollback ends, so the timeout is short.
        """
        deadline = self._loop.clock.now() + PROBE_TIMEOUT_SECONDS
        timeout_error = errors.ConnectionLost("no answer to the rollback of a probe")
        try:
            yield self._loop.with_deadline(
                connection.send_statement(statements.Rollback()),
                deadline,
                timeout_error,
            )
        except errors.CassiahillError as error:
            connection.close()
            event_log.event(
                "probe_lost", server=connection.server.server_id, cause=error.detail
            )


def ask_status_report(loop, dialect, pool, statement, deadline):
    """Send a status or replication statement on an idle connection; a task.

    See ``ServerGroup.ask_status_report``.
    """
    connection = pool.acquire_any(loop.clock.now())
    if connection is None:
        pool.open_if_needed(1, loop.clock.now())
        return statements.Code.BUSY
    return (yield from ask_on(loop, dialect, pool, connection, statement, deadline))


def ask_on(loop, dialect, pool, connection, statement, deadline):
    """Send a status or replication statement on an acquired connection; a task.

    See ``ServerGroup.ask_status_report``.
    """
    timeout_error = errors.ConnectionLost("no answer to a status request")
    try:
        reply = yield loop.with_deadline(
            connection.send_statement(statement), deadline, timeout_error
        )
    except errors.CassiahillError as error:
        event_log.event("status_lost", server=pool.server.server_id, cause=error.detail)
        connection.abort()
        pool.record_lost_answer(loop.clock.now())
        pool.record_statement_end(loop.clock.now())
        return None
    pool.record_contact(loop.clock.now())
    pool.record_statement_end(loop.clock.now())
    pool.release(connection)
    if reply.code is not None:
        return reply.code if reply.code is statements.Code.BUSY else None
    return dialect.decode_report(reply)
