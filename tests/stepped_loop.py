"""An event loop whose time is moved by hand, so that tests neither sleep nor wait."""

import heapq

from cassiahill import clock
from cassiahill.loop import EventLoop


class SteppedLoop(EventLoop):
    """Runs callbacks and timers without sockets."""

    def __init__(self):
        super().__init__(clock.ManualClock())

    def settle(self):
        """Run what is ready, without moving the time."""
        self.advance(0.0)

    def advance(self, seconds):
        """Move the time and run everything that falls due, in order."""
        end = self.clock.now() + seconds
        while True:
            while self._ready:
                callback, args = self._ready.popleft()
                callback(*args)
            if not self._timers or self._timers[0][0] > end:
                break
            at, _, timer = heapq.heappop(self._timers)
            self.clock.advance(max(0.0, at - self.clock.now()))
            if not timer.cancelled:
                timer.callback()
        self.clock.advance(max(0.0, end - self.clock.now()))

    def result(self, generator, seconds=5.0):
        """Run a task to its end and return its result."""
        future = self.spawn(generator)
        deadline = self.clock.now() + seconds
        while not future.done() and self.clock.now() < deadline:
            self.advance(0.01)
        return future.result()
