"""Requests that wait for a backend server: their order, and when to refuse.

It answers bursts of one kind of request, replicas that lag so that the primary serves
all reads, and the time without a primary. The more urgent request goes first. Within a
priority, those that can still be answered inside their target go before those that
cannot: under overload, first come first served would answer all of them late. Among
equals the one that came first goes first. A request is refused as soon as it is known
that it cannot be served in time, and at the latest when it has waited for the larger
part of its time.
"""

import itertools
import math

import attrs
from sortedcontainers import SortedKeyList

# A refusal after this share of the time leaves the client time for another attempt.
WAIT_SHARE = 0.45


@attrs.define(eq=False)
class QueuedRequest:
    """A statement that needs a backend server.

    Attributes
    ----------
    request_id : str
    priority : int
        0 is the most urgent.
    arrived_at : float
    deadline : float
        Instant at which the statement's time has run out.
    requirement : callable
        Returns what the request needs, as one of the classes of ``placement``.
    values_by_name : dict
        Session values that its connection must have.
    failed_server_ids : set of str
        Ids of the servers that have failed this request.
    settle : callable or None
        Called once with a lease, or with None when the request is refused.
    target_at : float
        Instant until which it must be granted to be answered inside its target.
    late : bool
        Whether that instant has passed.
    """

    request_id: str
    priority: int
    arrived_at: float
    deadline: float
    requirement: object
    values_by_name: dict = attrs.field(factory=dict)
    failed_server_ids: set = attrs.field(factory=set)
    settle: object = None
    target_at: float = math.inf
    late: bool = False
    order: int = attrs.field(factory=itertools.count().__next__)

    @property
    def refuse_at(self):
        """Instant at which the request is refused if it still waits."""
        return self.arrived_at + WAIT_SHARE * (self.deadline - self.arrived_at)


class RequestQueue:
    """Requests in the order in which they are served."""

    def __init__(self):
        self._requests = SortedKeyList(
            key=lambda one: (one.priority, one.late, one.order)
        )

    def __len__(self):
        return len(self._requests)

    def __iter__(self):
        return iter(list(self._requests))

    def add(self, request):
        """Add a request."""
        self._requests.add(request)

    def remove(self, request):
        """Remove a request; nothing happens when it has gone already."""
        self._requests.discard(request)

    def mark_late(self, now):
        """Put the requests that miss their target behind those that may meet it."""
        passed = [one for one in self._requests if not one.late and now > one.target_at]
        for one in passed:
            self._requests.remove(one)
            one.late = True
            self._requests.add(one)

    def overdue(self, now, primary_expected_at, needs_primary):
        """Return the requests to refuse now.

        Parameters
        ----------
        now : float
        primary_expected_at : float
            Instant at which a primary is likely to be known.
        needs_primary : callable
            Whether a request can only run on the primary.
        """
        return [
            one
            for one in self._requests
            if now >= one.refuse_at
            or (primary_expected_at > one.refuse_at and needs_primary(one))
        ]
