"""Deliberately broken variants; each one violates an invariant that the tests check."""

from cassiahill import initial_sync, membership, rumor_spreading, swim


class AcceptsOlderGenerations(rumor_spreading.RumorSpreader):
    """Installs whatever arrives last."""

    def _is_new(self, rumor):
        return True


class PushesOnly(rumor_spreading.RumorSpreader):
    """Never compares its values with a peer, so that a missed push stays missed."""

    def _pull(self):
        return []


class AcceptsStrangers(rumor_spreading.RumorSpreader):
    """Takes rumors of processes that are no members."""

    def _receive(self, sender, message, now):
        self._peer_set |= {sender}
        return super()._receive(sender, message, now)


class IgnoresHashes(rumor_spreading.RumorSpreader):
    """Installs values without checking the hash of their generation."""

    def digest_of(self, kind, name, generation, value):
        """Return the same hash for everything."""
        return b""


class AcceptsAnyStep(rumor_spreading.RumorSpreader):
    """Accepts a generation that nobody can have reached."""

    def _is_new(self, rumor):
        return rumor.generation > self.get(rumor.kind, rumor.name)[0]


class StartsWithOnePeer(rumor_spreading.RumorSpreader):
    """Serves with the values of the first peer that answers."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._first = _OnePeer(self._rng, 0.0)


class _OnePeer(initial_sync.FirstValues):
    def is_complete(self, peers, now):
        return bool(self._rumors_by_peer)

    def to_ask(self, peers):
        return [self._rng.choice(peers)]


class BelievesDeadNews(membership.Membership):
    """Removes a member as soon as anyone claims that it is dead."""

    def _accept(self, member, now):
        known = self.members_by_name.get(member.name)
        if member.state == swim.DEAD and known and member.key > known.key:
            return self._install(member, now)
        return super()._accept(member, now)


class NeverRefutes(membership.Membership):
    """Does not contradict a suspicion of itself."""

    def _refute(self, member):
        return []


class BelievesEveryClaim(membership.Membership):
    """Suspects as many members as one sender claims."""

    def _suspicions_allowed(self):
        return len(self.members_by_name)


class NeverExpiresSuspicions(membership.Membership):
    """Never removes a member that does not answer."""

    def _suspect(self, member, now):
        actions = super()._suspect(member, now)
        self._deadlines_by_name.clear()
        return actions


class BelievesOneHostList(membership.Membership):
    """Acts on the first reading that loses most hosts."""

    def __init__(self, *args):
        super().__init__(*args)
        self._host_filter = _OneReading()


class _OneReading(swim.HostListFilter):
    def read(self, hosts, known):
        removed = (self._listed & known) - hosts.live - hosts.leaving
        self._listed = hosts.live | hosts.leaving
        return removed
