"""Detection of a failed primary from the observations of proxies and replicas.

An observation counts only for the time that its sender measured; the time since it was
received is never added. A paused process or a slow poll therefore cannot make a primary
seem unreachable.
"""

import enum

import attrs
import xxhash

OBSERVER_COUNT = 5
# Time without an answered probe after which an observer counts the primary as failed.
PROBE_UNREACHABLE_SECONDS = 1.0
# Time without contact to the primary that all reachable replicas must report, besides
# the failed probes of a majority of observers.
REPLICA_UNREACHABLE_SECONDS = 0.75
# Time without contact to the primary that suffices without failed probes, when all
# reachable replicas report it and they are a majority of the group.
PRIMARY_ISOLATED_SECONDS = 1.5
# Time in which another proxy's promotion should have ended.
NO_PRIMARY_SECONDS = 1.0
# A single probe can fail because of a lost packet or a slow connection.
MIN_FAILED_PROBES = 2
# Observations of other proxies expire after three probe intervals.
OBSERVATION_LIFETIME_SECONDS = 0.75
# Status polls expire after the deadline of one poll.
STATUS_LIFETIME_SECONDS = 0.75


class Reason(enum.Enum):
    """Why a primary is considered failed."""

    SILENT = "observers and replicas get no answer from the primary"
    ISOLATED = "a majority of replicas is cut off from the primary"
    NO_PRIMARY = "the latest term has no primary"


@attrs.frozen
class Healthy:
    """Verdict: the primary is not considered failed."""


@attrs.frozen
class Failed:
    """Verdict: the primary is considered failed and should be replaced."""

    reason: Reason


@attrs.frozen
class Observation:
    """One observer's observation of a primary.

    ``unreachable_seconds`` is the time for which the primary has not answered probes.
    """

    group: str
    term: int
    primary: str
    observer: str
    unreachable_seconds: float


def choose_observers(group, domains_by_proxy, count=OBSERVER_COUNT):
    """Return the proxies that observe a group's primary, in order of their rank.

    Parameters
    ----------
    group : str
    domains_by_proxy : dict of str to str
        Failure domain of each live proxy.
    count : int

    Returns
    -------
    list of str
        Proxies in the order of rendezvous hashing, alternating between the failure
        domains.
    """
    proxies_by_domain = {}
    for proxy in sorted(
        domains_by_proxy,
        key=lambda name: (-xxhash.xxh3_64_intdigest(f"{group}\0{name}".encode()), name),
    ):
        proxies_by_domain.setdefault(domains_by_proxy[proxy], []).append(proxy)
    ordered_proxies = sorted(
        (index_in_domain, domain_index, proxy)
        for domain_index, proxies in enumerate(proxies_by_domain.values())
        for index_in_domain, proxy in enumerate(proxies)
    )
    return [proxy for _, _, proxy in ordered_proxies[:count]]


def reported_primary(view):
    """Return the primary of a view's term as reported by any server, or "".

    A replica may report a primary that this proxy cannot reach.
    """
    if view.primary:
        return view.primary
    for status in view.status_by_server.values():
        if status.term == view.term and status.primary not in ("", status.server):
            return status.primary
    return ""


