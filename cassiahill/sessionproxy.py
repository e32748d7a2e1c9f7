"""The session proxy: a daemon whose clients' connections are their sessions."""

import math
import signal

import attrs

from cassiahill import (
    catalog,
    catalogfeed,
    errors,
    eventlog,
    groupwork,
    http1,
    pulses,
    reachability,
    sessionfleet,
    sessionmetrics,
    sessionowners,
    sessionserver,
    takeover,
)

DRAIN_SESSIONS_SHARE = 0.4  # Of the grace: by then the balancer sends nobody new.
DRAIN_TRANSACTIONS_SHARE = 0.5  # Open transactions may end by themselves until then.
DRAIN_EXIT_SHARE = 0.85  # Of the grace; the rest is for the end of the process.
DRAIN_STEP_SECONDS = 0.05
SUPERVISE_SECONDS = 0.05
ACTIVE_SECONDS = 5.0
METRICS_PATH = "/metrics"
STATE_PATH = "/v1/state"


@attrs.frozen
class SessionProxySettings:
    """Settings of one process.

    Attributes
    ----------
    name : str
    failure_domain : str
    client_address : tuple of (str, int)
    readiness_address : tuple of (str, int)
    peer_address : tuple of (str, int)
        For pulses of other proxies, metrics and the state dump.
    relay_address : tuple of (str, int)
        For sessions that other proxies relay here.
    seed_addresses : tuple of (str, int)
        Proxies to ask for the deployment while the store gives no answers.
    grace_seconds : float
        Time between the request to stop and the kill.
    """

    name: str
    failure_domain: str
    client_address: tuple
    readiness_address: tuple
    peer_address: tuple
    relay_address: tuple
    seed_addresses: tuple
    grace_seconds: float


