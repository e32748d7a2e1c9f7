"""Questions to the backend servers of a group: who leads, and who can be reached.

While requests run, their answers tell both. A server is asked only when nothing has
been heard of it for a while, and the primary when the newest proof gets old.
"""

from cassiahill import errors, event_log, statements

PROBE_SECONDS = 0.2  # A read of any age that clients ask for finds a proof this young.
SEARCH_SECONDS = 0.1  # Between questions for the primary while none is known.
PROBE_TIMEOUT_SECONDS = 0.3
CONTACT_SECONDS = 0.4  # A server that nothing was heard of for this long is asked.


class ServerProbes:
    """Asks the servers of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    """

    def __init__(self, loop, group):
        self._loop = loop
        self._group = group
        self._probing = set()

    def tick(self, now):
        """Ask the servers of which too little is known."""
        group = self._group
        believed = group.primary.server_id
        latest = group.evidence.latest
        if believed is not None and (
            latest is None or now - latest.asked_at > PROBE_SECONDS
        ):
            self._probe_server(believed, now)
        for server_id, pool in group.pools_by_id.items():
            if believed is None or now - pool.answered_at > CONTACT_SECONDS:
                self._probe_server(server_id, now)

    def _probe_server(self, server_id, now):
        pool = self._group.pools_by_id.get(server_id)
        if pool is None or server_id in self._probing:
            return
        connection = pool.lend({}, now)
        if connection is None:
            if pool.failures:
                self._group.unanswered(server_id, now)
            return
        self._probing.add(server_id)
        self._loop.spawn(self._ask_whether_primary(pool, connection))

    def _ask_whether_primary(self, pool, connection):
        """Begin and end an empty transaction, which only a primary allows."""
        loop, group = self._loop, self._group
        server_id = pool.server.server_id
        asked_at = loop.clock.now()
        late = errors.ConnectionLost("no answer to a probe")
        try:
            reply = yield loop.with_deadline(
                connection.ask(statements.Begin(read_only=False)),
                asked_at + PROBE_TIMEOUT_SECONDS,
                late,
            )
        except errors.CassiahillError:
            connection.close()
            pool.record_lost_answer(loop.clock.now())
            pool.finished(loop.clock.now())
            self._probing.discard(server_id)
            group.unanswered(server_id, asked_at)
            return
        pool.heard(loop.clock.now())
        pool.finished(loop.clock.now())
        group.record_position(connection, reply)
        if reply.code is None:
            group.confirm_primary(connection, asked_at, reply)
            yield from self._end(connection)
        else:
            group.record_refusal(connection, reply.code)
        pool.release(connection)
        yield loop.sleep_until(asked_at + SEARCH_SECONDS)
        self._probing.discard(server_id)

    def _end(self, connection):
        """End the probe's transaction; without an answer the connection is closed.

        Until then the server is not asked again, so the answer is not awaited for long.
        """
        deadline = self._loop.clock.now() + PROBE_TIMEOUT_SECONDS
        late = errors.ConnectionLost("no answer to the end of a probe")
        try:
            yield self._loop.with_deadline(
                connection.ask(statements.Rollback()), deadline, late
            )
        except errors.CassiahillError as error:
            connection.close()
            event_log.event(
                "probe_lost", server=connection.server.server_id, cause=error.detail
            )
