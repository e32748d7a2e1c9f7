"""Measures the CPU time of calls between two proxies in one process, for both ends.

Run with ``python -m bench.links``.
"""

import sys
import time

from cassiahill import clock, loop, peer_calls

SECRET = b"fleet secret"
PAYLOAD = b"x" * 300
CALLS = 20_000


def measure(in_flight):
    """Return µs of CPU per round trip with a number of calls in flight."""
    turns = loop.EventLoop(clock.SystemClock())
    listener = peer_calls.PeerListener(
        turns, ("127.0.0.1", 0), lambda _s, _k, p: loop.completed_future(p), SECRET, "b"
    )
    client = peer_calls.PeerClient(turns, listener.address, SECRET, "a")
    left, started = CALLS + 1, 0.0

    def call():
        future = client.call("forward", PAYLOAD, turns.clock.now() + 30.0)
        turns.when_done(future, finish)

    def finish(future):
        nonlocal left, started
        future.result()
        if left == CALLS + 1:  # The first call opened the link.
            started = time.process_time()
            left -= 1
            for _ in range(in_flight):
                call()
            return
        left -= 1
        if left >= in_flight:
            call()
        elif left == 0:
            turns.stop()

    call()
    turns.run()
    used = time.process_time() - started
    client.close()
    listener.close()
    turns.close()
    return used / CALLS * 1e6


def main():
    """Print the figures; return the exit code."""
    for in_flight in (1, 8, 32, 128):
        print(f"{in_flight:4} in flight: {measure(in_flight):6.1f} us CPU per call")
    return 0


if __name__ == "__main__":
    sys.exit(main())
