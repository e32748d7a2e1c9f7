"""The configured database groups of a process, with their adapters and monitors."""

from cassiahill import backend_http, poller


class Topology:
    """Creates and closes adapters and monitors as the configured groups change.

    Parameters
    ----------
    loop : loop.EventLoop
    own_domain : str
        Failure domain of this process.
    ssl_context : ssl.SSLContext or None
        For connections to backend servers.

    Attributes
    ----------
    groups_by_name : dict of str to settings.GroupSettings
    servers_by_name : dict of str to settings.ServerSettings
        Servers of all groups.
    backends_by_server : dict of str to backend.Backend
    monitors_by_group : dict of str to poller.GroupMonitor
    domains_by_server : dict of str to str
        Failure domain of each server.
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
        """The ``freshness.GroupView`` of each group, by group name."""
        return {
            group: monitor.view for group, monitor in self.monitors_by_group.items()
        }

    def update(self, groups_by_name):
        """Replace the groups; those with the same settings keep their monitors.

        Parameters
        ----------
        groups_by_name : dict of str to settings.GroupSettings
        """
        for name, group in list(self.groups_by_name.items()):
            if groups_by_name.get(name) != group:
                self._remove_group(name)
        for name, group in groups_by_name.items():
            if name not in self.groups_by_name:
                self._add_group(group)

    def close(self):
        """Remove all groups and stop their monitors."""
        for name in list(self.groups_by_name):
            self._remove_group(name)

    def _add_group(self, group):
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

    def _remove_group(self, name):
        self.monitors_by_group.pop(name).close()
        for server_name in self.groups_by_name.pop(name).servers_by_name:
            del self.servers_by_name[server_name]
            del self.domains_by_server[server_name]
            del self.backends_by_server[server_name]
