"""Choice of the backend server for a request.

Policies are plug-ins of the kind ``routing``. They do no I/O: the time, the view of the
group and the waiting work are passed in.
"""

import attrs

from cassiahill import errors, freshness, kernel, messages

# Longest time until a waiting request is looked at again; the daemon asks earlier when
# the view changes.
WAIT_STEP = 0.02
# A request is refused when less time than this is left, because a statement that starts
# then ends after its deadline.
MIN_REMAINING = 0.002


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
class Situation:
    """What a policy knows besides the request; see ``RoutingPolicy.route``."""

    view: freshness.GroupView
    load: dict
    leaving: frozenset
    own_domain: str
    domains_by_server: dict
    now: float


class RoutingPolicy:
    """Base of routing policies.

    Parameters
    ----------
    primary_bound : int
        The primary takes reads only while its waiting work is below this number.
    foreign_cost : int
        By how much waiting work a server of the own failure domain may exceed one of
        another domain and still be preferred.
    unreachable_after_seconds : float
        Seconds after which a server that answers no poll gets no reads. Polls have to
        return more often.
    """

    def __init__(self, primary_bound=3, foreign_cost=4, unreachable_after_seconds=1.0):
        self.primary_bound = primary_bound
        self.foreign_cost = foreign_cost
        self.unreachable_after_seconds = unreachable_after_seconds
        self._turn = 0

    def route(
        self, request, mark, view, load, leaving, own_domain, domains_by_server, now
    ):
        """Return where a request goes.

        Parameters
        ----------
        request : messages.StatementRequest
        mark : tokens.Mark or None
            The session's mark of the group.
        view : freshness.GroupView
        load : dict of str to int
            Waiting work by server; 0 for servers that are absent.
        leaving : set of str
            Servers that get no new work.
        own_domain : str
        domains_by_server : dict of str to str
        now : float

        Returns
        -------
        ToServer, WaitUntil or Refuse
        """
        situation = Situation(view, load, leaving, own_domain, domains_by_server, now)
        if self._diverged(mark, view):
            return Refuse(
                errors.HistoryDiverged(
                    f"a promotion of {view.group} dropped what the session has seen"
                )
            )
        if request.kind == "write":
            return self._route_write(request, mark, situation)
        server = self._choose(request, mark, situation)
        if server is not None:
            return ToServer(server)
        return self._wait(request, now, errors.NotFresh, self._reason(mark, view))

    def _choose(self, request, mark, situation):
        """Return a server that may serve a read, or None."""
        raise NotImplementedError

    def _route_write(self, request, mark, situation):
        view = situation.view
        if mark is not None and mark.term > view.term:
            # The view's primary has been replaced and would never be acknowledged.
            reason = self._reason(mark, view)
        elif not view.primary or view.primary in situation.leaving:
            reason = "no primary"
        else:
            return ToServer(view.primary)
        return self._wait(request, situation.now, errors.NoPrimary, reason)

    def _best_replica(self, request, mark, situation):
        servers = situation.view.servers
        self._turn += 1
        best, best_cost = None, None
        for offset in range(len(servers)):
            # The first server changes with each request, so that equal costs spread.
            server = servers[(self._turn + offset) % len(servers)]
            if server == situation.view.primary:
                continue
            cost = situation.load.get(server, 0)
            if situation.domains_by_server.get(server) != situation.own_domain:
                cost += self.foreign_cost
            if (best is None or cost < best_cost) and self._satisfies(
                server, request, mark, situation
            ):
                best, best_cost = server, cost
        return best

    def _primary(self, request, mark, situation):
        primary = situation.view.primary
        if not primary or situation.load.get(primary, 0) >= self.primary_bound:
            return None
        if self._satisfies(primary, request, mark, situation):
            return primary
        return None

    def _satisfies(self, server, request, mark, situation):
        view, now = situation.view, situation.now
        status = view.status_by_server.get(server)
        if (
            server in situation.leaving
            or status is None
            or status.term != view.term
            or now - status.received_at > self.unreachable_after_seconds
        ):
            return False
        match request.freshness:
            case messages.MaxAge(seconds) if view.age(server, now) > seconds:
                return False
        return mark is None or view.contains(server, mark) is freshness.Contains.YES

    @staticmethod
    def _diverged(mark, view):
        return mark is not None and any(
            view.contains(server, mark) is freshness.Contains.DIVERGED
            for server in view.servers
        )

    @staticmethod
    def _reason(mark, view):
        if mark is not None and mark.term > view.term:
            return "session has seen a later term"
        return "no server is fresh enough"

    @staticmethod
    def _wait(request, now, error, reason):
        if now + MIN_REMAINING >= request.deadline:
            return Refuse(error(reason))
        return WaitUntil(min(now + WAIT_STEP, request.deadline), reason)


@kernel.register("routing", "fresh")
class ReplicaFirstPolicy(RoutingPolicy):
    """Reads go to a replica that is fresh enough, else to the primary."""

    def _choose(self, request, mark, situation):
        return self._best_replica(request, mark, situation) or self._primary(
            request, mark, situation
        )


@kernel.register("routing", "naive")
class PrimaryFirstPolicy(RoutingPolicy):
    """Reads go to the primary unless it is busy; the baseline of measurements."""

    def _choose(self, request, mark, situation):
        return self._primary(request, mark, situation) or self._best_replica(
            request, mark, situation
        )
