"""Prepares a replica for its promotion, so that it has all acknowledged commits.

All other replicas stop receiving the log, and the successor receives everything that
they have, that the old primary has, and that any proxy has seen acknowledged.
"""

import attrs

from cassiahill import event_log, statements
from cassiahill.replica_statuses import POLL_INTERVAL_SECONDS, ReplicaStatus
from cassiahill.successor_choice import replica_with_longest_log

# Longer than in a failover, because the old primary still sends the entries that the
# successor does not have yet.
SWITCHOVER_CATCH_UP_SECONDS = 1.5
FAILOVER_CATCH_UP_SECONDS = 0.2
ACKNOWLEDGEMENT_DELAY_SECONDS = 0.06  # Time for a sent acknowledgement to arrive.


@attrs.frozen
class Plan:
    """What is to be prepared.

    Attributes
    ----------
    primary : str or None
        Id of the old primary.
    successor : str
    other_replicas : list of str
        All replicas but the successor.
    term : int
        Term for the pause and the step-down, higher than each known one.
    """

    primary: str | None
    successor: str
    other_replicas: list
    term: int


def log_wait_for_removed(group, primary, removed_ids):
    """Log that a promotion waits for replicas that may run by the primary."""
    event_log.event(
        "takeover_waits_for_gone",
        group=group.name,
        primary=primary,
        gone=" ".join(removed_ids),
    )


class SuccessorPreparation:
    """Prepares successors of one group.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    statuses : replica_statuses.ReplicaStatuses
    missing_commits : missing_commits.MissingCommits
    evidence : promotion_evidence.PromotionEvidence
    ask_proxies : callable
        Task that asks all proxies about the promotion of a server, and returns whether
        this process is still the promoter.
    """

    def __init__(self, loop, group, statuses, missing_commits, evidence, ask_proxies):
        self._loop = loop
        self._group = group
        self._statuses = statuses
        self._missing_commits = missing_commits
        self._evidence = evidence
        self._ask_proxies = ask_proxies

    def prepare(self, plan):
        """Pause the other replicas and let the successor receive all that they have.

        Parameters
        ----------
        plan : Plan

        Returns
        -------
        ReplicaStatus or None
            Last status of the server to promote, which may be another one than the
            successor of the plan; None when no promotion is safe.
        """
        paused_at = self._loop.clock.now()
        statuses = yield from self._statuses.ask_all(
            plan.other_replicas, statements.PauseReceiving(plan.term)
        )
        paused_statuses = [status for status in statuses if status.received is not None]
        if self._group.synchronous and len(paused_statuses) < len(statuses):
            return None
        proxies_asked = self._loop.spawn(self._ask_proxies(plan.successor))
        old_primary = yield from self._ask_old_primary(plan.primary)
        if not (yield proxies_asked) or self._awaits_replicas(plan.primary):
            return None
        required_position = self._required_position(paused_statuses, old_primary)
        if required_position is None:
            return ReplicaStatus(plan.successor, False, None)
        status = yield from self._catch_up(plan, required_position, old_primary)
        if status is not None:
            return status
        return (
            yield from self._choose_behind(
                plan, paused_statuses, old_primary, paused_at
            )
        )

    def _ask_old_primary(self, primary):
        """Return the ``ReplicaStatus`` of the old primary; a task."""
        if primary not in self._group.pools_by_id:
            return ReplicaStatus(primary, False, None)
        asked_at = self._loop.clock.now()
        status = yield from self._statuses.ask(primary, statements.ReadStatus())
        if status.received is not None:
            self._group.sole_copies.record_primary_position(
                primary, asked_at, status.received
            )
        return status

    def _awaits_replicas(self, primary):
        """Return whether to wait for replicas that this process does not know."""
        name = self._group.name
        unknown_ids = self._missing_commits.awaited_ids(
            self._evidence.replicas_known_to_others(name)
        )
        if unknown_ids:
            event_log.event(
                "takeover_waits_for_unknown",
                group=name,
                primary=primary,
                unknown=" ".join(unknown_ids),
            )
            return True
        removed_ids = self._missing_commits.awaited_removed_ids(
            self._evidence.removed_by_others(name)
        )
        if removed_ids:
            log_wait_for_removed(self._group, primary, removed_ids)
        return bool(removed_ids)

    def _required_position(self, paused_statuses, old_primary):
        """Return the newest position that the successor must have, or None."""
        positions = [
            *(status.received for status in paused_statuses),
            old_primary.received,
            self._group.sole_copies.required_position,
            self._group.acknowledged_commits.position,
        ]
        return max(
            (position for position in positions if position is not None), default=None
        )

    def _catch_up(self, plan, required_position, old_primary):
        """Return the successor's status once it has a position, or None; a task."""
        deadline = self._loop.clock.now() + (
            FAILOVER_CATCH_UP_SECONDS
            if old_primary.received is None
            else SWITCHOVER_CATCH_UP_SECONDS
        )
        while self._loop.clock.now() < deadline:
            status = yield from self._statuses.ask(
                plan.successor, statements.ReadStatus()
            )
            if status.received is not None and status.received >= required_position:
                return status
            yield self._loop.sleep_until(self._loop.clock.now() + POLL_INTERVAL_SECONDS)
        return None

    def _choose_behind(self, plan, paused_statuses, old_primary, paused_at):
        """Choose among replicas that all lack something; a task.

        Parameters
        ----------
        plan : Plan
        paused_statuses : list of ReplicaStatus
        old_primary : ReplicaStatus
        paused_at : float

        Returns
        -------
        ReplicaStatus or None
            Status of the server to promote; None when no promotion is safe.
        """
        last_status = yield from self._statuses.ask(
            plan.successor, statements.PauseReceiving(plan.term)
        )
        if last_status.received is None:
            return None
        best_successor = replica_with_longest_log([*paused_statuses, last_status])
        primary_answers = old_primary.received is not None
        if self._missing_commits.may_lack(best_successor, primary_answers):
            event_log.event(
                "takeover_lacks_commits",
                group=self._group.name,
                primary=plan.primary,
                required=self._group.sole_copies.required_position,
                acknowledged=self._group.acknowledged_commits.position,
                received=best_successor.received,
            )
            return None
        if not primary_answers:
            return best_successor
        return (yield from self._give_up_commits(plan, best_successor, paused_at))

    def _give_up_commits(self, plan, successor, paused_at):
        """Let a reachable primary step down whose last commits no replica has.

        All known replicas are paused, but one that has just started may not be known
        and may acknowledge commits.

        Parameters
        ----------
        plan : Plan
        successor : ReplicaStatus
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
            plan.primary, statements.StepDown(plan.term)
        )
        if step_down_status.received is None:
            return None
        yield self._loop.sleep_until(
            self._loop.clock.now() + ACKNOWLEDGEMENT_DELAY_SECONDS
        )
        if outstanding_writes.acknowledged_at > paused_at:
            return step_down_status
        known_ids = {plan.primary, plan.successor, *plan.other_replicas}
        if not known_ids.issuperset(self._group.pools_by_id):
            # Other proxies may have got acknowledgements from a replica that has
            # registered since.
            return None
        return successor
