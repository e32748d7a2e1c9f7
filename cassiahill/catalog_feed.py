"""Keeps the catalog up to date from the shared store, or from peers in an outage."""

import itertools

import attrs
import msgspec

from cassiahill import errors, event_log, list_completeness, store_watcher
from cassiahill.catalog import ServerAdded
from cassiahill.configuration_age import ConfigurationAge
from cassiahill.heartbeats import View
from cassiahill.shared_store import Revision

# A reader sends a configuration of this size to the followers of its failure domain in
# a second or less. They read a larger one in the store.
LARGE_CONFIGURATION_BYTES = 65_536
LAPSE_CHECK_INTERVAL_SECONDS = 0.2
# Many times what a store in good order takes. After an outage, another call is answered
# sooner than a lost one fails by the store's own time-out.
PROOF_TIMEOUT_SECONDS = 0.6
# Longer for processes without connections: the store limits the calls of all proxies.
UNCONNECTED_WATCH_PAUSE_SECONDS = 2.0

_NO_DOCUMENT = object()


@attrs.frozen
class CatalogSource:
    """Names and decoders of the catalog's objects in the store.

    Attributes
    ----------
    configuration_kind, configuration_name, servers_kind : str
    decode_configuration : callable
        Returns the ``catalog.Configuration`` of a document, or None if it is invalid.
    decode_server : callable
        Returns the ``catalog.BackendServer`` of an id and a document, or None if it is
        invalid.
    """

    configuration_kind: str
    configuration_name: str
    servers_kind: str
    decode_configuration: object
    decode_server: object


@attrs.frozen
class _StoredVersion:
    """Version of the configuration that the store held at a revision.

    The version is None if the configuration cannot be read. A restored store may hold a
    lower version than the installed one.
    """

    revision: Revision = Revision()
    version: int | None = None


