"""The owners of each group, as this process sees them, and where sessions go."""

import xxhash

from cassiahill import eventlog, groupowners, sessionserver

MAX_OWNERS_TRIED = 4  # Each takes up to 0.3 s, and clients wait 2 s for a session.
OWNER_PAUSE_SECONDS = 1.0
# For this long it is not asked again whether others reach the primary.
ALONE_SECONDS = 1.0


class SessionOwners(sessionserver.SessionRouting):
    """Routes sessions to the proxies that serve their groups.

    Parameters
    ----------
    loop : loop.EventLoop
    own : pulses.Member
    fleet : sessionfleet.SessionFleet
    knows_deployment : callable
        Whether configuration and members are known.
    lacks_primary : callable
        Whether this process has been without a group's primary for long.
    local : sessionfleet.LocalState
    """

    def __init__(self, loop, own, fleet, knows_deployment, lacks_primary, local):
        self._loop = loop
        self._own = own
        self._fleet = fleet
        self._knows_deployment = knows_deployment
        self._lacks_primary = lacks_primary
        self._local = local
        self._owners_by_group = {}
        self._down_until_by_owner = {}
        self._relayed_at_by_group = {}
        self._alone_until_by_group = {}

    def choose(self, group, connection_limit):
        """Choose a group's owners anew; return how many hold connections."""
        domains_by_name = {self._own.name: self._own.failure_domain}
        for member in self._fleet.members_by_name.values():
            domains_by_name[member.name] = member.failure_domain
        owners = groupowners.choose_owners(group, domains_by_name, connection_limit)
        self._owners_by_group[group] = owners
        return owners.total

    def holds(self, group):
        """Return whether this process holds connections to a group."""
        owners = self._owners_by_group.get(group)
        return (
            owners is not None
            and self._fleet.members_are_known
            and owners.includes(self._own.name, self._own.failure_domain)
        )

    def guide(self, turn):
        """Return an owner of this domain, another one for each turn, or None."""
        domain = self._own.failure_domain
        names = {
            name
            for owners in self._owners_by_group.values()
            for name in owners.names_by_domain.get(domain, ())[: owners.count_by_domain]
        }
        known = [name for name in sorted(names) if name in self._fleet.members_by_name]
        if not known:
            return None
        return self._fleet.members_by_name[known[turn % len(known)]]

    def is_served_elsewhere(self, group, now):
        """Return whether another proxy took a session of a group a moment ago."""
        relayed_at = self._relayed_at_by_group.get(group, float("-inf"))
        return now - relayed_at < ALONE_SECONDS

    # What sessions ask

    def knows_deployment(self):
        """Return whether enough is known to serve sessions."""
        return self._knows_deployment()

    def serves(self, group):
        """Return whether this process serves a group itself."""
        if not self.holds(group):
            return False
        alone = self._loop.clock.now() < self._alone_until_by_group.get(group, 0.0)
        return alone or not self._lacks_primary(group)

    def should_refuse_relayed(self, group):
        """Return whether a relayed session of a group is better served elsewhere."""
        return self._local.is_cut_off() or self._lacks_primary(group)

    def owners_for(self, group):
        """Return the members to relay a group's session to, the preferred one first."""
        now = self._loop.clock.now()
        owners = self._owners_by_group.get(group)
        if owners is None:
            return []
        start = xxhash.xxh3_64_intdigest(self._own.name.encode())
        members = [
            self._fleet.members_by_name[name]
            for name in owners.candidates(self._own.failure_domain, start)
            if name in self._fleet.members_by_name and name != self._own.name
        ]
        up = [
            one
            for one in members
            if self._down_until_by_owner.get((group, one.name), 0.0) <= now
        ]
        return (up or members)[:MAX_OWNERS_TRIED]

    def record_owner_failure(self, group, member):
        """Prefer other members for a while."""
        now = self._loop.clock.now()
        if self._down_until_by_owner.get((group, member.name), 0.0) <= now:
            eventlog.event("owner_failed", group=group, owner=member.name)
        self._down_until_by_owner[group, member.name] = now + OWNER_PAUSE_SECONDS

    def record_relay_opened(self, group):
        """Take note that another proxy took a session of a group."""
        self._relayed_at_by_group[group] = self._loop.clock.now()

    def fall_back_to_local(self, group):
        """Serve a group here for a while, when nobody else reaches its primary."""
        if not self.holds(group):
            return False
        until = self._loop.clock.now() + ALONE_SECONDS
        self._alone_until_by_group[group] = until
        return True
