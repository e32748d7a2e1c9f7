"""The registered session proxies, and this process's own entry among them.

Entries are objects in the shared store. The process reads them there, or from a peer
that does.
"""

import attrs

from cassiahill import (
    errors,
    event_log,
    heartbeats,
    promoter_election,
    shared_store,
    store_readers,
    store_watcher,
)
from cassiahill.heartbeats import MEMBER_PREFIX
from cassiahill.shared_store import Revision

PROXIES_KIND = "proxies"
REGISTRATION_RETRY_SECONDS = 1.0
# Proxies that start together register at the same time, and each registration ends the
# watches of all.
WATCH_PAUSE_SECONDS = 2.0
# Members whose entries a restored store lacks register again in this time. They learn
# of the loss from a list, after a watch pause, or from the reader that they follow.
RESTORED_REGISTRATION_SECONDS = 6.0


@attrs.frozen
class _DecodedEntry:
    """A stored document and the member it describes, None if it is invalid."""

    document: object
    member: heartbeats.Member | None


class MemberRegistry:
    """Members of the fleet by their entries in the store.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    own_member : heartbeats.Member
    election : promoter_election.PromoterElection
        Told of the object that names the promoter, which is of the same kind.
    rng : random.Random
    on_changed : callable
        Called without arguments after a change of the members.

    Attributes
    ----------
    members_by_name : dict of str to heartbeats.Member
    watcher : store_watcher.StoreWatcher
    fleet_known : bool
        Whether ``members_by_name`` holds the whole fleet. A process that starts with
        all others waits until they have registered too.
    started_with_fleet : bool
        Whether the process had no entry at its start, so that others may start too.
    """

    def __init__(self, loop, store, own_member, election, rng, on_changed):
        self._loop = loop
        self._store = store
        self._own_member = own_member
        self._own_entry_revision = Revision()
        self._election = election
        self._on_changed = on_changed
        self._registering = False
        self._closed = False
        self._documents_by_name = {}
        self._lost_documents_by_name = {}
        self._decoded_by_name = {}
        self._lost_until = float("-inf")
        self._era = 0
        self._fleet_registered_at = (
            loop.clock.now() + store_readers.REGISTRATION_WAIT_SECONDS
        )
        self.members_by_name = {}
        self.fleet_known = False
        self.started_with_fleet = False
        self.watcher = store_watcher.StoreWatcher(
            loop,
            store,
            PROXIES_KIND,
            rng,
            self._apply_snapshot,
            self._apply_changes,
            WATCH_PAUSE_SECONDS,
            may_be_stale=True,
        )
        # The fleet decides who watches the members.
        self.watcher.set_resting(True)
        self.watcher.request_list()
        loop.call_at(self._fleet_registered_at, self._list_registered_fleet)

    @property
    def revision(self):
        """``Revision`` up to which the members are known."""
        return self.watcher.changed_revision

    def close(self):
        """Stop watching and registering."""
        self._closed = True
        self.watcher.close()

    def add_to_view(self, view, known):
        """Add the members and the promoter to a ``View`` unless the peer knows them.

        Parameters
        ----------
        view : heartbeats.View
        known : heartbeats.KnownVersions
        """
        view.members_revision = self.revision.number
        view.members_era = self.revision.era
        if self.revision <= known.members_as_of:
            return
        view.members = dict(self._documents_by_name)
        promoter = self._election.promoter
        if promoter is not None:
            value = {"holder": promoter.name, "incarnation": promoter.incarnation}
            view.promoter = heartbeats.StoredPromoter(
                promoter.revision.number, value, promoter.revision.era
            )

    def apply_view(self, view, reads_store):
        """Take over newer members from a peer's ``View``.

        Parameters
        ----------
        view : heartbeats.View
        reads_store : bool
            Whether this process reads the members in the store itself.
        """
        if view.members is None or (reads_store and self.revision > Revision()):
            return
        if view.members_as_of <= self.revision:
            return
        self._replace_documents(dict(view.members), view.members_as_of.era)
        self.watcher.record_objects_of_peer(view.members_as_of)
        if view.promoter is not None:
            self._election.apply_stored(
                shared_store.StoredObject(
                    promoter_election.PROMOTER_NAME,
                    Revision(view.promoter.era, view.promoter.revision),
                    view.promoter.value,
                )
            )
        self._replace_members()
        if (
            MEMBER_PREFIX + self._own_member.name not in self._documents_by_name
            and view.members_as_of > self._own_entry_revision
        ):
            self._loop.spawn(self._register_own_member(None))

    def _list_registered_fleet(self):
        """List the members once those that started with this process registered."""
        if not self.fleet_known:
            self.watcher.request_list()

    def _apply_snapshot(self, snapshot):
        documents_by_name = {}
        promoter_named = False
        for stored in snapshot.objects:
            if stored.name == promoter_election.PROMOTER_NAME:
                self._election.apply_stored(stored)
                promoter_named = True
            else:
                documents_by_name[stored.name] = stored.value
        self._replace_documents(documents_by_name, snapshot.revision.era)
        if not promoter_named:
            self._election.record_deletion(snapshot.revision)
        if self._loop.clock.now() >= self._fleet_registered_at:
            self.fleet_known = True
        self._replace_members()
        self._register_if_changed(snapshot)

    def _apply_changes(self, changes):
        for change in changes:
            self._apply_change(change)
        self._replace_members()
        own_name = MEMBER_PREFIX + self._own_member.name
        if any(change.deleted and change.stored.name == own_name for change in changes):
            self._loop.spawn(self._register_own_member(None))

    def _apply_change(self, change):
        name = change.stored.name
        if name == promoter_election.PROMOTER_NAME:
            if change.deleted:
                self._election.record_deletion(change.stored.revision)
            else:
                self._election.apply_stored(change.stored)
        elif change.deleted:
            self._documents_by_name.pop(name, None)
            self._lost_documents_by_name.pop(name, None)
        else:
            self._documents_by_name[name] = change.stored.value

    def _replace_documents(self, documents_by_name, era):
        """Replace the stored documents; keep those that a restore has lost for a while.

        Parameters
        ----------
        documents_by_name : dict of str to object
        era : int
            Era of the store in which they were read.
        """
        if 0 < self._era < era:
            known_by_name = self._lost_documents_by_name | self._documents_by_name
            self._lost_documents_by_name = known_by_name
            self._lost_until = self._loop.clock.now() + RESTORED_REGISTRATION_SECONDS
            self._loop.call_at(self._lost_until, self._drop_lost_members)
        self._era = max(self._era, era)
        self._documents_by_name = documents_by_name

    def _drop_lost_members(self):
        """Drop the members that have not registered again after a restore."""
        if self._closed or self._loop.clock.now() < self._lost_until:
            return
        names = self._lost_documents_by_name.keys() - self._documents_by_name.keys()
        self._lost_documents_by_name = {}
        if names:
            event_log.event("members_not_registered_again", names=sorted(names))
            self._replace_members()

    def _replace_members(self):
        """Decode the documents that have changed, and report the change.

        In a large fleet every list repeats all members, and there are several lists
        when all proxies start.
        """
        documents_by_name = self._lost_documents_by_name | self._documents_by_name
        self._decoded_by_name = {
            name: self._decode_if_changed(name, document)
            for name, document in documents_by_name.items()
        }
        members = [decoded.member for decoded in self._decoded_by_name.values()]
        self.members_by_name = {
            member.name: member for member in members if member is not None
        }
        if self._own_member.name in self.members_by_name:
            self.fleet_known = True
        self.started_with_fleet |= not self.fleet_known
        self._on_changed()

    def _decode_if_changed(self, name, document):
        """Return the ``_DecodedEntry`` of a document, the known one if it is equal."""
        known = self._decoded_by_name.get(name)
        if known is not None and known.document == document:
            return known
        return _DecodedEntry(document, heartbeats.decode_member(name, document))

    def _register_if_changed(self, snapshot):
        name = MEMBER_PREFIX + self._own_member.name
        if name in self._documents_by_name:
            document = self._documents_by_name[name]
            if heartbeats.decode_member(name, document) == self._own_member:
                return
        if snapshot.revision < self._own_entry_revision:
            return
        revisions = [
            stored.revision for stored in snapshot.objects if stored.name == name
        ]
        self._loop.spawn(self._register_own_member(revisions[0] if revisions else None))

    def _register_own_member(self, revision):
        """Write this process's entry, with retries until the store has it.

        Parameters
        ----------
        revision : shared_store.Revision or None
            Revision of the entry to replace; None to create it.
        """
        if self._registering:
            return
        self._registering = True
        name = MEMBER_PREFIX + self._own_member.name
        value = heartbeats.encode_member(self._own_member)
        stored = None
        while not self._closed:
            try:
                if revision is None:
                    stored = yield self._store.create(PROXIES_KIND, name, value)
                else:
                    stored = yield self._store.replace(
                        PROXIES_KIND, name, value, revision
                    )
                break
            except errors.CassiahillError as error:
                event_log.event("registration_failed", cause=error.detail)
            yield self._loop.sleep_until(
                self._loop.clock.now() + REGISTRATION_RETRY_SECONDS
            )
            try:
                # An unanswered write may have succeeded.
                stored = yield self._store.get(PROXIES_KIND, name)
            except errors.CassiahillError as error:
                event_log.event("registration_failed", cause=error.detail)
                continue
            if stored is not None and stored.value == value:
                break
            revision = None if stored is None else stored.revision
        if stored is not None:
            self._own_entry_revision = max(self._own_entry_revision, stored.revision)
        self.members_by_name[self._own_member.name] = self._own_member
        self._registering = False
