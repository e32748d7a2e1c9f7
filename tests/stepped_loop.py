"""An event loop with a manual clock, so that tests do not wait for real time."""

import heapq

from cassiahill import clock
from cassiahill.loop import EventLoop


class SteppedLoop(EventLoop):
    """An event loop that runs callbacks and timers, without sockets."""

    def __init__(self):
        super().__init__(clock.ManualClock())

    def advance(self, seconds):
        """Advance the clock; run the callbacks and timers that fall due, in order."""
        end_at = self.clock.now() + seconds
        while True:
            while self._ready:
                callback, args = self._ready.popleft()
                callback(*args)
            if not self._timers or self._timers[0][0] > end_at:
                break
            due_at, _, timer = heapq.heappop(self._timers)
            self.clock.advance(max(0.0, due_at - self.clock.now()))
            if not timer.cancelled:
                timer.callback()
        self.clock.advance(max(0.0, end_at - self.clock.now()))

    def result(self, generator, seconds=5.0):
        """Run a task and return its result.

        Parameters
        ----------
        generator : generator
        seconds : float
            Time on the clock after which the task must have ended.
        """
        future = self.spawn(generator)
        deadline = self.clock.now() + seconds
        while not future.done() and self.clock.now() < deadline:
            self.advance(0.01)
        return future.result()
