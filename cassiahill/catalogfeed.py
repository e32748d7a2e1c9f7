"""Keeps the catalog up to date from the shared store, or from peers without it."""

import attrs

from cassiahill import eventlog, following
from cassiahill.catalog import Added
from cassiahill.pulses import View

SWEEP_SECONDS = 0.2
FAR_PAUSE_SECONDS = 2.0  # Each call counts against the store's rate for all proxies.


@attrs.frozen
class CatalogSource:
    """Where the catalog lies in the store, and how its documents are decoded.

    Attributes
    ----------
    configuration_kind, configuration_name, servers_kind : str
    decode_configuration : callable
        Returns a ``catalog.Configuration`` or None for a document.
    decode_server : callable
        Returns a ``catalog.BackendServer`` or None for an id and a document.
    """

    configuration_kind: str
    configuration_name: str
    servers_kind: str
    decode_configuration: object
    decode_server: object


class CatalogFeed:
    """Follows configuration and servers.

    Parameters
    ----------
    loop : loop.EventLoop
    store : sharedstore.SharedStore
    catalog : catalog.Catalog
    source : CatalogSource
    rng : random.Random
    on_configuration : callable
        Called without arguments after a newer configuration was installed.
    on_server : callable
        Called with each ``catalog.Added`` and ``catalog.Removed``.
    """

    def __init__(self, loop, store, catalog, source, rng, on_configuration, on_server):
        self._loop = loop
        self._catalog = catalog
        self._source = source
        self._on_configuration = on_configuration
        self._on_server = on_server
        self._documents_by_id = {}
        self._peer_revision = 0
        self._closed = False
        self._configurations = following.KindFollower(
            loop,
            store,
            source.configuration_kind,
            rng,
            self._take_configurations,
            lambda change: self._take_configuration(change.stored, "store"),
        )
        self._servers = following.KindFollower(
            loop, store, source.servers_kind, rng, self._take_servers, self._take_change
        )
        self._sweep()

    @property
    def versions(self):
        """Version of the configuration, and revision of the list of servers."""
        configuration = self._catalog.configuration
        version = 0 if configuration is None else configuration.version
        return version, max(self._servers.revision, self._peer_revision)

    @property
    def is_store_unreachable(self):
        """Whether the store gives no answers to one of the followers."""
        links = (self._configurations.link, self._servers.link)
        return any(link.lost_at is not None for link in links)

    def view(self):
        """Return what is known, for a peer."""
        configuration = self._catalog.configuration
        document = None if configuration is None else configuration.document
        return View(document, self.versions[1], dict(self._documents_by_id))

    def apply_view(self, view, peer):
        """Take what a peer knows and this process does not."""
        if view.configuration is not None:
            self._install(view.configuration, f"peer {peer}")
        if self.is_store_unreachable and view.servers_revision > self.versions[1]:
            self._peer_revision = view.servers_revision
            eventlog.event("servers_from_peer", peer=peer, revision=self._peer_revision)
            self._replace_servers(view.servers)

    def set_server_watch_pause(self, short):
        """Learn of changed servers at once, or only within seconds.

        Parameters
        ----------
        short : bool
            Whether this process is connected to servers.
        """
        pause = following.PAUSE_SECONDS if short else FAR_PAUSE_SECONDS
        self._servers.pause_seconds = pause

    def close(self):
        """Stop following."""
        self._closed = True
        self._configurations.close()
        self._servers.close()

    def _take_configurations(self, snapshot):
        for stored in snapshot.objects:
            self._take_configuration(stored, "store")

    def _take_configuration(self, stored, source):
        if stored.name == self._source.configuration_name:
            self._install(stored.value, source)

    def _install(self, document, source):
        configuration = self._source.decode_configuration(document)
        if configuration is None:
            eventlog.event("configuration_unreadable", source=source)
            return
        if self._catalog.install(configuration):
            eventlog.event(
                "configuration_installed",
                version=configuration.version,
                routes=len(configuration.routes_by_database),
                source=source,
            )
            self._on_configuration()

    def _take_servers(self, snapshot):
        self._replace_servers({one.name: one.value for one in snapshot.objects})

    def _replace_servers(self, documents_by_id):
        now = self._loop.clock.now()
        for server_id in list(self._documents_by_id):
            if server_id not in documents_by_id:
                self._remove(server_id, now)
        for server_id, document in documents_by_id.items():
            self._put(server_id, document, now)

    def _take_change(self, change):
        now = self._loop.clock.now()
        if change.deleted:
            self._remove(change.stored.name, now)
        else:
            self._put(change.stored.name, change.stored.value, now)

    def _put(self, server_id, document, now):
        self._documents_by_id[server_id] = document
        server = self._source.decode_server(server_id, document)
        if server is None:
            eventlog.event("server_unreadable", server=server_id)
            self._catalog.mark_missing(server_id, now)
            return
        change = self._catalog.put(server, now)
        if change is not None:
            self._log_server(change)
            self._on_server(change)

    def _remove(self, server_id, now):
        self._documents_by_id.pop(server_id, None)
        self._catalog.mark_missing(server_id, now)
        eventlog.event("server_entry_gone", server=server_id)

    def _sweep(self):
        if self._closed:
            return
        now = self._loop.clock.now()
        for removed in self._catalog.sweep(now):
            eventlog.event("server_removed", server=removed.server.server_id)
            self._on_server(removed)
        self._loop.call_at(now + SWEEP_SECONDS, self._sweep)

    def _log_server(self, change: Added):
        server = change.server
        eventlog.event(
            "server_changed" if change.before else "server_added",
            server=server.server_id,
            group=server.group,
            address=f"{server.address[0]}:{server.address[1]}",
            domain=server.failure_domain,
            draining=server.draining,
            primary=server.says_primary,
        )
