"""A naive failover policy, as a baseline for ``bench.failover_gap``.

It promotes after the first missed probe, to the first replica that answers, without a
majority and without comparing logs.
"""

from cassiahill import errors, failover


class NaiveDriver:
    """Same interface as ``failover.FailoverDriver``, as far as the bench needs it."""

    def __init__(self, loop, settings, backends_by_server, view, on_change):
        self._loop = loop
        self._settings = settings
        self._backends = backends_by_server
        self._view = view
        self._on_change = on_change
        self._closed = False
        loop.spawn(self._watch())

    def close(self):
        """Stop probing."""
        self._closed = True

    def _watch(self):
        while not self._closed:
            now = self._loop.clock.now()
            primary = self._view.primary
            if primary:
                try:
                    yield self._backends[primary].probe(
                        now + failover.PROBE_TIMEOUT_SECONDS
                    )
                except errors.CassiahillError:
                    yield from self._promote(primary)
            yield self._loop.sleep_until(now + failover.PROBE_INTERVAL_SECONDS)

    def _promote(self, suspect):
        term = self._view.term + 1
        by = f"naive/{term}"
        for server in self._backends:
            deadline = self._loop.clock.now() + failover.CALL_TIMEOUT_SECONDS
            if server == suspect:
                continue
            try:
                yield self._backends[server].raise_term(term, by, deadline)
                yield self._backends[server].promote(term, by, deadline)
            except errors.CassiahillError:
                continue
            self._on_change(
                failover.PrimaryChange(self._settings.name, term, server, by)
            )
            yield from self._follow(term, server)
            return

    def _follow(self, term, primary):
        address = self._settings.servers_by_name[primary].address
        for server in self._backends:
            deadline = self._loop.clock.now() + failover.CALL_TIMEOUT_SECONDS
            if server != primary:
                try:
                    yield self._backends[server].follow(
                        term, primary, address, deadline
                    )
                except errors.CassiahillError:
                    continue
