"""Fleets of the real decision modules in one process, with direct calls."""

import collections
import copy
import random

import msgspec

from cassiahill import envelopes, membership, rumor_spreading, rumors, swim

SECRET = b"fleet secret"
IP_UDP_BYTES = 28
DATAGRAM_BYTES = IP_UDP_BYTES + len(
    envelopes.encode(envelopes.fleet_hasher(SECRET), "proxy-0001", 1 << 60, 0, "s", b"")
)
_encoder = msgspec.msgpack.Encoder()


def wire_bytes(message):
    """Return the bytes of a message with its envelope and headers."""
    return len(_encoder.encode(message)) + DATAGRAM_BYTES


class SpreadFleet:
    """Spreaders by name; ``step_round`` runs one round of all that are up.

    Parameters
    ----------
    names : list of str
    seed : int
    make : callable, optional
        ``make(name, secret, rng, now)`` returns a ``rumor_spreading.RumorSpreader``.
    neighbours_by_name : dict, optional
        Edges of a fixed network.
    """

    def __init__(
        self, names, seed, make=rumor_spreading.RumorSpreader, neighbours_by_name=None
    ):
        self.names = tuple(names)
        self.rng = random.Random(seed)
        self._make = make
        self._neighbours_by_name = neighbours_by_name or {}
        self.now = 0.0
        self.down = set()
        self.cut = lambda sender, receiver: False
        self.loss = 0.0
        self.messages = self.wire_bytes = self.fetches = 0
        self.fetches_by_peer = collections.Counter()
        self.installed_by_name = collections.defaultdict(list)
        self.spreaders_by_name = {}
        self._name_set = frozenset(names)
        for name in names:
            self.start(name, ready=True)

    def start(self, name, ready=False):
        """Start a process, or start it again without state."""
        rng = random.Random(self.rng.random())
        spreader = self._make(name, SECRET, rng, self.now)
        spreader.ready = ready
        neighbours = self._neighbours_by_name.get(name, ())
        spreader.step(
            rumors.PeersChanged(self.names, self._name_set, neighbours), self.now
        )
        self.spreaders_by_name[name] = spreader
        self.installed_by_name[name] = []
        self.down.discard(name)

    def publish(self, name, generation, value, kind="configuration"):
        """Publish a value at one member."""
        event = rumors.Publish(kind, "current", generation, value)
        actions = self.spreaders_by_name[name].step(event, self.now)
        self._run(collections.deque((name, action) for action in actions))

    def step_round(self):
        """Run one round; what a member sends is delivered after all had their turn."""
        self.now += rumor_spreading.ROUND_INTERVAL_SECONDS
        queue = collections.deque()
        for name, spreader in self.spreaders_by_name.items():
            if name not in self.down:
                for action in spreader.step(rumors.Tick(), self.now):
                    queue.append((name, action))
        self._run(queue)

    def generation(self, name, kind="configuration"):
        """Return the generation that a member holds."""
        return self.spreaders_by_name[name].get(kind, "current")[0]

    def lacking(self, generation):
        """Return the live members below a generation."""
        return [
            name
            for name in self.names
            if name not in self.down and self.generation(name) < generation
        ]

    def _run(self, queue):
        while queue:
            name, action = queue.popleft()
            for result in self._perform(name, action):
                queue.append(
                    (name, result) if not isinstance(result, tuple) else result
                )

    def _perform(self, name, action):
        match action:
            case rumors.SendMessage(peer, message):
                self._count(message)
                if self._lost(name, peer):
                    return []
                event = rumors.MessageReceived(name, message)
                actions = self.spreaders_by_name[peer].step(event, self.now)
                return [(peer, further) for further in actions]
            case rumors.RequestBuckets(peer, want):
                self._count(want)
                event = rumors.BucketRequestFailed(peer)
                if not self._lost(name, peer):
                    answer = self.spreaders_by_name[peer].answer_bucket_request(
                        want, self.now
                    )
                    self._count(answer)
                    event = rumors.BucketsReceived(peer, answer)
                return self.spreaders_by_name[name].step(event, self.now)
            case rumors.FetchValue(peer, kind, key, generation):
                held = (0, None)
                self.messages += 2
                if not self._lost(name, peer):
                    held = self.spreaders_by_name[peer].get(kind, key)
                    self.fetches += 1
                    self.fetches_by_peer[peer] += 1
                event = rumors.FetchResult(peer, kind, key, *held)
                return self.spreaders_by_name[name].step(event, self.now)
            case rumors.ValueInstalled(_, _, generation, _):
                self.installed_by_name[name].append(generation)
        return []

    def _count(self, message):
        self.messages += 1
        self.wire_bytes += wire_bytes(message)

    def _lost(self, sender, receiver):
        return (
            receiver in self.down
            or self.cut(sender, receiver)
            or (self.loss and self.rng.random() < self.loss)
        )


