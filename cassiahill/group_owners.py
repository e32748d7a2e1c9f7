"""Chooses the proxies that hold connections to the servers of a group; does no I/O.

A server's connection limit and slots do not grow with the number of proxies. In a small
fleet all proxies hold connections, and no session is relayed. In a larger fleet a few
group owners in each failure domain hold them, and the other proxies relay sessions to
these. With few queues in front of a server, urgent requests are served first, and few
proxies repeat what the server refuses.

Each owner asks and probes servers in other regions, over a narrow link. With several
regions there are therefore fewer owners in each failure domain.
"""

import collections

import attrs

from cassiahill import regions as failure_regions
from cassiahill import rendezvous

# One of them is the proxy's quota; the quotas of all proxies add up to half of the
# server's connection limit.
CONNECTIONS_PER_PROXY = 2
MAX_DIRECT_PROXIES = 16  # Largest fleet in which every proxy holds connections.
# An owner needs several connections, so that transactions do not block one another.
CONNECTIONS_PER_OWNER = 8
OWNERS_PER_DOMAIN = 2  # One owner serves while the other restarts.
# With several regions, an owner in another domain of the region serves meanwhile.
OWNERS_PER_DOMAIN_OF_REGION = 1
MIN_OWNER_DOMAINS_PER_REGION = 2


@attrs.frozen
class GroupOwners:
    """The proxies that hold connections to the servers of a group.

    Attributes
    ----------
    every_proxy_serves : bool
        Whether every proxy holds connections and relays no sessions.
    proxy_names_by_domain : dict
        Names of the proxies of each failure domain. The owners come first, then those
        that replace an owner that does not answer.
    owners_per_domain : int
        Number of owners in each failure domain.
    """

    every_proxy_serves: bool
    proxy_names_by_domain: dict
    owners_per_domain: int

    @property
    def connected_proxy_count(self):
        """Number of proxies that hold connections."""
        proxy_counts = (len(names) for names in self.proxy_names_by_domain.values())
        if self.every_proxy_serves:
            return sum(proxy_counts)
        return sum(min(count, self.owners_per_domain) for count in proxy_counts)

    @property
    def connected_proxy_names(self):
        """Names of the proxies that hold connections, as a set."""
        return {name for names in self.owner_names_by_domain.values() for name in names}

    @property
    def owner_names_by_domain(self):
        """Names of the proxies of each failure domain that hold connections."""
        if self.every_proxy_serves:
            return self.proxy_names_by_domain
        return {
            domain: names[: self.owners_per_domain]
            for domain, names in self.proxy_names_by_domain.items()
        }

    def includes_proxy(self, name, domain):
        """Return whether a proxy holds connections to the group."""
        names = self.proxy_names_by_domain.get(domain, ())
        return self.every_proxy_serves or name in names[: self.owners_per_domain]

    def relay_candidates(self, domain, session_number, regions=None):
        """Return the proxies to relay a session to, in order of preference.

        Parameters
        ----------
        domain : str
            Failure domain of the proxy that relays; the owners in it come first.
        session_number : int
            Number of the session, to spread sessions over the owners of a domain.
        regions : regions.Regions or None
            The other domains of the own region come before those of other regions.
            None in a deployment without regions.

        Returns
        -------
        list of str
            For each domain its owners and one proxy to replace an owner.
        """
        regions = regions or failure_regions.Regions(domain)
        names_in_order = []
        for owner_domain in regions.nearest_first(
            {domain, *self.proxy_names_by_domain}
        ):
            names = list(self.proxy_names_by_domain.get(owner_domain, ()))
            count = min(self.owners_per_domain, len(names))
            if count:
                rotation = session_number % count
                names[:count] = names[rotation:count] + names[:rotation]
            names_in_order.append(names[: count + 1])
        return [name for names in names_in_order for name in names]

    def owners_in_region(self, region, session_number, regions):
        """Return the owners in another region, from a different one for each session.

        Parameters
        ----------
        region : str
        session_number : int
        regions : regions.Regions

        Returns
        -------
        list of str
        """
        names = [
            name
            for domain in sorted(self.proxy_names_by_domain)
            if regions.region_of(domain) == region
            for name in self.proxy_names_by_domain[domain][: self.owners_per_domain]
        ]
        rotation = session_number % max(1, len(names))
        return names[rotation:] + names[:rotation]


def owners_per_domain_limit(domains, region_by_domain):
    """Return the largest number of owners of a group in one failure domain.

    Parameters
    ----------
    domains : iterable of str
        Failure domains that have proxies.
    region_by_domain : dict of str to str
        Empty in a deployment without regions.

    Returns
    -------
    int
    """
    domain_counts = collections.Counter(
        region_by_domain.get(domain) for domain in domains
    )
    has_several_regions = len(domain_counts) > 1 and None not in domain_counts
    if (
        has_several_regions
        and min(domain_counts.values()) >= MIN_OWNER_DOMAINS_PER_REGION
    ):
        return OWNERS_PER_DOMAIN_OF_REGION
    return OWNERS_PER_DOMAIN


def choose_owners(group, domains_by_name, connection_limit, region_by_domain=None):
    """Return the owners of a group, chosen by rendezvous hashing.

    Parameters
    ----------
    group : str
    domains_by_name : dict
        Failure domain of each proxy, by the proxy's name.
    connection_limit : int
        Number of connections that each server of the group accepts.
    region_by_domain : dict of str to str, or None
        Region of each failure domain; None or empty without regions.

    Returns
    -------
    GroupOwners
    """
    proxy_names_by_domain = rendezvous.rank_by_domain(group, domains_by_name)
    proxy_count = len(domains_by_name)
    limit_suffices = proxy_count * CONNECTIONS_PER_PROXY <= connection_limit
    every_proxy_serves = limit_suffices and proxy_count <= MAX_DIRECT_PROXIES
    domain_count = max(1, len(proxy_names_by_domain))
    owner_count = connection_limit // CONNECTIONS_PER_OWNER // domain_count
    max_owner_count = owners_per_domain_limit(
        proxy_names_by_domain, region_by_domain or {}
    )
    owner_count = max(1, min(max_owner_count, owner_count))
    return GroupOwners(every_proxy_serves, proxy_names_by_domain, owner_count)