class SessionProxy(sessionfleet.LocalState):
    """All parts of one process.

    Parameters
    ----------
    loop : loop.EventLoop
    settings : SessionProxySettings
    store : sharedstore.SharedStore
    source : catalogfeed.CatalogSource
    dialect : dialect.Dialect
    orders : takeover.PromotionOrders
    rng : random.Random
    """

    def __init__(self, loop, settings, store, source, dialect, orders, rng):
        self._loop = loop
        self._settings = settings
        self._dialect = dialect
        self._orders = orders
        self._leaving_since = None
        self._cut_off = False
        self._cut_off_since = None
        self._groups_by_name = {}
        self._takeovers_by_group = {}
        self.metrics = sessionmetrics.SessionMetrics()
        self.catalog = catalog.Catalog()
        own = pulses.Member(
            settings.name,
            settings.peer_address,
            settings.relay_address,
            settings.failure_domain,
        )
        self.fleet = sessionfleet.SessionFleet(
            loop, store, own, rng, self, settings.seed_addresses
        )
        self.owners = sessionowners.SessionOwners(
            loop, own, self.fleet, self.knows_deployment, self._lacks_primary, self
        )
        self.feed = catalogfeed.CatalogFeed(
            loop,
            store,
            self.catalog,
            source,
            rng,
            self._update_limits,
            self._take_server,
        )
        self.sessions = sessionserver.SessionServer(
            loop,
            settings.client_address,
            dialect,
            self.catalog,
            self.get_group,
            self._count,
            settings.relay_address,
            self.owners,
        )
        self._readiness = http1.Server(
            loop, settings.readiness_address, self._answer_readiness
        )
        self._peers = http1.Server(loop, settings.peer_address, self._answer_peer)
        self._supervise()

    @property
    def ready(self):
        """Whether new clients should come here."""
        return (
            self._leaving_since is None
            and self.knows_deployment()
            and not self._cut_off
        )

    def knows_deployment(self):
        """Return whether configuration and members are known."""
        return self.catalog.configuration is not None and self.fleet.members_are_known

    def get_group(self, name):
        """Return the work of a group, which is made when it is first needed."""
        group = self._groups_by_name.get(name)
        if group is None:
            group = groupwork.GroupWork(
                self._loop,
                self._dialect,
                name,
                self._settings.name,
                self._settings.failure_domain,
                self.catalog.draining_since_by_id.get,
            )
            group.cut_off = self._cut_off
            self._groups_by_name[name] = group
            self._takeovers_by_group[name] = takeover.Takeover(
                self._loop,
                group,
                self._orders,
                self.fleet.place.next_token,
                self.fleet.place.confirm,
                self.fleet.place.resign,
            )
            self._update_limits()
        return group

    def install_signals(self):
        """Leave on SIGTERM; a change of the settings needs no action."""
        signal.signal(signal.SIGTERM, lambda *_: self._loop.call_soon(self.leave))
        signal.signal(signal.SIGINT, lambda *_: self._loop.call_soon(self.leave))
        signal.signal(
            signal.SIGHUP, lambda *_: self._loop.call_soon(eventlog.event, "reload")
        )

    def leave(self):
        """Stop taking clients, let what is open end, and stop the loop."""
        if self._leaving_since is None:
            self._leaving_since = self._loop.clock.now()
            self.fleet.place.leaving = True
            eventlog.event("stop_begins", sessions=len(self.sessions))
            self._loop.spawn(self._drain())

    def dump(self):
        """Return the state of the process as plain values."""
        version, revision = self.feed.versions
        return {
            "name": self._settings.name,
            "ready": self.ready,
            "configuration": version,
            "servers_revision": revision,
            "store_is_away": self.feed.store_is_away,
            "sessions": len(self.sessions),
            "busy_sessions": self.sessions.busy_count,
            "fleet": self.fleet.dump(),
            "groups": {
                name: group.dump() for name, group in self._groups_by_name.items()
            },
        }

    # What the fleet asks and tells

    def view(self):
        """Return what is known of configuration and servers, for a peer."""
        return self.feed.view()

    def versions(self):
        """Return the version of the configuration and the revision of the servers."""
        return self.feed.versions

    def watched_groups(self):
        """Return the groups whose servers this process is connected to."""
        return [name for name, group in self._groups_by_name.items() if group.active]

    def lacking_groups(self):
        """Return those of them whose primary it does not reach."""
        now = self._loop.clock.now()
        return [
            name
            for name, group in self._groups_by_name.items()
            if group.active
            and takeover.reason_to_switch(group.symptoms(now), now)
            in {takeover.UNREACHABLE, takeover.WRITES_STUCK}
        ]

    def is_cut_off(self):
        """Return whether this process is cut off from the other failure domains."""
        return self._cut_off

    def store_is_away(self):
        """Return whether the store gives this process no answers."""
        return self.feed.store_is_away

    def guide(self):
        """Return a member whose contacts stand for one's own, or None.

        A process without connections to servers cannot see a cut by itself.
        """
        if any(group.active for group in self._groups_by_name.values()):
            return None
        return self.owners.guide(self.fleet.silent_guides)

    def take_view(self, view, peer):
        """Take a view of a peer that is newer in part."""
        self.feed.take_view(view, peer)

    def members_changed(self):
        """Choose the owners of the groups anew."""
        self._update_limits()

    def _lacks_primary(self, group):
        work = self._groups_by_name.get(group)
        return work is not None and work.lacks_primary(self._loop.clock.now())

    def _update_activity(self, now):
        """Keep connections to the groups that are served or watched here only."""
        for name, group in self._groups_by_name.items():
            recent = now - group.used_at < ACTIVE_SECONDS
            group.active = (
                self.owners.holds(name) or self.fleet.place.is_promoter or recent
            )
        active = any(group.active for group in self._groups_by_name.values())
        self.feed.watch_servers(closely=active)

    # Changes of what is known

    def _take_server(self, change):
        match change:
            case catalog.Added(server=server, before=before):
                self.get_group(server.group).put_server(server, before)
            case catalog.Removed(server=server):
                self.get_group(server.group).remove_server(server.server_id)

    def _update_limits(self):
        configuration = self.catalog.configuration
        if configuration is None:
            return
        for name, limits in configuration.groups_by_name.items():
            total = self.owners.choose(name, limits.connections)
            if name in self._groups_by_name:
                self._groups_by_name[name].set_limits(limits, total)

    def _supervise(self):
        now = self._loop.clock.now()
        self._update_activity(now)
        self._check_reachability(now)
        if self.fleet.place.is_promoter and not self._cut_off:
            for name, group in self._groups_by_name.items():
                reported_since = self.fleet.reported_since(name)
                symptoms = group.symptoms(now, reported_since)
                self._takeovers_by_group[name].consider(symptoms)
        self._loop.call_at(now + SUPERVISE_SECONDS, self._supervise)

    def _check_reachability(self, now):
        contacts = [
            contact
            for group in self._groups_by_name.values()
            if group.active
            for contact in group.contacts(now)
        ]
        if contacts:
            own_domain = self._settings.failure_domain
            judged = reachability.contacts_to_judge(
                own_domain, contacts, self.fleet.contacts()
            )
            self._cut_off_since = reachability.cut_off_since(
                self._cut_off_since, own_domain, judged, now
            )
            cut_off = self._cut_off_since is not None
        else:
            self._cut_off_since = None
            cut_off = self.fleet.peers_are_cut_off(now)
        if cut_off != self._cut_off:
            self._cut_off = cut_off
            eventlog.event("cut_off" if cut_off else "connected")
            for group in self._groups_by_name.values():
                # What was silent behind the cut may answer now.
                group.forget_silence()
                group.cut_off = cut_off
        if cut_off:
            self.sessions.close_idle()
        for name, group in self._groups_by_name.items():
            lacking = group.active and group.lacks_primary(now)
            if lacking and self.owners.is_served_elsewhere(name, now):
                self.sessions.close_idle(name)

    # Answers

    def _answer_readiness(self, _request, _connection):
        return http1.json_response({"ready": self.ready}, 200 if self.ready else 503)

    def _answer_peer(self, request, _connection):
        match (request.method, request.path):
            case ("POST", pulses.PULSE_PATH):
                return self.fleet.answer(request.body)
            case ("GET", pulses.VIEW_PATH):
                return http1.json_response(self.fleet.view())
            case ("GET", path) if path == METRICS_PATH:
                body = self.metrics.render(self._gauges())
                return http1.Response(200, body, sessionmetrics.CONTENT_TYPE)
            case ("GET", path) if path == STATE_PATH:
                return http1.json_response(self.dump())
        raise errors.NotFound(request.path)

    def _gauges(self):
        return {
            "open_sessions": len(self.sessions),
            "busy_sessions": self.sessions.busy_count,
            "configuration_version": self.feed.versions[0],
            "promoter": int(self.fleet.place.is_promoter),
            "store_away": int(self.feed.store_is_away),
            "log_lines_dropped": eventlog.dropped_lines(),
        }

    def _count(self, request, database, reply, arrived_at):
        seconds = self._loop.clock.now() - arrived_at
        route = self.catalog.route(database)
        priority = -1 if route is None else route.priority
        outcome = "ok" if reply.code is None else reply.code.value
        self.metrics.count_reply(priority, outcome, seconds)
        if reply.code is not None or eventlog.is_sampled(request.request_id):
            eventlog.event(
                "answered",
                request=request.request_id,
                database=database,
                statement=type(request.statement).__name__,
                outcome=outcome,
                detail=reply.detail,
                seconds=seconds,
                position=reply.position,
            )

    # Stop

    def _drain(self):
        grace = self._settings.grace_seconds
        begun_at = self._leaving_since
        yield self._loop.sleep_until(begun_at + DRAIN_SESSIONS_SHARE * grace)
        self.sessions.stop_listening()
        aborts_at = begun_at + DRAIN_TRANSACTIONS_SHARE * grace
        while len(self.sessions):
            self.sessions.close_idle()
            now = self._loop.clock.now()
            if now >= aborts_at:
                self.sessions.abort_transactions()
                aborts_at = math.inf
            if now >= begun_at + DRAIN_EXIT_SHARE * grace:
                break
            yield self._loop.sleep_until(now + DRAIN_STEP_SECONDS)
        eventlog.event("stopped", sessions_left=len(self.sessions))
        for group in self._groups_by_name.values():
            group.close()
        self._loop.stop()
