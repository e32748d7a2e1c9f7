"""Replaces the primary of a group: when to do so, which replica to promote, and how.

A commit is acknowledged once one replica has received it. Before a replica is promoted,
all other replicas stop receiving the log, and the replica to promote receives
everything that they have. From then on only this replica can acknowledge commits of the
old primary, so no acknowledged commit is lost, however late the promotion happens.
"""

import contextlib
import enum
import math

import attrs

from cassiahill import (
    event_log,
    promotion_evidence,
    promotion_window,
    replica_statuses,
    statements,
)
from cassiahill.replica_statuses import POLL_INTERVAL_SECONDS, ReplicaStatus
from cassiahill.successor_nearness import Nearness

# The next constants tell how long a symptom must last before the primary is replaced.
PRIMARY_UNREACHABLE_SECONDS = 0.5  # The primary's status is then read once more.
# Shorter than for no answer, because a refused connection shows that the primary's
# process has ended.
REFUSED_CONNECTIONS_SECONDS = 0.3
NO_PRIMARY_SECONDS = 0.5
UNACKNOWLEDGED_WRITES_SECONDS = 0.8  # The primary may still answer other requests.
# Fraction of the proxies that must report the primary unreachable for their reports to
# count although this process reaches it.
UNREACHABLE_REPORTS_SHARE = 0.4
UNREACHABLE_REPORTS_SECONDS = 1.0

RETRY_PAUSE_SECONDS = 0.3  # Pause after an attempt that promoted no server.
PAUSE_AFTER_PROMOTION_SECONDS = 1.5  # Lets the new primary start to serve.
# Shorter than ANSWER_TIMEOUT_SECONDS, because this primary has not answered for some
# time already.
PRIMARY_RECHECK_TIMEOUT_SECONDS = 0.25
# Longer than in a failover, because the old primary still sends the entries that the
# successor does not have yet.
SWITCHOVER_CATCH_UP_SECONDS = 1.5
FAILOVER_CATCH_UP_SECONDS = 0.2
PROMOTION_TIMEOUT_SECONDS = 1.6  # A promotion takes about a second.
# An order without an answer may still be carried out some 12 s later. Until the
# successor is the primary, the order is repeated and the other replicas stay paused.
MAX_PROMOTION_ORDERS = 9
# An accepted order takes about a second until the server leads.
ACCEPTED_ORDER_SECONDS = 1.4
OPEN_ORDERS_RETRY_SECONDS = 0.6
# By then no earlier order can be carried out any more.
ABANDONED_PAUSE_SECONDS = 15.0
ACKNOWLEDGEMENT_DELAY_SECONDS = 0.06  # Time for a sent acknowledgement to arrive.
# Longer than a network partition around the primary and a replica is expected to last;
# both answer again after it.
REMOVED_REPLICA_WAIT_SECONDS = 10.0
# Longer than a server that has crashed takes to come back with its log.
MISSING_COMMIT_WAIT_SECONDS = 30.0
# After this many blocked attempts, the promoter resigns, because another proxy may
# reach the replicas that did not answer.
BLOCKED_ATTEMPTS_UNTIL_RESIGNING = 2

PRIMARY_UNREACHABLE = "unreachable"
WRITES_UNACKNOWLEDGED = "writes are not acknowledged"


