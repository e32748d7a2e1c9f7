"""Random changes of the configuration beside faults, in a fleet in memory.

It judges by its own list of acknowledged versions: a process that no fault concerns
must have each version within the bound, once the store has been in order for a while.
"""

import attrs

STEP_SECONDS = 0.1
START_SECONDS = 12.0
# Faults of the store that concern all processes, and may leave watches without answer.
SILENT_RANGE_SECONDS = (0.2, 5.0)
FAULT_RANGE_SECONDS = (0.5, 7.0)
CHANGE_PROBABILITY = 0.03
FAULT_PROBABILITY = 0.02
# Changes come right before and after faults more often than by chance.
PAIRED_CHANGE_PROBABILITY = 0.5
PAIRED_CHANGE_RANGE_SECONDS = (0.1, 3.0)


class LateVersion(AssertionError):
    """A process that no fault concerns lacks a version for longer than the bound."""


@attrs.frozen
class Bounds:
    """Times of a deployment.

    Attributes
    ----------
    change_seconds : float
        Time after its acknowledgement in which a version must be in force.
    stable_seconds : float
        Time without faults after which this holds, for the store and each process.
    """

    change_seconds: float
    stable_seconds: float


class ChangeModel:
    """One fleet with random changes and faults.

    Parameters
    ----------
    rng : random.Random
    fleet : memory_fleet.MemoryFleet
    bounds : Bounds

    Attributes
    ----------
    events : list of str
        What happened, with the instants.
    """

    def __init__(self, rng, fleet, bounds):
        self._rng = rng
        self._fleet = fleet
        self._bounds = bounds
        self._version = 3
        self._acknowledged_at_by_version = {}
        self._disturbed_at_by_name = {}
        self._store_disturbed_at = float("-inf")
        self._ends = []
        self._changes_at = []
        self.events = []
        fleet.loop.advance(START_SECONDS)
        # As a restart does not tell it again.
        self._is_connected_by_name = {
            name: process.connected for name, process in fleet.processes_by_name.items()
        }

    @property
    def _now(self):
        return self._fleet.loop.clock.now()

    def run(self, seconds):
        """Take random steps; raises ``LateVersion``."""
        ends_at = self._now + seconds
        while self._now < ends_at:
            self._change_if_due()
            self._end_faults()
            if self._rng.random() < FAULT_PROBABILITY:
                self._begin_fault()
            self._fleet.loop.advance(STEP_SECONDS)
            self._record_disturbances()
            self._check()

    def _change_if_due(self):
        due = [at for at in self._changes_at if at <= self._now]
        self._changes_at = [at for at in self._changes_at if at > self._now]
        is_reachable = self._fleet.store.available
        if is_reachable and (due or self._rng.random() < CHANGE_PROBABILITY):
            self._version += self._rng.randint(1, 3)
            self._acknowledged_at_by_version[self._version] = self._now
            self._fleet.write("config", "main", {"version": self._version})
            self._log(f"version {self._version}")

    def _begin_fault(self):
        if self._rng.random() < PAIRED_CHANGE_PROBABILITY:
            self._changes_at.append(self._now)
            self._change_if_due()
            self._fleet.loop.advance(STEP_SECONDS)
            delay_seconds = self._rng.uniform(*PAIRED_CHANGE_RANGE_SECONDS)
            self._changes_at.append(self._now + delay_seconds)
        begin = self._rng.choice(
            (
                self._silence_store,
                self._stop_store,
                self._turn_away,
                self._cut_off,
                self._restart,
                self._drop_history,
            )
        )
        begin()

    def _silence_store(self):
        self._fleet.store_is_silent = True
        self._end_after(SILENT_RANGE_SECONDS, self._let_store_speak)

    def _let_store_speak(self):
        self._fleet.store_is_silent = False

    def _stop_store(self):
        self._fleet.store.available = False
        self._end_after(FAULT_RANGE_SECONDS, self._start_store)

    def _start_store(self):
        self._fleet.store.available = True
        self._fleet.notify_watches()

    def _turn_away(self):
        """Let the store answer some processes no more."""
        names = self._choose_names()
        self._fleet.storeless_names |= names
        self._end_after(
            FAULT_RANGE_SECONDS,
            lambda: self._fleet.storeless_names.difference_update(names),
        )

    def _cut_off(self):
        """Let some processes exchange nothing with anybody."""
        names = self._choose_names()
        self._fleet.silent_names |= names
        self._end_after(
            FAULT_RANGE_SECONDS,
            lambda: self._fleet.silent_names.difference_update(names),
        )

    def _restart(self):
        for name in sorted(self._choose_names()):
            self._disturbed_at_by_name[name] = self._now + 1.0
            domain = self._fleet.domain_of(name)
            self._fleet.start(name, domain, self._is_connected_by_name[name])
        self._log("restarts")

    def _drop_history(self):
        self._store_disturbed_at = self._now
        self._fleet.store.drop_history()
        self._fleet.notify_watches()
        self._log("history dropped")

    def _choose_names(self):
        """Return some processes, or some or all of those that read the store."""
        names = sorted(self._fleet.processes_by_name)
        readers = sorted(self._fleet.reader_names()) or names
        match self._rng.randrange(3):
            case 0:
                return set(self._rng.sample(names, max(1, len(names) // 3)))
            case 1:
                return set(self._rng.sample(readers, max(1, len(readers) // 2)))
            case _:
                return set(readers)

    def _end_after(self, seconds_range, end):
        ends_at = self._now + self._rng.uniform(*seconds_range)
        self._ends.append((ends_at, end))
        self._log(f"fault until {ends_at:.1f}, then {end.__qualname__}")

    def _end_faults(self):
        ended = [end for ends_at, end in self._ends if ends_at <= self._now]
        self._ends = [item for item in self._ends if item[0] > self._now]
        for end in ended:
            end()

    def _record_disturbances(self):
        fleet = self._fleet
        if fleet.store_is_silent or not fleet.store.available:
            self._store_disturbed_at = self._now
        for name in fleet.storeless_names | fleet.silent_names:
            self._disturbed_at_by_name[name] = self._now

    def _check(self):
        stable_since = self._now - self._bounds.stable_seconds
        due_since = self._now - self._bounds.change_seconds
        due_version = max(
            (
                version
                for version, acknowledged_at in self._acknowledged_at_by_version.items()
                if acknowledged_at < due_since
            ),
            default=0,
        )
        if self._store_disturbed_at >= stable_since:
            return
        for name, process in self._fleet.processes_by_name.items():
            disturbed_at = self._disturbed_at_by_name.get(name, float("-inf"))
            configuration = process.catalog.configuration
            installed = 0 if configuration is None else configuration.version
            if disturbed_at < stable_since and installed < due_version:
                self._log(f"{name} has version {installed}, {due_version} is due")
                raise LateVersion("\n".join(self.events))

    def _log(self, text):
        self.events.append(f"{self._now:.1f} {text}")
