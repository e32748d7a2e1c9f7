"""Replaces the primary of a group: when to do so, which replica to promote, and how.

A commit is acknowledged once one replica has received it. Before a replica is promoted,
all other known replicas stop receiving the log, and the replica to promote receives
everything that they have and that any proxy has seen acknowledged. From then on only
this replica, or a server that starts or restarts, can acknowledge commits of the old
primary; ``promotion_window`` and ``commit_confirmation`` guard against the latter.
"""

import contextlib
import math

from cassiahill import (
    event_log,
    missing_commits,
    promotion_evidence,
    promotion_orders,
    promotion_window,
    replica_statuses,
    statements,
    successor_preparation,
)
from cassiahill.missing_commits import REMOVED_REPLICA_WAIT_SECONDS
from cassiahill.primary_symptoms import PRIMARY_UNREACHABLE, promotion_reason
from cassiahill.promotion_orders import (
    ABANDONED_PAUSE_SECONDS,
    OPEN_ORDERS_RETRY_SECONDS,
    PRIMARY_RECHECK_TIMEOUT_SECONDS,
)
from cassiahill.replica_statuses import ResumeResult
from cassiahill.successor_choice import choose_successor
from cassiahill.successor_nearness import Nearness

# Between questions to a store that has not confirmed that pauses may be ended.
PAUSES_RETRY_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.3  # Pause after an attempt that promoted no server.
PAUSE_AFTER_PROMOTION_SECONDS = 1.5  # Lets the new primary start to serve.
# After this many blocked attempts, the promoter resigns, because another proxy may
# reach the replicas that did not answer.
BLOCKED_ATTEMPTS_UNTIL_RESIGNING = 2


