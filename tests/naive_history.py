"""Naive version of ``cassiahill.history`` that compares all pairs of operations."""

from cassiahill.history import DIVERGED, DONE, NOT_RUN


def violated_rules(operations, final_values):
    """Return the session and write rules that a history violates."""
    operations = list(operations)
    pairs = [
        (earlier, later)
        for index, later in enumerate(operations)
        for earlier_index, earlier in enumerate(operations[:index])
        if earlier.session == later.session
        and later.kind == "read"
        and earlier.outcome == later.outcome == DONE
        and not has_diverged(operations[earlier_index:index], later.session)
    ]
    rules = set()
    for earlier, later in pairs:
        same_item = earlier.item == later.item
        if same_item and earlier.kind == "write" and earlier.value not in later.values:
            rules.add("read-your-writes")
        if same_item and not set(earlier.values) <= set(later.values):
            rules.add("monotonic reads")
        if (earlier.term, earlier.position) > (later.term, later.position):
            rules.add("monotonic reads")
    for write in (operation for operation in operations if operation.kind == "write"):
        count = final_values.get(write.item, []).count(write.value)
        if write.outcome == DONE and not count:
            rules.add("acknowledged write lost")
        if count > 1:
            rules.add("at most once")
        if write.outcome == NOT_RUN and (count or was_read(operations, write)):
            rules.add("not run, but ran")
    return rules


def has_diverged(operations, session):
    """Return whether an operation told a session that its history diverged."""
    return any(
        operation.session == session and operation.outcome == DIVERGED
        for operation in operations
    )


def was_read(operations, write):
    """Return whether a session read the written value and has not diverged since."""
    return any(
        read.kind == "read"
        and read.outcome == DONE
        and read.item == write.item
        and write.value in read.values
        and not has_diverged(operations[index:], read.session)
        for index, read in enumerate(operations)
    )
