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


@attrs.frozen
class _Fault:
    """A fault of the store, or of some processes."""

    kind: str
    names: set
    ends_at: float


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
        self._gone_names = set()
        self._faults = []
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
            if self._rng.random() < FAULT_PROBABILITY and self._names_in_use():
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
                self._leave_unanswered,
                self._isolate,
                self._cut_off,
                self._restart,
                self._kill,
                self._replace,
                self._drop_history,
            )
        )
        begin()

    def _silence_store(self):
        self._fleet.store_is_silent = True
        self._begin("silent store", set(), SILENT_RANGE_SECONDS)

    def _stop_store(self):
        self._fleet.store.available = False
        self._begin("stopped store", set())

    def _turn_away(self):
        """Let the store refuse some processes."""
        self._begin("storeless", self._choose_names())

    def _leave_unanswered(self):
        """Let the calls of some processes to the store wait in vain."""
        self._begin("unanswered", self._choose_names())

    def _isolate(self):
        """Let some processes exchange nothing with others; the store serves them."""
        self._begin("isolated", self._choose_names())

    def _cut_off(self):
        """Let some processes exchange nothing with anybody."""
        self._begin("silent", self._choose_names())

    def _restart(self):
        for name in sorted(self._choose_names()):
            self._start(name)
        self._log("restarts")

    def _kill(self):
        """End some processes, and start them again after a while."""
        names = self._choose_names()
        for name in sorted(names):
            self._fleet.processes_by_name[name].stop()
        self._begin("killed", names)

    def _replace(self):
        """End a process for good, and start another one in its failure domain."""
        name = self._rng.choice(self._names_in_use())
        self._gone_names.add(name)
        self._fleet.processes_by_name[name].stop()
        successor = f"{name}+"
        self._is_connected_by_name[successor] = self._is_connected_by_name[name]
        self._apply_faults()
        self._start(successor, self._fleet.domain_of(name))
        self._log(f"{name} is replaced")

    def _start(self, name, domain=None):
        """Start a process, or start it again."""
        self._disturbed_at_by_name[name] = self._now + 1.0
        self._fleet.start(
            name,
            domain or self._fleet.domain_of(name),
            self._is_connected_by_name[name],
        )

    def _drop_history(self):
        self._store_disturbed_at = self._now
        self._fleet.store.drop_history()
        self._fleet.notify_watches()
        self._log("history dropped")

    def _names_in_use(self):
        """Return the processes that are neither gone for good nor killed."""
        return sorted(
            self._fleet.processes_by_name.keys()
            - self._gone_names
            - self._names_of("killed")
        )

    def _choose_names(self):
        """Return some processes, or some or all of those that read the store."""
        names = self._names_in_use()
        readers = sorted(self._fleet.reader_names() & set(names)) or names
        match self._rng.randrange(3):
            case 0:
                return set(self._rng.sample(names, max(1, len(names) // 3)))
            case 1:
                return set(self._rng.sample(readers, max(1, len(readers) // 2)))
            case _:
                return set(readers)

    def _begin(self, kind, names, seconds_range=FAULT_RANGE_SECONDS):
        """Begin a fault that lasts for a while."""
        ends_at = self._now + self._rng.uniform(*seconds_range)
        self._faults.append(_Fault(kind, names, ends_at))
        self._apply_faults()
        self._log(f"{kind} until {ends_at:.1f}: {', '.join(sorted(names))}")

    def _end_faults(self):
        ended = [fault for fault in self._faults if fault.ends_at <= self._now]
        if not ended:
            return
        self._faults = [fault for fault in self._faults if fault.ends_at > self._now]
        self._apply_faults()
        for fault in ended:
            if fault.kind == "killed":
                for name in sorted(fault.names):
                    self._start(name)

    def _apply_faults(self):
        """Let the fleet meet the faults that have not ended."""
        fleet = self._fleet
        kinds = {fault.kind for fault in self._faults}
        fleet.store_is_silent = "silent store" in kinds
        was_available = fleet.store.available
        fleet.store.available = "stopped store" not in kinds
        fleet.storeless_names = self._names_of("storeless")
        fleet.unanswered_names = self._names_of("unanswered")
        fleet.isolated_names = self._names_of("isolated")
        fleet.silent_names = (
            self._names_of("silent") | self._names_of("killed") | self._gone_names
        )
        if fleet.store.available and not was_available:
            fleet.notify_watches()

    def _names_of(self, kind):
        """Return the processes that the present faults of a kind concern."""
        faults = [fault for fault in self._faults if fault.kind == kind]
        return set().union(*(fault.names for fault in faults))

    def _record_disturbances(self):
        fleet = self._fleet
        if fleet.store_is_silent or not fleet.store.available:
            self._store_disturbed_at = self._now
        names = fleet.storeless_names | fleet.unanswered_names | fleet.silent_names
        for name in names:
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
                self._log(
                    f"{name} of {self._fleet.domain_of(name)} has version {installed},"
                    f" {due_version} is due"
                )
                raise LateVersion("\n".join(self.events))

    def _log(self, text):
        self.events.append(f"{self._now:.1f} {text}")
