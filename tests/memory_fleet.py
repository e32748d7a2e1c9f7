"""A fleet of session proxies in memory: members, heartbeats and copies of the store.

It runs the real fleet, registry and catalog feed of each process on one manual clock.
Messages between the processes can be lost, and processes can be cut off, suspended and
restarted.
"""

import collections
import random

import msgspec

from cassiahill import (
    errors,
    heartbeats,
    rate_exchange,
    rate_limits,
    session_fleet,
    shared_store,
)
from cassiahill.catalog import Catalog, Configuration
from cassiahill.catalog_feed import CatalogFeed, CatalogSource
from cassiahill.configuration_age import ConfigurationAge
from cassiahill.loop import LoopFuture
from cassiahill.process_state import ProcessState
from tests.fleet_store import FleetStore
from tests.line_group import InMemoryGroup
from tests.stepped_loop import SteppedLoop

MESSAGE_SECONDS = 0.002
STALE_SECONDS = 3.0  # Age of what a read gets that may be stale.


class MemoryClient:
    """Delivers one process's messages to the others; see ``MemberClient``."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def send_heartbeat(self, address, body, deadline):
        return self._fleet.loop.spawn(self._exchange(address, body, deadline))

    def _exchange(self, address, body, deadline):
        receiver = yield from self._reach(address, deadline)
        self._fleet.heartbeat_counts[address[0]] += 1
        self._fleet.crossing_count += self._fleet.are_in_different_regions(
            self._name, address[0]
        )
        response = receiver.fleet.handle_heartbeat(body)
        yield from self._reach(address, deadline)
        return response

    def fetch_view(self, address, known, deadline):
        receiver = yield from self._reach(address, deadline)
        view = receiver.fleet.view(known)
        body = msgspec.json.encode(view)
        yield from self._reach(address, deadline)
        return heartbeats.decode_view(body)

    def _reach(self, address, deadline):
        """Wait for a message to arrive; return the receiving process."""
        loop = self._fleet.loop
        yield loop.sleep_until(loop.clock.now() + self._fleet.message_seconds)
        if not self._fleet.can_exchange(self._name, address[0]):
            yield loop.sleep_until(deadline)
            raise errors.ConnectionLost("no answer before the deadline")
        return self._fleet.processes_by_name[address[0]]

    def close(self):
        pass


class MemoryProcess(ProcessState):
    """One process with its fleet and its catalog, without clients and servers."""

    def __init__(self, memory_fleet, name, domain, connected):
        self.memory_fleet = memory_fleet
        self.name = name
        self.connected = connected
        self.catalog = Catalog()
        self.history = []
        loop = memory_fleet.loop
        # Without tenants until a test installs some.
        self.rate_limits = rate_limits.RateLimits(
            name, rate_limits.RateTolerance(), loop.clock.now()
        )
        self.rate_exchange = rate_exchange.RateExchange(loop.clock, self.rate_limits)
        rng = random.Random(name)
        store = FleetStore(memory_fleet, name)
        member = heartbeats.Member(name, (name, 1), (name, 2), domain)
        self.age = ConfigurationAge(
            memory_fleet.revocation_seconds,
            loop.clock.now(),
            random.Random(f"spread of {name}").random(),
            memory_fleet.change_seconds,
        )
        self.fleet = session_fleet.SessionFleet(
            loop,
            store,
            member,
            rng,
            self,
            memory_fleet.seed_addresses,
            MemoryClient(memory_fleet, name),
            self.age,
            memory_fleet.region_by_domain,
        )
        self.feed = memory_fleet.feed_class(
            loop,
            store,
            self.catalog,
            memory_fleet.source,
            rng,
            self._record_configuration,
            self._record_server_change,
            self.age,
        )
        self.feed.set_resting(True)

    def _record_configuration(self):
        self.history.append(self.catalog.configuration.version)
        self.memory_fleet.loop.call_soon(self.fleet.announce_changes)

    def _record_server_change(self, _change):
        self.memory_fleet.loop.call_soon(self.fleet.announce_changes)

    def versions(self):
        return self.feed.versions

    def connected_groups(self):
        return ["orders"] if self.connected else []

    def groups_without_primary(self):
        return []

    def demand_by_group(self):
        return {}

    def apply_total_demand(self, total_demand_by_group):
        pass

    def rate_report(self, promoter_name):
        return self.rate_exchange.report(promoter_name)

    def answer_rate_report(self, name, report, term):
        return self.rate_exchange.answer(name, report, term)

    def apply_rate_answer(self, promoter_name, answer, sent_at):
        return self.rate_exchange.apply_answer(promoter_name, answer, sent_at)

    def draining_seconds(self):
        return self.catalog.draining_seconds(self.memory_fleet.loop.clock.now())

    def record_draining(self, seconds_by_id):
        now = self.memory_fleet.loop.clock.now()
        self.catalog.record_draining(seconds_by_id, now)

    def is_partitioned(self):
        return False

    def view(self, known):
        return self.feed.view(known)

    def is_store_unreachable(self):
        return self.feed.is_store_unreachable

    def reference_member(self):
        return None

    def apply_view(self, view, peer):
        self.feed.apply_view(view, peer)

    def set_following(self, following):
        self.feed.set_resting(following)

    def set_watch_wait(self, seconds):
        self.feed.set_watch_wait(seconds)

    def record_announcement(self, servers_revision):
        self.feed.record_announcement(servers_revision)

    def request_lists(self):
        self.feed.request_lists()

    def read_configuration(self, version):
        return self.feed.read_configuration(version)

    def verify_configuration(self):
        return self.feed.verify_configuration()

    def on_members_changed(self):
        pass

    def stop(self):
        """End the process."""
        self.fleet.close()
        self.feed.close()


class MemoryFleet:
    """Processes in several failure domains on one store.

    Parameters
    ----------
    count : int
        Number of processes, all of which start within 0.3 s.
    domain_count : int
    connected_share : float
        Fraction of the processes that are connected to servers.
    revocation_seconds : float or None
        Bound of the age of the configuration.
    change_seconds : float or None
        Time in which an acknowledged change must be in force; None if there is none.
    feed_class : type
        ``CatalogFeed`` or a broken version of it.
    region_by_domain : dict of str to str, or None
        Region of each failure domain; None without regions.

    Attributes
    ----------
    processes_by_name : dict of str to MemoryProcess
    calls_by_name : dict of str to collections.Counter
        Number of store calls by process and kind of call.
    heartbeat_counts : collections.Counter
        Number of heartbeats received, by process.
    silent_names : set of str
        Processes that exchange nothing with anybody.
    cut_domain : str or None
        Failure domain whose processes reach none of the others.
    regions_are_cut : bool
        Whether processes reach none of the other regions.
    crossing_count : int
        Number of heartbeats received from another region.
    isolated_names : set of str
        Processes that exchange nothing with the others, but reach the store.
    storeless_names : set of str
        Processes that the store refuses.
    unanswered_names : set of str
        Processes whose calls the store does not answer.
    message_seconds : float
        Time that a message takes.
    seed_addresses : tuple
        Given to the processes that start from now on.
    store_is_silent : bool
        Whether calls that arrive, and watches that a change would end, are lost.
    """

    def __init__(
        self,
        count,
        domain_count=5,
        connected_share=0.3,
        seed=1,
        revocation_seconds=None,
        change_seconds=None,
        feed_class=CatalogFeed,
        region_by_domain=None,
    ):
        self.revocation_seconds = revocation_seconds
        self.change_seconds = change_seconds
        self.feed_class = feed_class
        self.message_seconds = MESSAGE_SECONDS
        self.seed_addresses = ()
        self.region_by_domain = region_by_domain
        self.loop = SteppedLoop()
        self.store = shared_store.MemorySharedStore()
        self.servers = InMemoryGroup(self.loop, servers=("a", "b", "c", "d"))
        self.source = CatalogSource(
            "config",
            "main",
            "servers",
            lambda document: Configuration(document["version"], {}, {}, 3.0, document),
            lambda server_id, document: self.servers.registered(server_id, **document),
        )
        self.calls_by_name = collections.defaultdict(collections.Counter)
        self.heartbeat_counts = collections.Counter()
        self.silent_names = set()
        self.cut_domain = None
        self.regions_are_cut = False
        self.crossing_count = 0
        self.isolated_names = set()
        self.storeless_names = set()
        self.unanswered_names = set()
        self.store_is_silent = False
        self.processes_by_name = {}
        self._past_snapshots = collections.defaultdict(collections.deque)
        self._next_write = LoopFuture()
        rng = random.Random(seed)
        self.write("config", "main", {"version": 3})
        for server_id in ("a", "b", "c"):
            self.write("servers", server_id, {})
        for number in range(count):
            name = f"proxy-{number}"
            domain = f"domain-{number % domain_count}"
            connected = rng.random() < connected_share
            self.loop.call_at(
                self.loop.clock.now() + 0.3 * rng.random(),
                lambda name=name, domain=domain, connected=connected: self.start(
                    name, domain, connected
                ),
            )
        self._record_snapshots()

    def start(self, name, domain, connected=False):
        """Start a process, or restart it with nothing in memory."""
        if name in self.processes_by_name:
            self.processes_by_name[name].stop()
        self.processes_by_name[name] = MemoryProcess(self, name, domain, connected)

    def write(self, kind, name, value):
        """Write an object as another client of the store would."""
        self.store.write(kind, name, value)
        self.notify_watches()

    def delete(self, kind, name):
        """Delete an object as another client of the store would."""
        self.store.delete(kind, name)
        self.notify_watches()

    def restore(self, copied, away_seconds=1.0):
        """Let the store be away for a while and come back with an older content.

        Parameters
        ----------
        copied : shared_store.MemorySharedStore
            What ``store.copy`` returned.
        away_seconds : float
        """
        self.store.available = False
        self.loop.advance(away_seconds)
        self.store.restore(copied)
        self.store.available = True
        self.notify_watches()

    def notify_watches(self):
        """Let waiting watches look at the store again."""
        next_write, self._next_write = self._next_write, LoopFuture()
        self.loop.call_soon(next_write.set_result, None)

    def next_write(self):
        """Return a future that is done after the next write, or after a while."""
        wait_until = self.loop.clock.now() + 0.5
        return self.loop.first_done(self._next_write, self.loop.sleep_until(wait_until))

    def past_snapshot(self, kind):
        """Return a snapshot that is some seconds old, as a stale read would."""
        now = self.loop.clock.now()
        snapshots = self._past_snapshots[kind]
        past = [snapshot for at, snapshot in snapshots if at <= now - STALE_SECONDS]
        return past[-1] if past else self.store.list(kind).result()

    def _record_snapshots(self):
        if self.store.available:
            now = self.loop.clock.now()
            for kind in ("config", "servers", "proxies"):
                snapshot = self.store.list(kind).result()
                self._past_snapshots[kind].append((now, snapshot))
                if len(self._past_snapshots[kind]) > 40:
                    self._past_snapshots[kind].popleft()
        self.loop.call_at(self.loop.clock.now() + 0.25, self._record_snapshots)

    def reaches_store(self, name):
        """Return whether the store answers a process."""
        return (
            self.store.available
            and name not in self.silent_names
            and name not in self.storeless_names
        )

    def can_exchange(self, first_name, second_name):
        """Return whether two processes reach each other."""
        if {first_name, second_name} & (self.silent_names | self.isolated_names):
            return False
        if self.regions_are_cut and self.are_in_different_regions(
            first_name, second_name
        ):
            return False
        domains = {self.domain_of(first_name), self.domain_of(second_name)}
        return len(domains) == 1 or self.cut_domain not in domains

    def domain_of(self, name):
        """Return the failure domain of a process."""
        return self.processes_by_name[name].fleet._own_member.failure_domain

    def are_in_different_regions(self, first_name, second_name):
        """Return whether two processes are in different regions."""
        region_by_domain = self.region_by_domain or {}
        return region_by_domain.get(self.domain_of(first_name)) != region_by_domain.get(
            self.domain_of(second_name)
        )

    def call_count(self):
        """Return the number of store calls of all processes, by kind of call."""
        return sum(self.calls_by_name.values(), collections.Counter())

    def reader_names(self):
        """Return the processes that read the store."""
        return {
            name
            for name, process in self.processes_by_name.items()
            if process.fleet.follower.reads_store
        }

    def seconds_until(self, condition, limit, names=None):
        """Advance the clock until a condition holds for all processes.

        Parameters
        ----------
        condition : callable
            Takes a ``MemoryProcess``.
        limit : float
        names : iterable of str or None
            Processes that count; None for all.

        Returns
        -------
        float
            The time that it took; ``limit`` if it still does not hold.
        """
        waited = 0.0
        names = set(self.processes_by_name if names is None else names)
        while waited < limit and not all(
            condition(self.processes_by_name[name]) for name in names
        ):
            self.loop.advance(0.05)
            waited += 0.05
        return waited
