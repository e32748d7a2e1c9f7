"""Heartbeats among the session proxies of a deployment.

A proxy that is connected to servers or reads the shared store sends heartbeats to the
promoter, to detect its failure and to report unreachable primaries. Each proxy sends
them to the reader of the store that it follows, and to other members, to detect a
network partition; ``heartbeat_peers`` chooses these. The answers announce newer
configurations, servers and members, which the proxy then fetches.
"""

import collections

import msgspec

from cassiahill import (
    configuration_age,
    configuration_prover,
    errors,
    heartbeat_peers,
    heartbeat_reports,
    heartbeats,
    http1,
    member_registry,
    promoter_election,
    rate_heartbeats,
    reachability,
    store_follower,
)
from cassiahill.member_client import MemberClient
from cassiahill.regions import Regions
from cassiahill.shared_store import Revision

HEARTBEAT_INTERVAL_SECONDS = 0.4
HEARTBEAT_TIMEOUT_SECONDS = 0.4
# Interval of heartbeats to the promoter while connections await its confirmation.
STATEMENT_RETRY_SECONDS = 0.2
# Interval of questions for the promoter's role to a store that does not answer.
UNCONFIRMED_RETRY_SECONDS = 1.0
# A statement that was never confirmed is as old as this.
MAX_CONFIRMED_AGE_SECONDS = 1e6


