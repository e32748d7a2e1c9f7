"""The proxy process: builds its parts, serves callers, and drains."""

import gc
import random
import secrets
import signal
import time

from absl import logging

from cassiahill import (
    accounting,
    admission,
    caller_api,
    clock,
    configuration,
    dispatch,
    errors,
    figures,
    fleet_node,
    gateway,
    http1,
    kernel,
    key_expiry,
    loop,
    messages,
    objects,
    operator_api,
    peer_calls,
    platform_link,
    server_ownership,
    settings,
    tls,
    tokens,
    topology,
    transactions,
)

DRAIN_NOTICE_SECONDS = 2.0  # Time for the announcement to reach the other proxies.
STATE_CHECK_INTERVAL_SECONDS = 0.05
# Time to learn the accepted configuration before serving.
START_TIMEOUT_SECONDS = 5.0
FINAL_FIGURES_TIMEOUT_SECONDS = 2.0
GC_ALLOCATION_THRESHOLD = 50_000


class Proxy:
    """One proxy process: its event loop, its listeners and what they use.

    Parameters
    ----------
    document : dict
        The merged and checked settings.
    """

    def __init__(self, document):
        self._settings_document = document
        self.settings = settings.build_proxy_settings(document)
        self.loop = loop.EventLoop(clock.SystemClock())
        self.draining = False
        self.installed_configuration = configuration.InstalledConfiguration()
        self.accounting = accounting.Accounting(self.loop.clock)
        self._rng = random.Random()
        self._tls_by_link = self.settings.tls_by_link
        self.topology = topology.Topology(
            self.loop,
            self.settings.failure_domain,
            tls.client_context(self._tls_by_link.get("backends")),
        )
        self.topology.update(self.settings.groups_by_name)
        self._peer_ssl_context = tls.client_context(self._tls_by_link.get("peers"))
        self.gateway = gateway.Gateway(
            self.loop,
            server_ownership.OwnerCandidate(
                self.settings.name, self.settings.failure_domain
            ),
            self.topology,
            self._make_admission_policy,
            self._make_peer_client,
            self._rng,
        )
        self.platform_link = self._make_platform_link()
        self.fleet = fleet_node.FleetNode(
            self.loop,
            self.settings,
            self.topology,
            self.gateway,
            self._rng,
            self.platform_link.claim_term,
            self._on_primary_change,
            self._peer_ssl_context,
        )
        self.dispatcher = dispatch.Dispatcher(self._dispatcher_context())
        self.transactions = transactions.OpenTransactions(
            self.loop, self.dispatcher, self.gateway, time.time
        )
        self.peer_listener = peer_calls.PeerListener(
            self.loop,
            self.settings.peer_address,
            self.fleet.handle_peer_call,
            self.settings.fleet_secret,
            self.settings.name,
            tls.server_context(self._tls_by_link.get("peers")),
        )
        self.operator_server = http1.Server(
            self.loop,
            self.settings.operator_address,
            operator_api.OperatorApi(self).handle,
            tls.server_context(self._tls_by_link.get("operators")),
        )
        self.caller_server = None

    def run(self, on_ready):
        """Serve until ``stop`` is called or a drain is complete.

        Parameters
        ----------
        on_ready : callable
            Called without arguments once the port of callers is open.
        """
        self.loop.spawn(self._start(on_ready))
        self.loop.run()
        # A request on a connection that stays open would never be answered.
        for server in (self.caller_server, self.operator_server, self.peer_listener):
            if server is not None:
                server.close()
        self.fleet.close()
        self.gateway.close()
        self.topology.close()
        self.platform_link.close()
        logging.info("event=stopped proxy=%s", self.settings.name)

    def stop(self):
        """End ``run`` at once; may be called from any thread or a signal handler."""
        self.loop.stop()

    def drain(self):
        """End ``run`` after the accepted requests; new connections are refused."""
        if not self.draining:
            self.draining = True
            logging.info("event=draining proxy=%s", self.settings.name)
            self.loop.spawn(self._drain_and_stop())

    def status(self):
        """Return a summary of the proxy's state for operators, as plain values."""
        return {
            "proxy": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "serving": self.caller_server is not None,
            "draining": self.draining,
            "generation": self.installed_configuration.generation,
            "groups": {
                name: {"term": monitor.view.term, "primary": monitor.view.primary}
                for name, monitor in self.topology.monitors_by_group.items()
            },
            "proxies": sorted(self.fleet.domains_by_proxy()),
        }

    def dump(self):
        """Return the state of the process as plain values."""
        return {
            **self.status(),
            "callers": self.caller_count(),
            "requests_in_flight": self._requests_in_flight(),
            "transactions": self.transactions.count,
            "groups": {
                name: monitor.dump()
                for name, monitor in self.topology.monitors_by_group.items()
            },
            "gateway": self.gateway.dump(),
            "fleet": self.fleet.dump(),
            "platform": dict(self.platform_link.counts),
        }

    # Creation of the parts, and the start of the listeners

    def _make_platform_link(self):
        address = self.settings.platform_address
        ssl_context = tls.client_context(self._tls_by_link.get("platform"))
        store = configuration.build_platform_store(
            self.settings, self.loop.clock, ssl_context
        )
        list_hosts = objects.HttpObjectStore(
            address, self.settings.failure_domain, self.loop.clock, ssl_context
        ).list_hosts
        link_to_platform = platform_link.PlatformLink(
            self.loop,
            store,
            list_hosts,
            self.settings.name,
            self.settings.failure_domain,
        )
        self._figure_publisher = figures.FigurePublisher(
            store, f"{self.settings.name}-{secrets.token_hex(4)}"
        )
        return link_to_platform

    def _make_admission_policy(self, server_settings):
        return kernel.plugin("admission", "ranked")(
            admission.AdmissionSettings(
                slots=server_settings.slots,
                floors=_values_by_rank(self.settings.floors_by_rank),
                queue_limits=_values_by_rank(self.settings.queue_limits_by_rank),
            )
        )

    def _make_peer_client(self, address):
        return peer_calls.PeerClient(
            self.loop,
            address,
            self.settings.fleet_secret,
            self.settings.name,
            self._peer_ssl_context,
        )

    def _dispatcher_context(self):
        return dispatch.DispatcherContext(
            loop=self.loop,
            token_signer=tokens.TokenSigner(
                self.settings.session_secrets_by_id,
                self.settings.current_session_secret,
            ),
            topology=self.topology,
            gateway=self.gateway,
            routing_policy=kernel.plugin("routing", "fresh")(),
            own_domain=self.settings.failure_domain,
            leaving_hosts=self.fleet.gossip.leaving_hosts,
            rng=self._rng,
            wall_clock=time.time,
        )

    def _start(self, on_ready):
        self.fleet.gossip.subscribe(
            platform_link.CONFIGURATION_KIND, self._on_configuration_rumor
        )
        self.platform_link.start(
            self.fleet, self.installed_configuration, self._on_accepted_configuration
        )
        started_at = self.loop.clock.now()
        while not self._has_learned_configuration():
            if self.loop.clock.now() >= started_at + START_TIMEOUT_SECONDS:
                logging.warning("event=configuration_not_confirmed")
                break
            yield self.loop.sleep_until(
                self.loop.clock.now() + STATE_CHECK_INTERVAL_SECONDS
            )
        self.caller_server = http1.Server(
            self.loop,
            self.settings.caller_address,
            caller_api.CallerApi(
                self.loop, self.dispatcher, self.transactions, self.accounting
            ).handle,
            tls.server_context(self._tls_by_link.get("callers")),
            on_disconnect=self.transactions.on_connection_closed,
            is_deferrable=True,
        )
        # Requests leave almost no reference cycles; looking for them at the default
        # thresholds wastes CPU time.
        gc.freeze()
        gc.set_threshold(GC_ALLOCATION_THRESHOLD, 20, 50)
        logging.info("event=started proxy=%s", self.settings.name)
        on_ready()
        self.loop.spawn(self._publish_figures())
        self.loop.spawn(
            key_expiry.delete_expired_keys(
                self.loop, self.topology, self.gateway, time.time
            )
        )

    def _has_learned_configuration(self):
        return (
            self.platform_link.configuration_was_read or self.fleet.gossip.ready.done()
        )

    # Configuration and primaries

    def _on_configuration_rumor(self, _name, _generation, encoded_configuration):
        """Install a configuration that another proxy spread."""
        try:
            accepted_configuration = configuration.decode(encoded_configuration)
        except errors.InvalidSettings as error:
            logging.warning("event=configuration_refused detail=%s", error)
            return
        self._install_configuration(accepted_configuration)

    def _on_accepted_configuration(self, accepted_configuration):
        """Install a configuration that the platform gave, and spread a new one."""
        if self._install_configuration(accepted_configuration):
            self.fleet.gossip.publish(
                platform_link.CONFIGURATION_KIND,
                platform_link.CONFIGURATION_NAME,
                accepted_configuration.generation,
                configuration.encode(accepted_configuration),
            )

    def _install_configuration(self, accepted_configuration):
        """Install a newer configuration; return whether it was installed."""
        if accepted_configuration.generation <= self.installed_configuration.generation:
            return False
        try:
            self.settings = settings.update_proxy_settings(
                self.settings,
                self._settings_document,
                self.installed_configuration.accepted.document,
                accepted_configuration.document,
            )
        except errors.InvalidSettings as error:
            logging.warning("event=configuration_refused detail=%s", error)
            return False
        self.installed_configuration.install_if_newer(accepted_configuration)
        self.topology.update(self.settings.groups_by_name)
        self.gateway.update_servers()
        self.fleet.restart_failover()
        logging.info(
            "event=configuration_installed generation=%d by=%s",
            accepted_configuration.generation,
            accepted_configuration.by,
        )
        return True

    def _on_primary_change(self, primary_change):
        self.accounting.metrics.promotions.labels(primary_change.group, "done").inc()
        self.platform_link.record_primary(primary_change)

    def _publish_figures(self):
        """Store figures in the platform at intervals until the drain."""
        while not self.draining:
            yield self.loop.sleep_until(
                self.loop.clock.now() + platform_link.FIGURES_INTERVAL_SECONDS
            )
            if not self.draining:
                self._store_figures(ended=False)

    def _store_figures(self, ended):
        return self.platform_link.publish_figures(
            self._figure_publisher, self.accounting.take_figures(), ended
        )

    # Drain: end of the accepted requests, then of the process

    def _drain_and_stop(self):
        now = self.loop.clock.now()
        deadline = now + self.settings.drain_deadline_ms / 1000
        self.fleet.leave()
        self.gateway.stop_owning_servers()
        yield self.loop.sleep_until(min(deadline, now + DRAIN_NOTICE_SECONDS))
        if self.caller_server is not None:
            self.caller_server.stop_listening()
        yield from self._wait_until_idle(deadline)
        unfinished_count = self._requests_in_flight() + self.transactions.count
        final_figures_future = self.loop.with_deadline(
            self._store_figures(ended=True),
            self.loop.clock.now() + FINAL_FIGURES_TIMEOUT_SECONDS,
            errors.PlatformUnavailable("the last figures were not stored"),
        )
        try:
            yield final_figures_future
        except errors.CassiahillError as error:
            logging.warning("event=figures_lost detail=%s", error)
        # Requests on open connections are served while the figures are stored.
        yield from self._wait_until_idle(deadline)
        logging.info(
            "event=drained proxy=%s left=%d", self.settings.name, unfinished_count
        )
        self.loop.stop()

    def _wait_until_idle(self, deadline):
        while self.loop.clock.now() < deadline and self._has_unfinished_requests():
            yield self.loop.sleep_until(
                self.loop.clock.now() + STATE_CHECK_INTERVAL_SECONDS
            )

    def _has_unfinished_requests(self):
        return (
            self._requests_in_flight()
            or self.transactions.count
            or self.gateway.has_owned_servers()
        )

    def caller_count(self):
        """Return the number of callers' connections."""
        return 0 if self.caller_server is None else self.caller_server.connection_count

    def _requests_in_flight(self):
        return (
            0 if self.caller_server is None else self.caller_server.requests_in_flight
        )


def _values_by_rank(values_by_name):
    return {
        messages.RANKS_BY_NAME[name]: value for name, value in values_by_name.items()
    }


def run(settings_folder):
    """Run a proxy with the settings in a folder, until SIGTERM or SIGINT drains it.

    Parameters
    ----------
    settings_folder : str

    Raises
    ------
    errors.InvalidSettings
        With all faults that were found.
    """
    settings.load(settings_folder)
    kernel.load_all()
    proxy = Proxy(settings.read_document(settings_folder))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number,
            lambda *_: proxy.loop.call_soon_threadsafe(proxy.drain),
        )
    proxy.run(lambda: print(f"ready {proxy.caller_server.address[1]}", flush=True))
