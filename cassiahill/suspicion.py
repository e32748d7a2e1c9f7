"""Whether the primary of a group is considered failed, from observations.

Only evidence counts: a report states what its sender saw, and it is never extended by
the time that passed without a newer one. A paused process or a slow poll therefore
cannot make a primary look silent.
"""

import enum

import attrs
import xxhash

OBSERVER_COUNT = 5
PROBE_SILENCE = 1.0  # seconds without an answered probe
REPLICA_SILENCE = 0.75  # seconds that replicas must report besides failed probes
ISOLATED_SILENCE = 1.5  # seconds that a majority of replicas reports on its own
NO_PRIMARY_SILENCE = 1.0  # seconds in which a started promotion should have ended
MIN_FAILED_PROBES = 2  # one lost packet or slow accept is not a failure
REPORT_LIFETIME = 0.75  # seconds; three probe intervals
STATUS_LIFETIME = 0.75  # seconds; one poll deadline


class Reason(enum.Enum):
    """Why a primary is considered failed."""

    SILENT = "observers and replicas get no answer from the primary"
    ISOLATED = "a majority of replicas is cut off from the primary"
    NO_PRIMARY = "the latest term has no primary"


@attrs.frozen
class Healthy:
    """No action is needed."""


@attrs.frozen
class Failed:
    """The primary should be replaced."""

    reason: Reason


@attrs.frozen
class Observation:
    """What one observer saw of a primary; ``unreachable_seconds`` is in seconds."""

    group: str
    term: int
    primary: str
    observer: str
    unreachable_seconds: float


def choose_observers(group, domains_by_proxy, count=OBSERVER_COUNT):
    """Return the observers of a group, lowest rank first.

    Parameters
    ----------
    group : str
    domains_by_proxy : dict of str to str
        Failure domain of each live proxy.
    count : int

    Returns
    -------
    list of str
        Proxies by rendezvous hashing, taken from the failure domains in turn.
    """
    ranked_by_domain = {}
    for proxy in sorted(
        domains_by_proxy,
        key=lambda name: (-xxhash.xxh3_64_intdigest(f"{group}\0{name}".encode()), name),
    ):
        ranked_by_domain.setdefault(domains_by_proxy[proxy], []).append(proxy)
    turns = sorted(
        (turn, order, proxy)
        for order, proxies in enumerate(ranked_by_domain.values())
        for turn, proxy in enumerate(proxies)
    )
    return [proxy for _, _, proxy in turns[:count]]


def primary_of(view):
    """Return the primary of a view's latest term, as reported by any database.

    A replica may name a primary that this proxy cannot reach itself.
    """
    if view.primary:
        return view.primary
    for status in view.status_by_server.values():
        if status.term == view.term and status.primary not in ("", status.server):
            return status.primary
    return ""


class PrimarySuspicion:
    """Observations of one group's primary, without I/O.

    Parameters
    ----------
    servers : iterable of str
        All databases of the group.
    own_name : str
        This observer.
    """

    def __init__(self, servers, own_name):
        self._servers = tuple(servers)
        self._majority = len(self._servers) // 2 + 1
        self._own_name = own_name
        self._observers = (own_name,)
        self._reports_by_observer = {}
        self._statuses_by_server = {}
        self._answered_at = 0.0
        self._failed_probes = 0
        self._since = 0.0
        self.term = 0
        self.primary = ""

    def set_observers(self, observers):
        """Set the live observers of the group."""
        self._observers = tuple(observers)

    def watch(self, term, primary, now):
        """Set whom the observations concern; a change discards the earlier ones."""
        if (term, primary) != (self.term, self.primary):
            self.term = term
            self.primary = primary
            self.restart(now)

    def restart(self, now):
        """Discard all observations, for example after a pause of this process."""
        self._reports_by_observer.clear()
        self._statuses_by_server.clear()
        self._answered_at = now
        self._failed_probes = 0
        self._since = now

    def observe_probe(self, answered, sent_at, now):
        """Take over the result of an own probe of the primary.

        Parameters
        ----------
        answered : bool
        sent_at, now : float
            When the probe was sent and when it ended.
        """
        if sent_at < self._since:
            return
        if answered:
            self._answered_at = max(self._answered_at, now)
            self._failed_probes = 0
        elif sent_at >= self._answered_at:
            self._failed_probes += 1

    def record_observation(self, observation, received_at):
        """Take over what another observer saw."""
        if (observation.term, observation.primary) == (self.term, self.primary):
            self._reports_by_observer[observation.observer] = (
                observation.unreachable_seconds,
                received_at,
            )

    def observe_replica(self, status):
        """Take over a status poll of any database of the group."""
        known = self._statuses_by_server.get(status.server)
        if known is None or status.sent_at >= known.sent_at:
            self._statuses_by_server[status.server] = status

    def unreachable_seconds(self, now):
        """Return for how long the own probes have had no answer, in seconds."""
        if self._failed_probes < MIN_FAILED_PROBES:
            return 0.0
        return now - self._answered_at

    def verdict(self, now):
        """Return ``Healthy`` or ``Failed``."""
        if not self.primary:
            return self._verdict_without_primary(now)
        silences = self._replica_silences(now)
        if not silences or len(self.reachable(now)) < self._majority:
            return Healthy()  # A promotion could not reach a majority.
        if (
            self._silent_observers(now) > len(self._observers) // 2
            and min(silences.values()) >= REPLICA_SILENCE
        ):
            return Failed(Reason.SILENT)
        if (
            len(silences) >= self._majority
            and min(silences.values()) >= ISOLATED_SILENCE
        ):
            return Failed(Reason.ISOLATED)
        return Healthy()

    def reachable(self, now):
        """Return the databases with a recent status."""
        return {
            server
            for server, status in self._statuses_by_server.items()
            if now - status.received_at <= STATUS_LIFETIME
        }

    def describe(self, now):
        """Return the observations for operators, as plain values."""
        return {
            "term": self.term,
            "primary": self.primary,
            "observers": list(self._observers),
            "silent_ms": round(self.unreachable_seconds(now) * 1000),
            "silent_observers": self._silent_observers(now),
            "replica_silent_ms": {
                server: round(silence * 1000)
                for server, silence in self._replica_silences(now).items()
            },
        }

    def _verdict_without_primary(self, now):
        if (
            self.term > 0
            and now - self._since >= NO_PRIMARY_SILENCE
            and len(self.reachable(now)) >= self._majority
        ):
            return Failed(Reason.NO_PRIMARY)
        return Healthy()

    def _replica_silences(self, now):
        """Return the silence that each reachable replica of the primary reported.

        The time since the answer is not added: with a long poll pending, a replica of
        an idle group would look silent.
        """
        return {
            server: self._statuses_by_server[server].primary_unreachable_seconds
            for server in self.reachable(now)
            if server != self.primary
            and self._statuses_by_server[server].term == self.term
            and self._statuses_by_server[server].primary == self.primary
        }

    def _silent_observers(self, now):
        count = 0
        for observer in self._observers:
            if observer == self._own_name:
                unreachable_seconds = self.unreachable_seconds(now)
            else:
                unreachable_seconds, received_at = self._reports_by_observer.get(
                    observer, (0.0, now)
                )
                if now - received_at > REPORT_LIFETIME:
                    unreachable_seconds = 0.0
            count += unreachable_seconds >= PROBE_SILENCE
        return count
