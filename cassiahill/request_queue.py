"""Queue of the requests that wait for a backend server.

The queue is meant for bursts of one kind of request, for lagging replicas, which leave
all reads to the primary, and for the time without a primary. Requests are served by
priority. Within a priority, those that can still meet their latency target go before
those that cannot: under overload, a plain first-in-first-out queue would answer all of
them late. Otherwise, the order is that of arrival, and in a deployment with tenants
that of ``fair_queueing``. A request is refused as soon as it is known that it cannot be
served in time, and at the latest after ``MAX_WAIT_SHARE`` of its time. In a lasting
overload that is known at its arrival, from the wait of those before it.
"""

import collections
import itertools
import math

import attrs
from sortedcontainers import SortedKeyList

from cassiahill import fair_queueing

# Fraction of the time up to a request's deadline after which a queued request is
# refused. The rest is left for another attempt of the client.
MAX_WAIT_SHARE = 0.45
# When the oldest request of a priority has waited for this fraction of its time up to
# the latency target, requests that arrive behind it are likely to miss theirs.
FULL_WAIT_SHARE = 0.8


@attrs.define(eq=False)
class QueuedRequest:
    """A request that waits for a connection to a backend server.

    Attributes
    ----------
    request_id : str
    priority : int
        0 is the most urgent.
    arrived_at : float
    deadline : float
        Instant at which the request times out.
    requirement : callable
        Returns what the request requires of its server at present: ``OnPrimary``,
        ``AtPosition`` or ``NotProvable``.
    values_by_name : dict
        Session values that the connection must have.
    failed_server_ids : set of str
        Ids of the servers at which attempts of this request have failed.
    resolve_lease : callable or None
        Called once with a ``connection_leases.ConnectionLease``, or with None when the
        request is refused.
    target_at : float
        Instant until which it must get a connection to meet its latency target.
    late : bool
        Whether ``target_at`` has passed.
    sequence_number : int
        Order of arrival.
    start_tag : float or None
        Place among the tenants' requests; None until it is first queued.
    tenant : str or None
        Tenant in whose name the connection must have been opened; None for the
        process's own name.
    """

    request_id: str
    priority: int
    arrived_at: float
    deadline: float
    requirement: object
    values_by_name: dict = attrs.field(factory=dict)
    failed_server_ids: set = attrs.field(factory=set)
    resolve_lease: object = None
    target_at: float = math.inf
    late: bool = False
    sequence_number: int = attrs.field(factory=itertools.count().__next__)
    start_tag: float | None = attrs.field(default=None, init=False)
    tenant: str | None = None

    @property
    def refuse_at(self):
        """Instant at which the request is refused if it is still queued."""
        return self.arrived_at + MAX_WAIT_SHARE * (self.deadline - self.arrived_at)


class RequestQueue:
    """Queued requests, in the order in which they are served.

    Attributes
    ----------
    weights_by_tenant : dict of str to float or None
        Weights of the tenants' requests; None in a deployment without tenants.
    """

    def __init__(self):
        self.weights_by_tenant = None
        self._orders_by_priority = collections.defaultdict(fair_queueing.FairOrder)
        self._starved = set()
        self._requests = SortedKeyList(
            key=lambda request: (
                request.priority,
                request.late,
                request.start_tag,
                request.sequence_number,
            )
        )

    def __len__(self):
        return len(self._requests)

    def __iter__(self):
        return iter(list(self._requests))

    def __contains__(self, request):
        return request in self._requests

    def waiting_tenants(self):
        """Return the tenants with queued requests."""
        return {request.tenant for request in self._requests}

    def add(self, request):
        """Queue a request; one that returns for another attempt keeps its place."""
        if request.start_tag is None:
            request.start_tag = 0.0
            if self.weights_by_tenant is not None:
                order = self._orders_by_priority[request.priority]
                request.start_tag = order.start_tag(
                    request.tenant, self._weight(request.tenant)
                )
        self._requests.add(request)

    def remove(self, request):
        """Remove a request that is not served, if it is still queued."""
        if request not in self._requests:
            return
        self._requests.remove(request)
        if self.weights_by_tenant is not None:
            self._orders_by_priority[request.priority].refund(
                request.tenant, self._weight(request.tenant)
            )

    def take(self, request):
        """Remove a request that gets a connection."""
        self._requests.discard(request)
        self._orders_by_priority[request.priority].record_served(request.start_tag)
        self.record_served(request)

    def record_served(self, request):
        """Record that a request of a priority and tenant has got a connection."""
        self._starved.discard((request.priority, request.tenant))

    def record_starved(self, request):
        """Record that a request waited in vain although there are servers for it."""
        self._starved.add((request.priority, request.tenant))

    def _weight(self, tenant):
        return self.weights_by_tenant.get(tenant, 1.0)

    def has_room_for(self, request, now):
        """Return whether a request that has just arrived may get a connection in time.

        Only requests of its own tenant are considered: those of a tenant that floods
        the group wait for long, while others are served before them.

        Parameters
        ----------
        request : QueuedRequest
            A request that is queued and could not be served at once.
        now : float
        """
        for other in self._requests:
            if (
                other is request
                or other.priority != request.priority
                or other.tenant != request.tenant
            ):
                continue
            if (request.priority, request.tenant) in self._starved:
                return False
            full_wait_seconds = FULL_WAIT_SHARE * (other.target_at - other.arrived_at)
            return other.late or now - other.arrived_at < full_wait_seconds
        return True

    def mark_late(self, now):
        """Move requests that miss their target behind others of their priority."""
        newly_late = [
            request
            for request in self._requests
            if not request.late and now > request.target_at
        ]
        for request in newly_late:
            self._requests.remove(request)
            request.late = True
            self._requests.add(request)

    def overdue(self, now, primary_expected_at, needs_primary):
        """Return the requests to refuse now.

        Parameters
        ----------
        now : float
        primary_expected_at : float
            Instant at which a primary is likely to be known and reachable.
        needs_primary : callable
            Takes a request and returns whether it cannot run without the primary.

        Returns
        -------
        list of QueuedRequest
        """
        return [
            request
            for request in self._requests
            if now >= request.refuse_at
            or (primary_expected_at > request.refuse_at and needs_primary(request))
        ]
