"""Keeps track of the objects of one kind by a list and subsequent watches."""

import math

import attrs

from cassiahill import errors, event_log
from cassiahill.loop import LoopFuture
from cassiahill.shared_store import MAX_WATCH_SECONDS, Revision

BASE_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 1.0  # Changes must apply within seconds of an outage's end.
# Pause between two watches, so that one watch returns a burst of changes.
WATCH_PAUSE_SECONDS = 0.25
# A watch has missed a change that another process has known for longer than this.
MISSED_CHANGE_SECONDS = 0.6


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
    when the store no longer has the history to continue the watch, or has a new era.
    While it rests, it makes no calls but lists that are asked for, because a peer
    supplies the objects.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    kind : str
    rng : random.Random
    on_snapshot : callable
        Called with a ``shared_store.Snapshot``.
    on_changes : callable
        Called with the ``shared_store.Change`` objects of one answer, in order.
    pause_seconds : float
        Time between the end of a watch and the next one.
    may_be_stale : bool
        Whether lists may be some seconds old, except after a loss of history.
    on_complete : callable or None
        Called with an instant and a ``Revision`` after each list and watch, also after
        watches without changes. All changes up to the revision have been reported, and
        the store held nothing newer at the instant. Lists that may be stale are left
        out.
    on_failure : callable or None
        Called without arguments after each call that the store has not answered.

    Attributes
    ----------
    wait_seconds : float
        Longest wait of a watch. A watch whose request or answer was lost in the network
        hides all changes until then, because its connection may live on.
    reachability : StoreReachability
    revision : shared_store.Revision
        Revision from which the next watch continues.
    changed_revision : shared_store.Revision
        Revision up to which the reported objects are complete. A watch without changes
        does not increase it, so that peers with the same objects agree on it.
    """

    def __init__(
        self,
        loop,
        store,
        kind,
        rng,
        on_snapshot,
        on_changes,
        pause_seconds=WATCH_PAUSE_SECONDS,
        may_be_stale=False,
        on_complete=None,
        on_failure=None,
    ):
        self._loop = loop
        self._store = store
        self._kind = kind
        self._rng = rng
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_complete = on_complete
        self._on_failure = on_failure
        self.pause_seconds = pause_seconds
        self.wait_seconds = MAX_WATCH_SECONDS
        self._watch_began_at = None
        self._check_scheduled = False
        self._may_be_stale = may_be_stale
        self._consecutive_failures = 0
        self._closed = False
        self._has_objects = False
        self._list_requested = False
        self._needs_current_list = False
        self._history_losses = 0
        self._resting = False
        self._wake_up = LoopFuture()
        self.reachability = StoreReachability()
        self.revision = Revision()
        self.changed_revision = Revision()
        # The owner of the watcher is complete by the time of the first report.
        loop.call_soon(lambda: loop.spawn(self._run()))

    @property
    def is_store_unreachable(self):
        """Whether the store does not answer; False while the watcher rests."""
        return self.reachability.unreachable_since is not None and not self._resting

    @property
    def store_answers_since(self):
        """End of the store's last outage; infinite while it does not answer."""
        if self.is_store_unreachable:
            return math.inf
        return self.reachability.reachable_since

    def close(self):
        """Stop after the call in progress."""
        self._closed = True
        self._end_rest()

    def set_resting(self, resting):
        """Set whether a peer supplies the objects instead of the store."""
        self._resting = resting
        if not resting:
            self._end_rest()

    def request_list(self):
        """List the objects now, also while the watcher rests."""
        self._list_requested = True
        self._end_rest()

    def record_objects_of_peer(self, revision):
        """Record that a peer has supplied the objects up to a revision.

        The answer to a watch that began before is dropped. It would undo the changes
        since.
        """
        self._has_objects = True
        self._list_requested = False
        self.revision = max(self.revision, revision)
        self.changed_revision = max(self.changed_revision, revision)

    def record_announcement(self, revision):
        """Check the watch in progress, because there are newer objects.

        Parameters
        ----------
        revision : shared_store.Revision
            Revision of objects that a peer announces, or another call has found.
        """
        began_at = self._watch_began_at
        if began_at is None or self._check_scheduled or revision <= self.revision:
            return
        self._check_scheduled = True
        self._loop.call_at(
            self._loop.clock.now() + MISSED_CHANGE_SECONDS,
            lambda: self._abandon_if_missed(began_at, revision),
        )

    def catch_up(self, deadline):
        """Report what the store holds now, also while a watch waits; a task.

        Parameters
        ----------
        deadline : float

        Raises
        ------
        errors.CassiahillError
            If the store does not answer by the deadline.
        """
        timeout_error = errors.PlatformUnavailable("no answer in time")
        began_at_revision = self.revision
        asked_at = self._loop.clock.now()
        try:
            if not self._can_watch():
                raise errors.HistoryLost("the objects were not listed before")
            batch = yield self._loop.with_deadline(
                self._store.changes_since(self._kind, began_at_revision),
                deadline,
                timeout_error,
            )
            if batch.changes and self.revision == began_at_revision:
                self.revision = self.changed_revision = batch.revision
                self._on_changes(batch.changes)
            self._report_complete(asked_at, batch.revision)
        except errors.HistoryLost:
            snapshot = yield self._loop.with_deadline(
                self._store.list(self._kind), deadline, timeout_error
            )
            if snapshot.revision >= self.changed_revision:
                self._has_objects = True
                self.revision = self.changed_revision = snapshot.revision
                self._on_snapshot(snapshot)
            self._report_complete(asked_at, snapshot.revision)

    def _abandon_if_missed(self, began_at, revision):
        """Abandon a watch that still waits although the objects have changed."""
        self._check_scheduled = False
        if self._watch_began_at == began_at and revision > self.revision:
            event_log.event(
                "change_missed",
                kind=self._kind,
                known=self.revision.number,
                announced=revision.number,
                era=revision.era,
            )
            self._store.abandon_watch(self._kind)

    def _end_rest(self):
        wake_up, self._wake_up = self._wake_up, LoopFuture()
        wake_up.set_result(None)

    def _run(self):
        while not self._closed:
            try:
                if self._resting and not self._list_requested:
                    yield self._wake_up
                    continue
                if self._list_requested or not self._can_watch():
                    yield from self._list_objects()
                else:
                    yield from self._watch_changes()
                self._record_success()
            except errors.HistoryLost:
                yield from self._handle_lost_history()
            except Exception as error:  # noqa: BLE001 one bad object must not end it
                if not isinstance(error, errors.CassiahillError):
                    self._loop.record_failure("watch_failed")
                    self._has_objects = False
                    self._needs_current_list = True
                self._record_failure(error)
                yield self._pause_after_failures(self._consecutive_failures)

    def _can_watch(self):
        """Return whether objects are known, of the store's present era."""
        if self._has_objects and self.revision.era != self._store.era:
            self._has_objects = False
            self._needs_current_list = True
        return self._has_objects

    def _handle_lost_history(self):
        """List the objects next, after a pause if the list before did not help."""
        event_log.event(
            "history_lost",
            kind=self._kind,
            revision=self.revision.number,
            era=self.revision.era,
        )
        self._has_objects = False
        self._needs_current_list = True
        self._history_losses += 1
        if self._history_losses > 1:
            yield self._pause_after_failures(self._history_losses)

    def _list_objects(self):
        # The history since a stale list may be lost too.
        may_be_stale = self._may_be_stale and not self._needs_current_list
        asked_at = self._loop.clock.now()
        snapshot = yield self._store.list(self._kind, may_be_stale)
        self._has_objects = True
        self._needs_current_list = False
        self._list_requested = False
        if snapshot.revision < self.changed_revision:
            # A stale list, or a peer has supplied newer objects in the meantime.
            event_log.event(
                "list_outdated",
                kind=self._kind,
                revision=snapshot.revision.number,
                era=snapshot.revision.era,
                known=self.changed_revision.number,
                known_era=self.changed_revision.era,
            )
            self._list_requested = self._needs_current_list = may_be_stale
            if not may_be_stale:
                yield self._pause()
            return
        self.revision = self.changed_revision = snapshot.revision
        self._on_snapshot(snapshot)
        if not may_be_stale:
            self._report_complete(asked_at, snapshot.revision)

    def _watch_changes(self):
        began_at_revision = self.revision
        # After a failure, an answer at once shows that the store is back.
        may_wait = self.reachability.unreachable_since is None
        wait_seconds = self.wait_seconds if may_wait else 0.0
        asked_at = self._watch_began_at = self._loop.clock.now()
        try:
            batch = yield self._store.watch(self._kind, began_at_revision, wait_seconds)
        except errors.PlatformUnavailable:
            if may_wait:
                self._log_lost_watch(asked_at)
            raise
        finally:
            self._watch_began_at = None
        if self.revision != began_at_revision:
            return
        self.revision = max(self.revision, batch.revision)
        if batch.changes:
            self.changed_revision = self.revision
            self._on_changes(batch.changes)
        self._report_complete(asked_at, batch.revision)
        self._history_losses = 0
        if not may_wait:
            return
        yield self._pause()

    def _log_lost_watch(self, asked_at):
        event_log.event(
            "watch_lost",
            kind=self._kind,
            revision=self.revision.number,
            era=self.revision.era,
            waited=self._loop.clock.now() - asked_at,
        )

    def _report_complete(self, asked_at, revision):
        if self._on_complete is not None:
            self._on_complete(asked_at, revision)

    def _pause(self):
        return self._loop.sleep_until(self._loop.clock.now() + self.pause_seconds)

    def _pause_after_failures(self, count):
        """Return a future that is done after a delay that grows with the failures."""
        max_delay_seconds = min(
            MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2 ** min(count, 8)
        )
        delay_seconds = max_delay_seconds * (0.5 + 0.5 * self._rng.random())
        return self._loop.sleep_until(self._loop.clock.now() + delay_seconds)

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
        if self._on_failure is not None:
            self._on_failure()
        if self.reachability.unreachable_since is None:
            self.reachability.unreachable_since = self._loop.clock.now()
            event_log.event("store_lost", kind=self._kind, cause=repr(error))
