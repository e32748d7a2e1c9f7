"""Admission of requests to the slots of a backend server, without I/O.

A slot is the right to run one statement at the server. Ranks have strict priority,
except that a rank whose share of the slot time of the last second is below its floor
goes first. Within a rank, callers are served round-robin.
"""

import collections

import attrs

from cassiahill import errors, kernel
from cassiahill.messages import Rank
from cassiahill.slot_time import ServiceTime, SlotTime

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 5.0


@attrs.frozen
class QueuedRequest:
    """A request that waits for a slot; ``deadline`` is an instant in seconds."""

    request_id: int
    rank: Rank
    caller: str
    deadline: float


@attrs.frozen
class Admit:
    """Decision: the request has a slot until ``finish`` or ``withdraw``."""

    request_id: int


@attrs.frozen
class Reject:
    """Decision: the request is refused; it did not run."""

    request_id: int
    error: errors.NotRunError


def _default_floors():
    return {Rank.URGENT: 0.20, Rank.LOOKUP: 0.15, Rank.ROUTINE: 0.05}


def _default_queue_limits():
    return {Rank.URGENT: 512, Rank.LOOKUP: 512, Rank.ROUTINE: 256}


@attrs.frozen
class AdmissionSettings:
    """Settings of the admission to one backend server.

    Attributes
    ----------
    slots : int
        Statements that may run at once.
    floors : dict of Rank to float
        Smallest share of the slot time that a rank gets while its requests wait.
    queue_limits : dict of Rank to int
        Largest number of requests of a rank that wait.
    window_seconds : float
        Length of the sliding window in which the shares are measured.
    """

    slots: int
    floors: dict = attrs.field(factory=_default_floors)
    queue_limits: dict = attrs.field(factory=_default_queue_limits)
    window_seconds: float = 1.0

    def __attrs_post_init__(self):
        if self.slots < 1:
            raise errors.InvalidSettings("slots must be at least 1")
        if min(self.floors.values()) < 0 or sum(self.floors.values()) > 1:
            raise errors.InvalidSettings(
                "floors must be shares with a sum of at most 1"
            )


class AdmissionPolicy:
    """Decides which request gets the next free slot.

    Each offered request gets exactly one decision, ``Admit`` or ``Reject``, unless it
    is withdrawn first. The instants ``now``, in seconds, must not decrease.
    """

    def offer(self, request, now):
        """Queue a ``QueuedRequest``; return the resulting decisions."""
        raise NotImplementedError

    def finish(self, request_id, now):
        """Free the slot of a request that ran; return the resulting decisions."""
        raise NotImplementedError

    def withdraw(self, request_id, now):
        """Remove a request that waits or did not use its slot.

        Returns
        -------
        list of Admit or Reject
        """
        raise NotImplementedError

    def tick(self, now):
        """Reject requests past their deadline; return the resulting decisions."""
        raise NotImplementedError

    def clear(self):
        """Remove all waiting requests without decisions; return their ids."""
        raise NotImplementedError

    def dump(self, now):
        """Return the state of the queue for operators, as values for JSON."""
        raise NotImplementedError


class _RankQueue:
    """Waiting requests of one rank; callers are served round-robin."""

    def __init__(self):
        self._requests_by_caller = {}
        self._caller_order = collections.deque()
        self._request_count = 0

    def __len__(self):
        return self._request_count

    def __iter__(self):
        for requests in self._requests_by_caller.values():
            yield from requests

    def count_ahead_of(self, caller):
        """Return how many requests start before a new request of the caller."""
        requests = self._requests_by_caller.get(caller)
        rounds = 1 if requests is None else len(requests) + 1
        return min(self._request_count, rounds * len(self._caller_order))

    def push(self, request):
        requests = self._requests_by_caller.get(request.caller)
        if requests is None:
            requests = self._requests_by_caller[request.caller] = collections.deque()
            self._caller_order.append(request.caller)
        requests.append(request)
        self._request_count += 1

    def pop(self):
        caller = self._caller_order.popleft()
        requests = self._requests_by_caller[caller]
        request = requests.popleft()
        self._request_count -= 1
        if requests:
            self._caller_order.append(caller)
        else:
            del self._requests_by_caller[caller]
        return request

    def displace_newest(self, caller):
        """Remove the newest request of the caller with the longest backlog.

        Parameters
        ----------
        caller : str
            Caller of the request that needs a place.

        Returns
        -------
        QueuedRequest or None
            None when the longest backlog would not exceed that of ``caller``.
        """
        own_count = len(self._requests_by_caller.get(caller, ()))
        if own_count >= self._request_count // len(self._caller_order):
            return None
        busiest_caller = max(
            self._caller_order,
            key=lambda other_caller: len(self._requests_by_caller[other_caller]),
        )
        requests = self._requests_by_caller[busiest_caller]
        if len(requests) <= own_count + 1:
            return None
        self._request_count -= 1
        return requests.pop()

    def remove(self, should_remove):
        """Remove and return the requests for which ``should_remove`` is true."""
        removed = [request for request in self if should_remove(request)]
        for request in removed:
            requests = self._requests_by_caller[request.caller]
            requests.remove(request)
            self._request_count -= 1
            if not requests:
                del self._requests_by_caller[request.caller]
                self._caller_order.remove(request.caller)
        return removed


