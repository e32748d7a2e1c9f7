"""Cost of a point read through one proxy, and of idle connections.

Run ``python -m bench.point_read``. The same load is sent to the backend server directly
and through the proxy; the idle connections are opened in the same run.
"""

import argparse
import contextlib
import resource
import socket
import sys

from bench import deployment, load

CALLERS = 16
WARM_UP_SECONDS = 1.0


def read_body(_previous):
    """Return the body of a point read."""
    return {
        "kind": "read",
        "group": "fees",
        "sql": "select vendor from fees where id = ?",
        "params": [1],
        "rank": "lookup",
        "freshness": {"kind": "max_age", "max_age_ms": 1000},
    }


def measure(address, pid, seconds):
    """Return reads/s, CPU in microseconds per read and the tally."""
    runner = load.LoadLoop()
    tally = load.Tally()
    until = runner.loop.clock.now() + WARM_UP_SECONDS + seconds
    for _ in range(CALLERS):
        runner.closed_loop(address, read_body, tally, until)
    runner.run_for(WARM_UP_SECONDS)
    tally.done, tally.latencies = 0, load.Tally().latencies
    cpu = load.cpu_seconds(pid)
    started = runner.loop.clock.now()
    runner.run_for(seconds)
    elapsed = runner.loop.clock.now() - started
    spent = load.cpu_seconds(pid) - cpu
    return tally.done / elapsed, spent / max(1, tally.done) * 1e6, tally


@contextlib.contextmanager
def idle_connections(address, count):
    """Hold idle connections to an address."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            stack.enter_context(socket.create_connection(address))
        yield


def main(argv=None):
    """Print the table."""
    parser = argparse.ArgumentParser(prog="bench.point_read", description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--idle", type=int, default=10_000)
    options = parser.parse_args(argv)
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    with deployment.running(deployment.SAFEPLATE, proxy_count=1) as running:
        address = running.callers_by_proxy["proxy-1"]
        pid = running.processes_by_name["proxy-1"].pid
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
        before = load.resident_bytes(pid)
        medians = []
        for case, idle in (("no idle", 0), (f"{options.idle} idle", options.idle)):
            with idle_connections(address, idle):
                rate, cpu, tally = measure(address, pid, options.seconds)
                held = load.resident_bytes(pid)
            latencies = tally.latencies
            medians.append(latencies.get_value_at_percentile(50))
            print(
                f"{case}, {rate:.0f}, {cpu:.0f}, {medians[-1]},"
                f" {latencies.get_value_at_percentile(99)}, {tally.errors_by_code}"
            )
        print(f"resident MB: {before / 1e6:.0f} before, {held / 1e6:.0f} with idle")
        print(f"median ratio: {medians[1] / medians[0]:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
