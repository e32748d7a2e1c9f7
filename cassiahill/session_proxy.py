"""The session proxy process: wires its parts together and supervises them."""

import signal

import xxhash

from cassiahill import (
    caller_checks,
    catalog,
    catalog_feed,
    configuration_age,
    errors,
    event_log,
    heartbeats,
    http1,
    loop_delay,
    partition_detector,
    process_state,
    promotion_evidence,
    proxy_dump,
    proxy_groups,
    rate_exchange,
    rate_limits,
    regions,
    session_fleet,
    session_metrics,
    session_owners,
    session_server,
    session_shutdown,
)

SUPERVISION_INTERVAL_SECONDS = 0.05
METRICS_PATH = "/metrics"
STATE_PATH = "/v1/state"
NAME_DIGEST_RANGE = 2**64


class SessionProxy(process_state.ProcessState):
    """The session proxy of one process and all its parts.

    Parameters
    ----------
    loop : loop.EventLoop
    settings : session_proxy_settings.SessionProxySettings
    store : shared_store.SharedStore
    source : catalog_feed.CatalogSource
    dialect : dialect.Dialect
    orders : promotion_orders.PromotionOrders
    rng : random.Random

    Attributes
    ----------
    groups_by_name : dict of str to server_group.ServerGroup
    metrics : session_metrics.SessionMetrics
    catalog : catalog.Catalog
    catalog_feed : catalog_feed.CatalogFeed
    configuration_age : configuration_age.ConfigurationAge
    fleet : session_fleet.SessionFleet
    owners : session_owners.GroupOwnerRouting
    rate_limits : rate_limits.RateLimits
    rate_exchange : rate_exchange.RateExchange
    sessions : session_server.SessionServer
    """

    def __init__(self, loop, settings, store, source, dialect, orders, rng):
        self._loop = loop
        self.settings = settings
        self.store = store
        self._regions = regions.Regions(
            settings.failure_domain, settings.region_by_domain
        )
        self._partition = partition_detector.PartitionDetector(
            settings.failure_domain, self._regions
        )
        self.metrics = session_metrics.SessionMetrics()
        self.catalog = catalog.Catalog()
        self.configuration_age = configuration_age.ConfigurationAge(
            settings.revocation_seconds,
            loop.clock.now(),
            _spread_of(settings.name),
            settings.change_seconds,
        )
        own_member = heartbeats.Member(
            settings.name,
            settings.peer_address,
            settings.relay_address,
            settings.failure_domain,
        )
        self.fleet = session_fleet.SessionFleet(
            loop,
            store,
            own_member,
            rng,
            self,
            settings.seed_addresses,
            age=self.configuration_age,
            region_by_domain=settings.region_by_domain,
        )
        self._groups = proxy_groups.ProxyGroups(
            loop,
            dialect,
            settings.name,
            settings.failure_domain,
            self.catalog.draining_since_by_id.get,
            self._regions,
            self._partition,
            self.fleet,
            orders,
            self._update_limits,
        )
        self.groups_by_name = self._groups.groups_by_name
        self._filled_groups = set()
        self.owners = session_owners.GroupOwnerRouting(
            loop,
            own_member,
            self.fleet,
            self.knows_deployment,
            self._groups.is_primary_unreachable,
            self,
            settings.region_by_domain,
            self._groups.primary_domain,
        )
        self.rate_limits = rate_limits.RateLimits(
            settings.name,
            settings.rate_tolerance,
            loop.clock.now(),
            self.owners.rank_owners,
        )
        self.rate_exchange = rate_exchange.RateExchange(loop.clock, self.rate_limits)
        self.catalog_feed = catalog_feed.CatalogFeed(
            loop,
            store,
            self.catalog,
            source,
            rng,
            self._apply_configuration,
            self._apply_server_change,
            self.configuration_age,
        )
        self._groups.promotion_evidence = promotion_evidence.FleetEvidence(
            loop, self.catalog_feed, self.fleet, self.owners.owner_names
        )
        # Until the fleet is known, it is not known who reads the store.
        self.catalog_feed.set_resting(True)
        self.caller_checks = caller_checks.CallerChecks(
            lambda: self.catalog.configuration,
            loop.clock,
            is_young_enough=self.configuration_age.is_young_enough,
            admit=self.rate_limits.admit,
            count_refusal=self.metrics.count_refused_caller,
        )
        self.sessions = session_server.SessionServer(
            loop,
            settings.client_address,
            dialect,
            self.catalog,
            self._groups.get_group,
            self._record_reply,
            settings.relay_address,
            self.owners,
            self.caller_checks,
        )
        self._shutdown = session_shutdown.SessionShutdown(
            loop,
            settings.grace_seconds,
            self.sessions,
            self.fleet.election,
            self.groups_by_name,
        )
        self._readiness_server = http1.Server(
            loop, settings.readiness_address, self._handle_readiness_request
        )
        self._peer_server = http1.Server(
            loop,
            settings.peer_address,
            self._handle_peer_request,
            max_body_bytes=heartbeats.MAX_HEARTBEAT_BYTES,
        )
        self._loop_delay = loop_delay.LoopDelay(loop.clock.now())
        loop.repeat(loop.clock.now(), self._supervise)

    @property
    def ready(self):
        """Whether the balancer should send new clients."""
        return (
            not self._shutdown.has_begun
            and self.knows_deployment()
            and not self._partition.partitioned
            and not self._refuses_keys()
        )

    def _refuses_keys(self):
        """Return whether callers with a key are refused, because a proof is missing."""
        configuration = self.catalog.configuration
        return (
            configuration is not None
            and configuration.tenants is not None
            and not self.configuration_age.is_young_enough(self._loop.clock.now())
        )

    def knows_deployment(self):
        """Return whether the configuration and the fleet's members are known."""
        return self.catalog.configuration is not None and self.fleet.members_known

    def install_signal_handlers(self):
        """Shut down on SIGTERM and SIGINT; log SIGHUP, which needs no action."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._loop.call_soon(self._shutdown.start))
        signal.signal(
            signal.SIGHUP, lambda *_: self._loop.call_soon(event_log.event, "reload")
        )

    def dump(self):
        """Return the state of the process as plain values."""
        return proxy_dump.describe_proxy(self, self._loop.clock.now())

    # Interface for the fleet

    def view(self, known):
        """Return the ``View`` of configuration and servers for a peer."""
        return self.catalog_feed.view(known)

    def set_following(self, following):
        """Set whether a peer announces changes, so that the store is not watched."""
        self.catalog_feed.set_resting(following)

    def set_watch_wait(self, seconds):
        """Set the longest wait of the watches of configuration and servers."""
        self.catalog_feed.set_watch_wait(seconds)

    def record_announcement(self, servers_revision):
        """Check the watch of the servers, because a peer may have newer ones."""
        self.catalog_feed.record_announcement(servers_revision)

    def request_lists(self):
        """Read configuration and servers in the store now."""
        self.catalog_feed.request_lists()

    def read_configuration(self, version):
        """Read an announced version in the store; a task that returns its success."""
        return self.catalog_feed.read_configuration(version)

    def verify_configuration(self):
        """Ask the store for a newer configuration; a task that returns its success."""
        return self.catalog_feed.verify_configuration()

    def versions(self):
        """Return the configuration's version and the ``Revision`` of the servers."""
        return self.catalog_feed.versions

    def connected_groups(self):
        """Return the groups whose servers this process is connected to."""
        return self._groups.active_names

    def settled_groups(self):
        """Return the servers of the groups in which this process promotes nothing."""
        return self._groups.settled_groups()

    def record_settled_groups(self, server_ids_by_group, confirmed_at, heard_at):
        """Record the promoter's statement about groups without a promotion."""
        self._groups.record_settled_groups(server_ids_by_group, confirmed_at, heard_at)

    def groups_awaiting_confirmation(self):
        """Return the groups for which the promoter is to let the store confirm it."""
        return self._groups.names_awaiting_confirmation()

    def demand_by_group(self):
        """Return the average number of statements that wait or run, by group."""
        return self._groups.demand_by_name()

    def apply_total_demand(self, total_demand_by_group):
        """Apply the demand of all proxies to this process's share of the slots."""
        self._groups.apply_total_demand(total_demand_by_group)

    def groups_without_primary(self):
        """Return the connected groups whose primary this process does not reach."""
        return self._groups.names_without_primary()

    def rate_report(self, promoter_name):
        """Return the ``RateReport`` for a promoter; unset without tenants."""
        return self.rate_exchange.report(promoter_name)

    def answer_rate_report(self, name, report, term):
        """Return the ``RateAnswer`` to a proxy's report."""
        return self.rate_exchange.answer(name, report, term)

    def apply_rate_answer(self, promoter_name, answer, sent_at):
        """Take over the promoter's answer; return whether to report again at once."""
        return self.rate_exchange.apply_answer(promoter_name, answer, sent_at)

    def draining_seconds(self):
        """Return for how long servers are known to drain, by id."""
        return self.catalog.draining_seconds(self._loop.clock.now())

    def record_draining(self, seconds_by_id):
        """Take over from a peer since when servers drain."""
        self.catalog.record_draining(seconds_by_id, self._loop.clock.now())

    def is_partitioned(self):
        """Return whether this process does not reach the other failure domains."""
        return self._partition.partitioned

    def is_store_unreachable(self):
        """Return whether the store does not answer this process."""
        return self.catalog_feed.is_store_unreachable

    def reference_member(self):
        """Return the member to ask whether this failure domain is partitioned, or None.

        A process without connections to servers cannot detect a partition by itself.
        """
        if self._groups.active_names:
            return None
        return self.owners.reference_owner(self.fleet.reference_failures)

    def apply_view(self, view, peer):
        """Take over what is newer in a peer's ``View``."""
        self.catalog_feed.apply_view(view, peer)

    def on_members_changed(self):
        """Choose the owners of all groups again."""
        self._update_limits()

    # Changes of catalog and fleet

    def _apply_configuration(self):
        """Apply a newer configuration that was installed."""
        self._fill_new_groups()
        self._update_limits()
        self.sessions.close_revoked()

    def _apply_server_change(self, change):
        self._loop.call_soon(self.fleet.announce_changes)
        match change:
            case catalog.ServerAdded(server=server, previous=previous):
                if server.group in self._filled_groups:
                    self._groups.get_group(server.group).put_server(server, previous)
            case catalog.ServerRemoved(server=server):
                if server.group in self._filled_groups:
                    self._groups.get_group(server.group).remove_server(server.server_id)

    def _fill_new_groups(self):
        """Add the known servers of groups that the configuration names first.

        Servers of other groups may be entries of another writer. They are kept in the
        catalog only.
        """
        names = self.catalog.configuration.group_names() - self._filled_groups
        self._filled_groups |= names
        for server in list(self.catalog.servers_by_id.values()):
            if server.group in names:
                self._groups.get_group(server.group).put_server(server, None)

    def _update_limits(self):
        """Choose the owners of all groups and apply the connection limits."""
        configuration = self.catalog.configuration
        if configuration is None:
            return
        self._loop.call_soon(self.fleet.announce_changes)
        for name, limits in configuration.groups_by_name.items():
            owner_count = self.owners.update_owners(
                name, limits.connections, configuration.tenants
            )
            if name in self.groups_by_name:
                self.groups_by_name[name].set_limits(
                    limits, owner_count, configuration.tenants
                )
        now = self._loop.clock.now()
        self.rate_limits.install(configuration.tenants, now)
        owner_names = self.owners.names_of_all_owners(configuration.groups_by_name)
        self.rate_limits.set_owners(owner_names, now)
        sent_here = self.owners.tenants_sent_here(configuration.tenants)
        self.rate_limits.expect_tenants(sent_here, now)

    def _supervise(self):
        """Update groups and reachability, and start promotions that are due."""
        now = self._loop.clock.now()
        next_due_at = now + SUPERVISION_INTERVAL_SECONDS
        self._loop_delay.record_run(now, next_due_at)
        self._groups.update_active(self.owners.holds_connections, now)
        self.catalog_feed.set_server_watch_pause(short=bool(self._groups.active_names))
        self._check_reachability(now)
        if self._regions.are_several:
            self.sessions.close_misplaced()
        self._groups.start_due_takeovers(now)
        return next_due_at

    def _check_reachability(self, now):
        """Update whether this process is partitioned, and close idle sessions then."""
        self._partition.update(self.groups_by_name.values(), self.fleet, now)
        if self._partition.partitioned:
            self.sessions.close_idle()
        elif self._refuses_keys():
            self.sessions.close_idle_with_keys()
        for name in self._groups.active_names:
            primary_unreachable = self._groups.is_primary_unreachable(name)
            if primary_unreachable and self.owners.was_recently_relayed(name, now):
                self.sessions.close_idle(name)

    # Requests to the readiness and peer servers

    def _handle_readiness_request(self, _request, _connection):
        return http1.json_response({"ready": self.ready}, 200 if self.ready else 503)

    def _handle_peer_request(self, request, _connection):
        match (request.method, request.path):
            case ("POST", heartbeats.HEARTBEAT_PATH):
                return self.fleet.handle_heartbeat(request.body)
            case ("GET", heartbeats.VIEW_PATH):
                known = heartbeats.decode_known_versions(request.query)
                return http1.json_response(self.fleet.view(known))
            case ("POST", heartbeats.PROMOTION_PATH):
                notice = heartbeats.decode_promotion_notice(request.body)
                return http1.json_response(
                    promotion_evidence.answer_notice(
                        notice,
                        self.groups_by_name.get(notice.group),
                        self.fleet.election,
                    )
                )
            case ("GET", path) if path == METRICS_PATH:
                body = self.metrics.render(
                    proxy_dump.gauge_values(self, self._loop.clock.now())
                )
                return http1.Response(200, body, session_metrics.CONTENT_TYPE)
            case ("GET", path) if path == STATE_PATH:
                return http1.json_response(self.dump())
        raise errors.NotFound(request.path)

    def _record_reply(self, request, database, reply, arrived_at):
        """Count and log the reply to a request."""
        seconds = self._loop.clock.now() - arrived_at
        route = self.catalog.route(database)
        priority = -1 if route is None else route.priority
        outcome = "ok" if reply.code is None else reply.code.value
        self.metrics.count_reply(priority, outcome, seconds)
        if reply.code is not None or event_log.is_sampled(request.request_id):
            event_log.event(
                "answered",
                request=request.request_id,
                database=database,
                statement=type(request.statement).__name__,
                outcome=outcome,
                detail=reply.detail,
                seconds=seconds,
                position=reply.position,
            )


def _spread_of(name):
    """Return a number from 0 to 1 that differs among the names of proxies."""
    return xxhash.xxh3_64_intdigest(name.encode()) / NAME_DIGEST_RANGE
