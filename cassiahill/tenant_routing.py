"""Chooses the group owners that serve a tenant; does no I/O.

The choice is meant for more tenants than a server accepts connections: a tenant that
all owners serve needs a connection of each of them. A small tenant is served by one
owner, which all proxies find by rendezvous hashing, and a large one by all.
"""

import math

import attrs

from cassiahill import rendezvous

# A tenant with more than this fraction of one owner's part of the load is large: one
# owner would be busy with it alone. Each further owner needs connections of its own for
# it, so smaller ones are not spread.
LARGE_OWNER_FRACTION = 1.0
# Owners by the tenant's hash that are tried before those of the own failure domain, so
# that all proxies agree on the second when the first does not answer. With two, a
# failure domain that is cut off reaches its own owner at the third attempt.
AGREED_OWNERS = 2


def large_tenants(directory, owner_count):
    """Return the names of the tenants that all owners of a group serve.

    Without a limit, a tenant's load is not known; it counts as large.

    Parameters
    ----------
    directory : tenants.TenantDirectory
    owner_count : int
    """
    limited = [
        tenant for tenant in directory.by_name.values() if tenant.rate < math.inf
    ]
    total_rate = sum(tenant.rate for tenant in limited)
    threshold = LARGE_OWNER_FRACTION * total_rate / max(1, owner_count)
    return frozenset(
        tenant.name
        for tenant in directory.by_name.values()
        if tenant.rate == math.inf or tenant.rate > threshold
    )


@attrs.frozen
class TenantOwners:
    """Which owners of one group serve which tenant.

    Attributes
    ----------
    group : str
    owners : group_owners.GroupOwners
    large : frozenset of str
        Names of the tenants that all owners serve.
    """

    group: str
    owners: object
    large: frozenset

    @classmethod
    def choose(cls, group, owners, directory):
        """Return the owners of the tenants of a directory."""
        owner_count = owners.connected_proxy_count
        return cls(group, owners, large_tenants(directory, owner_count))

    def has_own_owner(self, tenant):
        """Return whether one owner serves a tenant, instead of all."""
        return tenant is not None and tenant not in self.large

    def rank(self, tenant):
        """Return the owners of the group in the order that all proxies agree on."""
        names_by_domain = self.owners.owner_names_by_domain
        return rendezvous.rank(
            f"{self.group}\0{tenant}",
            [name for names in names_by_domain.values() for name in names],
        )

    def owner_names(self, tenant, own_domain, partitioned=False):
        """Return the owners of a small tenant, in order of preference.

        Parameters
        ----------
        tenant : str
        own_domain : str
            Failure domain whose owners follow after those that all proxies prefer.
        partitioned : bool
            Whether other failure domains are out of reach; the own owners come first.

        Returns
        -------
        list of str
        """
        names = self.rank(tenant)
        own_owners = self.owners.owner_names_by_domain.get(own_domain, ())
        own_names = [name for name in names if name in own_owners]
        agreed_names = [] if partitioned else names[:AGREED_OWNERS]
        return list(dict.fromkeys([*agreed_names, *own_names, *names]))
