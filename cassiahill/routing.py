"""Choice of the backend server for a request.

Policies are plug-ins of the kind ``routing``. They do no I/O: the time, the view of the
group and the waiting work are passed in.
"""

import attrs

from cassiahill import errors, freshness, kernel, messages

# Longest time until a waiting request is looked at again; the daemon asks earlier when
# the view changes.
RECHECK_SECONDS = 0.02
# A request is refused when less time than this is left, because a statement that starts
# then ends after its deadline.
MIN_REMAINING_SECONDS = 0.002


@attrs.frozen
class ToServer:
    """Send the request to a backend server, in the view's term."""

    server: str


@attrs.frozen
class WaitUntil:
    """Ask again at ``at`` (an instant in seconds) or when the view changes."""

    at: float
    reason: str


@attrs.frozen
class Refuse:
    """Answer the caller with an error; the request did not run."""

    error: errors.NotRunError


Route = ToServer | WaitUntil | Refuse


@attrs.frozen
class RoutingState:
    """What a policy knows besides the request; see ``RoutingPolicy.route``."""

    view: freshness.GroupView
    waiting_by_server: dict
    leaving_servers: frozenset
    own_domain: str
    domains_by_server: dict
    now: float


class RoutingPolicy:
    """Base of routing policies.

    Parameters
    ----------
    max_primary_waiting : int
        The primary takes reads only while its waiting work is below this number.
    other_domain_cost : int
        By how much waiting work a server of the own failure domain may exceed one of
        another domain and still be preferred.
    silent_after : float
        Seconds after which a server that answers no poll gets no reads. Polls have to
        return more often.
    """

    def __init__(self, max_primary_waiting=3, other_domain_cost=4, silent_after=1.0):
        self.max_primary_waiting = max_primary_waiting
        self.other_domain_cost = other_domain_cost
        self.silent_after = silent_after
        self._rotation = 0

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
        """Return where a request goes.

        Parameters
        ----------
        request : messages.StatementRequest
        mark : tokens.Mark or None
            The session's mark of the group.
        view : freshness.GroupView
        waiting_by_server : dict of str to int
            Waiting work by server; 0 for servers that are absent.
        leaving_servers : set of str
            Servers that get no new work.
        own_domain : str
        domains_by_server : dict of str to str
        now : float

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
            # The view's primary has been replaced and would never be acknowledged.
            reason = self._wait_reason(mark, view)
        elif not view.primary or view.primary in state.leaving_servers:
            reason = "no primary"
        else:
            return ToServer(view.primary)
        return self._wait_or_refuse(request, state.now, errors.NoPrimary, reason)

    def _choose_replica(self, request, mark, state):
        servers = state.view.servers
        self._rotation += 1
        best_server, best_cost = None, None
        for offset in range(len(servers)):
            # The first server changes with each request, so that equal costs spread.
            server = servers[(self._rotation + offset) % len(servers)]
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
            or now - status.received_at > self.silent_after
        ):
            return False
        match request.freshness:
            case messages.MaxAge(seconds) if view.age(server, now) > seconds:
                return False
        return mark is None or view.contains(server, mark) is freshness.Contains.YES

    @staticmethod
    def _has_diverged(mark, view):
        return mark is not None and any(
            view.contains(server, mark) is freshness.Contains.DIVERGED
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
        return WaitUntil(min(now + RECHECK_SECONDS, request.deadline), reason)


@kernel.register("routing", "fresh")
class FreshPolicy(RoutingPolicy):
    """Reads go to a replica that is fresh enough, else to the primary."""

    def _choose_server(self, request, mark, state):
        return self._choose_replica(request, mark, state) or self._choose_primary(
            request, mark, state
        )


@kernel.register("routing", "naive")
class NaivePolicy(RoutingPolicy):
    """Reads go to the primary unless it is busy; the baseline of measurements."""

    def _choose_server(self, request, mark, state):
        return self._choose_primary(request, mark, state) or self._choose_replica(
            request, mark, state
        )
