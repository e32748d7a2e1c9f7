"""Load generator: callers with one connection each, in one event loop.

``python -m bench.load`` runs it in a process of its own and prints its tally as JSON.
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
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.define
class Tally:
    """Results of one kind of work; latencies in microseconds."""

    done: int = 0
    errors_by_code: dict = attrs.field(factory=dict)
    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    def record(self, seconds, error_code=None):
        """Record the end of one request."""
        if error_code is None:
            self.done += 1
            self.latencies.record_value(max(1, int(seconds * 1e6)))
        else:
            self.errors_by_code[error_code] = self.errors_by_code.get(error_code, 0) + 1


def cpu_seconds(pid):
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class LoadLoop:
    """An event loop that runs callers for a time."""

    def __init__(self):
        self.loop = loop.EventLoop(clock.SystemClock())

    def run_for(self, seconds):
        """Run the loop for a time in seconds."""
        self.loop._stopping = False
        self.loop.call_at(self.loop.clock.now() + seconds, self.loop.stop)
        self.loop.run()

    def closed_loop(self, address, make_body, tally, until, path="/v1/statements"):
        """Start a caller that sends the next request after each answer.

        Parameters
        ----------
        address : tuple of (str, int)
        make_body : callable
            Takes the previous answer or None, returns the next body.
        tally : Tally
        until : float
            Instant at which the caller stops.
        """
        return self.loop.spawn(self._closed(address, make_body, tally, until, path))

    def _closed(self, address, make_body, tally, until, path):
        client = http1.ClientConnection(self.loop, address)
        previous = None
        while self.loop.clock.now() < until:
            started = self.loop.clock.now()
            body = msgspec.json.encode(make_body(previous))
            try:
                response = yield client.request(
                    "POST", path, body, ((b"Caller", b"load"),)
                )
                previous = http1.decode_response(response)
                tally.record(self.loop.clock.now() - started)
            except errors.CassiahillError as error:
                tally.record(0, error.code)
                if error.retry_after:
                    yield self.loop.sleep_until(started + error.retry_after)
                if client.closed:
                    client = http1.ClientConnection(self.loop, address)
        client.close()


def main(argv=None):
    """Send one statement over and over and print the tally as JSON."""
    parser = argparse.ArgumentParser(prog="bench.load", description=__doc__)
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--callers", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--body", required=True, help="JSON body of the statement")
    options = parser.parse_args(argv)
    runner = LoadLoop()
    tally = Tally()
    body = json.loads(options.body)
    until = runner.loop.clock.now() + options.seconds
    for number in range(options.callers):
        host, port = options.address[number % len(options.address)].split(":")
        runner.closed_loop((host, int(port)), lambda _: body, tally, until)
    runner.run_for(options.seconds + 1.0)
    print(json.dumps({"done": tally.done, "errors_by_code": tally.errors_by_code}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
