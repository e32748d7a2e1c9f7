"""Detects failed primaries and runs promotions on the event loop."""

import collections

import attrs
from absl import logging

from cassiahill import errors, promotion, suspicion
from cassiahill import promotion_events as events

PROBE_INTERVAL = 0.25  # seconds
PROBE_TIMEOUT = 0.5  # seconds; a slow primary still answers within it
VERDICT_INTERVAL_SECONDS = 0.05  # seconds between verdicts
MAX_TICK_GAP_SECONDS = (
    0.5  # seconds; after a longer gap the own observations are not trusted
)
CALL_TIMEOUT = 0.4  # seconds for one control call to a database
RANK_DELAY_SECONDS = 0.3  # seconds; more than a promotion usually takes
FOLLOW_INTERVAL_SECONDS = 0.5  # seconds between follow commands to one database
MAX_RECORDED_STEPS = 40


@attrs.frozen
class PrimaryChange:
    """A promotion made a database the primary of a term."""

    group: str
    term: int
    primary: str
    by: str


class FailoverDriver:
    """Probes primaries, shares observations and promotes; one per proxy.

    Parameters
    ----------
    loop : loop.EventLoop
    group_settings_by_name : dict of str to settings.GroupSettings
    backends_by_server : dict of str to backend.Backend
    views_by_group : dict of str to freshness.GroupView
        Kept current by the pollers; probes are added to them.
    own_name, own_domain : str
        Name and failure domain of this proxy.
    rng : random.Random
    claim_term : callable
        Takes group, term and the promotion's name; returns a future. A false result or
        ``errors.Conflict`` refuses the claim; any other error counts as no answer.
    on_observation : callable
        Takes a ``suspicion.Observation`` for the other observers.
    on_primary_change : callable
        Takes a ``PrimaryChange``.
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
        self._timer = None
        self._closed = False
        self.set_members({own_name: own_domain})
        self._tick()

    def set_members(self, domains_by_proxy):
        """Set the live proxies and their failure domains; includes this proxy."""
        now = self.loop.clock.now()
        for name, failover in self._failovers_by_group.items():
            failover.set_observers(
                suspicion.choose_observers(name, domains_by_proxy), now
            )

    def observe_report(self, observation):
        """Take over an observation of another proxy."""
        failover = self._failovers_by_group.get(observation.group)
        if failover is not None:
            failover.suspicion.observe_report(observation, self.loop.clock.now())

    def approve(self, group):
        """Let a promotion go on that waits for an operator.

        Raises
        ------
        errors.UnknownGroup
        """
        if group not in self._failovers_by_group:
            raise errors.UnknownGroup(group)
        self._failovers_by_group[group].approve()

    def dump(self):
        """Return the observations, steps and counters, as plain values."""
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
        """Stop probing; a promotion in progress is left to another observer."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for failover in self._failovers_by_group.values():
            failover.close()

    def _tick(self):
        if self._closed:
            return
        now = self.loop.clock.now()
        was_paused = now - self._last_tick_at > MAX_TICK_GAP_SECONDS
        self._last_tick_at = now
        for failover in self._failovers_by_group.values():
            if failover.is_observer:
                if was_paused:
                    failover.suspicion.discard_observations(now)
                failover.tick(now)
        self._timer = self.loop.call_at(now + VERDICT_INTERVAL_SECONDS, self._tick)


