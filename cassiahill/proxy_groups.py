"""The groups of backend servers that one session proxy knows."""

from cassiahill import primary_symptoms, server_group, successor_nearness, takeover

# A group that was used within this time keeps its connections.
GROUP_RECENT_USE_SECONDS = 5.0


class ProxyGroups:
    """The groups of one process, and the takeovers of their primaries.

    Parameters
    ----------
    loop : loop.EventLoop
    dialect : dialect.Dialect
    own_name, own_domain : str
        Name and failure domain of this process.
    draining_since : callable
        See ``server_group.ServerGroup``.
    regions : regions.Regions
    partition : partition_detector.PartitionDetector
    fleet : session_fleet.SessionFleet
    orders : promotion_orders.PromotionOrders
    on_added : callable
        Called when a group was added, which has no limits yet.

    Attributes
    ----------
    groups_by_name : dict of str to server_group.ServerGroup
    promotion_evidence : promotion_evidence.PromotionEvidence or None
        For the takeovers of groups that are added from now on.
    """

    def __init__(
        self,
        loop,
        dialect,
        own_name,
        own_domain,
        draining_since,
        regions,
        partition,
        fleet,
        orders,
        on_added,
    ):
        self._loop = loop
        self._dialect = dialect
        self._own_name = own_name
        self._own_domain = own_domain
        self._draining_since = draining_since
        self._regions = regions
        self._partition = partition
        self._fleet = fleet
        self._promotion_orders = orders
        self._on_added = on_added
        self._takeovers_by_group = {}
        self.groups_by_name = {}
        self.promotion_evidence = None

    def get_group(self, name):
        """Return the ``ServerGroup`` of a group, created when it is first needed."""
        group = self.groups_by_name.get(name)
        if group is None:
            group = server_group.ServerGroup(
                self._loop,
                self._dialect,
                name,
                self._own_name,
                self._own_domain,
                self._draining_since,
                regions=self._regions,
            )
            group.partitioned = self._partition.partitioned
            group.start_proving_commits()
            self.groups_by_name[name] = group
            self._takeovers_by_group[name] = self._make_takeover(group)
            self._on_added()
        return group

    def _make_takeover(self, group):
        """Return the ``Takeover`` that replaces a group's primary."""
        return takeover.Takeover(
            self._loop,
            group,
            self._promotion_orders,
            self._fleet.election.next_token,
            self._fleet.election.confirm_promoter,
            self._fleet.election.resign,
            lambda domain, former_domain: successor_nearness.nearness_of(
                domain,
                self._fleet.demand_by_domain(group.name),
                former_domain,
                self._regions,
            ),
            self.promotion_evidence,
        )

    @property
    def active_names(self):
        """Names of the groups whose servers this process is connected to."""
        return [name for name, group in self.groups_by_name.items() if group.active]

    def demand_by_name(self):
        """Return the average number of statements that wait or run, by group."""
        return {
            name: round(group.slot_share.demand, 3)
            for name, group in self.groups_by_name.items()
            if group.active
        }

    def apply_total_demand(self, total_demand_by_name):
        """Apply the demand of all proxies to this process's share of the slots."""
        now = self._loop.clock.now()
        for name, total_demand in total_demand_by_name.items():
            if name in self.groups_by_name:
                self.groups_by_name[name].slot_share.record_total(total_demand, now)

    def settled_groups(self):
        """Return the ids of the known servers of groups without a promotion, by group.

        Only the promoter knows that.
        """
        return {
            name: sorted(group.pools_by_id)
            for name, group in self.groups_by_name.items()
            if self._takeovers_by_group[name].is_idle
        }

    def record_settled_groups(self, server_ids_by_group, confirmed_at, heard_at):
        """Record the promoter's statement about groups without a promotion."""
        for name, group in self.groups_by_name.items():
            if name in server_ids_by_group:
                group.commit_witnesses.record_statement(
                    server_ids_by_group[name], confirmed_at, heard_at
                )
            else:
                group.commit_witnesses.record_contact(heard_at)

    def names_awaiting_confirmation(self):
        """Return the groups for which the promoter is to let the store confirm it."""
        return [
            name
            for name, group in self.groups_by_name.items()
            if group.active
            and group.commit_witnesses.await_confirmation(group.primary.server_id)
        ]

    def names_without_primary(self):
        """Return the connected groups whose primary this process does not reach."""
        now = self._loop.clock.now()
        return [
            name
            for name, group in self.groups_by_name.items()
            if group.active
            and primary_symptoms.promotion_reason(group.primary_symptoms(now), now)
            in {
                primary_symptoms.PRIMARY_UNREACHABLE,
                primary_symptoms.WRITES_UNACKNOWLEDGED,
            }
        ]

    def is_primary_unreachable(self, name):
        """Return whether the primary of a known group has been away for too long."""
        group = self.groups_by_name.get(name)
        return group is not None and group.replies.is_primary_unreachable(
            self._loop.clock.now()
        )

    def primary_domain(self, name):
        """Return the failure domain of a group's known primary, or None."""
        group = self.groups_by_name.get(name)
        return None if group is None else group.primary_domain

    def update_active(self, holds_connections, now):
        """Mark the groups that this process owns, supervises or used recently.

        Parameters
        ----------
        holds_connections : callable
            Takes a group's name and returns whether this process owns it.
        now : float
        """
        # The promoter's successor knows the state of all groups when it takes over.
        watches_all = (
            self._fleet.election.is_promoter or self._fleet.election.is_successor
        )
        for name, group in self.groups_by_name.items():
            used_recently = now - group.last_request_at < GROUP_RECENT_USE_SECONDS
            group.supervised = watches_all
            group.active = holds_connections(name) or watches_all or used_recently

    def start_due_takeovers(self, now):
        """Start the takeovers that are due if this process is the promoter."""
        if self._fleet.election.is_promoter and not self._partition.partitioned:
            for name, group in self.groups_by_name.items():
                reported_since = self._fleet.reports.primary_unreachable_since(name)
                symptoms = group.primary_symptoms(now, reported_since)
                self._takeovers_by_group[name].start_if_needed(symptoms)
        elif not self._fleet.election.is_promoter:
            for group_takeover in self._takeovers_by_group.values():
                group_takeover.record_not_promoter()
