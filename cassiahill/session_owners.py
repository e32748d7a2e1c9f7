"""Chooses the owners of each group and the proxies to relay sessions to."""

import itertools

import xxhash

from cassiahill import (
    event_log,
    group_owners,
    session_crossings,
    session_server,
    tenant_routing,
)
from cassiahill.regions import Regions

MAX_OWNERS_TRIED = 4  # An attempt takes up to 0.3 s; clients wait 2 s.
# While the link between the regions is cut, each attempt across takes its whole time.
MAX_OWNERS_TRIED_ACROSS = 2
AVOID_OWNER_SECONDS = 1.0
# When no other owner accepts a session, this process serves the group itself for this
# time before it relays sessions again.
LOCAL_FALLBACK_SECONDS = 1.0


class GroupOwnerRouting(session_server.SessionRouting):
    """Routes sessions to the owners of their groups.

    Parameters
    ----------
    loop : loop.EventLoop
    own_member : heartbeats.Member
    fleet : session_fleet.SessionFleet
    knows_deployment : callable
        Returns whether the configuration and the fleet's members are known.
    is_primary_unreachable : callable
        Returns whether this process has not reached a group's primary for long.
    process_state : process_state.ProcessState
    region_by_domain : dict of str to str, or None
        Region of each failure domain; None or empty without regions.
    primary_domain : callable or None
        Returns the failure domain of a group's known primary, or None.

    Attributes
    ----------
    relays_to_other_regions : int
        Number of sessions that an owner in another region accepted.
    """

    def __init__(
        self,
        loop,
        own_member,
        fleet,
        knows_deployment,
        is_primary_unreachable,
        process_state,
        region_by_domain=None,
        primary_domain=None,
    ):
        self._loop = loop
        self._own_member = own_member
        self._fleet = fleet
        self._knows_deployment = knows_deployment
        self._is_primary_unreachable = is_primary_unreachable
        self._process_state = process_state
        self._regions = Regions(own_member.failure_domain, region_by_domain or {})
        self._primary_domain = primary_domain or (lambda _group: None)
        self.relays_to_other_regions = 0
        self._owners_by_group = {}
        self._tenant_owners_by_group = {}
        self._sent_here_directory = None
        self._sent_here_by_group = {}
        self._tenants_sent_here = frozenset()
        self._domains_by_name = {}
        self._choice_inputs_by_group = {}
        self._first_rotation = xxhash.xxh3_64_intdigest(own_member.name.encode())
        self._next_rotation_by_group = {}
        self._avoid_until_by_owner = {}
        self._relayed_at_by_group = {}
        self._local_until = {}

    def update_owners(self, group, connection_limit, tenants=None):
        """Choose a group's owners; return the number of proxies with connections.

        Parameters
        ----------
        group : str
        connection_limit : int
            Connections that each server of the group accepts.
        tenants : tenants.TenantDirectory or None
            None in a deployment without tenants.
        """
        domains_by_name = {self._own_member.name: self._own_member.failure_domain}
        for member in self._fleet.members_by_name.values():
            domains_by_name[member.name] = member.failure_domain
        if domains_by_name != self._domains_by_name:
            self._domains_by_name = domains_by_name
        # All groups are updated when one is created or the configuration changes.
        choice_inputs = (connection_limit, self._domains_by_name, tenants)
        if self._choice_inputs_by_group.get(group) == choice_inputs:
            return self._owners_by_group[group].connected_proxy_count
        self._choice_inputs_by_group[group] = choice_inputs
        owners = group_owners.choose_owners(
            group,
            self._domains_by_name,
            connection_limit,
            self._regions.region_by_domain,
        )
        self._owners_by_group[group] = owners
        self._tenant_owners_by_group.pop(group, None)
        if tenants is not None:
            self._tenant_owners_by_group[group] = tenant_routing.TenantOwners.choose(
                group, owners, tenants
            )
        return owners.connected_proxy_count

    def owner_names(self, group):
        """Return the names of the proxies that keep connections to a group."""
        owners = self._owners_by_group.get(group)
        return frozenset() if owners is None else owners.connected_proxy_names

    def names_of_all_owners(self, groups):
        """Return the proxies that own any of some groups.

        Parameters
        ----------
        groups : iterable of str
            Groups of the configuration. All proxies count the same owners, also those
            that knew former groups.

        Returns
        -------
        frozenset of str
            Empty while the members are unknown.
        """
        if not self._fleet.members_known:
            return frozenset()
        owners_by_group = self._owners_by_group
        return frozenset().union(
            *(owners_by_group[group].connected_proxy_names for group in groups)
        )

    def tenants_sent_here(self, directory):
        """Return the names of the tenants of which this process is the first owner.

        Parameters
        ----------
        directory : tenants.TenantDirectory or None

        Returns
        -------
        frozenset of str
        """
        if directory is None:
            return frozenset()
        owners_by_group = {
            group: tenant_owners
            for group, tenant_owners in self._tenant_owners_by_group.items()
            if self.holds_connections(group)
        }
        is_known = directory is self._sent_here_directory
        if not is_known or owners_by_group != self._sent_here_by_group:
            # Hashing all tenants takes a while, and this is asked for at each change of
            # the members.
            self._sent_here_directory = directory
            self._sent_here_by_group = owners_by_group
            self._tenants_sent_here = frozenset(
                tenant
                for tenant_owners in owners_by_group.values()
                for tenant in directory.by_name
                if not tenant_owners.has_own_owner(tenant)
                or tenant_owners.rank(tenant)[0] == self._own_member.name
            )
        return self._tenants_sent_here

    def rank_owners(self, tenant):
        """Return the owners of all groups, the first ones of each group in front.

        Parameters
        ----------
        tenant : str
            A small tenant is served by the first owner of each group.

        Returns
        -------
        list of str
        """
        ranked_names = [
            self._tenant_owners_by_group[group].rank(tenant)
            for group in sorted(self._tenant_owners_by_group)
        ]
        names = itertools.chain.from_iterable(itertools.zip_longest(*ranked_names))
        return [name for name in dict.fromkeys(names) if name is not None]

    def holds_connections(self, group):
        """Return whether this process holds connections to a group's servers."""
        owners = self._owners_by_group.get(group)
        return (
            owners is not None
            and self._fleet.members_known
            and owners.includes_proxy(
                self._own_member.name, self._own_member.failure_domain
            )
        )

    def reference_owner(self, turn):
        """Return an owner in this failure domain, or None.

        Parameters
        ----------
        turn : int
            Index of the owner, taken modulo their number.
        """
        domain = self._own_member.failure_domain
        names = {
            name
            for owners in self._owners_by_group.values()
            for name in owners.proxy_names_by_domain.get(domain, ())[
                : owners.owners_per_domain
            ]
        }
        member_names = [
            name for name in sorted(names) if name in self._fleet.members_by_name
        ]
        if not member_names:
            return None
        return self._fleet.members_by_name[member_names[turn % len(member_names)]]

    def was_recently_relayed(self, group, now):
        """Return whether another proxy recently accepted a session of a group."""
        relayed_at = self._relayed_at_by_group.get(group, float("-inf"))
        return now - relayed_at < LOCAL_FALLBACK_SECONDS

    # Routing of sessions

    def knows_deployment(self):
        """Return whether the configuration and the fleet's members are known."""
        return self._knows_deployment()

    def serves_group(self, group, tenant=None):
        """Return whether this process serves a tenant's sessions of a group itself.

        Parameters
        ----------
        group : str
        tenant : str or None
            None on a public route and in a deployment without tenants.
        """
        if not self.holds_connections(group):
            return False
        if self._loop.clock.now() < self._local_until.get((group, tenant), 0.0):
            return True
        if self._is_primary_unreachable(group):
            return False
        owner_names = self._small_tenant_owners(group, tenant)
        return owner_names is None or owner_names[0] == self._own_member.name

    def _small_tenant_owners(self, group, tenant):
        """Return the owners of a small tenant, preferred ones first, or None."""
        tenant_owners = self._tenant_owners_by_group.get(group)
        if tenant_owners is None or not tenant_owners.has_own_owner(tenant):
            return None
        return tenant_owners.owner_names(
            tenant,
            self._own_member.failure_domain,
            self._process_state.is_partitioned(),
        )

    def should_refuse_relayed(self, group):
        """Return whether this process should refuse relayed sessions of a group."""
        return self._process_state.is_partitioned() or self._is_primary_unreachable(
            group
        )

    def relay_targets(self, group, tenant=None):
        """Return the members to relay a tenant's session to, preferred ones first."""
        owners = self._owners_by_group.get(group)
        if owners is None:
            return []
        names = self._small_tenant_owners(group, tenant)
        may_serve_here = False
        if names is None:
            names = owners.relay_candidates(
                self._own_member.failure_domain,
                self._next_rotation(group),
                self._regions,
            )
        elif self._own_member.name in names and not self._is_primary_unreachable(group):
            # Owners after this process in the order are no better than itself.
            names = names[: names.index(self._own_member.name)]
            may_serve_here = True
        members = self._other_members(names)
        preferred = self._not_avoided(group, members)
        if not may_serve_here:
            preferred = preferred or members
        return preferred[:MAX_OWNERS_TRIED]

    def relay_targets_near_primary(self, route):
        """Return the owners to relay a session to that is served in another region.

        Returns
        -------
        list of heartbeats.Member
            Empty when the session is served in this region, also while none of the
            owners near the primary accepts sessions, and in a deployment with tenants,
            where the owner is chosen by tenant.
        """
        owners = self._owners_by_group.get(route.group)
        primary_domain = self._primary_domain(route.group)
        place = session_crossings.choose_place(
            route.consistency, primary_domain, self._regions
        )
        if (
            owners is None
            or route.group in self._tenant_owners_by_group
            or not place.near_primary
            or self._process_state.is_partitioned()
        ):
            return []
        members = self._other_members(
            owners.owners_in_region(
                self._regions.region_of(primary_domain),
                self._next_rotation(route.group),
                self._regions,
            )
        )
        return self._not_avoided(route.group, members)[:MAX_OWNERS_TRIED_ACROSS]

    def is_misplaced(self, group, owner_domain):
        """Return whether a session is relayed to a region that the primary has left.

        Each statement would cross to the owner, and from there to the primary. A
        session in the own region is never misplaced, because the owners near the
        primary may have refused it.
        """
        primary_domain = self._primary_domain(group)
        return (
            primary_domain is not None
            and not self._regions.is_same_region(owner_domain)
            and self._regions.region_of(owner_domain)
            != self._regions.region_of(primary_domain)
        )

    def _next_rotation(self, group):
        """Return a number that lets the sessions of a group take turns.

        All owners of a domain then get the same number of sessions.
        """
        rotation = self._next_rotation_by_group.get(group, self._first_rotation)
        self._next_rotation_by_group[group] = rotation + 1
        return rotation

    def _other_members(self, names):
        return [
            self._fleet.members_by_name[name]
            for name in names
            if name in self._fleet.members_by_name and name != self._own_member.name
        ]

    def _not_avoided(self, group, members):
        """Return the members that have not recently failed to accept a session."""
        now = self._loop.clock.now()
        return [
            member
            for member in members
            if self._avoid_until_by_owner.get((group, member.name), 0.0) <= now
        ]

    def record_owner_failure(self, group, member):
        """Record that a member did not accept a session; prefer others for a while."""
        now = self._loop.clock.now()
        if self._avoid_until_by_owner.get((group, member.name), 0.0) <= now:
            event_log.event("owner_failed", group=group, owner=member.name)
        self._avoid_until_by_owner[group, member.name] = now + AVOID_OWNER_SECONDS

    def record_relay_opened(self, group, member):
        """Record that another proxy accepted a session of a group."""
        self._relayed_at_by_group[group] = self._loop.clock.now()
        if not self._regions.is_same_region(member.failure_domain):
            self.relays_to_other_regions += 1

    def fall_back_to_local(self, group, tenant=None):
        """Serve a tenant's sessions of a group here for a while, as one of its owners.

        Returns
        -------
        bool
            Whether this process serves them now.
        """
        if not self.holds_connections(group):
            return False
        now = self._loop.clock.now()
        self._local_until = {
            key: until for key, until in self._local_until.items() if until > now
        }
        self._local_until[group, tenant] = now + LOCAL_FALLBACK_SECONDS
        return True
