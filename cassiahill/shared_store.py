"""Asynchronous interface of the versioned object store that all proxies share.

Its methods return futures. It reports deletions and can continue a watch from a
revision. ``objects.ObjectStore`` is the blocking counterpart for operator commands.
"""

import attrs

from cassiahill import errors
from cassiahill.loop import completed_future, failed_future

# Longest wait of a watch. It must not exceed the history that the store keeps.
MAX_WATCH_SECONDS = 17.0


@attrs.frozen(order=True)
class Revision:
    """A revision of the store; those of a later era are newer, whatever their number.

    Attributes
    ----------
    era : int
        The store counts how often it has returned from an older copy of its content.
        Revisions that the copy lacks are then given out again. 0 if unknown, as in
        answers that may be stale.
    number : int
    """

    era: int = 0
    number: int = 0


@attrs.frozen
class StoredObject:
    """An object as stored at a revision.

    Attributes
    ----------
    name : str
    revision : Revision
        Revision of its last change.
    value : object
        Decoded JSON document.
    """

    name: str
    revision: Revision
    value: object


@attrs.frozen
class Snapshot:
    """All objects of a kind at a revision of the store."""

    objects: tuple
    revision: Revision


def with_unknown_era(read):
    """Return a ``Snapshot`` or ``StoredObject`` that may be of an earlier era."""
    revision = attrs.evolve(read.revision, era=0)
    match read:
        case Snapshot(objects=objects):
            objects = tuple(with_unknown_era(stored) for stored in objects)
            return Snapshot(objects, revision)
    return attrs.evolve(read, revision=revision)


@attrs.frozen
class Change:
    """A write or a deletion of an object."""

    stored: StoredObject
    deleted: bool


@attrs.frozen
class ChangeBatch:
    """Changes in order of revision; the next watch continues from ``revision``."""

    changes: tuple
    revision: Revision


def replaces(expected, revision):
    """Return whether a conditional write that expects a revision replaces another.

    Without a known era the number decides, as it does for the store.
    """
    return expected.number == revision.number and expected.era in {0, revision.era}


class SharedStore:
    """Versioned objects by kind and name; all methods return futures.

    The futures fail with ``errors.PlatformUnavailable`` when the store does not answer
    or refuses the call. A write may have succeeded in that case.

    Attributes
    ----------
    era : int
        Highest era seen; see ``Revision``.
    call_count : int
        Number of calls made.
    failed_call_count : int
        Number of calls that got no valid answer.
    """

    era = 0
    call_count = 0
    failed_call_count = 0

    def list(self, kind, may_be_stale=False):
        """Return the future of the ``Snapshot`` of a kind.

        Parameters
        ----------
        kind : str
        may_be_stale : bool
            Whether the snapshot may be some seconds old, which costs the store less.
        """
        raise NotImplementedError

    def watch(self, kind, revision, wait_seconds=MAX_WATCH_SECONDS):
        """Return the future of the ``ChangeBatch`` after a revision; it may be empty.

        It is answered at the next change, or empty after ``wait_seconds``.

        It fails with ``errors.HistoryLost`` when the store no longer has the history
        since the revision, or is in another era.
        """
        raise NotImplementedError

    def changes_since(self, kind, revision):
        """Return the future of the ``ChangeBatch`` after a revision, without waiting.

        Unlike ``watch`` it can be called while a watch of the kind waits. It fails with
        ``errors.HistoryLost`` as that does.
        """
        raise NotImplementedError

    def abandon_watch(self, kind):
        """Let a watch that still waits fail with ``errors.PlatformUnavailable``."""

    def get(self, kind, name, may_be_stale=False):
        """Return the future of a ``StoredObject``, or of None if there is none.

        Parameters
        ----------
        kind, name : str
        may_be_stale : bool
            Whether the object may be some seconds old, which costs the store less.
        """
        raise NotImplementedError

    def create(self, kind, name, value):
        """Return the future of the new ``StoredObject``.

        It fails with ``errors.Conflict`` when the object exists.
        """
        raise NotImplementedError

    def replace(self, kind, name, value, revision):
        """Return the future of the replaced ``StoredObject``.

        It fails with ``errors.Conflict`` when the object has another revision, or the
        revision is of an earlier era.
        """
        raise NotImplementedError


