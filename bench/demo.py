"""Runs the proxies under load, kills a primary, then floods another group with reads.

All processes run on loopback. ``python -m bench.demo`` prints the measured figures next
to their targets. It exits with 1 when a consistency rule was violated, or when no write
was acknowledged after the failover.
"""

import argparse
import json
import subprocess
import sys
import time

from bench import deployment, workload

SHAPE = deployment.MIXED
KILLED_GROUP = "renewals"
FLOOD_CALLER_COUNT = 300
URGENT_DONE_TARGET = 0.99
REPLICA_SHARE_TARGET = 0.95
FAILOVER_GAP_TARGET_SECONDS = 3.0


def start_flood(addresses, seconds):
    """Start a process whose callers send routine reads to the second group."""
    body = {
        "kind": "read",
        "group": SHAPE.groups[1],
        "sql": "select count(*) from entries",
        "rank": "routine",
        "timeout_ms": 1000,
        "freshness": {"kind": "any"},
    }
    argv = [sys.executable, "-m", "bench.load", "--callers", str(FLOOD_CALLER_COUNT)]
    argv += ["--seconds", str(seconds), "--body", json.dumps(body)]
    for host, port in addresses:
        argv += ["--address", f"{host}:{port}"]
    return subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)


def run_demo(caller_count, phase_seconds):
    """Run the demo; return the measurements, violations and results of the flood."""
    with deployment.running(SHAPE) as running_deployment:
        addresses = list(running_deployment.callers_by_proxy.values())
        workload.create_tables(addresses, SHAPE.groups)
        with workload.running_callers(addresses, SHAPE.groups, caller_count) as (
            measurements,
            findings,
        ):
            time.sleep(phase_seconds)
            print(
                f"killing {KILLED_GROUP}-1, the primary of {KILLED_GROUP}", flush=True
            )
            running_deployment.kill(f"{KILLED_GROUP}-1")
            time.sleep(phase_seconds)
            print(f"flooding {SHAPE.groups[1]} with routine reads", flush=True)
            flood = start_flood(addresses, phase_seconds)
            flood_tally = json.loads(flood.communicate()[0])
    return measurements, findings, flood_tally


def main(argv=None):
    """Run the demo and print its figures; return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--phase-seconds", type=float, default=6.0)
    options = parser.parse_args(argv)
    measurements, findings, flood_tally = run_demo(
        options.callers, options.phase_seconds
    )
    read_count = measurements.replica_reads + measurements.primary_reads
    gap_seconds = workload.failover_gap_seconds(measurements, KILLED_GROUP)
    print("\nmeasure                                      value      target")
    replica_share = measurements.replica_reads / max(1, read_count)
    print(
        f"reads served by replicas             {replica_share:12.1%}"
        f" {REPLICA_SHARE_TARGET:>11.0%}"
    )
    gap_text = "none" if gap_seconds is None else f"{gap_seconds:.2f} s"
    print(
        f"failover gap of {KILLED_GROUP:<20} {gap_text:>12}"
        f" {FAILOVER_GAP_TARGET_SECONDS:>9.0f} s"
    )
    for rank, (done, total) in sorted(
        measurements.request_counts_by_rank.items(), reverse=True
    ):
        latencies = measurements.latencies_by_rank[rank]
        target_text = f"{URGENT_DONE_TARGET:.0%}" if rank == "urgent" else ""
        print(
            f"{rank + ' inside its deadline':<36} {done / total:12.1%}"
            f" {target_text:>11}"
            f"   n={total}"
            f" median={latencies.get_value_at_percentile(50) / 1000:.1f} ms"
            f" 99th={latencies.get_value_at_percentile(99) / 1000:.1f} ms"
        )
    routine_reads_per_second = flood_tally["done"] / options.phase_seconds
    print(f"routine work done during its flood   {routine_reads_per_second:10.0f}/s")
    print(f"broken promises                      {len(findings):12d} {0:>11}")
    for finding in findings[:20]:
        print(f"  {finding}")
    return 1 if findings or gap_seconds is None else 0


if __name__ == "__main__":
    sys.exit(main())
