"""Tests of ``cassiahill.request_executor`` with two owners, faults and transactions."""

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
from tests.simulated_backend import Asked, batch

PROFILE = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=30,
    database=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
# A broken version ends the search at its first failure; more examples keep the verdict
# from depending on small changes of the code, from which hypothesis draws constants.
SEARCH = settings(PROFILE, max_examples=1000)
LIMIT, RESERVE = 6, 2
FAULTS = st.sampled_from(
    (None, None, None, "close", "silent", errors.StatementFailed())
)


class RunnerMachine(RuleBasedStateMachine):
    """Two proxies claim one server in turn while faults happen."""

    def __init__(self):
        super().__init__()
        self.loop = simulated_backend.SimulatedLoop()
        self.server = simulated_backend.FakeServer(slots=2, service=0.02)
        self.owners = [
            owned_servers.OwnedServer(
                self.loop,
                simulated_backend.FakeBackend(self.server, self.loop),
                self.server.settings(LIMIT),
                name,
                RankedAdmission(AdmissionSettings(2)),
                random.Random(1),
            )
            for name in "ab"
        ]
        self.owners[0].claim(0)
        self.futures_by_tag = {}
        self.begun = []
        self.refused = set()

    @rule(
        owner=st.integers(0, 1),
        count=st.integers(1, 5),
        read_only=st.booleans(),
        rank=st.sampled_from(Rank),
        timeout=st.floats(0.001, 2.0),
        fault=FAULTS,
    )
    def submit(self, owner, count, read_only, rank, timeout, fault):
        asked = Asked(rank, "c", self.loop.clock.now() + timeout)
        for _ in range(count):
            tag = self.new_tag("r" if read_only else "w", fault)
            self.futures_by_tag[tag] = self.owners[owner].submit(
                asked, batch(tag, read_only, timeout)
            )

    @rule(owner=st.integers(0, 1))
    def begin(self, owner):
        asked = Asked(deadline=self.loop.clock.now() + 1.0)
        self.begun.append(self.owners[owner].open_transaction(asked, 1))
        self.loop.run_for(0.05)

    @rule(choice=st.integers(0, 9), fault=FAULTS, timeout=st.floats(0.001, 1.0))
    def execute(self, choice, fault, timeout):
        opened = [f for f in self.begun if f.done() and f.exception() is None]
        if opened:
            future = opened[choice % len(opened)]
            tag = self.new_tag(f"x{self.begun.index(future)}", fault)
            deadline = self.loop.clock.now() + timeout
            self.futures_by_tag[tag] = future.result().execute(
                batch(tag, False, timeout), deadline
            )

    @rule(
        choice=st.integers(0, 9), how=st.sampled_from(("commit", "rollback", "close"))
    )
    def end(self, choice, how):
        opened = [f for f in self.begun if f.done() and f.exception() is None]
        if opened:
            transaction = opened[choice % len(opened)].result()
            if how == "close":
                transaction.close()
            else:
                deadline = self.loop.clock.now() + 1.0
                tag = f"end{len(self.futures_by_tag)}"
                self.futures_by_tag[tag] = getattr(transaction, how)(deadline)

    @rule(owner=st.integers(0, 1), release=st.booleans())
    def claim(self, owner, release):
        if release:
            self.owners[1 - owner].release()
        self.owners[owner].claim(self.server.epoch)

    @rule(seconds=st.floats(0.001, 0.5))
    def advance(self, seconds):
        self.loop.run_for(seconds)

    @invariant()
    def limits_hold(self):
        assert self.server.most_running <= self.server.slots, "over the slots"
        assert self.server.most_connections <= LIMIT - RESERVE, "over the limit"

    def teardown(self):
        self.loop.run_for(5.0)
        for server in self.owners:
            server.close()
        self.loop.close()
        given = set(self.server.given)
        for tag, future in self.futures_by_tag.items():
            assert future.done(), f"{tag} has no end"
            if isinstance(future.exception(), errors.NotRunError):
                assert tag not in given or tag in self.refused, f"{tag} may have run"
        writes = [tag for tag in self.server.given if tag.startswith(("w", "x"))]
        assert len(writes) == len(set(writes)), "a write was sent twice"
        for tags in self.server.users_by_connection.values():
            self.check_connection(tags)

    def new_tag(self, prefix, fault):
        tag = f"{prefix}-{len(self.futures_by_tag)}"
        if fault is not None:
            self.server.fail[tag] = fault
        if isinstance(fault, Exception):
            self.refused.add(tag)
        return tag

    @staticmethod
    def check_connection(tags):
        """Check that one session serves one transaction or write before a reset."""
        users = set()
        for tag in tags:
            if tag == "reset":
                users.clear()
                continue
            user = tag.split("-")[0] if tag.startswith("x") else tag
            if tag.startswith("r-"):
                assert not users, f"{tag} in the session of {users}"
            elif tag not in ("begin", "commit", "rollback"):
                users.add(user)
                assert len(users) == 1, f"one session served {users}"


class RequestExecutorTest(unittest.TestCase):
    def test_invariants_hold(self):
        """Guards against wrong ends, mixed transactions and exceeded limits."""
        run_state_machine_as_test(RunnerMachine, settings=PROFILE)

    def test_model_rejects_broken_versions(self):
        """Guards against checks that accept anything."""
        for broken, reason in broken_admission.BROKEN_EXECUTORS.items():
            with (
                self.subTest(broken.__name__),
                mock.patch.object(request_executor, "RequestExecutor", broken),
                self.assertRaisesRegex(AssertionError, reason),
            ):
                run_state_machine_as_test(RunnerMachine, settings=SEARCH)