@kernel.register("admission", "ranked")
class RankedAdmission(AdmissionPolicy):
    """Strict priority with floors, round-robin among callers, and early refusal.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    def __init__(self, settings):
        self._settings = settings
        self._queues = {rank: _RankQueue() for rank in Rank}
        self._slot_times = {rank: SlotTime(settings.window_seconds) for rank in Rank}
        self._service_times = {rank: ServiceTime() for rank in Rank}
        self._running = {}
        self._window_slot_time = settings.slots * settings.window_seconds

    def offer(self, request, now):
        """Queue a request, or refuse it when it would not end by its deadline."""
        if request.deadline <= now:
            return [_reject_expired(request)]
        if len(self._running) < self._settings.slots and not any(self._queues.values()):
            return [self._start_request(request, now)]
        wait_seconds = self._estimated_wait(request, now)
        slack_seconds = (
            request.deadline - now - self._service_times[request.rank].mean(now)
        )
        if wait_seconds > slack_seconds:
            return [_reject_overloaded(request, wait_seconds - slack_seconds)]
        return self._enqueue_request(request, wait_seconds) + self._fill_slots(now)

    def finish(self, request_id, now):
        """Free the slot of a request that ran, and record its service time."""
        request, started_at = self._running.pop(request_id)
        self._slot_times[request.rank].add(started_at, now)
        self._service_times[request.rank].add(now - started_at, now)
        return self._fill_slots(now)

    def withdraw(self, request_id, now):
        """Remove a request without recording a service time."""
        if self._running.pop(request_id, None) is None:
            for queue in self._queues.values():
                queue.remove(lambda request: request.request_id == request_id)
        return self._fill_slots(now)

    def tick(self, now):
        """Reject requests past their deadline."""
        decisions = []
        for queue in self._queues.values():
            if queue:
                expired = queue.remove(lambda request: request.deadline <= now)
                decisions.extend(_reject_expired(request) for request in expired)
        return decisions + self._fill_slots(now)

    def clear(self):
        """Remove all waiting requests; return their ids."""
        request_ids = [
            request.request_id for queue in self._queues.values() for request in queue
        ]
        self._queues = {rank: _RankQueue() for rank in Rank}
        return request_ids

    def dump(self, now):
        """Return queue lengths, shares of the slot time and service times by rank."""
        return {
            "slots": self._settings.slots,
            "running": len(self._running),
            "waiting": {
                rank.name.lower(): len(queue) for rank, queue in self._queues.items()
            },
            "share": {
                rank.name.lower(): round(
                    self._used_slot_time(rank, now) / self._window_slot_time, 4
                )
                for rank in Rank
            },
            "service_ms": {
                rank.name.lower(): round(self._service_times[rank].mean(now) * 1000, 3)
                for rank in Rank
            },
        }

    def _enqueue_request(self, request, wait_seconds):
        queue = self._queues[request.rank]
        decisions = []
        if len(queue) >= self._settings.queue_limits[request.rank]:
            displaced = queue.displace_newest(request.caller)
            if displaced is None:
                return [_reject_overloaded(request, wait_seconds)]
            decisions.append(_reject_overloaded(displaced, wait_seconds))
        queue.push(request)
        return decisions

    def _start_request(self, request, now):
        self._running[request.request_id] = (request, now)
        return Admit(request.request_id)

    def _fill_slots(self, now):
        decisions = []
        while len(self._running) < self._settings.slots:
            rank = self._next_rank(now)
            if rank is None:
                break
            request = self._queues[rank].pop()
            # A request that cannot end by its deadline would occupy a slot in vain.
            if now + self._service_times[rank].mean(now) >= request.deadline:
                decisions.append(_reject_expired(request))
            else:
                decisions.append(self._start_request(request, now))
        return decisions

    def _next_rank(self, now):
        waiting = [rank for rank, queue in self._queues.items() if queue]
        if len(waiting) > 1:
            for rank in waiting:
                floor = self._settings.floors[rank] * self._window_slot_time
                if self._used_slot_time(rank, now) < floor:
                    return rank
        return waiting[0] if waiting else None

    def _used_slot_time(self, rank, now):
        """Return the slot time that a rank used in the window, in seconds.

        Running requests count for the time they have run so far. Counting their mean
        service time instead kept the shares 0.1 percentage points below the floors in
        ``bench.flood``.
        """
        used = self._slot_times[rank].total(now)
        for request, started_at in self._running.values():
            if request.rank == rank:
                used += min(now - started_at, self._settings.window_seconds)
        return used

    def _estimated_wait(self, request, now):
        """Return the expected seconds until a new request would start.

        This is the shorter of two times: at the rate that the floor guarantees, and at
        the rate that remains beside higher ranks and the floors of lower ranks.
        """
        slots = self._settings.slots
        own_queue_seconds = self._queues[request.rank].count_ahead_of(request.caller)
        own_queue_seconds *= self._service_times[request.rank].mean(now)
        queue_seconds, rate = own_queue_seconds, 1.0
        for rank, queue in self._queues.items():
            if rank < request.rank:
                queue_seconds += len(queue) * self._service_times[rank].mean(now)
                rate -= self._used_slot_time(rank, now) / self._window_slot_time
            elif rank > request.rank and queue:
                rate -= self._settings.floors[rank]
        wait_seconds = queue_seconds / (slots * max(rate, 0.001))
        floor = self._settings.floors[request.rank]
        return (
            min(wait_seconds, own_queue_seconds / (slots * floor))
            if floor
            else wait_seconds
        )


@kernel.register("admission", "fifo")
class FifoAdmission(AdmissionPolicy):
    """One first-in, first-out queue for all ranks: the baseline of ``bench.flood``.

    Parameters
    ----------
    settings : AdmissionSettings
        Only the slots and the sum of the queue limits are used.
    """

    def __init__(self, settings):
        self._slots = settings.slots
        self._max_waiting = sum(settings.queue_limits.values())
        self._requests = collections.deque()
        self._running = set()

    def offer(self, request, now):
        """Queue a request unless the queue is full."""
        if len(self._requests) >= self._max_waiting:
            return [_reject_overloaded(request, 0.0)]
        self._requests.append(request)
        return self._fill_slots(now)

    def finish(self, request_id, now):
        """Free the slot of a request that ran."""
        self._running.remove(request_id)
        return self._fill_slots(now)

    def withdraw(self, request_id, now):
        """Remove a request."""
        self._running.discard(request_id)
        self._requests = collections.deque(
            request for request in self._requests if request.request_id != request_id
        )
        return self._fill_slots(now)

    def tick(self, now):
        """Fill free slots; expired requests are rejected when they reach the front."""
        return self._fill_slots(now)

    def clear(self):
        """Remove all waiting requests; return their ids."""
        requests, self._requests = self._requests, collections.deque()
        return [request.request_id for request in requests]

    def dump(self, now):
        """Return the numbers of running and waiting requests."""
        return {"running": len(self._running), "waiting": {"all": len(self._requests)}}

    def _fill_slots(self, now):
        decisions = []
        while self._requests and len(self._running) < self._slots:
            request = self._requests.popleft()
            if request.deadline <= now:
                decisions.append(_reject_expired(request))
            else:
                self._running.add(request.request_id)
                decisions.append(Admit(request.request_id))
        return decisions


def _reject_expired(request):
    return Reject(
        request.request_id, errors.DeadlinePassed("the deadline passed in the queue")
    )


def _reject_overloaded(request, retry_after):
    retry_after = min(
        max(retry_after, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
    )
    name = request.rank.name.lower()
    error = errors.Overloaded(f"the {name} queue is too long", retry_after=retry_after)
    return Reject(request.request_id, error)
