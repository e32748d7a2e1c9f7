"""The whole path on loopback: both workloads, a killed primary and a flood.

``python -m bench.demo`` prints the measures of the design page and exits with 1 when a
promise was broken.
"""

import argparse
import json
import subprocess
import sys
import time

from bench import deployment, workload

SHAPE = deployment.MIXED
KILLED_GROUP = "renewals"
FLOOD_CALLERS = 300
URGENT_TARGET = 0.99
REPLICA_TARGET = 0.95
GAP_TARGET = 3.0


def start_flood(addresses, seconds):
    """Start callers in a process of their own that flood one group."""
    body = {
        "kind": "read",
        "group": SHAPE.groups[1],
        "sql": "select count(*) from entries",
        "rank": "routine",
        "timeout_ms": 1000,
        "freshness": {"kind": "any"},
    }
    argv = [sys.executable, "-m", "bench.load", "--callers", str(FLOOD_CALLERS)]
    argv += ["--seconds", str(seconds), "--body", json.dumps(body)]
    for host, port in addresses:
        argv += ["--address", f"{host}:{port}"]
    return subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)


def run(workers_count, phase_seconds):
    """Run the demo; return the measures, the findings and the flood's tally."""
    with deployment.running(SHAPE) as running:
        addresses = list(running.callers_by_proxy.values())
        workload.prepare(addresses, SHAPE.groups)
        with workload.working(addresses, SHAPE.groups, workers_count) as (
            measures,
            findings,
        ):
            time.sleep(phase_seconds)
            print(
                f"killing {KILLED_GROUP}-1, the primary of {KILLED_GROUP}", flush=True
            )
            running.kill(f"{KILLED_GROUP}-1")
            time.sleep(phase_seconds)
            print(f"flooding {SHAPE.groups[1]} with routine reads", flush=True)
            flood = start_flood(addresses, phase_seconds)
            tally = json.loads(flood.communicate()[0])
    return measures, findings, tally


def main(argv=None):
    """Print the tables; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--phase-seconds", type=float, default=6.0)
    options = parser.parse_args(argv)
    measures, findings, tally = run(options.callers, options.phase_seconds)
    reads = measures.replica_reads + measures.primary_reads
    gap = workload.failover_gap(measures, KILLED_GROUP)
    print("\nmeasure                                      value      target")
    share = measures.replica_reads / max(1, reads)
    print(f"reads served by replicas             {share:12.1%} {REPLICA_TARGET:>11.0%}")
    shown = "none" if gap is None else f"{gap:.2f} s"
    print(f"failover gap of {KILLED_GROUP:<20} {shown:>12} {GAP_TARGET:>9.0f} s")
    for rank, (done, total) in sorted(measures.ends_by_rank.items(), reverse=True):
        latencies = measures.latencies_by_rank[rank]
        target = f"{URGENT_TARGET:.0%}" if rank == "urgent" else ""
        print(
            f"{rank + ' inside its deadline':<36} {done / total:12.1%} {target:>11}"
            f"   n={total}"
            f" median={latencies.get_value_at_percentile(50) / 1000:.1f} ms"
            f" 99th={latencies.get_value_at_percentile(99) / 1000:.1f} ms"
        )
    rate = tally["done"] / options.phase_seconds
    print(f"routine work done during its flood   {rate:10.0f}/s")
    print(f"broken promises                      {len(findings):12d} {0:>11}")
    for finding in findings[:20]:
        print(f"  {finding}")
    return 1 if findings or gap is None else 0


if __name__ == "__main__":
    sys.exit(main())
