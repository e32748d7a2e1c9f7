"""HTTP interface of operators: status, dump, metrics, drain, approval of promotions."""

from cassiahill import errors, http1, metrics

APPROVE_PATH = "/approve/"
CONNECTION_STATES = ("idle", "leased", "resetting")


class OperatorApi:
    """Serves the operator port of a proxy.

    Parameters
    ----------
    proxy : proxy.Proxy
    """

    def __init__(self, proxy):
        self._proxy = proxy
        self._exposed_total_by_counter = {}

    def handle(self, request, _connection):
        """Return the response to one request.

        Parameters
        ----------
        request : http1.Request

        Returns
        -------
        http1.Response

        Raises
        ------
        errors.NotFound
            When the method and path have no operation.
        """
        match (request.method, request.path):
            case ("GET", "/status"):
                return http1.json_response(self._proxy.status())
            case ("GET", "/dump"):
                return http1.json_response(self._proxy.dump())
            case ("GET", "/metrics"):
                return self._metrics_response()
            case ("POST", "/drain"):
                self._proxy.drain()
                return http1.json_response({"draining": True})
        if request.method == "POST" and request.path.startswith(APPROVE_PATH):
            self._proxy.fleet.approve(request.path.removeprefix(APPROVE_PATH))
            return http1.json_response({"approved": True})
        raise errors.NotFound(f"{request.method} {request.path}")

    def _metrics_response(self):
        proxy = self._proxy
        now = proxy.loop.clock.now()
        proxy_metrics = proxy.accounting.metrics
        proxy_metrics.connections.labels("caller").set(proxy.caller_count())
        proxy_metrics.generation.set(proxy.installed_configuration.generation)
        proxy_metrics.draining.set(proxy.draining)
        proxy_metrics.members.labels("live").set(len(proxy.fleet.domains_by_proxy()))
        for group, monitor in proxy.topology.monitors_by_group.items():
            proxy_metrics.term.labels(group).set(monitor.view.term)
            for server in monitor.view.servers:
                age_seconds = monitor.view.age(server, now)
                proxy_metrics.replica_age_seconds.labels(server).set(age_seconds)
        self._set_gateway_metrics(proxy_metrics)
        for call, total in proxy.platform_link.counts.items():
            self._raise_counter(proxy_metrics.platform_calls.labels(call), total)
        return http1.Response(200, proxy_metrics.exposition(), metrics.CONTENT_TYPE)

    def _set_gateway_metrics(self, proxy_metrics):
        gateway_state = self._proxy.gateway.dump()
        counts = gateway_state["counts"]
        self._raise_counter(
            proxy_metrics.forwarded.labels("sent"), counts.get("forwarded", 0)
        )
        self._raise_counter(
            proxy_metrics.forwarded.labels("refused"), counts.get("refused_early", 0)
        )
        open_connections = 0
        for server, owned_server in gateway_state["owned"].items():
            open_connections += sum(
                owned_server["connections"][state] for state in CONNECTION_STATES
            )
            for rank, waiting_count in owned_server["admission"]["waiting"].items():
                proxy_metrics.queue_length.labels(server, rank).set(waiting_count)
        proxy_metrics.connections.labels("backend").set(open_connections)

    def _raise_counter(self, counter, total):
        """Raise a Prometheus counter to a total that is counted elsewhere."""
        counter.inc(total - self._exposed_total_by_counter.get(counter, 0))
        self._exposed_total_by_counter[counter] = total