class _GroupFailover:
    """Detection and promotion of one group."""

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
        active_promotion = self._active_promotion
        return {
            "rank": self._observer_rank,
            "verdict": str(self.suspicion.verdict(now)),
            "observations": self.suspicion.describe(now),
            "promotion": None
            if active_promotion is None
            else active_promotion.describe(),
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
            self._next_probe_at = now + PROBE_INTERVAL
            self._loop.spawn(self._probe(self.suspicion.term, self.suspicion.primary))
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

    def _probe(self, term, primary):
        sent_at = self._loop.clock.now()
        answered = False
        try:
            status = yield self._backends[primary].probe(sent_at + PROBE_TIMEOUT)
            self._view.observe(status)
            # A restarted database answers, but it is no longer the primary.
            answered = status.role == "primary"
        except errors.CassiahillError:
            self._driver.counts["probes_failed"] += 1
        if (term, primary) == (self.suspicion.term, self.suspicion.primary):
            now = self._loop.clock.now()
            self.suspicion.record_probe(answered, sent_at, now)
            self._send_observation(now)

    def _send_observation(self, now, only_on_threshold=False):
        """Tell the other observers; nothing is sent while the primary answers."""
        silent_for = self.suspicion.silent_for(now)
        crossed_threshold = (
            self._sent_unreachable_seconds
            < suspicion.PROBE_UNREACHABLE_SECONDS
            <= silent_for
        )
        if only_on_threshold and not crossed_threshold:
            return
        if silent_for or self._sent_unreachable_seconds:
            self._sent_unreachable_seconds = silent_for
            self._driver.on_observation(
                suspicion.Observation(
                    self._settings.name,
                    self.suspicion.term,
                    self.suspicion.primary,
                    self._driver.own_name,
                    silent_for,
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
        active_promotion = self._active_promotion = promotion.Promotion(
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
        self._handle_event(active_promotion, events.Start())

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

    def _handle_event(self, active_promotion, event):
        if self._active_promotion is not active_promotion:
            return
        if not isinstance(event, (events.Observed, events.Tick)):
            self._record_step(event)
        for action in active_promotion.step(event, self._loop.clock.now()):
            self._perform_action(active_promotion, action)

    def _perform_action(self, active_promotion, action):
        if not isinstance(action, events.Wait):
            self._record_step(action)
        match action:
            case events.Wait(until=until):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(
                    until, lambda: self._handle_event(active_promotion, events.Tick())
                )
            case events.ClaimInPlatform(term=term):
                self._loop.spawn(self._request_claim(active_promotion, term))
            case events.RaiseTerm() | events.Promote() | events.Follow():
                self._loop.spawn(self._call_server(active_promotion, action))
            case events.Publish(term=term, primary=primary):
                self._log_event("primary_changed", f"term={term} primary={primary}")
                self._driver.on_primary_change(
                    PrimaryChange(
                        self._settings.name, term, primary, active_promotion.by
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

    def _request_claim(self, active_promotion, term):
        claim = self._driver.claim_term
        try:
            granted = yield claim(self._settings.name, term, active_promotion.by)
        except errors.Conflict:
            granted = False
        except errors.CassiahillError:
            return  # The machine goes on without the platform.
        self._handle_event(active_promotion, events.ClaimAnswered(term, bool(granted)))

    def _call_server(self, active_promotion, action):
        term, server = action.term, action.server
        deadline = self._loop.clock.now() + CALL_TIMEOUT
        backend = self._backends[server]
        try:
            match action:
                case events.RaiseTerm():
                    log_end = yield backend.raise_term(
                        term, active_promotion.by, deadline
                    )
                    event = events.TermRaised(term, log_end)
                case events.Promote():
                    yield backend.promote(term, active_promotion.by, deadline)
                    event = events.Promoted(term, server)
                case events.Follow():
                    yield from self._call_follow(action)
                    event = events.Followed(term, server)
        except errors.CassiahillError as error:
            refused = isinstance(error, errors.StaleTerm)
            event = events.CallFailed(term, server, refused)
        self._handle_event(active_promotion, event)

    def _call_follow(self, action):
        yield self._backends[action.server].follow(
            action.term,
            action.primary,
            self._settings.servers_by_name[action.primary].address,
            self._loop.clock.now() + CALL_TIMEOUT,
        )

    def _record_step(self, step):
        self._steps.append((self._loop.clock.now(), str(step)))

    def _log_event(self, event, fields):
        logging.info("event=%s group=%s %s", event, self._settings.name, fields)


def _ignore_errors(call):
    """Run a call that is repeated while it is needed."""
    try:
        yield from call
    except errors.CassiahillError:
        return
