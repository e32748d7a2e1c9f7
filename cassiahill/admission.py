"""Ranked queue for a backend server's slots, without I/O.

Ranks have strict priority, except that a rank whose share of the slot time of the last
second is below its floor goes first. Within a rank, callers are served in turn.
"""

import collections

import attrs

from cassiahill import errors, kernel
from cassiahill.messages import Rank
from cassiahill.slot_time import ServiceTime, SlotTime

MIN_RETRY_AFTER = 0.05
MAX_RETRY_AFTER = 5.0


@attrs.frozen
class QueuedRequest:
    """One statement that waits for a slot; ``deadline`` is an instant in seconds."""

    request_id: int
    rank: Rank
    caller: str
    deadline: float


@attrs.frozen
class Admit:
    """The work has a slot until ``finish`` or ``withdraw``."""

    request_id: int


@attrs.frozen
class Reject:
    """The work never ran and never will."""

    request_id: int
    error: errors.NotRunError


def _default_floors():
    return {Rank.URGENT: 0.20, Rank.LOOKUP: 0.15, Rank.ROUTINE: 0.05}


def _default_queue_limits():
    return {Rank.URGENT: 512, Rank.LOOKUP: 512, Rank.ROUTINE: 256}


@attrs.frozen
class AdmissionSettings:
    """Settings of one backend server's queue.

    Attributes
    ----------
    slots : int
        Statements that may run at once.
    floors : dict of Rank to float
        Smallest share of the slot time of the last second while a rank has work.
    queue_limits : dict of Rank to int
        Most works that wait in a rank.
    window : float
        Seconds over which the shares are measured.
    """

    slots: int
    floors: dict = attrs.field(factory=_default_floors)
    queue_limits: dict = attrs.field(factory=_default_queue_limits)
    window: float = 1.0

    def __attrs_post_init__(self):
        if self.slots < 1:
            raise errors.InvalidSettings("slots must be at least 1")
        if min(self.floors.values()) < 0 or sum(self.floors.values()) > 1:
            raise errors.InvalidSettings(
                "floors must be shares with a sum of at most 1"
            )


class AdmissionPolicy:
    """Decides which work gets a slot next.

    Every offered work is answered exactly once, with ``Admit`` or ``Reject``, unless it
    is withdrawn first. ``now`` never decreases.
    """

    def offer(self, work, now):
        """Queue a work; return the decisions that follow."""
        raise NotImplementedError

    def finish(self, work_id, now):
        """Free the slot of a work that ran; return the decisions that follow."""
        raise NotImplementedError

    def withdraw(self, work_id, now):
        """Forget a work that waits, or whose slot was not used."""
        raise NotImplementedError

    def tick(self, now):
        """Reject expired works; return the decisions that follow."""
        raise NotImplementedError

    def clear(self):
        """Forget all waiting works at once; return their ids."""
        raise NotImplementedError

    def dump(self, now):
        """Return the state as plain values."""
        raise NotImplementedError


class _RankQueue:
    """Waiting works of one rank; callers take turns."""

    def __init__(self):
        self._works_by_caller = {}
        self._turns = collections.deque()
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self):
        for works in self._works_by_caller.values():
            yield from works

    def ahead_of(self, caller):
        """Return how many works start before a new work of the caller."""
        works = self._works_by_caller.get(caller)
        turns = 1 if works is None else len(works) + 1
        return min(self._length, turns * len(self._turns))

    def push(self, work):
        works = self._works_by_caller.get(work.caller)
        if works is None:
            works = self._works_by_caller[work.caller] = collections.deque()
            self._turns.append(work.caller)
        works.append(work)
        self._length += 1

    def pop(self):
        caller = self._turns.popleft()
        works = self._works_by_caller[caller]
        work = works.popleft()
        self._length -= 1
        if works:
            self._turns.append(caller)
        else:
            del self._works_by_caller[caller]
        return work

    def displace_for(self, caller):
        """Remove the newest work of the caller with the longest backlog.

        Returns
        -------
        QueuedRequest or None
            None when ``caller`` has no shorter backlog itself.
        """
        own = len(self._works_by_caller.get(caller, ()))
        if own >= self._length // len(self._turns):
            return None
        longest = max(self._turns, key=lambda c: len(self._works_by_caller[c]))
        works = self._works_by_caller[longest]
        if len(works) <= own + 1:
            return None
        self._length -= 1
        return works.pop()

    def remove(self, unwanted):
        """Remove and return the works for which ``unwanted(work)`` is true."""
        removed = [work for work in self if unwanted(work)]
        for work in removed:
            works = self._works_by_caller[work.caller]
            works.remove(work)
            self._length -= 1
            if not works:
                del self._works_by_caller[work.caller]
                self._turns.remove(work.caller)
        return removed


