"""Naive model of admission, checked against a policy step by step."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahill.admission import AdmissionSettings, Admit, QueuedRequest
from cassiahill.messages import Rank

RANKS = st.sampled_from(Rank)


class AdmissionMachine(RuleBasedStateMachine):
    """Applies random events; ``policy_type`` is set by the tests."""

    policy_type = None
    slots = 2

    def __init__(self):
        super().__init__()
        self.settings = AdmissionSettings(self.slots)
        self.policy = self.policy_type(self.settings)
        self.now = 100.0
        self.next_id = 0
        self.waiting = {}
        self.running = {}
        self.ran = []
        self.admitted_since = {}

    @rule(
        rank=RANKS,
        caller=st.sampled_from("abc"),
        timeout=st.floats(0.01, 3.0),
        count=st.integers(1, 4),
    )
    def offer(self, rank, caller, timeout, count):
        for _ in range(count):
            self.next_id += 1
            work = QueuedRequest(self.next_id, rank, caller, self.now + timeout)
            self.waiting[work.request_id] = work
            self.apply(self.policy.offer(work, self.now))

    @rule(choice=st.integers(0, 9), after=st.floats(0.0, 0.1))
    def finish(self, choice, after):
        self.now += after
        if self.running:
            work_id = sorted(self.running)[choice % len(self.running)]
            work, started_at = self.running.pop(work_id)
            self.ran.append((work.rank, started_at, self.now))
            self.apply(self.policy.finish(work_id, self.now))

    @rule(choice=st.integers(0, 99))
    def withdraw(self, choice):
        known = sorted([*self.waiting, *self.running])
        if known:
            work_id = known[choice % len(known)]
            self.waiting.pop(work_id, None)
            self.running.pop(work_id, None)
            self.apply(self.policy.withdraw(work_id, self.now))

    @rule(seconds=st.floats(0.001, 2.0))
    def tick(self, seconds):
        self.now += seconds
        self.apply(self.policy.tick(self.now))
        late = [w for w in self.waiting.values() if w.deadline <= self.now]
        assert not late, "expired work was not dropped"

    @invariant()
    def slots_are_used_and_not_exceeded(self):
        assert len(self.running) <= self.slots, "more running than slots"
        assert not self.waiting or len(self.running) == self.slots, "a slot is free"

    def teardown(self):
        self.now += 10.0
        for work_id in list(self.running):
            del self.running[work_id]
            self.apply(self.policy.finish(work_id, self.now))
        self.apply(self.policy.tick(self.now))
        assert not self.waiting, "work without an end"

    def apply(self, decisions):
        for decision in decisions:
            work = self.waiting.pop(decision.request_id, None)
            assert work is not None, "a second end, or an end of unknown work"
            if isinstance(decision, Admit):
                assert work.deadline > self.now, "expired work was started"
                self.check_rank(work)
                self.check_turn(work)
                self.running[work.request_id] = (work, self.now)
            self.admitted_since.pop((work.rank, work.caller), None)

    def check_rank(self, admitted):
        higher = [w for w in self.waiting.values() if w.rank < admitted.rank]
        if higher:
            # The policy's window may be one bucket shorter than a second.
            used = self.slot_time(admitted.rank, 0.98)
            floor = self.settings.floors[admitted.rank] * self.slots
            assert used < floor, f"{admitted.rank.name} went before {higher[0].rank}"

    def check_turn(self, admitted):
        others = {
            (work.rank, work.caller)
            for work in self.waiting.values()
            if work.rank == admitted.rank and work.caller != admitted.caller
        }
        for other in others:
            since = self.admitted_since.setdefault(other, set())
            assert admitted.caller not in since, "a caller was passed over twice"
            since.add(admitted.caller)

    def slot_time(self, rank, window):
        begin = self.now - window
        parts = [(s, e) for r, s, e in self.ran if r == rank]
        parts += [(s, self.now) for w, s in self.running.values() if w.rank == rank]
        return sum(max(0.0, e - max(s, begin)) for s, e in parts)


def lowest_margins(policy_type, slots, seed, seconds=4.0, longest=0.02):
    """Run with a backlog of all ranks; return each rank's share over its floor.

    The smallest difference over any second is returned by rank, in seconds of slot
    time. Two of the longest statements per slot are allowed for: a rank that falls
    below its floor waits until a slot is free, and for one statement of a higher rank
    that is below its floor too.
    """
    rng = random.Random(seed)
    settings = AdmissionSettings(slots)
    policy = policy_type(settings)
    now, next_id = 100.0, 0
    works, ends, ran = {}, {}, []
    margins = dict.fromkeys(Rank, float("inf"))

    def apply(decisions):
        for decision in decisions:
            work = works.pop(decision.request_id)
            if isinstance(decision, Admit):
                ends[work.request_id] = (
                    now + rng.uniform(0.002, longest),
                    now,
                    work.rank,
                )

    def top_up():
        nonlocal next_id
        for rank in Rank:
            while sum(work.rank == rank for work in works.values()) < 4:
                next_id += 1
                works[next_id] = QueuedRequest(next_id, rank, "c", now + 1000.0)
                apply(policy.offer(works[next_id], now))

    top_up()
    while now < 100.0 + seconds:
        work_id = min(ends, key=ends.get)
        now, started_at, rank = ends.pop(work_id)
        ran.append((rank, started_at, now))
        apply(policy.finish(work_id, now))
        top_up()
        if now > 101.5:
            ran = [part for part in ran if part[2] > now - 1.0]
            for rank in Rank:
                used = sum(e - max(s, now - 1.0) for r, s, e in ran if r == rank)
                used += sum(now - s for _, s, r in ends.values() if r == rank)
                margin = used - settings.floors[rank] * slots + 2 * slots * longest
                margins[rank] = min(margins[rank], margin)
    return margins
