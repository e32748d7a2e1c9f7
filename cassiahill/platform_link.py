"""Calls of the daemon to the platform; none is on the path of a caller's request."""

from concurrent.futures import ThreadPoolExecutor

import msgspec
from absl import logging

from cassiahill import configuration, errors, rumor_spreading
from cassiahill.loop import failed_future

THREADS = 4
WATCH_TIMEOUT = 20.0
READ_TIMEOUT = 3.0
READER_CHECK = 1.0  # seconds between two looks at who the readers are
HOSTS_INTERVAL = 2.0
FIGURES_INTERVAL_SECONDS = 60.0
CLAIM_TIMEOUT = 0.5
STATUS_TIMEOUT = 10.0
GROUP_KIND = "group"
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "current"


class PlatformLink:
    """Watches the platform when this process is a reader, and writes what it must.

    Parameters
    ----------
    loop : loop.EventLoop
    store : objects.ObjectStore
        Blocking; its calls run in an executor of this object.
    hosts : callable
        Takes a deadline, returns the platform's list of hosts; blocking.
    own_name, own_domain : str
    """

    def __init__(self, loop, store, hosts, own_name, own_domain):
        self._loop = loop
        self._store = store
        self._hosts = hosts
        self._own_name = own_name
        self._own_domain = own_domain
        self._executor = ThreadPoolExecutor(THREADS, thread_name_prefix="platform")
        self._closed = False
        self._version = 0
        self.configuration_was_read = False
        self.counts = {"watches": 0, "claims": 0, "failures": 0}

    def start(self, fleet, installed, on_accepted):
        """Start the loops of a reader.

        Parameters
        ----------
        fleet : fleet_node.FleetNode
        installed : configuration.InstalledConfiguration
        on_accepted : callable
            Called on the loop's thread with a newer
            ``configuration.AcceptedConfiguration``.
        """
        self._loop.spawn(self._read_forever(fleet, installed, on_accepted))
        self._loop.spawn(self._watch_hosts(fleet))

    def claim_term(self, group, term, by):
        """Claim a term of a group; the result is False when it is taken."""
        return self._submit(self._claim, group, term, by)

    def record_primary(self, change):
        """Write a finished promotion for readers of the platform."""
        future = self._submit(self._record_primary, change)
        self._loop.when_done(future, self._count_failure)

    def publish_figures(self, publisher, batch, ended=False):
        """Store a batch of figures; return the future of whether all is stored."""
        deadline = self._loop.clock.now() + STATUS_TIMEOUT
        return self._submit(publisher.publish, batch, deadline, ended)

    def close(self):
        """Stop the loops and the calls in flight.

        The interpreter waits for the executor's threads when the process ends, so a
        watch that went on would hold it up for as long as ``WATCH_TIMEOUT``.
        """
        self._closed = True
        self._store.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, function, *args):
        if self._closed:
            return failed_future(errors.PlatformUnavailable("the process ends"))
        return self._executor.submit(function, *args)

    def _count_failure(self, future):
        if future.exception() is not None:
            self.counts["failures"] += 1

    def _is_reader(self, fleet):
        names = [
            name
            for name, domain in fleet.domains_by_proxy().items()
            if domain == self._own_domain
        ]
        return self._own_name in rumor_spreading.choose_platform_readers(
            self._own_domain, names
        )

    def _read_forever(self, fleet, installed, on_accepted):
        # The first read is made by every process, so that it does not serve with an
        # older configuration than the platform holds.
        first = True
        while not self._closed:
            if not first and not self._is_reader(fleet):
                yield self._loop.sleep_until(self._loop.clock.now() + READER_CHECK)
                continue
            try:
                if first:
                    accepted = yield self._submit(self._read_configuration)
                else:
                    accepted = yield self._submit(self._watch_configuration)
                first = False
                self.configuration_was_read = True
            except errors.CassiahillError:
                self.counts["failures"] += 1
                yield self._loop.sleep_until(self._loop.clock.now() + READER_CHECK)
                continue
            if accepted is not None and accepted.generation > installed.generation:
                on_accepted(accepted)

    def _read_configuration(self):
        deadline = self._loop.clock.now() + READ_TIMEOUT
        accepted = configuration.read(self._store, deadline)
        self._version = accepted.version
        return accepted

    def _watch_configuration(self):
        deadline = self._loop.clock.now() + WATCH_TIMEOUT
        self.counts["watches"] += 1
        found = self._store.watch(CONFIGURATION_KIND, self._version, deadline)
        accepted = None
        for item in found:
            self._version = max(self._version, item.version)
            if item.name == CONFIGURATION_NAME:
                accepted = configuration.decode(item.value, item.version)
        return accepted

    def _watch_hosts(self, fleet):
        while not self._closed:
            if self._is_reader(fleet):
                try:
                    deadline = self._loop.clock.now() + READ_TIMEOUT
                    hosts = yield self._submit(self._hosts, deadline)
                    live = {h["name"] for h in hosts if h.get("state") == "live"}
                    leaving = {h["name"] for h in hosts if h.get("state") == "leaving"}
                    if hosts:
                        fleet.gossip.update_host_list(live, leaving)
                except (errors.CassiahillError, TypeError, KeyError):
                    self.counts["failures"] += 1
            yield self._loop.sleep_until(self._loop.clock.now() + HOSTS_INTERVAL)

    def _claim(self, group, term, by):
        self.counts["claims"] += 1
        deadline = self._loop.clock.now() + CLAIM_TIMEOUT
        stored_term, version = self._group(group, deadline)
        if stored_term >= term:
            return False
        value = msgspec.json.encode({"term": term, "by": by, "primary": ""})
        self._store.put(GROUP_KIND, group, value, version, deadline)
        return True

    def _record_primary(self, change):
        deadline = self._loop.clock.now() + STATUS_TIMEOUT
        stored_term, version = self._group(change.group, deadline)
        if stored_term > change.term:
            return
        value = msgspec.json.encode(
            {"term": change.term, "by": change.promotion_id, "primary": change.primary}
        )
        self._store.put(GROUP_KIND, change.group, value, version, deadline)
        logging.info("event=primary_recorded group=%s", change.group)

    def _group(self, group, deadline):
        try:
            stored = self._store.get(GROUP_KIND, group, deadline)
        except errors.NotFound:
            return 0, 0
        return msgspec.json.decode(stored.value)["term"], stored.version
