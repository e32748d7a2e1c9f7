"""The steps of a promotion and of the return of an old primary, without I/O.

A promotion raises the term on a majority before it reads the ends of the logs, so the
chosen log holds every acknowledged write. Within one term, only one database is ever
asked to become the primary; any doubt leads to a higher term.
"""

import enum

from cassiahill import suspicion
from cassiahill.promotion_events import (
    Abandon,
    CallFailed,
    ClaimAnswered,
    ClaimInPlatform,
    Done,
    Follow,
    Followed,
    Observed,
    OperatorApproved,
    Promote,
    Promoted,
    Publish,
    RaiseTerm,
    Start,
    TermRaised,
    Tick,
    Wait,
)

CLAIM_TIMEOUT = 0.2  # seconds; the platform may be down
RAISE_TIMEOUT = 0.4  # seconds until a majority that includes the suspect suffices
PROMOTE_TIMEOUT = 0.6  # seconds for the chosen database, repeats included
FOLLOW_TIMEOUT = 1.0  # seconds; later returns are handled by ``follow_commands``
CALL_RETRY = 0.1  # seconds between repeats of one call
PAUSE_MIN = 0.05  # seconds between attempts; the jitter separates two promoters
PAUSE_MAX = 0.4
HOLD = 10.0  # seconds without a replacement of a primary that is not dead


class Stage(enum.Enum):
    """Where a promotion stands."""

    CLAIM = "claim"
    RAISE = "raise"
    OPERATOR = "operator"
    PROMOTE = "promote"
    FOLLOW = "follow"
    PAUSE = "pause"
    ENDED = "ended"


