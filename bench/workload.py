"""Callers for the demo and the fault scenarios: threads that use the Python client."""

import contextlib
import threading
import time

import attrs
from hdrh.histogram import HdrHistogram

from cassiahill import client, errors, history

URGENT_TIMEOUT_SECONDS = 5.0
LOOKUP_TIMEOUT_SECONDS = 2.0
MAX_AGE_SECONDS = 1.0
SECONDS_BEFORE_FINAL_READ = 2.0


@attrs.define
class Measurements:
    """Measurements of all callers; latencies in microseconds, instants in seconds.

    ``request_counts_by_rank`` holds lists ``[done, total]`` and ``acks`` tuples
    ``(instant, group, term, server)`` of writes that were acknowledged when first run.
    """

    lock: threading.Lock = attrs.field(factory=threading.Lock)
    latencies_by_rank: dict = attrs.field(factory=dict)
    request_counts_by_rank: dict = attrs.field(factory=dict)
    replica_reads: int = 0
    primary_reads: int = 0
    acks: list = attrs.field(factory=list)

    def record_request_end(self, rank, started_at, done):
        """Record the result and the latency of one request."""
        seconds = time.monotonic() - started_at
        with self.lock:
            counts = self.request_counts_by_rank.setdefault(rank, [0, 0])
            counts[0] += done
            counts[1] += 1
            latencies = self.latencies_by_rank.setdefault(
                rank, HdrHistogram(1, 60_000_000, 3)
            )
            latencies.record_value(max(1, int(seconds * 1e6)))


class WorkloadCaller:
    """Caller that alternates keyed writes with reads of its own writes.

    Each runs in a thread of its own; every tenth write is a transaction.
    """

    def __init__(
        self,
        caller_number,
        group,
        addresses,
        recorder,
        measurements,
        stop_event,
    ):
        self.group = group
        self.recorder = recorder
        self.measurements = measurements
        self.stop_event = stop_event
        self.name = f"caller-{caller_number}"
        self.client = client.Client(addresses, self.name)
        self.session = self.client.session()
        self.session_number = 0
        self.write_count = 0
        self.transaction_findings = []

    def run(self):
        """Write and read until the stop event is set."""
        with self.client:
            while not self.stop_event.is_set():
                if self.write_count % 10 == 9:
                    self._write_in_transaction()
                else:
                    self._write()
                self._read()

    @property
    def _session_name(self):
        return f"{self.name}/{self.session_number}"

    def _next_value(self):
        self.write_count += 1
        return f"{self.name}-{self.write_count}"

    def _write(self):
        value = self._next_value()
        started_at = time.monotonic()
        outcome, result, resolved = history.UNKNOWN, None, False
        try:
            result = self.session.write(
                self.group,
                "insert into entries (caller, value) values (?, ?)",
                (self.name, value),
                key=value,
                rank="urgent",
                timeout=URGENT_TIMEOUT_SECONDS,
            )
            outcome, resolved = history.DONE, result.repeated
            self._record_ack(result)
        except errors.CassiahillError as error:
            outcome = self._outcome_of_error(error)
        self.measurements.record_request_end(
            "urgent", started_at, outcome == history.DONE
        )
        self._record_operation("write", outcome, result, value=value, resolved=resolved)

    def _write_in_transaction(self):
        value = self._next_value()
        started_at = time.monotonic()
        outcome = history.UNKNOWN
        try:
            with self.session.transaction(
                self.group, key=value, rank="urgent", timeout=URGENT_TIMEOUT_SECONDS
            ) as transaction:
                transaction.execute(
                    "insert into entries (caller, value) values (?, ?)",
                    (self.name, value),
                )
                count_result = transaction.execute(
                    "select count(*) from entries where caller = ? and value = ?",
                    (self.name, value),
                )
                if count_result.rows != [[1]]:
                    self.transaction_findings.append(
                        f"transaction of {value} saw {count_result.rows}"
                    )
            outcome = history.DONE
        except errors.CassiahillError as error:
            outcome = self._outcome_of_error(error)
        self.measurements.record_request_end(
            "urgent", started_at, outcome == history.DONE
        )
        self._record_operation("write", outcome, None, value=value)

    def _read(self):
        started_at = time.monotonic()
        outcome, result = history.UNKNOWN, None
        max_age = MAX_AGE_SECONDS if self.write_count % 2 else None
        try:
            result = self.session.read(
                self.group,
                "select value from entries where caller = ?",
                (self.name,),
                max_age=max_age,
                timeout=LOOKUP_TIMEOUT_SECONDS,
            )
            outcome = history.DONE
            with self.measurements.lock:
                from_primary = result.server == self._primary_of_term(result.term)
                self.measurements.primary_reads += from_primary
                self.measurements.replica_reads += not from_primary
        except errors.CassiahillError as error:
            outcome = self._outcome_of_error(error)
        self.measurements.record_request_end(
            "lookup", started_at, outcome == history.DONE
        )
        values = tuple(row[0] for row in result.rows) if result else ()
        self._record_operation("read", outcome, result, values=values)

    def _record_ack(self, result):
        if not result.repeated:
            with self.measurements.lock:
                self.measurements.acks.append(
                    (time.monotonic(), self.group, result.term, result.server)
                )

    def _primary_of_term(self, term):
        for _, group, ack_term, server in reversed(self.measurements.acks):
            if group == self.group and ack_term == term:
                return server
        return f"{self.group}-1"

    def _outcome_of_error(self, error):
        if isinstance(error, errors.HistoryDiverged):
            self.session_number += 1
            return history.DIVERGED
        if error.may_have_run is errors.MayHaveRun.NO:
            return history.NOT_RUN
        return history.UNKNOWN

    def _record_operation(self, kind, outcome, result, **fields):
        self.recorder.record(
            history.Operation(
                session=self._session_name,
                kind=kind,
                item=self.name,
                outcome=outcome,
                term=0 if result is None else result.term,
                position=0 if result is None else result.position,
                key=fields.get("value"),
                **fields,
            )
        )


