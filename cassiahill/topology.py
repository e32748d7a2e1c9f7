"""The database groups of a process: adapters, monitors and views."""

from cassiahill import backend_http, poller


class Topology:
    """Adapters and monitors of the configured groups.

    Parameters
    ----------
    loop : loop.EventLoop
    own_domain : str
        Failure domain of this process.
    ssl_context : ssl.SSLContext or None
        For connections to backend servers.
    """

    def __init__(self, loop, own_domain, ssl_context=None):
        self.groups_by_name = {}
        self.servers_by_name = {}
        self.backends_by_server = {}
        self.monitors_by_group = {}
        self.domains_by_server = {}
        self._loop = loop
        self._own_domain = own_domain
        self._ssl_context = ssl_context

    @property
    def views_by_group(self):
        """Views of the groups by name."""
        return {name: m.view for name, m in self.monitors_by_group.items()}

    def update(self, groups_by_name):
        """Take over the groups; what did not change keeps its state."""
        for name, group in list(self.groups_by_name.items()):
            if groups_by_name.get(name) != group:
                self._remove(name)
        for name, group in groups_by_name.items():
            if name not in self.groups_by_name:
                self._add(group)

    def close(self):
        """Stop all monitors."""
        for name in list(self.groups_by_name):
            self._remove(name)

    def _add(self, group):
        self.groups_by_name[group.name] = group
        for server in group.servers_by_name.values():
            self.servers_by_name[server.name] = server
            self.domains_by_server[server.name] = server.failure_domain
            self.backends_by_server[server.name] = backend_http.HttpBackend(
                self._loop,
                server.name,
                group.name,
                server.address,
                self._own_domain,
                self._ssl_context,
            )
        self.monitors_by_group[group.name] = poller.GroupMonitor(
            self._loop, group, self.backends_by_server
        )

    def _remove(self, name):
        self.monitors_by_group.pop(name).close()
        for server in self.groups_by_name.pop(name).servers_by_name:
            del self.servers_by_name[server]
            del self.domains_by_server[server]
            del self.backends_by_server[server]