class OrderResult(enum.Enum):
    """Result of an order to promote a server."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # A higher token was used, or the server does not run.
    NOT_DONE = "not_done"
    UNANSWERED = "unanswered"  # The order may still be carried out.


class PromotionOrders:
    """Interface that orders the platform to promote a server."""

    def promote(self, group, server_id, token):
        """Order the promotion of a server to primary of its group.

        Parameters
        ----------
        group, server_id : str
        token : int
            Fencing token; the order is refused if a higher one has been used.

        Returns
        -------
        loop.LoopFuture
            Future of an ``OrderResult``.
        """
        raise NotImplementedError


@attrs.frozen
class PrimarySymptoms:
    """Signs at one instant that a group's primary must be replaced.

    An instant is None while its symptom is absent.

    Attributes
    ----------
    primary : str or None
        Id of the known primary.
    draining : bool
        Whether the primary is about to leave the group.
    unreachable_since : float or None
    refuses_connections : bool
        Whether the primary refuses new connections instead of not answering.
    primary_unknown_since : float or None
    writes_unacknowledged_since : float or None
    reported_unreachable_since : float or None
        Since when a large fraction of the proxies does not reach the primary.
    """

    primary: str | None
    draining: bool = False
    unreachable_since: float | None = None
    refuses_connections: bool = False
    primary_unknown_since: float | None = None
    writes_unacknowledged_since: float | None = None
    reported_unreachable_since: float | None = None


def promotion_reason(symptoms, now):
    """Return why the primary must be replaced now, or None.

    Parameters
    ----------
    symptoms : PrimarySymptoms
    now : float
        Present instant.

    Returns
    -------
    str or None
    """

    def has_lasted(since, seconds):
        return since is not None and now - since >= seconds

    if symptoms.primary is None:
        return (
            "unknown"
            if has_lasted(symptoms.primary_unknown_since, NO_PRIMARY_SECONDS)
            else None
        )
    if symptoms.draining:
        return "draining"
    min_seconds = (
        REFUSED_CONNECTIONS_SECONDS
        if symptoms.refuses_connections
        else PRIMARY_UNREACHABLE_SECONDS
    )
    if has_lasted(symptoms.unreachable_since, min_seconds):
        return PRIMARY_UNREACHABLE
    if has_lasted(symptoms.writes_unacknowledged_since, UNACKNOWLEDGED_WRITES_SECONDS):
        return WRITES_UNACKNOWLEDGED
    if has_lasted(symptoms.reported_unreachable_since, UNREACHABLE_REPORTS_SECONDS):
        return "unreachable for others"
    return None


def choose_successor(statuses, synchronous=True, nearness_by_id=None):
    """Return the id of the replica to promote, or None while that is not safe.

    With synchronous replication, a replica that does not answer may be the only one
    with an acknowledged commit, so all replicas must answer, the draining ones too.
    Without synchronous replication, the newest commits are lost with the primary in any
    case, so replicas that do not answer are ignored.

    Parameters
    ----------
    statuses : list of ReplicaStatus
        All registered servers of the group but the primary.
    synchronous : bool
        Whether the group acknowledges a commit only after a replica has received it.
    nearness_by_id : dict of str to successor_nearness.Nearness, or None
        Decides among replicas that have received the same log.

    Returns
    -------
    str or None
    """
    nearness_by_id = nearness_by_id or {}
    answered = [status for status in statuses if status.received is not None]
    if not answered or (synchronous and len(answered) < len(statuses)):
        return None
    preferred = [status for status in answered if not status.draining] or answered
    return max(
        preferred,
        key=lambda status: (
            status.received,
            nearness_by_id.get(status.server_id, Nearness()),
            status.server_id,
        ),
    ).server_id


def replica_with_longest_log(statuses):
    """Return the ``ReplicaStatus`` of the replica with the longest log.

    Among equals, one that is not draining is preferred. A draining replica can win,
    because no other server has its last entries; a planned switchover then replaces it
    as primary.
    """
    return max(
        statuses,
        key=lambda status: (status.received, not status.draining, status.server_id),
    )


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
        Returns the future of whether this process is still the promoter.
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
        self._promotion_orders = orders
        self._next_token = next_token
        self._confirm_promoter = confirm_promoter
        self._resign = resign
        self._nearness = nearness or (lambda _domain, _former_domain: Nearness())
        self._evidence = evidence or promotion_evidence.PromotionEvidence()
        self._former_domain = None
        self._commits_missing_since = None
        self._follows_other_promoter = True
        # Until then, an earlier order of any promoter may be carried out.
        self._orders_open_until = float("-inf")
        self._statuses = replica_statuses.ReplicaStatuses(loop, group)
        self._blocked_attempts = 0
        self._in_progress = False
        self._next_attempt_at = 0.0
        self._check_pauses_at = None

    def record_not_promoter(self):
        """Record that another process is the promoter.

        It may pause replicas, and its orders may be carried out after its time.
        """
        self._check_pauses_at = None
        self._follows_other_promoter = True

    @property
    def _has_open_orders(self):
        """Whether an earlier order may still be carried out."""
        return self._loop.clock.now() < self._orders_open_until

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
            self._check_pauses_at = now + ABANDONED_PAUSE_SECONDS
            if self._follows_other_promoter:
                self._orders_open_until = now + ABANDONED_PAUSE_SECONDS
        reason = promotion_reason(symptoms, now)
        if reason is not None:
            task = self._replace_primary(symptoms.primary, reason)
        elif now >= self._check_pauses_at and self._group.active:
            task = self._end_abandoned_pauses()
        else:
            return
        self._in_progress = True
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
        token = self._next_token()
        servers_updated = self._evidence.update_servers()
        if token is None or not (yield self._confirm_promoter()):
            return False
        yield servers_updated
        replicas = [
            server_id for server_id in self._group.pools_by_id if server_id != primary
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
            self._blocked_attempts += 1
            if self._blocked_attempts % BLOCKED_ATTEMPTS_UNTIL_RESIGNING == 0:
                self._resign()
            return False
        if removed_replicas and self._group.synchronous:
            # Such a replica may be on the primary's side of a network partition and
            # acknowledge its commits there.
            event_log.event(
                "takeover_waits_for_gone",
                group=self._group.name,
                primary=primary,
                gone=" ".join(removed_replicas),
            )
            return False
        self._blocked_attempts = 0
        if self._has_open_orders and (yield old_primary_status).is_primary:
            # While the primary does not answer, nobody acknowledges commits.
            yield from self._close_orders(primary)
            if self._has_open_orders:
                return False
        term = 1 + max(
            status.term for status in statuses if status.received is not None
        )
        promoted = self._loop.spawn(
            self._promote_safely(primary, successor, statuses, term, reason, token)
        )
        yield self._loop.first_done(promoted)
        # Until the replicas have answered, a message that resumes one of them may still
        # be on its way, so that the next attempt could not rely on its own pauses.
        yield from self._end_own_pauses(replicas, term)
        if not promoted.result() and not self._has_open_orders:
            yield from self._announce(None)
        return promoted.result()

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
        prepared = yield from self._prepare_successor(
            primary, successor, other_replicas, term
        )
        if prepared is None:
            self._log_decision("takeover_unsafe", reason, primary, statuses)
            return False
        if prepared.server_id != successor:
            yield from self._announce(prepared.server_id)
            if self._may_lack_commits(prepared, primary_answers=False):
                self._log_decision("takeover_unsafe", reason, primary, statuses)
                return False
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
        successor = prepared.server_id
        self._log_decision("takeover", reason, primary, statuses, successor, token)
        ordered_at = self._loop.clock.now()
        with self._guarded_window(primary, successor, term) as window:
            promoted = yield from self._order_promotion(successor, token, window)
        if promoted:
            self._log_effect(prepared, ordered_at, statuses)
        if promoted and prepared.received is not None:
            self._group.sole_copies.record_promotion(successor, prepared.received)
        return promoted

    def _announce(self, successor):
        """Tell all proxies of a promotion; learn which commits it must keep; a task.

        Later ones are passed on to clients only if the successor has received them.
        """
        self._group.announce_promotion(successor)
        seen_by_others = yield self._evidence.announce_promotion(
            self._group.name, successor
        )
        for position in seen_by_others:
            self._group.acknowledged_commits.record(position, self._loop.clock.now())

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

    def _close_orders(self, primary):
        """Make sure that no earlier order is carried out any more; a task.

        An order for the present primary changes nothing, but its token makes the
        platform refuse all earlier orders. One that it has accepted before takes effect
        within ``ACCEPTED_ORDER_SECONDS``. Nothing is ordered if the server does not
        answer as the primary.
        """
        symptoms = self._group.primary_symptoms(self._loop.clock.now())
        if symptoms.unreachable_since is not None:
            return
        status = yield from self._statuses.ask(
            primary, statements.ReadStatus(), PRIMARY_RECHECK_TIMEOUT_SECONDS
        )
        if not status.is_primary or not (yield self._confirm_promoter()):
            return
        token = self._next_token()
        if token is None:
            return
        result = yield self._promotion_orders.promote(self._group.name, primary, token)
        event_log.event(
            "earlier_orders_refused",
            group=self._group.name,
            primary=primary,
            token=token,
            result=result.value,
        )
        if result is not OrderResult.ACCEPTED:
            return
        yield self._loop.sleep_until(self._loop.clock.now() + ACCEPTED_ORDER_SECONDS)
        if self._group.primary.server_id == primary:
            self._orders_open_until = float("-inf")

    def _end_own_pauses(self, replicas, term):
        """Let the replicas receive again, unless another promoter is in charge.

        They stay paused while an earlier order may be carried out: its server lacks
        what they would acknowledge.
        """
        if not (yield self._confirm_promoter()):
            event_log.event("pauses_left_to_promoter", group=self._group.name)
            return
        if self._has_open_orders:
            yield from self._close_orders(self._group.primary.server_id)
        if self._has_open_orders:
            event_log.event("pauses_left_to_orders", group=self._group.name)
            self._check_pauses_at = self._loop.clock.now() + OPEN_ORDERS_RETRY_SECONDS
            return
        if not (
            yield from self._statuses.resume(replicas, lambda paused: paused == term)
        ):
            self._check_pauses_at = self._loop.clock.now() + ABANDONED_PAUSE_SECONDS

    def _end_abandoned_pauses(self):
        """End the pauses of a promoter that could not do so itself; a task."""
        if not (yield self._confirm_promoter()):
            return False
        if self._has_open_orders:
            yield from self._close_orders(self._group.primary.server_id)
        if self._has_open_orders:
            self._check_pauses_at = self._loop.clock.now() + OPEN_ORDERS_RETRY_SECONDS
            return False
        ended = yield from self._statuses.resume(
            list(self._group.pools_by_id), lambda _paused: True
        )
        retry_at = self._loop.clock.now() + ABANDONED_PAUSE_SECONDS
        self._check_pauses_at = math.inf if ended else retry_at
        return False

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
            if server_id not in {primary, successor.server_id}
        ]
        statuses = yield from self._statuses.ask_all(others, statements.ReadStatus())
        return [
            status
            for status in statuses
            if status.received is None
            or status.paused_term != term
            or status.received > successor.received
        ]

    def _prepare_successor(self, primary, successor, other_replicas, term):
        """Pause the other replicas and let the successor receive all that they have.

        Parameters
        ----------
        primary : str or None
        successor : str
        other_replicas : list of str
            All replicas but the successor.
        term : int
            Term for the pause and the step-down, higher than each known one.

        Returns
        -------
        ReplicaStatus or None
            Last status of the server to promote, which may be another one than
            ``successor``; None when no promotion is safe.
        """
        paused_at = self._loop.clock.now()
        statuses = yield from self._statuses.ask_all(
            other_replicas, statements.PauseReceiving(term)
        )
        paused_statuses = [status for status in statuses if status.received is not None]
        if self._group.synchronous and len(paused_statuses) < len(statuses):
            return None
        announced = self._loop.spawn(self._announce(successor))
        catch_up_seconds = FAILOVER_CATCH_UP_SECONDS
        old_primary = ReplicaStatus(primary, False, None)
        if primary in self._group.pools_by_id:
            asked_at = self._loop.clock.now()
            old_primary = yield from self._statuses.ask(
                primary, statements.ReadStatus()
            )
            if old_primary.received is not None:
                catch_up_seconds = SWITCHOVER_CATCH_UP_SECONDS
                self._group.sole_copies.record_primary_position(
                    primary, asked_at, old_primary.received
                )
        yield announced
        positions = [
            *(status.received for status in paused_statuses),
            old_primary.received,
            self._group.sole_copies.required_position,
            self._group.acknowledged_commits.position,
        ]
        required_position = max(
            (position for position in positions if position is not None), default=None
        )
        if required_position is None:
            return ReplicaStatus(successor, False, None)
        deadline = self._loop.clock.now() + catch_up_seconds
        while self._loop.clock.now() < deadline:
            status = yield from self._statuses.ask(successor, statements.ReadStatus())
            if status.received is not None and status.received >= required_position:
                return status
            yield self._loop.sleep_until(self._loop.clock.now() + POLL_INTERVAL_SECONDS)
        last_status = yield from self._statuses.ask(
            successor, statements.PauseReceiving(term)
        )
        if last_status.received is None:
            return None
        best_successor = replica_with_longest_log([*paused_statuses, last_status])
        if self._may_lack_commits(best_successor, old_primary.received is not None):
            event_log.event(
                "takeover_lacks_commits",
                group=self._group.name,
                primary=primary,
                required=self._group.sole_copies.required_position,
                acknowledged=self._group.acknowledged_commits.position,
                received=best_successor.received,
            )
            return None
        if old_primary.received is None:
            return best_successor
        known_ids = {primary, successor, *other_replicas}
        return (
            yield from self._give_up_commits(
                primary, best_successor, known_ids, term, paused_at
            )
        )

    def _give_up_commits(self, primary, successor, known_ids, term, paused_at):
        """Let a reachable primary step down whose last commits no replica has.

        All known replicas are paused, but one that has just started may not be known
        and may acknowledge commits.

        Parameters
        ----------
        primary : str
        successor : ReplicaStatus
        known_ids : set of str
            Ids of the primary and of the paused replicas.
        term : int
        paused_at : float

        Returns
        -------
        ReplicaStatus or None
            Status of the server to promote; None when no promotion is safe.
        """
        outstanding_writes = self._group.outstanding_writes
        if outstanding_writes.acknowledged_at > paused_at:
            return None
        step_down_status = yield from self._statuses.ask(
            primary, statements.StepDown(term)
        )
        if step_down_status.received is None:
            return None
        yield self._loop.sleep_until(
            self._loop.clock.now() + ACKNOWLEDGEMENT_DELAY_SECONDS
        )
        if outstanding_writes.acknowledged_at > paused_at:
            return step_down_status
        if not known_ids.issuperset(self._group.pools_by_id):
            # Other proxies may have got acknowledgements from a replica that has
            # registered since.
            return None
        return successor

    def _may_lack_commits(self, successor, primary_answers):
        """Return whether a successor may lack acknowledged commits.

        While the primary answers, it keeps its role until the others have received
        them. Otherwise it, or a replica, may come back with them for some time.
        """
        if not self._group.synchronous:
            return False
        is_missing = self._group.acknowledged_commits.may_be_beyond(successor.received)
        if is_missing and primary_answers:
            return True
        return self._awaits_missing_commits(is_missing) or self._may_lack_sole_copies(
            successor, primary_answers
        )

    def _awaits_missing_commits(self, is_missing):
        """Return whether a server that has acknowledged commits may still come back."""
        if not is_missing:
            self._commits_missing_since = None
            return False
        now = self._loop.clock.now()
        if self._commits_missing_since is None:
            self._commits_missing_since = now
        return now - self._commits_missing_since <= MISSING_COMMIT_WAIT_SECONDS

    def _may_lack_sole_copies(self, successor, primary_answers):
        """Return whether only the primary may have some acknowledged commits."""
        sole_copies = self._group.sole_copies
        if not sole_copies.may_be_beyond(successor.received):
            return False
        if primary_answers:
            return True
        latest = self._group.primary_positions.latest_sample
        answered_at = float("-inf") if latest is None else latest.asked_at
        waited_since = max(answered_at, sole_copies.lost_at)
        return self._loop.clock.now() - waited_since <= REMOVED_REPLICA_WAIT_SECONDS

    def _order_promotion(self, successor, token, window=None):
        """Order the promotion until the successor is the primary; return whether it is.

        The answer to an order can be lost, so the group's known primary decides.

        Parameters
        ----------
        successor : str
        token : int
        window : promotion_window.PromotionWindow or None
        """
        for repeated in range(MAX_PROMOTION_ORDERS):
            if repeated:
                if not (yield self._confirm_promoter()):
                    return False
                yield from self._announce(successor)
            result = yield self._promotion_orders.promote(
                self._group.name, successor, token
            )
            event_log.event(
                "promote_ordered",
                group=self._group.name,
                server=successor,
                token=token,
                result=result.value,
            )
            if result is not OrderResult.NOT_DONE:
                # A refusal may mean that another promoter has given an order.
                self._orders_open_until = (
                    self._loop.clock.now() + ABANDONED_PAUSE_SECONDS
                )
            if result is OrderResult.REFUSED:
                return False
            if result is OrderResult.ACCEPTED and window is not None:
                self._loop.spawn(window.watch_successor())
            deadline = self._loop.clock.now() + PROMOTION_TIMEOUT_SECONDS
            while self._loop.clock.now() < deadline:
                if self._group.primary.server_id == successor:
                    # All earlier orders have lower tokens, or are for this server.
                    self._orders_open_until = float("-inf")
                    return True
                yield self._loop.sleep_until(
                    self._loop.clock.now() + POLL_INTERVAL_SECONDS
                )
        return False

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
