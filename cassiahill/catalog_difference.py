"""The difference between two configurations, for people; does no I/O.

Keys are counted and never shown.
"""

import math

import attrs

_LIMIT_FIELDS = frozenset({"timeout", "connections", "rate", "burst"})
_ADDED = "added"
_REMOVED = "removed"
_CHANGED = "changed"


@attrs.frozen
class CatalogChange:
    """One difference between the version in force and another one.

    Attributes
    ----------
    place : str
        What differs, such as ``route 'shop'``.
    action : str
        ``added``, ``removed`` or ``changed``.
    field : str
        Name of the field that changed; empty for a whole entry.
    before : str
    after : str
    warning : str
        Why the change may refuse or admit callers that it should not; may be empty.
    """

    place: str
    action: str
    field: str = ""
    before: str = ""
    after: str = ""
    warning: str = ""

    def __str__(self):
        text = f"{self.place} {self.action}"
        if self.field:
            text = f"{self.place} {self.field}: {self.before} -> {self.after}"
        return f"{text} (warning: {self.warning})" if self.warning else text


def compare(before, after):
    """Return the differences between two configurations, in a stable order.

    Parameters
    ----------
    before, after : catalog.Configuration

    Returns
    -------
    list of CatalogChange
    """
    changes = [
        *_compare_entries("route", before.routes_by_database, after.routes_by_database),
        *_compare_entries("group", before.groups_by_name, after.groups_by_name),
        *_compare_idle_time(before, after),
        *_compare_tenants(before.tenants, after.tenants),
    ]
    return sorted(changes, key=lambda change: (change.place, change.field))


def _compare_entries(kind, before_by_name, after_by_name):
    """Yield the differences between two versions of the entries of one kind."""
    for name in before_by_name.keys() | after_by_name.keys():
        place = f"{kind} {name!r}"
        if name not in before_by_name:
            yield CatalogChange(place, _ADDED)
        elif name not in after_by_name:
            yield CatalogChange(place, _REMOVED)
        else:
            yield from _compare_fields(place, before_by_name[name], after_by_name[name])


def _compare_fields(place, before, after):
    """Yield the differences between the fields of two versions of an entry."""
    for field in attrs.fields(type(before)):
        if field.name == "key_digests":
            yield from _compare_keys(place, before.key_digests, after.key_digests)
            continue
        old_value = getattr(before, field.name)
        new_value = getattr(after, field.name)
        if old_value == new_value:
            continue
        warning = ""
        if field.name in _LIMIT_FIELDS and new_value < old_value:
            warning = "the limit is lowered"
        elif field.name == "public" and new_value:
            warning = "callers need no key any more"
        yield CatalogChange(
            place, _CHANGED, field.name, _shown(old_value), _shown(new_value), warning
        )


def _compare_keys(place, before_digests, after_digests):
    """Yield how many keys a tenant gains and loses."""
    added_count = len(after_digests - before_digests)
    removed_count = len(before_digests - after_digests)
    if added_count or removed_count:
        yield CatalogChange(
            place,
            _CHANGED,
            "keys",
            str(len(before_digests)),
            f"{len(after_digests)} (added {added_count}, removed {removed_count})",
            "callers with a removed key are refused" if removed_count else "",
        )


def _compare_idle_time(before, after):
    """Yield the difference between the idle time-outs of transactions."""
    old_seconds = before.idle_transaction_seconds
    new_seconds = after.idle_transaction_seconds
    if old_seconds != new_seconds:
        yield CatalogChange(
            "limits",
            _CHANGED,
            "idle_transaction_seconds",
            _shown(old_seconds),
            _shown(new_seconds),
            "the limit is lowered" if new_seconds < old_seconds else "",
        )


def _compare_tenants(before, after):
    """Yield the differences between two tenant directories; each may be None."""
    if before is not None and after is None:
        yield CatalogChange(
            "tenants",
            _REMOVED,
            warning="callers need no key any more",
        )
    elif before is None and after is not None:
        yield CatalogChange("tenants", _ADDED, warning="callers need a key from now on")
    yield from _compare_entries(
        "tenant",
        {} if before is None else before.by_name,
        {} if after is None else after.by_name,
    )


def _shown(value):
    """Return a value of a field as text."""
    if value == math.inf:
        return "no limit"
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))
