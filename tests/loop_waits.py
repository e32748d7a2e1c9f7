"""Lets time pass on an event loop that runs in another thread."""

import threading

LIMIT_SECONDS = 30.0


def let_time_pass(event_loop, seconds):
    """Wait until a timer of the loop ends, and with it what was due before it.

    Parameters
    ----------
    event_loop : loop.EventLoop
    seconds : float

    Raises
    ------
    TimeoutError
        If the loop does not run.
    """
    ended = threading.Event()

    def start_timer():
        event_loop.call_at(event_loop.clock.now() + seconds, ended.set)

    event_loop.call_soon_threadsafe(start_timer)
    if not ended.wait(LIMIT_SECONDS + seconds):
        raise TimeoutError("the loop does not run")
