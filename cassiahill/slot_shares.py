"""Shares a server's slots among the proxies that are connected to it; does no I/O.

The decision is meant for uneven load: the proxies of a busy failure domain have more
requests than an equal share of the slots serves, while others leave theirs unused. Each
proxy reports its demand to the promoter and learns the sum of all. Without a recent
sum, shares are equal.
"""

import math

import attrs

# Statements that all proxies together send to a server, for each of its slots. Urgent
# requests can overtake what is queued in the proxies, but not what is queued in the
# server. With fewer than two, slots would be idle while answers travel.
STATEMENTS_PER_SLOT = 2
# The same while more statements wait and run than one server has slots. A longer queue
# in the server would only delay the urgent ones behind it.
STATEMENTS_PER_SLOT_IN_OVERLOAD = 1.5
DEMAND_TIME_SECONDS = 0.4  # Time constant of the average demand.
TOTAL_MAX_AGE_SECONDS = 1.2  # Three heartbeat intervals.


def equal_limit(slots, proxy_count):
    """Return how many statements each proxy may have running at one server.

    Parameters
    ----------
    slots : int
        Statements that the server runs concurrently.
    proxy_count : int
        Number of proxies that hold connections to the server.
    """
    return max(1, math.ceil(STATEMENTS_PER_SLOT * slots / proxy_count))


@attrs.define
class SlotShare:
    """One proxy's share of the slots of a group's servers.

    Attributes
    ----------
    demand : float
        Average number of statements of this proxy that wait or run.
    total_demand : float
        Sum of the demand of all proxies.
    total_valid_until : float
        Instant after which ``total_demand`` is too old.
    """

    demand: float = 0.0
    total_demand: float = 0.0
    total_valid_until: float = float("-inf")

    def record_statements(self, statement_count, elapsed_seconds):
        """Add the present number of statements to the average."""
        weight = min(1.0, elapsed_seconds / DEMAND_TIME_SECONDS)
        self.demand += weight * (statement_count - self.demand)

    def record_total(self, total_demand, now):
        """Record the sum of the demand of all proxies."""
        self.total_demand = total_demand
        self.total_valid_until = now + TOTAL_MAX_AGE_SECONDS

    def statement_limit(self, slots, proxy_count, now):
        """Return how many statements this proxy may have running at one server.

        While the servers have room, it is never less than an equal share: those who do
        not need theirs leave it unused. In overload it is a share of the demand.

        Parameters
        ----------
        slots : int
        proxy_count : int
        now : float
        """
        limit = equal_limit(slots, proxy_count)
        if now > self.total_valid_until or self.demand <= 0.0:
            return limit
        share = self.demand / max(self.demand, self.total_demand)
        if self.total_demand > slots:
            by_demand = round(STATEMENTS_PER_SLOT_IN_OVERLOAD * slots * share)
            return max(1, min(slots, by_demand))
        by_demand = math.floor(STATEMENTS_PER_SLOT * slots * share)
        return max(limit, min(slots, by_demand))
