"""Detection of failed primaries and execution of promotions on the event loop."""

import collections

import attrs
from absl import logging

from cassiahill import errors, promotion, suspicion
from cassiahill import promotion_events as events

PROBE_INTERVAL_SECONDS = 0.25
# Long enough for the answer of a slow primary.
PROBE_TIMEOUT_SECONDS = 0.5
VERDICT_INTERVAL_SECONDS = 0.05
# After a longer gap between two ticks, this process was paused and its observations are
# discarded.
MAX_TICK_GAP_SECONDS = 0.5
# Time for one control call to a backend server.
CALL_TIMEOUT_SECONDS = 0.4
# Delay per observer rank before a promotion starts; longer than a promotion usually
# takes, so that the next observer starts only when the one before it failed.
RANK_DELAY_SECONDS = 0.3
# Time between two ``follow`` commands to one server.
FOLLOW_INTERVAL_SECONDS = 0.5
MAX_RECORDED_STEPS = 40


@attrs.frozen
class PrimaryChange:
    """The result of a promotion: the primary of a term.

    ``promotion_id`` is the id of the promotion.
    """

    group: str
    term: int
    primary: str
    promotion_id: str


class FailoverDriver:
    """Probes primaries, exchanges observations with other proxies and runs promotions.

    Each proxy has one driver for all groups.

    Parameters
    ----------
    loop : loop.EventLoop
    group_settings_by_name : dict of str to settings.GroupSettings
        Settings by group name.
    backends_by_server : dict of str to backend.Backend
    views_by_group : dict of str to freshness.GroupView
        Updated by the pollers; the driver adds the answers of its probes.
    own_name, own_domain : str
        Name and failure domain of this proxy.
    rng : random.Random
        Source of promotion ids and of the jitter.
    claim_term : callable
        Claims a term in the platform: takes the group, the term and the promotion's id,
        and returns a future. A false result or ``errors.Conflict`` refuses the claim;
        any other error counts as no answer.
    on_observation : callable
        Sends a ``suspicion.Observation`` to the other observers.
    on_primary_change : callable
        Takes the ``PrimaryChange`` of each promotion made by this proxy.
    """

    def __init__(
        self,
        loop,
        group_settings_by_name,
        backends_by_server,
        views_by_group,
        own_name,
        own_domain,
        rng,
        claim_term,
        on_observation,
        on_primary_change,
    ):
        self.loop = loop
        self.own_name = own_name
        self.rng = rng
        self.claim_term = claim_term
        self.on_observation = on_observation
        self.on_primary_change = on_primary_change
        self.counts = collections.Counter()
        self._failovers_by_group = {
            name: _GroupFailover(self, group, backends_by_server, views_by_group[name])
            for name, group in group_settings_by_name.items()
        }
        self._last_tick_at = loop.clock.now()
        self.set_live_proxies({own_name: own_domain})
        self._timer = loop.repeat(loop.clock.now(), self._tick)

    def set_live_proxies(self, domains_by_proxy):
        """Choose the observers of each group among the live proxies.

        Parameters
        ----------
        domains_by_proxy : dict of str to str
            Failure domain of each live proxy, this one included.
        """
        now = self.loop.clock.now()
        for name, failover in self._failovers_by_group.items():
            failover.set_observers(
                suspicion.choose_observers(name, domains_by_proxy), now
            )

    def record_observation(self, observation):
        """Record an observation that another proxy sent."""
        failover = self._failovers_by_group.get(observation.group)
        if failover is not None:
            failover.suspicion.record_observation(observation, self.loop.clock.now())

    def approve(self, group):
        """Pass an operator's approval to the group's running promotion.

        Raises
        ------
        errors.UnknownGroup
            When the group is not configured.
        """
        if group not in self._failovers_by_group:
            raise errors.UnknownGroup(group)
        self._failovers_by_group[group].approve()

    def dump(self):
        """Return observations, promotion steps and counters, as JSON values."""
        now = self.loop.clock.now()
        return {
            "counts": dict(self.counts),
            "groups": {
                name: failover.describe(now)
                for name, failover in self._failovers_by_group.items()
                if failover.is_observer
            },
        }

    def close(self):
        """Stop probes and promotions; another observer repeats a running promotion."""
        self._timer.cancel()
        for failover in self._failovers_by_group.values():
            failover.close()

    def _tick(self):
        now = self.loop.clock.now()
        was_paused = now - self._last_tick_at > MAX_TICK_GAP_SECONDS
        self._last_tick_at = now
        for failover in self._failovers_by_group.values():
            if failover.is_observer:
                if was_paused:
                    failover.suspicion.discard_observations(now)
                failover.tick(now)
        return now + VERDICT_INTERVAL_SECONDS


