"""State machine of a promotion, and the return of a replaced primary, without I/O.

A promotion raises the term on a majority of the group's servers before it reads the
ends of their logs, so the longest log contains every acknowledged write. Within one
term, only one server is ever ordered to become the primary; a refused order or one
without an answer leads to a higher term.
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

# The promotion goes on without a claim after this time, because the platform may be
# down.
CLAIM_TIMEOUT_SECONDS = 0.2
# After this time, a majority that includes the suspected primary suffices.
RAISE_TIMEOUT_SECONDS = 0.4
# Time for the chosen server to become the primary, repeated calls included.
PROMOTE_TIMEOUT_SECONDS = 0.6
# Time for the other servers to follow the new primary. Servers that return later get
# their commands from ``follow_commands``.
FOLLOW_TIMEOUT_SECONDS = 1.0
# Time between two repeats of one call.
CALL_RETRY_INTERVAL_SECONDS = 0.1
# Pause before the next term; its jitter keeps two promoters from blocking each other.
MIN_TERM_PAUSE_SECONDS = 0.05
MAX_TERM_PAUSE_SECONDS = 0.4
# Time after a promotion in which a primary that answers probes is not replaced.
MIN_PROMOTION_INTERVAL_SECONDS = 10.0


class Stage(enum.Enum):
    """What a promotion does or waits for at present."""

    CLAIM = "claim"
    RAISE = "raise"
    OPERATOR = "operator"
    PROMOTE = "promote"
    FOLLOW = "follow"
    PAUSE = "pause"
    ENDED = "ended"


class Promotion:
    """One promotion in one group: ``step`` takes an event and returns actions.

    Parameters
    ----------
    servers : iterable of str
        Names of all backend servers of the group.
    promotion_id : str
        Unique among all promotions ever started: a server accepts ``promote`` only
        with the id that raised its term.
    avoided_servers : iterable of str
        Servers that are not chosen while the other servers form a majority, such as
        the primary that is considered failed.
    known_term : int
        Highest term seen so far; the promotion starts with the next one.
    rng : random.Random
        Source of the jitter of pauses.
    acknowledge : {"log", "term"}
        Acknowledgement mode of the group; see ``acknowledgement.AckTracker``.
    policy : {"majority", "operator"}
        With ``"operator"``, the promotion waits for an operator's approval when it may
        drop acknowledged writes.
    """

    def __init__(
        self,
        servers,
        promotion_id,
        avoided_servers,
        known_term,
        rng,
        acknowledge="log",
        policy="majority",
    ):
        self.promotion_id = promotion_id
        self.term = known_term + 1
        self.stage = Stage.CLAIM
        self.chosen_server = ""
        self._servers = tuple(servers)
        self._majority_size = len(self._servers) // 2 + 1
        self._avoided_servers = set(avoided_servers)
        self._highest_seen_term = known_term
        self._last_raised_term = known_term
        self._rng = rng
        self._needs_all_logs = acknowledge == "term"
        self._promotion_policy = policy
        self._deadline = 0.0
        self._log_ends_by_server = {}
        self._failed_servers = set()
        self._pending_followers = set()
        self._retry_at_by_server = {}

    @property
    def ended(self):
        """Whether ``Done`` or ``Abandon`` was returned."""
        return self.stage is Stage.ENDED

    def step(self, event, now):
        """Handle an event; return the resulting actions.

        Parameters
        ----------
        event : object
            An event of ``promotion_events``.
        now : float
            Instant in seconds.

        Returns
        -------
        list
            Actions of ``promotion_events``.
        """
        if self.ended:
            return []
        if isinstance(event, Observed):
            actions = self._on_status(event.status, now)
        elif getattr(event, "term", self.term) != self.term:
            actions = []  # The event belongs to an earlier term of this promotion.
        else:
            actions = self._on_event(event, now)
        if not self.ended:
            actions.append(Wait(self._next_tick_at()))
        return actions

    def describe(self):
        """Return the state for operators, as values that JSON can represent."""
        return {
            "by": self.promotion_id,
            "stage": self.stage.value,
            "term": self.term,
            "chosen": self.chosen_server,
            "suspects": sorted(self._avoided_servers),
            "log_ends": {
                server: [log_end.last_term, log_end.position]
                for server, log_end in self._log_ends_by_server.items()
            },
            "failed_calls": sorted(self._failed_servers),
        }

    def _on_event(self, event, now):
        match event:
            case Start():
                return self._claim_term(now)
            case ClaimAnswered(granted=granted) if self.stage is Stage.CLAIM:
                return (
                    self._raise_terms(now)
                    if granted
                    else self._pause_before_restart(now)
                )
            case TermRaised(end=log_end) if self.stage is Stage.RAISE:
                self._log_ends_by_server[log_end.server] = log_end
                self._retry_at_by_server.pop(log_end.server, None)
                return self._choose_primary(now)
            case Promoted(server=server) if self._is_promoting(server):
                return self._send_follows(now)
            case Followed(server=server) if self.stage is Stage.FOLLOW:
                return self._remove_follower(server)
            case CallFailed(server=server, refused=refused):
                return self._on_call_failed(server, refused, now)
            case OperatorApproved() if self.stage is Stage.OPERATOR:
                return self._promote_chosen(now)
            case Tick():
                return self._on_tick(now)
        return []

    def _on_status(self, status, now):
        self._highest_seen_term = max(self._highest_seen_term, status.term)
        if status.role == "primary":
            if status.term == self.term and self._is_promoting(status.server):
                return self._send_follows(now)
            raised_in_this_term = self._last_raised_term == self.term == status.term
            if status.term > self._last_raised_term or (
                raised_in_this_term and self.stage is not Stage.FOLLOW
            ):
                return self._end_with_action(
                    Abandon(f"{status.server} is the primary of term {status.term}")
                )
        if status.term > self.term and self.stage in (Stage.RAISE, Stage.PROMOTE):
            return self._pause_before_restart(now)
        return []

    def _claim_term(self, now):
        self.stage = Stage.CLAIM
        self._deadline = now + CLAIM_TIMEOUT_SECONDS
        return [ClaimInPlatform(self.term)]

    def _raise_terms(self, now):
        self.stage = Stage.RAISE
        self._last_raised_term = self.term
        self._deadline = now + RAISE_TIMEOUT_SECONDS
        return [RaiseTerm(server, self.term) for server in self._servers]

    def _choose_primary(self, now):
        ends_by_server = self._candidate_log_ends(now)
        if not ends_by_server:
            return []
        self.chosen_server = max(
            ends_by_server,
            key=lambda server: (
                ends_by_server[server].last_term,
                ends_by_server[server].position,
                server not in self._avoided_servers,
                -self._servers.index(server),
            ),
        )
        may_drop_writes = self._needs_all_logs and len(ends_by_server) < len(
            self._servers
        )
        if may_drop_writes and self._promotion_policy == "operator":
            self.stage = Stage.OPERATOR
            self._retry_at_by_server.clear()
            return []
        return self._promote_chosen(now)

    def _candidate_log_ends(self, now):
        """Return the log ends by server to choose from; empty without a majority.

        Servers to avoid are left out while the others form a majority: an isolated
        primary often has the longest log, but its replicas cannot reach it.
        """
        log_ends = self._log_ends_by_server
        answered_servers = self._failed_servers | set(log_ends)
        complete = len(answered_servers) == len(self._servers) or now >= self._deadline
        if self._needs_all_logs and not complete:
            return {}
        preferred_ends = {
            server: log_end
            for server, log_end in log_ends.items()
            if server not in self._avoided_servers
        }
        if len(preferred_ends) >= self._majority_size:
            return preferred_ends
        return log_ends if complete and len(log_ends) >= self._majority_size else {}

    def _promote_chosen(self, now):
        self.stage = Stage.PROMOTE
        self._deadline = now + PROMOTE_TIMEOUT_SECONDS
        self._retry_at_by_server.clear()
        return [Promote(self.chosen_server, self.term)]

    def _send_follows(self, now):
        self.stage = Stage.FOLLOW
        self._deadline = now + FOLLOW_TIMEOUT_SECONDS
        self._retry_at_by_server.clear()
        self._pending_followers = set(self._servers) - {self.chosen_server}
        actions = [Publish(self.term, self.chosen_server)]
        for server in self._servers:
            if server in self._pending_followers:
                actions.append(Follow(server, self.term, self.chosen_server))
        return actions if self._pending_followers else actions + self._end_as_done()

    def _remove_follower(self, server):
        self._pending_followers.discard(server)
        self._retry_at_by_server.pop(server, None)
        return [] if self._pending_followers else self._end_as_done()

    def _pause_before_restart(self, now):
        """Enter the pause, with jitter, that ends with a restart in a higher term."""
        self.stage = Stage.PAUSE
        self._retry_at_by_server.clear()
        self._deadline = now + self._rng.uniform(
            MIN_TERM_PAUSE_SECONDS, MAX_TERM_PAUSE_SECONDS
        )
        return []

    def _restart_in_higher_term(self, now):
        self.term = max(self.term, self._highest_seen_term) + 1
        self.chosen_server = ""
        self._log_ends_by_server = {}
        self._failed_servers = set()
        return self._claim_term(now)

    def _on_call_failed(self, server, refused, now):
        if refused and self.stage is Stage.FOLLOW:
            return self._remove_follower(server)
        if refused and self.stage in (Stage.RAISE, Stage.PROMOTE):
            return self._pause_before_restart(now)
        if self.stage in (Stage.RAISE, Stage.PROMOTE, Stage.FOLLOW):
            self._retry_at_by_server[server] = now + CALL_RETRY_INTERVAL_SECONDS
            self._failed_servers.add(server)
        return self._choose_primary(now) if self.stage is Stage.RAISE else []

    def _on_tick(self, now):
        if now >= self._deadline:
            match self.stage:
                case Stage.CLAIM:
                    return self._raise_terms(now)
                case Stage.PAUSE:
                    return self._restart_in_higher_term(now)
                case Stage.FOLLOW:
                    return self._end_as_done()
                case Stage.PROMOTE:
                    self._avoided_servers.add(self.chosen_server)
                    return self._pause_before_restart(now)
                case Stage.RAISE if actions := self._choose_primary(now):
                    return actions
        if self.stage in (Stage.RAISE, Stage.OPERATOR) and now >= self._deadline:
            # Without a majority or an approval, the promotion goes on in this term.
            self._deadline = now + RAISE_TIMEOUT_SECONDS
        return self._repeat_due_calls(now)

    def _repeat_due_calls(self, now):
        due_servers = [
            server
            for server, retry_at in self._retry_at_by_server.items()
            if retry_at <= now
        ]
        for server in due_servers:
            del self._retry_at_by_server[server]
        match self.stage:
            case Stage.RAISE:
                return [RaiseTerm(server, self.term) for server in due_servers]
            case Stage.PROMOTE:
                return [Promote(self.chosen_server, self.term) for _ in due_servers]
            case Stage.FOLLOW:
                return [
                    Follow(server, self.term, self.chosen_server)
                    for server in due_servers
                ]
        return []

    def _is_promoting(self, server):
        return self.stage is Stage.PROMOTE and server == self.chosen_server

    def _next_tick_at(self):
        return min([self._deadline, *self._retry_at_by_server.values()])

    def _end_as_done(self):
        return self._end_with_action(Done(self.term, self.chosen_server))

    def _end_with_action(self, action):
        self.stage = Stage.ENDED
        return [action]


def is_too_soon(reason, promoted_at, now):
    """Return whether the last promotion is too recent for another one.

    A primary that still answers probes, but is isolated from its replicas, is not
    replaced within ``MIN_PROMOTION_INTERVAL_SECONDS`` of its promotion. This prevents
    flapping.

    Parameters
    ----------
    reason : suspicion.Reason
        Why the primary is considered failed.
    promoted_at, now : float
        Instants in seconds.
    """
    return (
        reason is suspicion.Reason.ISOLATED
        and now - promoted_at < MIN_PROMOTION_INTERVAL_SECONDS
    )


def follow_commands(statuses, servers, term, primary):
    """Return the ``follow`` commands for servers that don't follow the primary.

    Parameters
    ----------
    statuses : iterable of freshness.ServerStatus
        Latest status of each reachable server.
    servers : iterable of str
        Names of all backend servers of the group.
    term : int
        Highest known term.
    primary : str
        Primary of that term; empty when it has none.

    Returns
    -------
    list of Follow
        A server that lost its state is included only when a majority of the group's
        servers is in the term, because it may have lost the record that it had raised
        its own term.
    """
    servers = tuple(servers)
    status_by_server = {status.server: status for status in statuses}
    primary_status = status_by_server.get(primary)
    if primary_status is None or (primary_status.role, primary_status.term) != (
        "primary",
        term,
    ):
        return []
    count_in_term = sum(
        status.term == term and not status.recovering
        for status in status_by_server.values()
    )
    return [
        Follow(status.server, term, primary)
        for status in status_by_server.values()
        if status.server != primary
        and (status.term < term or (status.term == term and status.primary != primary))
        and (not status.recovering or count_in_term > len(servers) // 2)
    ]
