"""Decides whether a session is served in another region; does no I/O.

The link between two regions is slow and narrow. A read of the newest state runs in an
empty transaction on the primary, which is three round trips on a connection to it. When
an owner near the primary serves the session, only the client's statement and its answer
cross. Reads that a replica may serve stay in the own region.

The decision is meant for sessions whose reads all need a primary in another region.
"""

import attrs

from cassiahill.catalog import Consistency

# Round trips of one read on the primary: its begin, the read, and the rollback.
PRIMARY_READ_ROUND_TRIPS = 3
RELAYED_STATEMENT_ROUND_TRIPS = 1


@attrs.frozen
class SessionPlace:
    """Where a session is served, seen from its client's region.

    Attributes
    ----------
    near_primary : bool
        Whether an owner in the primary's region serves it, and not one in the client's.
    """

    near_primary: bool


def round_trips_of_read(place, reads_need_primary):
    """Return how many round trips between the regions a read takes.

    Parameters
    ----------
    place : SessionPlace
    reads_need_primary : bool
        Whether a read must run on the primary, which is in another region. Otherwise a
        replica in the client's region serves it.

    Returns
    -------
    int
    """
    if place.near_primary:
        return RELAYED_STATEMENT_ROUND_TRIPS
    return PRIMARY_READ_ROUND_TRIPS if reads_need_primary else 0


def choose_place(consistency, primary_domain, regions):
    """Return the ``SessionPlace`` with fewer round trips for reads.

    Writes and transactions do not decide: each of their statements crosses once, on the
    relay or on a connection to the primary.

    Parameters
    ----------
    consistency : catalog.Consistency
        What the reads of the session's route require.
    primary_domain : str or None
        Failure domain of the group's known primary.
    regions : regions.Regions

    Returns
    -------
    SessionPlace
    """
    near_client = SessionPlace(near_primary=False)
    if primary_domain is None or regions.is_same_region(primary_domain):
        return near_client
    reads_need_primary = consistency is Consistency.PRIMARY
    return min(
        near_client,
        SessionPlace(near_primary=True),
        key=lambda place: round_trips_of_read(place, reads_need_primary),
    )