class Promotion:
    """One promotion of one group; events in, actions out.

    Parameters
    ----------
    servers : iterable of str
        All databases of the group.
    promotion_id : str
        Name of this promotion, unique among all promotions ever started: a database
        accepts ``promote`` only from the name that raised its term.
    suspects : iterable of str
        Databases that should not be chosen while a majority exists without them.
    known_term : int
        Highest term seen.
    rng : random.Random
        Source of the jitter.
    acknowledge : {"log", "term"}
        Setting of the group.
    policy : {"majority", "operator"}
        Whether to go on by itself when acknowledged writes may be dropped.
    """

    def __init__(
        self,
        servers,
        promotion_id,
        suspects,
        known_term,
        rng,
        acknowledge="log",
        policy="majority",
    ):
        self.promotion_id = promotion_id
        self.term = known_term + 1
        self.stage = Stage.CLAIM
        self.chosen = ""
        self._servers = tuple(servers)
        self._majority = len(self._servers) // 2 + 1
        self._suspects = set(suspects)
        self._highest_term = known_term
        self._raised_term = known_term
        self._rng = rng
        self._wants_all_logs = acknowledge == "term"
        self._policy = policy
        self._deadline = 0.0
        self._ends_by_server = {}
        self._failed = set()
        self._followers = set()
        self._retry_at_by_server = {}

    @property
    def ended(self):
        """Whether ``Done`` or ``Abandon`` was returned."""
        return self.stage is Stage.ENDED

    def step(self, event, now):
        """Take an event and return the actions that follow from it."""
        if self.ended:
            return []
        if isinstance(event, Observed):
            actions = self._on_status(event.status, now)
        elif getattr(event, "term", self.term) != self.term:
            actions = []  # An answer to an earlier attempt.
        else:
            actions = self._on_event(event, now)
        if not self.ended:
            actions.append(Wait(self._next_tick()))
        return actions

    def describe(self):
        """Return the state for operators, as plain values."""
        return {
            "by": self.promotion_id,
            "stage": self.stage.value,
            "term": self.term,
            "chosen": self.chosen,
            "suspects": sorted(self._suspects),
            "log_ends": {
                server: [end.last_term, end.position]
                for server, end in self._ends_by_server.items()
            },
            "failed_calls": sorted(self._failed),
        }

    def _on_event(self, event, now):
        match event:
            case Start():
                return self._claim(now)
            case ClaimAnswered(granted=granted) if self.stage is Stage.CLAIM:
                return self._raise(now) if granted else self._pause(now)
            case TermRaised(end=end) if self.stage is Stage.RAISE:
                self._ends_by_server[end.server] = end
                self._retry_at_by_server.pop(end.server, None)
                return self._choose(now)
            case Promoted(server=server) if self._is_promoting(server):
                return self._follow(now)
            case Followed(server=server) if self.stage is Stage.FOLLOW:
                return self._settle_follower(server)
            case CallFailed(server=server, refused=refused):
                return self._on_failed(server, refused, now)
            case OperatorApproved() if self.stage is Stage.OPERATOR:
                return self._promote(now)
            case Tick():
                return self._on_tick(now)
        return []

    def _on_status(self, status, now):
        self._highest_term = max(self._highest_term, status.term)
        if status.role == "primary":
            if status.term == self.term and self._is_promoting(status.server):
                return self._follow(now)
            raised_here = self._raised_term == self.term == status.term
            if status.term > self._raised_term or (
                raised_here and self.stage is not Stage.FOLLOW
            ):
                return self._end(Abandon(f"{status.server} leads term {status.term}"))
        if status.term > self.term and self.stage in (Stage.RAISE, Stage.PROMOTE):
            return self._pause(now)
        return []

    def _claim(self, now):
        self.stage = Stage.CLAIM
        self._deadline = now + CLAIM_TIMEOUT
        return [ClaimInPlatform(self.term)]

    def _raise(self, now):
        self.stage = Stage.RAISE
        self._raised_term = self.term
        self._deadline = now + RAISE_TIMEOUT
        return [RaiseTerm(server, self.term) for server in self._servers]

    def _choose(self, now):
        ends_by_server = self._candidates(now)
        if not ends_by_server:
            return []
        self.chosen = max(
            ends_by_server,
            key=lambda server: (
                ends_by_server[server].last_term,
                ends_by_server[server].position,
                server not in self._suspects,
                -self._servers.index(server),
            ),
        )
        may_drop = self._wants_all_logs and len(ends_by_server) < len(self._servers)
        if may_drop and self._policy == "operator":
            self.stage = Stage.OPERATOR
            self._retry_at_by_server.clear()
            return []
        return self._promote(now)

    def _candidates(self, now):
        """Return the log ends to choose from; empty while a majority is missing.

        A suspect is left out while the others form a majority. An isolated primary
        often has the longest log, but its replicas cannot follow it.
        """
        ends = self._ends_by_server
        settled = self._failed | set(ends)
        complete = len(settled) == len(self._servers) or now >= self._deadline
        if self._wants_all_logs and not complete:
            return {}
        trusted = {s: end for s, end in ends.items() if s not in self._suspects}
        if len(trusted) >= self._majority:
            return trusted
        return ends if complete and len(ends) >= self._majority else {}

    def _promote(self, now):
        self.stage = Stage.PROMOTE
        self._deadline = now + PROMOTE_TIMEOUT
        self._retry_at_by_server.clear()
        return [Promote(self.chosen, self.term)]

    def _follow(self, now):
        self.stage = Stage.FOLLOW
        self._deadline = now + FOLLOW_TIMEOUT
        self._retry_at_by_server.clear()
        self._followers = set(self._servers) - {self.chosen}
        actions = [Publish(self.term, self.chosen)]
        for server in self._servers:
            if server in self._followers:
                actions.append(Follow(server, self.term, self.chosen))
        return actions if self._followers else actions + self._finish()

    def _settle_follower(self, server):
        self._followers.discard(server)
        self._retry_at_by_server.pop(server, None)
        return [] if self._followers else self._finish()

    def _pause(self, now):
        """Start again with a higher term after a pause with jitter."""
        self.stage = Stage.PAUSE
        self._retry_at_by_server.clear()
        self._deadline = now + self._rng.uniform(PAUSE_MIN, PAUSE_MAX)
        return []

    def _restart(self, now):
        self.term = max(self.term, self._highest_term) + 1
        self.chosen = ""
        self._ends_by_server = {}
        self._failed = set()
        return self._claim(now)

    def _on_failed(self, server, refused, now):
        if refused and self.stage is Stage.FOLLOW:
            return self._settle_follower(server)
        if refused and self.stage in (Stage.RAISE, Stage.PROMOTE):
            return self._pause(now)
        if self.stage in (Stage.RAISE, Stage.PROMOTE, Stage.FOLLOW):
            self._retry_at_by_server[server] = now + CALL_RETRY
            self._failed.add(server)
        return self._choose(now) if self.stage is Stage.RAISE else []

    def _on_tick(self, now):
        if now >= self._deadline:
            match self.stage:
                case Stage.CLAIM:
                    return self._raise(now)
                case Stage.PAUSE:
                    return self._restart(now)
                case Stage.FOLLOW:
                    return self._finish()
                case Stage.PROMOTE:
                    self._suspects.add(self.chosen)
                    return self._pause(now)
                case Stage.RAISE if actions := self._choose(now):
                    return actions
        if self.stage in (Stage.RAISE, Stage.OPERATOR) and now >= self._deadline:
            self._deadline = now + RAISE_TIMEOUT  # The same term is tried again.
        return self._retries(now)

    def _retries(self, now):
        due = [s for s, at in self._retry_at_by_server.items() if at <= now]
        for server in due:
            del self._retry_at_by_server[server]
        match self.stage:
            case Stage.RAISE:
                return [RaiseTerm(server, self.term) for server in due]
            case Stage.PROMOTE:
                return [Promote(self.chosen, self.term) for _ in due]
            case Stage.FOLLOW:
                return [Follow(server, self.term, self.chosen) for server in due]
        return []

    def _is_promoting(self, server):
        return self.stage is Stage.PROMOTE and server == self.chosen

    def _next_tick(self):
        return min([self._deadline, *self._retry_at_by_server.values()])

    def _finish(self):
        return self._end(Done(self.term, self.chosen))

    def _end(self, action):
        self.stage = Stage.ENDED
        return [action]


def is_held_back(reason, promoted_at, now):
    """Return whether a recent promotion forbids another one.

    A primary that answers probes is not replaced within ``HOLD`` of its promotion.
    """
    return reason is suspicion.Reason.ISOLATED and now - promoted_at < HOLD


def follow_commands(statuses, servers, term, primary):
    """Return the databases that need a ``follow`` command to the primary.

    Parameters
    ----------
    statuses : iterable of freshness.ServerStatus
        Latest status of each reachable database.
    servers : iterable of str
        All databases of the group.
    term : int
        Latest term.
    primary : str
        Primary of that term; empty when it has none.

    Returns
    -------
    list of Follow
        A database that lost its state is sent back only when a majority of the other
        databases is in the term, because it may have forgotten that it raised its own.
    """
    servers = tuple(servers)
    by_server = {status.server: status for status in statuses}
    leader = by_server.get(primary)
    if leader is None or (leader.role, leader.term) != ("primary", term):
        return []
    in_term = sum(s.term == term and not s.recovering for s in by_server.values())
    return [
        Follow(status.server, term, primary)
        for status in by_server.values()
        if status.server != primary
        and (status.term < term or (status.term == term and status.primary != primary))
        and (not status.recovering or in_term > len(servers) // 2)
    ]
