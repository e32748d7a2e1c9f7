"""The configured routes and limits, and the registered backend servers."""

import enum
import math

import attrs

# An entry is removed only after this time, because servers whose entries expired while
# the shared store was unavailable register again about 2 s after its return.
REMOVAL_DELAY_SECONDS = 2.5
MAX_REMEMBERED_REMOVALS = 1000
# Of a server that this process has not seen before it drained.
DRAINS_SINCE_UNKNOWN = -math.inf


class Consistency(enum.Enum):
    """Consistency that the reads of a route require."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@attrs.frozen
class Route:
    """How the sessions of one database are served.

    Attributes
    ----------
    database : str
    group : str
        Name of the group of backend servers.
    consistency : Consistency
    max_age : float
        Freshness bound: seconds by which a read may be stale; infinite without a bound.
    timeout : float
        Seconds after which one statement times out.
    target : float
        Latency target of a request in seconds.
    priority : int
        0 is the most urgent.
    public : bool
        Whether callers need no key, in a deployment with tenants.
    """

    database: str
    group: str
    consistency: Consistency
    max_age: float
    timeout: float
    target: float
    priority: int
    public: bool = False


@attrs.frozen
class GroupLimits:
    """Limits of each backend server of a group.

    Attributes
    ----------
    group : str
    connections : int
        Number of connections that a server accepts.
    synchronous : bool
        Whether a commit is acknowledged only after a replica has received it.
    """

    group: str
    connections: int
    synchronous: bool


@attrs.frozen
class Configuration:
    """One accepted version of the routes and limits.

    Attributes
    ----------
    version : int
    routes_by_database : dict
    groups_by_name : dict
        ``GroupLimits`` by group name.
    idle_transaction_seconds : float
        Time without a statement after which a transaction is aborted.
    document : dict
        The configuration as it was read.
    tenants : tenants.TenantDirectory or None
        None in a deployment without tenants, where callers need no key.
    """

    version: int
    routes_by_database: dict
    groups_by_name: dict
    idle_transaction_seconds: float
    document: dict = attrs.field(repr=False, eq=False)
    tenants: object = None

    def group_names(self):
        """Return the names of the groups that have limits or a route."""
        routed = {route.group for route in self.routes_by_database.values()}
        return routed | set(self.groups_by_name)


@attrs.frozen
class BackendServer:
    """Entry with which a backend server has registered.

    Attributes
    ----------
    server_id : str
    group : str
    address : tuple of (str, int)
    failure_domain : str
    slots : int
        Number of statements that it runs concurrently.
    draining : bool
        Whether it is about to leave the group.
    registered_as_primary : bool
        Whether the server takes itself for the primary.
    started_at_ms : int
        Start of the server's process in Unix milliseconds; 0 if unknown.
    write_count : int
        Number of entries that the process had written by then.
    """

    server_id: str
    group: str
    address: tuple
    failure_domain: str
    slots: int
    draining: bool
    registered_as_primary: bool
    started_at_ms: int
    write_count: int = attrs.field(default=0, eq=False)

    def is_older_than(self, other):
        """Return whether the same run of the server has written another entry since."""
        is_same_run = 0 < self.started_at_ms == other.started_at_ms
        return is_same_run and self.write_count < other.write_count


@attrs.frozen
class ServerAdded:
    """A server has registered, or its entry has changed.

    Attributes
    ----------
    server : BackendServer
    previous : BackendServer or None
        The entry before the change; None for a new server.
    """

    server: BackendServer
    previous: BackendServer | None


@attrs.frozen
class ServerRemoved:
    """A server's entry was deleted, and the server may no longer be used."""

    server: BackendServer


