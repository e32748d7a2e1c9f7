"""When a group needs another primary, which server it is, and the steps until it leads.

A commit is acknowledged when one replica has received it. Before a server is promoted,
all other replicas are paused, so that the old primary can only get acknowledgements
through the promoted one, and the promoted one has received what each paused replica
had. So no acknowledged commit is lost, however late the order is carried out.
"""

import enum

import attrs

from cassiahill import event_log, statements
from cassiahill.statements import Code

DARK_SECONDS = 0.5  # A primary that answers nothing for this long is asked once more.
REFUSING_SECONDS = 0.3  # One that refuses connections has ended; it answers at once.
UNKNOWN_SECONDS = 0.5  # No server says that it leads.
STUCK_WRITES_SECONDS = 0.8  # Commits are not acknowledged while other work is.
UNREACHABLE_REPORTS_SHARE = (
    0.4  # Of the proxies, when they and not this one lack the primary.
)
REPORTED_SECONDS = 1.0
PAUSE_BETWEEN_SECONDS = 0.3
AFTER_SWITCH_SECONDS = 1.5  # The new primary has time to take over.
ANSWER_SECONDS = 0.4
LAST_QUESTION_SECONDS = 0.25  # To a primary that has been silent for some time already.
CATCH_UP_SECONDS = 1.5  # The old primary still sends what is missing.
UNPLANNED_CATCH_UP_SECONDS = 0.2
CONFIRM_SECONDS = 1.6  # A promotion takes about a second.
# An order without an answer may still be carried out some 12 s later. Until the
# successor leads, the order is repeated and the other replicas stay paused.
CONFIRM_ROUNDS = 9
STEP_SECONDS = 0.03
DELIVERY_SECONDS = 0.06  # An acknowledgement on its way has arrived after this.
# A cut that hides the primary and a replica is over by then, and both are asked again.
GONE_SECONDS = 10.0
WAITS_UNTIL_RESIGNING = 2  # Another process may reach the replicas that this one lacks.


UNREACHABLE = "unreachable"
WRITES_STUCK = "writes are not acknowledged"


