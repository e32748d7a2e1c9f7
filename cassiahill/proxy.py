"""The proxy daemon: connects the modules and serves callers."""

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

DRAIN_NOTICE = 2.0  # seconds for the announcement to spread among the proxies
DRAIN_CHECK = 0.05
START_TIMEOUT = 5.0  # seconds to learn the accepted configuration before serving
LAST_FIGURES_TIMEOUT = 2.0
GC_ALLOCATIONS = 50_000


class Proxy:
    """One proxy process.

    Parameters
    ----------
    document : dict
        The merged and checked settings.
    """

    def __init__(self, document):
        self._document = document
        self.settings = settings.build_proxy_settings(document)
        self.loop = loop.EventLoop(clock.SystemClock())
        self.draining = False
        self.installed = configuration.InstalledConfiguration()
        self.accounting = accounting.Accounting(self.loop.clock)
        self._rng = random.Random()
        self._tls = self.settings.tls_by_link
        self.topology = topology.Topology(
            self.loop,
            self.settings.failure_domain,
            tls.client_context(self._tls.get("backends")),
        )
        self.topology.update(self.settings.groups_by_name)
        self._peer_context = tls.client_context(self._tls.get("peers"))
        self.gateway = gateway.Gateway(
            self.loop,
            server_ownership.OwnerCandidate(
                self.settings.name, self.settings.failure_domain
            ),
            self.topology,
            self._make_policy,
            self._make_client,
            self._rng,
        )
        self.platform = self._make_platform()
        self.fleet = fleet_node.FleetNode(
            self.loop,
            self.settings,
            self.topology,
            self.gateway,
            self._rng,
            self.platform.claim_term,
            self._on_primary_change,
            self._peer_context,
        )
        self.dispatcher = dispatch.Dispatcher(self._environment())
        self.transactions = transactions.OpenTransactions(
            self.loop, self.dispatcher, self.gateway, time.time
        )
        self.peer_listener = peer_calls.PeerListener(
            self.loop,
            self.settings.peer_address,
            self.fleet.handle_peer_call,
            self.settings.fleet_secret,
            self.settings.name,
            tls.server_context(self._tls.get("peers")),
        )
        self.operators = http1.Server(
            self.loop,
            self.settings.operator_address,
            operator_api.OperatorApi(self).handle,
            tls.server_context(self._tls.get("operators")),
        )
        self.callers = None

    def run(self, on_ready):
        """Serve until the process has drained or ``stop`` was called.

        Parameters
        ----------
        on_ready : callable
            Called when callers are served.
        """
        self.loop.spawn(self._start(on_ready))
        self.loop.run()
        # A request on a connection that stays open would wait for an answer in vain.
        for server in (self.callers, self.operators, self.peer_listener):
            if server is not None:
                server.close()
        self.fleet.close()
        self.gateway.close()
        self.topology.close()
        self.platform.close()
        logging.info("event=stopped proxy=%s", self.settings.name)

    def stop(self):
        """End ``run`` now; from any thread or a signal handler."""
        self.loop.stop()

    def drain(self):
        """Serve what was accepted, refuse new connections, then end ``run``."""
        if not self.draining:
            self.draining = True
            logging.info("event=draining proxy=%s", self.settings.name)
            self.loop.spawn(self._drain())

    def status(self):
        """Return a short summary as plain values."""
        return {
            "proxy": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "serving": self.callers is not None,
            "draining": self.draining,
            "generation": self.installed.generation,
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
            "platform": dict(self.platform.counts),
        }

    # Start

    def _make_platform(self):
        address = self.settings.platform_address
        context = tls.client_context(self._tls.get("platform"))
        store = configuration.build_platform_store(
            self.settings, self.loop.clock, context
        )
        hosts = objects.HttpObjectStore(
            address, self.settings.failure_domain, self.loop.clock, context
        ).list_hosts
        link = platform_link.PlatformLink(
            self.loop, store, hosts, self.settings.name, self.settings.failure_domain
        )
        self._publisher = figures.FigurePublisher(
            store, f"{self.settings.name}-{secrets.token_hex(4)}"
        )
        return link

    def _make_policy(self, server):
        return kernel.plugin("admission", "ranked")(
            admission.AdmissionSettings(
                slots=server.slots,
                floors=_by_rank(self.settings.floors_by_rank),
                queue_limits=_by_rank(self.settings.queue_limits_by_rank),
            )
        )

    def _make_client(self, address):
        return peer_calls.PeerClient(
            self.loop,
            address,
            self.settings.fleet_secret,
            self.settings.name,
            self._peer_context,
        )

    def _environment(self):
        return dispatch.Environment(
            loop=self.loop,
            signer=tokens.TokenSigner(
                self.settings.session_secrets_by_id,
                self.settings.current_session_secret,
            ),
            topology=self.topology,
            gateway=self.gateway,
            policy=kernel.plugin("routing", "fresh")(),
            own_domain=self.settings.failure_domain,
            leaving_hosts=self.fleet.gossip.leaving_hosts,
            rng=self._rng,
            wall_clock=time.time,
        )

    def _start(self, on_ready):
        self.fleet.gossip.subscribe(
            platform_link.CONFIGURATION_KIND, self._on_configuration_news
        )
        self.platform.start(self.fleet, self.installed, self._on_accepted)
        started_at = self.loop.clock.now()
        while not self._knows_configuration():
            if self.loop.clock.now() >= started_at + START_TIMEOUT:
                logging.warning("event=configuration_not_confirmed")
                break
            yield self.loop.sleep_until(self.loop.clock.now() + DRAIN_CHECK)
        self.callers = http1.Server(
            self.loop,
            self.settings.caller_address,
            caller_api.Frontend(
                self.loop, self.dispatcher, self.transactions, self.accounting
            ).handle,
            tls.server_context(self._tls.get("callers")),
            on_disconnect=self.transactions.on_connection_closed,
        )
        # Almost nothing of a request is part of a reference cycle, so that looking for
        # cycles at the default thresholds is wasted CPU.
        gc.freeze()
        gc.set_threshold(GC_ALLOCATIONS, 20, 50)
        logging.info("event=started proxy=%s", self.settings.name)
        on_ready()
        self.loop.spawn(self._publish_figures())
        self.loop.spawn(
            key_expiry.drop_old_keys(self.loop, self.topology, self.gateway, time.time)
        )

    def _knows_configuration(self):
        return self.platform.configuration_was_read or self.fleet.gossip.ready.done()

    # Configuration and primaries

    def _on_configuration_news(self, _name, _generation, value):
        try:
            accepted = configuration.decode(value)
        except errors.InvalidSettings as error:
            logging.warning("event=configuration_refused detail=%s", error)
            return
        self._install(accepted)

    def _on_accepted(self, accepted):
        if self._install(accepted):
            self.fleet.gossip.publish(
                platform_link.CONFIGURATION_KIND,
                platform_link.CONFIGURATION_NAME,
                accepted.generation,
                configuration.encode(accepted),
            )

    def _install(self, accepted):
        if accepted.generation <= self.installed.generation:
            return False
        try:
            self.settings = settings.update_proxy_settings(
                self.settings,
                self._document,
                self.installed.accepted.document,
                accepted.document,
            )
        except errors.InvalidSettings as error:
            logging.warning("event=configuration_refused detail=%s", error)
            return False
        self.installed.install_if_newer(accepted)
        self.topology.update(self.settings.groups_by_name)
        self.gateway.update_servers()
        self.fleet.restart_failover()
        logging.info(
            "event=configuration_installed generation=%d by=%s",
            accepted.generation,
            accepted.by,
        )
        return True

    def _on_primary_change(self, change):
        self.accounting.metrics.promotions.labels(change.group, "done").inc()
        self.platform.record_primary(change)

    def _publish_figures(self):
        while not self.draining:
            yield self.loop.sleep_until(
                self.loop.clock.now() + platform_link.FIGURES_INTERVAL_SECONDS
            )
            if not self.draining:
                self._store_figures(ended=False)

    def _store_figures(self, ended):
        return self.platform.publish_figures(
            self._publisher, self.accounting.take_figures(), ended
        )

    # Drain

    def _drain(self):
        now = self.loop.clock.now()
        deadline = now + self.settings.drain_deadline_ms / 1000
        self.fleet.leave()
        self.gateway.leave()
        yield self.loop.sleep_until(min(deadline, now + DRAIN_NOTICE))
        if self.callers is not None:
            self.callers.stop_listening()
        yield from self._wait_until_idle(deadline)
        left = self._requests_in_flight() + self.transactions.count
        last = self.loop.with_deadline(
            self._store_figures(ended=True),
            self.loop.clock.now() + LAST_FIGURES_TIMEOUT,
            errors.PlatformUnavailable("the last figures were not stored"),
        )
        try:
            yield last
        except errors.CassiahillError as error:
            logging.warning("event=figures_lost detail=%s", error)
        # Requests on open connections are served while the figures are stored.
        yield from self._wait_until_idle(deadline)
        logging.info("event=drained proxy=%s left=%d", self.settings.name, left)
        self.loop.stop()

    def _wait_until_idle(self, deadline):
        while self.loop.clock.now() < deadline and self._busy():
            yield self.loop.sleep_until(self.loop.clock.now() + DRAIN_CHECK)

    def _busy(self):
        return (
            self._requests_in_flight() or self.transactions.count or self.gateway.busy()
        )

    def caller_count(self):
        """Return the number of callers' connections."""
        return 0 if self.callers is None else self.callers.connection_count

    def _requests_in_flight(self):
        return 0 if self.callers is None else self.callers.requests_in_flight


def _by_rank(values_by_name):
    return {
        messages.RANKS_BY_NAME[name]: value for name, value in values_by_name.items()
    }


def run(folder):
    """Run a proxy with the settings in a folder until SIGTERM, which drains it.

    Raises
    ------
    errors.InvalidSettings
        With all findings.
    """
    settings.load(folder)
    kernel.load_all()
    proxy = Proxy(settings.read_document(folder))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number,
            lambda *_: proxy.loop.call_soon_threadsafe(proxy.drain),
        )
    proxy.run(lambda: print(f"ready {proxy.callers.address[1]}", flush=True))
