"""Decides whether the configuration is proved young enough; does no I/O.

A proof is an instant at which the store held no newer configuration than the one that
is installed here. The store gives it to a few proxies, by answers that are not stale.
The others are told the age of a peer's proof, and date it from before they asked.

An acknowledged change must be in force within a bounded time. A watch that does not
end is no proof that there is none, because it may be lost while its connection lives
on. So the store is asked for proofs in every deployment.

A key that an operator takes away may be used for a bounded time after the store has
acknowledged it. Where that is so, a proxy may accept keys only while its last proof
lies less than that bound back, and each proxy seeks a proof.

The decision is meant for proxies that lose the store, their peers or both, that were
suspended or restarted, and for a store that has returned from an older copy.
"""

import enum
import math

import attrs

# Covers the difference in rate between the clocks of the hosts and of the operator.
CLOCK_MARGIN_SECONDS = 0.2
# A store that returns from an older copy lacks the operator's last writes at first.
ERA_SETTLE_SECONDS = 1.0
# Age of the proof, as a share of the bound, from which on a proxy asks its peers. It is
# more than heartbeats let it reach while the promoter proves the configuration.
PEER_ASK_SHARE = 0.5
# Parts of the time for a proof: the least pause between two calls, and the longest
# after failures.
MIN_CALL_PAUSE_SHARE = 0.2
MAX_CALL_PAUSE_SHARE = 0.8
# Part of the time for a proof after which a proxy asks that has heard of a newer
# version. Peers have usually sent it by then.
BEHIND_SHARE = 0.2
# Part of the time for a proof by which proxies differ, so that they do not call the
# store at once.
CALL_SPREAD_SHARE = 0.1


class StoreRole(enum.Enum):
    """How early a proxy asks the store: the share of the time for a proof.

    In normal operation only the promoter asks. A reader asks if it hears of no proof by
    the promoter, and a follower if it hears of none by a reader.
    """

    PROMOTER = 0.2
    READER = 0.4
    FOLLOWER = 0.6


@attrs.frozen
class StatedProof:
    """A proof as a proxy states it to a peer.

    Attributes
    ----------
    version : int
        The store held no newer version than this one.
    age_seconds : float or None
        Time since then; None if there is no proof.
    """

    version: int
    age_seconds: float | None


