"""Tests of ``cassiahill.pool`` against a simple model."""

import random
import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from cassiahill import errors, pool
from tests import broken_admission

CHECK_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
# More examples, because the search ends as soon as it finds the fault.
SEARCH_SETTINGS = settings(CHECK_SETTINGS, max_examples=4000)
INDEXES = st.integers(0, 99)


class PoolMachine(RuleBasedStateMachine):
    """Applies random events to a pool; subclasses set ``pool_type``."""

    pool_type = pool.ConnectionPool

    def __init__(self):
        super().__init__()
        self.settings = pool.PoolSettings(max_connections=7)
        self.pool = self.pool_type(self.settings, random.Random(1))
        self.now = 1.0
        self.last_request_id = 0
        self.waiting = set()
        self.ids_by_state = {
            state: set() for state in ("opening", "idle", "leased", "reset")
        }
        self.needs_reset = set()

    def take_connection(self, state, index):
        connection_ids = sorted(self.ids_by_state[state])
        if not connection_ids:
            return None
        connection_id = connection_ids[index % len(connection_ids)]
        self.ids_by_state[state].remove(connection_id)
        return connection_id

    @rule(count=st.integers(1, 2))
    def acquire(self, count):
        for _ in range(count):
            self.last_request_id += 1
            self.waiting.add(self.last_request_id)
            self.apply(self.pool.acquire(self.last_request_id, self.now))

    @rule(index=INDEXES, count=st.integers(1, 4), dirty=st.booleans())
    def release(self, index, count, dirty):
        # Several connections at once, so that often no request waits.
        for _ in range(count):
            connection_id = self.take_connection("leased", index)
            if connection_id is None:
                return
            self.ids_by_state["idle"].add(connection_id)
            if dirty:
                self.needs_reset.add(connection_id)
            self.apply(self.pool.release(connection_id, self.now, dirty))

    @rule(index=INDEXES, succeeds=st.booleans())
    def opened_or_failed(self, index, succeeds):
        connection_id = self.take_connection("opening", index)
        if connection_id is not None:
            if succeeds:
                self.ids_by_state["idle"].add(connection_id)
            on_result = self.pool.on_opened if succeeds else self.pool.on_open_failed
            self.apply(on_result(connection_id, self.now))

    @rule(index=INDEXES)
    def on_reset_done(self, index):
        connection_id = self.take_connection("reset", index)
        if connection_id is not None:
            self.ids_by_state["idle"].add(connection_id)
            self.needs_reset.discard(connection_id)
            self.apply(self.pool.on_reset_done(connection_id, self.now))

    @rule(index=INDEXES, state=st.sampled_from(("leased", "idle", "reset")))
    def on_connection_lost(self, index, state):
        connection_id = self.take_connection(state, index)
        if connection_id is not None:
            self.apply(self.pool.on_connection_lost(connection_id, self.now))

    @rule(index=INDEXES)
    def on_timeout(self, index):
        connection_id = self.take_connection("leased", index)
        if connection_id is not None:
            self.needs_reset |= self.ids_by_state["idle"]
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
                    assert connection_id not in self.needs_reset, "used without a reset"
                    self.ids_by_state["idle"].remove(connection_id)
                    self.ids_by_state["leased"].add(connection_id)
                case pool.Refuse(request_id, error):
                    self.waiting.remove(request_id)
                    assert isinstance(error, errors.NotRunError)
        opening = len(self.ids_by_state["opening"])
        total = sum(map(len, self.ids_by_state.values()))
        assert (
            total <= self.settings.max_connections - self.settings.reserved_connections
        ), "over the limit"
        assert opening <= self.settings.max_opening, "too many connections are opening"
        usable = self.ids_by_state["idle"] - self.needs_reset
        assert not (self.waiting and usable), (
            "a request waits while a connection is usable"
        )


def pool_machine(pool_type):
    """Return the model as a state machine type for a pool."""
    return type("Machine", (PoolMachine,), {"pool_type": pool_type})


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = pool.ConnectionPool(
            pool.PoolSettings(max_connections=7), random.Random(1)
        )

    def test_agrees_with_the_model(self):
        """Guards against shared, dirty or too many connections."""
        run_state_machine_as_test(
            pool_machine(pool.ConnectionPool), settings=CHECK_SETTINGS
        )

    def test_model_rejects_broken_versions(self):
        """Guards against a model that accepts a faulty pool."""
        for pool_type, reason in broken_admission.BROKEN_POOLS.items():
            with (
                self.subTest(pool_type.__name__),
                self.assertRaisesRegex(AssertionError, reason),
            ):
                run_state_machine_as_test(
                    pool_machine(pool_type), settings=SEARCH_SETTINGS
                )

    def test_failures_back_off_with_jitter(self):
        """Guards against frequent attempts to connect to a server that is down."""
        delays = []
        now = 0.0
        for request_id in range(9):
            (opening,) = self.pool.acquire(request_id, now)
            (refuse_action,) = self.pool.on_open_failed(opening.connection_id, now)
            delays.append(refuse_action.error.retry_after)
            self.assertIsInstance(self.pool.acquire(99, now)[0], pool.Refuse)
            now += delays[-1] + 0.001
        self.assertLessEqual(delays[0], 0.05)
        self.assertLessEqual(max(delays), 2.0)
        self.assertGreater(delays[-1], 0.9)

    def test_old_and_idle_connections_are_closed(self):
        """Guards against connections that stay open indefinitely."""
        (opening,) = self.pool.acquire(1, 0.0)
        self.pool.on_opened(opening.connection_id, 0.0)
        self.pool.release(opening.connection_id, 1.0, False)
        self.assertEqual(self.pool.tick(30.0), [])
        (grant,) = self.pool.acquire(2, 30.5)
        actions = self.pool.release(grant.connection_id, 601.0, False)
        self.assertEqual(actions, [pool.Close(grant.connection_id)])
        (opening,) = self.pool.acquire(3, 602.0)
        self.pool.on_opened(opening.connection_id, 602.0)
        self.pool.release(opening.connection_id, 602.0, False)
        self.assertEqual(self.pool.tick(633.0), [pool.Close(opening.connection_id)])
