"""Callers of the demo and of the fault runs: threads with the Python client."""

import contextlib
import threading
import time

import attrs
from hdrh.histogram import HdrHistogram

from cassiahill import client, errors, history

URGENT_TIMEOUT = 5.0
LOOKUP_TIMEOUT = 2.0
MAX_AGE = 1.0
SETTLE_SECONDS = 2.0


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

    def __init__(self, number, group, addresses, recorder, measures, stop):
        self.group = group
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


def prepare(addresses, groups):
    """Create the table in each group."""
    with client.Client(addresses, "demo") as caller:
        session = caller.session()
        for group in groups:
            session.write(
                group,
                "create table entries"
                " (id integer primary key, caller text, value text)",
                timeout=20.0,
            )


def final_values(addresses, groups):
    """Return all values by caller, read through the primaries."""
    values_by_item = {}
    with client.Client(addresses, "demo") as caller:
        session = caller.session()
        for group in groups:
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


def failover_gap(measures, group):
    """Return seconds from the last ack of the first term to the first of the next."""
    acks = [
        (at, term) for at, ack_group, term, _ in measures.acks if ack_group == group
    ]
    first_term = min(term for _, term in acks)
    before = [at for at, term in acks if term == first_term]
    after = [at for at, term in acks if term > first_term]
    return min(after) - max(before) if after else None


def longest_gap(measures, group):
    """Return the longest time between two acknowledgements of a group, in seconds."""
    acks = sorted(at for at, ack_group, _, _ in measures.acks if ack_group == group)
    return max(
        (after - before for before, after in zip(acks, acks[1:], strict=False)),
        default=float("inf"),
    )


@contextlib.contextmanager
def working(addresses, groups, count):
    """Run callers in threads while the context is open.

    Yields
    ------
    tuple of (Measures, list)
        The list holds the findings once the context has ended.
    """
    recorder, measures, stop = history.Recorder(), Measures(), threading.Event()
    workers = [
        Worker(
            number,
            groups[number % len(groups)],
            addresses[number % len(addresses) :] + addresses,
            recorder,
            measures,
            stop,
        )
        for number in range(count)
    ]
    threads = [threading.Thread(target=worker.run) for worker in workers]
    findings = []
    for thread in threads:
        thread.start()
    try:
        yield measures, findings
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    time.sleep(SETTLE_SECONDS)
    findings += recorder.check(final_values(addresses, groups))
    for worker in workers:
        findings += worker.failures
