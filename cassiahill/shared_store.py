"""Interface of a store with revisions that all proxies share, used on the loop.

``objects.ObjectStore`` is the blocking kind for the operators' commands. This one
returns futures, tells deletions, and continues a watch from a revision.
"""

import attrs

from cassiahill import errors
from cassiahill.loop import completed, failed


@attrs.frozen
class StoredObject:
    """One object.

    Attributes
    ----------
    name : str
    revision : int
        Revision of its last change.
    value : object
        Plain values.
    """

    name: str
    revision: int
    value: object


@attrs.frozen
class Snapshot:
    """All objects of a kind at a revision of the store."""

    objects: tuple
    revision: int


@attrs.frozen
class Change:
    """An object that was written or deleted."""

    stored: StoredObject
    deleted: bool


@attrs.frozen
class ChangeBatch:
    """Changes after a revision, in their order; ``revision`` continues the watch."""

    changes: tuple
    revision: int


class SharedStore:
    """Objects by kind and name; all methods return futures.

    The futures fail with ``errors.PlatformUnavailable`` when the store gives no answer
    or refuses the call; a write may have happened then.
    """

    def list(self, kind):
        """Return the future of the ``Snapshot`` of a kind."""
        raise NotImplementedError

    def watch(self, kind, revision):
        """Return the future of the ``ChangeBatch`` after a revision, maybe none.

        It fails with ``errors.HistoryLost`` when the store no longer has them.
        """
        raise NotImplementedError

    def get(self, kind, name):
        """Return the future of a ``StoredObject``, or of None."""
        raise NotImplementedError

    def create(self, kind, name, value):
        """Return the future of a new object; ``errors.Conflict`` if there is one."""
        raise NotImplementedError

    def replace(self, kind, name, value, revision):
        """Return the future of the changed object.

        It fails with ``errors.Conflict`` when the object has another revision.
        """
        raise NotImplementedError


class MemorySharedStore(SharedStore):
    """A store in memory for tests; watches answer at once."""

    def __init__(self):
        self.revision = 1
        self.oldest = 0
        self.available = True
        self._objects_by_key = {}
        self._history = []

    def list(self, kind):
        """Return all objects of a kind."""
        if not self.available:
            return failed(errors.PlatformUnavailable("the store is down"))
        found = tuple(
            stored
            for (k, _), stored in sorted(self._objects_by_key.items())
            if k == kind
        )
        return completed(Snapshot(found, self.revision))

    def watch(self, kind, revision):
        """Return the changes of a kind after a revision."""
        if not self.available:
            return failed(errors.PlatformUnavailable("the store is down"))
        if revision < self.oldest:
            return failed(errors.HistoryLost("the history is gone"))
        changes = tuple(
            change for at, k, change in self._history if k == kind and at > revision
        )
        return completed(ChangeBatch(changes, self.revision))

    def get(self, kind, name):
        """Return an object or None."""
        if not self.available:
            return failed(errors.PlatformUnavailable("the store is down"))
        return completed(self._objects_by_key.get((kind, name)))

    def create(self, kind, name, value):
        """Write an object that does not exist."""
        if not self.available:
            return failed(errors.PlatformUnavailable("the store is down"))
        if (kind, name) in self._objects_by_key:
            return failed(errors.Conflict("the object exists"))
        return completed(self.write(kind, name, value))

    def replace(self, kind, name, value, revision):
        """Write an object that has a revision."""
        if not self.available:
            return failed(errors.PlatformUnavailable("the store is down"))
        stored = self._objects_by_key.get((kind, name))
        if stored is None or stored.revision != revision:
            return failed(errors.Conflict("the object has another revision"))
        return completed(self.write(kind, name, value))

    def write(self, kind, name, value):
        """Write an object whatever it is, as another client would."""
        self.revision += 1
        stored = StoredObject(name, self.revision, value)
        self._objects_by_key[kind, name] = stored
        self._history.append((self.revision, kind, Change(stored, deleted=False)))
        return stored

    def delete(self, kind, name):
        """Delete an object, as another client would."""
        self.revision += 1
        stored = self._objects_by_key.pop((kind, name))
        self._history.append((self.revision, kind, Change(stored, deleted=True)))

    def forget_history(self):
        """Drop the history, so that watches from earlier revisions fail."""
        self.oldest = self.revision
        self._history.clear()
