"""Recorder and consistency checker of operation histories.

Each write adds one value, unique in the history, to an item; each read returns all
values of an item. Programs that embed the client can check their own workloads with it.
"""

import collections
import threading

import attrs

DONE = "done"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
DIVERGED = "diverged"


@attrs.frozen
class Operation:
    """One completed operation.

    Attributes
    ----------
    session : str
    kind : {"read", "write"}
    item : str
        Item that the operation reads or writes.
    value : object
        Value that a write adds.
    values : tuple
        Values that a read returned.
    key : str or None
        Idempotency key of a write.
    outcome : {"done", "not_run", "unknown", "diverged"}
        ``"diverged"`` when the session was told that its history diverged; what it read
        and wrote before then no longer counts.
    term, position : int
        Term and log position in the answer.
    answered_item : str or None
        Item that the answer names, if any.
    row_count : int or None
        Number of rows that the answer states, if any.
    resolved : bool
        Whether the outcome was determined by the key, after an answer that left it
        open.
    """

    session: str
    kind: str
    item: str
    value: object = None
    values: tuple = ()
    key: str | None = None
    outcome: str = DONE
    term: int = 0
    position: int = 0
    answered_item: str | None = None
    row_count: int | None = None
    resolved: bool = False


@attrs.frozen
class Finding:
    """One violation: the rule, the operation if it is a single one, and details."""

    rule: str
    operation: Operation | None
    detail: str


class Recorder:
    """Collects operations in the order in which they ended. It is thread-safe.

    The operations of one session must be recorded in the order of the session.
    """

    def __init__(self):
        self._operations = []
        self._lock = threading.Lock()

    def record(self, operation):
        """Add a completed operation."""
        with self._lock:
            self._operations.append(operation)

    @property
    def operations(self):
        """The operations recorded so far, as a tuple."""
        with self._lock:
            return tuple(self._operations)

    def check(self, final_values_by_item):
        """Check the recorded operations; see the function ``check``."""
        return check(self.operations, final_values_by_item)


@attrs.define
class _SessionState:
    read_values_by_item: dict = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    written_values_by_item: dict = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    latest_position: tuple = (0, 0)


def check(operations, final_values_by_item):
    """Return the consistency violations of a history.

    Parameters
    ----------
    operations : iterable of Operation
    final_values_by_item : dict of str to list
        All values, repeated ones included, read from the primary after the last
        operation.

    Returns
    -------
    list of Finding
        Empty when the history is correct.
    """
    operations = list(operations)
    findings = []
    findings.extend(_check_sessions(operations))
    findings.extend(_check_answers(operations))
    findings.extend(_check_writes(operations, final_values_by_item))
    return findings


def _check_sessions(operations):
    states_by_session = collections.defaultdict(_SessionState)
    for operation in operations:
        state = states_by_session[operation.session]
        if operation.outcome == DIVERGED:
            states_by_session[operation.session] = _SessionState()
        elif operation.outcome != DONE:
            continue
        elif operation.kind == "write":
            state.written_values_by_item[operation.item].add(operation.value)
            state.latest_position = max(
                state.latest_position, (operation.term, operation.position)
            )
        else:
            yield from _check_read(operation, state)


def _check_read(operation, state):
    values = set(operation.values)
    missing_writes = state.written_values_by_item[operation.item] - values
    if missing_writes:
        yield Finding(
            "read-your-writes", operation, f"missing {sorted(missing_writes)}"
        )
    missing_reads = state.read_values_by_item[operation.item] - values
    if missing_reads:
        yield Finding("monotonic reads", operation, f"missing {sorted(missing_reads)}")
    position = (operation.term, operation.position)
    if position < state.latest_position:
        yield Finding(
            "monotonic reads",
            operation,
            f"{position} is before {state.latest_position}",
        )
    state.latest_position = max(state.latest_position, position)
    state.read_values_by_item[operation.item] |= values


def _check_answers(operations):
    items_by_value = {
        operation.value: operation.item
        for operation in operations
        if operation.kind == "write"
    }
    for operation in operations:
        if operation.kind != "read" or operation.outcome != DONE:
            continue
        if operation.answered_item not in (None, operation.item):
            detail = f"answer of {operation.answered_item}"
            yield Finding("answer to another request", operation, detail)
        other_items_values = [
            value
            for value in operation.values
            if items_by_value.get(value, operation.item) != operation.item
        ]
        if other_items_values:
            yield Finding(
                "answer to another request", operation, f"values {other_items_values}"
            )
        if operation.row_count not in (None, len(operation.values)):
            detail = f"{operation.row_count} rows stated, {len(operation.values)} given"
            yield Finding("whole answers", operation, detail)


def _check_writes(operations, final_values_by_item):
    counts_by_item = {
        item: collections.Counter(values)
        for item, values in final_values_by_item.items()
    }
    read_values_by_item = _valid_read_values(operations)
    values_by_key = collections.defaultdict(set)
    for operation in operations:
        if operation.kind != "write":
            continue
        count = counts_by_item.get(operation.item, {}).get(operation.value, 0)
        if operation.outcome == DONE and not count:
            yield Finding("acknowledged write lost", operation, "not in the final data")
        if operation.outcome == NOT_RUN:
            was_read = operation.value in read_values_by_item[operation.item]
            if count or was_read:
                yield Finding("not run, but ran", operation, f"{count} in final data")
        if count > 1:
            yield Finding("at most once", operation, f"{count} copies")
        if operation.key is not None and count:
            values_by_key[operation.key].add((operation.item, operation.value))
    for key, values in values_by_key.items():
        if len(values) > 1:
            yield Finding("at most once", None, f"key {key} ran {len(values)} writes")


def _valid_read_values(operations):
    """Return the values that were read, by item, without the reads before a divergence.

    A read at an isolated primary may return a write that is discarded later. The next
    operation of that session reports the divergence, so that its earlier reads are no
    evidence that the write ran.
    """
    read_values_by_item = collections.defaultdict(set)
    valid_reads_by_session = collections.defaultdict(list)
    for operation in operations:
        if operation.outcome == DIVERGED:
            valid_reads_by_session[operation.session].clear()
        elif operation.kind == "read" and operation.outcome == DONE:
            valid_reads_by_session[operation.session].append(operation)
    for reads in valid_reads_by_session.values():
        for read in reads:
            read_values_by_item[read.item].update(read.values)
    return read_values_by_item
