"""Choice of the first values of a process that starts, possibly during an outage."""

import collections

START_PEERS = 3
FEW_PEERS_SECONDS = 2.0  # Time to learn of other members before fewer are enough.


class FirstValues:
    """Answers of at least three peers, or all when there are fewer.

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
        self._asked = set()

    def answered(self, peer, received):
        """Keep the rumors that a peer answered."""
        self._asked.discard(peer)
        self._rumors_by_peer[peer] = received

    def failed(self, peer):
        """Ask the peer or another one again."""
        self._asked.discard(peer)

    def is_complete(self, peers, now):
        """Return whether enough of the live peers answered.

        A process that still has no peers after some seconds is the first of its fleet.
        """
        if len(peers) < START_PEERS and now < self._started_at + FEW_PEERS_SECONDS:
            return False
        return len(self._answering(peers)) >= min(START_PEERS, len(peers))

    def to_ask(self, peers):
        """Return the peers to ask now."""
        missing = min(START_PEERS, len(peers))
        missing -= len(self._answering(peers)) + len(self._asked)
        candidates = [
            peer
            for peer in peers
            if peer not in self._rumors_by_peer and peer not in self._asked
        ]
        chosen = self._rng.sample(candidates, max(0, min(missing, len(candidates))))
        self._asked.update(chosen)
        return chosen

    def offers(self, peers, max_step):
        """Return ``(peer, rumor)`` pairs, the highest generation of each name first.

        Of at least three offers, one that exceeds the median by more than ``max_step``
        is left out, so that one faulty peer cannot block later generations.
        """
        offers_by_key = collections.defaultdict(list)
        for peer in self._answering(peers):
            for rumor in self._rumors_by_peer[peer]:
                offers_by_key[rumor.kind, rumor.name].append((peer, rumor))
        chosen = []
        for offers in offers_by_key.values():
            offers.sort(key=lambda offer: offer[1].generation, reverse=True)
            limit = offers[len(offers) // 2][1].generation + max_step
            chosen += [offer for offer in offers if offer[1].generation <= limit]
        return chosen

    def _answering(self, peers):
        return [peer for peer in self._rumors_by_peer if peer in peers]