class Catalog:
    """The newest configuration and the registered servers.

    Within one process, the version of the configuration never decreases.

    Attributes
    ----------
    draining_since_by_id : dict of str to float
        Instant since which a server is known to drain, at this process or at a peer;
        ``DRAINS_SINCE_UNKNOWN`` until a peer has told.
    """

    def __init__(self):
        self.configuration = None
        self.servers_by_id = {}
        self.draining_since_by_id = {}
        self._unregistered_since_by_id = {}
        self._left_by_id = {}

    def install(self, configuration):
        """Replace the configuration if the given one is newer; return whether it is."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def route(self, database):
        """Return the route of a database, or None."""
        if self.configuration is None:
            return None
        return self.configuration.routes_by_database.get(database)

    def servers_of(self, group):
        """Return the servers of a group by id."""
        return {
            server_id: server
            for server_id, server in self.servers_by_id.items()
            if server.group == group
        }

    def put(self, server, now):
        """Add or update a server's entry.

        Parameters
        ----------
        server : BackendServer
        now : float

        Returns
        -------
        ServerAdded or None
            None when the entry has not changed, or is older than the known one: a
            restored store may hold entries of servers that have left since.
        """
        previous = self.servers_by_id.get(server.server_id)
        self._unregistered_since_by_id.pop(server.server_id, None)
        newest = previous or self._left_by_id.get(server.server_id)
        if newest is not None and server.is_older_than(newest):
            return None
        if previous == server:
            return None
        self.servers_by_id[server.server_id] = server
        if server.draining:
            since = DRAINS_SINCE_UNKNOWN if previous is None else now
            self.draining_since_by_id.setdefault(server.server_id, since)
        else:
            self.draining_since_by_id.pop(server.server_id, None)
        return ServerAdded(server, previous)

    def draining_seconds(self, now):
        """Return for how long the draining servers are known to drain, by id."""
        return {
            server_id: now - since
            for server_id, since in self.draining_since_by_id.items()
            if since != DRAINS_SINCE_UNKNOWN
        }

    def record_draining(self, seconds_by_id, now):
        """Take over from a peer since when servers drain.

        The time that the answer took is not added. Otherwise processes that ask one
        another would move the instant back with each answer.

        Parameters
        ----------
        seconds_by_id : dict of str to float
            What ``draining_seconds`` returned at the peer.
        now : float
            Instant at which the answer has arrived.
        """
        for server_id, seconds in seconds_by_id.items():
            known_since = self.draining_since_by_id.get(server_id)
            if known_since is None:
                continue
            since = now - seconds
            if known_since == DRAINS_SINCE_UNKNOWN or since < known_since:
                self.draining_since_by_id[server_id] = since

    def mark_unregistered(self, server_id, now):
        """Record that a server's entry is no longer in the shared store."""
        if server_id in self.servers_by_id:
            self._unregistered_since_by_id.setdefault(server_id, now)

    def remove_lapsed_servers(self, now, store_answers_since=-math.inf):
        """Remove servers that have been unregistered for ``REMOVAL_DELAY_SECONDS``.

        An entry may expire while the shared store is unavailable although its server
        runs; it is registered again soon. A draining server is removed at once.

        Parameters
        ----------
        now : float
        store_answers_since : float
            End of the store's last outage; infinite while the store does not answer,
            as no server can register then.

        Returns
        -------
        list of ServerRemoved
        """
        removed = []
        for server_id, since in list(self._unregistered_since_by_id.items()):
            server = self.servers_by_id[server_id]
            counted_since = max(since, store_answers_since)
            if not server.draining and now - counted_since < REMOVAL_DELAY_SECONDS:
                continue
            del self._unregistered_since_by_id[server_id]
            del self.servers_by_id[server_id]
            self.draining_since_by_id.pop(server_id, None)
            if server.draining:
                self._record_left(server)
            removed.append(ServerRemoved(server))
        return removed

    def _record_left(self, server):
        """Remember the last entry of a server that has left, and forget the oldest."""
        self._left_by_id[server.server_id] = server
        if len(self._left_by_id) > MAX_REMEMBERED_REMOVALS:
            self._left_by_id.pop(next(iter(self._left_by_id)))
