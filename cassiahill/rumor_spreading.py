"""Rumor spreading of versioned values among the proxies, without I/O.

A value is identified by (kind, name) and has a generation that never decreases. New
values are pushed to random peers for about log2(n) rounds. Members that the push missed
get them by infrequent pulls, or along a fixed tree or graph. Large values are fetched
from a peer that announced them.
"""

import collections
import hashlib
import math

import msgspec
import xxhash

from cassiahill import digests, initial_sync, rumors
from cassiahill.rumors import Rumor

ROUND_INTERVAL_SECONDS = 0.2  # The 13 push rounds among 4,200 members take 2.6 s.
MAX_INLINE_VALUE_BYTES = 400  # Larger values are fetched over a link.
PUSH_MESSAGES_PER_ROUND = 4
MAX_VALUES = 50_000
# Largest accepted increase, so that a faulty member can't block later generations; it
# allows for nine days of configuration changes.
MAX_GENERATION_STEP = 65_536
FETCH_TIMEOUT_SECONDS = 1.0
MAX_FETCH_SOURCES = 8  # Peers kept as alternative sources of one value.
# After a value has expired, its generation still rejects older rumors for this long.
GENERATION_RETENTION_SECONDS = 60.0
READERS_PER_DOMAIN = 3


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
    )[:READERS_PER_DOMAIN]


def default_push_rounds(member_count):
    """Return the number of rounds in which a rumor is pushed."""
    return max(1, math.ceil(math.log2(max(2, member_count))))


def rounds_between_pulls(member_count):
    """Return the number of rounds from one pull to the next, log n / log log n."""
    log_count = math.log2(max(4, member_count))
    return max(1, math.ceil(log_count / math.log2(log_count)))