def create_tables(addresses, groups):
    """Create the table of the workload in each group."""
    with client.Client(addresses, "demo") as demo_client:
        session = demo_client.session()
        for group in groups:
            session.write(
                group,
                "create table entries"
                " (id integer primary key, caller text, value text)",
                timeout=20.0,
            )


def final_values_by_caller(addresses, groups):
    """Return all values in the databases by caller, as the primaries have them."""
    values_by_caller = {}
    with client.Client(addresses, "demo") as demo_client:
        session = demo_client.session()
        for group in groups:
            # After this write, the session's reads must include all earlier commits.
            session.write(
                group,
                "insert into entries (caller, value) values ('demo', 'end')",
                timeout=20.0,
            )
            result = session.read(group, "select caller, value from entries")
            for caller, value in result.rows:
                values_by_caller.setdefault(caller, []).append(value)
    return values_by_caller


def failover_gap_seconds(measurements, group):
    """Return the seconds from the last ack of the first term to the first ack after it.

    Returns None if no write was acknowledged in a later term.
    """
    acks = [
        (acked_at, term)
        for acked_at, ack_group, term, _ in measurements.acks
        if ack_group == group
    ]
    first_term = min(term for _, term in acks)
    acked_before = [acked_at for acked_at, term in acks if term == first_term]
    acked_after = [acked_at for acked_at, term in acks if term > first_term]
    return min(acked_after) - max(acked_before) if acked_after else None


def longest_ack_gap_seconds(measurements, group):
    """Return the longest time between two successive acks of a group, in seconds."""
    acks = sorted(
        acked_at
        for acked_at, ack_group, _, _ in measurements.acks
        if ack_group == group
    )
    return max(
        (
            next_acked_at - acked_at
            for acked_at, next_acked_at in zip(acks, acks[1:], strict=False)
        ),
        default=float("inf"),
    )


@contextlib.contextmanager
def running_callers(addresses, groups, caller_count):
    """Run callers in threads while the context is open, then check their history.

    Yields
    ------
    tuple of (Measurements, list)
        The list holds the violations of consistency rules once the context has ended.
    """
    recorder, measurements, stop_event = (
        history.Recorder(),
        Measurements(),
        threading.Event(),
    )
    callers = [
        WorkloadCaller(
            caller_number,
            groups[caller_number % len(groups)],
            addresses[caller_number % len(addresses) :] + addresses,
            recorder,
            measurements,
            stop_event,
        )
        for caller_number in range(caller_count)
    ]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    findings = []
    for thread in threads:
        thread.start()
    try:
        yield measurements, findings
    finally:
        stop_event.set()
        for thread in threads:
            thread.join()
    time.sleep(SECONDS_BEFORE_FINAL_READ)
    findings += recorder.check(final_values_by_caller(addresses, groups))
    for caller in callers:
        findings += caller.transaction_findings