class MemorySharedStore(SharedStore):
    """An in-memory store for tests; watches answer at once.

    Attributes
    ----------
    revision : int
        Number of the last change.
    oldest_revision : int
        Watches from earlier revisions fail.
    available : bool
        Whether calls succeed.
    """

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.oldest_revision = 0
        self.available = True
        self._objects_by_key = {}
        self._history = []

    def list(self, kind, may_be_stale=False):
        """Return the future of all objects of a kind."""
        if not self.available:
            return failed_future(errors.PlatformUnavailable("the store is down"))
        objects = tuple(
            stored
            for (stored_kind, _), stored in sorted(self._objects_by_key.items())
            if stored_kind == kind
        )
        snapshot = Snapshot(objects, Revision(self.era, self.revision))
        return completed_future(
            with_unknown_era(snapshot) if may_be_stale else snapshot
        )

    def watch(self, kind, revision, wait_seconds=MAX_WATCH_SECONDS):
        """Return the future of the changes of a kind after a revision."""
        if not self.available:
            return failed_future(errors.PlatformUnavailable("the store is down"))
        is_known = self.oldest_revision <= revision.number <= self.revision
        if revision.era != self.era or not is_known:
            return failed_future(
                errors.HistoryLost("the store does not have this history")
            )
        changes = tuple(
            change
            for changed_at, changed_kind, change in self._history
            if changed_kind == kind and changed_at > revision.number
        )
        return completed_future(ChangeBatch(changes, Revision(self.era, self.revision)))

    def changes_since(self, kind, revision):
        """Return the future of the changes of a kind after a revision."""
        return self.watch(kind, revision)

    def get(self, kind, name, may_be_stale=False):
        """Return the future of an object or None."""
        if not self.available:
            return failed_future(errors.PlatformUnavailable("the store is down"))
        stored = self._objects_by_key.get((kind, name))
        if stored is not None and may_be_stale:
            stored = with_unknown_era(stored)
        return completed_future(stored)

    def create(self, kind, name, value):
        """Create an object; the future fails if it exists."""
        if not self.available:
            return failed_future(errors.PlatformUnavailable("the store is down"))
        if (kind, name) in self._objects_by_key:
            return failed_future(errors.Conflict("the object exists"))
        return completed_future(self.write(kind, name, value))

    def replace(self, kind, name, value, revision):
        """Replace an object; the future fails if it has another revision."""
        if not self.available:
            return failed_future(errors.PlatformUnavailable("the store is down"))
        stored = self._objects_by_key.get((kind, name))
        if stored is None or not replaces(revision, stored.revision):
            return failed_future(errors.Conflict("the object has another revision"))
        return completed_future(self.write(kind, name, value))

    def write(self, kind, name, value):
        """Write an object unconditionally, as another client would."""
        self.revision += 1
        stored = StoredObject(name, Revision(self.era, self.revision), value)
        self._objects_by_key[kind, name] = stored
        self._history.append((self.revision, kind, Change(stored, deleted=False)))
        return stored

    def delete(self, kind, name):
        """Delete an object, as another client would."""
        self.revision += 1
        stored = self._objects_by_key.pop((kind, name))
        self._history.append((self.revision, kind, Change(stored, deleted=True)))

    def copy(self):
        """Return a copy of the content, to which ``restore`` can go back."""
        copied = MemorySharedStore()
        copied.revision = self.revision
        copied.oldest_revision = self.oldest_revision
        copied._objects_by_key = dict(self._objects_by_key)
        copied._history = list(self._history)
        return copied

    def restore(self, copied):
        """Lose everything that was written since ``copied`` was made."""
        self.era += 1
        self.revision = copied.revision
        self.oldest_revision = copied.oldest_revision
        self._objects_by_key = {
            key: attrs.evolve(
                stored, revision=Revision(self.era, stored.revision.number)
            )
            for key, stored in copied._objects_by_key.items()
        }
        self._history = list(copied._history)

    def drop_history(self):
        """Drop the history, so that watches from earlier revisions fail."""
        self.oldest_revision = self.revision
        self._history.clear()
