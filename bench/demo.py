"""The whole path on loopback: both workloads, a killed primary and a flood.

``python -m bench.demo`` prints the measures of the design page and exits with 1 when a
promise was broken.
"""

import argparse
import json
import subprocess
import sys
import threading
import time

import attrs
from hdrh.histogram import HdrHistogram

from bench import deployment
from cassiahill import client, errors, history

SHAPE = deployment.Shape(
    groups=("renewals", "reports"),
    domains=("a", "b", "c"),
    slots=3,
    connections=25,
    open_ms=10,
    service_ms=4,
    lag_ms=1,
    proxies=4,
)
KILLED_GROUP = "renewals"
URGENT_TIMEOUT = 5.0
LOOKUP_TIMEOUT = 2.0
MAX_AGE = 1.0
SETTLE_SECONDS = 2.0
FLOOD_CALLERS = 300
URGENT_TARGET = 0.99
REPLICA_TARGET = 0.95
GAP_TARGET = 3.0


@attrs.define
class Measures:
    """What the demo counts; latencies in microseconds, instants in seconds."""

    lock: threading.Lock = attrs.field(factory=threading.Lock)
    latencies_by_rank: dict = attrs.field(factory=dict)
    ends_by_rank: dict = attrs.field(factory=dict)
    replica_reads: int = 0
    primary_reads: int = 0
    acks: list = attrs.field(factory=list)

    def ended(self, rank, started, done):
        """Count the end of one request."""
        seconds = time.monotonic() - started
        with self.lock:
            ends = self.ends_by_rank.setdefault(rank, [0, 0])
            ends[0] += done
            ends[1] += 1
            latencies = self.latencies_by_rank.setdefault(
                rank, HdrHistogram(1, 60_000_000, 3)
            )
            latencies.record_value(max(1, int(seconds * 1e6)))


class Worker:
    """One caller in a thread: writes with a key, then reads its own write."""

    def __init__(self, number, addresses, recorder, measures, stop):
        self.number = number
        self.group = SHAPE.groups[number % len(SHAPE.groups)]
        self.recorder = recorder
        self.measures = measures
        self.stop = stop
        self.item = f"caller-{number}"
        self.client = client.Client(addresses, self.item)
        self.session = self.client.session()
        self.session_number = 0
        self.written = 0
        self.failures = []

    def run(self):
        """Work until told to stop."""
        with self.client:
            while not self.stop.is_set():
                if self.written % 10 == 9:
                    self._transaction()
                else:
                    self._write()
                self._read()

    @property
    def _session_name(self):
        return f"{self.item}/{self.session_number}"

    def _next(self):
        self.written += 1
        return f"{self.item}-{self.written}"

    def _write(self):
        value = self._next()
        started = time.monotonic()
        outcome, result, resolved = history.UNKNOWN, None, False
        try:
            result = self.session.write(
                self.group,
                "insert into entries (caller, value) values (?, ?)",
                (self.item, value),
                key=value,
                rank="urgent",
                timeout=URGENT_TIMEOUT,
            )
            outcome, resolved = history.DONE, result.repeated
            self._acknowledged(result)
        except errors.CassiahillError as error:
            outcome = self._outcome(error)
        self.measures.ended("urgent", started, outcome == history.DONE)
        self._record("write", outcome, result, value=value, resolved=resolved)

    def _transaction(self):
        value = self._next()
        started = time.monotonic()
        outcome = history.UNKNOWN
        try:
            with self.session.transaction(
                self.group, key=value, rank="urgent", timeout=URGENT_TIMEOUT
            ) as transaction:
                transaction.execute(
                    "insert into entries (caller, value) values (?, ?)",
                    (self.item, value),
                )
                counted = transaction.execute(
                    "select count(*) from entries where caller = ? and value = ?",
                    (self.item, value),
                )
                if counted.rows != [[1]]:
                    self.failures.append(f"transaction of {value} saw {counted.rows}")
            outcome = history.DONE
        except errors.CassiahillError as error:
            outcome = self._outcome(error)
        self.measures.ended("urgent", started, outcome == history.DONE)
        self._record("write", outcome, None, value=value)

    def _read(self):
        started = time.monotonic()
        outcome, result = history.UNKNOWN, None
        max_age = MAX_AGE if self.written % 2 else None
        try:
            result = self.session.read(
                self.group,
                "select value from entries where caller = ?",
                (self.item,),
                max_age=max_age,
                timeout=LOOKUP_TIMEOUT,
            )
            outcome = history.DONE
            with self.measures.lock:
                primary = result.server == self._primary_of(result.term)
                self.measures.primary_reads += primary
                self.measures.replica_reads += not primary
        except errors.CassiahillError as error:
            outcome = self._outcome(error)
        self.measures.ended("lookup", started, outcome == history.DONE)
        values = tuple(row[0] for row in result.rows) if result else ()
        self._record("read", outcome, result, values=values)

    def _acknowledged(self, result):
        if not result.repeated:
            with self.measures.lock:
                self.measures.acks.append(
                    (time.monotonic(), self.group, result.term, result.server)
                )

    def _primary_of(self, term):
        for _, group, ack_term, server in reversed(self.measures.acks):
            if group == self.group and ack_term == term:
                return server
        return f"{self.group}-1"

    def _outcome(self, error):
        if isinstance(error, errors.HistoryDiverged):
            self.session_number += 1
            return history.DIVERGED
        if error.may_have_run is errors.MayHaveRun.NO:
            return history.NOT_RUN
        return history.UNKNOWN

    def _record(self, kind, outcome, result, **fields):
        self.recorder.record(
            history.Operation(
                session=self._session_name,
                kind=kind,
                item=self.item,
                outcome=outcome,
                term=0 if result is None else result.term,
                position=0 if result is None else result.position,
                key=fields.get("value"),
                **fields,
            )
        )


