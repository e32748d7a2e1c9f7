"""Orders to promote a server, and how long they may still be carried out."""

import enum

from cassiahill import event_log, statements
from cassiahill.replica_statuses import POLL_INTERVAL_SECONDS

# Shorter than ANSWER_TIMEOUT_SECONDS, because this primary has not answered for some
# time already.
PRIMARY_RECHECK_TIMEOUT_SECONDS = 0.25
PROMOTION_TIMEOUT_SECONDS = 1.6  # A promotion takes about a second.
# An order without an answer may still be carried out some 12 s later. Until the
# successor is the primary, the order is repeated and the other replicas stay paused.
MAX_PROMOTION_ORDERS = 9
# An accepted order takes about a second until the server leads.
ACCEPTED_ORDER_SECONDS = 1.4
OPEN_ORDERS_RETRY_SECONDS = 0.6
# Then a promotion is prepared all the same: its own order closes the earlier ones.
MAX_UNANSWERED_CLOSINGS = 2
# By then no earlier order can be carried out any more.
ABANDONED_PAUSE_SECONDS = 15.0


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


class OrderedPromotions:
    """Gives the orders of one group, and knows which may still be carried out.

    Parameters
    ----------
    loop : loop.EventLoop
    group : server_group.ServerGroup
    orders : PromotionOrders
    statuses : replica_statuses.ReplicaStatuses
    next_token, confirm_promoter : callable
        See ``takeover.Takeover``.
    ask_proxies : callable
        Task that asks all proxies about the promotion of a server, and returns whether
        this process is still the promoter.

    Attributes
    ----------
    are_fenced : bool
        Whether the platform has accepted an order of this term, so that it refuses
        those of all former promoters, however late they are given.
    was_refused : bool
        Whether an order was refused since the store has last confirmed the promoter. A
        newer promoter may have used a higher token.
    """

    def __init__(
        self, loop, group, orders, statuses, next_token, confirm_promoter, ask_proxies
    ):
        self._loop = loop
        self._group = group
        self._orders = orders
        self._statuses = statuses
        self._next_token = next_token
        self._confirm_promoter = confirm_promoter
        self._ask_proxies = ask_proxies
        self._follows_other_promoter = True
        # Until then, an earlier order of any promoter may be carried out.
        self._open_until = float("-inf")
        self._unanswered_closings = 0
        self.was_refused = False
        self.are_fenced = False

    @property
    def are_open(self):
        """Whether an earlier order may still be carried out."""
        return self._loop.clock.now() < self._open_until

    def record_other_promoter(self):
        """Record that another process is the promoter, and may give orders."""
        self._follows_other_promoter = True
        self.was_refused = False

    def record_first_promoter(self):
        """Record that no other process has given orders lately, as an embedder knows.

        Without this call a predecessor is assumed.
        """
        self._follows_other_promoter = False

    def begin_term(self, now):
        """Record that this process has become the promoter."""
        self.are_fenced = not self._follows_other_promoter
        if self._follows_other_promoter:
            self._open_until = now + ABANDONED_PAUSE_SECONDS

    def close(self, primary):
        """Make sure that no earlier order is carried out any more; a task.

        An order for the present primary changes nothing, but its token makes the
        platform refuse all earlier orders. One that it has accepted before takes effect
        within ``ACCEPTED_ORDER_SECONDS``. Nothing is ordered if the server does not
        answer as the primary.

        Returns
        -------
        bool
            Whether a promotion may be prepared. While the primary does not answer,
            nobody acknowledges commits that an earlier order could lose.
        """
        symptoms = self._group.primary_symptoms(self._loop.clock.now())
        if symptoms.unreachable_since is not None:
            return True
        status = yield from self._statuses.ask(
            primary, statements.ReadStatus(), PRIMARY_RECHECK_TIMEOUT_SECONDS
        )
        if not status.is_primary:
            return True
        token = self._next_token()
        if token is None or not (yield self._confirm_promoter()):
            return False
        result = yield self._orders.promote(self._group.name, primary, token)
        event_log.event(
            "earlier_orders_refused",
            group=self._group.name,
            primary=primary,
            token=token,
            result=result.value,
        )
        if result is OrderResult.UNANSWERED:
            # If another server becomes the primary, this order would undo that.
            self._open_until = self._loop.clock.now() + ABANDONED_PAUSE_SECONDS
            self._unanswered_closings += 1
            return self._unanswered_closings >= MAX_UNANSWERED_CLOSINGS
        self._unanswered_closings = 0
        if result is OrderResult.REFUSED:
            self.was_refused = True
        if result is not OrderResult.ACCEPTED:
            return False
        yield self._loop.sleep_until(self._loop.clock.now() + ACCEPTED_ORDER_SECONDS)
        if self._group.primary.server_id != primary or not (
            yield self._confirm_promoter()
        ):
            return False
        self._open_until = float("-inf")
        self.are_fenced = True
        return True

    def promote(self, successor, token, window=None):
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
                if not (yield from self._ask_proxies(successor)):
                    return False
            result = yield self._orders.promote(self._group.name, successor, token)
            event_log.event(
                "promote_ordered",
                group=self._group.name,
                server=successor,
                token=token,
                result=result.value,
            )
            if result is not OrderResult.NOT_DONE:
                # A refusal may mean that another promoter has given an order.
                self._open_until = self._loop.clock.now() + ABANDONED_PAUSE_SECONDS
            if result is OrderResult.ACCEPTED:
                self._unanswered_closings = 0
                self.are_fenced = True
            if result is OrderResult.REFUSED:
                self.was_refused = True
                return False
            if result is OrderResult.ACCEPTED and window is not None:
                self._loop.spawn(window.watch_successor())
            deadline = self._loop.clock.now() + PROMOTION_TIMEOUT_SECONDS
            while self._loop.clock.now() < deadline:
                if self._group.primary.server_id == successor:
                    if not self._unanswered_closings:
                        # Earlier orders have lower tokens, or are for this server.
                        self._open_until = float("-inf")
                    return True
                yield self._loop.sleep_until(
                    self._loop.clock.now() + POLL_INTERVAL_SECONDS
                )
        return False
