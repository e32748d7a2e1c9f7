"""Plays statements on servers in virtual time under several ways to choose a server.

``python -m tests.load_play`` prints the table of ``docs/design/even-load.md``. Limits,
demand and the choice of the server are those of the product.
"""

import collections
import heapq
import itertools
import math
import random

import attrs

from cassiahill import placement, positions, server_load
from cassiahill.slot_shares import SlotShare

SLOTS = 4
ONE_WAY_SECONDS = 0.0005
TICK_SECONDS = 0.02
WARM_UP_SECONDS = 2.0
READ = placement.AtPosition(positions.LogPosition(1, 1))
PRIMARY = "a"
REFUSAL_SECONDS = 0.001


@attrs.frozen
class Kind:
    """One kind of statement: its mean time in a slot and its share of all."""

    name: str
    mean_seconds: float
    share: float
    requirement: object


KINDS = (
    Kind("urgent", 0.0045, 0.28, placement.OnPrimary()),
    Kind("own", 0.014, 0.49, READ),
    Kind("bounded", 0.022, 0.23, READ),
)


@attrs.frozen
class Scene:
    """Servers and load of a play.

    Attributes
    ----------
    load : float
        Share of the capacity that the statements use.
    report_age_seconds : float
        Age of the demand and of the reported loads when they arrive.
    proxy_weights : tuple of int
    slowness : tuple of float
        Factor of the time in a slot, by server.
    slots : tuple of int
    slow_from : tuple or None
        Index of a server, instant and factor from which on it is slower.
    refusing : tuple or None
        Index of a server and the share of its statements that it refuses.
    """

    load: float = 0.7
    report_age_seconds: float = 0.4
    proxy_weights: tuple = (1, 1, 1, 1, 1, 1)
    slowness: tuple = (1.0, 1.0, 1.0)
    slots: tuple = (SLOTS, SLOTS, SLOTS)
    slow_from: tuple | None = None
    refusing: tuple | None = None


@attrs.define(eq=False)
class Server:
    """A server with slots and a queue, and the time spent at each length."""

    server_id: str
    slots: int
    running: int = 0
    queue: collections.deque = attrs.Factory(collections.deque)

    @property
    def length(self):
        """Statements that wait or run."""
        return self.running + len(self.queue)


@attrs.define(eq=False)
class Proxy:
    """What one proxy knows; the rules of the product and of the other ways use it."""

    rng: random.Random
    ids: tuple
    share: SlotShare = attrs.Factory(SlotShare)
    load: server_load.ServerLoad = None
    own_by_id: collections.Counter = attrs.Factory(collections.Counter)
    sent_by_id: collections.Counter = attrs.Factory(collections.Counter)
    reported_by_id: dict = attrs.Factory(dict)
    latency_by_id: dict = attrs.Factory(dict)
    usual_by_kind: dict = attrs.Factory(dict)
    primary_only: int = 0
    queue: list = attrs.Factory(list)


@attrs.define(eq=False)
class Statement:
    """A statement and the time that it needs in a slot of a server as usual."""

    proxy: Proxy
    kind: Kind
    slot_seconds: float
    arrived_at: float
    sent_at: float = 0.0
    failed_server_ids: set = attrs.Factory(set)


