"""Keeps track of the objects of one kind by a list and subsequent watches."""

import attrs

from cassiahill import errors, event_log

BASE_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 1.0  # Changes must apply within seconds of an outage's end.
# Pause between two watches, so that one watch returns a burst of changes.
WATCH_PAUSE_SECONDS = 0.25


@attrs.define
class StoreReachability:
    """Whether the store answers this process.

    Attributes
    ----------
    unreachable_since : float or None
        Instant since which calls fail; None while they succeed.
    reachable_since : float
        Instant of the first success after a failure.
    """

    unreachable_since: float | None = None
    reachable_since: float = float("-inf")


class StoreWatcher:
    """Reports the objects of one kind and their changes.

    The watcher lists the objects, then watches for changes. It lists the objects again
    when the store no longer has the history to continue the watch.

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
        Time between the end of a watch and the next one.
    """

    def __init__(
        self,
        loop,
        store,
        kind,
        rng,
        on_snapshot,
        on_change,
        pause_seconds=WATCH_PAUSE_SECONDS,
    ):
        self._loop = loop
        self._store = store
        self._kind = kind
        self._rng = rng
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self.pause_seconds = pause_seconds
        self._consecutive_failures = 0
        self._closed = False
        self.reachability = StoreReachability()
        self.revision = 0
        loop.spawn(self._run())

    def close(self):
        """Stop after the call in progress."""
        self._closed = True

    def _run(self):
        has_snapshot = False
        while not self._closed:
            try:
                if has_snapshot:
                    yield from self._watch_changes()
                else:
                    yield from self._list_objects()
                    has_snapshot = True
                self._record_success()
            except errors.HistoryLost:
                event_log.event("history_lost", kind=self._kind, revision=self.revision)
                has_snapshot = False
            except errors.CassiahillError as error:
                self._record_failure(error)
                yield self._loop.sleep_until(
                    self._loop.clock.now() + self._retry_delay()
                )

    def _list_objects(self):
        snapshot = yield self._store.list(self._kind)
        self.revision = snapshot.revision
        self._on_snapshot(snapshot)

    def _watch_changes(self):
        changes = yield self._store.watch(self._kind, self.revision)
        self.revision = max(self.revision, changes.revision)
        for change in changes.changes:
            self._on_change(change)
        yield self._loop.sleep_until(self._loop.clock.now() + self.pause_seconds)

    def _retry_delay(self):
        max_delay_seconds = min(
            MAX_BACKOFF_SECONDS,
            BASE_BACKOFF_SECONDS * 2 ** min(self._consecutive_failures, 8),
        )
        return max_delay_seconds * (0.5 + 0.5 * self._rng.random())

    def _record_success(self):
        now = self._loop.clock.now()
        if self.reachability.unreachable_since is not None:
            event_log.event(
                "store_regained",
                kind=self._kind,
                away=now - self.reachability.unreachable_since,
            )
            self.reachability.unreachable_since = None
            self.reachability.reachable_since = now
        self._consecutive_failures = 0

    def _record_failure(self, error):
        self._consecutive_failures += 1
        if self.reachability.unreachable_since is None:
            self.reachability.unreachable_since = self._loop.clock.now()
            event_log.event("store_lost", kind=self._kind, cause=error.detail)
