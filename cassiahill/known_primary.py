"""Which backend server of a group leads, as far as this process knows."""

import math

import attrs

# A promotion takes about a second, and some hundred ms pass before it is ordered.
USUAL_GAP_SECONDS = 2.0
DOUBT_SECONDS = 0.25  # A single lost answer is no loss of the primary.


@attrs.define
class PrimaryView:
    """Belief about the primary of one group.

    Attributes
    ----------
    server_id : str or None
        Id of the server that is taken for the primary.
    proved_at : float
        Instant of the newest question that the believed primary answered as primary.
    lost_at : float or None
        Instant at which the last primary was found not to lead; None while one is
        believed.
    """

    server_id: str | None = None
    proved_at: float = float("-inf")
    lost_at: float | None = None

    def confirm_primary(self, server_id, asked_at):
        """Take an answer that only a primary gives; return whether belief changed."""
        if server_id == self.server_id:
            self.proved_at = max(self.proved_at, asked_at)
            return False
        if asked_at < self.proved_at:
            return False
        self.server_id = server_id
        self.proved_at = asked_at
        self.lost_at = None
        return True

    def refuted(self, server_id, now):
        """Take an answer that a primary does not give."""
        if server_id != self.server_id:
            return False
        self.server_id = None
        self.lost_at = now
        return True

    def registered(self, server, before, now):
        """Take a server's own statement of its role; return whether belief changed."""
        if self.server_id is None and self.lost_at is None:
            self.lost_at = now
        if server.registered_as_primary:
            became = before is None or not before.registered_as_primary
            if self.server_id is None or (
                became and self.server_id != server.server_id
            ):
                self.server_id = server.server_id
                self.lost_at = None
                return True
            return False
        if before is not None and before.registered_as_primary:
            return self.refuted(server.server_id, now)
        return False

    def removed(self, server_id, now):
        """Forget a server that has gone."""
        return self.refuted(server_id, now)

    def expected_at(self, now, unreachable_since=None, partitioned=False):
        """Return the instant at which a primary is likely to be known again.

        Parameters
        ----------
        now : float
        unreachable_since : float or None
            Since when the believed primary does not answer.
        partitioned : bool
            Whether this process is cut off from the other failure domains. It learns
            of no new primary then, and nobody knows for how long.
        """
        since = self.lost_at if self.server_id is None else unreachable_since
        if since is None or now - since < DOUBT_SECONDS:
            return now
        if partitioned:
            return math.inf
        return max(now + DOUBT_SECONDS, since + USUAL_GAP_SECONDS)
