"""Chooses the backend server that a statement goes to; does no I/O.

The choice is meant for heavy load: servers have few free slots, replicas lag, a server
is unreachable, or one kind of request arrives at several times its usual rate. A server
in another region is chosen only if the nearer ones are busier by more than the longer
round trip.
"""

import attrs

from cassiahill.positions import LogPosition

# Writes and reads of the newest state can only run on the primary, so other reads use
# it last.
PRIMARY_COST_FACTOR = 2.0
UNREACHABLE_PENALTY_SECONDS = 0.5


@attrs.frozen
class OnPrimary:
    """Requirement: the statement must run on the primary."""


@attrs.frozen
class AtPosition:
    """Requirement: the statement may run on any server whose log has a position."""

    position: LogPosition


@attrs.frozen
class NotProvable:
    """No position can be required, because no position sample is recent enough."""


@attrs.frozen
class TenantOpening:
    """State of a server's connections when another tenant's is to be opened.

    Attributes
    ----------
    under_way : bool
        Whether a connection in the tenant's name is being opened to it.
    possible : bool
        Whether one more may be opened now.
    has_room : bool
        Whether no other tenant's connection need be given up.
    """

    under_way: bool
    possible: bool
    has_room: bool


@attrs.frozen
class ServerCandidate:
    """What this process knows of one server when it chooses.

    Attributes
    ----------
    server_id : str
    is_primary : bool
    has_connection : bool
        Whether a connection to it is idle.
    has_slot : bool
        Whether this process may send it one more statement.
    may_have_position : bool
        Whether its log may have the required position.
    latency_seconds : float
        Expected duration of a read that is alone there; see
        ``server_load.ExpectedLoad``.
    running_statements : int
        Statements of this process that run there.
    network_seconds : float
        Extra round-trip time; see ``network_delays.network_seconds``.
    may_be_unreachable : bool
        Whether it has left statements unanswered.
    opening : TenantOpening or None
        What opening a connection in the tenant's name means there; None without
        tenants.
    other_statements : float
        Statements of other processes that are expected there.
    """

    server_id: str
    is_primary: bool
    has_connection: bool
    has_slot: bool
    may_have_position: bool
    latency_seconds: float
    running_statements: int
    network_seconds: float
    may_be_unreachable: bool
    opening: object = None
    other_statements: float = 0.0


def expected_statement_seconds(candidate):
    """Return an estimate of the duration of one more statement at a candidate."""
    statement_count = candidate.running_statements + candidate.other_statements
    seconds = candidate.latency_seconds * (1 + statement_count)
    if candidate.is_primary:
        seconds *= PRIMARY_COST_FACTOR
    # The measured durations already contain the round trip, so crossing to another
    # region counts twice. That is intended: it also takes room on the link.
    seconds += candidate.network_seconds
    if candidate.may_be_unreachable:
        seconds += UNREACHABLE_PENALTY_SECONDS
    return seconds


def may_serve(requirement, candidates):
    """Return whether a candidate may serve a statement now or after a wait.

    Parameters
    ----------
    requirement : OnPrimary, AtPosition or NotProvable
    candidates : iterable of ServerCandidate

    Returns
    -------
    bool
    """
    if isinstance(requirement, AtPosition):
        return any(
            candidate.may_have_position or candidate.is_primary
            for candidate in candidates
        )
    return any(candidate.is_primary for candidate in candidates)


@attrs.frozen
class ServerChoice:
    """Server chosen for a statement.

    Attributes
    ----------
    server_id : str or None
        The server to use now; None when the statement must wait.
    open_server_id : str or None
        The server to open another connection to while the statement waits.
    """

    server_id: str | None = None
    open_server_id: str | None = None


def choose_server(requirement, candidates):
    """Choose the usable server with the least expected duration.

    Parameters
    ----------
    requirement : OnPrimary, AtPosition or NotProvable
        What the statement requires of its server.
    candidates : iterable of ServerCandidate

    Returns
    -------
    ServerChoice
    """
    match requirement:
        case OnPrimary():
            usable = [
                candidate
                for candidate in candidates
                if candidate.is_primary and candidate.has_slot
            ]
        case AtPosition():
            usable = [
                candidate
                for candidate in candidates
                if candidate.has_slot
                and (candidate.may_have_position or candidate.is_primary)
            ]
        case NotProvable():
            return ServerChoice()
    if not usable:
        return ServerChoice()
    with_connection = [candidate for candidate in usable if candidate.has_connection]
    if with_connection:
        return ServerChoice(
            min(with_connection, key=expected_statement_seconds).server_id
        )
    return ServerChoice(open_server_id=min(usable, key=opening_cost).server_id)


def opening_cost(candidate):
    """Return a key by which servers are compared to open a connection.

    With tenants, connections are scarcer than statements. Loads change while one is
    opened, and a second one elsewhere would be spare. The primary's connections are
    kept for what can only run there: all tenants together need more than it accepts.
    """
    seconds = expected_statement_seconds(candidate)
    if candidate.opening is None:
        return (seconds,)
    return (
        candidate.may_be_unreachable,
        not (candidate.opening.under_way or candidate.opening.possible),
        not candidate.opening.under_way,
        candidate.is_primary,
        not candidate.opening.has_room,
        seconds,
    )