class Play:
    """One play of a scene under one way to choose a server."""

    def __init__(self, scene, way, seconds=12.0, seed=1):
        self.scene = scene
        self.way = way
        self.end_at = seconds
        self.rng = random.Random(seed)
        self.refusal_rng = random.Random(seed)
        self.now = 0.0
        self.ids = tuple("abcdef"[: len(scene.slots)])
        self.servers = {
            server_id: Server(server_id, slots)
            for server_id, slots in zip(self.ids, scene.slots, strict=True)
        }
        self.proxies = []
        for _ in scene.proxy_weights:
            proxy = Proxy(random.Random(self.rng.random()), self.ids)
            proxy.load = server_load.ServerLoad(proxy.rng)
            proxy.latency_by_id = dict.fromkeys(self.ids, 0.02)
            proxy.usual_by_kind = {kind.name: 0.03 for kind in KINDS}
            self.proxies.append(proxy)
        mean_seconds = sum(kind.mean_seconds * kind.share for kind in KINDS)
        capacity = sum(
            slots / (mean_seconds * slowness)
            for slots, slowness in zip(scene.slots, scene.slowness, strict=True)
        )
        self.rate = scene.load * capacity
        self.latencies_by_kind = collections.defaultdict(list)
        self.seconds_by_level = collections.Counter()
        self.statement_seconds_by_id = collections.Counter()
        self.sent_count_by_id = collections.Counter()
        self.uneven_seconds = 0.0
        self._events = []
        self._numbers = itertools.count()

    def _at(self, instant, function, *arguments):
        heapq.heappush(
            self._events, (instant, next(self._numbers), function, arguments)
        )

    def run(self):
        """Run the play; return itself."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        self._at(0.0, self._report)
        while self._events[0][0] < self.end_at:
            instant, _, function, arguments = heapq.heappop(self._events)
            if instant > WARM_UP_SECONDS:
                self._measure(instant - self.now)
            self.now = instant
            function(*arguments)
        return self

    def _measure(self, seconds):
        servers = self.servers.values()
        level = max(server.length / server.slots for server in servers)
        self.seconds_by_level[level] += seconds
        if any(server.running < server.slots for server in servers) and any(
            server.queue for server in servers
        ):
            self.uneven_seconds += seconds
        for server in servers:
            self.statement_seconds_by_id[server.server_id] += server.length * seconds

    def _arrive(self):
        (proxy,) = self.rng.choices(self.proxies, self.scene.proxy_weights)
        (kind,) = self.rng.choices(KINDS, [kind.share for kind in KINDS])
        # Drawn at the arrival, so that all ways get the same statements.
        slot_seconds = self.rng.lognormvariate(math.log(kind.mean_seconds) - 0.245, 0.7)
        self._queue(proxy, Statement(proxy, kind, slot_seconds, self.now))
        self._serve(proxy)
        self._at(self.now + self.rng.expovariate(self.rate), self._arrive)

    def _queue(self, proxy, statement):
        rank = KINDS.index(statement.kind)
        heapq.heappush(proxy.queue, (rank, next(self._numbers), statement))

    def _serve(self, proxy):
        waiting = []
        while proxy.queue:
            item = heapq.heappop(proxy.queue)
            statement = item[2]
            kind = statement.kind
            candidates = self._candidates(proxy, statement)
            usable = [
                candidate
                for candidate in candidates
                if candidate.has_slot
                and (kind.requirement is READ or candidate.is_primary)
            ]
            if not usable:
                waiting.append(item)
                continue
            chosen_id = self.way(self, proxy, kind, usable)
            proxy.own_by_id[chosen_id] += 1
            proxy.sent_by_id[chosen_id] += 1
            self.sent_count_by_id[chosen_id] += 1
            proxy.primary_only += kind.requirement is not READ
            statement.sent_at = self.now
            server = self.servers[chosen_id]
            self._at(self.now + ONE_WAY_SECONDS, self._enter, server, statement)
        for item in waiting:
            heapq.heappush(proxy.queue, item)

    def _candidates(self, proxy, statement):
        """Return a ``ServerCandidate`` for each server, as ``ServerGroup`` does."""
        slots_by_id = {name: server.slots for name, server in self.servers.items()}
        loads_by_id = proxy.load.expected(slots_by_id, PRIMARY, proxy.share, self.now)
        extra = 1 if statement.kind.requirement is not READ else 0
        return [
            placement.ServerCandidate(
                server_id=server_id,
                is_primary=server_id == PRIMARY,
                has_connection=True,
                has_slot=proxy.own_by_id[server_id]
                < extra
                + proxy.share.statement_limit(slots, len(self.proxies), self.now),
                may_have_position=True,
                latency_seconds=loads_by_id[server_id].latency_seconds,
                running_statements=proxy.own_by_id[server_id],
                network_seconds=0.0,
                may_be_unreachable=server_id in statement.failed_server_ids,
                other_statements=loads_by_id[server_id].other_statements,
            )
            for server_id, slots in slots_by_id.items()
        ]

    def _enter(self, server, statement):
        refusing = self.scene.refusing
        if (
            refusing
            and server.server_id == self.ids[refusing[0]]
            and statement.kind.requirement is READ
            and self.refusal_rng.random() < refusing[1]
        ):
            self._at(self.now + REFUSAL_SECONDS, self._answer, server, statement, False)
        elif server.running < server.slots:
            self._start(server, statement)
        else:
            server.queue.append(statement)

    def _start(self, server, statement):
        server.running += 1
        index = self.ids.index(server.server_id)
        slowness = self.scene.slowness[index]
        slow_from = self.scene.slow_from
        if slow_from and index == slow_from[0] and self.now >= slow_from[1]:
            slowness *= slow_from[2]
        end_at = self.now + statement.slot_seconds * slowness
        self._at(end_at, self._leave, server, statement)

    def _leave(self, server, statement):
        server.running -= 1
        if server.queue:
            self._start(server, server.queue.popleft())
        self._at(self.now + ONE_WAY_SECONDS, self._answer, server, statement, True)

    def _answer(self, server, statement, ran):
        proxy = statement.proxy
        kind = statement.kind
        server_id = server.server_id
        proxy.own_by_id[server_id] -= 1
        seconds = self.now - statement.sent_at
        proxy.latency_by_id[server_id] += 0.15 * (
            seconds - proxy.latency_by_id[server_id]
        )
        usual_seconds = proxy.usual_by_kind[kind.name]
        if kind.requirement is not READ:
            proxy.primary_only -= 1
        elif ran:
            proxy.load.record_read(server_id, seconds, usual_seconds, self.now)
        else:
            proxy.load.record_failed_read(server_id, self.now)
        if ran:
            proxy.usual_by_kind[kind.name] += 0.1 * (seconds - usual_seconds)
            if statement.arrived_at > WARM_UP_SECONDS:
                self.latencies_by_kind[kind.name].append(
                    self.now - statement.arrived_at
                )
        else:
            statement.failed_server_ids.add(server_id)
            self._queue(proxy, statement)
        self._serve(proxy)

    def _tick(self):
        for proxy in self.proxies:
            running = sum(proxy.own_by_id.values())
            proxy.share.record_statements(running + len(proxy.queue), TICK_SECONDS)
            waiting = sum(item[2].kind.requirement is not READ for item in proxy.queue)
            proxy.load.record_primary_only(proxy.primary_only + waiting, TICK_SECONDS)
        self._at(self.now + TICK_SECONDS, self._tick)

    def _report(self):
        """Send the demand of all, and the lengths that only rejected ways read."""
        total = sum(proxy.share.demand for proxy in self.proxies)
        lengths = {name: server.length for name, server in self.servers.items()}
        age_seconds = self.scene.report_age_seconds
        self._at(self.now + age_seconds, self._deliver, total, lengths)
        self._at(self.now + max(age_seconds, 0.05), self._report)

    def _deliver(self, total, lengths):
        for proxy in self.proxies:
            proxy.share.record_total(total, self.now)
            proxy.reported_by_id = lengths
            proxy.sent_by_id.clear()

    def longest(self, share=0.99):
        """Return the highest level, in statements for each slot, by its quantile."""
        left = share * sum(self.seconds_by_level.values())
        for level in sorted(self.seconds_by_level):
            left -= self.seconds_by_level[level]
            if left <= 0.0:
                break
        return level

    def mean_longest(self):
        """Return the average over time of the highest level."""
        return sum(
            level * seconds for level, seconds in self.seconds_by_level.items()
        ) / sum(self.seconds_by_level.values())

    def uneven_share(self):
        """Return the share of time in which one server queues and another is free."""
        return self.uneven_seconds / (self.end_at - WARM_UP_SECONDS)

    def latency(self, name, share=None):
        """Return a quantile, or the mean, of the latencies of one kind, in seconds."""
        latencies = sorted(self.latencies_by_kind[name])
        if share is None:
            return sum(latencies) / len(latencies)
        return latencies[int(share * len(latencies))]


def chosen(play, proxy, kind, candidates):
    """Choose as the product does."""
    return placement.choose_server(kind.requirement, candidates).server_id


def former(play, proxy, kind, candidates):
    """Choose by the average latency of all kinds and the own statements."""
    return min(
        candidates,
        key=lambda candidate: (
            proxy.latency_by_id[candidate.server_id]
            * (1 + candidate.running_statements)
            * (placement.PRIMARY_COST_FACTOR if candidate.is_primary else 1.0)
        ),
    ).server_id


def own_only(play, proxy, kind, candidates):
    """Choose the server with the fewest own statements."""
    return min(
        candidates,
        key=lambda candidate: (candidate.running_statements, proxy.rng.random()),
    ).server_id


def least_reported(play, proxy, kind, candidates):
    """Choose the server with the least load in the last report."""
    return min(
        candidates,
        key=lambda candidate: proxy.reported_by_id.get(candidate.server_id, 0),
    ).server_id


def corrected_reports(play, proxy, kind, candidates):
    """Choose by the reported load and what this proxy has sent since."""
    return min(
        candidates,
        key=lambda candidate: (
            proxy.reported_by_id.get(candidate.server_id, 0)
            + proxy.sent_by_id[candidate.server_id],
            proxy.rng.random(),
        ),
    ).server_id


def expected_reports(play, proxy, kind, candidates):
    """Choose by the report and what all proxies are expected to have sent since."""
    return min(
        candidates,
        key=lambda candidate: (
            proxy.reported_by_id.get(candidate.server_id, 0)
            + len(play.proxies) * proxy.sent_by_id[candidate.server_id],
            proxy.rng.random(),
        ),
    ).server_id


def two_choices(play, proxy, kind, candidates):
    """Choose between two random servers by report and own statements."""
    return min(
        proxy.rng.sample(candidates, min(2, len(candidates))),
        key=lambda candidate: (
            proxy.reported_by_id.get(candidate.server_id, 0)
            + candidate.running_statements
        ),
    ).server_id


def spare_room(play, proxy, kind, candidates):
    """Choose at random, in proportion to the reported spare room."""
    weights = [
        max(0.2, 2 * SLOTS - proxy.reported_by_id.get(candidate.server_id, 0))
        for candidate in candidates
    ]
    return proxy.rng.choices(candidates, weights)[0].server_id


def perfect(play, proxy, kind, candidates):
    """Choose by the present lengths and speeds of the servers."""

    def level(candidate):
        server = play.servers[candidate.server_id]
        index = play.ids.index(server.server_id)
        slowness = play.scene.slowness[index]
        slow_from = play.scene.slow_from
        if slow_from and index == slow_from[0] and play.now >= slow_from[1]:
            slowness *= slow_from[2]
        if play.scene.refusing and index == play.scene.refusing[0]:
            slowness /= 1.0 - play.scene.refusing[1]
        return (server.length + 1) * slowness / server.slots, proxy.rng.random()

    return min(candidates, key=level).server_id


WAYS = (
    former,
    own_only,
    two_choices,
    least_reported,
    spare_room,
    corrected_reports,
    expected_reports,
    chosen,
    perfect,
)
UNEVEN_WEIGHTS = (4, 1, 2, 1, 1, 1)
SCENES = {
    "equal, load 0.5": Scene(load=0.5),
    "equal, load 0.7": Scene(),
    "equal, load 0.9": Scene(load=0.9),
    "uneven proxies, load 0.8": Scene(load=0.8, proxy_weights=UNEVEN_WEIGHTS),
    "one half as fast, load 0.7": Scene(slowness=(1.0, 1.0, 2.0)),
    "slots 4, 4, 8, load 0.7": Scene(slots=(4, 4, 8)),
    "turns 6 times slower, load 0.45": Scene(load=0.45, slow_from=(2, 6.0, 6.0)),
    "refuses a third, load 0.6": Scene(load=0.6, refusing=(1, 0.33)),
}
AGES_SECONDS = (0.0, 0.4, 1.2, 2.0)


def figures(scene, way):
    """Return the figures of one way in a scene, as the cells of a table."""
    plays = [
        Play(attrs.evolve(scene, report_age_seconds=age_seconds), way).run()
        for age_seconds in AGES_SECONDS
    ]
    play = plays[AGES_SECONDS.index(0.4)]
    by_server = ", ".join(
        f"{play.statement_seconds_by_id[name] / (play.end_at - WARM_UP_SECONDS):.1f}"
        for name in play.ids
    )
    return [
        way.__name__,
        *(f"{play.mean_longest():.2f}" for play in plays),
        f"{play.longest(0.999):.2f}",
        f"{100 * play.uneven_share():.0f}",
        f"{1000 * play.latency('urgent'):.1f}",
        f"{1000 * play.latency('urgent', 0.99):.0f}",
        f"{1000 * play.latency('own'):.1f}",
        f"{1000 * play.latency('own', 0.99):.0f}",
        by_server,
    ]


def main():
    """Print the figures of all ways in all scenes as tables."""
    for name, scene in SCENES.items():
        print(f"\n{name}\n")
        print(
            "| way | 0 s | 0.4 s | 1.2 s | 2 s | p99.9 | uneven | urgent | p99", end=""
        )
        print(" | own | p99 | by server |\n|" + " --- |" * 12)
        for way in WAYS:
            print("| " + " | ".join(figures(scene, way)) + " |", flush=True)


if __name__ == "__main__":
    main()
