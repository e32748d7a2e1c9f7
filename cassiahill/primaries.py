"""Which backend server of a group leads, as far as this process knows."""

import math

import attrs

# A promotion takes about a second, and some hundred ms pass before it is ordered.
USUAL_FAILOVER_SECONDS = 2.0
LOST_ANSWER_TOLERANCE_SECONDS = 0.25  # A single lost answer is no loss of the primary.


@attrs.define
class KnownPrimary:
    """Belief about the primary of one group.

    Attributes
    ----------
    believed : str or None
        Id of the server that is taken for the primary.
    confirmed_at : float
        Instant of the newest question that the believed primary answered as primary.
    unknown_since : float or None
        Instant at which the last primary was found not to lead; None while one is
        believed.
    """

    believed: str | None = None
    confirmed_at: float = float("-inf")
    unknown_since: float | None = None

    def proved(self, server_id, asked_at):
        """Take an answer that only a primary gives; return whether belief changed."""
        if server_id == self.believed:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            return False
        if asked_at < self.confirmed_at:
            return False
        self.believed = server_id
        self.confirmed_at = asked_at
        self.unknown_since = None
        return True

    def reject_primary(self, server_id, now):
        """Take an answer that a primary does not give."""
        if server_id != self.believed:
            return False
        self.believed = None
        self.unknown_since = now
        return True

    def record_registration(self, server, before, now):
        """Take a server's own statement of its role; return whether belief changed."""
        if self.believed is None and self.unknown_since is None:
            self.unknown_since = now
        if server.says_primary:
            became = before is None or not before.says_primary
            if self.believed is None or (became and self.believed != server.server_id):
                self.believed = server.server_id
                self.unknown_since = None
                return True
            return False
        if before is not None and before.says_primary:
            return self.reject_primary(server.server_id, now)
        return False

    def record_removal(self, server_id, now):
        """Forget a server that has gone."""
        return self.reject_primary(server_id, now)

    def next_primary_expected_at(self, now, unreachable_since=None, cut_off=False):
        """Return the instant at which a primary is likely to be known again.

        Parameters
        ----------
        now : float
        unreachable_since : float or None
            Since when the believed primary does not answer.
        cut_off : bool
            Whether this process is cut off from the other failure domains. It learns
            of no new primary then, and nobody knows for how long.
        """
        since = self.unknown_since if self.believed is None else unreachable_since
        if since is None or now - since < LOST_ANSWER_TOLERANCE_SECONDS:
            return now
        if cut_off:
            return math.inf
        return max(now + LOST_ANSWER_TOLERANCE_SECONDS, since + USUAL_FAILOVER_SECONDS)
