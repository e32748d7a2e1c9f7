"""Broken versions of the connections by tenant, which the tests must detect."""

from cassiahill import idle_connections


class SharedConnections(idle_connections.IdleConnections):
    """Gives a request any idle connection, whoever it was opened for."""

    def count_for(self, tenant):
        return len(self)

    def take(self, tenant, values_by_name):
        return self.take_any()


class RelabelledConnections(idle_connections.IdleConnections):
    """Files each connection under the tenant that asked last."""

    last_tenant = None

    def count_for(self, tenant):
        self.last_tenant = tenant
        return super().count_for(tenant)

    def add(self, connection, tenant):
        super().add(connection, self.last_tenant or tenant)