class PrimarySuspicion:
    """Observations of one group's primary and the verdict from them, without I/O.

    Parameters
    ----------
    servers : iterable of str
        Names of all backend servers of the group.
    own_name : str
        Name of this proxy.
    """

    def __init__(self, servers, own_name):
        self._servers = tuple(servers)
        self._majority_size = len(self._servers) // 2 + 1
        self._own_name = own_name
        self._observers = (own_name,)
        self._observations_by_observer = {}
        self._statuses_by_server = {}
        self._last_answer_at = 0.0
        self._failed_probe_count = 0
        self._observed_since = 0.0
        self.term = 0
        self.primary = ""

    def set_observers(self, observers):
        """Set the names of the live observers of the group."""
        self._observers = tuple(observers)

    def set_primary(self, term, primary, now):
        """Set the observed primary and its term; a change discards observations."""
        if (term, primary) != (self.term, self.primary):
            self.term = term
            self.primary = primary
            self.discard_observations(now)

    def discard_observations(self, now):
        """Discard all observations, for example after a pause of this process."""
        self._observations_by_observer.clear()
        self._statuses_by_server.clear()
        self._last_answer_at = now
        self._failed_probe_count = 0
        self._observed_since = now

    def record_probe(self, answered, sent_at, now):
        """Record the result of one of this proxy's probes of the primary.

        Parameters
        ----------
        answered : bool
        sent_at, now : float
            Instants in seconds when the probe was sent and when it ended.
        """
        if sent_at < self._observed_since:
            return
        if answered:
            self._last_answer_at = max(self._last_answer_at, now)
            self._failed_probe_count = 0
        elif sent_at >= self._last_answer_at:
            self._failed_probe_count += 1

    def record_observation(self, observation, received_at):
        """Record the observation of another proxy, received at ``received_at``."""
        if (observation.term, observation.primary) == (self.term, self.primary):
            self._observations_by_observer[observation.observer] = (
                observation.unreachable_seconds,
                received_at,
            )

    def record_status(self, status):
        """Record the answer of a status poll of any server of the group."""
        previous = self._statuses_by_server.get(status.server)
        if previous is None or status.sent_at >= previous.sent_at:
            self._statuses_by_server[status.server] = status

    def unreachable_seconds(self, now):
        """Return the seconds since a probe was answered; 0 below two failed probes."""
        if self._failed_probe_count < MIN_FAILED_PROBES:
            return 0.0
        return now - self._last_answer_at

    def verdict(self, now):
        """Return ``Healthy`` or ``Failed`` for the observed primary."""
        if not self.primary:
            return self._verdict_without_primary(now)
        seconds_by_replica = self._replica_unreachable_seconds(now)
        if (
            not seconds_by_replica
            or len(self.reachable_servers(now)) < self._majority_size
        ):
            return Healthy()  # A promotion would not reach a majority.
        if (
            self._count_unreachable_observers(now) > len(self._observers) // 2
            and min(seconds_by_replica.values()) >= REPLICA_UNREACHABLE_SECONDS
        ):
            return Failed(Reason.SILENT)
        if (
            len(seconds_by_replica) >= self._majority_size
            and min(seconds_by_replica.values()) >= PRIMARY_ISOLATED_SECONDS
        ):
            return Failed(Reason.ISOLATED)
        return Healthy()

    def reachable_servers(self, now):
        """Return the names of the servers with a recent status."""
        return {
            server
            for server, status in self._statuses_by_server.items()
            if now - status.received_at <= STATUS_LIFETIME_SECONDS
        }

    def describe(self, now):
        """Return the observations for operators, as values that JSON can represent."""
        return {
            "term": self.term,
            "primary": self.primary,
            "observers": list(self._observers),
            "silent_ms": round(self.unreachable_seconds(now) * 1000),
            "silent_observers": self._count_unreachable_observers(now),
            "replica_silent_ms": {
                server: round(seconds * 1000)
                for server, seconds in self._replica_unreachable_seconds(now).items()
            },
        }

    def _verdict_without_primary(self, now):
        if (
            self.term > 0
            and now - self._observed_since >= NO_PRIMARY_SECONDS
            and len(self.reachable_servers(now)) >= self._majority_size
        ):
            return Failed(Reason.NO_PRIMARY)
        return Healthy()

    def _replica_unreachable_seconds(self, now):
        """Return how long each reachable replica has not heard from the primary.

        The time since the replica's answer is not added: while a long poll of a replica
        in an idle group is pending, its primary would seem unreachable.
        """
        return {
            server: self._statuses_by_server[server].primary_unreachable_seconds
            for server in self.reachable_servers(now)
            if server != self.primary
            and self._statuses_by_server[server].term == self.term
            and self._statuses_by_server[server].primary == self.primary
        }

    def _count_unreachable_observers(self, now):
        count = 0
        for observer in self._observers:
            if observer == self._own_name:
                unreachable_seconds = self.unreachable_seconds(now)
            else:
                unreachable_seconds, received_at = self._observations_by_observer.get(
                    observer, (0.0, now)
                )
                if now - received_at > OBSERVATION_LIFETIME_SECONDS:
                    unreachable_seconds = 0.0
            count += unreachable_seconds >= PROBE_UNREACHABLE_SECONDS
        return count
