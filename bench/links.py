"""Measures the CPU time of calls between two proxies, summed over both ends.

Both ends run in this process. Run with ``python -m bench.links``.
"""

import sys
import time

from cassiahill import clock, loop, peer_calls

FLEET_SECRET = b"fleet secret"
PAYLOAD = b"x" * 300
CALL_COUNT = 20_000


def cpu_microseconds_per_call(in_flight):
    """Return the CPU time per call in µs with a number of calls in flight."""
    event_loop = loop.EventLoop(clock.SystemClock())
    listener = peer_calls.PeerListener(
        event_loop,
        ("127.0.0.1", 0),
        lambda _sender, _kind, payload: loop.completed_future(payload),
        FLEET_SECRET,
        "b",
    )
    client = peer_calls.PeerClient(event_loop, listener.address, FLEET_SECRET, "a")
    remaining_calls, cpu_started_at = CALL_COUNT + 1, 0.0

    def start_call():
        answer_future = client.call("forward", PAYLOAD, event_loop.clock.now() + 30.0)
        event_loop.when_done(answer_future, on_answer)

    def on_answer(answer_future):
        nonlocal remaining_calls, cpu_started_at
        answer_future.result()
        if remaining_calls == CALL_COUNT + 1:
            # The first call opens the connection, so the measurement starts after it.
            cpu_started_at = time.process_time()
            remaining_calls -= 1
            for _ in range(in_flight):
                start_call()
            return
        remaining_calls -= 1
        if remaining_calls >= in_flight:
            start_call()
        elif remaining_calls == 0:
            event_loop.stop()

    start_call()
    event_loop.run()
    cpu_seconds = time.process_time() - cpu_started_at
    client.close()
    listener.close()
    event_loop.close()
    return cpu_seconds / CALL_COUNT * 1e6


def main():
    """Print the CPU time for several numbers of calls; return the exit code."""
    for in_flight in (1, 8, 32, 128):
        print(
            f"{in_flight:4} in flight:"
            f" {cpu_microseconds_per_call(in_flight):6.1f} us CPU per call"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
