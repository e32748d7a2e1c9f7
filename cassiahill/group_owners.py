"""Which proxies hold connections to the servers of a group; a decision without I/O.

Neither the connections nor the slots of a server grow with the number of proxies. In a
small fleet all proxies keep a connection, and no request takes a hop. Beyond that a few
owners in each failure domain keep them, and the other proxies relay sessions there: few
queues before a server keep urgent work first, and few proxies repeat what it refuses.
"""

import attrs
import xxhash

# Each proxy keeps one connection in half of the limit; the rest is borrowed.
CONNECTIONS_PER_PROXY = 2
DIRECT_PROXIES = 16
# An owner needs a few connections, so that transactions do not block one another.
CONNECTIONS_PER_OWNER = 8
OWNERS_PER_DOMAIN = 2  # One may be restarting.


@attrs.frozen
class Owners:
    """The proxies that serve a group.

    Attributes
    ----------
    direct : bool
        Whether every proxy serves the group itself.
    proxy_names_by_domain : dict
        Names of the proxies of each failure domain; the owners come first, then those
        that take their place when they do not answer.
    owners_per_domain : int
        Number of owners in each failure domain.
    """

    direct: bool
    proxy_names_by_domain: dict
    owners_per_domain: int

    @property
    def total(self):
        """Number of proxies that hold connections."""
        counts = (len(names) for names in self.proxy_names_by_domain.values())
        if self.direct:
            return sum(counts)
        return sum(min(count, self.owners_per_domain) for count in counts)

    def includes(self, name, domain):
        """Return whether a proxy holds connections to the group."""
        names = self.proxy_names_by_domain.get(domain, ())
        return self.direct or name in names[: self.owners_per_domain]

    def relay_candidates(self, domain, start):
        """Return the names to relay a session to, in the order of preference.

        Parameters
        ----------
        domain : str
            Failure domain of the proxy that relays; its own owners come first.
        start : int
            Spreads the sessions over the owners of a domain.
        """
        found = []
        others = sorted(one for one in self.proxy_names_by_domain if one != domain)
        for one in [domain, *others]:
            names = list(self.proxy_names_by_domain.get(one, ()))
            count = min(self.owners_per_domain, len(names))
            if count:
                turn = start % count
                names[:count] = names[turn:count] + names[:turn]
            found.append(names[: count + 1])
        return [name for names in found for name in names]


def choose_owners(group, domains_by_name, connection_limit):
    """Return the owners of a group.

    Parameters
    ----------
    group : str
    domains_by_name : dict
        Failure domains of all proxies.
    connection_limit : int
        Connections that each server of the group takes.
    """
    proxy_names_by_domain = {}
    for name, domain in domains_by_name.items():
        proxy_names_by_domain.setdefault(domain, []).append(name)
    for names in proxy_names_by_domain.values():
        names.sort(
            key=lambda name: xxhash.xxh3_64_intdigest(f"{group}\0{name}".encode()),
            reverse=True,
        )
    proxies = len(domains_by_name)
    enough = proxies * CONNECTIONS_PER_PROXY <= connection_limit
    direct = enough and proxies <= DIRECT_PROXIES
    domains = max(1, len(proxy_names_by_domain))
    count = connection_limit // CONNECTIONS_PER_OWNER // domains
    count = max(1, min(OWNERS_PER_DOMAIN, count))
    return Owners(direct, proxy_names_by_domain, count)