class ConfigurationAge:
    """The last proof that the installed configuration was the newest one.

    Parameters
    ----------
    bound_seconds : float or None
        Age from which on the configuration is too old to accept keys; None if the
        deployment does not limit it.
    now : float
        All instants are of a clock that also runs while the host is suspended.
    spread : float
        From 0 to 1, differs among the proxies.
    change_seconds : float or None
        Time in which an acknowledged change must be in force; None if there is none.

    Attributes
    ----------
    installed_version : int
    known_version : int
        Highest version that this proxy has heard of.
    known_since : float
        Instant at which it first heard of that version.
    proved_at : float
        Instant of the last proof; minus infinity without one.
    proved_version : int
        The store held no newer version than this one at that instant.
    """

    def __init__(self, bound_seconds, now, spread=0.0, change_seconds=None):
        self._bound_seconds = bound_seconds
        self._proof_seconds = _shortest(bound_seconds, change_seconds)
        self._spread = spread
        self._started_at = now
        self._era = None
        self._era_settled_at = math.inf
        self._next_call_at = now
        self._failed_calls = 0
        self.installed_version = 0
        self.known_version = 0
        self.known_since = now
        self._behind_since = now
        self.proved_at = -math.inf
        self.proved_version = 0

    @property
    def is_required(self):
        """Whether the deployment limits the age."""
        return self._bound_seconds is not None

    @property
    def is_sought(self):
        """Whether the store is asked for proofs."""
        return self._proof_seconds is not None

    def age(self, now):
        """Return the seconds since the last proof; infinite without one."""
        return now - self.proved_at

    def stated_age(self, now):
        """Return the seconds since the last proof; None without one."""
        return None if self.proved_at == -math.inf else self.age(now)

    def is_young_enough(self, now):
        """Return whether a request that has arrived by now may use its key."""
        if not self.is_required:
            return True
        return self.age(now) < self._bound_seconds - CLOCK_MARGIN_SECONDS

    def state_proof(self, now):
        """Return the ``StatedProof`` for a peer."""
        return StatedProof(self.proved_version, self.stated_age(now))

    # What this proxy learns

    def record_fleet_known(self, now):
        """Record that this proxy can be told of proofs only from now on.

        Where keys depend on the age, it asks as early as after its start.
        """
        if not self.is_required:
            self._started_at = now

    def record_installed(self, version, now):
        """Record the version of the installed configuration."""
        self.installed_version = max(self.installed_version, version)
        self.record_known(version, now)

    def record_known(self, version, now):
        """Record that a version exists, as a message of a peer shows."""
        if version <= self.known_version:
            return
        if not self._is_behind():
            self._behind_since = now
        self.known_version = version
        self.known_since = now

    def record_era(self, era, now):
        """Record the era of the store; proofs of a new one count after a while."""
        if era != self._era:
            self._era = era
            self._era_settled_at = now + ERA_SETTLE_SECONDS

    def record_proof(self, version, asked_at):
        """Record the version in an answer of the store that was not stale.

        Parameters
        ----------
        version : int
            Version that the store held. A lower one than is known here shows that the
            store has lost the newest one.
        asked_at : float
            Instant before the call was sent.
        """
        if version < self.known_version or asked_at < self._era_settled_at:
            return
        self._record(version, asked_at)

    def record_peer_proof(self, version, age_seconds, asked_at):
        """Record the proof that a peer states.

        Parameters
        ----------
        version : int
        age_seconds : float or None
            Age of the proof when the peer answered; None if the peer has none.
        asked_at : float
            Instant before the peer was asked. The answer may have been under way since.
        """
        self.record_known(version, asked_at)
        if age_seconds is not None:
            self._record(version, asked_at - max(0.0, age_seconds))

    def _record(self, version, proved_at):
        """Record a proof if all known versions are installed; it never gets older."""
        if self.installed_version < self.known_version or not self.installed_version:
            return
        if proved_at > self.proved_at:
            self.proved_at = proved_at
            self.proved_version = version

    # Whom this proxy asks

    def should_ask_peers(self, now):
        """Return whether the proof is so old that peers are asked for a younger one."""
        return self.is_required and self._age_since_start(now) >= (
            PEER_ASK_SHARE * self._bound_seconds
        )

    def should_ask_store(self, role, now):
        """Return whether to ask the store for a proof.

        Parameters
        ----------
        role : StoreRole
        now : float
        """
        if not self.is_sought or now < self._next_call_at:
            return False
        if self._is_behind() and (
            now - self._behind_since >= BEHIND_SHARE * self._proof_seconds
        ):
            return True
        share = role.value
        if role is not StoreRole.PROMOTER:
            share += CALL_SPREAD_SHARE * self._spread
        return self._age_since_start(now) >= share * self._proof_seconds

    def record_call(self, now):
        """Record that the store is asked for a proof."""
        self._next_call_at = now + MIN_CALL_PAUSE_SHARE * self._proof_seconds

    def record_call_result(self, role, answered, now):
        """Record whether the store answered.

        Proxies other than the promoter ask less and less often while it does not, so
        that an outage does not bring the calls of the whole fleet.
        """
        if answered or role is StoreRole.PROMOTER:
            self._failed_calls = 0
            return
        self._failed_calls = min(self._failed_calls + 1, 8)
        pause_share = min(
            MAX_CALL_PAUSE_SHARE, MIN_CALL_PAUSE_SHARE * 2**self._failed_calls
        )
        pause_seconds = pause_share * self._proof_seconds
        self._next_call_at = now + pause_seconds * (0.5 + 0.5 * self._spread)

    def _is_behind(self):
        """Return whether this proxy has heard of a version that it lacks."""
        return self.known_version > self.installed_version

    def _age_since_start(self, now):
        """Return the age of the proof, or the time since the start if that is less."""
        return now - max(self.proved_at, self._started_at)


def _shortest(*durations):
    """Return the shortest of the durations that are not None, or None."""
    return min((seconds for seconds in durations if seconds is not None), default=None)
