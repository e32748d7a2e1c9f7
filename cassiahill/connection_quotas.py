"""How many connections one process may have to a server; does no I/O.

The decision is meant for servers with few connections: all processes together stay
below the server's limit, without asking one another.
"""

import math

import attrs

# The quotas of all proxies add up to half of a server's connection limit. The other
# half is left for bursts and for reconnects: after a power failure the server holds the
# lost connections for some seconds beside the new ones.
QUOTA_DIVISOR = 2
# With tenants they add up to seven eighths: a connection serves one tenant only, so few
# of them are shared, and one that is reopened costs a slot. After a power failure, new
# ones may be refused until the server has dropped the lost ones.
TENANT_QUOTA_SHARE = 0.875
# One tenant may hold as many connections as if all owners kept half of the limit for
# it, so that its transactions at rest leave room for others at every owner.
TENANT_LIMIT_SHARE = 0.5
MIN_TENANT_LIMIT = 2  # One for a transaction and one for other statements.


@attrs.frozen
class ConnectionQuotas:
    """What each process may keep open at one server of a group.

    Attributes
    ----------
    connection_limit : int
        Connections that the server accepts from all processes.
    proxy_count : int
        Number of proxies that hold connections to it.
    has_tenants : bool
    """

    connection_limit: int = 1
    proxy_count: int = 1
    has_tenants: bool = False

    @property
    def per_process(self):
        """Connections that a process may keep open."""
        if self.has_tenants:
            shared_connections = int(TENANT_QUOTA_SHARE * self.connection_limit)
            return max(1, shared_connections // self.proxy_count)
        return max(1, self.connection_limit // (QUOTA_DIVISOR * self.proxy_count))

    @property
    def per_tenant(self):
        """Connections of a process in one tenant's name; None without tenants."""
        if not self.has_tenants:
            return None
        shared_connections = TENANT_LIMIT_SHARE * self.connection_limit
        return max(MIN_TENANT_LIMIT, math.ceil(shared_connections / self.proxy_count))
