"""Detects that this process does not reach the other failure domains.

When a failure domain or a host is partitioned from the rest, clients still reach this
process, but it can serve few of their requests. It then asks the load balancer for no
more clients and closes idle sessions, so that their clients reconnect through another
failure domain.

A cut between two regions is no partition: a process that reaches other domains of its
own region serves what the servers there allow.
"""

import attrs

from cassiahill.regions import Regions

# An idle server is probed every 0.4 s, so a probe can be answered within this time.
DOMAIN_UNREACHABLE_SECONDS = 0.7
PEERS_UNREACHABLE_SECONDS = 1.2  # Three heartbeat intervals.
CONFIRMATION_INTERVAL_SECONDS = 0.3
# Peers of each other domain that are asked then. One of them may be restarting.
CONFIRMATION_PEERS = 2


@attrs.frozen
class Contact:
    """What this process knows of its path to one backend server or peer.

    Attributes
    ----------
    failure_domain : str
    answered_at : float
        Instant of its last answer.
    unanswered : bool
        Whether something was sent to it since and has not been answered.
    """

    failure_domain: str
    answered_at: float
    unanswered: bool


# Fewer servers than this may all be unreachable because of a fault in their group. Then
# the peers in other failure domains must be unreachable too.
MIN_SERVERS_ELSEWHERE = 4
# At least these many of them must be in the own region, because a cut between regions
# makes all others unreachable together.
MIN_SERVERS_IN_OWN_REGION = 2


def relevant_contacts(own_domain, servers, peers, regions=None):
    """Return the contacts that tell whether this process is partitioned.

    Parameters
    ----------
    own_domain : str
        Failure domain of this process.
    servers, peers : list of Contact
    regions : regions.Regions or None
        None in a deployment without regions.

    Returns
    -------
    list of Contact
    """
    regions = regions or Regions(own_domain)
    domains_elsewhere = [
        contact.failure_domain
        for contact in servers
        if contact.failure_domain != own_domain
    ]
    near_count = sum(map(regions.is_same_region, domains_elsewhere))
    suffice = (
        len(domains_elsewhere) >= MIN_SERVERS_ELSEWHERE
        and near_count >= MIN_SERVERS_IN_OWN_REGION
    )
    return servers if suffice else servers + peers


def is_partitioned(own_domain, contacts, now):
    """Return whether no contact in another failure domain answers.

    Parameters
    ----------
    own_domain : str
        Failure domain of this process.
    contacts : iterable of Contact
    now : float

    Returns
    -------
    bool
        False also when there is no contact in another failure domain.
    """
    contacts_elsewhere = [
        contact for contact in contacts if contact.failure_domain != own_domain
    ]
    return bool(contacts_elsewhere) and all(
        contact.unanswered and now - contact.answered_at > DOMAIN_UNREACHABLE_SECONDS
        for contact in contacts_elsewhere
    )


def partitioned_since(since, own_domain, contacts, now):
    """Return the instant since which this process is partitioned, or None.

    A partition ends with an answer from another failure domain. That no request is
    unanswered for a moment does not end it.

    Parameters
    ----------
    since : float or None
        Previous result of this function.
    own_domain : str
        Failure domain of this process.
    contacts : iterable of Contact
    now : float

    Returns
    -------
    float or None
    """
    if since is None:
        return now if is_partitioned(own_domain, contacts, now) else None
    answered_since = any(
        contact.answered_at > since
        for contact in contacts
        if contact.failure_domain != own_domain
    )
    return None if answered_since else since


class PeerContacts:
    """Paths of this process to the other failure domains, by heartbeats to peers.

    One peer that does not answer says little. When that happens, one or more peers of
    every other domain are asked at once, because a random one of them is asked rarely
    in a fleet with many domains. Another region counts as one domain, because few of
    its peers are asked.

    Parameters
    ----------
    own_domain : str
    now : float
    regions : regions.Regions or None
        None in a deployment without regions.
    """

    def __init__(self, own_domain, now, regions=None):
        self._own_domain = own_domain
        self._regions = regions or Regions(own_domain)
        self._contacts_by_domain = {}
        self._confirmed_at = float("-inf")
        self._any_answered_at = now
        self._restarted_at = now

    def record(self, domain, answered, now):
        """Record whether a peer of a failure domain answered a heartbeat.

        Returns
        -------
        bool
            Whether peers of all other domains should be asked now.
        """
        unknown_since = now
        if self._regions.own_region_has_witnesses and not self._regions.is_same_region(
            domain
        ):
            domain = f"region {self._regions.region_of(domain)}"
            # Most proxies ask another region only once something does not answer. That
            # it was not asked before must not delay the decision.
            unknown_since = self._restarted_at
        previous = self._contacts_by_domain.get(
            domain, Contact(domain, unknown_since, False)
        )
        answered_at = now if answered else previous.answered_at
        self._contacts_by_domain[domain] = Contact(domain, answered_at, not answered)
        if answered:
            self._any_answered_at = now
        if answered or domain == self._own_domain:
            return False
        if now - self._confirmed_at < CONFIRMATION_INTERVAL_SECONDS:
            return False
        self._confirmed_at = now
        return True

    def restart(self, now):
        """Forget the contacts after a time in which no answer could arrive."""
        self._contacts_by_domain.clear()
        self._any_answered_at = now
        self._restarted_at = now

    def contacts(self):
        """Return one ``Contact`` for each failure domain contacted."""
        return list(self._contacts_by_domain.values())

    def is_partitioned(self, now):
        """Return whether no peer answers, or none in another failure domain."""
        return (
            now - self._any_answered_at > PEERS_UNREACHABLE_SECONDS
            or is_partitioned(self._own_domain, self.contacts(), now)
        )
