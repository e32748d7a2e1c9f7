"""One process's access to the store of a fleet in memory."""

from cassiahill import errors, shared_store
from cassiahill.loop import LoopFuture, failed_future

STORE_SECONDS = 0.004
WATCH_SECONDS = shared_store.MAX_WATCH_SECONDS
WATCH_SLACK_SECONDS = 1.5  # An answer is awaited this much longer than the watch.
CALL_TIMEOUT_SECONDS = 1.5


class FleetStore(shared_store.SharedStore):
    """One process's access to the store of the fleet, with counted calls.

    Parameters
    ----------
    fleet : MemoryFleet
    name : str
        The process.
    """

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self._watches_by_kind = {}
        self.era = 0

    def list(self, kind, may_be_stale=False):
        call = "stale list" if may_be_stale else "list"
        store = self._fleet.store
        if not may_be_stale:
            return self._call(call, lambda: store.list(kind))
        past = shared_store.with_unknown_era(self._fleet.past_snapshot(kind))
        return self._call(call, lambda: shared_store.completed_future(past))

    def get(self, kind, name, may_be_stale=False):
        call = "stale get" if may_be_stale else "get"
        if not may_be_stale:
            return self._call(call, lambda: self._fleet.store.get(kind, name))
        past = shared_store.with_unknown_era(self._fleet.past_snapshot(kind))
        objects = past.objects
        found = next((stored for stored in objects if stored.name == name), None)
        return self._call(call, lambda: shared_store.completed_future(found))

    def create(self, kind, name, value):
        return self._call("write", lambda: self._fleet.store.create(kind, name, value))

    def replace(self, kind, name, value, revision):
        return self._call(
            "write", lambda: self._fleet.store.replace(kind, name, value, revision)
        )

    def watch(self, kind, revision, wait_seconds=WATCH_SECONDS):
        self._fleet.calls_by_name[self._name]["watch"] += 1
        watch = self._watches_by_kind[kind] = LoopFuture()
        task = self._fleet.loop.spawn(
            self._wait_for_changes(kind, revision, wait_seconds)
        )
        self._fleet.loop.when_done(task, lambda done: _copy_result(done, watch))
        return watch

    def changes_since(self, kind, revision):
        return self._call("changes", lambda: self._fleet.store.watch(kind, revision))

    def abandon_watch(self, kind):
        watch = self._watches_by_kind.get(kind)
        if watch is not None and not watch.done():
            watch.set_exception(errors.PlatformUnavailable("abandoned"))

    def _is_unanswered(self):
        """Return whether what the process sends now is lost."""
        fleet = self._fleet
        return fleet.store_is_silent or self._name in fleet.unanswered_names

    def _wait_for_changes(self, kind, revision, seconds):
        loop = self._fleet.loop
        ends_at = loop.clock.now() + seconds
        while True:
            yield loop.sleep_until(loop.clock.now() + STORE_SECONDS)
            if self._is_unanswered():
                # Nothing shows the loss but the time by which an answer is due.
                yield loop.sleep_until(ends_at + WATCH_SLACK_SECONDS)
                raise errors.PlatformUnavailable("no answer before the deadline")
            if not self._fleet.reaches_store(self._name):
                yield loop.sleep_until(loop.clock.now() + 1.0)
                raise errors.PlatformUnavailable("the store does not answer")
            self.era = self._fleet.store.era
            batch = self._fleet.store.watch(kind, revision).result()
            if batch.changes or loop.clock.now() >= ends_at:
                return batch
            yield self._fleet.next_write()

    def _call(self, call, answer):
        self._fleet.calls_by_name[self._name][call] += 1
        if not self._fleet.reaches_store(self._name):
            return failed_future(errors.PlatformUnavailable("no answer"))
        loop = self._fleet.loop

        def run():
            yield loop.sleep_until(loop.clock.now() + STORE_SECONDS)
            if self._is_unanswered():
                yield loop.sleep_until(loop.clock.now() + CALL_TIMEOUT_SECONDS)
                raise errors.PlatformUnavailable("no answer before the deadline")
            self.era = self._fleet.store.era
            return (yield answer())

        return loop.spawn(run())


def _copy_result(done, watch):
    """Complete a watch that has not been abandoned with the result of its task."""
    if watch.done():
        return
    if done.exception() is not None:
        watch.set_exception(done.exception())
    else:
        watch.set_result(done.result())
