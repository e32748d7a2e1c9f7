"""Measures the cost of a point read through a proxy, and that of idle connections.

Run ``python -m bench.point_read``. It sends the same load to the proxy twice, without
and with idle connections.
"""

import argparse
import contextlib
import resource
import socket
import sys

from bench import deployment, load

CALLER_COUNT = 16
WARM_UP_SECONDS = 1.0


def read_body(_previous):
    """Return the request body of a point read with an age bound of one second."""
    return {
        "kind": "read",
        "group": "fees",
        "sql": "select vendor from fees where id = ?",
        "params": [1],
        "rank": "lookup",
        "freshness": {"kind": "max_age", "max_age_ms": 1000},
    }


def measure(address, pid, seconds):
    """Send point reads to an address and measure them after a warm-up.

    Returns
    -------
    tuple of (float, float, load.Tally)
        Reads per second, CPU time of the process ``pid`` in microseconds per read, and
        results of the reads.
    """
    load_loop = load.LoadLoop()
    tally = load.Tally()
    stop_at = load_loop.loop.clock.now() + WARM_UP_SECONDS + seconds
    for _ in range(CALLER_COUNT):
        load_loop.start_caller(address, read_body, tally, stop_at)
    load_loop.run_for(WARM_UP_SECONDS)
    tally.done, tally.latencies = 0, load.Tally().latencies
    cpu_seconds_before = load.cpu_seconds(pid)
    started_at = load_loop.loop.clock.now()
    load_loop.run_for(seconds)
    elapsed_seconds = load_loop.loop.clock.now() - started_at
    used_cpu_seconds = load.cpu_seconds(pid) - cpu_seconds_before
    return (
        tally.done / elapsed_seconds,
        used_cpu_seconds / max(1, tally.done) * 1e6,
        tally,
    )


@contextlib.contextmanager
def idle_connections(address, count):
    """Keep idle connections to an address open while the context is open."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            stack.enter_context(socket.create_connection(address))
        yield


def main(argv=None):
    """Measure without and with idle connections and print a table."""
    parser = argparse.ArgumentParser(prog="bench.point_read", description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--idle", type=int, default=10_000)
    options = parser.parse_args(argv)
    open_files_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (open_files_limit, open_files_limit))
    with deployment.running(deployment.SAFEPLATE, proxy_count=1) as running_deployment:
        address = running_deployment.callers_by_proxy["proxy-1"]
        pid = running_deployment.processes_by_name["proxy-1"].pid
        for sql in (
            "create table fees (id integer primary key, vendor text)",
            "insert into fees values (1, 'vendor-1')",
        ):
            deployment.post(
                address,
                "/v1/statements",
                {"kind": "write", "group": "fees", "sql": sql},
            )
        print("case, reads/s, proxy CPU us/read, median us, 99th us, errors")
        bytes_before_idle = load.resident_bytes(pid)
        medians_us = []
        for case, idle_count in (
            ("no idle", 0),
            (f"{options.idle} idle", options.idle),
        ):
            with idle_connections(address, idle_count):
                reads_per_second, cpu_us, tally = measure(address, pid, options.seconds)
                bytes_with_idle = load.resident_bytes(pid)
            latencies = tally.latencies
            medians_us.append(latencies.get_value_at_percentile(50))
            print(
                f"{case}, {reads_per_second:.0f}, {cpu_us:.0f}, {medians_us[-1]},"
                f" {latencies.get_value_at_percentile(99)}, {tally.errors_by_code}"
            )
        print(
            f"resident MB: {bytes_before_idle / 1e6:.0f} before,"
            f" {bytes_with_idle / 1e6:.0f} with idle"
        )
        print(f"median ratio: {medians_us[1] / medians_us[0]:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
