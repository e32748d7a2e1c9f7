"""The proxy daemon: connects the modules and serves callers."""

import random
import signal
import time

from absl import logging

from cassiahill import (
    admission,
    backend_http,
    clock,
    dispatch,
    errors,
    frontend,
    gateway,
    http1,
    kernel,
    loop,
    messages,
    ownership,
    peers,
    poller,
    settings,
    tokens,
    transactions,
)

DRAIN_NOTICE = 2.0  # seconds for the announcement to spread among the proxies
DRAIN_CHECK = 0.05


class Proxy:
    """One proxy process.

    Parameters
    ----------
    proxy_settings : settings.ProxySettings
    """

    def __init__(self, proxy_settings):
        self.settings = proxy_settings
        self.loop = loop.EventLoop(clock.SystemClock())
        self.rng = random.Random()
        self.draining = False
        self._servers_by_name = {
            server.name: server
            for group in proxy_settings.groups_by_name.values()
            for server in group.servers_by_name.values()
        }
        self.backends_by_server = {
            server.name: backend_http.HttpBackend(
                self.loop,
                server.name,
                server.group,
                server.address,
                proxy_settings.failure_domain,
            )
            for server in self._servers_by_name.values()
        }
        self.monitors_by_group = {
            group.name: poller.GroupMonitor(self.loop, group, self.backends_by_server)
            for group in proxy_settings.groups_by_name.values()
        }
        self.gateway = gateway.Gateway(
            self.loop,
            ownership.Candidate(proxy_settings.name, proxy_settings.failure_domain),
            proxy_settings.groups_by_name,
            self.backends_by_server,
            self.monitors_by_group,
            self._make_policy,
            self._make_client,
            self.rng,
        )
        self.dispatcher = dispatch.Dispatcher(self._environment())
        self.transactions = transactions.Transactions(
            self.loop, self.dispatcher, self.gateway
        )
        self.peer_listener = peers.PeerListener(
            self.loop,
            proxy_settings.peer_address,
            self.gateway.handle_peer,
            proxy_settings.fleet_secret,
            proxy_settings.name,
        )
        self.callers = http1.Server(
            self.loop,
            proxy_settings.caller_address,
            frontend.Frontend(self.loop, self.dispatcher, self.transactions).handle,
            on_disconnect=self.transactions.forget_connection,
        )
        self.operators = http1.Server(
            self.loop, proxy_settings.operator_address, self._handle_operator
        )

    def run(self):
        """Serve until ``stop``."""
        logging.info("event=started proxy=%s", self.settings.name)
        self.loop.run()
        self.gateway.close()
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

    def dump(self):
        """Return the state of the process as plain values."""
        return {
            "proxy": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "draining": self.draining,
            "callers": self.callers.connection_count,
            "requests_in_flight": self.callers.requests_in_flight,
            "transactions": self.transactions.count,
            "groups": {
                name: monitor.dump() for name, monitor in self.monitors_by_group.items()
            },
            "gateway": self.gateway.dump(),
        }

    def _environment(self):
        return dispatch.Environment(
            loop=self.loop,
            signer=tokens.TokenSigner(
                self.settings.session_secrets_by_id,
                self.settings.current_session_secret,
            ),
            monitors_by_group=self.monitors_by_group,
            gateway=self.gateway,
            policy=kernel.plugin("routing", "fresh")(),
            own_domain=self.settings.failure_domain,
            domains_by_server={
                name: server.failure_domain
                for name, server in self._servers_by_name.items()
            },
            leaving=set(),
            rng=self.rng,
            wall_clock=time.time,
        )

    def _make_policy(self, server):
        return kernel.plugin("admission", "ranked")(
            admission.AdmissionSettings(
                slots=server.slots,
                floors=_by_rank(self.settings.floors_by_rank),
                queue_limits=_by_rank(self.settings.queue_limits_by_rank),
            )
        )

    def _make_client(self, address):
        return peers.PeerClient(
            self.loop, address, self.settings.fleet_secret, self.settings.name
        )

    def _drain(self):
        now = self.loop.clock.now()
        deadline = now + self.settings.drain_deadline_ms / 1000
        self.gateway.leave()
        yield self.loop.sleep_until(min(deadline, now + DRAIN_NOTICE))
        self.callers.stop_listening()
        while self.loop.clock.now() < deadline and self._busy():
            yield self.loop.sleep_until(self.loop.clock.now() + DRAIN_CHECK)
        left = self.callers.requests_in_flight + self.transactions.count
        logging.info("event=drained proxy=%s left=%d", self.settings.name, left)
        self.loop.stop()

    def _busy(self):
        return (
            self.callers.requests_in_flight
            or self.transactions.count
            or self.gateway.busy()
        )

    def _handle_operator(self, request, _connection):
        match (request.method, request.path):
            case ("GET", "/dump"):
                return http1.json_response(self.dump())
            case ("POST", "/drain"):
                self.drain()
                return http1.json_response({"draining": True})
        raise errors.NotFound(f"{request.method} {request.path}")


def _by_rank(values_by_name):
    return {
        messages.RANKS_BY_NAME[name]: value for name, value in values_by_name.items()
    }


def run(folder):
    """Run a proxy with the settings in a folder until SIGTERM, which drains it."""
    proxy = Proxy(settings.load(folder))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number,
            lambda *_: proxy.loop.call_soon_threadsafe(proxy.drain),
        )
    print(f"ready {proxy.callers.address[1]}", flush=True)
    proxy.run()
