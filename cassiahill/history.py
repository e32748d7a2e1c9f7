"""Recorder and checker of operation histories.

Each write adds one value, unique in the history, to an item; each read returns all
values of an item. Embedders can use the checker on their own workloads.
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
    """One finished operation.

    Attributes
    ----------
    session : str
    kind : {"read", "write"}
    item : str
        What the operation asked for.
    value : object
        Value that a write adds.
    values : tuple
        Values that a read returned.
    key : str or None
    outcome : {"done", "not_run", "unknown", "diverged"}
        ``"diverged"`` when the session was told that its history diverged; it starts
        anew then.
    term, position : int
        From the answer.
    answered_item : str or None
        Item that the answer names; None when it names none.
    row_count : int or None
        Number of rows that the answer states; None when it states none.
    resolved : bool
        The outcome was settled later than the answer, by key.
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
    """One violation: its rule, the operation (or None) and what was seen."""

    rule: str
    operation: Operation | None
    detail: str


class Recorder:
    """Collects operations in the order in which they ended; safe for threads.

    The operations of one session have to be recorded in their order.
    """

    def __init__(self):
        self._operations = []
        self._lock = threading.Lock()

    def record(self, operation):
        """Add an operation."""
        with self._lock:
            self._operations.append(operation)

    @property
    def operations(self):
        """The operations so far, as a tuple."""
        with self._lock:
            return tuple(self._operations)

    def check(self, final_values_by_item):
        """Return the findings; see ``check``."""
        return check(self.operations, final_values_by_item)


@attrs.define
class _SessionState:
    seen_by_item: dict = attrs.field(factory=lambda: collections.defaultdict(set))
    written_by_item: dict = attrs.field(factory=lambda: collections.defaultdict(set))
    mark: tuple = (0, 0)


def check(operations, final_values_by_item):
    """Check a history.

    Parameters
    ----------
    operations : iterable of Operation
    final_values_by_item : dict of str to list
        All values at the end, with repetitions, read from the last primary.

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
            state.written_by_item[operation.item].add(operation.value)
            state.mark = max(state.mark, (operation.term, operation.position))
        else:
            yield from _check_read(operation, state)


def _check_read(operation, state):
    values = set(operation.values)
    missing = state.written_by_item[operation.item] - values
    if missing:
        yield Finding("read-your-writes", operation, f"missing {sorted(missing)}")
    gone = state.seen_by_item[operation.item] - values
    if gone:
        yield Finding("monotonic reads", operation, f"missing {sorted(gone)}")
    mark = (operation.term, operation.position)
    if mark < state.mark:
        yield Finding("monotonic reads", operation, f"{mark} is before {state.mark}")
    state.mark = max(state.mark, mark)
    state.seen_by_item[operation.item] |= values


def _check_answers(operations):
    items_by_value = {o.value: o.item for o in operations if o.kind == "write"}
    for operation in operations:
        if operation.kind != "read" or operation.outcome != DONE:
            continue
        if operation.answered_item not in (None, operation.item):
            detail = f"answer of {operation.answered_item}"
            yield Finding("answer to another request", operation, detail)
        foreign = [
            value
            for value in operation.values
            if items_by_value.get(value, operation.item) != operation.item
        ]
        if foreign:
            yield Finding("answer to another request", operation, f"values {foreign}")
        if operation.row_count not in (None, len(operation.values)):
            detail = f"{operation.row_count} rows stated, {len(operation.values)} given"
            yield Finding("whole answers", operation, detail)


def _check_writes(operations, final_values_by_item):
    counts_by_item = {
        item: collections.Counter(values)
        for item, values in final_values_by_item.items()
    }
    read_by_item = _read_values(operations)
    values_by_key = collections.defaultdict(set)
    for operation in operations:
        if operation.kind != "write":
            continue
        count = counts_by_item.get(operation.item, {}).get(operation.value, 0)
        if operation.outcome == DONE and not count:
            yield Finding("acknowledged write lost", operation, "not in the final data")
        if operation.outcome == NOT_RUN:
            read = operation.value in read_by_item[operation.item]
            if count or read:
                yield Finding("not run, but ran", operation, f"{count} in final data")
        if count > 1:
            yield Finding("at most once", operation, f"{count} copies")
        if operation.key is not None and count:
            values_by_key[operation.key].add((operation.item, operation.value))
    for key, values in values_by_key.items():
        if len(values) > 1:
            yield Finding("at most once", None, f"key {key} ran {len(values)} writes")


def _read_values(operations):
    """Return the values that sessions read and were not told to forget, by item.

    A read at an isolated primary may see a write that is dropped later; its session is
    told with its next operation, which is when such a read stops being evidence.
    """
    read_by_item = collections.defaultdict(set)
    since_by_session = collections.defaultdict(list)
    for operation in operations:
        if operation.outcome == DIVERGED:
            since_by_session[operation.session].clear()
        elif operation.kind == "read" and operation.outcome == DONE:
            since_by_session[operation.session].append(operation)
    for reads in since_by_session.values():
        for read in reads:
            read_by_item[read.item].update(read.values)
    return read_by_item