class _GroupFailover:
    """Failure detection and promotion in one group."""

    def __init__(self, driver, settings, backends_by_server, view):
        self._driver = driver
        self._loop = driver.loop
        self._settings = settings
        self._servers = tuple(settings.servers_by_name)
        self._backends = {name: backends_by_server[name] for name in self._servers}
        self._view = view
        self.suspicion = suspicion.PrimarySuspicion(self._servers, driver.own_name)
        self.is_observer = False
        self._observer_rank = 0
        self._active_promotion = None
        self._timer = None
        self._next_probe_at = 0.0
        self._primary_failed_since = None
        self._promoted_at = float("-inf")
        self._sent_unreachable_seconds = 0.0
        self._next_follow_at_by_server = {}
        self._steps = collections.deque(maxlen=MAX_RECORDED_STEPS)

    def set_observers(self, observers, now):
        own_name = self._driver.own_name
        was_observer = self.is_observer
        self.is_observer = own_name in observers
        if self.is_observer:
            self._observer_rank = observers.index(own_name)
            self.suspicion.set_observers(observers)
            if not was_observer:
                self.suspicion.discard_observations(now)

    def approve(self):
        if self._active_promotion is not None:
            self._handle_event(self._active_promotion, events.OperatorApproved())

    def describe(self, now):
        group_promotion = self._active_promotion
        return {
            "rank": self._observer_rank,
            "verdict": str(self.suspicion.verdict(now)),
            "observations": self.suspicion.describe(now),
            "promotion": None
            if group_promotion is None
            else group_promotion.describe(),
            "steps": [
                [round((now - step_at) * 1000), text] for step_at, text in self._steps
            ],
        }

    def close(self):
        self._active_promotion = None
        if self._timer is not None:
            self._timer.cancel()

    def tick(self, now):
        self._update_known_primary(now)
        for status in self._view.status_by_server.values():
            self.suspicion.record_status(status)
        if self._active_promotion is not None:
            for status in list(self._view.status_by_server.values()):
                if self._active_promotion is not None:
                    self._handle_event(self._active_promotion, events.Observed(status))
            return
        if self.suspicion.primary and now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS
            self._loop.spawn(
                self._probe_primary(self.suspicion.term, self.suspicion.primary)
            )
        self._send_observation(now, only_on_threshold=True)
        self._act_on_verdict(self.suspicion.verdict(now), now)

    def _update_known_primary(self, now):
        previous = (self.suspicion.term, self.suspicion.primary)
        self.suspicion.set_primary(
            self._view.term, suspicion.reported_primary(self._view), now
        )
        if (self.suspicion.term, self.suspicion.primary) == previous:
            return
        self._sent_unreachable_seconds = 0.0
        self._next_probe_at = now
        if previous != (0, "") and self.suspicion.primary:
            self._promoted_at = now

    def _probe_primary(self, term, primary):
        sent_at = self._loop.clock.now()
        answered = False
        try:
            status = yield self._backends[primary].probe(
                sent_at + PROBE_TIMEOUT_SECONDS
            )
            self._view.record_status(status)
            # A server that restarted answers, but is no longer the primary.
            answered = status.role == "primary"
        except errors.CassiahillError:
            self._driver.counts["probes_failed"] += 1
        if (term, primary) == (self.suspicion.term, self.suspicion.primary):
            now = self._loop.clock.now()
            self.suspicion.record_probe(answered, sent_at, now)
            self._send_observation(now)

    def _send_observation(self, now, only_on_threshold=False):
        """Send to the other observers for how long the primary has not answered.

        Nothing is sent while the primary answers, except once when it answers again.
        With ``only_on_threshold``, the observation is sent only when the time without
        an answer reaches the threshold of a verdict.
        """
        unreachable_seconds = self.suspicion.unreachable_seconds(now)
        crossed_threshold = (
            self._sent_unreachable_seconds
            < suspicion.PROBE_UNREACHABLE_SECONDS
            <= unreachable_seconds
        )
        if only_on_threshold and not crossed_threshold:
            return
        if unreachable_seconds or self._sent_unreachable_seconds:
            self._sent_unreachable_seconds = unreachable_seconds
            self._driver.on_observation(
                suspicion.Observation(
                    self._settings.name,
                    self.suspicion.term,
                    self.suspicion.primary,
                    self._driver.own_name,
                    unreachable_seconds,
                )
            )

    def _act_on_verdict(self, verdict, now):
        if not isinstance(verdict, suspicion.Failed):
            self._primary_failed_since = None
            self._send_due_follows(now)
            return
        if promotion.is_too_soon(verdict.reason, self._promoted_at, now):
            return
        if self._primary_failed_since is None:
            self._primary_failed_since = now
        if now - self._primary_failed_since >= RANK_DELAY_SECONDS * self._observer_rank:
            self._primary_failed_since = None
            self._start_promotion(verdict.reason)

    def _start_promotion(self, reason):
        term, primary = self.suspicion.term, self.suspicion.primary
        group_promotion = self._active_promotion = promotion.Promotion(
            self._servers,
            f"{self._driver.own_name}/{self._driver.rng.getrandbits(64):016x}",
            {primary} - {""},
            term,
            self._driver.rng,
            self._settings.acknowledge,
            getattr(self._settings, "promote", "majority"),
        )
        self._driver.counts["promotions_started"] += 1
        self._log_event(
            "promotion_started", f"term={term + 1} reason={reason.name.lower()}"
        )
        self._handle_event(group_promotion, events.Start())

    def _send_due_follows(self, now):
        recent_statuses = [
            self._view.status_by_server[server]
            for server in self.suspicion.reachable_servers(now)
            if server in self._view.status_by_server
        ]
        follows = promotion.follow_commands(
            recent_statuses, self._servers, self._view.term, self._view.primary
        )
        previous_by_server = self._next_follow_at_by_server
        self._next_follow_at_by_server = {
            action.server: previous_by_server.get(
                action.server, now + RANK_DELAY_SECONDS * self._observer_rank
            )
            for action in follows
        }
        for action in follows:
            if self._next_follow_at_by_server[action.server] <= now:
                self._next_follow_at_by_server[action.server] = (
                    now + FOLLOW_INTERVAL_SECONDS
                )
                self._driver.counts["follows_sent"] += 1
                self._log_event(
                    "follow", f"server={action.server} primary={action.primary}"
                )
                self._loop.spawn(_ignore_errors(self._call_follow(action)))

    def _handle_event(self, group_promotion, event):
        """Pass an event to its promotion unless that is no longer the active one."""
        if self._active_promotion is not group_promotion:
            return
        if not isinstance(event, (events.Observed, events.Tick)):
            self._record_step(event)
        for action in group_promotion.step(event, self._loop.clock.now()):
            self._perform_action(group_promotion, action)

    def _perform_action(self, group_promotion, action):
        if not isinstance(action, events.Wait):
            self._record_step(action)
        match action:
            case events.Wait(until=until):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(
                    until, lambda: self._handle_event(group_promotion, events.Tick())
                )
            case events.ClaimInPlatform(term=term):
                self._loop.spawn(self._request_claim(group_promotion, term))
            case events.RaiseTerm() | events.Promote() | events.Follow():
                self._loop.spawn(self._call_server(group_promotion, action))
            case events.Publish(term=term, primary=primary):
                self._log_event("primary_changed", f"term={term} primary={primary}")
                self._driver.on_primary_change(
                    PrimaryChange(
                        self._settings.name, term, primary, group_promotion.promotion_id
                    )
                )
            case events.Done():
                self._end_promotion("promotions_done")
            case events.Abandon(reason=reason):
                self._end_promotion("promotions_abandoned")
                self._log_event("promotion_abandoned", f"reason={reason!r}")

    def _end_promotion(self, counter):
        self._driver.counts[counter] += 1
        self._active_promotion = None
        self._timer.cancel()

    def _request_claim(self, group_promotion, term):
        claim = self._driver.claim_term
        try:
            granted = yield claim(
                self._settings.name, term, group_promotion.promotion_id
            )
        except errors.Conflict:
            granted = False
        except errors.CassiahillError:
            return  # The promotion continues without a claim after the claim's timeout.
        self._handle_event(group_promotion, events.ClaimAnswered(term, bool(granted)))

    def _call_server(self, group_promotion, action):
        term, server = action.term, action.server
        deadline = self._loop.clock.now() + CALL_TIMEOUT_SECONDS
        backend = self._backends[server]
        try:
            match action:
                case events.RaiseTerm():
                    log_end = yield backend.raise_term(
                        term, group_promotion.promotion_id, deadline
                    )
                    event = events.TermRaised(term, log_end)
                case events.Promote():
                    yield backend.promote(term, group_promotion.promotion_id, deadline)
                    event = events.Promoted(term, server)
                case events.Follow():
                    yield from self._call_follow(action)
                    event = events.Followed(term, server)
        except errors.CassiahillError as error:
            refused = isinstance(error, errors.StaleTerm)
            event = events.CallFailed(term, server, refused)
        self._handle_event(group_promotion, event)

    def _call_follow(self, action):
        yield self._backends[action.server].follow(
            action.term,
            action.primary,
            self._settings.servers_by_name[action.primary].address,
            self._loop.clock.now() + CALL_TIMEOUT_SECONDS,
        )

    def _record_step(self, step):
        self._steps.append((self._loop.clock.now(), str(step)))

    def _log_event(self, event, fields):
        logging.info("event=%s group=%s %s", event, self._settings.name, fields)


def _ignore_errors(call):
    """Run a call whose failure needs no handling, because it is sent again."""
    try:
        yield from call
    except errors.CassiahillError:
        return
