"""Tests of ``cassiahill.pool`` against a naive model."""

import random
import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from cassiahill import errors, pool
from tests import broken_admission

PROFILE = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
# More examples than usual, because a broken version ends the search at once.
SEARCH = settings(PROFILE, max_examples=1000)
CHOICE = st.integers(0, 99)


class PoolMachine(RuleBasedStateMachine):
    """Applies random events; ``pool_type`` is set by the tests."""

    pool_type = pool.ConnectionPool

    def __init__(self):
        super().__init__()
        self.settings = pool.PoolSettings(max_connections=7)
        self.pool = self.pool_type(self.settings, random.Random(1))
        self.now = 1.0
        self.next_id = 0
        self.waiting = set()
        self.ids_by_state = {s: set() for s in ("opening", "idle", "leased", "reset")}
        self.unproven = set()

    def take(self, state, choice):
        known = sorted(self.ids_by_state[state])
        if not known:
            return None
        connection_id = known[choice % len(known)]
        self.ids_by_state[state].remove(connection_id)
        return connection_id

    @rule(count=st.integers(1, 2))
    def acquire(self, count):
        for _ in range(count):
            self.next_id += 1
            self.waiting.add(self.next_id)
            self.apply(self.pool.acquire(self.next_id, self.now))

    @rule(choice=CHOICE, count=st.integers(1, 4), dirty=st.booleans())
    def release(self, choice, count, dirty):
        # Several at a time, so that the queue of requests is often empty.
        for _ in range(count):
            connection_id = self.take("leased", choice)
            if connection_id is None:
                return
            self.ids_by_state["idle"].add(connection_id)
            if dirty:
                self.unproven.add(connection_id)
            self.apply(self.pool.release(connection_id, self.now, dirty))

    @rule(choice=CHOICE, works=st.booleans())
    def opened_or_failed(self, choice, works):
        connection_id = self.take("opening", choice)
        if connection_id is not None:
            if works:
                self.ids_by_state["idle"].add(connection_id)
            report = self.pool.on_opened if works else self.pool.on_open_failed
            self.apply(report(connection_id, self.now))

    @rule(choice=CHOICE)
    def on_reset_done(self, choice):
        connection_id = self.take("reset", choice)
        if connection_id is not None:
            self.ids_by_state["idle"].add(connection_id)
            self.unproven.discard(connection_id)
            self.apply(self.pool.on_reset_done(connection_id, self.now))

    @rule(choice=CHOICE, state=st.sampled_from(("leased", "idle", "reset")))
    def on_connection_lost(self, choice, state):
        connection_id = self.take(state, choice)
        if connection_id is not None:
            self.apply(self.pool.on_connection_lost(connection_id, self.now))

    @rule(choice=CHOICE)
    def on_timeout(self, choice):
        connection_id = self.take("leased", choice)
        if connection_id is not None:
            self.unproven |= self.ids_by_state["idle"]
            self.apply(self.pool.on_timeout(connection_id, self.now))

    @rule(seconds=st.floats(0.01, 20.0))
    def tick(self, seconds):
        self.now += seconds
        self.apply(self.pool.tick(self.now))

    def apply(self, actions):
        for action in actions:
            match action:
                case pool.Open(connection_id):
                    self.ids_by_state["opening"].add(connection_id)
                case pool.Reset(connection_id):
                    self.ids_by_state["idle"].remove(connection_id)
                    self.ids_by_state["reset"].add(connection_id)
                case pool.Close(connection_id):
                    self.ids_by_state["idle"].discard(connection_id)
                case pool.Grant(request_id, connection_id):
                    self.waiting.remove(request_id)
                    assert connection_id not in self.unproven, "used without a reset"
                    self.ids_by_state["idle"].remove(connection_id)
                    self.ids_by_state["leased"].add(connection_id)
                case pool.Refuse(request_id, error):
                    self.waiting.remove(request_id)
                    assert isinstance(error, errors.NotRunError)
        opening = len(self.ids_by_state["opening"])
        total = sum(map(len, self.ids_by_state.values()))
        assert total <= self.settings.max_connections - self.settings.reserve, (
            "over the limit"
        )
        assert opening <= self.settings.max_opening, "too many opening"
        proven = self.ids_by_state["idle"] - self.unproven
        assert not (self.waiting and proven), "a request waits beside a connection"


def machine(pool_type):
    """Return a state machine type that checks a pool."""
    return type("Machine", (PoolMachine,), {"pool_type": pool_type})


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = pool.ConnectionPool(
            pool.PoolSettings(max_connections=7), random.Random(1)
        )

    def test_agrees_with_the_model(self):
        """Guards against shared, unreset or too many connections."""
        run_state_machine_as_test(machine(pool.ConnectionPool), settings=PROFILE)

    def test_model_rejects_broken_versions(self):
        """Guards against a model that accepts anything."""
        for pool_type, reason in broken_admission.POOLS.items():
            with (
                self.subTest(pool_type.__name__),
                self.assertRaisesRegex(AssertionError, reason),
            ):
                run_state_machine_as_test(machine(pool_type), settings=SEARCH)

    def test_failures_back_off_with_jitter(self):
        """Guards against a storm of connections to a server that is down."""
        delays = []
        now = 0.0
        for request_id in range(9):
            (opening,) = self.pool.acquire(request_id, now)
            (refusal,) = self.pool.on_open_failed(opening.connection_id, now)
            delays.append(refusal.error.retry_after)
            self.assertIsInstance(self.pool.acquire(99, now)[0], pool.Refuse)
            now += delays[-1] + 0.001
        self.assertLessEqual(delays[0], 0.05)
        self.assertLessEqual(max(delays), 2.0)
        self.assertGreater(delays[-1], 0.9)

    def test_old_and_idle_connections_are_closed(self):
        """Guards against connections that are kept for ever."""
        (opening,) = self.pool.acquire(1, 0.0)
        self.pool.on_opened(opening.connection_id, 0.0)
        self.pool.release(opening.connection_id, 1.0, False)
        self.assertEqual(self.pool.tick(30.0), [])
        (use,) = self.pool.acquire(2, 30.5)
        closing = self.pool.release(use.connection_id, 601.0, False)
        self.assertEqual(closing, [pool.Close(use.connection_id)])
        (opening,) = self.pool.acquire(3, 602.0)
        self.pool.on_opened(opening.connection_id, 602.0)
        self.pool.release(opening.connection_id, 602.0, False)
        self.assertEqual(self.pool.tick(633.0), [pool.Close(opening.connection_id)])
