"""Records what the replies of a group's servers show.

They tell which server is the primary, whether it is reachable, and which log positions
the servers have.
"""

from cassiahill import event_log, known_primary, position_samples
from cassiahill.statements import Code

REPLICA_READS_WITHOUT_PRIMARY_SECONDS = 1.5


class ServerReplies:
    """Records the replies of one group's servers.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    busy_servers : busy_servers.BusyServers

    Attributes
    ----------
    primary : known_primary.KnownPrimary
    primary_positions : position_samples.PrimaryPositions
    primary_unreachable_since : float or None
        Instant since which the known primary has not answered probes.
    """

    def __init__(self, loop, group, busy_servers):
        self._loop = loop
        self._group = group
        self._busy_servers = busy_servers
        self._progress_by_id = group.servers.progress_by_id
        self.primary = known_primary.KnownPrimary()
        self.primary_positions = position_samples.PrimaryPositions()
        self.primary_unreachable_since = None

    @property
    def reaches_primary(self):
        """Whether the primary is known and answers."""
        return (
            self.primary.server_id is not None
            and self.primary_unreachable_since is None
        )

    def is_primary_unreachable(self, now):
        """Return whether the primary has been unreachable or unknown for too long.

        The limit is ``REPLICA_READS_WITHOUT_PRIMARY_SECONDS``. Until it has passed,
        replicas still serve reads by the position samples of the time before.
        """
        no_primary_since = self.primary_unreachable_since
        if self.primary.server_id is None:
            no_primary_since = self.primary.unknown_since
        return (
            no_primary_since is not None
            and now - no_primary_since > REPLICA_READS_WITHOUT_PRIMARY_SECONDS
        )

    def record_registration(self, server, previous):
        """Record the role that a server's new entry states.

        Parameters
        ----------
        server : catalog.BackendServer
        previous : catalog.BackendServer or None
            The server's entry before the change.
        """
        now = self._loop.clock.now()
        if self.primary.record_registration(server, previous, now):
            self._handle_primary_change("registered")

    def record_removal(self, server_id):
        """Record that a server has left the group."""
        if self.primary.record_removal(server_id, self._loop.clock.now()):
            self._handle_primary_change("removed")

    def record_position(self, connection, reply):
        """Record the log position that a reply states."""
        progress = self._progress_by_id.get(connection.server.server_id)
        if progress is not None:
            progress.record_position(reply.position)

    def confirm_primary(self, connection, asked_at, reply):
        """Record a reply that only a primary gives.

        Parameters
        ----------
        connection : line_connections.LineConnection
        asked_at : float
            Instant before the statement was sent.
        reply : statements.Reply
        """
        server_id = connection.server.server_id
        self.primary_unreachable_since = None
        if self.primary.confirm_primary(server_id, asked_at):
            self._handle_primary_change("proved")
        if reply.position is not None and self.primary.server_id == server_id:
            self.primary_positions.add_sample(
                position_samples.PositionSample(asked_at, server_id, reply.position)
            )
            self._group.sole_copies.record_primary_position(
                server_id, asked_at, reply.position
            )

    def record_unanswered_probe(self, server_id, asked_at):
        """Record that a server did not answer a probe sent at ``asked_at``."""
        if server_id == self.primary.server_id:
            self.primary_unreachable_since = self.primary_unreachable_since or asked_at

    def record_refusal(self, connection, code, required_position=None):
        """Record that a server refused a statement without running it.

        Parameters
        ----------
        connection : line_connections.LineConnection
        code : statements.Code
        required_position : positions.LogPosition or None
            Log position that the statement required.
        """
        now = self._loop.clock.now()
        server_id = connection.server.server_id
        match code:
            case Code.NOT_PRIMARY:
                if self.primary.reject_primary(server_id, now):
                    self._handle_primary_change("refused")
            case Code.NOT_CURRENT:
                if server_id in self._progress_by_id:
                    self._progress_by_id[server_id].record_refusal(
                        required_position, now
                    )
                if self.primary.reject_primary(server_id, now):
                    # A primary has every position that was sampled, unless its term
                    # has ended or it has lost its log.
                    self.primary_positions.clear()
                    self._handle_primary_change("behind")
            case Code.BUSY:
                self._busy_servers.record_refusal(server_id, now)
            case Code.UNKNOWN_STATEMENT:
                connection.names_by_shape.clear()

    def reset_failure_detection(self):
        """Reset the instants since which probes and writes have not been answered."""
        self.primary_unreachable_since = None
        self._group.outstanding_writes.reset_failure_detection()

    def _handle_primary_change(self, source):
        """Log the new known primary and forget the failure symptoms of the last one."""
        self.reset_failure_detection()
        latest = self.primary_positions.latest_sample
        event_log.event(
            "primary_changed",
            group=self._group.name,
            primary=self.primary.server_id,
            source=source,
            proof=None if latest is None else str(latest.position),
        )