def prepare(addresses):
    """Create the table in each group."""
    with client.Client(addresses, "demo") as caller:
        session = caller.session()
        for group in SHAPE.groups:
            session.write(
                group,
                "create table entries"
                " (id integer primary key, caller text, value text)",
                timeout=20.0,
            )


def final_values(addresses):
    """Return all values by caller, read through the primaries."""
    values_by_item = {}
    with client.Client(addresses, "demo") as caller:
        session = caller.session()
        for group in SHAPE.groups:
            # A write moves the session past everything that was acknowledged.
            session.write(
                group,
                "insert into entries (caller, value) values ('demo', 'end')",
                timeout=20.0,
            )
            result = session.read(group, "select caller, value from entries")
            for item, value in result.rows:
                values_by_item.setdefault(item, []).append(value)
    return values_by_item


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


def failover_gap(measures, group):
    """Return seconds from the last ack of the first term to the first of the next."""
    acks = [
        (at, term) for at, ack_group, term, _ in measures.acks if ack_group == group
    ]
    first_term = min(term for _, term in acks)
    before = [at for at, term in acks if term == first_term]
    after = [at for at, term in acks if term > first_term]
    return min(after) - max(before) if after else None


def run(workers_count, phase_seconds):
    """Run the demo; return the measures, the findings and the flood's tally."""
    with deployment.running(SHAPE) as running:
        addresses = list(running.callers_by_proxy.values())
        prepare(addresses)
        recorder, measures, stop = history.Recorder(), Measures(), threading.Event()
        workers = [
            Worker(
                number,
                addresses[number % len(addresses) :] + addresses,
                recorder,
                measures,
                stop,
            )
            for number in range(workers_count)
        ]
        threads = [threading.Thread(target=worker.run) for worker in workers]
        for thread in threads:
            thread.start()
        time.sleep(phase_seconds)
        print(f"killing {KILLED_GROUP}-1, the primary of {KILLED_GROUP}", flush=True)
        running.kill(f"{KILLED_GROUP}-1")
        time.sleep(phase_seconds)
        print(f"flooding {SHAPE.groups[1]} with routine reads", flush=True)
        flood = start_flood(addresses, phase_seconds)
        tally = json.loads(flood.communicate()[0])
        stop.set()
        for thread in threads:
            thread.join()
        time.sleep(SETTLE_SECONDS)
        findings = list(recorder.check(final_values(addresses)))
        findings += [text for worker in workers for text in worker.failures]
    return measures, findings, tally


def main(argv=None):
    """Print the tables; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--phase-seconds", type=float, default=6.0)
    options = parser.parse_args(argv)
    measures, findings, tally = run(options.callers, options.phase_seconds)
    reads = measures.replica_reads + measures.primary_reads
    gap = failover_gap(measures, KILLED_GROUP)
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