class RumorSpreader:
    """State machine of rumor spreading, with the values that one process holds.

    Parameters
    ----------
    own_name : str
    secret : bytes
        Secret of the fleet; the digests of values are keyed with it.
    rng : random.Random
    now : float
        Instant in seconds.
    pull_enabled : bool
        Whether to compare digests with a random peer every few rounds.
    is_valid : callable, optional
        ``is_valid(kind, name, generation, value)`` returns whether to accept a value.
    max_push_rounds : int, optional
        Rounds in which a rumor is pushed; ``default_push_rounds`` by default.
    """

    def __init__(
        self,
        own_name,
        secret,
        rng,
        now,
        pull_enabled=True,
        is_valid=None,
        max_push_rounds=None,
    ):
        self._own_name = own_name
        self._hash_key = hashlib.blake2b(secret, digest_size=32).digest()
        self._rng = rng
        self._pull_enabled = pull_enabled
        self._is_valid = is_valid
        self._max_push_rounds = max_push_rounds
        self._peer_names = ()
        self._peer_name_set = frozenset()
        self._neighbours = ()
        self._stored_by_key = {}
        self._push_count_by_key = {}
        self._pending_fetches_by_key = {}
        self._digests = digests.BucketDigests()
        self._next_round_at = now + rng.random() * ROUND_INTERVAL_SECONDS
        self._rounds_until_pull = rng.randint(1, 4)
        self._initial_sync = initial_sync.InitialSync(rng, now)
        self.ready = False
        self.refusals_by_reason = collections.Counter()

    def step(self, event, now):
        """Process one event and return the actions to perform.

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
                return self._publish_value(event, now)
            case rumors.MessageReceived(sender, message):
                return self._on_message(sender, message, now)
            case rumors.BucketsReceived(peer, answer):
                return self._on_buckets_received(peer, answer, now)
            case rumors.BucketRequestFailed(peer):
                if not self.ready:
                    self._initial_sync.record_failure(peer)
                return []
            case rumors.FetchResult(peer, kind, name, generation, value):
                return self._on_fetch_result(peer, (kind, name), generation, value, now)
            case rumors.PeersChanged():
                self._peer_names, self._peer_name_set = event.names, event.name_set
                self._neighbours = event.neighbours
                return []
        raise TypeError(event)

    def get(self, kind, name):
        """Return ``(generation, value)``; ``(0, None)`` when there is no value."""
        stored = self._stored_by_key.get((kind, name))
        return (0, None) if stored is None else (stored.generation, stored.value)

    def names(self, kind):
        """Return the names of one kind that have a value."""
        items = self._stored_by_key.items()
        return [
            key[1]
            for key, stored in items
            if key[0] == kind and stored.value is not None
        ]

    @property
    def digest(self):
        """Hash of all values that do not expire."""
        return self._digests.root

    def answer_bucket_request(self, bucket_request, now):
        """Return the rumors of the buckets that another process requests."""
        return rumors.Rumors(
            tuple(
                self._make_rumor(key, stored, 0, now)
                for key, stored in self._stored_by_key.items()
                if stored.expires_at == math.inf
                and digests.bucket_of(_digest_name(key)) in bucket_request.buckets
            )
        )

    # Periodic pushes, pulls and expiry

    def _tick(self, now):
        if now < self._next_round_at:
            return []
        self._next_round_at = max(self._next_round_at + ROUND_INTERVAL_SECONDS, now)
        self._drop_expired_values(now)
        actions = self._retry_fetches(now)
        if not self.ready:
            actions += self._continue_initial_sync(now)
        if len(self._peer_names) > (self._own_name in self._peer_name_set):
            actions += self._push_rumors(now)
            if self._pull_enabled:
                actions += self._request_pull()
        return actions

    def _push_rumors(self, now):
        max_push_rounds = self._max_push_rounds
        if max_push_rounds is None:
            max_push_rounds = default_push_rounds(len(self._peer_names))
        keys_to_push = [
            key
            for key, push_count in self._push_count_by_key.items()
            if push_count < max_push_rounds
        ]
        finished_keys = [
            key
            for key, push_count in self._push_count_by_key.items()
            if push_count >= max_push_rounds
        ]
        actions = [
            rumors.SendMessage(peer, message)
            for message in self._pack_rumors(
                finished_keys if self._neighbours else (), max_push_rounds, now
            )
            for peer in self._neighbours
        ]
        for key in finished_keys:
            del self._push_count_by_key[key]
        if keys_to_push:
            peer = self._random_peer()
            for message in self._pack_rumors(keys_to_push, None, now)[
                :PUSH_MESSAGES_PER_ROUND
            ]:
                actions.append(rumors.SendMessage(peer, message))
                for rumor in message.rumors:
                    self._push_count_by_key[rumor.kind, rumor.name] += 1
        return actions

    def _pack_rumors(self, keys, push_count, now):
        push_counts = [
            self._push_count_by_key[key] + 1 if push_count is None else push_count
            for key in keys
        ]
        return rumors.pack_rumors(
            self._make_rumor(key, self._stored_by_key[key], count, now)
            for key, count in zip(keys, push_counts, strict=True)
        )

    def _request_pull(self):
        self._rounds_until_pull -= 1
        if self._rounds_until_pull > 0:
            return []
        self._rounds_until_pull = rounds_between_pulls(len(self._peer_names))
        peer = self._random_peer()
        return [rumors.SendMessage(peer, rumors.PullRequest(self._digests.root))]

    def _random_peer(self):
        while True:
            peer = self._rng.choice(self._peer_names)
            if peer != self._own_name:
                return peer

    def _drop_expired_values(self, now):
        for key in [
            key
            for key, stored in self._stored_by_key.items()
            if stored.expires_at <= now
        ]:
            stored = self._stored_by_key[key]
            stored.value = None
            self._push_count_by_key.pop(key, None)
            if stored.delete_at <= now:
                del self._stored_by_key[key]

    def _retry_fetches(self, now):
        actions = []
        for key, pending_fetch in list(self._pending_fetches_by_key.items()):
            if pending_fetch.requested_at + FETCH_TIMEOUT_SECONDS > now:
                continue
            if not pending_fetch.sources:
                # A later push or pull provides another source.
                del self._pending_fetches_by_key[key]
                continue
            actions.append(self._fetch_from_next_source(pending_fetch, now))
        return actions

    # Received messages and the rumors in them

    def _on_message(self, sender, message, now):
        if sender not in self._peer_name_set:
            self.refusals_by_reason["unknown sender"] += 1
            return []
        match message:
            case rumors.Rumors() if not self.ready:
                # The initial synchronization compares the values of several peers.
                return []
            case rumors.Rumors():
                return self._merge_rumors(sender, message.rumors, now)
            case rumors.PullRequest(root):
                if root == self._digests.root:
                    return []
                return [
                    rumors.SendMessage(
                        sender, rumors.PullAnswer(self._digests.to_tuple())
                    )
                ]
            case rumors.PullAnswer(peer_digests):
                buckets = self._digests.differing_buckets(peer_digests)
                if not buckets:
                    return []
                return [
                    rumors.RequestBuckets(
                        sender, rumors.BucketRequest(tuple(sorted(buckets)))
                    )
                ]
        return []

    def _on_buckets_received(self, peer, answer, now):
        if peer not in self._peer_name_set:
            self.refusals_by_reason["unknown sender"] += 1
            return []
        if self.ready:
            return self._merge_rumors(peer, answer.rumors, now)
        self._initial_sync.record_answer(peer, answer.rumors)
        return []

    def _merge_rumors(self, sender, received_rumors, now):
        actions = []
        for rumor in received_rumors:
            if not self._is_acceptable(rumor):
                continue
            if rumor.value is None:
                actions += self._request_value(sender, rumor, now)
            else:
                actions += self._verify_and_store(rumor, now)
        return actions

    def _is_acceptable(self, rumor):
        stored = self._stored_by_key.get((rumor.kind, rumor.name))
        reason = ""
        if rumor.generation <= 0 or rumor.lifetime_ms < 0 or rumor.push_count < 0:
            reason = "malformed rumor"
        elif stored is None:
            reason = "too many names" if len(self._stored_by_key) >= MAX_VALUES else ""
        elif rumor.generation == stored.generation:
            if rumor.digest == stored.digest:
                return False
            reason = "another value of the same generation"
        elif rumor.generation < stored.generation:
            reason = "older generation"
        elif rumor.generation - stored.generation > MAX_GENERATION_STEP and (
            stored.expires_at == math.inf
        ):
            reason = "generation too high"
        self.refusals_by_reason[reason] += bool(reason)
        return not reason

    def _request_value(self, sender, rumor, now):
        key = (rumor.kind, rumor.name)
        pending_fetch = self._pending_fetches_by_key.get(key)
        if (
            pending_fetch is not None
            and pending_fetch.rumor.generation >= rumor.generation
        ):
            is_full = len(pending_fetch.sources) >= MAX_FETCH_SOURCES
            if pending_fetch.rumor.digest == rumor.digest and not is_full:
                pending_fetch.sources.append(sender)
            return []
        pending_fetch = self._pending_fetches_by_key[key] = rumors.PendingFetch(
            rumor, [sender], now
        )
        return [self._fetch_from_next_source(pending_fetch, now)]

    def _fetch_from_next_source(self, pending_fetch, now):
        pending_fetch.requested_at = now
        rumor = pending_fetch.rumor
        return rumors.FetchValue(
            pending_fetch.sources.pop(), rumor.kind, rumor.name, rumor.generation
        )

    def _on_fetch_result(self, peer, key, generation, value, now):
        pending_fetch = self._pending_fetches_by_key.get(key)
        if pending_fetch is None:
            return []
        if value is None or generation != pending_fetch.rumor.generation:
            # The fetch failed, or the peer holds another generation by now: the next
            # round asks the next source.
            pending_fetch.requested_at = -math.inf
            return []
        del self._pending_fetches_by_key[key]
        rumor = msgspec.structs.replace(pending_fetch.rumor, value=value)
        return self._verify_and_store(rumor, now) if self._is_acceptable(rumor) else []

    def _verify_and_store(self, rumor, now):
        arguments = (rumor.kind, rumor.name, rumor.generation, rumor.value)
        reason = ""
        if self.keyed_digest(*arguments) != rumor.digest:
            reason = "wrong hash"
        elif self._is_valid is not None and not self._is_valid(*arguments):
            reason = "invalid value"
        if reason:
            self.refusals_by_reason[reason] += 1
            return []
        return self._store_value(rumor, now)

    def _store_value(self, rumor, now):
        key = (rumor.kind, rumor.name)
        previous = self._stored_by_key.get(key)
        stored = rumors.StoredValue(rumor.generation, rumor.digest, rumor.value)
        if rumor.lifetime_ms:
            stored.expires_at = now + rumor.lifetime_ms / 1000
            stored.delete_at = stored.expires_at + GENERATION_RETENTION_SECONDS
        for entry in (previous, stored):
            # Values that expire are only pushed; pulls do not compare them.
            if entry is not None and entry.expires_at == math.inf:
                self._digests.toggle_item(_digest_name(key), entry.digest.hex())
        self._stored_by_key[key] = stored
        self._push_count_by_key[key] = rumor.push_count
        return [
            rumors.ValueInstalled(rumor.kind, rumor.name, rumor.generation, rumor.value)
        ]

    # Values published by this process

    def keyed_digest(self, kind, name, generation, value):
        """Return the keyed hash of a value, its kind, name and generation."""
        hasher = hashlib.blake2b(key=self._hash_key, digest_size=16)
        hasher.update(f"{kind}\0{name}\0{generation}\0".encode())
        hasher.update(value)
        return hasher.digest()

    def _publish_value(self, event, now):
        stored = self._stored_by_key.get((event.kind, event.name))
        if stored is not None and event.generation <= stored.generation:
            self.refusals_by_reason["older generation"] += 1
            return []
        digest = self.keyed_digest(
            event.kind, event.name, event.generation, event.value
        )
        rumor = Rumor(
            event.kind,
            event.name,
            event.generation,
            digest,
            0,
            event.lifetime_ms,
            event.value,
        )
        return self._store_value(rumor, now)

    def _make_rumor(self, key, stored, push_count, now):
        lifetime_ms = 0
        if stored.expires_at < math.inf:
            lifetime_ms = max(1, int((stored.expires_at - now) * 1000))
        value = (
            stored.value if len(stored.value or b"") <= MAX_INLINE_VALUE_BYTES else None
        )
        return Rumor(
            *key, stored.generation, stored.digest, push_count, lifetime_ms, value
        )

    def _continue_initial_sync(self, now):
        peers = [peer for peer in self._peer_names if peer != self._own_name]
        if not self._initial_sync.is_complete(peers, now):
            all_buckets = rumors.BucketRequest(tuple(range(digests.BUCKET_COUNT)))
            return [
                rumors.RequestBuckets(peer, all_buckets)
                for peer in self._initial_sync.choose_peers(peers)
            ]
        self.ready = True
        actions = []
        for peer, rumor in self._initial_sync.acceptable_rumors(
            peers, MAX_GENERATION_STEP
        ):
            actions += self._merge_rumors(peer, (rumor,), now)
        return [*actions, rumors.Ready()]


def _digest_name(key):
    return "\0".join(key)
