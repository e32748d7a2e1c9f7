"""Replicas whose answers prove that a promotion keeps a commit.

Before an order, the promoter pauses all replicas that it knows but the successor, which
receives what they have. So a commit is kept once one of them has it, unless that
replica has restarted or has joined during a promotion: its log goes on, and nobody asks
it again. A connection that was open before the promoter stated that no promotion is
under way excludes both, and no message is needed when a promotion begins. The statement
counts from the instant at which the store confirmed the promoter's role, since a former
promoter does not know of its successor's promotions.
"""

# Shorter than the time for which a promoter waits for a replica whose entry has
# lapsed: a replica behind a cut lapses some seconds after its last contact.
MAX_SILENCE_SECONDS = 12.0


class CommitWitnesses:
    """The connections of one group on which a replica's answer proves a commit.

    Parameters
    ----------
    pools_by_id : dict
        ``server_pool.ServerPool`` by server id.

    Attributes
    ----------
    proved_position : positions.LogPosition or None
        Newest position that such an answer has stated.
    """

    def __init__(self, pools_by_id):
        self._pools_by_id = pools_by_id
        self._stated_at_by_id = {}
        self._heard_at = float("-inf")
        self.proved_position = None

    def record_statement(self, server_ids, confirmed_at, heard_at):
        """Record the promoter's statement that no promotion is under way.

        One that was made before a known one may list servers that have left since.

        Parameters
        ----------
        server_ids : collection of str
            Servers that the promoter knows.
        confirmed_at : float
            Instant at which the store confirmed its role.
        heard_at : float
            Instant before the statement was made.
        """
        if heard_at < self._heard_at:
            return
        former = self._stated_at_by_id
        self._stated_at_by_id = {
            server_id: max(confirmed_at, former.get(server_id, confirmed_at))
            for server_id in server_ids
        }
        self._heard_at = heard_at

    def record_contact(self, heard_at):
        """Record that the promoter was heard during a promotion."""
        self._heard_at = max(self._heard_at, heard_at)

    def usable_ids(self, primary_id, now):
        """Return the ids of all servers but the primary that have such a connection.

        Those that answer come first, and among them the nearest and least busy ones.
        """
        usable_ids = [
            server_id
            for server_id, pool in self._pools_by_id.items()
            if server_id != primary_id
            and pool.opened_before(self._limit(server_id, now))
        ]
        return sorted(usable_ids, key=lambda server_id: self._order(server_id, now))

    def _order(self, server_id, now):
        pool = self._pools_by_id[server_id]
        return (
            pool.has_unanswered_requests(now),
            pool.round_trip.usual_seconds,
            pool.running_statements,
        )

    def await_confirmation(self, primary_id):
        """Return whether the promoter's next confirmation lets a replica prove commits.

        The last statement names the replica, and its idle connections are newer.
        """
        return any(
            server_id != primary_id
            and server_id in self._stated_at_by_id
            and pool.idle_count
            and not pool.has_idle_opened_before(self._stated_at_by_id[server_id])
            for server_id, pool in self._pools_by_id.items()
        )

    def acquire(self, server_id, now):
        """Take an idle connection on which a replica proves commits, or None."""
        pool = self._pools_by_id.get(server_id)
        if pool is None:
            return None
        return pool.acquire_opened_before(self._limit(server_id, now), now)

    def proves(self, position):
        """Return whether an answer has proved a commit at a position."""
        proved = self.proved_position
        return (
            proved is not None and proved.term == position.term and proved >= position
        )

    def record_received(self, position):
        """Record a position that a replica stated on such a connection.

        It is of the term of a commit that another server has acknowledged.
        """
        if self.proved_position is None or position > self.proved_position:
            self.proved_position = position

    def ask_for_connections(self, primary_id, now):
        """Open a connection to each replica that has none which is idle."""
        for server_id, pool in self._pools_by_id.items():
            if server_id != primary_id:
                pool.open_spare(now)

    def _limit(self, server_id, now):
        """Return the instant before which a connection must have been opened."""
        if now - self._heard_at > MAX_SILENCE_SECONDS:
            return None
        return self._stated_at_by_id.get(server_id)