class Takeover:
    """Replaces the primary of one group; active only in the promoter.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    orders : PromotionOrders
    next_token : callable
        Returns a fencing token that no order has used yet, or None when this process
        is not the promoter.
    confirm_promoter : callable
        Returns the future of whether this process is still the promoter. Takes
        ``strictly``; see ``promoter_election.PromoterElection``.
    resign : callable
        Lets another proxy become the promoter.
    nearness : callable or None
        Takes the failure domains of a replica and of the former primary, which may be
        None, and returns the replica's ``successor_nearness.Nearness``.
    evidence : promotion_evidence.PromotionEvidence or None
        None if nobody else knows anything of the group.
    """

    def __init__(
        self,
        loop,
        group,
        orders,
        next_token,
        confirm_promoter,
        resign,
        nearness=None,
        evidence=None,
    ):
        self._loop = loop
        self._group = group
        self._next_token = next_token
        self._confirm_promoter = confirm_promoter
        self._resign = resign
        self._nearness = nearness or (lambda _domain, _former_domain: Nearness())
        self._evidence = evidence or promotion_evidence.PromotionEvidence()
        self._former_domain = None
        self._missing_commits = missing_commits.MissingCommits(loop, group)
        self._statuses = replica_statuses.ReplicaStatuses(loop, group)
        self._preparation = successor_preparation.SuccessorPreparation(
            loop,
            group,
            self._statuses,
            self._missing_commits,
            self._evidence,
            self._ask_proxies,
        )
        self._promotions = promotion_orders.OrderedPromotions(
            loop,
            group,
            orders,
            self._statuses,
            next_token,
            self._confirm_role,
            self._ask_proxies,
        )
        self._blocked_attempts = 0
        self._in_progress = False
        self._attempt_term = None
        self._next_attempt_at = 0.0
        self._check_pauses_at = None

    @property
    def is_idle(self):
        """Whether no promotion is under way, of this or of a former promoter."""
        return (
            self._check_pauses_at is not None
            and not self._in_progress
            and not self._promotions.are_open
            and self._promotions.are_fenced
        )

    def record_not_promoter(self):
        """Record that another process is the promoter.

        It may pause replicas, and its orders may be carried out after its time.
        """
        self._check_pauses_at = None
        self._promotions.record_other_promoter()

    def start_if_needed(self, symptoms):
        """Start to replace the primary if the symptoms require it.

        No attempt starts while another one runs or in the pause after it.

        Parameters
        ----------
        symptoms : PrimarySymptoms
        """
        now = self._loop.clock.now()
        self._former_domain = self._group.primary_domain or self._former_domain
        if self._in_progress or now < self._next_attempt_at:
            return
        if self._check_pauses_at is None:
            self._promotions.begin_term(now)
            self._check_pauses_at = now
            if not self._promotions.are_open:
                self._check_pauses_at += ABANDONED_PAUSE_SECONDS
        reason = promotion_reason(symptoms, now)
        if reason is not None:
            if now < self._evidence.servers_complete_at() < math.inf:
                return
            task = self._replace_primary(symptoms.primary, reason)
        elif now >= self._check_pauses_at and self._group.active:
            task = self._end_abandoned_pauses()
        else:
            return
        self._in_progress = True
        self._attempt_term = self._evidence.own_term()
        future = self._loop.spawn(task)
        self._loop.when_done(future, self._on_finished)

    def _on_finished(self, future):
        """Log the failure of an attempt, and set when the next one may start."""
        self._in_progress = False
        pause_seconds = RETRY_PAUSE_SECONDS
        error = future.exception()
        if error is not None:
            event_log.event(
                "takeover_failed", group=self._group.name, cause=repr(error)
            )
        elif future.result():
            pause_seconds = PAUSE_AFTER_PROMOTION_SECONDS
        self._next_attempt_at = self._loop.clock.now() + pause_seconds

    def _replace_primary(self, primary, reason):
        """Promote a replica if that is safe; return whether it became the primary."""
        servers_updated = self._evidence.update_servers()
        if not (yield self._confirm_role()):
            return False
        yield servers_updated
        if not self._servers_are_complete():
            # A server whose entry has expired may have commits that no other one has.
            event_log.event(
                "takeover_waits_for_servers",
                group=self._group.name,
                primary=primary,
                servers=" ".join(sorted(self._group.pools_by_id)),
            )
            self._record_blocked_attempt()
            return False
        if self._promotions.are_open and not (
            yield from self._promotions.close(primary)
        ):
            self._check_pauses_at = self._loop.clock.now() + OPEN_ORDERS_RETRY_SECONDS
            return False
        # Higher than the token of an order that has closed earlier ones.
        token = self._next_token()
        if token is None:
            return False
        absent_ids = self._absent_ids()
        if absent_ids:
            event_log.event(
                "takeover_leaves_out",
                group=self._group.name,
                servers=" ".join(sorted(absent_ids)),
            )
        replicas = [
            server_id
            for server_id in self._group.pools_by_id
            if server_id != primary and server_id not in absent_ids
        ]
        # Read before the statuses are asked for: a replica that registers again while
        # the answers are awaited must still block the promotion.
        removed_replicas = self._group.removed_with_primary(
            REMOVED_REPLICA_WAIT_SECONDS
        )
        old_primary_status = self._loop.spawn(
            self._statuses.ask(
                primary, statements.ReadStatus(), PRIMARY_RECHECK_TIMEOUT_SECONDS
            )
        )
        statuses = yield from self._statuses.ask_all(replicas, statements.ReadStatus())
        if (
            reason == PRIMARY_UNREACHABLE
            and (yield old_primary_status).received is not None
        ):
            self._log_decision("takeover_needless", reason, primary, statuses)
            return False
        successor = choose_successor(
            statuses, self._group.synchronous, self._nearness_by_id()
        )
        if successor is None:
            self._log_decision("takeover_waits", reason, primary, statuses)
            self._record_blocked_attempt()
            return False
        if removed_replicas and self._group.synchronous:
            # Such a replica may be on the primary's side of a network partition and
            # acknowledge its commits there.
            successor_preparation.log_wait_for_removed(
                self._group, primary, removed_replicas
            )
            return False
        self._blocked_attempts = 0
        # Another promoter's pauses have other terms, so that neither ends the other's.
        term = 1 + max(
            max(status.term, status.paused_term)
            for status in statuses
            if status.received is not None
        )
        promoted = self._loop.spawn(
            self._promote_safely(primary, successor, statuses, term, reason, token)
        )
        yield self._loop.first_done(promoted)
        # Until the replicas have answered, a message that resumes one of them may still
        # be on its way, so that the next attempt could not rely on its own pauses.
        yield from self._end_attempt(replicas, term)
        return promoted.result()

    def _servers_are_complete(self):
        """Return whether all servers that run are known to this process."""
        return self._evidence.servers_complete_at() == -math.inf

    def _absent_ids(self):
        """Return the ids of listed servers that do not exist."""
        return self._group.absent_ids(self._evidence.servers_listed_since())

    def _record_blocked_attempt(self):
        self._blocked_attempts += 1
        if self._blocked_attempts % BLOCKED_ATTEMPTS_UNTIL_RESIGNING == 0:
            self._resign()

    def _nearness_by_id(self):
        """Return the nearness of each server to those who use the group."""
        return {
            server_id: self._nearness(pool.server.failure_domain, self._former_domain)
            for server_id, pool in self._group.pools_by_id.items()
        }

    def _promote_safely(self, primary, successor, statuses, term, reason, token):
        """Pause the other replicas and promote the successor; a task.

        Parameters
        ----------
        primary : str or None
        successor : str
        statuses : list of ReplicaStatus
            Those of all replicas.
        term : int
            Term for the pauses.
        reason : str
        token : int

        Returns
        -------
        bool
            Whether a server was promoted.
        """
        replicas = [status.server_id for status in statuses]
        other_replicas = [server_id for server_id in replicas if server_id != successor]
        prepared = yield from self._preparation.prepare(
            successor_preparation.Plan(primary, successor, other_replicas, term)
        )
        if prepared is None:
            self._log_decision("takeover_unsafe", reason, primary, statuses)
            return False
        if prepared.server_id != successor:
            is_promoter = yield from self._ask_proxies(prepared.server_id)
            if not is_promoter or self._missing_commits.may_lack(
                prepared, primary_answers=False
            ):
                self._log_decision("takeover_unsafe", reason, primary, statuses)
                return False
        role_confirmed = self._confirm_role()
        unsafe_replicas = yield from self._list_unsafe(
            primary, replicas, prepared, term
        )
        if unsafe_replicas:
            event_log.event(
                "replicas_not_paused",
                group=self._group.name,
                term=term,
                successor=prepared.server_id,
                received=prepared.received,
                replicas=" ".join(
                    f"{status.server_id}={status.received}/{status.paused_term}"
                    for status in unsafe_replicas
                ),
            )
            self._log_decision("takeover_unsafe", reason, primary, statuses)
            return False
        if not (yield role_confirmed):
            return False
        successor = prepared.server_id
        self._log_decision("takeover", reason, primary, statuses, successor, token)
        ordered_at = self._loop.clock.now()
        with self._guarded_window(primary, successor, term) as window:
            promoted = yield from self._promotions.promote(successor, token, window)
        if promoted:
            self._log_effect(prepared, ordered_at, statuses)
        if promoted and prepared.received is not None:
            self._group.sole_copies.record_promotion(successor, prepared.received)
        return promoted

    def _ask_proxies(self, successor):
        """Ask all proxies which commits a promotion must keep; a task.

        Returns
        -------
        bool
            Whether this process is still the promoter.
        """
        if not self._is_in_own_term():
            return False
        seen_by_others = yield self._evidence.ask_about_promotion(
            self._group.name, successor
        )
        if seen_by_others is None:
            return False
        for position in seen_by_others:
            self._group.acknowledged_commits.record(position, self._loop.clock.now())
        return self._is_in_own_term()

    @contextlib.contextmanager
    def _guarded_window(self, primary, successor, term):
        """Guard the time until a promotion takes effect."""
        window = promotion_window.PromotionWindow(
            self._loop, self._group, self._statuses, primary, successor, term
        )
        self._loop.spawn(window.watch_others())
        try:
            yield window
        finally:
            window.close()

    def _confirm_role(self, strictly=False):
        """Return the future of whether this process may go on as the promoter.

        After a refused order it may only if the store confirms that.
        """
        return self._loop.spawn(self._ask_for_role(strictly))

    def _ask_for_role(self, strictly):
        strictly = strictly or self._promotions.was_refused
        confirmed = yield self._confirm_promoter(strictly=strictly)
        confirmed = confirmed and self._is_in_own_term()
        if confirmed and strictly:
            self._promotions.was_refused = False
        return confirmed

    def _is_in_own_term(self):
        """Return whether this process is the promoter of the attempt's term.

        If it has lost the role and got it back meanwhile, another promoter may have
        given orders that the attempt does not know of.
        """
        term = self._evidence.own_term()
        return term is not None and term == self._attempt_term

    def _end_attempt(self, replicas, term):
        """Let the replicas receive again, unless another promoter is in charge.

        They stay paused while an earlier order may be carried out: its server lacks
        what they would acknowledge.

        Parameters
        ----------
        replicas : list of str
        term : int
            Term of the pauses.
        """
        if not (yield self._confirm_role()):
            event_log.event("pauses_left_to_promoter", group=self._group.name)
            self._check_pauses_at = self._loop.clock.now() + PAUSES_RETRY_SECONDS
            return
        if self._promotions.are_open:
            yield from self._promotions.close(self._group.primary.server_id)
        if self._promotions.are_open:
            event_log.event("pauses_left_to_orders", group=self._group.name)
            self._check_pauses_at = self._loop.clock.now() + OPEN_ORDERS_RETRY_SECONDS
            return
        yield from self._resume(replicas, lambda paused: paused == term)

    def _end_abandoned_pauses(self):
        """End the pauses of a promoter that could not do so itself; a task.

        Those of servers that are not known yet are ended once the list is complete.
        """
        if not self._servers_are_complete():
            yield self._evidence.update_servers()
        if not (yield self._confirm_role()):
            self._check_pauses_at = self._loop.clock.now() + PAUSES_RETRY_SECONDS
            return False
        if self._promotions.are_open or not self._promotions.are_fenced:
            yield from self._promotions.close(self._group.primary.server_id)
        if self._promotions.are_open:
            self._check_pauses_at = self._loop.clock.now() + OPEN_ORDERS_RETRY_SECONDS
            return False
        self._check_pauses_at = math.inf
        if not self._promotions.are_fenced or not self._servers_are_complete():
            self._check_pauses_at = self._loop.clock.now() + PAUSES_RETRY_SECONDS
        yield from self._resume(list(self._group.pools_by_id), lambda _paused: True)
        return False

    def _resume(self, replicas, is_ours):
        """Let replicas receive again, and set when pauses are looked at again; a task.

        See ``replica_statuses.ReplicaStatuses.resume``.
        """
        result = yield from self._statuses.resume(
            replicas, is_ours, lambda: self._confirm_role(strictly=True)
        )
        now = self._loop.clock.now()
        if result is ResumeResult.UNANSWERED:
            self._check_pauses_at = now + ABANDONED_PAUSE_SECONDS
        elif result is ResumeResult.UNCONFIRMED:
            self._check_pauses_at = now + PAUSES_RETRY_SECONDS

    def _list_unsafe(self, primary, replicas, successor, term):
        """Return the statuses of replicas that are not paused or have later entries.

        A replica may have started or restarted since, or another promoter may have
        resumed it.
        """
        if not self._group.synchronous or successor.received is None:
            return []
        yield self._evidence.update_servers()
        others = [
            server_id
            for server_id in {*replicas, *self._group.pools_by_id}
            if server_id not in {primary, successor.server_id} | self._absent_ids()
        ]
        statuses = yield from self._statuses.ask_all(others, statements.ReadStatus())
        return [
            status
            for status in statuses
            if status.received is None
            or status.paused_term != term
            or status.received > successor.received
        ]

    def _log_effect(self, prepared, ordered_at, statuses):
        """Log that a promotion took effect, and what was known shortly before."""
        event_log.event(
            "promotion_took_effect",
            group=self._group.name,
            server=prepared.server_id,
            received=prepared.received,
            after=self._loop.clock.now() - ordered_at,
            asked=" ".join(status.server_id for status in statuses),
            servers=" ".join(sorted(self._group.pools_by_id)),
        )

    def _log_decision(
        self, event_name, reason, primary, statuses, successor=None, token=None
    ):
        """Log a decision about a promotion, with the replicas' positions."""
        positions = " ".join(
            f"{status.server_id}={status.received}" for status in statuses
        )
        event_log.event(
            event_name,
            group=self._group.name,
            reason=reason,
            primary=primary,
            replicas=positions,
            successor=successor,
            token=token,
            acknowledged=self._group.acknowledged_commits.position,
            required=self._group.sole_copies.required_position,
        )
