"""The proxy daemon: connects the modules and serves callers."""

import signal

from absl import logging

from cassiahill import (
    backend_http,
    clock,
    dispatch,
    errors,
    gateway,
    http1,
    loop,
    messages,
    poller,
    settings,
    tokens,
)


class Proxy:
    """One proxy process.

    Parameters
    ----------
    proxy_settings : settings.ProxySettings
    """

    def __init__(self, proxy_settings):
        self.settings = proxy_settings
        self.loop = loop.EventLoop(clock.SystemClock())
        self.backends_by_server = {
            server.name: backend_http.HttpBackend(
                self.loop,
                server.name,
                server.group,
                server.address,
                proxy_settings.failure_domain,
            )
            for group in proxy_settings.groups_by_name.values()
            for server in group.servers_by_name.values()
        }
        self.monitors_by_group = {
            group.name: poller.GroupMonitor(self.loop, group, self.backends_by_server)
            for group in proxy_settings.groups_by_name.values()
        }
        self.dispatcher = dispatch.Dispatcher(
            self.loop,
            tokens.TokenSigner(
                proxy_settings.session_secrets_by_id,
                proxy_settings.current_session_secret,
            ),
            self.monitors_by_group,
            gateway.DirectGateway(
                self.loop, self.backends_by_server, proxy_settings.name
            ),
        )
        self.callers = http1.Server(
            self.loop, proxy_settings.caller_address, self._handle_caller
        )
        self.operators = http1.Server(
            self.loop, proxy_settings.operator_address, self._handle_operator
        )

    def run(self):
        """Serve until ``stop``."""
        logging.info("event=started proxy=%s", self.settings.name)
        self.loop.run()

    def stop(self):
        """End ``run``; from any thread or a signal handler."""
        self.loop.stop()

    def dump(self):
        """Return the state of the process as plain values."""
        return {
            "proxy": self.settings.name,
            "callers": self.callers.connection_count,
            "groups": {
                name: monitor.dump() for name, monitor in self.monitors_by_group.items()
            },
        }

    def _handle_caller(self, request, _connection):
        if (request.method, request.path) != ("POST", "/v1/statements"):
            raise errors.NotFound(f"{request.method} {request.path}")
        body = messages.decode_body(request.body, messages.StatementBody)
        caller = request.peer_name or request.headers.get("caller", "")
        parsed = messages.statement_request(body, caller, self.loop.clock.now())
        return self.loop.spawn(self._answer(parsed))

    def _answer(self, parsed):
        answer = yield self.dispatcher.statement(parsed)
        return http1.json_response(answer)

    def _handle_operator(self, request, _connection):
        if request.path == "/dump":
            return http1.json_response(self.dump())
        raise errors.NotFound(request.path)


def run(folder):
    """Run a proxy with the settings in a folder until SIGTERM."""
    document = settings.read_folder(folder)
    proxy = Proxy(settings.proxy_settings(document))
    signal.signal(signal.SIGTERM, lambda *_: proxy.stop())
    signal.signal(signal.SIGINT, lambda *_: proxy.stop())
    print(f"ready {proxy.callers.address[1]}", flush=True)
    proxy.run()
