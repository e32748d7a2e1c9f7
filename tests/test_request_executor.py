"""Tests of ``cassiahill.request_executor`` with two proxies and server faults."""

import random
import unittest
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cassiahill import errors, owned_servers, request_executor
from cassiahill.admission import AdmissionSettings, RankedAdmission
from cassiahill.messages import Rank
from tests import broken_admission, simulated_backend
from tests.simulated_backend import FakeRequestContext, tagged_batch

MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=30,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
# The search ends at the first failure of a broken version. Hypothesis draws constants
# from the code; with more examples, the verdict does not depend on small changes of it.
SEARCH_SETTINGS = settings(MACHINE_SETTINGS, max_examples=1000)
CONNECTION_LIMIT, RESERVED_CONNECTIONS = 6, 2
FAULTS = st.sampled_from(
    (None, None, None, "close", "no_answer", errors.StatementFailed())
)


class RequestExecutorMachine(RuleBasedStateMachine):
    """Lets two proxies claim one server in turn, with faults of the server."""

    def __init__(self):
        super().__init__()
        self.loop = simulated_backend.SimulatedLoop()
        self.fake_server = simulated_backend.FakeServer(slots=2, service_seconds=0.02)
        self.owned_servers = [
            owned_servers.OwnedServer(
                self.loop,
                simulated_backend.FakeBackend(self.fake_server, self.loop),
                self.fake_server.settings(CONNECTION_LIMIT),
                name,
                RankedAdmission(AdmissionSettings(2)),
                random.Random(1),
            )
            for name in "ab"
        ]
        self.owned_servers[0].claim(0)
        self.futures_by_tag = {}
        self.transaction_futures = []
        self.tags_with_error = set()

    @rule(
        owner_index=st.integers(0, 1),
        count=st.integers(1, 5),
        read_only=st.booleans(),
        rank=st.sampled_from(Rank),
        timeout_seconds=st.floats(0.001, 2.0),
        fault=FAULTS,
    )
    def submit(self, owner_index, count, read_only, rank, timeout_seconds, fault):
        request_context = FakeRequestContext(
            rank, "c", self.loop.clock.now() + timeout_seconds
        )
        for _ in range(count):
            tag = self.add_tag("r" if read_only else "w", fault)
            self.futures_by_tag[tag] = self.owned_servers[owner_index].submit(
                request_context, tagged_batch(tag, read_only, timeout_seconds)
            )

    @rule(owner_index=st.integers(0, 1))
    def begin(self, owner_index):
        request_context = FakeRequestContext(deadline=self.loop.clock.now() + 1.0)
        self.transaction_futures.append(
            self.owned_servers[owner_index].open_transaction(request_context, 1)
        )
        self.loop.run_for(0.05)

    @rule(
        chosen_index=st.integers(0, 9),
        fault=FAULTS,
        timeout_seconds=st.floats(0.001, 1.0),
    )
    def execute(self, chosen_index, fault, timeout_seconds):
        opened_futures = [
            future
            for future in self.transaction_futures
            if future.done() and future.exception() is None
        ]
        if opened_futures:
            future = opened_futures[chosen_index % len(opened_futures)]
            tag = self.add_tag(f"x{self.transaction_futures.index(future)}", fault)
            deadline = self.loop.clock.now() + timeout_seconds
            self.futures_by_tag[tag] = future.result().execute(
                tagged_batch(tag, False, timeout_seconds), deadline
            )

    @rule(
        chosen_index=st.integers(0, 9),
        ending=st.sampled_from(("commit", "rollback", "close")),
    )
    def end(self, chosen_index, ending):
        opened_futures = [
            future
            for future in self.transaction_futures
            if future.done() and future.exception() is None
        ]
        if opened_futures:
            transaction = opened_futures[chosen_index % len(opened_futures)].result()
            if ending == "close":
                transaction.close()
            else:
                deadline = self.loop.clock.now() + 1.0
                tag = f"end{len(self.futures_by_tag)}"
                self.futures_by_tag[tag] = getattr(transaction, ending)(deadline)

    @rule(owner_index=st.integers(0, 1), release=st.booleans())
    def claim(self, owner_index, release):
        if release:
            self.owned_servers[1 - owner_index].release()
        self.owned_servers[owner_index].claim(self.fake_server.epoch)

    @rule(seconds=st.floats(0.001, 0.5))
    def advance(self, seconds):
        self.loop.run_for(seconds)

    @invariant()
    def limits_hold(self):
        assert self.fake_server.max_running_count <= self.fake_server.slots, (
            "over the slots"
        )
        assert (
            self.fake_server.max_connection_count
            <= CONNECTION_LIMIT - RESERVED_CONNECTIONS
        ), "over the limit"

    def teardown(self):
        self.loop.run_for(5.0)
        for owned_server in self.owned_servers:
            owned_server.close()
        self.loop.close()
        received_tags = set(self.fake_server.received_tags)
        for tag, future in self.futures_by_tag.items():
            assert future.done(), f"{tag} has no end"
            if isinstance(future.exception(), errors.NotRunError):
                assert tag not in received_tags or tag in self.tags_with_error, (
                    f"{tag} may have run"
                )
        write_tags = [
            tag for tag in self.fake_server.received_tags if tag.startswith(("w", "x"))
        ]
        assert len(write_tags) == len(set(write_tags)), "a write was sent twice"
        for tags in self.fake_server.tags_by_connection.values():
            self.check_resets(tags)

    def add_tag(self, prefix, fault):
        tag = f"{prefix}-{len(self.futures_by_tag)}"
        if fault is not None:
            self.fake_server.fault_by_tag[tag] = fault
        if isinstance(fault, Exception):
            self.tags_with_error.add(tag)
        return tag

    @staticmethod
    def check_resets(tags):
        """Check that a connection is reset after each transaction or write."""
        users_since_reset = set()
        for tag in tags:
            if tag == "reset":
                users_since_reset.clear()
                continue
            user = tag.split("-")[0] if tag.startswith("x") else tag
            if tag.startswith("r-"):
                assert not users_since_reset, (
                    f"{tag} in the session of {users_since_reset}"
                )
            elif tag not in ("begin", "commit", "rollback"):
                users_since_reset.add(user)
                assert len(users_since_reset) == 1, (
                    f"one session served {users_since_reset}"
                )


class RequestExecutorTest(unittest.TestCase):
    def test_requests_end_once_within_the_limits(self):
        """Guards against wrong results, shared connections and exceeded limits."""
        run_state_machine_as_test(RequestExecutorMachine, settings=MACHINE_SETTINGS)

    def test_machine_rejects_broken_versions(self):
        """Guards against a state machine that accepts faulty executors."""
        for broken, reason in broken_admission.BROKEN_EXECUTORS.items():
            with (
                self.subTest(broken.__name__),
                mock.patch.object(request_executor, "RequestExecutor", broken),
                self.assertRaisesRegex(AssertionError, reason),
            ):
                run_state_machine_as_test(
                    RequestExecutorMachine, settings=SEARCH_SETTINGS
                )