class CatalogFeed:
    """Watches the configuration and the servers, and updates the catalog.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    catalog : catalog.Catalog
    source : CatalogSource
    rng : random.Random
    on_configuration : callable
        Called without arguments after a newer configuration was installed.
    on_server : callable
        Called with each ``catalog.ServerAdded`` and ``catalog.ServerRemoved``.
    age : configuration_age.ConfigurationAge or None
        Is told what the store proves. None if the deployment does not limit the age.

    Attributes
    ----------
    completeness : list_completeness.ListCompleteness
        Whether the list of servers is complete.
    """

    def __init__(
        self,
        loop,
        store,
        catalog,
        source,
        rng,
        on_configuration,
        on_server,
        age=None,
    ):
        self._age = age or ConfigurationAge(None, loop.clock.now())
        self._stored_version = _StoredVersion()
        self._complete_revision = Revision()
        self._loop = loop
        self._catalog = catalog
        self._source = source
        self._on_configuration = on_configuration
        self._on_server = on_server
        self._store = store
        self._documents_by_id = {}
        self._failed_documents_by_id = {}
        self._reading_configuration = False
        self._measured_version = 0
        self._configuration_bytes = 0
        self._resting = False
        self.completeness = list_completeness.ListCompleteness()
        self._configuration_watcher = store_watcher.StoreWatcher(
            loop,
            store,
            source.configuration_kind,
            rng,
            self._apply_configuration_snapshot,
            self._apply_configuration_changes,
            on_complete=self._record_proof,
        )
        self._server_watcher = store_watcher.StoreWatcher(
            loop,
            store,
            source.servers_kind,
            rng,
            self._apply_server_snapshot,
            self._apply_server_changes,
            on_complete=self._record_servers_answer,
            on_failure=self.completeness.record_failure,
        )
        self._lapse_timer = loop.repeat(loop.clock.now(), self._remove_lapsed_servers)

    @property
    def versions(self):
        """Version of the configuration and ``Revision`` of the list of servers."""
        configuration = self._catalog.configuration
        version = 0 if configuration is None else configuration.version
        return version, self._server_watcher.changed_revision

    @property
    def is_store_unreachable(self):
        """Whether the store does not answer one of the watchers."""
        return (
            self._configuration_watcher.is_store_unreachable
            or self._server_watcher.is_store_unreachable
        )

    def view(self, known):
        """Return the ``View`` of configuration and servers for a peer.

        Parameters
        ----------
        known : heartbeats.KnownVersions
            What the peer has already.
        """
        version, servers_revision = self.versions
        newer_configuration = newer_servers = None
        if version > known.configuration and (
            known.accepts_large or not self._is_configuration_large()
        ):
            newer_configuration = self._catalog.configuration.document
        if servers_revision > known.servers_as_of:
            newer_servers = dict(self._documents_by_id)
        return View(
            newer_configuration,
            servers_revision.number,
            newer_servers,
            servers_era=servers_revision.era,
        )

    def _is_configuration_large(self):
        """Return whether many copies of the configuration would fill a host's link."""
        configuration = self._catalog.configuration
        if self._measured_version != configuration.version:
            self._measured_version = configuration.version
            self._configuration_bytes = len(msgspec.json.encode(configuration.document))
        return self._configuration_bytes > LARGE_CONFIGURATION_BYTES

    def apply_view(self, view, peer):
        """Take over what is newer in a peer's ``View``.

        Servers are taken over only while this process does not read them in the store.
        """
        if view.configuration is not None:
            self._install_configuration(view.configuration, f"peer {peer}")
            self._configuration_watcher.record_objects_of_peer(Revision())
        reads_servers = not (self._resting or self.is_store_unreachable)
        if reads_servers or view.servers is None:
            return
        if view.servers_as_of > self._server_watcher.changed_revision:
            self._server_watcher.record_objects_of_peer(view.servers_as_of)
            event_log.event(
                "servers_from_peer",
                peer=peer,
                revision=view.servers_revision,
                era=view.servers_era,
            )
            self._replace_servers(view.servers)

    def set_resting(self, resting):
        """Set whether a peer announces changes, so that the store is not watched."""
        self._resting = resting
        self._configuration_watcher.set_resting(resting)
        self._server_watcher.set_resting(resting)

    def request_lists(self):
        """List configuration and servers now, also while the watchers rest."""
        self._configuration_watcher.request_list()
        self._server_watcher.request_list()

    def read_configuration(self, version):
        """Read an announced version of the configuration in the store; a task.

        Parameters
        ----------
        version : int

        Returns
        -------
        bool
            Whether that version or a newer one is installed.
        """
        if self._reading_configuration:
            return True
        self._reading_configuration = True
        try:
            for may_be_stale in (True, False):
                asked_at = self._loop.clock.now()
                stored = yield self._store.get(
                    self._source.configuration_kind,
                    self._source.configuration_name,
                    may_be_stale,
                )
                if stored is not None and may_be_stale:
                    self._install_configuration(stored.value, "store")
                elif stored is not None:
                    self._apply_configuration(stored, "store")
                    self._record_proof(asked_at, stored.revision)
                if self.versions[0] >= version:
                    return True
        except errors.CassiahillError as error:
            event_log.event("configuration_unread", cause=error.detail)
        finally:
            self._reading_configuration = False
        return False

    def verify_configuration(self):
        """Ask the store whether there is a newer configuration; a task.

        The answer is small while nothing has changed. The whole configuration is read
        only if the store no longer has the history since it was last complete here.

        Returns
        -------
        bool
            Whether the store answered.
        """
        now = self._loop.clock.now()
        try:
            # What arrives after the deadline is applied too.
            yield self._loop.with_deadline(
                self._loop.spawn(self._apply_newer_configuration()),
                now + PROOF_TIMEOUT_SECONDS,
                errors.PlatformUnavailable("no answer in time"),
            )
        except errors.CassiahillError as error:
            event_log.event("configuration_unverified", cause=error.detail)
            return False
        return True

    def _apply_newer_configuration(self):
        """Apply what the store holds beyond the revision known here; a task."""
        kind = self._source.configuration_kind
        asked_at = self._loop.clock.now()
        try:
            if not self._complete_revision.number:
                raise errors.HistoryLost("the configuration was not read before")
            batch = yield self._store.changes_since(kind, self._complete_revision)
            self._apply_configuration_changes(batch.changes)
            self._record_proof(asked_at, batch.revision)
            for change in batch.changes:
                self._configuration_watcher.record_announcement(change.stored.revision)
        except errors.HistoryLost:
            asked_at = self._loop.clock.now()
            snapshot = yield self._store.list(kind)
            self._apply_configuration_snapshot(snapshot)
            self._record_proof(asked_at, snapshot.revision)

    def update_servers(self, deadline):
        """Apply the servers that the store lists now, whatever the watch knows; a task.

        Parameters
        ----------
        deadline : float

        Returns
        -------
        bool
            Whether the store answered in time.
        """
        try:
            yield from self._server_watcher.catch_up(deadline)
        except errors.CassiahillError as error:
            event_log.event("servers_unverified", cause=error.detail)
            self.completeness.record_failure()
            return False
        return True

    def set_server_watch_pause(self, short):
        """Set how soon changes of servers are read.

        Parameters
        ----------
        short : bool
            Whether to pause only briefly between watches, as a process that is
            connected to servers needs.
        """
        pause = (
            store_watcher.WATCH_PAUSE_SECONDS
            if short
            else UNCONNECTED_WATCH_PAUSE_SECONDS
        )
        self._server_watcher.pause_seconds = pause

    def set_watch_wait(self, seconds):
        """Set the longest wait of the watches; see ``StoreWatcher.wait_seconds``.

        Proofs of the configuration tell sooner what its own watch has missed.
        """
        self._server_watcher.wait_seconds = seconds
        if not self._age.is_sought:
            self._configuration_watcher.wait_seconds = seconds

    def record_announcement(self, servers_revision):
        """Check the watch of the servers, because a peer may have newer ones."""
        self._server_watcher.record_announcement(servers_revision)

    def close(self):
        """Stop watching the store."""
        self._lapse_timer.cancel()
        self._configuration_watcher.close()
        self._server_watcher.close()

    def _apply_configuration_snapshot(self, snapshot):
        for stored in snapshot.objects:
            self._apply_configuration(stored, "store")

    def _apply_configuration_changes(self, changes):
        for change in changes:
            self._apply_configuration(change.stored, "store")

    def _apply_configuration(self, stored, origin):
        """Install what the store held, as an answer that is not stale shows."""
        if stored.name != self._source.configuration_name:
            return
        version = self._install_configuration(stored.value, origin)
        if stored.revision >= self._stored_version.revision:
            self._stored_version = _StoredVersion(stored.revision, version)

    def _record_proof(self, asked_at, revision):
        """Record that all changes up to a revision are applied.

        Parameters
        ----------
        asked_at : float
            Instant before the store was asked.
        revision : shared_store.Revision
            Of the answer, which was not stale.
        """
        self._complete_revision = max(self._complete_revision, revision)
        era = self._store.era
        self._age.record_era(era, self._loop.clock.now())
        stored_version = self._stored_version
        if stored_version.version is None:
            return
        if revision.era == era and stored_version.revision.era == era:
            self._age.record_proof(stored_version.version, asked_at)

    def _install_configuration(self, document, origin):
        """Install a document if it is newer; return its version, None if unreadable."""
        installed = self._catalog.configuration
        # Several sources bring each version, and decoding a large one takes long.
        if installed is not None and document == installed.document:
            return installed.version
        configuration = self._source.decode_configuration(document)
        if configuration is None:
            event_log.event("configuration_unreadable", source=origin)
            return None
        if self._catalog.install(configuration):
            now = self._loop.clock.now()
            self._age.record_installed(configuration.version, now)
            event_log.event(
                "configuration_installed",
                version=configuration.version,
                routes=len(configuration.routes_by_database),
                source=origin,
                known_for=now - self._age.known_since,
                proof_age=self._age.stated_age(now),
            )
            self._on_configuration()
        return configuration.version

    def _record_servers_answer(self, asked_at, revision):
        was_complete = self.completeness.is_complete
        now = self._loop.clock.now()
        self.completeness.record_answer(asked_at, now, revision.era)
        if self.completeness.is_complete and not was_complete:
            event_log.event("servers_complete", count=len(self._catalog.servers_by_id))

    def _apply_server_snapshot(self, snapshot):
        self._replace_servers(
            {stored.name: stored.value for stored in snapshot.objects}
        )

    def _replace_servers(self, documents_by_id):
        """Replace the list of servers; servers that are not listed may be removed."""
        now = self._loop.clock.now()
        for server_id in list(self._documents_by_id):
            if server_id not in documents_by_id:
                self._mark_server_unregistered(server_id, now)
        self._put_servers(documents_by_id.items(), now)

    def _apply_server_changes(self, changes):
        now = self._loop.clock.now()
        for deleted, group in itertools.groupby(changes, lambda change: change.deleted):
            entries = [(change.stored.name, change.stored.value) for change in group]
            if not deleted:
                self._put_servers(entries, now)
                continue
            for server_id, _ in entries:
                self._mark_server_unregistered(server_id, now)

    def _put_servers(self, entries, now):
        """Apply entries that other writers may have made, each by itself.

        Parameters
        ----------
        entries : iterable of (str, object)
            Ids and documents of servers.
        now : float
        """
        unreadable_ids = []
        for server_id, document in entries:
            server = self._decode_server(server_id, document)
            if server is None:
                self._documents_by_id.pop(server_id, None)
                self._catalog.mark_unregistered(server_id, now)
                unreadable_ids.append(server_id)
                continue
            self._documents_by_id[server_id] = document
            change = self._catalog.put(server, now)
            if change is not None:
                self._log_server_change(change)
                self._on_server(change)
        if unreadable_ids:
            event_log.event(
                "server_unreadable",
                server=unreadable_ids[0],
                count=len(unreadable_ids),
            )

    def _decode_server(self, server_id, document):
        """Return the server that a document describes, or None.

        An unexpected error lets the list be read once more, and ends nothing else.
        """
        try:
            return self._source.decode_server(server_id, document)
        except Exception:  # noqa: BLE001 other entries must not depend on it
            self._loop.record_failure("decode_server_failed")
            if self._failed_documents_by_id.get(server_id, _NO_DOCUMENT) != document:
                self._failed_documents_by_id[server_id] = document
                self._server_watcher.request_list()
            return None

    def _mark_server_unregistered(self, server_id, now):
        self._documents_by_id.pop(server_id, None)
        self._failed_documents_by_id.pop(server_id, None)
        self._catalog.mark_unregistered(server_id, now)
        event_log.event("server_entry_gone", server=server_id)

    def _remove_lapsed_servers(self):
        """Remove servers that have been unregistered for long enough."""
        now = self._loop.clock.now()
        answers_since = self._server_watcher.store_answers_since
        for removed in self._catalog.remove_lapsed_servers(now, answers_since):
            event_log.event("server_removed", server=removed.server.server_id)
            self._on_server(removed)
        return now + LAPSE_CHECK_INTERVAL_SECONDS

    def _log_server_change(self, change: ServerAdded):
        server = change.server
        event_log.event(
            "server_changed" if change.previous else "server_added",
            server=server.server_id,
            group=server.group,
            address=f"{server.address[0]}:{server.address[1]}",
            domain=server.failure_domain,
            draining=server.draining,
            primary=server.registered_as_primary,
        )
