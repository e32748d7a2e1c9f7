"""Which backend server a statement goes to; a decision without I/O.

It answers the load of the heaviest days: slots are scarce, replicas lag, a server goes
dark, and one kind of request arrives at several times its usual rate.
"""

import math

import attrs

from cassiahill.positions import LogPosition

OTHER_DOMAIN_SECONDS = 0.002  # A round trip to another failure domain.
# Writes and urgent reads have nowhere else to go, so other reads use the primary last.
PRIMARY_FACTOR = 2.0
SUSPECT_SECONDS = 0.5  # Added to a server that has left statements unanswered.


# Statements before a server, per slot, of all proxies together. What waits there cannot
# be overtaken by urgent work; what waits in the proxies can. Fewer than two would leave
# slots unused while answers are on their way.
STATEMENTS_PER_SLOT = 2


def statements_at_once(slots, proxies):
    """Return how many statements one proxy has running at one server.

    Parameters
    ----------
    slots : int
        Statements that the server runs at once.
    proxies : int
        Proxies that hold connections to it.
    """
    return max(1, math.ceil(STATEMENTS_PER_SLOT * slots / proxies))


@attrs.frozen
class OnPrimary:
    """The statement must run on the server that leads the group."""


@attrs.frozen
class AtPosition:
    """The statement may run on any server whose log has a position."""

    position: LogPosition


@attrs.frozen
class NotProvable:
    """Nothing proves yet how fresh any server is."""


@attrs.frozen
class Candidate:
    """What is known of one server at the moment of the decision.

    Attributes
    ----------
    server_id : str
    is_primary : bool
    has_connection : bool
        Whether a connection is free.
    has_slot : bool
        Whether one more statement of this process may run there.
    may_have_position : bool
    latency : float
        Recent time of a statement in seconds, waiting in the server included.
    running_statements : int
        Statements of this process that run there.
    same_domain : bool
    suspect : bool
    """

    server_id: str
    is_primary: bool
    has_connection: bool
    has_slot: bool
    may_have_position: bool
    latency: float
    running_statements: int
    same_domain: bool
    suspect: bool


def expected_seconds(candidate):
    """Return the time that one more statement would take."""
    seconds = candidate.latency * (1 + candidate.running_statements)
    if candidate.is_primary:
        seconds *= PRIMARY_FACTOR
    if not candidate.same_domain:
        seconds += OTHER_DOMAIN_SECONDS
    if candidate.suspect:
        seconds += SUSPECT_SECONDS
    return seconds


@attrs.frozen
class Choice:
    """Where a statement goes.

    Attributes
    ----------
    server_id : str or None
        The server to use now; None to wait.
    open_at : str or None
        The server that should get another connection for it.
    """

    server_id: str | None = None
    open_at: str | None = None


def choose(need, candidates):
    """Return where a statement goes.

    Parameters
    ----------
    need : OnPrimary, AtPosition or NotProvable
    candidates : iterable of Candidate

    Returns
    -------
    Choice
    """
    match need:
        case OnPrimary():
            eligible = [one for one in candidates if one.is_primary and one.has_slot]
        case AtPosition():
            eligible = [
                one
                for one in candidates
                if one.has_slot and (one.may_have_position or one.is_primary)
            ]
        case NotProvable():
            return Choice()
    if not eligible:
        return Choice()
    connected = [one for one in eligible if one.has_connection]
    if connected:
        return Choice(min(connected, key=expected_seconds).server_id)
    return Choice(open_at=min(eligible, key=expected_seconds).server_id)
