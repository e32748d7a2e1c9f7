"""Follows the objects of one kind: a list first, then watches; relists when needed."""

import attrs

from cassiahill import errors, event_log

RETRY_BASE_SECONDS = 0.15
RETRY_CAP_SECONDS = 1.0  # A change must be in force within seconds of an outage's end.
# Between two watches, so that changes in quick succession come together.
PAUSE_SECONDS = 0.25


@attrs.define
class LinkState:
    """Whether the store answers this process.

    Attributes
    ----------
    lost_at : float or None
        Instant since which calls fail; None while they succeed.
    regained_at : float
        Instant of the first success after a failure.
    """

    lost_at: float | None = None
    regained_at: float = float("-inf")


class KindFollower:
    """Keeps a copy of one kind.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    kind : str
    rng : random.Random
    on_snapshot : callable
        Called with a ``shared_store.Snapshot``.
    on_change : callable
        Called with each ``shared_store.Change``.
    pause_seconds : float
        Time between the end of a watch and the next.
    """

    def __init__(
        self,
        loop,
        store,
        kind,
        rng,
        on_snapshot,
        on_change,
        pause_seconds=PAUSE_SECONDS,
    ):
        self._loop = loop
        self._store = store
        self._kind = kind
        self._rng = rng
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self.pause_seconds = pause_seconds
        self._failures = 0
        self._closed = False
        self.link = LinkState()
        self.revision = 0
        loop.spawn(self._follow())

    def close(self):
        """Stop following after the call in progress."""
        self._closed = True

    def _follow(self):
        listed = False
        while not self._closed:
            try:
                if listed:
                    yield from self._watch()
                else:
                    yield from self._list()
                    listed = True
                self._succeeded()
            except errors.HistoryLost:
                event_log.event("history_lost", kind=self._kind, revision=self.revision)
                listed = False
            except errors.CassiahillError as error:
                self._failed(error)
                yield self._loop.sleep_until(self._loop.clock.now() + self._pause())

    def _list(self):
        snapshot = yield self._store.list(self._kind)
        self.revision = snapshot.revision
        self._on_snapshot(snapshot)

    def _watch(self):
        changes = yield self._store.watch(self._kind, self.revision)
        self.revision = max(self.revision, changes.revision)
        for change in changes.changes:
            self._on_change(change)
        yield self._loop.sleep_until(self._loop.clock.now() + self.pause_seconds)

    def _pause(self):
        ceiling = min(
            RETRY_CAP_SECONDS, RETRY_BASE_SECONDS * 2 ** min(self._failures, 8)
        )
        return ceiling * (0.5 + 0.5 * self._rng.random())

    def _succeeded(self):
        now = self._loop.clock.now()
        if self.link.lost_at is not None:
            event_log.event(
                "store_regained", kind=self._kind, away=now - self.link.lost_at
            )
            self.link.lost_at = None
            self.link.regained_at = now
        self._failures = 0

    def _failed(self, error):
        self._failures += 1
        if self.link.lost_at is None:
            self.link.lost_at = self._loop.clock.now()
            event_log.event("store_lost", kind=self._kind, cause=error.detail)
