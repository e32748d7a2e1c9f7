"""Simple model of admission; compares a policy with it after each event."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahill.admission import AdmissionSettings, Admit, QueuedRequest
from cassiahill.messages import Rank

RANKS = st.sampled_from(Rank)


class AdmissionMachine(RuleBasedStateMachine):
    """Applies random events to a policy; subclasses set ``policy_type``."""

    policy_type = None
    slots = 2

    def __init__(self):
        super().__init__()
        self.settings = AdmissionSettings(self.slots)
        self.policy = self.policy_type(self.settings)
        self.now = 100.0
        self.last_request_id = 0
        self.waiting = {}
        self.running = {}
        self.finished_runs = []
        self.admitted_callers_by_waiting = {}

    @rule(
        rank=RANKS,
        caller=st.sampled_from("abc"),
        timeout=st.floats(0.01, 3.0),
        count=st.integers(1, 4),
    )
    def offer(self, rank, caller, timeout, count):
        for _ in range(count):
            self.last_request_id += 1
            request = QueuedRequest(
                self.last_request_id, rank, caller, self.now + timeout
            )
            self.waiting[request.request_id] = request
            self.apply(self.policy.offer(request, self.now))

    @rule(index=st.integers(0, 9), seconds=st.floats(0.0, 0.1))
    def finish(self, index, seconds):
        self.now += seconds
        if self.running:
            request_id = sorted(self.running)[index % len(self.running)]
            request, started_at = self.running.pop(request_id)
            self.finished_runs.append((request.rank, started_at, self.now))
            self.apply(self.policy.finish(request_id, self.now))

    @rule(index=st.integers(0, 99))
    def withdraw(self, index):
        pending_ids = sorted([*self.waiting, *self.running])
        if pending_ids:
            request_id = pending_ids[index % len(pending_ids)]
            self.waiting.pop(request_id, None)
            self.running.pop(request_id, None)
            self.apply(self.policy.withdraw(request_id, self.now))

    @rule(seconds=st.floats(0.001, 2.0))
    def tick(self, seconds):
        self.now += seconds
        self.apply(self.policy.tick(self.now))
        expired = [
            request for request in self.waiting.values() if request.deadline <= self.now
        ]
        assert not expired, "an expired request was not dropped"

    @invariant()
    def slots_are_used_and_not_exceeded(self):
        assert len(self.running) <= self.slots, "more running than slots"
        assert not self.waiting or len(self.running) == self.slots, "a slot is free"

    def teardown(self):
        self.now += 10.0
        for request_id in list(self.running):
            del self.running[request_id]
            self.apply(self.policy.finish(request_id, self.now))
        self.apply(self.policy.tick(self.now))
        assert not self.waiting, "a request without a decision"

    def apply(self, decisions):
        for decision in decisions:
            request = self.waiting.pop(decision.request_id, None)
            assert request is not None, (
                "a second decision, or one of an unknown request"
            )
            if isinstance(decision, Admit):
                assert request.deadline > self.now, "an expired request was started"
                self.check_rank_order(request)
                self.check_caller_order(request)
                self.running[request.request_id] = (request, self.now)
            self.admitted_callers_by_waiting.pop((request.rank, request.caller), None)

    def check_rank_order(self, admitted):
        higher = [
            request for request in self.waiting.values() if request.rank < admitted.rank
        ]
        if higher:
            # The policy's window may be shorter than a second by one bucket (2 %).
            used = self.used_slot_time(admitted.rank, 0.98)
            floor = self.settings.floors[admitted.rank] * self.slots
            assert used < floor, f"{admitted.rank.name} went before {higher[0].rank}"

    def check_caller_order(self, admitted):
        other_callers = {
            (request.rank, request.caller)
            for request in self.waiting.values()
            if request.rank == admitted.rank and request.caller != admitted.caller
        }
        for other in other_callers:
            admitted_callers = self.admitted_callers_by_waiting.setdefault(other, set())
            assert admitted.caller not in admitted_callers, (
                "a caller was passed over twice"
            )
            admitted_callers.add(admitted.caller)

    def used_slot_time(self, rank, window_seconds):
        window_start = self.now - window_seconds
        runs = [
            (started_at, ended_at)
            for run_rank, started_at, ended_at in self.finished_runs
            if run_rank == rank
        ]
        runs += [
            (started_at, self.now)
            for request, started_at in self.running.values()
            if request.rank == rank
        ]
        return sum(
            max(0.0, ended_at - max(started_at, window_start))
            for started_at, ended_at in runs
        )


def lowest_margin_by_rank(policy_type, slots, seed, seconds=4.0, longest_seconds=0.02):
    """Return the smallest margin of each rank's slot time over its floor.

    All ranks have a backlog. The margin is the slot time of a rank in any second, less
    its floor, in seconds. Two statements of the longest duration per slot are allowed
    for: a rank that falls below its floor waits until a slot is free, and for one
    statement of a higher rank that is below its floor too.

    Parameters
    ----------
    policy_type : type
    slots, seed : int
    seconds : float
        Duration of the simulated run.
    longest_seconds : float
        Longest duration of a statement.

    Returns
    -------
    dict of Rank to float
    """
    rng = random.Random(seed)
    settings = AdmissionSettings(slots)
    policy = policy_type(settings)
    now, last_request_id = 100.0, 0
    requests, running_by_id, finished_runs = {}, {}, []
    margin_by_rank = dict.fromkeys(Rank, float("inf"))

    def apply(decisions):
        for decision in decisions:
            request = requests.pop(decision.request_id)
            if isinstance(decision, Admit):
                running_by_id[request.request_id] = (
                    now + rng.uniform(0.002, longest_seconds),
                    now,
                    request.rank,
                )

    def fill_queues():
        nonlocal last_request_id
        for rank in Rank:
            while sum(request.rank == rank for request in requests.values()) < 4:
                last_request_id += 1
                requests[last_request_id] = QueuedRequest(
                    last_request_id, rank, "c", now + 1000.0
                )
                apply(policy.offer(requests[last_request_id], now))

    fill_queues()
    while now < 100.0 + seconds:
        request_id = min(running_by_id, key=running_by_id.get)
        now, started_at, rank = running_by_id.pop(request_id)
        finished_runs.append((rank, started_at, now))
        apply(policy.finish(request_id, now))
        fill_queues()
        if now > 101.5:
            finished_runs = [run for run in finished_runs if run[2] > now - 1.0]
            for rank in Rank:
                used = sum(
                    ended_at - max(started_at, now - 1.0)
                    for run_rank, started_at, ended_at in finished_runs
                    if run_rank == rank
                )
                used += sum(
                    now - started_at
                    for _, started_at, run_rank in running_by_id.values()
                    if run_rank == rank
                )
                margin = (
                    used - settings.floors[rank] * slots + 2 * slots * longest_seconds
                )
                margin_by_rank[rank] = min(margin_by_rank[rank], margin)
    return margin_by_rank
