"""Tests of ``cassiahill.configuration``."""

import contextlib
import threading
import unittest

from hypothesis import given, settings, strategies

from cassiahill import clock, configuration, errors, objects
from tests import broken_configuration, operator_builders

# Far in the future on every clock of these tests.
DEADLINE = 1e12


def make_update(by, document, base_generation):
    """Return an update whose id holds its author, document and base generation."""
    return configuration.Update(
        document, base_generation, by, 0, f"{by}-{document}-{base_generation}"
    )


class FaultyStore(objects.MemoryObjectStore):
    """Loses the requests or answers of puts, and calls a hook before the next put.

    ``faults`` has an entry for each of the next puts: ``request`` or ``answer`` names
    the message that is lost, an empty text means none.
    """

    def __init__(self):
        super().__init__(clock.ManualClock())
        self.faults = []
        self.before_put = lambda: None

    def put(self, kind, name, value, expected_version, deadline):
        hook, self.before_put = self.before_put, lambda: None
        hook()
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "request":
            raise errors.PlatformUnavailable("the request was lost")
        stored = super().put(kind, name, value, expected_version, deadline)
        if fault == "answer":
            raise errors.PlatformUnavailable("the answer was lost")
        return stored


def lost_updates(apply):
    """Run two concurrent updates; return the ids that were reported accepted but lost.

    The second update is applied between the first one's read and its put.
    """
    store = FaultyStore()
    accepted = []

    def apply_update(by):
        with contextlib.suppress(errors.Conflict):
            accepted.append(
                apply(store, make_update(by, {by: 1}, 0), DEADLINE).update_id
            )

    store.before_put = lambda: apply_update("second")
    apply_update("first")
    current = configuration.read(store, DEADLINE)
    return set(accepted) - {current.update_id, *current.earlier}


def run_script(apply, script, deadline=DEADLINE):
    """Run operators whose updates interleave.

    Parameters
    ----------
    apply : callable
        The function under test.
    script : list of (str, bool)
        One entry for each operator: the fault of a put, and whether the next operator
        acts between this one's read and its put.
    deadline : float

    Returns
    -------
    tuple of (dict of str to list, configuration.AcceptedConfiguration)
        Ids of the updates by reported outcome, and the configuration that is stored
        at the end.
    """
    store = FaultyStore()
    store.faults = [fault for fault, _ in script]
    ids_by_outcome = {"accepted": [], "conflict": [], "unknown": []}
    waiting_operators = list(enumerate(interrupted for _, interrupted in script))

    def run_next_operator():
        if not waiting_operators:
            return
        number, interrupted = waiting_operators.pop(0)
        base_generation = configuration.read(store, DEADLINE).generation
        update = make_update(f"o{number}", {f"k{number}": number}, base_generation)
        if interrupted:
            store.before_put = run_next_operator
        try:
            apply(store, update, deadline, clock.ManualClock())
            ids_by_outcome["accepted"].append(update.update_id)
        except errors.Conflict:
            ids_by_outcome["conflict"].append(update.update_id)
        except errors.PlatformUnavailable:
            ids_by_outcome["unknown"].append(update.update_id)

    while waiting_operators:
        run_next_operator()
    return ids_by_outcome, configuration.read(store, DEADLINE)


SCRIPTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["", "answer", "request"]), strategies.booleans()
    ),
    min_size=1,
    max_size=6,
)


