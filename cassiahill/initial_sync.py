"""Initial synchronization of the spread values when a process starts."""

import collections

REQUIRED_PEERS = 3
# Time to find other members before the answers of fewer peers are enough.
PEER_DISCOVERY_SECONDS = 2.0


class InitialSync:
    """Collects the rumors of at least three peers, or of all when there are fewer.

    With a single peer, a start during an outage could return to a stale value.

    Parameters
    ----------
    rng : random.Random
    now : float
        Instant in seconds.
    """

    def __init__(self, rng, now):
        self._rng = rng
        self._started_at = now
        self._rumors_by_peer = {}
        self._requested_peers = set()

    def record_answer(self, peer, rumors):
        """Record the rumors that a peer answered with."""
        self._requested_peers.discard(peer)
        self._rumors_by_peer[peer] = rumors

    def record_failure(self, peer):
        """Record that a peer did not answer; it may be chosen again."""
        self._requested_peers.discard(peer)

    def is_complete(self, peers, now):
        """Return whether enough of the live peers have answered.

        A process that finds no peers within ``PEER_DISCOVERY_SECONDS`` is the first of
        its fleet.
        """
        if (
            len(peers) < REQUIRED_PEERS
            and now < self._started_at + PEER_DISCOVERY_SECONDS
        ):
            return False
        return len(self._answered_peers(peers)) >= min(REQUIRED_PEERS, len(peers))

    def choose_peers(self, peers):
        """Return the peers to send requests to now, chosen at random."""
        missing_count = min(REQUIRED_PEERS, len(peers))
        missing_count -= len(self._answered_peers(peers)) + len(self._requested_peers)
        candidates = [
            peer
            for peer in peers
            if peer not in self._rumors_by_peer and peer not in self._requested_peers
        ]
        chosen = self._rng.sample(
            candidates, max(0, min(missing_count, len(candidates)))
        )
        self._requested_peers.update(chosen)
        return chosen

    def acceptable_rumors(self, peers, max_generation_step):
        """Return ``(peer, rumor)`` pairs, the highest generation of each name first.

        Of at least three generations of a name, one that exceeds the median by more
        than ``max_generation_step`` is left out, so that one faulty peer cannot block
        later generations.
        """
        pairs_by_key = collections.defaultdict(list)
        for peer in self._answered_peers(peers):
            for rumor in self._rumors_by_peer[peer]:
                pairs_by_key[rumor.kind, rumor.name].append((peer, rumor))
        acceptable = []
        for pairs in pairs_by_key.values():
            pairs.sort(key=lambda pair: pair[1].generation, reverse=True)
            limit = pairs[len(pairs) // 2][1].generation + max_generation_step
            acceptable += [pair for pair in pairs if pair[1].generation <= limit]
        return acceptable

    def _answered_peers(self, peers):
        return [peer for peer in self._rumors_by_peer if peer in peers]
