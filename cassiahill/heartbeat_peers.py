"""Chooses the members that get heartbeats beside the promoter; does no I/O.

Heartbeats to other failure domains show a partition, and carry news. Inside a region
they cost little. Between regions they share a narrow link with the requests, so only
the first reader of the store in each failure domain asks another region, and its region
learns from it. In a region with too few domains to tell whether one of them is cut off,
all other domains are alike, as without regions.

The choice is meant for large fleets, and for a cut or full link, which must not draw
more heartbeats than the usual ones.
"""

import attrs

from cassiahill.reachability import CONFIRMATION_PEERS
from cassiahill.regions import Distance, Regions

# Peers of each other region that are asked to confirm a partition. In the own region
# ``CONFIRMATION_PEERS`` of each domain are asked, so that one which restarts does not
# decide.
CONFIRMATION_PEERS_ACROSS = 1


@attrs.frozen
class PeerChoice:
    """Members of which some get a heartbeat.

    Attributes
    ----------
    members : list of heartbeats.Member
    count : int
        How many of them, chosen at random.
    """

    members: list
    count: int


def asks_other_regions(readers, own_name, own_domain):
    """Return whether a proxy is one of those that send heartbeats to other regions.

    Parameters
    ----------
    readers : store_readers.StoreReaders
    own_name, own_domain : str
    """
    return list(readers.names_by_domain.get(own_domain, ()))[:1] == [own_name]


def usual_choices(members, regions, asks_across):
    """Return the choices of each heartbeat interval.

    Parameters
    ----------
    members : iterable of heartbeats.Member
        All members.
    regions : regions.Regions
    asks_across : bool
        Whether this process sends heartbeats to other regions.

    Returns
    -------
    list of PeerChoice
    """
    peer_regions = _regions_of_peers(regions)
    near_members = [
        member
        for member in members
        if peer_regions.distance(member.failure_domain) is Distance.OWN_REGION
    ]
    choices = [PeerChoice(near_members, 1)] if near_members else []
    if asks_across or not near_members:
        choices += [
            PeerChoice(far_members, 1)
            for far_members in _members_by_other_region(members, peer_regions).values()
        ]
    return choices


def confirmation_choices(members, regions):
    """Return the choices that confirm or refute a partition; see ``usual_choices``."""
    peer_regions = _regions_of_peers(regions)
    members_by_domain = {}
    for member in members:
        if peer_regions.distance(member.failure_domain) is Distance.OWN_REGION:
            members_by_domain.setdefault(member.failure_domain, []).append(member)
    return [
        PeerChoice(domain_members, min(len(domain_members), CONFIRMATION_PEERS))
        for domain_members in members_by_domain.values()
    ] + [
        PeerChoice(far_members, CONFIRMATION_PEERS_ACROSS)
        for far_members in _members_by_other_region(members, peer_regions).values()
    ]


def members_with_news(members, own_member, regions, asks_across):
    """Return the members to ask for news while the store does not answer.

    Parameters
    ----------
    members : iterable of heartbeats.Member
    own_member : heartbeats.Member
    regions : regions.Regions
    asks_across : bool

    Returns
    -------
    list of heartbeats.Member
    """
    other_members = [member for member in members if member != own_member]
    near_members = [
        member
        for member in other_members
        if regions.is_same_region(member.failure_domain)
    ]
    return other_members if asks_across else near_members or other_members


def _regions_of_peers(regions):
    """Return the regions; a single one if the own region has too few other domains."""
    return regions if regions.own_region_has_witnesses else Regions(regions.own_domain)


def _members_by_other_region(members, regions):
    members_by_region = {}
    for member in members:
        if regions.distance(member.failure_domain) is Distance.OTHER_REGION:
            region = regions.region_of(member.failure_domain)
            members_by_region.setdefault(region, []).append(member)
    return members_by_region
