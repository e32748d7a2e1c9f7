"""Tests of ``cassiahill.configuration``."""

import contextlib
import threading
import unittest

from hypothesis import given, settings, strategies

from cassiahill import clock, configuration, errors, objects
from tests import broken_configuration, operator_builders

DEADLINE = 1e12


def update(by, document, base):
    """Return an update; its id is its author, document and base."""
    return configuration.Update(document, base, by, 0, f"{by}-{document}-{base}")


class FaultyStore(objects.MemoryObjectStore):
    """Loses requests or answers as told, and calls a hook before each put."""

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
    """Let two operators apply at the same moment; return accepted ids that are lost."""
    store = FaultyStore()
    accepted = []

    def attempt(by):
        with contextlib.suppress(errors.Conflict):
            accepted.append(apply(store, update(by, {by: 1}, 0), DEADLINE).update_id)

    store.before_put = lambda: attempt("second")
    attempt("first")
    found = configuration.read(store, DEADLINE)
    return set(accepted) - {found.update_id, *found.earlier}


def run_script(apply, script, deadline=DEADLINE):
    """Run operators that interrupt each other; return the ids by outcome.

    Each entry of the script is one operator: the fault of a put, and whether the next
    operator acts between this one's read and its put.
    """
    store = FaultyStore()
    store.faults = [fault for fault, _ in script]
    ids_by_outcome = {"accepted": [], "conflict": [], "unknown": []}
    waiting = list(enumerate(interrupted for _, interrupted in script))

    def next_operator():
        if not waiting:
            return
        number, interrupted = waiting.pop(0)
        base = configuration.read(store, DEADLINE).generation
        wanted = update(f"o{number}", {f"k{number}": number}, base)
        if interrupted:
            store.before_put = next_operator
        try:
            apply(store, wanted, deadline, clock.ManualClock())
            ids_by_outcome["accepted"].append(wanted.update_id)
        except errors.Conflict:
            ids_by_outcome["conflict"].append(wanted.update_id)
        except errors.PlatformUnavailable:
            ids_by_outcome["unknown"].append(wanted.update_id)

    while waiting:
        next_operator()
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

    def apply(self, by, document, base, deadline=DEADLINE):
        return configuration.apply(
            self.store, update(by, document, base), deadline, clock.ManualClock()
        )

    def test_two_operators_at_the_same_time(self):
        """Guards against an accepted update that another one replaces unseen."""
        self.assertEqual(lost_updates(configuration.apply), set())

    def test_invariant_fails_on_the_broken_store(self):
        """Guards against a check that last-writer-wins would pass."""
        self.assertEqual(len(lost_updates(broken_configuration.apply)), 1)

    @settings(derandomize=True, deadline=None)
    @given(SCRIPTS, strategies.sampled_from([0.0, DEADLINE]))
    def test_every_operator_is_told_the_truth(self, script, deadline):
        """Guards against wrong outcomes when operators and faults interleave."""
        ids_by_outcome, found = run_script(configuration.apply, script, deadline)
        history = [i for i in (found.update_id, *found.earlier) if i]
        self.assertLessEqual(set(ids_by_outcome["accepted"]), set(history))
        self.assertFalse(set(ids_by_outcome["conflict"]) & set(history))
        self.assertEqual(len(history), found.generation)

    def test_broken_store_is_caught_by_a_script(self):
        """Guards against scripts that never let two operators meet."""
        script = [("", True), ("", False)]
        ids_by_outcome, found = run_script(broken_configuration.apply, script)
        lost = set(ids_by_outcome["accepted"]) - {found.update_id, *found.earlier}
        self.assertEqual(len(lost), 1)

    def test_conflict_names_the_other_change(self):
        """Guards against a refusal that does not say what happened."""
        self.apply("alice", {"a": {"x": 1}}, 0)
        with self.assertRaises(errors.Conflict) as caught:
            self.apply("bob", {"a": {"x": 2}}, 0)
        text = str(caught.exception)
        self.assertIn("generation 1 by alice: a.x: (absent) -> 1", text)
        self.assertEqual(caught.exception.accepted.by, "alice")

    def test_lost_answer_is_read_back(self):
        """Guards against a conflict with the operator's own update."""
        self.store.faults = ["answer"]
        accepted = self.apply("alice", {"a": 1}, 0)
        self.assertEqual((accepted.generation, accepted.by), (1, "alice"))
        self.assertEqual(accepted, configuration.read(self.store, DEADLINE))

    def test_lost_answer_followed_by_another_update(self):
        """Guards against reporting an accepted and replaced update as refused."""
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
        """Guards against reporting an update that may come late as not made."""
        self.store.faults = ["request"] * 9
        with self.assertRaises(errors.PlatformUnavailable) as caught:
            self.apply("alice", {}, 0, deadline=0.0)
        self.assertEqual(caught.exception.may_have_run, "unknown")
        self.assertIn("alice-{}-0", str(caught.exception))

    def test_lost_answer_over_http(self):
        """Guards against a resolution that works only in memory."""
        address = self.enterContext(operator_builders.platform_standin())
        store = objects.HttpObjectStore(address)
        operator_builders.set_fault(address, lose_answers=1)
        deadline = clock.SystemClock().now() + 20
        accepted = configuration.apply(store, update("a", {"x": 1}, 0), deadline)
        self.assertEqual(accepted, configuration.read(store, deadline))

    def test_threads_get_consecutive_generations(self):
        """Guards against two updates with one generation."""
        accepted = []

        def operator(name):
            while len([a for a in accepted if a.by == name]) < 5:
                base = configuration.read(self.store, DEADLINE).generation
                try:
                    accepted.append(self.apply(name, {name: base}, base))
                except errors.Conflict:
                    continue

        threads = [threading.Thread(target=operator, args=(name,)) for name in "ab"]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        generations = sorted(a.generation for a in accepted)
        self.assertEqual(generations, list(range(1, 11)))


class RecordTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(strategies.lists(strategies.integers(1, 9)))
    def test_generations_never_go_back(self, generations):
        """Guards against installing an older configuration that arrives late."""
        installed = configuration.InstalledConfiguration()
        highest = 0
        for generation in generations:
            newer = installed.install_if_newer(
                configuration.AcceptedConfiguration(generation)
            )
            self.assertEqual(newer, generation > highest)
            highest = max(highest, generation)
            self.assertEqual(installed.generation, highest)

    def test_compare_by_key(self):
        """Guards against differences that hide a removed key or an empty table."""
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
        """Guards against a checked configuration that the platform refuses."""
        current = configuration.NO_CONFIGURATION
        names = {f"k{n}" * 40: "v" * 300 for n in range(400)}
        for number in range(configuration.MAX_EARLIER + 2):
            document = {"number": number, **names} if number % 2 else {}
            current = configuration.next_configuration(
                current, document, "x" * 999, 0, "u" * 36
            )
        record = configuration.encode(current)
        size = len(record) - len(str(current.document))
        self.assertLess(size, objects.MAX_VALUE_BYTES - 960_000)

    def test_malformed_record(self):
        """Guards against a process that stops at a damaged object."""
        for value in (b"", b"[]", b'{"generation": 0}', b"\xff"):
            with self.assertRaises(errors.InvalidSettings):
                configuration.decode(value)
