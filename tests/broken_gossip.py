"""Broken variants of membership and rumor spreading; each violates one invariant."""

from cassiahill import initial_sync, membership, rumor_spreading, swim


class AcceptsOlderGenerations(rumor_spreading.RumorSpreader):
    """Stores whatever rumor arrives last, without comparing generations."""

    def _is_acceptable(self, rumor):
        return True


class PushesOnly(rumor_spreading.RumorSpreader):
    """Never pulls, so that a value whose push was missed never arrives."""

    def _request_pull(self):
        return []


class AcceptsUnknownSenders(rumor_spreading.RumorSpreader):
    """Accepts rumors from processes that are not members."""

    def _on_message(self, sender, message, now):
        self._peer_name_set |= {sender}
        return super()._on_message(sender, message, now)


class IgnoresHashes(rumor_spreading.RumorSpreader):
    """Stores values without verifying their hash."""

    def keyed_digest(self, kind, name, generation, value):
        """Return the same hash for all values."""
        return b""


class AcceptsAnyStep(rumor_spreading.RumorSpreader):
    """Accepts a generation however far it exceeds the current one."""

    def _is_acceptable(self, rumor):
        return rumor.generation > self.get(rumor.kind, rumor.name)[0]


class StartsWithOnePeer(rumor_spreading.RumorSpreader):
    """Becomes ready with the values of the first peer that answers."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._initial_sync = _SinglePeerSync(self._rng, 0.0)


class _SinglePeerSync(initial_sync.InitialSync):
    def is_complete(self, peers, now):
        return bool(self._rumors_by_peer)

    def choose_peers(self, peers):
        return [self._rng.choice(peers)]


class AcceptsDeadClaims(membership.Membership):
    """Declares a member dead as soon as any other member claims it."""

    def _accept_update(self, member, now):
        current = self.members_by_name.get(member.name)
        if (
            member.state == swim.DEAD
            and current
            and member.precedence > current.precedence
        ):
            return self._install_member(member, now)
        return super()._accept_update(member, now)


class NeverRefutes(membership.Membership):
    """Does not raise its incarnation when it is suspected."""

    def _refute_suspicion(self, member):
        return []


class HasNoSuspicionLimit(membership.Membership):
    """Suspects every member that another one claims to have failed."""

    def _suspicion_limit(self):
        return len(self.members_by_name)


class NeverExpiresSuspicions(membership.Membership):
    """Never declares a member dead that does not answer."""

    def _suspect_member(self, member, now):
        actions = super()._suspect_member(member, now)
        self._suspicion_deadlines_by_name.clear()
        return actions


class AcceptsFirstHostList(membership.Membership):
    """Suspects missing members at the first host list that loses most hosts."""

    def __init__(self, *args):
        super().__init__(*args)
        self._host_list_filter = _UnconfirmedReading()


class _UnconfirmedReading(swim.HostListFilter):
    def process_reading(self, host_list, known_names):
        removed_names = (
            (self._listed_hosts & known_names) - host_list.live - host_list.leaving
        )
        self._listed_hosts = host_list.live | host_list.leaving
        return removed_names
