"""Random histories through views, tokens, routing, acknowledgement and outcomes."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests import session_model

TWO = st.integers(0, 1)
ANY = st.integers(0, 5)
SERVER = st.sampled_from(session_model.SERVERS)
ITEM = st.sampled_from(["x", "y"])
BUDGET = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class SessionMachine(RuleBasedStateMachine):
    """Lagging, promoted and silent databases under two roaming sessions."""

    parts = None

    def __init__(self):
        super().__init__()
        self.model = session_model.Model(self.parts)

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0]))
    def advance(self, seconds):
        self.model.advance(seconds)

    @rule(name=SERVER, limit=st.integers(1, 4))
    def pull(self, name, limit):
        self.model.pull(name, limit)

    @rule(absent=SERVER, chance=st.integers(0, 5))
    def promote(self, absent, chance):
        if chance == 5:  # More often, no write would ever be acknowledged.
            self.model.promote(absent)

    @rule(names=st.lists(SERVER, min_size=1, max_size=3, unique=True), proxy=TWO)
    def poll(self, names, proxy):
        for name in names:
            self.model.poll(name, proxy)
            self.model.deliver(-1)

    @rule(name=SERVER, proxy=TWO, before=st.sampled_from([0.0, 0.05, 0.5]))
    def poll_slowly(self, name, proxy, before):
        self.model.poll(name, proxy, before)

    @precondition(lambda self: self.model.statuses)
    @rule(index=ANY, lost=st.booleans())
    def deliver(self, index, lost):
        if lost:
            self.model.lose_status(index)
        else:
            self.model.deliver(index)

    @rule(
        session=TWO,
        proxy=TWO,
        item=ITEM,
        wanted=st.sampled_from(session_model.FRESHNESS),
    )
    def read(self, session, proxy, item, wanted):
        self.model.read(session, proxy, item, wanted)

    @rule(session=TWO, proxy=TWO, item=ITEM, key=st.sampled_from([None, "k"]))
    def write(self, session, proxy, item, key):
        self.model.write(session, proxy, item, key)

    @rule(
        session=TWO,
        proxy=TWO,
        item=ITEM,
        wanted=st.sampled_from(session_model.FRESHNESS),
    )
    def read_at_once(self, session, proxy, item, wanted):
        if self.model.read(session, proxy, item, wanted):
            self.model.arrive(-1)

    @rule(
        session=TWO,
        proxy=TWO,
        item=ITEM,
        key=st.sampled_from([None, "k"]),
        by=st.sampled_from([None, "s1", "s2", "s3"]),
    )
    def write_at_once(self, session, proxy, item, key, by):
        """Write; one more database than the primary may confirm it."""
        if self.model.write(session, proxy, item, key):
            count = len(self.model.calls)
            while len(self.model.calls) == count:
                self.model.arrive(-1)
            if by is not None:
                self.model.pull(by, 100)
                self.model.poll(by, proxy)
                self.model.deliver(-1)

    @rule(session=TWO, proxy=TWO, item=ITEM)
    def lose_answer_of_write(self, session, proxy, item):
        if self.model.write(session, proxy, item, "k"):
            self.model.arrive(-1, answered=False)

    @rule(chance=st.integers(0, 3))
    def fail_over(self, chance):
        if chance == 3:
            self.model.promote(absent=self.model.primary.name)
            for proxy in range(2):
                self.model.confirm(proxy)

    @rule(proxy=TWO)
    def confirm(self, proxy):
        self.model.confirm(proxy)

    @rule(session=TWO, proxy=TWO)
    def resolve(self, session, proxy):
        self.model.resolve(session, proxy)

    @precondition(lambda self: self.model.calls)
    @rule(index=ANY, answered=st.sampled_from([True, True, True, False]))
    def arrive(self, index, answered):
        self.model.arrive(index, answered)

    @precondition(lambda self: self.model.calls)
    @rule(index=ANY)
    def execute(self, index):
        self.model.execute(index)

    @precondition(lambda self: self.model.answers)
    @rule(index=ANY)
    def answer(self, index):
        self.model.answer(index)

    @rule(name=SERVER, chance=st.integers(0, 3))
    def restart(self, name, chance):
        if chance == 3:
            self.model.restart(name)

    @precondition(lambda self: self.model.calls)
    @rule(index=ANY)
    def delay(self, index):
        self.model.delay(index)

    @precondition(lambda self: self.model.late)
    @rule(index=ANY)
    def run_late(self, index):
        self.model.run_late(index)

    @rule(session=TWO)
    def give_up(self, session):
        self.model.give_up(session)

    def teardown(self):
        findings = self.model.finish()
        assert not findings, findings


class SessionConsistencyTest(unittest.TestCase):
    def test_random_histories(self):
        """Guards against any violation of 1.3 (1, 5, 6) and of stated ages."""
        run_state_machine_as_test(SessionMachine, settings=BUDGET)
