"""Naive version of ``cassiahill.history``: compares all pairs of operations."""

from cassiahill.history import DIVERGED, DONE, NOT_RUN


def rules_broken(operations, final):
    """Return the names of the session and write rules that a history breaks."""
    operations = list(operations)
    pairs = [
        (earlier, later)
        for index, later in enumerate(operations)
        for place, earlier in enumerate(operations[:index])
        if earlier.session == later.session
        and later.kind == "read"
        and earlier.outcome == later.outcome == DONE
        and not told(operations[place:index], later.session)
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
    for write in (o for o in operations if o.kind == "write"):
        count = final.get(write.item, []).count(write.value)
        if write.outcome == DONE and not count:
            rules.add("acknowledged write lost")
        if count > 1:
            rules.add("at most once")
        if write.outcome == NOT_RUN and (count or seen(operations, write)):
            rules.add("not run, but ran")
    return rules


def told(operations, session):
    """Return whether a session was told of a divergence."""
    return any(o.session == session and o.outcome == DIVERGED for o in operations)


def seen(operations, write):
    """Return whether a session read a value and was not told of a divergence."""
    return any(
        read.kind == "read"
        and read.outcome == DONE
        and read.item == write.item
        and write.value in read.values
        and not told(operations[index:], read.session)
        for index, read in enumerate(operations)
    )
