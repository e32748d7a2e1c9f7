"""Generates load from callers with one connection each, in one event loop.

``python -m bench.load`` sends one statement repeatedly and prints the results as JSON.
"""

import argparse
import json
import os
import pathlib
import sys

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from cassiahill import clock, errors, http1, loop

MAX_LATENCY_US = 60_000_000
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.define
class Tally:
    """Results of requests of one kind; latencies in microseconds."""

    done: int = 0
    errors_by_code: dict = attrs.field(factory=dict)
    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    def record(self, seconds, error_code=None):
        """Record one request: the latency of a success, or else its error code."""
        if error_code is None:
            self.done += 1
            self.latencies.record_value(max(1, int(seconds * 1e6)))
        else:
            self.errors_by_code[error_code] = self.errors_by_code.get(error_code, 0) + 1


def cpu_seconds(pid):
    """Return the user and system CPU time that a process has used."""
    stat_fields = (
        pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    )
    return (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_bytes(pid):
    """Return the size of the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class LoadLoop:
    """Event loop that runs callers for a limited time, also several times in turn."""

    def __init__(self):
        self.loop = loop.EventLoop(clock.SystemClock())

    def run_for(self, seconds):
        """Run the event loop for a number of seconds."""
        self.loop._stopping = False
        self.loop.call_at(self.loop.clock.now() + seconds, self.loop.stop)
        self.loop.run()

    def start_caller(self, address, make_body, tally, stop_at, path="/v1/statements"):
        """Start a caller that sends its next request when the last one is answered.

        Parameters
        ----------
        address : tuple of (str, int)
        make_body : callable
            Takes the previous answer or None and returns the body of the next request.
        tally : Tally
        stop_at : float
            Instant of the event loop's clock after which no request is sent.
        """
        return self.loop.spawn(
            self._run_caller(address, make_body, tally, stop_at, path)
        )

    def _run_caller(self, address, make_body, tally, stop_at, path):
        connection = http1.ClientConnection(self.loop, address)
        previous_answer = None
        while self.loop.clock.now() < stop_at:
            started_at = self.loop.clock.now()
            body = msgspec.json.encode(make_body(previous_answer))
            try:
                response = yield connection.request(
                    "POST", path, body, ((b"Caller", b"load"),)
                )
                previous_answer = http1.decode_response(response)
                tally.record(self.loop.clock.now() - started_at)
            except errors.CassiahillError as error:
                tally.record(0, error.code)
                if error.retry_after:
                    yield self.loop.sleep_until(started_at + error.retry_after)
                if connection.closed:
                    connection = http1.ClientConnection(self.loop, address)
        connection.close()


def main(argv=None):
    """Send one statement repeatedly and print the results as JSON."""
    parser = argparse.ArgumentParser(prog="bench.load", description=__doc__)
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--callers", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--body", required=True, help="JSON body of the statement")
    options = parser.parse_args(argv)
    load_loop = LoadLoop()
    tally = Tally()
    body = json.loads(options.body)
    stop_at = load_loop.loop.clock.now() + options.seconds
    for caller_index in range(options.callers):
        host, port = options.address[caller_index % len(options.address)].split(":")
        load_loop.start_caller((host, int(port)), lambda _: body, tally, stop_at)
    load_loop.run_for(options.seconds + 1.0)
    print(json.dumps({"done": tally.done, "errors_by_code": tally.errors_by_code}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
