"""The HTTP interface of operators: status, dump, metrics, drain, approval."""

from cassiahill import errors, http1, metrics

APPROVE_PATH = "/approve/"
CONNECTION_USES = ("idle", "leased", "resetting")


class OperatorApi:
    """Serves the operator port of a proxy.

    Parameters
    ----------
    proxy : proxy.Proxy
    """

    def __init__(self, proxy):
        self._proxy = proxy
        self._exposed_by_child = {}

    def handle(self, request, _connection):
        """Return the response to one request."""
        match (request.method, request.path):
            case ("GET", "/status"):
                return http1.json_response(self._proxy.status())
            case ("GET", "/dump"):
                return http1.json_response(self._proxy.dump())
            case ("GET", "/metrics"):
                return self._metrics()
            case ("POST", "/drain"):
                self._proxy.drain()
                return http1.json_response({"draining": True})
        if request.method == "POST" and request.path.startswith(APPROVE_PATH):
            self._proxy.fleet.approve(request.path.removeprefix(APPROVE_PATH))
            return http1.json_response({"approved": True})
        raise errors.NotFound(f"{request.method} {request.path}")

    def _metrics(self):
        proxy = self._proxy
        now = proxy.loop.clock.now()
        gauges = proxy.accounting.metrics
        gauges.connections.labels("caller").set(proxy.caller_count())
        gauges.generation.set(proxy.installed.generation)
        gauges.draining.set(proxy.draining)
        gauges.members.labels("live").set(len(proxy.fleet.domains_by_proxy()))
        for name, monitor in proxy.topology.monitors_by_group.items():
            gauges.term.labels(name).set(monitor.view.term)
            for server in monitor.view.servers:
                age = monitor.view.age(server, now)
                gauges.replica_age_seconds.labels(server).set(age)
        self._expose_gateway(gauges)
        for call, total in proxy.platform.counts.items():
            self._advance(gauges.platform_calls.labels(call), total)
        return http1.Response(200, gauges.exposition(), metrics.CONTENT_TYPE)

    def _expose_gateway(self, gauges):
        state = self._proxy.gateway.dump()
        counts = state["counts"]
        self._advance(gauges.forwarded.labels("sent"), counts.get("forwarded", 0))
        self._advance(
            gauges.forwarded.labels("refused"), counts.get("refused_early", 0)
        )
        opened = 0
        for server, owned in state["owned"].items():
            opened += sum(owned["connections"][use] for use in CONNECTION_USES)
            for rank, waiting in owned["admission"]["waiting"].items():
                gauges.queue_length.labels(server, rank).set(waiting)
        gauges.connections.labels("backend").set(opened)

    def _advance(self, child, total):
        """Raise a counter to a total that is counted elsewhere."""
        child.inc(total - self._exposed_by_child.get(child, 0))
        self._exposed_by_child[child] = total
