"""Requests of the database stand-in that wait for a change or for a slot."""

import collections
from concurrent.futures import Future

from cassiahill import errors


class Notifications:
    """Tasks that wait for a notification, in order of their arrival.

    Parameters
    ----------
    loop : loop.EventLoop
    """

    def __init__(self, loop):
        self._loop = loop
        self._waiters = collections.deque()

    def wait(self, deadline):
        """Return a future that ends with the next notification or at the deadline."""
        future = Future()
        self._waiters.append(future)
        self._loop.call_at(
            deadline, lambda: None if future.done() else future.set_result(None)
        )
        return future

    def notify_all(self):
        """Wake all tasks that wait now."""
        futures, self._waiters = self._waiters, collections.deque()
        for future in futures:
            if not future.done():
                future.set_result(None)

    def notify_one(self):
        """Wake the task that has waited for the longest time."""
        while self._waiters:
            future = self._waiters.popleft()
            if not future.done():
                future.set_result(None)
                return


class Slots:
    """Places for the statements that run at a time.

    Parameters
    ----------
    loop : loop.EventLoop
    count : int
    """

    def __init__(self, loop, count):
        self._loop = loop
        self._count = count
        self._used_count = 0
        self._releases = Notifications(loop)

    def acquire(self, deadline):
        """Take a slot once one is free; a task.

        Raises
        ------
        errors.DeadlinePassed
        """
        while self._used_count >= self._count:
            if self._loop.clock.now() >= deadline:
                raise errors.DeadlinePassed("no slot was free in time")
            yield self._releases.wait(deadline)
        self._used_count += 1

    def release(self):
        """Give a slot back."""
        self._used_count -= 1
        self._releases.notify_one()
