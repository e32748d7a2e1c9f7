"""The idle connections of a pool, by the tenant in whose name each was opened.

A server runs every statement on a connection as that tenant, so a client's statement
gets a connection of its own tenant only. With more tenants than a server accepts
connections, the connection that was unused longest is given up for a tenant that waits
for one.
"""


class IdleConnections:
    """Idle connections; those of one tenant in the order in which they became idle."""

    def __init__(self):
        self._idle_by_tenant = {}
        self._count = 0

    def __len__(self):
        return self._count

    def __iter__(self):
        """Iterate over a copy, from the connection that was unused longest."""
        connections = [
            connection
            for tenant_connections in self._idle_by_tenant.values()
            for connection in tenant_connections
        ]
        connections.sort(key=lambda connection: connection.used_at)
        return iter(connections)

    def count_for(self, tenant):
        """Return how many connections of a tenant are idle."""
        return len(self._idle_by_tenant.get(tenant, ()))

    def add(self, connection, tenant):
        """Add a connection that was opened in a tenant's name."""
        self._idle_by_tenant.setdefault(tenant, []).append(connection)
        self._count += 1

    def discard(self, connection, tenant):
        """Remove a connection if it is idle."""
        connections = self._idle_by_tenant.get(tenant, ())
        if connection not in connections:
            return
        connections.remove(connection)
        self._count -= 1
        if not connections:
            del self._idle_by_tenant[tenant]

    def take(self, tenant, values_by_name):
        """Remove and return a tenant's connection; None if none is idle.

        Parameters
        ----------
        tenant : str or None
        values_by_name : dict
            Session values; the connection that has them and was used last is
            preferred, without one that which was unused longest.
        """
        connections = self._idle_by_tenant.get(tenant)
        if not connections:
            return None
        for connection in reversed(connections):
            if connection.values_by_name == values_by_name:
                break
        self.discard(connection, tenant)
        return connection

    def take_any(self):
        """Remove and return the connection that was used last; None if none is idle.

        Taking it leaves the others' time without use as it is.
        """
        if not self._idle_by_tenant:
            return None
        tenant, connections = max(
            self._idle_by_tenant.items(), key=lambda item: item[1][-1].used_at
        )
        connection = connections[-1]
        self.discard(connection, tenant)
        return connection

    def unused_longest(self, excluded_tenants):
        """Return the connection that was unused longest, or None.

        Parameters
        ----------
        excluded_tenants : collection of str or None
            Tenants whose connections are not considered.
        """
        return min(
            (
                connection
                for tenant, connections in self._idle_by_tenant.items()
                if tenant not in excluded_tenants
                for connection in connections
            ),
            key=lambda connection: connection.used_at,
            default=None,
        )
