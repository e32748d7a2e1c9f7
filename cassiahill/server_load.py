"""Estimates how loaded each server of a group is; does no I/O.

The estimate is meant for many proxies that choose servers at the same moment, each with
knowledge that is about a heartbeat old. It uses what is known at once, the statements
of this process and the durations of its reads, and the demand of all proxies, which the
heartbeats carry. The other proxies are expected to fill the servers to an equal level,
which changes no choice. Only a primary is expected to be fuller, if the statements that
need it exceed that level.
"""

import collections
import math

import attrs

from cassiahill import placement
from cassiahill.slot_shares import DEMAND_TIME_SECONDS

SLOWNESS_WEIGHT = 0.15  # Weight of the newest read in the moving average.
# Slowness that one read may show at most, so that one failure does not decide.
MAX_READ_SLOWNESS = 6.0
# Time constant with which an unused server's slowness is forgotten, so that a server
# that has recovered is tried again.
FORGET_SECONDS = 2.0
STATEMENT_SECONDS_WEIGHT = 0.05
INITIAL_STATEMENT_SECONDS = 0.02  # Assumed duration of a read before the first one.
# Random part of the expected duration. It lets proxies with the same knowledge choose
# different servers and is too small to hide one more statement at a server.
RANDOM_SPREAD = 0.05


@attrs.define
class Slowness:
    """Durations of one server's reads relative to the usual ones; 1 means as usual."""

    _average: float = 1.0
    _recorded_at: float = float("-inf")

    def at(self, now):
        """Return the moving average, closer to 1 the longer ago it was recorded."""
        age_seconds = max(0.0, now - self._recorded_at)
        return 1.0 + (self._average - 1.0) * math.exp(-age_seconds / FORGET_SECONDS)

    def record(self, slowness, now):
        """Add the slowness of one read."""
        average = self.at(now)
        newest = min(slowness, MAX_READ_SLOWNESS)
        self._average = average + SLOWNESS_WEIGHT * (newest - average)
        self._recorded_at = now


@attrs.frozen
class ExpectedLoad:
    """Expected load of one server.

    Attributes
    ----------
    latency_seconds : float
        Expected duration of a read that is alone there; each statement beside it
        adds as much. It is shorter at a server with more slots than the others.
    other_statements : float
        Statements of other processes that wait or run there.
    slowness : float
        Duration of its reads relative to the usual one.
    """

    latency_seconds: float
    other_statements: float
    slowness: float


class ServerLoad:
    """What this process knows of the load of one group's servers.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    primary_only_demand : float
        Average number of statements of this process that only the primary may run.
    """

    def __init__(self, rng):
        self._rng = rng
        self._slowness_by_id = collections.defaultdict(Slowness)
        self._statement_seconds = INITIAL_STATEMENT_SECONDS
        self.primary_only_demand = 0.0

    def record_read(self, server_id, seconds, usual_seconds, now):
        """Record the duration of a read that any server could have run.

        Statements that need the primary do not tell it from the others: they are
        shorter or longer than reads, at whichever server is the primary.

        Parameters
        ----------
        server_id : str
        seconds, usual_seconds : float
            Its duration and the usual one of its kind at all servers.
        now : float
        """
        self._statement_seconds += STATEMENT_SECONDS_WEIGHT * (
            seconds - self._statement_seconds
        )
        self._slowness_by_id[server_id].record(seconds / usual_seconds, now)

    def record_failed_read(self, server_id, now):
        """Record a read that was refused or got no answer and must run once more.

        A server that refuses at once would otherwise look like the fastest.
        """
        self._slowness_by_id[server_id].record(MAX_READ_SLOWNESS, now)

    def record_primary_only(self, statement_count, elapsed_seconds):
        """Add the present number of statements that only the primary may run."""
        weight = min(1.0, elapsed_seconds / DEMAND_TIME_SECONDS)
        self.primary_only_demand += weight * (
            statement_count - self.primary_only_demand
        )

    def remove_server(self, server_id):
        """Forget a server that has left or restarted."""
        self._slowness_by_id.pop(server_id, None)

    def expected(self, slots_by_id, primary_id, slot_share, now):
        """Return the ``ExpectedLoad`` of each server.

        Parameters
        ----------
        slots_by_id : dict of str to int
        primary_id : str or None
        slot_share : slot_shares.SlotShare
            Demand of this process and of all.
        now : float

        Returns
        -------
        dict of str to ExpectedLoad
        """
        if not slots_by_id:
            return {}
        mean_slots = sum(slots_by_id.values()) / len(slots_by_id)
        others = 0.0
        if now <= slot_share.total_valid_until:
            others = max(0.0, slot_share.total_demand - slot_share.demand)
        weights_by_id = {}
        for server_id, slots in slots_by_id.items():
            factor = placement.PRIMARY_COST_FACTOR if server_id == primary_id else 1.0
            slowness = self._slowness_by_id[server_id].at(now)
            weights_by_id[server_id] = slots / (slowness * factor)
        # The share of the own statements that need the primary stands for that of the
        # other proxies.
        primary_only_share = min(
            1.0, self.primary_only_demand / max(slot_share.demand, 1e-9)
        )
        others_by_id = spread_statements(
            others, others * primary_only_share, weights_by_id, primary_id
        )
        loads_by_id = {}
        for server_id, slots in slots_by_id.items():
            slowness = self._slowness_by_id[server_id].at(now)
            spread = 1.0 + RANDOM_SPREAD * self._rng.random()
            loads_by_id[server_id] = ExpectedLoad(
                self._statement_seconds * slowness * mean_slots / slots * spread,
                others_by_id[server_id],
                slowness,
            )
        return loads_by_id


def spread_statements(count, primary_only_count, weights_by_id, primary_id):
    """Spread statements so that the servers reach an equal level for their weight.

    If more statements need the primary than that gives it, it gets just these, and the
    other servers share the rest.

    Parameters
    ----------
    count, primary_only_count : float
        Number of all statements and of those that only the primary may run.
    weights_by_id : dict of str to float
        Statements that each server takes in the same time.
    primary_id : str or None

    Returns
    -------
    dict of str to float
    """
    total_weight = sum(weights_by_id.values())
    counts_by_id = {
        server_id: count * weight / total_weight
        for server_id, weight in weights_by_id.items()
    }
    if counts_by_id.get(primary_id, primary_only_count) >= primary_only_count:
        return counts_by_id
    remaining_weight = total_weight - weights_by_id[primary_id]
    for server_id, weight in weights_by_id.items():
        counts_by_id[server_id] = (
            primary_only_count
            if server_id == primary_id
            else (count - primary_only_count) * weight / remaining_weight
        )
    return counts_by_id


def load_spread(levels_by_id):
    """Return the highest level of the servers divided by the mean; 1 when all are idle.

    Parameters
    ----------
    levels_by_id : dict of str to float
        Statements for each slot.
    """
    mean = sum(levels_by_id.values()) / max(1, len(levels_by_id))
    return max(levels_by_id.values()) / mean if mean > 0.0 else 1.0
