"""Checks of a configuration before it is accepted; does no I/O.

The checks find entries that can never match and limits that contradict each other.
They work on the entries in their written order, because a ``catalog.Configuration``
keeps only one of several entries with the same name.
"""

import collections
import enum
import math
import re

import attrs

from cassiahill import tenants
from cassiahill.catalog import Configuration, Consistency
from cassiahill.group_owners import CONNECTIONS_PER_OWNER
from cassiahill.position_samples import MIN_SAMPLE_INTERVAL_SECONDS

MOST_URGENT_PRIORITY = 0
# A token bucket that never holds one whole token starts no operation.
MIN_BURST_OPERATIONS = 1.0


class Severity(enum.StrEnum):
    """Whether a finding must stop a configuration from being sent."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class CatalogFinding:
    """One thing that is wrong with a configuration.

    Attributes
    ----------
    severity : Severity
    place : str
        The entry, such as ``routes[3]``.
    problem : str
        What is wrong.
    allowed : str
        Description of what is allowed; may be empty.
    """

    severity: Severity
    place: str
    problem: str
    allowed: str = ""

    def __str__(self):
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{self.severity}: {self.place}: {self.problem}{allowed}"

    def to_json(self):
        """Return the finding as a dict of JSON values."""
        return {**attrs.asdict(self), "severity": self.severity.value}


@attrs.frozen
class CatalogEntry:
    """A route, the limits of a group, or a tenant, and the place where it is written.

    Attributes
    ----------
    place : str
    value : catalog.Route, catalog.GroupLimits or tenants.Tenant
    """

    place: str
    value: object


@attrs.frozen
class CatalogEntries:
    """All entries of one configuration in their written order.

    Attributes
    ----------
    version : int
    routes : tuple of CatalogEntry
    groups : tuple of CatalogEntry
    idle_transaction_seconds : float
    tenants : tuple of CatalogEntry, or None
        None in a deployment without tenants.
    """

    version: int
    routes: tuple
    groups: tuple
    idle_transaction_seconds: float
    tenants: tuple | None = None

    def to_configuration(self):
        """Return the ``catalog.Configuration`` that proxies would use.

        The first route of a database and the first tenant of a name count, and the last
        limits of a group.
        """
        routes_by_database = {}
        for entry in self.routes:
            routes_by_database.setdefault(entry.value.database, entry.value)
        groups_by_name = {entry.value.group: entry.value for entry in self.groups}
        directory = None
        if self.tenants is not None:
            tenants_by_name = {}
            for entry in self.tenants:
                tenants_by_name.setdefault(entry.value.name, entry.value)
            directory = tenants.TenantDirectory.from_tenants(tenants_by_name.values())
        return Configuration(
            self.version,
            routes_by_database,
            groups_by_name,
            self.idle_transaction_seconds,
            {},
            directory,
        )


def sort_findings(findings):
    """Return findings by place; ``routes[2]`` comes before ``routes[10]``."""
    return sorted(findings, key=_sort_key)


def _sort_key(finding):
    # Every second part is a number, so that no text is compared with a number.
    parts = re.split(r"([0-9]+)", finding.place)
    parts[1::2] = map(int, parts[1::2])
    return parts, finding.severity, finding.problem


def check(entries):
    """Return all findings on the entries of a configuration.

    Parameters
    ----------
    entries : CatalogEntries

    Returns
    -------
    list of CatalogFinding
    """
    findings = [
        *_check_repeated_names(entries),
        *_check_group_use(entries),
        *_check_key_use(entries),
    ]
    for entry in entries.routes:
        findings += _check_route(entry, entries.idle_transaction_seconds)
    for entry in entries.groups:
        findings += _check_group_limits(entry)
    for entry in entries.tenants or ():
        findings += _check_tenant(entry)
    if entries.idle_transaction_seconds <= 0:
        findings.append(
            _error(
                "limits",
                "transactions are aborted at once: the idle time-out is "
                f"{entries.idle_transaction_seconds:g} s",
                "more than 0 s",
            )
        )
    return findings


def check_slots(entries, servers):
    """Return findings on limits that leave slots of registered servers without use.

    A statement occupies a connection as long as a slot, so slots beyond the connection
    limit never run anything.

    Parameters
    ----------
    entries : CatalogEntries
    servers : iterable of catalog.BackendServer

    Returns
    -------
    list of CatalogFinding
    """
    most_slots_by_group = {}
    for server in servers:
        most_slots = most_slots_by_group.get(server.group, 0)
        most_slots_by_group[server.group] = max(most_slots, server.slots)
    findings = []
    for entry in entries.groups:
        slots = most_slots_by_group.get(entry.value.group, 0)
        if entry.value.connections < slots:
            problem = (
                f"{entry.value.connections} connections are fewer than the {slots} "
                "slots of a server"
            )
            findings.append(_warning(entry.place, problem, f"{slots} or more"))
    return findings


def _error(place, problem, allowed=""):
    return CatalogFinding(Severity.ERROR, place, problem, allowed)


def _warning(place, problem, allowed=""):
    return CatalogFinding(Severity.WARNING, place, problem, allowed)


def _check_repeated_names(entries):
    """Yield findings on entries that another one of the same name replaces."""
    first_place_by_database = {}
    for entry in entries.routes:
        database = entry.value.database
        first_place = first_place_by_database.setdefault(database, entry.place)
        if first_place != entry.place:
            yield _error(
                entry.place,
                f"never matches: {first_place} has the same database",
                "one route for each database",
            )
    last_place_by_group = {entry.value.group: entry.place for entry in entries.groups}
    for entry in entries.groups:
        last_place = last_place_by_group[entry.value.group]
        if last_place != entry.place:
            yield _error(
                entry.place,
                f"never used: {last_place} replaces these limits",
                "one entry for each group",
            )
    first_place_by_tenant = {}
    for entry in entries.tenants or ():
        first_place = first_place_by_tenant.setdefault(entry.value.name, entry.place)
        if first_place != entry.place:
            yield _error(
                entry.place,
                f"never matches: {first_place} has the same name",
                "one entry for each tenant",
            )


def _check_group_use(entries):
    """Yield findings on routes without a group and groups without a route."""
    limited_groups = {entry.value.group for entry in entries.groups}
    routed_groups = {entry.value.group for entry in entries.routes}
    for entry in entries.routes:
        if entry.value.group not in limited_groups:
            yield _error(
                entry.place,
                f"the group {entry.value.group!r} has no limits",
                "a group with an entry for its limits",
            )
    for entry in entries.groups:
        if entry.value.group not in routed_groups:
            yield _warning(
                entry.place, f"no route leads to the group {entry.value.group!r}"
            )


def _check_key_use(entries):
    """Yield findings on keys that identify nobody."""
    if entries.tenants is None:
        return
    if entries.routes and all(entry.value.public for entry in entries.routes):
        yield _warning("tenants", "no tenant is ever identified: all routes are public")
    places_by_digest = collections.defaultdict(list)
    entries_by_name = {}
    for entry in entries.tenants:
        if entries_by_name.setdefault(entry.value.name, entry) is not entry:
            continue
        if not entry.value.key_digests:
            yield _warning(entry.place, "is never identified: it has no key")
        for digest in entry.value.key_digests:
            places_by_digest[digest].append(entry.place)
    # Findings name places only: neither a key nor its digest may be shown.
    shared_count_by_places = collections.Counter(
        tuple(places) for places in places_by_digest.values() if len(places) > 1
    )
    for places, count in shared_count_by_places.items():
        yield _error(
            places[-1],
            f"{count} of its keys identify nobody: also held by "
            + ", ".join(places[:-1]),
            "keys of one tenant only",
        )


def _check_route(entry, idle_transaction_seconds):
    """Yield findings on the limits of one route."""
    route = entry.value
    yield from _check_priority(entry)
    for name, seconds in (
        ("statement time-out", route.timeout),
        ("latency target", route.target),
    ):
        if seconds <= 0:
            yield _error(entry.place, f"the {name} is {seconds:g} s", "more than 0 s")
    if route.target > route.timeout:
        yield _warning(
            entry.place,
            f"the latency target of {route.target:g} s is longer than the statement "
            f"time-out of {route.timeout:g} s: a statement times out before it is late",
            "a target up to the time-out",
        )
    if 0 < idle_transaction_seconds < route.timeout:
        yield _warning(
            entry.place,
            f"a transaction may rest for {idle_transaction_seconds:g} s only, less "
            f"than the statement time-out of {route.timeout:g} s",
            "a time-out up to the idle time-out of transactions",
        )
    yield from _check_freshness_bound(entry)


def _check_freshness_bound(entry):
    """Yield findings on the age that a route allows for its reads."""
    route = entry.value
    if route.consistency is Consistency.PRIMARY:
        if route.max_age != math.inf:
            yield _warning(
                entry.place,
                "the freshness bound is ignored: reads of this route go to the primary",
            )
    elif route.max_age < 0:
        yield _error(
            entry.place,
            f"no replica can prove a freshness bound of {route.max_age:g} s",
            "0 s or more",
        )
    elif route.max_age < MIN_SAMPLE_INTERVAL_SECONDS:
        # Each read then waits for a position asked for after its arrival.
        yield _warning(
            entry.place,
            f"no replica can prove a freshness bound of {route.max_age:g} s without "
            "asking the primary for each read",
            f"{MIN_SAMPLE_INTERVAL_SECONDS:g} s or more",
        )
    elif route.max_age == math.inf and route.consistency is Consistency.BOUNDED:
        yield _warning(
            entry.place, "reads may be of any age: no freshness bound is given"
        )


def _check_group_limits(entry):
    """Yield findings on the limits of one group."""
    connections = entry.value.connections
    if connections < 1:
        yield _error(
            entry.place,
            f"no server can be used: it accepts {connections} connections",
            "1 or more",
        )
    elif connections < CONNECTIONS_PER_OWNER:
        # With fewer, one owner's open transactions block each other.
        yield _warning(
            entry.place,
            f"{connections} connections are too few for one owner of the group",
            f"{CONNECTIONS_PER_OWNER} or more",
        )


def _check_tenant(entry):
    """Yield findings on the limits of one tenant."""
    tenant = entry.value
    yield from _check_priority(entry)
    for name, limit in (("rate", tenant.rate), ("burst", tenant.burst)):
        if limit < 0:
            yield _error(entry.place, f"the {name} is {limit:g}", "0 or more")
    if tenant.rate > 0 and tenant.burst < MIN_BURST_OPERATIONS:
        yield _error(
            entry.place,
            f"no operation can ever start: the burst is {tenant.burst:g} beside a rate "
            f"of {tenant.rate:g} a second",
            f"a burst of {MIN_BURST_OPERATIONS:g} or more",
        )
    if tenant.rate == 0 and tenant.key_digests:
        yield _warning(
            entry.place,
            "its keys are valid but its rate is 0: nothing starts beyond the burst",
        )
    if tenant.rate == math.inf and tenant.burst != math.inf:
        yield _warning(entry.place, "the burst is ignored: no rate is given")


def _check_priority(entry):
    """Yield a finding if the priority of a route or tenant is out of range."""
    priority = entry.value.priority
    if not MOST_URGENT_PRIORITY <= priority <= tenants.LOWEST_PRIORITY:
        yield _error(
            entry.place,
            f"the priority is {priority}",
            f"{MOST_URGENT_PRIORITY} to {tenants.LOWEST_PRIORITY}",
        )
