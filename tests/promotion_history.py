"""Runs histories of faults on the group of ``tests.promotion_model``."""

import functools
import itertools

from cassiahill import (
    catalog,
    errors,
    list_completeness,
    missing_commits,
    promotion_evidence,
    takeover,
)
from cassiahill.catalog import GroupLimits
from cassiahill.loop import completed_future
from cassiahill.regions import Regions
from cassiahill.server_group import ServerGroup
from cassiahill.session_executor import SessionExecutor
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Access, Run
from tests.line_group import InMemoryDialect
from tests.promotion_model import (
    MAX_CONNECTIONS,
    ModelConnection,
    ModelGroup,
    SlowPlatform,
)
from tests.session_builders import TIMEOUT_SECONDS, make_route
from tests.stepped_loop import SteppedLoop

STEP_SECONDS = 0.1
MAX_ABSENCE_SECONDS = 8.0  # Shorter than ``takeover.REMOVED_REPLICA_WAIT_SECONDS``.
# The first promoter closes the orders of a former one, which it cannot rule out, and
# then looks at pauses until the list of servers is complete. Before, no commit is
# promised, and none can be lost.
WARM_UP_STEPS = 40
RESIGNATION_SECONDS = 0.4  # Until another proxy has claimed the role.
UNNOTICED_SUCCESSION_SECONDS = 3.0
EXPIRY_SECONDS = 2.0  # An entry that expired while the store was away is back by then.
MAX_JOINED_SERVERS = 2
CLIENT_PROXIES = 2  # The first proxies, which pass on the writes of clients.
IDLE_PROXY = 2  # Index of a proxy without connections to the group.


class OtherProxies(promotion_evidence.PromotionEvidence):
    """What the store and the other proxies tell a promoter."""

    def __init__(self, history, proxy):
        self._history = history
        self._proxy = proxy

    def update_servers(self):
        self._proxy.read_entries()
        return completed_future(True)

    def servers_complete_at(self):
        return self._proxy.completeness.complete_at

    def servers_listed_since(self):
        return self._proxy.completeness.answered_since

    def own_term(self):
        return self._proxy.era if self._proxy.believes else None

    def ask_about_promotion(self, group, successor):
        own_era = self._proxy.era
        others = self._reached_proxies()
        for other in others:
            other.record_era(own_era)
        newest_era = max([own_era, *(other.newest_era for other in others)])
        if not self._proxy.record_era(own_era) or newest_era > own_era:
            self._proxy.record_era(newest_era)
            return completed_future(None)
        positions = [other.group.acknowledged_commits.position for other in others]
        return completed_future(
            [position for position in positions if position is not None]
        )

    def replicas_known_to_others(self, group):
        return {
            server_id
            for other in self._reached_proxies()
            if other.group.active
            for server_id in other.group.pools_by_id
            if server_id != other.group.primary.server_id
        }

    def removed_by_others(self, group):
        return {
            server_id: seconds
            for other in self._reached_proxies()
            for server_id, seconds in other.group.removed_seconds_by_id(
                missing_commits.REMOVED_REPLICA_WAIT_SECONDS
            ).items()
        }

    def _reached_proxies(self):
        proxies = self._history.proxies
        return [
            other
            for other in proxies
            if other is not self._proxy and not other.is_unreachable
        ]


