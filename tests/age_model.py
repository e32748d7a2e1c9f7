"""A plain model of proxies that prove the age of their configuration.

It runs the real ``ConfigurationAge`` of each process on one clock, in a world in which
messages take any time or are lost, processes are suspended and restarted, and the store
returns from older copies. Its own list of acknowledged versions judges the answers.
"""

import attrs

from cassiahill.configuration_age import ERA_SETTLE_SECONDS, ConfigurationAge

BOUND_SECONDS = 5.0
STALE_SECONDS = 4.0
# An operator writes again what a restored store has lost, within this time.
REWRITE_SECONDS = 0.9 * ERA_SETTLE_SECONDS


class UnprovedAcceptance(AssertionError):
    """A process accepts keys although it lacks a version for longer than the bound."""


@attrs.define(eq=False)
class ModelProcess:
    """One process; ``incarnation`` counts its starts."""

    age: object
    incarnation: int = 0
    frozen: bool = False


@attrs.define(eq=False)
class Message:
    """A question that is under way, or its answer once that is set."""

    process: object
    incarnation: int
    asked_at: float
    peer: object = None
    stale: bool = False
    answer: object = None


@attrs.frozen
class StoreAnswer:
    """What the store held when it answered."""

    version: int
    era: int


@attrs.frozen
class PeerAnswer:
    """What a peer stated; ``copied`` is whether it sent its configuration as well."""

    version: int
    proof: object
    copied: bool


class AgeModel:
    """Processes, one store and the messages between them.

    Parameters
    ----------
    rng : random.Random
    age_class : type
        ``ConfigurationAge`` or a broken version of it.
    """

    def __init__(self, rng, age_class=ConfigurationAge, process_count=4):
        self.rng = rng
        self.now = 100.0
        self._age_class = age_class
        self.processes = [ModelProcess(self._new_age()) for _ in range(process_count)]
        self.acknowledged_at_by_version = {1: self.now}
        self.stored_version = 1
        self.newest_version = 1
        self.era = 1
        self.first_version_of_copy = 1
        self.rewrite_at = None
        self.history = [(self.now, 1)]
        self.messages = []
        self.young_count = 0
        self.old_count = 0

    def _new_age(self):
        age = self._age_class(BOUND_SECONDS, self.now)
        age.read_clock = lambda: self.now
        return age

    def run(self, step_count):
        """Take random steps; raises ``UnprovedAcceptance``."""
        actions = {
            self.pass_time: 8,
            self.ask_store: 7,
            self.ask_stale: 1,
            self.ask_peer: 6,
            self.answer: 12,
            self.deliver: 14,
            self.lose: 1,
            self.write_version: 1,
            self.toggle_freeze: 1,
            self.restart: 0.2,
            self.restore: 0.2,
        }
        names = list(actions)
        weights = list(actions.values())
        for _ in range(step_count):
            (action,) = self.rng.choices(names, weights)
            action()
            self.check()

    def check(self):
        """Compare the decision of each running process with what was acknowledged."""
        for process in self.processes:
            if process.frozen:
                continue
            if not process.age.is_young_enough(self.now):
                self.old_count += 1
                continue
            self.young_count += 1
            installed = process.age.installed_version
            for version, at in self.acknowledged_at_by_version.items():
                if version > installed and self.now - at > BOUND_SECONDS:
                    raise UnprovedAcceptance(f"{installed} instead of {version}")

    # Steps

    def pass_time(self):
        self._advance(self.rng.choice((0.01, 0.05, 0.1, 0.2, 0.8)))

    def _advance(self, seconds):
        self.now += seconds
        if self.rewrite_at is not None and self.now >= self.rewrite_at:
            self.rewrite_at = None
            self._store_version(self.newest_version)

    def write_version(self):
        if self.rewrite_at is None:
            self.newest_version += self.rng.randint(1, 3)
            self._store_version(self.newest_version)
            self.acknowledged_at_by_version[self.newest_version] = self.now

    def _store_version(self, version):
        self.stored_version = version
        self.history.append((self.now, version))

    def restore(self):
        """Let the store return with the content of some instant before."""
        if self.rewrite_at is None:
            self.era += 1
            _, version = self.rng.choice(self.history[-3:])
            self._store_version(version)
            self.rewrite_at = self.now + self.rng.random() * REWRITE_SECONDS

    def toggle_freeze(self):
        """Thaw the process that is suspended, or suspend one."""
        frozen = [process for process in self.processes if process.frozen]
        if not frozen:
            self.rng.choice(self.processes).frozen = True
            return
        if self.rng.random() < 0.3:
            self._advance(BOUND_SECONDS)
        frozen[0].frozen = False

    def restart(self):
        process = self.rng.choice(self.processes)
        process.age = self._new_age()
        process.incarnation += 1
        process.frozen = False

    def ask_store(self, stale=False):
        process = self.rng.choice(self.processes)
        if not process.frozen:
            self.messages.append(
                Message(process, process.incarnation, self.now, stale=stale)
            )

    def ask_stale(self):
        self.ask_store(stale=True)

    def ask_peer(self):
        process, peer = self.rng.sample(self.processes, 2)
        if not process.frozen:
            self.messages.append(Message(process, process.incarnation, self.now, peer))

    def answer(self):
        waiting = [message for message in self.messages if message.answer is None]
        if not waiting:
            return
        message = self.rng.choice(waiting)
        if message.peer is None:
            version = self.stored_version
            if message.stale:
                past = self.history[0][1]
                for at, version_then in self.history:
                    if at <= self.now - STALE_SECONDS:
                        past = version_then
                version = past
            message.answer = StoreAnswer(version, self.era)
        elif not message.peer.frozen:
            age = message.peer.age
            if age.installed_version:
                message.answer = PeerAnswer(
                    age.installed_version,
                    age.state_proof(self.now),
                    copied=self.rng.random() < 0.5,
                )

    def deliver(self):
        answered = [message for message in self.messages if message.answer is not None]
        if not answered:
            return
        message = self.rng.choice(answered)
        if message.process.frozen:
            return
        self.messages.remove(message)
        if message.incarnation != message.process.incarnation:
            return
        age = message.process.age
        match message.answer:
            case StoreAnswer(version=version) if message.stale:
                self.apply_stale_answer(age, version, message.asked_at)
            case StoreAnswer(version=version, era=era):
                age.record_era(max(era, getattr(age, "highest_era", 0)), self.now)
                age.highest_era = max(era, getattr(age, "highest_era", 0))
                age.record_installed(version, self.now)
                if era == age.highest_era:
                    age.record_proof(version, message.asked_at)
            case PeerAnswer(version=version, proof=proof, copied=copied):
                age.record_known(version, self.now)
                if copied:
                    age.record_installed(version, self.now)
                age.record_peer_proof(
                    proof.version, proof.age_seconds, message.asked_at
                )

    def apply_stale_answer(self, age, version, _asked_at):
        """Install what a stale read returned; it proves nothing."""
        age.record_installed(version, self.now)

    def lose(self):
        if self.messages:
            self.messages.remove(self.rng.choice(self.messages))