class OrderResult(enum.Enum):
    """What became of an order to promote."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # A higher token was used, or the server does not run.
    NOT_DONE = "not_done"
    UNANSWERED = "unanswered"  # It may still be carried out.


class PromotionOrders:
    """Makes a server the primary of its group."""

    def promote(self, group, server_id, token):
        """Return the future of an ``OrderResult``.

        Parameters
        ----------
        group, server_id : str
        token : int
            Fencing token; an order with a lower one than was seen is refused.
        """
        raise NotImplementedError


@attrs.frozen
class Symptoms:
    """What is known of a group's primary at one moment; instants or None.

    Attributes
    ----------
    primary : str or None
    draining : bool
    unreachable_since : float or None
    refuses : bool
        Whether new connections are refused, not just silent.
    unknown_since : float or None
    writes_stuck_since : float or None
    reported_since : float or None
        Since when a large share of the proxies does not reach the primary.
    """

    primary: str | None
    draining: bool = False
    unreachable_since: float | None = None
    refuses: bool = False
    unknown_since: float | None = None
    writes_stuck_since: float | None = None
    reported_since: float | None = None


def promotion_reason(symptoms, now):
    """Return why the primary must be replaced now, or None.

    Parameters
    ----------
    symptoms : Symptoms
    now : float

    Returns
    -------
    str or None
    """

    def lasts(since, seconds):
        return since is not None and now - since >= seconds

    if symptoms.primary is None:
        return "unknown" if lasts(symptoms.unknown_since, UNKNOWN_SECONDS) else None
    if symptoms.draining:
        return "draining"
    silence = REFUSING_SECONDS if symptoms.refuses else DARK_SECONDS
    if lasts(symptoms.unreachable_since, silence):
        return UNREACHABLE
    if lasts(symptoms.writes_stuck_since, STUCK_WRITES_SECONDS):
        return WRITES_STUCK
    if lasts(symptoms.reported_since, REPORTED_SECONDS):
        return "unreachable for others"
    return None


@attrs.frozen
class Standing:
    """What one replica has said of itself.

    ``received`` is None when it did not answer.
    """

    server_id: str
    draining: bool
    received: object
    term: int = 0


def choose_successor(standings, synchronous=True):
    """Return the id of the replica to promote, or None while that is not safe.

    An unanswered replica may be the only one with an acknowledged commit, and so may a
    draining one, whose log leaves with it. Without synchronous replication the newest
    commits are lost with the primary in any case, so nobody waits for silent replicas.

    Parameters
    ----------
    standings : list of Standing
        All registered servers of the group but the primary.
    synchronous : bool
        Whether the group acknowledges commits only after a replica has them.
    """
    answered = [one for one in standings if one.received is not None]
    if not answered or (synchronous and len(answered) < len(standings)):
        return None
    staying = [one for one in answered if not one.draining] or answered
    return max(staying, key=lambda one: (one.received, one.server_id)).server_id


def longest_log(standings):
    """Return the id of the replica with the longest log, a staying one among equals.

    It may be draining: nobody else has what it has received last. As a primary it is
    then replaced in a planned switch.
    """
    longest = max(
        standings, key=lambda one: (one.received, not one.draining, one.server_id)
    )
    return longest.server_id


class Takeover:
    """Replaces the primary of one group; runs only in the process that may do so.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    orders : PromotionOrders
    next_token : callable
        Returns a fencing token that no order has had, or None when this process may
        not give orders.
    confirm : callable
        Returns the future of whether this process is still the one that gives orders.
    resign : callable
        Lets another process give orders, when this one does not reach the replicas.
    """

    def __init__(self, loop, group, orders, next_token, confirm, resign):
        self._loop = loop
        self._group = group
        self._orders = orders
        self._next_token = next_token
        self._confirm = confirm
        self._resign = resign
        self._waits = 0
        self._running = False
        self._quiet_until = 0.0

    def start_if_needed(self, symptoms):
        """Start a switch when the symptoms ask for one and none is under way."""
        now = self._loop.clock.now()
        if self._running or now < self._quiet_until:
            return
        reason = promotion_reason(symptoms, now)
        if reason is None:
            return
        self._running = True
        future = self._loop.spawn(self._switch(symptoms.primary, reason))
        self._loop.when_done(future, self._finish)

    def _finish(self, future):
        self._running = False
        pause = PAUSE_BETWEEN_SECONDS
        error = future.exception()
        if error is not None:
            event_log.event(
                "takeover_failed", group=self._group.name, cause=repr(error)
            )
        elif future.result():
            pause = AFTER_SWITCH_SECONDS
        self._quiet_until = self._loop.clock.now() + pause

    def _switch(self, primary, reason):
        token = self._next_token()
        if token is None or not (yield self._confirm()):
            return False
        replicas = [one for one in self._group.pools_by_id if one != primary]
        # A replica that registers again from here on is not among those that are asked.
        gone = self._group.gone_with_primary(GONE_SECONDS)
        asked_old = self._loop.spawn(
            self._ask(primary, statements.ReadStatus(), LAST_QUESTION_SECONDS)
        )
        standings = yield from self._ask_all(replicas, statements.ReadStatus())
        if reason == UNREACHABLE and (yield asked_old).received is not None:
            self._log("takeover_needless", reason, primary, standings)
            return False
        successor = choose_successor(standings, self._group.synchronous)
        if successor is None:
            self._log("takeover_waits", reason, primary, standings)
            self._waits += 1
            if self._waits % WAITS_UNTIL_RESIGNING == 0:
                self._resign()
            return False
        if gone and self._group.synchronous:
            # Behind a cut, such a replica may acknowledge commits of the primary.
            event_log.event(
                "takeover_waits_for_gone",
                group=self._group.name,
                primary=primary,
                gone=" ".join(gone),
            )
            return False
        self._waits = 0
        others = [one for one in replicas if one != successor]
        term = 1 + max(one.term for one in standings if one.received is not None)
        try:
            successor = yield from self._make_safe(primary, successor, others, term)
            if successor is None:
                self._log("takeover_unsafe", reason, primary, standings)
                return False
            self._log("takeover", reason, primary, standings, successor, token)
            return (yield from self._order(successor, token))
        finally:
            self._loop.spawn(self._resume(replicas))

    def _make_safe(self, primary, successor, others, term):
        """Pause the others and let the successor catch up; return whom to promote."""
        paused_at = self._loop.clock.now()
        paused = yield from self._ask_all(others, statements.PauseReceiving(term))
        answered = [one for one in paused if one.received is not None]
        if self._group.synchronous and len(answered) < len(paused):
            return None
        needed = max((one.received for one in answered), default=None)
        seconds = UNPLANNED_CATCH_UP_SECONDS
        old = Standing(primary, False, None)
        if primary in self._group.pools_by_id:
            old = yield from self._ask(primary, statements.ReadStatus())
            if old.received is not None:
                seconds = CATCH_UP_SECONDS
                needed = old.received if needed is None else max(needed, old.received)
        if needed is None:
            return successor
        deadline = self._loop.clock.now() + seconds
        while self._loop.clock.now() < deadline:
            standing = yield from self._ask(successor, statements.ReadStatus())
            if standing.received is not None and standing.received >= needed:
                return successor
            yield self._loop.sleep_until(self._loop.clock.now() + STEP_SECONDS)
        last = yield from self._ask(successor, statements.PauseReceiving(term))
        if last.received is None:
            return None
        # All known replicas are paused. One that has just started may not be known, so
        # a primary that can be reached must stop before its commits are given up.
        if old.received is not None:
            if self._group.outstanding_writes.acknowledged_at > paused_at:
                return None
            stopped = yield from self._ask(primary, statements.StepDown(term))
            if stopped.received is None:
                return None
            yield self._loop.sleep_until(self._loop.clock.now() + DELIVERY_SECONDS)
            if self._group.outstanding_writes.acknowledged_at > paused_at:
                return primary
        return longest_log([*answered, last])

    def _order(self, successor, token):
        for _ in range(CONFIRM_ROUNDS):
            result = yield self._orders.promote(self._group.name, successor, token)
            event_log.event(
                "promote_ordered",
                group=self._group.name,
                server=successor,
                token=token,
                result=result.value,
            )
            if result is OrderResult.REFUSED:
                return False
            deadline = self._loop.clock.now() + CONFIRM_SECONDS
            while self._loop.clock.now() < deadline:
                if self._group.primary.server_id == successor:
                    return True
                yield self._loop.sleep_until(self._loop.clock.now() + STEP_SECONDS)
        return False

    def _resume(self, replicas):
        for server_id in replicas:
            if server_id in self._group.pools_by_id:
                yield from self._ask(server_id, statements.ResumeReceiving())

    def _ask_all(self, server_ids, statement):
        futures = [
            self._loop.spawn(self._ask(server_id, statement))
            for server_id in server_ids
        ]
        standings = []
        for future in futures:
            standings.append((yield future))
        return standings

    def _ask(self, server_id, statement, seconds=ANSWER_SECONDS):
        """Return the ``Standing`` of a server."""
        deadline = self._loop.clock.now() + seconds
        pool = self._group.pools_by_id.get(server_id)
        draining = pool is not None and pool.server.draining
        while pool is not None and self._loop.clock.now() < deadline:
            report = yield from self._group.ask_report(server_id, statement, deadline)
            if report is not Code.BUSY:
                if report is None:
                    break
                return Standing(server_id, draining, report.received, report.term)
            yield self._loop.sleep_until(self._loop.clock.now() + STEP_SECONDS)
        return Standing(server_id, draining, None)

    def _log(self, name, reason, primary, standings, successor=None, token=None):
        positions = " ".join(f"{one.server_id}={one.received}" for one in standings)
        event_log.event(
            name,
            group=self._group.name,
            reason=reason,
            primary=primary,
            replicas=positions,
            successor=successor,
            token=token,
        )
