"""The backend server that this process takes for the primary of a group."""

import math

import attrs

# A promotion takes about a second, and some hundred ms pass before the order for it.
USUAL_FAILOVER_SECONDS = 2.0
LOST_ANSWER_TOLERANCE_SECONDS = 0.25  # A single answer may be lost.


@attrs.define
class KnownPrimary:
    """The known primary of one group, or the instant since which none is known.

    Attributes
    ----------
    server_id : str or None
        Id of the server that is taken for the primary.
    confirmed_at : float
        Instant at which the newest statement was sent that this server answered as
        primary.
    unknown_since : float or None
        Instant at which the last primary was rejected; None while one is known.
    """

    server_id: str | None = None
    confirmed_at: float = float("-inf")
    unknown_since: float | None = None

    def confirm_primary(self, server_id, asked_at):
        """Record an answer as primary; return whether the known primary changed.

        Parameters
        ----------
        server_id : str
            The server that answered.
        asked_at : float
            Instant before the statement was sent. An answer older than the last
            confirmation of another server is ignored.

        Returns
        -------
        bool
        """
        if server_id == self.server_id:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            return False
        if asked_at < self.confirmed_at:
            return False
        self.server_id = server_id
        self.confirmed_at = asked_at
        self.unknown_since = None
        return True

    def reject_primary(self, server_id, now):
        """Record that a server is no primary; return whether it was the known one."""
        if server_id != self.server_id:
            return False
        self.server_id = None
        self.unknown_since = now
        return True

    def record_registration(self, server, previous, now):
        """Record a server's registered role; return whether the known primary changed.

        Parameters
        ----------
        server : catalog.BackendServer
        previous : catalog.BackendServer or None
            The server's entry before this one.
        now : float

        Returns
        -------
        bool
        """
        if self.server_id is None and self.unknown_since is None:
            self.unknown_since = now
        if server.registered_as_primary:
            is_new_role = previous is None or not previous.registered_as_primary
            if self.server_id is None or (
                is_new_role and self.server_id != server.server_id
            ):
                self.server_id = server.server_id
                self.unknown_since = None
                return True
            return False
        if previous is not None and previous.registered_as_primary:
            return self.reject_primary(server.server_id, now)
        return False

    def record_removal(self, server_id, now):
        """Record a server's removal; return whether the known primary changed."""
        return self.reject_primary(server_id, now)

    def next_primary_expected_at(self, now, unreachable_since=None, partitioned=False):
        """Return the instant at which a reachable primary is likely to be known.

        Parameters
        ----------
        now : float
        unreachable_since : float or None
            Since when the known primary does not answer.
        partitioned : bool
            Whether this process does not reach the other failure domains. It cannot
            learn of a new primary then, for an unknown time.

        Returns
        -------
        float
            ``now`` when the primary is known and reachable; infinite when partitioned.
        """
        no_primary_since = (
            self.unknown_since if self.server_id is None else unreachable_since
        )
        if (
            no_primary_since is None
            or now - no_primary_since < LOST_ANSWER_TOLERANCE_SECONDS
        ):
            return now
        if partitioned:
            return math.inf
        return max(
            now + LOST_ANSWER_TOLERANCE_SECONDS,
            no_primary_since + USUAL_FAILOVER_SECONDS,
        )
