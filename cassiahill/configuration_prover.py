"""Asks the store and peers for proofs of the configuration's age.

``configuration_age`` decides who asks and when.
"""

from cassiahill import event_log
from cassiahill.configuration_age import StoreRole

CHECK_INTERVAL_SECONDS = 0.1
# As often as heartbeats: each asks another peer.
PEER_INTERVAL_SECONDS = 0.4


class ConfigurationProver:
    """Keeps the proof of this process's configuration young.

    Parameters
    ----------
    loop : loop.EventLoop
    age : configuration_age.ConfigurationAge
    store : shared_store.SharedStore
    store_role : callable
        Returns the ``StoreRole`` of this process.
    verify_configuration : callable
        Returns a task that asks the store for a proof and returns whether it answered.
    ask_peer : callable
        Sends a heartbeat to another member.
    """

    def __init__(self, loop, age, store, store_role, verify_configuration, ask_peer):
        self._loop = loop
        self._age = age
        self._store = store
        self._store_role = store_role
        self._verify_configuration = verify_configuration
        self._ask_peer = ask_peer
        self._asking_store = False
        self._ask_peer_at = loop.clock.now()
        self._was_young = False
        self._timer = None
        if age.is_sought:
            self._timer = loop.repeat(
                loop.clock.now() + CHECK_INTERVAL_SECONDS, self._check
            )

    def close(self):
        """Stop asking."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self):
        """Ask for a younger proof if that is due, and log a change of the decision."""
        now = self._loop.clock.now()
        if self._store.era:
            self._age.record_era(self._store.era, now)
        role = self._store_role()
        if not self._asking_store and self._age.should_ask_store(role, now):
            self._asking_store = True
            self._age.record_call(now)
            self._loop.spawn(self._ask_store(role))
        if self._age.should_ask_peers(now) and now >= self._ask_peer_at:
            self._ask_peer_at = now + PEER_INTERVAL_SECONDS
            self._ask_peer()
        if self._age.is_required:
            self._log_change(now)
        return now + CHECK_INTERVAL_SECONDS

    def _ask_store(self, role: StoreRole):
        answered = False
        try:
            answered = yield from self._verify_configuration()
        finally:
            self._asking_store = False
            self._age.record_call_result(role, answered, self._loop.clock.now())

    def _log_change(self, now):
        is_young = self._age.is_young_enough(now)
        if is_young == self._was_young:
            return
        self._was_young = is_young
        event_log.event(
            "configuration_proved" if is_young else "configuration_unproved",
            version=self._age.installed_version,
            known=self._age.known_version,
            age=self._age.age(now),
        )