class Proxy:
    """One proxy, which may be the promoter, with its own view of the group.

    Attributes
    ----------
    silent_ids : set of str
        Ids of the servers that do not answer this proxy.
    watch_lost_until : float
        Instant until which it learns of no change of the servers' entries.
    unreachable_until : float
        Instant until which other proxies do not reach it.
    believes_until : float
        Instant until which it takes itself for the promoter.
    confirmed_at : float
        Instant at which the store last named it as the promoter.
    era : int
        That of its last term as the promoter.
    newest_era : int
        The newest one that it has heard of, in a notice or as the promoter.
    killed : bool
        Whether its process has ended.
    """

    def __init__(self, history, takeover_class):
        self._history = history
        self._loop = history.loop
        self._catalog = catalog.Catalog()
        self._known_entries_by_id = {}
        self._tokens = iter(())
        self.completeness = list_completeness.ListCompleteness()
        self.killed = False
        self.silent_ids = set()
        self.watch_lost_until = 0.0
        self.unreachable_until = 0.0
        self.believes_until = 0.0
        self.era = 0
        self.newest_era = 0
        self.group = ServerGroup(
            self._loop,
            InMemoryDialect(),
            "orders",
            "proxy-1",
            "domain-z",
            self._catalog.draining_since_by_id.get,
            self._connect,
            Regions("domain-z", {}),
        )
        self.group.active = True
        self.group.start_proving_commits()
        self.confirmed_at = 0.0
        self.group.set_limits(GroupLimits("orders", MAX_CONNECTIONS, True), 1)
        self.takeover = takeover_class(
            self._loop,
            self.group,
            history.platform,
            lambda: next(self._tokens) if self.believes else None,
            self._confirm_promoter,
            lambda: history.resign(self),
            evidence=OtherProxies(history, self),
        )
        self.read_entries()

    @property
    def believes(self):
        """Whether this proxy takes itself for the promoter."""
        return self._loop.clock.now() < self.believes_until

    @property
    def is_unreachable(self):
        """Whether other proxies do not reach this one."""
        return self._loop.clock.now() < self.unreachable_until

    def _confirm_promoter(self, strictly=False):
        """Return what the store's answer, or the lack of one, says of the role.

        A former promoter that still believes in its role gets no answer.
        """
        confirms = not strictly or self._history.is_in_charge(self)
        return completed_future(self.believes and confirms)

    def record_era(self, era):
        """Record a promoter's era; return whether no newer one is known."""
        if era < self.newest_era:
            return False
        self.newest_era = era
        if era > self.era:
            self.believes_until = 0.0
        return True

    def take_charge(self, era):
        """Become the promoter, with tokens above those of its predecessors."""
        self.era = self.newest_era = era
        self._tokens = itertools.count(era * 1000 + 1)
        self.believes_until = float("inf")
        self.group.active = True

    def read_entries(self):
        """Apply changes of the servers' entries, if the store answers."""
        now = self._loop.clock.now()
        if self._history.store_is_away:
            self.completeness.record_failure()
            return
        self.completeness.record_answer(now, now, 1)
        entries_by_id = dict(self._history.servers.entries_by_id)
        for server_id in set(self._known_entries_by_id) - set(entries_by_id):
            self._catalog.mark_unregistered(server_id, now)
        for entry in entries_by_id.values():
            change = self._catalog.put(entry, now)
            if change is not None:
                self.group.put_server(change.server, change.previous)
        self._known_entries_by_id = entries_by_id

    def act(self):
        """Follow the entries and look at the symptoms, as ``SessionProxy`` does."""
        now = self._loop.clock.now()
        if now >= self.watch_lost_until:
            self.read_entries()
        answers_since = self.completeness.answered_since
        for removed in self._catalog.remove_lapsed_servers(now, answers_since):
            self.group.remove_server(removed.server.server_id)
        if self.believes:
            self.takeover.start_if_needed(self.group.primary_symptoms(now))
        elif hasattr(self.takeover, "record_not_promoter"):
            self.takeover.record_not_promoter()

    def state_settled(self, others):
        """Tell other proxies, and itself, that no promotion is under way."""
        if not self.believes:
            return
        now = self._loop.clock.now()
        if self._history.is_in_charge(self):
            self.confirmed_at = now
        server_ids = sorted(self.group.pools_by_id)
        for other in others:
            if other is not self and (other.is_unreachable or self.is_unreachable):
                continue
            witnesses = other.group.commit_witnesses
            if self.takeover.is_idle:
                witnesses.record_statement(server_ids, self.confirmed_at, now)
            else:
                witnesses.record_contact(now)

    def write(self, request_id):
        """Pass on a write; the client is told of its commit or not."""
        if self.killed:
            return
        now = self._loop.clock.now()
        request = SessionRequest(
            request_id,
            Run(Access.WRITE, "w"),
            None,
            Access.WRITE,
            now,
            now + TIMEOUT_SECONDS,
        )
        session = SessionExecutor(self._loop, self.group, make_route(), SessionState())
        self._loop.when_done(self._loop.spawn(session.run(request)), self._on_reply)

    def _on_reply(self, future):
        reply = future.result()
        if reply.code is None and not self.killed:
            self._history.servers.acknowledged.append(reply.position)

    def kill(self):
        """End the process with all that it knows."""
        self.killed = True
        self.believes_until = 0.0
        self.group.close()

    def _connect(self, _loop, _dialect, entry, on_closed):
        servers = self._history.servers
        server = servers.by_id[entry.server_id]
        if server.crashed or self.killed:
            raise errors.ConnectionLost("refused")
        connection = ModelConnection(servers, server, entry, on_closed, self.silent_ids)
        servers.connections.append(connection)
        return connection