class SessionFleet:
    """Heartbeats of this process in the fleet of session proxies.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    own_member : Member
    rng : random.Random
    process_state : process_state.ProcessState
    seed_addresses : iterable of (str, int)
        Proxies to ask for the deployment while the store does not answer.
    member_client : member_client.MemberClient or None
        None for the client that sends over the network.
    age : configuration_age.ConfigurationAge or None
        Age of the configuration; None if the deployment does not limit it.
    region_by_domain : dict of str to str, or None
        Region of each failure domain; None or empty without regions.

    Attributes
    ----------
    registry : member_registry.MemberRegistry
    reports : heartbeat_reports.HeartbeatReports
    follower : store_follower.StoreFollower
    election : PromoterElection
    peer_contacts : reachability.PeerContacts
    reference_failures : int
        Heartbeats that reference members did not answer; selects the next member.
    heartbeats_to_other_regions : int
        Number of heartbeats sent to other regions.
    """

    def __init__(
        self,
        loop,
        store,
        own_member,
        rng,
        process_state,
        seed_addresses=(),
        member_client=None,
        age=None,
        region_by_domain=None,
    ):
        self._loop = loop
        self._own_member = own_member
        self._rng = rng
        self._process_state = process_state
        self._seed_addresses = tuple(
            address for address in seed_addresses if address != own_member.address
        )
        self._client = member_client or MemberClient(loop)
        self._reference_partitioned = False
        self._age = age or configuration_age.ConfigurationAge(None, loop.clock.now())
        self._regions = Regions(own_member.failure_domain, region_by_domain or {})
        self.heartbeats_to_other_regions = 0
        self.peer_contacts = reachability.PeerContacts(
            own_member.failure_domain, loop.clock.now(), self._regions
        )
        self._last_tick_at = loop.clock.now()
        self._confirm_due_at = loop.clock.now()
        self._confirming = False
        self._asks_again = False
        self.reference_failures = 0
        self.reports = heartbeat_reports.HeartbeatReports()
        self.election = promoter_election.PromoterElection(
            loop,
            store,
            member_registry.PROXIES_KIND,
            own_member.name,
            lambda: self.follower.following.readers.domains_by_name,
        )
        self._rate_heartbeats = rate_heartbeats.RateHeartbeats(
            process_state, self.election, own_member.name
        )
        self.registry = member_registry.MemberRegistry(
            loop, store, own_member, self.election, rng, self._on_members_changed
        )
        self.follower = store_follower.StoreFollower(
            loop,
            store,
            own_member,
            self.registry,
            self._client,
            process_state,
            rng,
            self._regions,
        )
        self._prover = configuration_prover.ConfigurationProver(
            loop,
            self._age,
            store,
            self._store_role,
            process_state.verify_configuration,
            self._ask_peer_for_proof,
        )
        # The random delay lets the store answer before the first heartbeat and spreads
        # the heartbeats of proxies that start together.
        self._timer = loop.repeat(
            loop.clock.now() + HEARTBEAT_INTERVAL_SECONDS * rng.random(), self._tick
        )

    def peers_indicate_partition(self, now):
        """Return whether other domains are silent or the reference member says so."""
        return self._reference_partitioned or self.peer_contacts.is_partitioned(now)

    @property
    def members_by_name(self):
        """Registered proxies by name, as ``heartbeats.Member``."""
        return self.registry.members_by_name

    @property
    def members_known(self):
        """Whether a list of members has been read from the store or a peer."""
        return self.registry.revision > Revision()

    def view(self, known):
        """Return the ``View`` of this process for a peer, members included."""
        view = self._process_state.view(known)
        self.registry.add_to_view(view, known)
        return view

    def dump(self):
        """Return the members and the state of the election, as plain values."""
        return {
            "members": sorted(self.members_by_name),
            "members_revision": self.registry.revision.number,
            "members_era": self.registry.revision.era,
            "reads_store": self.follower.reads_store,
            "follows": self.follower.following.reader_to_ask(),
            **self.election.dump(),
        }

    def close(self):
        """Stop sending heartbeats and close the connections to members."""
        self.registry.close()
        self._prover.close()
        self._timer.cancel()
        self._client.close()

    def handle_heartbeat(self, body):
        """Return the response to a member's heartbeat.

        Parameters
        ----------
        body : bytes

        Raises
        ------
        errors.MalformedRequest
        """
        heartbeat = heartbeats.decode_heartbeat(body)
        now = self._loop.clock.now()
        self.reports.record(heartbeat, now)
        self._age.record_known(heartbeat.version, now)
        stated_proof = self._age.state_proof(now)
        version, servers_revision = self._process_state.versions()
        sender = self.members_by_name.get(heartbeat.name)
        if sender is not None:
            self.follower.catch_up_with(sender, heartbeat)
        return http1.json_response(
            heartbeats.HeartbeatAnswer(
                version,
                servers_revision.number,
                self.election.is_promoter,
                self._process_state.is_partitioned(),
                self.registry.revision.number,
                self.follower.store_answers(),
                self._total_demand_for(heartbeat),
                servers_revision.era,
                self.registry.revision.era,
                stated_proof.version,
                stated_proof.age_seconds,
                self._rate_heartbeats.answer(heartbeat.name, heartbeat.rate_report),
                self._process_state.draining_seconds() or msgspec.UNSET,
                self._settled_groups_for(heartbeat),
            )
        )

    def _settled_groups_for(self, heartbeat):
        """Return the statement for a member; unset if this is not the promoter."""
        if not self.election.is_promoter:
            return msgspec.UNSET
        now = self._loop.clock.now()
        settled = self._process_state.settled_groups()
        if heartbeat.awaiting is not msgspec.UNSET and not settled.keys().isdisjoint(
            heartbeat.awaiting
        ):
            self._confirm_promoter(now)
        return heartbeats.SettledGroups(
            {name: settled[name] for name in heartbeat.watched if name in settled},
            min(now - self.election.confirmed_at, MAX_CONFIRMED_AGE_SECONDS),
        )

    def _confirm_promoter(self, now):
        """Let the store confirm the promoter's role, unless it was asked just now.

        A statement needs it for connections that are newer than the last one.
        """
        if self._confirming or now < self._confirm_due_at:
            return
        self._confirming = True
        self._confirm_due_at = now + STATEMENT_RETRY_SECONDS
        self._loop.when_done(self.election.confirm_promoter(), self._on_confirmed)

    def _on_confirmed(self, _future):
        self._confirming = False
        now = self._loop.clock.now()
        if self.election.confirmed_at < now - promoter_election.CONFIRM_TIMEOUT_SECONDS:
            self._confirm_due_at = now + UNCONFIRMED_RETRY_SECONDS
        self._record_own_statement(now)

    def _record_own_statement(self, now):
        """Record this process's statement as the promoter for its own groups."""
        if self.election.is_promoter:
            self._process_state.record_settled_groups(
                self._process_state.settled_groups(), self.election.confirmed_at, now
            )

    def demand_by_domain(self, group):
        """Return the demand for a group by the failure domain of the proxies.

        It is known to the promoter only.
        """
        demand_by_domain = collections.Counter()
        for name, demand in self.reports.demand_by_member(group).items():
            member = self.members_by_name.get(name)
            if member is not None:
                demand_by_domain[member.failure_domain] += demand
        own_demand = self._process_state.demand_by_group().get(group, 0.0)
        demand_by_domain[self._own_member.failure_domain] += own_demand
        return dict(demand_by_domain)

    def other_members(self, names):
        """Return the registered members with these names, without this process."""
        return [
            member
            for name, member in self.members_by_name.items()
            if name in names and name != self._own_member.name
        ]

    def ask_about_promotion(self, member, notice, deadline):
        """Tell a member of a ``heartbeats.PromotionNotice``; a task.

        Returns
        -------
        heartbeats.NewestCommit
            Newest commit of the group that the member has seen acknowledged.

        Raises
        ------
        errors.CassiahillError
        """
        return self._client.ask_about_promotion(member.address, notice, deadline)

    def _total_demand_for(self, heartbeat):
        """Return the demand of all proxies for the groups that a member watches."""
        if not self.election.is_promoter:
            return {}
        totals = self.reports.total_demand_by_group
        return {group: totals[group] for group in heartbeat.watched if group in totals}

    def _on_members_changed(self):
        fleet_was_known = self.follower.following.fleet_known
        self.follower.update_members()
        if self.follower.following.fleet_known and not fleet_was_known:
            self._age.record_fleet_known(self._loop.clock.now())
        self._process_state.on_members_changed()
        self._loop.call_soon(self.announce_changes)

    def announce_changes(self):
        """Send a heartbeat to the followers of this domain if there is news for them.

        Without it they would learn of a change at their next heartbeat.
        """
        if not self.follower.has_news_to_announce():
            return
        for member in self.members_by_name.values():
            if member.failure_domain == self._own_member.failure_domain:
                self._start_heartbeat(member)

    # Heartbeats to the promoter and to other failure domains

    def _tick(self):
        """Send heartbeats, and claim the role of the promoter when that is due."""
        now = self._loop.clock.now()
        if now - self._last_tick_at > 2 * HEARTBEAT_INTERVAL_SECONDS:
            # This process was suspended, so missing answers do not show a failure.
            self.election.restart_timeout(now)
            self.follower.following.restart_timeout(now)
            self.peer_contacts.restart(now)
        if self._process_state.is_partitioned():
            # In a partition, missing answers do not show that the promoter failed.
            self.election.restart_timeout(now)
        self._last_tick_at = now
        self.follower.update(self.election.is_promoter, now)
        if self.election.is_promoter:
            self.election.restart_timeout(now)
            demand_by_group = self._process_state.demand_by_group()
            self.reports.update(demand_by_group, now)
            self._process_state.apply_total_demand(self.reports.total_demand_by_group)
            self._rate_heartbeats.exchange_own(now)
            self._record_own_statement(now)
            if self._process_state.groups_awaiting_confirmation():
                self._confirm_promoter(now)
        elif self._may_become_promoter():
            self._start_heartbeat(self._promoter_member())
            # Before the fleet is known, each process takes itself for the first
            # candidate, and all claims but one conflict.
            if self.follower.following.fleet_known:
                self.election.claim_if_due(now)
        else:
            self.election.restart_timeout(now)
        if not self.follower.following.is_reader():
            self._start_heartbeat(self._followed_member())
        self._start_heartbeat(self._process_state.reference_member())
        members = self.members_by_name.values()
        for choice in heartbeat_peers.usual_choices(
            members, self._regions, self._asks_other_regions()
        ):
            self._start_heartbeat(self._rng.choice(choice.members))
        if not self.members_known and self._seed_addresses:
            seed = self._rng.choice(self._seed_addresses)
            self._loop.spawn(self.follower.fetch_view(f"{seed[0]}:{seed[1]}", seed))
        if self._process_state.is_store_unreachable():
            other_members = heartbeat_peers.members_with_news(
                members, self._own_member, self._regions, self._asks_other_regions()
            )
            if other_members:
                self._start_heartbeat(self._rng.choice(other_members))
        jitter = 0.9 + 0.2 * self._rng.random()
        return now + HEARTBEAT_INTERVAL_SECONDS * jitter

    def _may_become_promoter(self):
        """Return whether this process sends heartbeats to the promoter.

        In a large fleet most proxies neither read the store nor reach a primary. Their
        heartbeats would only add load.
        """
        return (
            self.follower.reads_store
            or not self.follower.following.fleet_known
            or self.election.is_last_holder
            or bool(self._process_state.connected_groups())
        )

    def _followed_member(self):
        return self.members_by_name.get(self.follower.following.reader_to_ask())

    def _promoter_member(self):
        promoter = self.election.promoter
        return None if promoter is None else self.members_by_name.get(promoter.name)

    def _asks_other_regions(self):
        """Return whether this process sends heartbeats to other regions."""
        return heartbeat_peers.asks_other_regions(
            self.follower.following.readers,
            self._own_member.name,
            self._own_member.failure_domain,
        )

    def _store_role(self):
        """Return how early this process asks the store for a proof."""
        if self.election.is_promoter:
            return configuration_age.StoreRole.PROMOTER
        if self.follower.reads_store:
            return configuration_age.StoreRole.READER
        return configuration_age.StoreRole.FOLLOWER

    def _ask_peer_for_proof(self):
        """Send a heartbeat to a member of a random failure domain."""
        members_by_domain = {}
        for member in self.members_by_name.values():
            if member.name != self._own_member.name:
                members_by_domain.setdefault(member.failure_domain, []).append(member)
        if members_by_domain:
            domain = self._rng.choice(sorted(members_by_domain))
            self._start_heartbeat(self._rng.choice(members_by_domain[domain]))

    def _start_heartbeat(self, member):
        if member is not None and member.name != self._own_member.name:
            if not self._regions.is_same_region(member.failure_domain):
                self.heartbeats_to_other_regions += 1
            self._loop.spawn(self._exchange_heartbeat(member))

    def _exchange_heartbeat(self, member):
        """Send a heartbeat to a member and handle the answer; a task."""
        version, servers_revision = self._process_state.versions()
        heartbeat = heartbeats.Heartbeat(
            self._own_member.name,
            version,
            servers_revision.number,
            self._process_state.groups_without_primary(),
            self._process_state.connected_groups(),
            self.registry.revision.number,
            self.follower.store_answers(),
            self._process_state.demand_by_group(),
            servers_revision.era,
            self.registry.revision.era,
            self._rate_heartbeats.report_for(member),
            self._process_state.groups_awaiting_confirmation() or msgspec.UNSET,
        )
        asked_at = self._loop.clock.now()
        deadline = asked_at + HEARTBEAT_TIMEOUT_SECONDS
        try:
            response_future = self._client.send_heartbeat(
                member.address, msgspec.json.encode(heartbeat), deadline
            )
            if response_future is None:
                return
            response = yield response_future
            heartbeat_answer = heartbeats.decode_heartbeat_answer(response.body)
        except errors.CassiahillError:
            # ``PromoterElection`` acts on the time since the last answer.
            self._record_contact(member, answered=False)
            self.follower.following.record_failure(member.name, self._loop.clock.now())
            reference = self._process_state.reference_member()
            if reference is not None and reference.name == member.name:
                self.reference_failures += 1
            return
        self._record_contact(member, answered=True)
        self._age.record_known(heartbeat_answer.version, self._loop.clock.now())
        self._age.record_peer_proof(
            heartbeat_answer.proved_version, heartbeat_answer.proof_age, asked_at
        )
        if heartbeat_answer.draining_seconds_by_id is not msgspec.UNSET:
            self._process_state.record_draining(heartbeat_answer.draining_seconds_by_id)
        reference = self._process_state.reference_member()
        if reference is not None and reference.name == member.name:
            self._reference_partitioned = heartbeat_answer.cut_off
        promoter = self.election.promoter
        if promoter is not None and promoter.name == member.name:
            if heartbeat_answer.promoter:
                self.election.restart_timeout(self._loop.clock.now())
                self._process_state.apply_total_demand(
                    heartbeat_answer.total_demand_by_group
                )
                self._record_settled(member, heartbeat_answer.settled, asked_at)
                reports_again = self._rate_heartbeats.apply_answer(
                    member.name, heartbeat_answer.rate_answer, asked_at
                )
                if reports_again:
                    self._loop.call_soon(self._start_heartbeat, member)
            else:
                self.election.record_resignation(self._loop.clock.now())
        if member.name == self.follower.following.reader_to_ask():
            self.follower.following.record_answer(
                member.name, heartbeat_answer.reads_store, self._loop.clock.now()
            )
        self.follower.catch_up_with(member, heartbeat_answer)

    def _record_settled(self, promoter, settled, asked_at):
        """Record the promoter's statement, and ask again soon if it does not do."""
        known_promoter = self.election.promoter
        if (
            settled is msgspec.UNSET
            or known_promoter is None
            or known_promoter.revision < self.election.newest_term
        ):
            return
        self._process_state.record_settled_groups(
            settled.server_ids_by_group, asked_at - settled.confirmed_age, asked_at
        )
        awaiting = self._process_state.groups_awaiting_confirmation()
        is_soon_confirmed = not settled.server_ids_by_group.keys().isdisjoint(awaiting)
        if is_soon_confirmed and not self._asks_again:
            self._asks_again = True
            retry_at = self._loop.clock.now() + STATEMENT_RETRY_SECONDS
            self._loop.call_at(retry_at, lambda: self._ask_for_confirmation(promoter))

    def _ask_for_confirmation(self, promoter):
        self._asks_again = False
        self._start_heartbeat(promoter)

    def _record_contact(self, member, answered):
        """Record whether a member answered; ask other domains if one did not."""
        asks_others = self.peer_contacts.record(
            member.failure_domain, answered, self._loop.clock.now()
        )
        if not asks_others:
            return
        for choice in heartbeat_peers.confirmation_choices(
            self.members_by_name.values(), self._regions
        ):
            for other in self._rng.sample(choice.members, choice.count):
                self._start_heartbeat(other)