class MemberFleet:
    """Memberships by address, all with the same seed.

    Parameters
    ----------
    count : int
    seed : int
    make : callable, optional
        Takes the arguments of ``membership.Membership``.
    known : bool
        Whether all know each other at the start.
    """

    def __init__(self, count, seed, make=membership.Membership, known=False):
        self.rng = random.Random(seed)
        self.make = make
        self.now = 0.0
        self.down = set()
        self.cut = lambda sender, receiver: False
        self.wire_bytes_by_type = collections.Counter()
        self.memberships_by_address = {}
        for number in range(1, count + 1):
            self.start(number)
        if known:
            self._introduce_all()

    def start(self, number):
        """Start a member, or start it again without state."""
        own_member = swim.Member(f"p{number}", address(number), f"domain{number % 6}")
        rng = random.Random(self.rng.random())
        made = self.make(own_member, [address(1), address(2)], rng, self.now)
        self.memberships_by_address[own_member.peer_address] = made
        self.down.discard(own_member.peer_address)
        return made

    def live(self):
        """Return the memberships of the members that are up."""
        return [
            made
            for place, made in self.memberships_by_address.items()
            if place not in self.down
        ]

    def run(self, seconds, tick=0.1):
        """Advance time with a tick of all members every ``tick`` seconds."""
        for _ in range(round(seconds / tick)):
            self.now += tick
            for place, made in list(self.memberships_by_address.items()):
                if place not in self.down:
                    self.deliver(place, made.step(swim.Tick(), self.now))

    def deliver(self, place, actions):
        """Deliver the messages among some actions, and those that they cause."""
        queue = collections.deque((place, action) for action in actions)
        while queue:
            source, action = queue.popleft()
            if not isinstance(action, swim.SendMessage):
                continue
            target, message = tuple(action.address), action.message
            self._count(message)
            if target in self.down or self.cut(source, target):
                continue
            receiver = self.memberships_by_address[target]
            sender = self.memberships_by_address[source]
            event = swim.MessageReceived(sender.own_member.name, message)
            queue.extend((target, a) for a in receiver.step(event, self.now))
            if isinstance(message, swim.SyncRequest):
                answer = receiver.answer_sync(message)
                self._count(answer)
                event = swim.MessageReceived("", answer)
                queue.extend((source, a) for a in sender.step(event, self.now))

    def _count(self, message):
        self.wire_bytes_by_type[type(message).__name__] += wire_bytes(message)

    def _introduce_all(self):
        # Copies one view; merging it 4,200 times would take minutes.
        first, *others = self.memberships_by_address.values()
        everyone = swim.SyncAnswer(tuple(other.own_member for other in others))
        first.step(swim.MessageReceived("", everyone), self.now)
        for other in others:
            other.members_by_name = dict(first.members_by_name)
            other._digests = copy.deepcopy(first._digests)


def address(number):
    """Return the address of the member with a number from 1."""
    return ("10.0.0.1", number)
