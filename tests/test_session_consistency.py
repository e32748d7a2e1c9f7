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

PAIR_INDEX = st.integers(0, 1)
IN_FLIGHT_INDEX = st.integers(0, 5)
SERVER_NAME = st.sampled_from(session_model.SERVER_NAMES)
ITEM_NAME = st.sampled_from(["x", "y"])
HYPOTHESIS_SETTINGS = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class SessionMachine(RuleBasedStateMachine):
    """Random events of two sessions, two proxies and databases that lag and fail."""

    components = None

    def __init__(self):
        super().__init__()
        self.model = session_model.SessionModel(self.components)

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0]))
    def advance_time(self, seconds):
        self.model.advance_time(seconds)

    @rule(server_name=SERVER_NAME, max_entries=st.integers(1, 4))
    def pull(self, server_name, max_entries):
        self.model.pull(server_name, max_entries)

    @rule(unreachable_name=SERVER_NAME, draw=st.integers(0, 5))
    def promote(self, unreachable_name, draw):
        if draw == 5:  # More promotions would keep writes from being acknowledged.
            self.model.promote(unreachable_name)

    @rule(
        server_names=st.lists(SERVER_NAME, min_size=1, max_size=3, unique=True),
        proxy_index=PAIR_INDEX,
    )
    def poll(self, server_names, proxy_index):
        for server_name in server_names:
            self.model.poll(server_name, proxy_index)
            self.model.deliver_status(-1)

    @rule(
        server_name=SERVER_NAME,
        proxy_index=PAIR_INDEX,
        request_age_seconds=st.sampled_from([0.0, 0.05, 0.5]),
    )
    def poll_without_delivery(self, server_name, proxy_index, request_age_seconds):
        self.model.poll(server_name, proxy_index, request_age_seconds)

    @precondition(lambda self: self.model.statuses_in_flight)
    @rule(index=IN_FLIGHT_INDEX, is_lost=st.booleans())
    def deliver_status(self, index, is_lost):
        if is_lost:
            self.model.lose_status(index)
        else:
            self.model.deliver_status(index)

    @rule(
        session_index=PAIR_INDEX,
        proxy_index=PAIR_INDEX,
        item=ITEM_NAME,
        freshness=st.sampled_from(session_model.FRESHNESS_CHOICES),
    )
    def read(self, session_index, proxy_index, item, freshness):
        self.model.read(session_index, proxy_index, item, freshness)

    @rule(
        session_index=PAIR_INDEX,
        proxy_index=PAIR_INDEX,
        item=ITEM_NAME,
        key=st.sampled_from([None, "k"]),
    )
    def write(self, session_index, proxy_index, item, key):
        self.model.write(session_index, proxy_index, item, key)

    @rule(
        session_index=PAIR_INDEX,
        proxy_index=PAIR_INDEX,
        item=ITEM_NAME,
        freshness=st.sampled_from(session_model.FRESHNESS_CHOICES),
    )
    def read_immediately(self, session_index, proxy_index, item, freshness):
        if self.model.read(session_index, proxy_index, item, freshness):
            self.model.complete_batch(-1)

    @rule(
        session_index=PAIR_INDEX,
        proxy_index=PAIR_INDEX,
        item=ITEM_NAME,
        key=st.sampled_from([None, "k"]),
        confirming_server=st.sampled_from([None, "s1", "s2", "s3"]),
    )
    def write_immediately(
        self, session_index, proxy_index, item, key, confirming_server
    ):
        """Write, and optionally let another database confirm the write."""
        if self.model.write(session_index, proxy_index, item, key):
            count_before = len(self.model.sent_requests)
            while len(self.model.sent_requests) == count_before:
                self.model.complete_batch(-1)
            if confirming_server is not None:
                self.model.pull(confirming_server, 100)
                self.model.poll(confirming_server, proxy_index)
                self.model.deliver_status(-1)

    @rule(session_index=PAIR_INDEX, proxy_index=PAIR_INDEX, item=ITEM_NAME)
    def lose_answer_of_write(self, session_index, proxy_index, item):
        if self.model.write(session_index, proxy_index, item, "k"):
            self.model.complete_batch(-1, answered=False)

    @rule(draw=st.integers(0, 3))
    def fail_over(self, draw):
        if draw == 3:
            self.model.promote(unreachable_name=self.model.primary.name)
            for proxy_index in range(2):
                self.model.confirm_replication(proxy_index)

    @rule(proxy_index=PAIR_INDEX)
    def confirm_replication(self, proxy_index):
        self.model.confirm_replication(proxy_index)

    @rule(session_index=PAIR_INDEX, proxy_index=PAIR_INDEX)
    def resolve(self, session_index, proxy_index):
        self.model.resolve(session_index, proxy_index)

    @precondition(lambda self: self.model.sent_requests)
    @rule(index=IN_FLIGHT_INDEX, answered=st.sampled_from([True, True, True, False]))
    def complete_batch(self, index, answered):
        self.model.complete_batch(index, answered)

    @precondition(lambda self: self.model.sent_requests)
    @rule(index=IN_FLIGHT_INDEX)
    def execute_batch(self, index):
        self.model.execute_batch(index)

    @precondition(lambda self: self.model.executed_requests)
    @rule(index=IN_FLIGHT_INDEX)
    def answer_request(self, index):
        self.model.answer_request(index)

    @rule(server_name=SERVER_NAME, draw=st.integers(0, 3))
    def restart(self, server_name, draw):
        if draw == 3:
            self.model.restart(server_name)

    @precondition(lambda self: self.model.sent_requests)
    @rule(index=IN_FLIGHT_INDEX)
    def delay_batch(self, index):
        self.model.delay_batch(index)

    @precondition(lambda self: self.model.delayed_batches)
    @rule(index=IN_FLIGHT_INDEX)
    def run_delayed_batch(self, index):
        self.model.run_delayed_batch(index)

    @rule(session_index=PAIR_INDEX)
    def give_up_write(self, session_index):
        self.model.give_up_write(session_index)

    def teardown(self):
        findings = self.model.finish_and_check()
        assert not findings, findings


class SessionConsistencyTest(unittest.TestCase):
    def test_random_histories(self):
        """Guards against violations of section 1.3 (1, 5, 6) and of stated ages.

        A session misses its own writes or earlier reads, a write is lost or runs twice,
        or data is older than stated.
        """
        run_state_machine_as_test(SessionMachine, settings=HYPOTHESIS_SETTINGS)
