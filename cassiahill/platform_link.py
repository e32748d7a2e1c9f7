"""Calls from the proxy to the platform.

A caller's request never waits for a call to the platform.
"""

from concurrent.futures import ThreadPoolExecutor

import msgspec
from absl import logging

from cassiahill import configuration, errors, rumor_spreading
from cassiahill.loop import failed_future

EXECUTOR_THREADS = 4
# A watch may be lost while its connection lives on, and then hides a change, which must
# be in effect everywhere within 5 s.
WATCH_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 3.0
# Pause before a process that is not a reader checks again whether it has become one,
# and before a failed read is repeated.
READER_CHECK_INTERVAL_SECONDS = 1.0
HOSTS_INTERVAL_SECONDS = 2.0
FIGURES_INTERVAL_SECONDS = 60.0
CLAIM_TIMEOUT_SECONDS = 0.5
# Timeout for storing figures and the new primary of a group; no request waits for it.
BACKGROUND_WRITE_TIMEOUT_SECONDS = 10.0
GROUP_KIND = "group"
CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "current"


class PlatformLink:
    """Reads the configuration and the hosts, and writes promotions and figures.

    Only a few processes of each failure domain, the readers, watch the platform. The
    others receive the configuration from their peers.

    Parameters
    ----------
    loop : loop.EventLoop
    store : objects.ObjectStore
        Its calls block, so they run in an executor of this object.
    list_hosts : callable
        Takes a deadline in seconds and returns the platform's list of hosts as decoded
        JSON; blocks, too.
    own_name, own_domain : str
        Name and failure domain of this process.

    Attributes
    ----------
    configuration_was_read : bool
        Whether this process has read the configuration from the platform.
    counts : dict of str to int
        Watches, claims and failed calls since the start.
    """

    def __init__(self, loop, store, list_hosts, own_name, own_domain):
        self._loop = loop
        self._store = store
        self._list_hosts = list_hosts
        self._own_name = own_name
        self._own_domain = own_domain
        self._executor = ThreadPoolExecutor(
            EXECUTOR_THREADS, thread_name_prefix="platform"
        )
        self._closed = False
        self._last_version = 0
        self.configuration_was_read = False
        self.counts = {"watches": 0, "claims": 0, "failures": 0}

    def start(self, fleet, installed, on_accepted):
        """Start the tasks that read the configuration and the list of hosts.

        Parameters
        ----------
        fleet : fleet_node.FleetNode
        installed : configuration.InstalledConfiguration
        on_accepted : callable
            Called on the loop's thread with a newer
            ``configuration.AcceptedConfiguration``.
        """
        self._loop.spawn(self._read_configurations(fleet, installed, on_accepted))
        self._loop.spawn(self._poll_hosts(fleet))

    def claim_term(self, group, term, promotion_id):
        """Claim a term of a group for a promotion.

        Returns
        -------
        Future of bool
            False when the platform holds this or a higher term already. Fails with
            ``errors.Conflict`` when another claim came first.
        """
        return self._submit(self._claim, group, term, promotion_id)

    def record_primary(self, change):
        """Store the new primary of a group on the platform, in the background.

        Parameters
        ----------
        change : failover.PrimaryChange
        """
        future = self._submit(self._record_primary, change)
        self._loop.when_done(future, self._count_failure)

    def publish_figures(self, publisher, batch, ended=False):
        """Store a batch of figures on the platform.

        Parameters
        ----------
        publisher : figures.FigurePublisher
        batch : tuple
            From ``FigureCollector.take``.
        ended : bool
            Whether this is the last batch of the process.

        Returns
        -------
        Future of bool
            Whether all figures are stored, also those of earlier batches.
        """
        deadline = self._loop.clock.now() + BACKGROUND_WRITE_TIMEOUT_SECONDS
        return self._submit(publisher.publish, batch, deadline, ended)

    def close(self):
        """Stop the tasks and the calls in flight.

        The interpreter waits for the executor's threads at exit, so a watch left in
        flight would delay the exit by up to ``WATCH_TIMEOUT_SECONDS``.
        """
        self._closed = True
        self._store.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, function, *args):
        if self._closed:
            return failed_future(
                errors.PlatformUnavailable("the process is shutting down")
            )
        return self._executor.submit(function, *args)

    def _count_failure(self, future):
        if future.exception() is not None:
            self.counts["failures"] += 1

    def _is_reader(self, fleet):
        domain_members = [
            name
            for name, domain in fleet.domains_by_proxy().items()
            if domain == self._own_domain
        ]
        return self._own_name in rumor_spreading.choose_platform_readers(
            self._own_domain, domain_members
        )

    def _read_configurations(self, fleet, installed, on_accepted):
        # Every process makes the first read itself, also one that is not a reader, so
        # that it does not serve with an older configuration than the platform holds.
        is_first_read = True
        while not self._closed:
            if not is_first_read and not self._is_reader(fleet):
                yield self._loop.sleep_until(
                    self._loop.clock.now() + READER_CHECK_INTERVAL_SECONDS
                )
                continue
            try:
                if is_first_read:
                    accepted = yield self._submit(self._read_configuration)
                else:
                    accepted = yield self._submit(self._watch_configuration)
                is_first_read = False
                self.configuration_was_read = True
            except errors.CassiahillError:
                self.counts["failures"] += 1
                yield self._loop.sleep_until(
                    self._loop.clock.now() + READER_CHECK_INTERVAL_SECONDS
                )
                continue
            if accepted is not None and accepted.generation > installed.generation:
                on_accepted(accepted)

    def _read_configuration(self):
        deadline = self._loop.clock.now() + READ_TIMEOUT_SECONDS
        accepted = configuration.read(self._store, deadline)
        self._last_version = accepted.version
        return accepted

    def _watch_configuration(self):
        deadline = self._loop.clock.now() + WATCH_TIMEOUT_SECONDS
        self.counts["watches"] += 1
        changed_objects = self._store.watch(
            CONFIGURATION_KIND, self._last_version, deadline
        )
        accepted = None
        for changed in changed_objects:
            self._last_version = max(self._last_version, changed.version)
            if changed.name == CONFIGURATION_NAME:
                accepted = configuration.decode(changed.value, changed.version)
        return accepted

    def _poll_hosts(self, fleet):
        while not self._closed:
            if self._is_reader(fleet):
                try:
                    deadline = self._loop.clock.now() + READ_TIMEOUT_SECONDS
                    hosts = yield self._submit(self._list_hosts, deadline)
                    live = {
                        host["name"] for host in hosts if host.get("state") == "live"
                    }
                    leaving = {
                        host["name"] for host in hosts if host.get("state") == "leaving"
                    }
                    if hosts:
                        fleet.gossip.update_host_list(live, leaving)
                except (errors.CassiahillError, TypeError, KeyError):
                    self.counts["failures"] += 1
            yield self._loop.sleep_until(
                self._loop.clock.now() + HOSTS_INTERVAL_SECONDS
            )

    def _claim(self, group, term, promotion_id):
        self.counts["claims"] += 1
        deadline = self._loop.clock.now() + CLAIM_TIMEOUT_SECONDS
        stored_term, version = self._read_group(group, deadline)
        if stored_term >= term:
            return False
        value = msgspec.json.encode({"term": term, "by": promotion_id, "primary": ""})
        self._store.put(GROUP_KIND, group, value, version, deadline)
        return True

    def _record_primary(self, change):
        deadline = self._loop.clock.now() + BACKGROUND_WRITE_TIMEOUT_SECONDS
        stored_term, version = self._read_group(change.group, deadline)
        if stored_term > change.term:
            return
        value = msgspec.json.encode(
            {"term": change.term, "by": change.promotion_id, "primary": change.primary}
        )
        self._store.put(GROUP_KIND, change.group, value, version, deadline)
        logging.info("event=primary_recorded group=%s", change.group)

    def _read_group(self, group, deadline):
        """Return the term and version of a group's object; zeros if it is absent."""
        try:
            stored = self._store.get(GROUP_KIND, group, deadline)
        except errors.NotFound:
            return 0, 0
        return msgspec.json.decode(stored.value)["term"], stored.version
