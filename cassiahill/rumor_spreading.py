"""Spreading of versioned values among the proxies, without I/O.

A value is named by (kind, name) and has a generation that never goes back. New values
are pushed to random peers for about log2(n) rounds; a slow pull, or a fixed tree or
graph, reaches the rest. Large values are fetched from the peer that announced them.
"""

import collections
import hashlib
import math

import msgspec
import xxhash

from cassiahill import digests, initial_sync, rumors
from cassiahill.rumors import Rumor

ROUND_SECONDS = 0.2  # 13 rounds of push at 4,200 members take 2.6 s.
INLINE_BYTES = 400  # Larger values are fetched over a link.
PUSHES_PER_ROUND = 4
MAX_KEYS = 50_000
MAX_GENERATION_STEP = 65_536  # Nine days of configuration changes.
FETCH_SECONDS = 1.0
MAX_SOURCES = 8  # Peers remembered for one value.
FORGET_SECONDS = 60.0  # A generation is remembered for this long after its life.
READERS = 3


def choose_platform_readers(failure_domain, names):
    """Return the members of a failure domain that watch the platform.

    Parameters
    ----------
    failure_domain : str
    names : iterable of str
        Members of that domain.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{failure_domain}\0{name}".encode()),
        reverse=True,
    )[:READERS]


def push_rounds(member_count):
    """Return the age at which a rumor is no longer pushed."""
    return max(1, math.ceil(math.log2(max(2, member_count))))


def pull_rounds(member_count):
    """Return the rounds between two pulls, log n / log log n."""
    log = math.log2(max(4, member_count))
    return max(1, math.ceil(log / math.log2(log)))


class RumorSpreader:
    """Values held by one process.

    Parameters
    ----------
    own_name : str
    secret : bytes
        Key of the hashes that come with generations.
    rng : random.Random
    now : float
        Instant in seconds.
    pull_enabled : bool
        Whether members that the push missed are reached by a slow pull.
    check : callable, optional
        ``check(kind, name, generation, value)`` returns whether a value is acceptable.
    max_push_rounds : int, optional
        Rounds of push; by default ``push_rounds`` of the members.
    """

    def __init__(
        self,
        own_name,
        secret,
        rng,
        now,
        pull_enabled=True,
        check=None,
        max_push_rounds=None,
    ):
        self._own_name = own_name
        self._key = hashlib.blake2b(secret, digest_size=32).digest()
        self._rng = rng
        self._pulls = pull_enabled
        self._check = check
        self._rounds = max_push_rounds
        self._peers = ()
        self._peer_set = frozenset()
        self._neighbours = ()
        self._held_by_key = {}
        self._age_by_key = {}
        self._fetching_by_key = {}
        self._digests = digests.BucketDigests()
        self._next_round_at = now + rng.random() * ROUND_SECONDS
        self._rounds_to_pull = rng.randint(1, 4)
        self._first = initial_sync.FirstValues(rng, now)
        self.ready = False
        self.refusals_by_reason = collections.Counter()

    def step(self, event, now):
        """Take one event and return the actions.

        Parameters
        ----------
        event : an event of ``rumors``
        now : float
            Instant in seconds.

        Returns
        -------
        list of rumors.SendMessage, RequestBuckets, FetchValue, ValueInstalled or Ready
        """
        match event:
            case rumors.Tick():
                return self._tick(now)
            case rumors.Publish():
                return self._publish(event, now)
            case rumors.MessageReceived(sender, message):
                return self._receive(sender, message, now)
            case rumors.BucketsReceived(peer, answer):
                return self._answered(peer, answer, now)
            case rumors.BucketRequestFailed(peer):
                if not self.ready:
                    self._first.failed(peer)
                return []
            case rumors.FetchResult(peer, kind, name, generation, value):
                return self._receive_body(peer, (kind, name), generation, value, now)
            case rumors.PeersChanged():
                self._peers, self._peer_set = event.names, event.name_set
                self._neighbours = event.neighbours
                return []
        raise TypeError(event)

    def get(self, kind, name):
        """Return ``(generation, value)``; ``(0, None)`` when nothing is known."""
        held = self._held_by_key.get((kind, name))
        return (0, None) if held is None else (held.generation, held.value)

    def names(self, kind):
        """Return the names of one kind that have a value."""
        items = self._held_by_key.items()
        return [key[1] for key, h in items if key[0] == kind and h.value is not None]

    @property
    def digest(self):
        """Hash of all values without a limited life."""
        return self._digests.root

    def answer_bucket_request(self, want, now):
        """Return the rumors of the buckets that another process lacks."""
        return rumors.Rumors(
            tuple(
                self._rumor(key, held, 0, now)
                for key, held in self._held_by_key.items()
                if held.expires_at == math.inf
                and digests.bucket_of(_text(key)) in want.buckets
            )
        )

    # Rounds.

    def _tick(self, now):
        if now < self._next_round_at:
            return []
        self._next_round_at = max(self._next_round_at + ROUND_SECONDS, now)
        self._expire(now)
        actions = self._retry_fetches(now)
        if not self.ready:
            actions += self._start(now)
        if len(self._peers) > (self._own_name in self._peer_set):
            actions += self._push(now)
            if self._pulls:
                actions += self._pull()
        return actions

    def _push(self, now):
        max_push_rounds = self._rounds
        if max_push_rounds is None:
            max_push_rounds = push_rounds(len(self._peers))
        fresh = [key for key, age in self._age_by_key.items() if age < max_push_rounds]
        finished = [
            key for key, age in self._age_by_key.items() if age >= max_push_rounds
        ]
        actions = [
            rumors.SendMessage(peer, message)
            for message in self._pack(
                finished if self._neighbours else (), max_push_rounds, now
            )
            for peer in self._neighbours
        ]
        for key in finished:
            del self._age_by_key[key]
        if fresh:
            peer = self._random_peer()
            for message in self._pack(fresh, None, now)[:PUSHES_PER_ROUND]:
                actions.append(rumors.SendMessage(peer, message))
                for rumor in message.rumors:
                    self._age_by_key[rumor.kind, rumor.name] += 1
        return actions

    def _pack(self, keys, age, now):
        ages = [self._age_by_key[key] + 1 if age is None else age for key in keys]
        return rumors.batches(
            self._rumor(key, self._held_by_key[key], at, now)
            for key, at in zip(keys, ages, strict=True)
        )

    def _pull(self):
        self._rounds_to_pull -= 1
        if self._rounds_to_pull > 0:
            return []
        self._rounds_to_pull = pull_rounds(len(self._peers))
        peer = self._random_peer()
        return [rumors.SendMessage(peer, rumors.Pull(self._digests.root))]

    def _random_peer(self):
        while True:
            peer = self._rng.choice(self._peers)
            if peer != self._own_name:
                return peer

    def _expire(self, now):
        for key in [k for k, h in self._held_by_key.items() if h.expires_at <= now]:
            held = self._held_by_key[key]
            held.value = None
            self._age_by_key.pop(key, None)
            if held.forget_at <= now:
                del self._held_by_key[key]

    def _retry_fetches(self, now):
        actions = []
        for key, fetching in list(self._fetching_by_key.items()):
            if fetching.asked_at + FETCH_SECONDS > now:
                continue
            if not fetching.sources:
                del self._fetching_by_key[key]  # A later push or pull names a source.
                continue
            actions.append(self._fetch(fetching, now))
        return actions

    # Messages.

    def _receive(self, sender, message, now):
        if sender not in self._peer_set:
            self.refusals_by_reason["unknown sender"] += 1
            return []
        match message:
            case rumors.Rumors() if not self.ready:
                return []  # The first values come from several peers together.
            case rumors.Rumors():
                return self._take(sender, message.rumors, now)
            case rumors.Pull(root):
                if root == self._digests.root:
                    return []
                return [
                    rumors.SendMessage(sender, rumors.Buckets(self._digests.to_tuple()))
                ]
            case rumors.Buckets(other):
                differing = self._digests.differing(other)
                if not differing:
                    return []
                return [
                    rumors.RequestBuckets(sender, rumors.Want(tuple(sorted(differing))))
                ]
        return []

    def _answered(self, peer, answer, now):
        if peer not in self._peer_set:
            self.refusals_by_reason["unknown sender"] += 1
            return []
        if self.ready:
            return self._take(peer, answer.rumors, now)
        self._first.answered(peer, answer.rumors)
        return []

    def _take(self, sender, received, now):
        actions = []
        for rumor in received:
            if not self._is_new(rumor):
                continue
            if rumor.value is None:
                actions += self._want_body(sender, rumor, now)
            else:
                actions += self._install(rumor, now)
        return actions

    def _is_new(self, rumor):
        held = self._held_by_key.get((rumor.kind, rumor.name))
        reason = ""
        if rumor.generation <= 0 or rumor.life_ms < 0 or rumor.age < 0:
            reason = "malformed rumor"
        elif held is None:
            reason = "too many names" if len(self._held_by_key) >= MAX_KEYS else ""
        elif rumor.generation == held.generation:
            if rumor.digest == held.digest:
                return False
            reason = "another value of the same generation"
        elif rumor.generation < held.generation:
            reason = "older generation"
        elif rumor.generation - held.generation > MAX_GENERATION_STEP and (
            held.expires_at == math.inf
        ):
            reason = "generation too high"
        self.refusals_by_reason[reason] += bool(reason)
        return not reason

    def _want_body(self, sender, rumor, now):
        key = (rumor.kind, rumor.name)
        fetching = self._fetching_by_key.get(key)
        if fetching is not None and fetching.rumor.generation >= rumor.generation:
            full = len(fetching.sources) >= MAX_SOURCES
            if fetching.rumor.digest == rumor.digest and not full:
                fetching.sources.append(sender)
            return []
        fetching = self._fetching_by_key[key] = rumors.Fetching(rumor, [sender], now)
        return [self._fetch(fetching, now)]

    def _fetch(self, fetching, now):
        fetching.asked_at = now
        rumor = fetching.rumor
        return rumors.FetchValue(
            fetching.sources.pop(), rumor.kind, rumor.name, rumor.generation
        )

    def _receive_body(self, peer, key, generation, value, now):
        fetching = self._fetching_by_key.get(key)
        if fetching is None:
            return []
        if value is None or generation != fetching.rumor.generation:
            # The peer holds another generation by now; ask the next source.
            fetching.asked_at = -math.inf
            return []
        del self._fetching_by_key[key]
        rumor = msgspec.structs.replace(fetching.rumor, value=value)
        return self._install(rumor, now) if self._is_new(rumor) else []

    def _install(self, rumor, now):
        value = (rumor.kind, rumor.name, rumor.generation, rumor.value)
        reason = ""
        if self.digest_of(*value) != rumor.digest:
            reason = "wrong hash"
        elif self._check is not None and not self._check(*value):
            reason = "invalid value"
        if reason:
            self.refusals_by_reason[reason] += 1
            return []
        return self._hold(rumor, now)

    def _hold(self, rumor, now):
        key = (rumor.kind, rumor.name)
        old = self._held_by_key.get(key)
        held = rumors.Held(rumor.generation, rumor.digest, rumor.value)
        if rumor.life_ms:
            held.expires_at = now + rumor.life_ms / 1000
            held.forget_at = held.expires_at + FORGET_SECONDS
        for entry in (old, held):
            # Values with a short life are pushed only, and not compared by pulls.
            if entry is not None and entry.expires_at == math.inf:
                self._digests.toggle(_text(key), entry.digest.hex())
        self._held_by_key[key] = held
        self._age_by_key[key] = rumor.age
        return [
            rumors.ValueInstalled(rumor.kind, rumor.name, rumor.generation, rumor.value)
        ]

    # Own values.

    def digest_of(self, kind, name, generation, value):
        """Return the keyed hash of a value and its name and generation."""
        state = hashlib.blake2b(key=self._key, digest_size=16)
        state.update(f"{kind}\0{name}\0{generation}\0".encode())
        state.update(value)
        return state.digest()

    def _publish(self, event, now):
        held = self._held_by_key.get((event.kind, event.name))
        if held is not None and event.generation <= held.generation:
            self.refusals_by_reason["older generation"] += 1
            return []
        digest = self.digest_of(event.kind, event.name, event.generation, event.value)
        rumor = Rumor(
            event.kind,
            event.name,
            event.generation,
            digest,
            0,
            event.life_ms,
            event.value,
        )
        return self._hold(rumor, now)

    def _rumor(self, key, held, age, now):
        life_ms = 0
        if held.expires_at < math.inf:
            life_ms = max(1, int((held.expires_at - now) * 1000))
        value = held.value if len(held.value or b"") <= INLINE_BYTES else None
        return Rumor(*key, held.generation, held.digest, age, life_ms, value)

    def _start(self, now):
        peers = [peer for peer in self._peers if peer != self._own_name]
        if not self._first.is_complete(peers, now):
            everything = rumors.Want(tuple(range(digests.BUCKETS)))
            return [
                rumors.RequestBuckets(peer, everything)
                for peer in self._first.to_ask(peers)
            ]
        self.ready = True
        actions = []
        for peer, rumor in self._first.offers(peers, MAX_GENERATION_STEP):
            actions += self._take(peer, (rumor,), now)
        return [*actions, rumors.Ready()]


def _text(key):
    return "\0".join(key)
