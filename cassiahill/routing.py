"""Choice of the backend server for a request.

Policies are plug-ins of the kind ``routing``. They do no I/O: the time, the view of the
group and the numbers of waiting requests are parameters.
"""

import attrs

from cassiahill import errors, freshness, kernel, messages

# Longest time until a waiting request is routed again. The dispatcher routes it earlier
# when the view changes.
MAX_REROUTE_DELAY_SECONDS = 0.02
# A request with less time left is refused, because its statement would end after the
# deadline.
MIN_REMAINING_SECONDS = 0.002


@attrs.frozen
class ToServer:
    """Decision: send the request to a backend server, in the view's term."""

    server: str


@attrs.frozen
class WaitUntil:
    """Decision: route again at ``at``, in seconds, or when the view changes."""

    at: float
    reason: str


@attrs.frozen
class Refuse:
    """Decision: answer the caller with an error; the request did not run."""

    error: errors.NotRunError


Route = ToServer | WaitUntil | Refuse


@attrs.frozen
class RoutingState:
    """Parameters of ``RoutingPolicy.route`` besides the request and its mark."""

    view: freshness.GroupView
    waiting_by_server: dict
    leaving_servers: frozenset
    own_domain: str
    domains_by_server: dict
    now: float


class RoutingPolicy:
    """Base class of routing policies.

    Parameters
    ----------
    max_primary_waiting : int
        The primary gets reads only while fewer requests than this wait for it.
    other_domain_cost : int
        Number of waiting requests that is added for a replica of another failure
        domain when replicas are compared.
    unreachable_after_seconds : float
        Seconds without an answered poll after which a server gets no reads. Must exceed
        the time between two answers of polls.
    """

    def __init__(
        self, max_primary_waiting=3, other_domain_cost=4, unreachable_after_seconds=1.0
    ):
        self.max_primary_waiting = max_primary_waiting
        self.other_domain_cost = other_domain_cost
        self.unreachable_after_seconds = unreachable_after_seconds
        self._first_server_index = 0

    def route(
        self,
        request,
        mark,
        view,
        waiting_by_server,
        leaving_servers,
        own_domain,
        domains_by_server,
        now,
    ):
        """Return the server for a request, or that it waits or is refused.

        Parameters
        ----------
        request : messages.StatementRequest
        mark : tokens.Mark or None
            Term and log position that the session has seen in the group; a server must
            contain them to serve its read.
        view : freshness.GroupView
        waiting_by_server : dict of str to int
            Number of waiting requests; a server that is absent has none.
        leaving_servers : set of str
            Servers that get no new requests.
        own_domain : str
            Failure domain of this proxy.
        domains_by_server : dict of str to str
            Failure domain of each server.
        now : float
            Instant in seconds.

        Returns
        -------
        ToServer, WaitUntil or Refuse
        """
        state = RoutingState(
            view, waiting_by_server, leaving_servers, own_domain, domains_by_server, now
        )
        if self._has_diverged(mark, view):
            return Refuse(
                errors.HistoryDiverged(
                    f"a promotion of {view.group} dropped what the session has seen"
                )
            )
        if request.kind == "write":
            return self._route_write(request, mark, state)
        server = self._choose_server(request, mark, state)
        if server is not None:
            return ToServer(server)
        return self._wait_or_refuse(
            request, now, errors.NotFresh, self._wait_reason(mark, view)
        )

    def _choose_server(self, request, mark, state):
        """Return a server that may serve a read, or None."""
        raise NotImplementedError

    def _route_write(self, request, mark, state):
        view = state.view
        if mark is not None and mark.term > view.term:
            # The view's primary has been replaced; a write there would never be
            # acknowledged.
            reason = self._wait_reason(mark, view)
        elif not view.primary or view.primary in state.leaving_servers:
            reason = "no primary"
        else:
            return ToServer(view.primary)
        return self._wait_or_refuse(request, state.now, errors.NoPrimary, reason)

    def _choose_replica(self, request, mark, state):
        servers = state.view.servers
        self._first_server_index += 1
        best_server, best_cost = None, None
        for offset in range(len(servers)):
            # Each request starts at another server, which spreads requests over servers
            # of equal cost.
            server = servers[(self._first_server_index + offset) % len(servers)]
            if server == state.view.primary:
                continue
            cost = state.waiting_by_server.get(server, 0)
            if state.domains_by_server.get(server) != state.own_domain:
                cost += self.other_domain_cost
            if (best_server is None or cost < best_cost) and self._may_serve(
                server, request, mark, state
            ):
                best_server, best_cost = server, cost
        return best_server

    def _choose_primary(self, request, mark, state):
        primary = state.view.primary
        if (
            not primary
            or state.waiting_by_server.get(primary, 0) >= self.max_primary_waiting
        ):
            return None
        if self._may_serve(primary, request, mark, state):
            return primary
        return None

    def _may_serve(self, server, request, mark, state):
        view, now = state.view, state.now
        status = view.status_by_server.get(server)
        if (
            server in state.leaving_servers
            or status is None
            or status.term != view.term
            or now - status.received_at > self.unreachable_after_seconds
        ):
            return False
        match request.freshness:
            case messages.MaxAge(seconds) if view.age(server, now) > seconds:
                return False
        return mark is None or view.contains(server, mark) is freshness.Containment.YES

    @staticmethod
    def _has_diverged(mark, view):
        return mark is not None and any(
            view.contains(server, mark) is freshness.Containment.DIVERGED
            for server in view.servers
        )

    @staticmethod
    def _wait_reason(mark, view):
        if mark is not None and mark.term > view.term:
            return "session has seen a later term"
        return "no server is fresh enough"

    @staticmethod
    def _wait_or_refuse(request, now, error, reason):
        if now + MIN_REMAINING_SECONDS >= request.deadline:
            return Refuse(error(reason))
        return WaitUntil(min(now + MAX_REROUTE_DELAY_SECONDS, request.deadline), reason)


@kernel.register("routing", "fresh")
class ReplicaFirstPolicy(RoutingPolicy):
    """Sends reads to a replica that is fresh enough, else to the primary."""

    def _choose_server(self, request, mark, state):
        return self._choose_replica(request, mark, state) or self._choose_primary(
            request, mark, state
        )


@kernel.register("routing", "naive")
class PrimaryFirstPolicy(RoutingPolicy):
    """Sends reads to the primary unless it is busy; the baseline of benchmarks."""

    def _choose_server(self, request, mark, state):
        return self._choose_primary(request, mark, state) or self._choose_replica(
            request, mark, state
        )
