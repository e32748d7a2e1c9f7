"""Detects failed primaries and runs promotions on the event loop."""

import collections

import attrs
from absl import logging

from cassiahill import errors, promotion, suspicion
from cassiahill import promotion_events as events

PROBE_INTERVAL_SECONDS = 0.25  # seconds
PROBE_TIMEOUT_SECONDS = 0.5  # seconds; a slow primary still answers within it
TICK = 0.05  # seconds between verdicts
PAUSE_LIMIT = 0.5  # seconds; after a longer gap the own observations are not trusted
CALL_TIMEOUT_SECONDS = 0.4  # seconds for one control call to a database
RANK_DELAY = 0.3  # seconds; more than a promotion usually takes
FOLLOW_INTERVAL = 0.5  # seconds between follow commands to one database
HISTORY_LENGTH = 40


@attrs.frozen
class PrimaryChange:
    """A promotion made a database the primary of a term."""

    group: str
    term: int
    primary: str
    promotion_id: str


class FailoverDriver:
    """Probes primaries, shares observations and promotes; one per proxy.

    Parameters
    ----------
    loop : loop.EventLoop
    settings_groups_by_name : dict of str to settings.GroupSettings
    backends_by_server : dict of str to backend.Backend
    views_by_group : dict of str to freshness.GroupView
        Kept current by the pollers; probes are added to them.
    own_name, own_domain : str
        Name and failure domain of this proxy.
    rng : random.Random
    platform_claim : callable
        Takes group, term and the promotion's name; returns a future. A false result or
        ``errors.Conflict`` refuses the claim; any other error counts as no answer.
    on_observation : callable
        Takes a ``suspicion.Observation`` for the other observers.
    on_change : callable
        Takes a ``PrimaryChange``.
    """

    def __init__(
        self,
        loop,
        settings_groups_by_name,
        backends_by_server,
        views_by_group,
        own_name,
        own_domain,
        rng,
        platform_claim,
        on_observation,
        on_change,
    ):
        self.loop = loop
        self.own_name = own_name
        self.rng = rng
        self.platform_claim = platform_claim
        self.on_observation = on_observation
        self.on_change = on_change
        self.counts = collections.Counter()
        self._failovers_by_group = {
            name: _GroupFailover(self, group, backends_by_server, views_by_group[name])
            for name, group in settings_groups_by_name.items()
        }
        self._ticked_at = loop.clock.now()
        self._timer = None
        self._closed = False
        self.set_live_proxies({own_name: own_domain})
        self._tick()

    def set_live_proxies(self, domains_by_proxy):
        """Set the live proxies and their failure domains; includes this proxy."""
        now = self.loop.clock.now()
        for name, failover in self._failovers_by_group.items():
            failover.set_observers(
                suspicion.choose_observers(name, domains_by_proxy), now
            )

    def record_observation(self, observation):
        """Take over an observation of another proxy."""
        failover = self._failovers_by_group.get(observation.group)
        if failover is not None:
            failover.suspicion.record_observation(observation, self.loop.clock.now())

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
        was_paused = now - self._ticked_at > PAUSE_LIMIT
        self._ticked_at = now
        for failover in self._failovers_by_group.values():
            if failover.is_observer:
                if was_paused:
                    failover.suspicion.restart(now)
                failover.tick(now)
        self._timer = self.loop.call_at(now + TICK, self._tick)


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
        self._rank = 0
        self._machine = None
        self._timer = None
        self._next_probe_at = 0.0
        self._failed_since = None
        self._promoted_at = float("-inf")
        self._shared_silence = 0.0
        self._follow_due_by_server = {}
        self._history = collections.deque(maxlen=HISTORY_LENGTH)

    def set_observers(self, observers, now):
        own_name = self._driver.own_name
        was_observer = self.is_observer
        self.is_observer = own_name in observers
        if self.is_observer:
            self._rank = observers.index(own_name)
            self.suspicion.set_observers(observers)
            if not was_observer:
                self.suspicion.restart(now)

    def approve(self):
        if self._machine is not None:
            self._send(self._machine, events.OperatorApproved())

    def describe(self, now):
        machine = self._machine
        return {
            "rank": self._rank,
            "verdict": str(self.suspicion.verdict(now)),
            "observations": self.suspicion.describe(now),
            "promotion": None if machine is None else machine.describe(),
            "steps": [[round((now - at) * 1000), text] for at, text in self._history],
        }

    def close(self):
        self._machine = None
        if self._timer is not None:
            self._timer.cancel()

    def tick(self, now):
        self._watch(now)
        for status in self._view.status_by_server.values():
            self.suspicion.observe_replica(status)
        if self._machine is not None:
            for status in list(self._view.status_by_server.values()):
                if self._machine is not None:
                    self._send(self._machine, events.Observed(status))
            return
        if self.suspicion.primary and now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS
            self._loop.spawn(self._probe(self.suspicion.term, self.suspicion.primary))
        self._share(now, only_crossing=True)
        self._act_on(self.suspicion.verdict(now), now)

    def _watch(self, now):
        known = (self.suspicion.term, self.suspicion.primary)
        self.suspicion.watch(self._view.term, suspicion.primary_of(self._view), now)
        if (self.suspicion.term, self.suspicion.primary) == known:
            return
        self._shared_silence = 0.0
        self._next_probe_at = now
        if known != (0, "") and self.suspicion.primary:
            self._promoted_at = now

    def _probe(self, term, primary):
        sent_at = self._loop.clock.now()
        answered = False
        try:
            status = yield self._backends[primary].probe(
                sent_at + PROBE_TIMEOUT_SECONDS
            )
            self._view.record_status(status)
            # A restarted database answers, but it is no longer the primary.
            answered = status.role == "primary"
        except errors.CassiahillError:
            self._driver.counts["probes_failed"] += 1
        if (term, primary) == (self.suspicion.term, self.suspicion.primary):
            now = self._loop.clock.now()
            self.suspicion.observe_probe(answered, sent_at, now)
            self._share(now)

    def _share(self, now, only_crossing=False):
        """Tell the other observers; nothing is sent while the primary answers."""
        unreachable_seconds = self.suspicion.unreachable_seconds(now)
        crossed = self._shared_silence < suspicion.PROBE_SILENCE <= unreachable_seconds
        if only_crossing and not crossed:
            return
        if unreachable_seconds or self._shared_silence:
            self._shared_silence = unreachable_seconds
            self._driver.on_observation(
                suspicion.Observation(
                    self._settings.name,
                    self.suspicion.term,
                    self.suspicion.primary,
                    self._driver.own_name,
                    unreachable_seconds,
                )
            )

    def _act_on(self, verdict, now):
        if not isinstance(verdict, suspicion.Failed):
            self._failed_since = None
            self._return_databases(now)
            return
        if promotion.is_held_back(verdict.reason, self._promoted_at, now):
            return
        if self._failed_since is None:
            self._failed_since = now
        if now - self._failed_since >= RANK_DELAY * self._rank:
            self._failed_since = None
            self._start(verdict.reason)

    def _start(self, reason):
        term, primary = self.suspicion.term, self.suspicion.primary
        machine = self._machine = promotion.Promotion(
            self._servers,
            f"{self._driver.own_name}/{self._driver.rng.getrandbits(64):016x}",
            {primary} - {""},
            term,
            self._driver.rng,
            self._settings.acknowledge,
            getattr(self._settings, "promote", "majority"),
        )
        self._driver.counts["promotions_started"] += 1
        self._log("promotion_started", f"term={term + 1} reason={reason.name.lower()}")
        self._send(machine, events.Start())

    def _return_databases(self, now):
        recent = [
            self._view.status_by_server[server]
            for server in self.suspicion.reachable(now)
            if server in self._view.status_by_server
        ]
        commands = promotion.follow_commands(
            recent, self._servers, self._view.term, self._view.primary
        )
        due_by_server = self._follow_due_by_server
        self._follow_due_by_server = {
            action.server: due_by_server.get(
                action.server, now + RANK_DELAY * self._rank
            )
            for action in commands
        }
        for action in commands:
            if self._follow_due_by_server[action.server] <= now:
                self._follow_due_by_server[action.server] = now + FOLLOW_INTERVAL
                self._driver.counts["follows_sent"] += 1
                self._log("follow", f"server={action.server} primary={action.primary}")
                self._loop.spawn(_ignoring_errors(self._call_follow(action)))

    def _send(self, machine, event):
        if self._machine is not machine:
            return
        if not isinstance(event, (events.Observed, events.Tick)):
            self._remember(event)
        for action in machine.step(event, self._loop.clock.now()):
            self._run(machine, action)

    def _run(self, machine, action):
        if not isinstance(action, events.Wait):
            self._remember(action)
        match action:
            case events.Wait(until=until):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(
                    until, lambda: self._send(machine, events.Tick())
                )
            case events.ClaimInPlatform(term=term):
                self._loop.spawn(self._claim(machine, term))
            case events.RaiseTerm() | events.Promote() | events.Follow():
                self._loop.spawn(self._call(machine, action))
            case events.Publish(term=term, primary=primary):
                self._log("primary_changed", f"term={term} primary={primary}")
                self._driver.on_change(
                    PrimaryChange(
                        self._settings.name, term, primary, machine.promotion_id
                    )
                )
            case events.Done():
                self._end("promotions_done")
            case events.Abandon(reason=reason):
                self._end("promotions_abandoned")
                self._log("promotion_abandoned", f"reason={reason!r}")

    def _end(self, counter):
        self._driver.counts[counter] += 1
        self._machine = None
        self._timer.cancel()

    def _claim(self, machine, term):
        claim = self._driver.platform_claim
        try:
            granted = yield claim(self._settings.name, term, machine.promotion_id)
        except errors.Conflict:
            granted = False
        except errors.CassiahillError:
            return  # The machine goes on without the platform.
        self._send(machine, events.ClaimAnswered(term, bool(granted)))

    def _call(self, machine, action):
        term, server = action.term, action.server
        deadline = self._loop.clock.now() + CALL_TIMEOUT_SECONDS
        backend = self._backends[server]
        try:
            match action:
                case events.RaiseTerm():
                    end = yield backend.raise_term(term, machine.promotion_id, deadline)
                    event = events.TermRaised(term, end)
                case events.Promote():
                    yield backend.promote(term, machine.promotion_id, deadline)
                    event = events.Promoted(term, server)
                case events.Follow():
                    yield from self._call_follow(action)
                    event = events.Followed(term, server)
        except errors.CassiahillError as error:
            refused = isinstance(error, errors.StaleTerm)
            event = events.CallFailed(term, server, refused)
        self._send(machine, event)

    def _call_follow(self, action):
        yield self._backends[action.server].follow(
            action.term,
            action.primary,
            self._settings.servers_by_name[action.primary].address,
            self._loop.clock.now() + CALL_TIMEOUT_SECONDS,
        )

    def _remember(self, step):
        self._history.append((self._loop.clock.now(), str(step)))

    def _log(self, event, fields):
        logging.info("event=%s group=%s %s", event, self._settings.name, fields)


def _ignoring_errors(steps):
    """Run a call that is repeated while it is needed."""
    try:
        yield from steps
    except errors.CassiahillError:
        return