class ApplyTest(unittest.TestCase):
    def setUp(self):
        self.store = FaultyStore()

    def apply(self, by, document, base_generation, deadline=DEADLINE):
        return configuration.apply(
            self.store,
            make_update(by, document, base_generation),
            deadline,
            clock.ManualClock(),
        )

    def test_concurrent_updates_are_not_lost(self):
        """Guards against an accepted update that a concurrent one overwrites."""
        self.assertEqual(lost_updates(configuration.apply), set())

    def test_lost_update_is_found_in_last_writer_wins(self):
        """Guards against a test that passes even if the last writer wins."""
        self.assertEqual(len(lost_updates(broken_configuration.apply)), 1)

    @settings(derandomize=True, deadline=None)
    @given(SCRIPTS, strategies.sampled_from([0.0, DEADLINE]))
    def test_reported_outcomes_match_the_record(self, script, deadline):
        """Guards against wrong outcomes when operators and faults interleave."""
        ids_by_outcome, current = run_script(configuration.apply, script, deadline)
        recorded_ids = [
            update_id
            for update_id in (current.update_id, *current.earlier)
            if update_id
        ]
        self.assertLessEqual(set(ids_by_outcome["accepted"]), set(recorded_ids))
        self.assertFalse(set(ids_by_outcome["conflict"]) & set(recorded_ids))
        self.assertEqual(len(recorded_ids), current.generation)

    def test_script_finds_the_lost_update_of_last_writer_wins(self):
        """Guards against scripts in which two updates never overlap."""
        script = [("", True), ("", False)]
        ids_by_outcome, current = run_script(broken_configuration.apply, script)
        lost = set(ids_by_outcome["accepted"]) - {current.update_id, *current.earlier}
        self.assertEqual(len(lost), 1)

    def test_conflict_describes_the_accepted_update(self):
        """Guards against a conflict that does not tell who changed what."""
        self.apply("alice", {"a": {"x": 1}}, 0)
        with self.assertRaises(errors.Conflict) as caught:
            self.apply("bob", {"a": {"x": 2}}, 0)
        message = str(caught.exception)
        self.assertIn("generation 1 by alice: a.x: (absent) -> 1", message)
        self.assertEqual(caught.exception.accepted.by, "alice")

    def test_lost_answer_is_resolved_by_reading(self):
        """Guards against reporting the operator's own update as a conflict."""
        self.store.faults = ["answer"]
        accepted = self.apply("alice", {"a": 1}, 0)
        self.assertEqual((accepted.generation, accepted.by), (1, "alice"))
        self.assertEqual(accepted, configuration.read(self.store, DEADLINE))

    def test_lost_answer_followed_by_another_update(self):
        """Guards against reporting an accepted and then replaced update as refused."""
        self.store.faults = ["answer"]
        real_put = self.store.put

        def put_after_bob(*args):
            if self.store.faults == []:
                self.store.put = real_put
                self.apply("bob", {"b": 1}, 1)
            return real_put(*args)

        self.store.put = put_after_bob
        accepted = self.apply("alice", {"a": 1}, 0)
        self.assertEqual((accepted.generation, accepted.by), (1, "alice"))
        self.assertEqual(configuration.read(self.store, DEADLINE).by, "bob")

    def test_unknown_outcome_names_the_update(self):
        """Guards against reporting an update that may still take effect as not made."""
        self.store.faults = ["request"] * 9
        with self.assertRaises(errors.PlatformUnavailable) as caught:
            self.apply("alice", {}, 0, deadline=0.0)
        self.assertEqual(caught.exception.may_have_run, "unknown")
        self.assertIn("alice-{}-0", str(caught.exception))

    def test_lost_answer_over_http(self):
        """Guards against reading back that works only with the store in memory."""
        address = self.enterContext(operator_builders.platform_standin())
        store = objects.HttpObjectStore(address)
        operator_builders.set_fault(address, lose_answers=1)
        deadline = clock.SystemClock().now() + 20
        accepted = configuration.apply(store, make_update("a", {"x": 1}, 0), deadline)
        self.assertEqual(accepted, configuration.read(store, deadline))

    def test_threads_get_consecutive_generations(self):
        """Guards against two updates with one generation."""
        accepted = []

        def apply_five_updates(by):
            while len([update for update in accepted if update.by == by]) < 5:
                base_generation = configuration.read(self.store, DEADLINE).generation
                try:
                    accepted.append(
                        self.apply(by, {by: base_generation}, base_generation)
                    )
                except errors.Conflict:
                    continue

        threads = [
            threading.Thread(target=apply_five_updates, args=(by,)) for by in "ab"
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        generations = sorted(update.generation for update in accepted)
        self.assertEqual(generations, list(range(1, 11)))


class RecordTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(strategies.lists(strategies.integers(1, 9)))
    def test_installed_generation_never_decreases(self, generations):
        """Guards against installing an older configuration that arrives late."""
        installed = configuration.InstalledConfiguration()
        highest = 0
        for generation in generations:
            was_installed = installed.install_if_newer(
                configuration.AcceptedConfiguration(generation)
            )
            self.assertEqual(was_installed, generation > highest)
            highest = max(highest, generation)
            self.assertEqual(installed.generation, highest)

    def test_compare_by_key(self):
        """Guards against changes that omit a removed key or an empty table."""
        changes = configuration.compare(
            {"a": {"x": 1, "y": [1]}, "b": {}}, {"a": {"x": 2}, "b": {"z": 1}}
        )
        self.assertEqual(
            [str(change) for change in changes],
            [
                "a.x: 1 -> 2",
                "a.y: [1] -> (absent)",
                "b: {} -> (absent)",
                "b.z: (absent) -> 1",
            ],
        )

    def test_largest_record_fits_into_one_object(self):
        """Guards against a checked configuration that is too large to be stored."""
        current = configuration.NO_CONFIGURATION
        values_by_key = {f"k{n}" * 40: "v" * 300 for n in range(400)}
        for number in range(configuration.MAX_EARLIER_UPDATES + 2):
            document = {"number": number, **values_by_key} if number % 2 else {}
            current = configuration.next_configuration(
                current, document, "x" * 999, 0, "u" * 36
            )
        record = configuration.encode(current)
        overhead_bytes = len(record) - len(str(current.document))
        self.assertLess(overhead_bytes, objects.MAX_VALUE_BYTES - 960_000)

    def test_malformed_record(self):
        """Guards against a process that exits because of a damaged record."""
        for value in (b"", b"[]", b'{"generation": 0}', b"\xff"):
            with self.assertRaises(errors.InvalidSettings):
                configuration.decode(value)