class PromotionHistory:
    """Runs actions on a group while its promoter watches it.

    Attributes
    ----------
    proxies : list of Proxy
        Those that pass on writes, of which the first is the promoter; an idle one;
        then those that started later.
    """

    def __init__(self, takeover_class=takeover.Takeover):
        self.loop = SteppedLoop()
        self.servers = ModelGroup(self.loop)
        self.platform = SlowPlatform(self.servers)
        self._start_proxy = functools.partial(Proxy, self, takeover_class)
        self._eras = itertools.count(1)
        self._request_numbers = itertools.count(1)
        self._joined_numbers = itertools.count(1)
        self._store_away_until = 0.0
        self.proxies = []
        self._start_proxies()
        self._install(self.proxies[0])
        self.loop.advance(0.5)
        self.wait(WARM_UP_STEPS)

    def _start_proxies(self):
        """Start the proxies of which the last one has no connections."""
        self.proxies = [self._start_proxy() for _ in range(CLIENT_PROXIES + 1)]
        self.proxies[IDLE_PROXY].group.active = False

    @property
    def store_is_away(self):
        """Whether the store answers nobody."""
        return self.loop.clock.now() < self._store_away_until

    @property
    def lost_commits(self):
        """Acknowledged commits that a promotion lost."""
        return self.platform.lost_commits

    def run_actions(self, actions):
        """Run the actions; return the commits that a promotion lost."""
        for name, value in actions:
            getattr(self, "_do_" + name.replace(" ", "_"))(value)
            self.wait(1)
            if self.lost_commits:
                break
        return self.lost_commits

    def wait(self, steps):
        """Advance by steps; a client writes in each, and the proxies act."""
        for _ in range(steps):
            self.servers.refresh_entries()
            for proxy in self.proxies:
                proxy.act()
                if hasattr(proxy.takeover, "is_idle"):
                    proxy.state_settled(self.proxies)
            number = next(self._request_numbers)
            self.proxies[number % CLIENT_PROXIES].write(f"request-{number}")
            for _ in range(2):
                self.loop.advance(STEP_SECONDS / 2)
                self.servers.replicate()

    def close(self):
        """Close the groups and the event loop, which has descriptors."""
        for proxy in self.proxies:
            proxy.group.close()
        self.loop.close()

    def is_in_charge(self, proxy):
        """Return whether the store names a proxy as the promoter."""
        return proxy is self._in_charge and not self.store_is_away

    def resign(self, proxy):
        """Let another proxy with connections take over from one that resigns."""
        if proxy is not self._in_charge or proxy.killed:
            return
        proxy.believes_until = 0.0
        successor = self._successor()

        def take_over():
            if self._in_charge is proxy:
                self._install(successor)

        self.loop.call_at(self.loop.clock.now() + RESIGNATION_SECONDS, take_over)

    def _successor(self):
        """Return the proxy with connections that follows the promoter."""
        return self.proxies[self._in_charge is self.proxies[0]]

    def _install(self, promoter, noticed=True):
        """Make a proxy the promoter; its predecessor may notice it late."""
        unnoticed_until = self.loop.clock.now() + UNNOTICED_SUCCESSION_SECONDS
        for other in self.proxies:
            other.believes_until = min(
                other.believes_until, 0.0 if noticed else unnoticed_until
            )
        self._in_charge = promoter
        promoter.take_charge(next(self._eras))

    # Actions

    def _do_wait(self, steps):
        self.wait(steps)

    def _do_deaf(self, server_id):
        self.servers.by_id[server_id].not_receiving = True

    def _do_hear(self, server_id):
        self.servers.by_id[server_id].not_receiving = False

    def _do_dark(self, absence):
        self._make_unreachable(*absence, crashed=False)

    def _do_crash(self, absence):
        self._make_unreachable(*absence, crashed=True)

    def _do_dark_when_promoted(self, seconds):
        """Let the next server that is promoted go dark at that moment."""

        def go_dark(server_id):
            self.servers.on_promotion = lambda _server_id: None
            self._make_unreachable(server_id, seconds, crashed=False)

        self.servers.on_promotion = go_dark

    def _make_unreachable(self, server_id, seconds, crashed):
        """Make a server unreachable for a while, with one other server at most."""
        servers = self.servers.by_id
        absent_ids = [one.server_id for one in servers.values() if one.unreachable]
        if len(absent_ids) < 2 and server_id not in absent_ids:
            self.servers.set_unreachable(server_id, crashed)
            self.loop.call_at(
                self.loop.clock.now() + min(seconds, MAX_ABSENCE_SECONDS),
                lambda: self.servers.set_reachable(server_id),
            )

    def _do_drain(self, server_id):
        self.servers.by_id[server_id].draining = True

    def _do_leave(self, server_id):
        """Let a draining replica leave with its log while all servers are reachable."""
        servers = self.servers
        server = servers.by_id[server_id]
        is_replica = servers.primary not in {None, server_id}
        all_reachable = not any(one.unreachable for one in servers.by_id.values())
        if server.draining and is_replica and all_reachable:
            servers.set_unreachable(server_id, crashed=True)
            server.has_left = True

    def _do_join(self, registration_seconds):
        """Start a server beside the primary, which registers a little later."""
        primary = self.servers.by_id.get(self.servers.primary)
        number = next(self._joined_numbers)
        if primary is None or primary.unreachable or number > MAX_JOINED_SERVERS:
            return
        server_id = f"n{number}"
        self.servers.add_server(server_id, list(primary.log), primary.term)
        self.loop.call_at(
            self.loop.clock.now() + registration_seconds,
            lambda: self.servers.register(server_id),
        )

    def _do_restart(self, server_id):
        """Restart a replica with its log; it is back at once."""
        server = self.servers.by_id[server_id]
        if not server.unreachable and self.servers.primary != server_id:
            self.servers.restart(server_id)

    def _do_restart_empty(self, server_id):
        """Restart a replica without its log, if the primary has all that was told.

        Nothing protects from an order for it that is carried out afterwards.
        """
        servers = self.servers
        server = servers.by_id[server_id]
        primary = servers.by_id.get(servers.primary)
        if (
            primary is None
            or primary is server
            or primary.unreachable
            or server.unreachable
            or server_id in self.platform.outstanding_ids
            or not all(map(primary.has, servers.acknowledged))
        ):
            return
        servers.restart(server_id)
        server.log = server.log[:1]
        server.applied = 1

    def _do_silent(self, server_id):
        """Let a server not answer the promoter, or answer it again."""
        self._in_charge.silent_ids ^= {server_id}

    def _do_lose_watch(self, seconds):
        self._in_charge.watch_lost_until = self.loop.clock.now() + seconds

    def _do_cut_proxy(self, seconds):
        """Let the other proxies not reach one that passes on writes."""
        self._successor().unreachable_until = self.loop.clock.now() + seconds

    def _do_expire(self, server_id):
        """Let an entry expire with the store's outage although its server runs."""
        if self.servers.entries_by_id.pop(server_id, None) is not None:
            self.loop.call_at(
                self.loop.clock.now() + EXPIRY_SECONDS,
                lambda: self.servers.register(server_id),
            )

    def _do_outage(self, outage):
        """Let the store be away, and all entries expire that it had.

        They are back after the given seconds from its return, in the order of the ids.
        """
        seconds, return_seconds = outage
        returns_at = self.loop.clock.now() + seconds
        self._store_away_until = max(self._store_away_until, returns_at)
        for server_id, late_by in zip(
            sorted(self.servers.entries_by_id), return_seconds, strict=False
        ):
            del self.servers.entries_by_id[server_id]
            self.loop.call_at(
                returns_at + late_by,
                lambda server_id=server_id: self.servers.register(server_id),
            )

    def _do_restart_all(self, _value):
        """Kill all proxies; they start again, and claim the promoter's role."""
        for proxy in self.proxies:
            proxy.kill()
        self._start_proxies()
        claims_at = max(self.loop.clock.now(), self._store_away_until) + STEP_SECONDS
        first_proxy = self.proxies[0]

        def claim():
            if not first_proxy.killed and self._in_charge.killed:
                self._install(first_proxy)

        self.loop.call_at(claims_at, claim)

    def _do_new_promoter(self, kind):
        """Let another proxy become the promoter.

        ``kind`` is "standing" for one that has connections to the group, "idle" for one
        that only follows the servers' entries, and "fresh" for one that just started.
        """
        kind, noticed = kind
        if self._in_charge.killed:
            return
        match kind:
            case "fresh":
                promoter = self._start_proxy()
                self.proxies.append(promoter)
            case "idle":
                promoter = self.proxies[IDLE_PROXY]
            case _:
                promoter = self._successor()
        self._install(promoter, noticed)

    def _do_late_order(self, delay):
        """Leave the next order unanswered; None for one that is lost."""
        self.platform.delays.append(delay)