@kernel.register("admission", "ranked")
class RankedAdmission(AdmissionPolicy):
    """Strict priority with floors, callers in turn, and early refusal.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    def __init__(self, settings):
        self._settings = settings
        self._queues = {rank: _RankQueue() for rank in Rank}
        self._slot_times = {rank: SlotTime(settings.window) for rank in Rank}
        self._service_times = {rank: ServiceTime() for rank in Rank}
        self._running = {}
        self._capacity = settings.slots * settings.window

    def offer(self, work, now):
        """Queue a work, or refuse it when it would not finish in time."""
        if work.deadline <= now:
            return [_expired(work)]
        if len(self._running) < self._settings.slots and not any(self._queues.values()):
            return [self._start(work, now)]
        wait = self._estimated_wait(work, now)
        slack = work.deadline - now - self._service_times[work.rank].mean(now)
        if wait > slack:
            return [_refused(work, wait - slack)]
        return self._enqueue(work, wait) + self._fill(now)

    def finish(self, work_id, now):
        """Free the slot of a work that ran."""
        work, started_at = self._running.pop(work_id)
        self._slot_times[work.rank].add(started_at, now)
        self._service_times[work.rank].add(now - started_at, now)
        return self._fill(now)

    def withdraw(self, work_id, now):
        """Forget a work without counting it."""
        if self._running.pop(work_id, None) is None:
            for queue in self._queues.values():
                queue.remove(lambda work: work.request_id == work_id)
        return self._fill(now)

    def tick(self, now):
        """Reject expired works."""
        decisions = []
        for queue in self._queues.values():
            if queue:
                expired = queue.remove(lambda work: work.deadline <= now)
                decisions.extend(_expired(work) for work in expired)
        return decisions + self._fill(now)

    def clear(self):
        """Forget all waiting works."""
        work_ids = [
            work.request_id for queue in self._queues.values() for work in queue
        ]
        self._queues = {rank: _RankQueue() for rank in Rank}
        return work_ids

    def dump(self, now):
        """Return queue lengths, shares of the slot time and service times."""
        return {
            "slots": self._settings.slots,
            "running": len(self._running),
            "waiting": {r.name.lower(): len(q) for r, q in self._queues.items()},
            "share": {
                rank.name.lower(): round(self._used(rank, now) / self._capacity, 4)
                for rank in Rank
            },
            "service_ms": {
                rank.name.lower(): round(self._service_times[rank].mean(now) * 1000, 3)
                for rank in Rank
            },
        }

    def _enqueue(self, work, wait):
        queue = self._queues[work.rank]
        decisions = []
        if len(queue) >= self._settings.queue_limits[work.rank]:
            displaced = queue.displace_for(work.caller)
            if displaced is None:
                return [_refused(work, wait)]
            decisions.append(_refused(displaced, wait))
        queue.push(work)
        return decisions

    def _start(self, work, now):
        self._running[work.request_id] = (work, now)
        return Admit(work.request_id)

    def _fill(self, now):
        decisions = []
        while len(self._running) < self._settings.slots:
            rank = self._next_rank(now)
            if rank is None:
                break
            work = self._queues[rank].pop()
            # A request that cannot finish in time would only cost others its slot.
            if now + self._service_times[rank].mean(now) >= work.deadline:
                decisions.append(_expired(work))
            else:
                decisions.append(self._start(work, now))
        return decisions

    def _next_rank(self, now):
        waiting = [rank for rank, queue in self._queues.items() if queue]
        if len(waiting) > 1:
            for rank in waiting:
                floor = self._settings.floors[rank] * self._capacity
                if self._used(rank, now) < floor:
                    return rank
        return waiting[0] if waiting else None

    def _used(self, rank, now):
        """Return the slot time of a rank.

        Running works count only as long as they have run. Charging them their mean
        service time kept the shares 0.1 points below the floors in ``bench.flood``.
        """
        used = self._slot_times[rank].total(now)
        for work, started_at in self._running.values():
            if work.rank == rank:
                used += min(now - started_at, self._settings.window)
        return used

    def _estimated_wait(self, work, now):
        """Return the expected seconds until a new work would start.

        It is the shorter of the wait at the floor's rate and the wait at the rate that
        higher ranks and the floors of lower ranks leave.
        """
        slots = self._settings.slots
        own_time = self._queues[work.rank].ahead_of(work.caller)
        own_time *= self._service_times[work.rank].mean(now)
        ahead, rate = own_time, 1.0
        for rank, queue in self._queues.items():
            if rank < work.rank:
                ahead += len(queue) * self._service_times[rank].mean(now)
                rate -= self._used(rank, now) / self._capacity
            elif rank > work.rank and queue:
                rate -= self._settings.floors[rank]
        wait = ahead / (slots * max(rate, 0.001))
        floor = self._settings.floors[work.rank]
        return min(wait, own_time / (slots * floor)) if floor else wait


@kernel.register("admission", "fifo")
class FifoAdmission(AdmissionPolicy):
    """One first-in, first-out queue for all ranks; the baseline of ``bench.flood``.

    Parameters
    ----------
    settings : AdmissionSettings
        Only the slots and the sum of the queue limits are used.
    """

    def __init__(self, settings):
        self._slots = settings.slots
        self._limit = sum(settings.queue_limits.values())
        self._works = collections.deque()
        self._running = set()

    def offer(self, work, now):
        """Queue a work unless the queue is full."""
        if len(self._works) >= self._limit:
            return [_refused(work, 0.0)]
        self._works.append(work)
        return self._fill(now)

    def finish(self, work_id, now):
        """Free a slot."""
        self._running.remove(work_id)
        return self._fill(now)

    def withdraw(self, work_id, now):
        """Forget a work."""
        self._running.discard(work_id)
        self._works = collections.deque(
            w for w in self._works if w.request_id != work_id
        )
        return self._fill(now)

    def tick(self, now):
        """Start works; expired ones are dropped when their turn comes."""
        return self._fill(now)

    def clear(self):
        """Forget all waiting works."""
        works, self._works = self._works, collections.deque()
        return [work.request_id for work in works]

    def dump(self, now):
        """Return the lengths."""
        return {"running": len(self._running), "waiting": {"all": len(self._works)}}

    def _fill(self, now):
        decisions = []
        while self._works and len(self._running) < self._slots:
            work = self._works.popleft()
            if work.deadline <= now:
                decisions.append(_expired(work))
            else:
                self._running.add(work.request_id)
                decisions.append(Admit(work.request_id))
        return decisions


def _expired(work):
    return Reject(
        work.request_id, errors.DeadlinePassed("the deadline passed in the queue")
    )


def _refused(work, retry_after):
    retry_after = min(max(retry_after, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    name = work.rank.name.lower()
    error = errors.Overloaded(f"the {name} queue is too long", retry_after=retry_after)
    return Reject(work.request_id, error)
