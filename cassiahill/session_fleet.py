"""Membership and heartbeats of the session proxies of a deployment.

Each proxy registers itself in the shared store. It sends heartbeats to the promoter, to
detect its failure and to report unreachable primaries, and to other members, to detect
a network partition. The answers also announce newer configurations and, for a proxy
that the store does not answer, newer server lists, which it then fetches.
"""

import msgspec

from cassiahill import (
    errors,
    event_log,
    heartbeats,
    http1,
    promoter_election,
    reachability,
    store_watcher,
    takeover,
)
from cassiahill.heartbeats import HEARTBEAT_PATH, MEMBER_PREFIX, VIEW_PATH

PROXIES_KIND = "proxies"
HEARTBEAT_INTERVAL_SECONDS = 0.4
HEARTBEAT_TIMEOUT_SECONDS = 0.4
REPORT_MAX_AGE_SECONDS = 1.2
REGISTRATION_RETRY_SECONDS = 1.0
# Proxies that start together register at the same time, and each registration ends the
# watches of all.
WATCH_PAUSE_SECONDS = 2.0
PEERS_UNREACHABLE_SECONDS = 1.2  # Three heartbeat intervals.


class ProcessState:
    """Interface between ``SessionFleet`` and the rest of the process."""

    def versions(self):
        """Return the version of the configuration and the revision of the servers."""
        raise NotImplementedError

    def connected_groups(self):
        """Return the groups whose servers this process is connected to."""
        raise NotImplementedError

    def groups_without_primary(self):
        """Return the connected groups whose primary this process does not reach."""
        raise NotImplementedError

    def is_partitioned(self):
        """Return whether this process does not reach the other failure domains."""
        raise NotImplementedError

    def view(self):
        """Return the ``View`` of configuration and servers for a peer."""
        raise NotImplementedError

    def is_store_unreachable(self):
        """Return whether the store does not answer this process."""
        raise NotImplementedError

    def reference_member(self):
        """Return the member to ask whether this failure domain is partitioned, or None.

        A process without connections to servers cannot detect a partition by itself.
        """
        raise NotImplementedError

    def apply_view(self, view, peer):
        """Take over what is newer in a peer's ``View``."""
        raise NotImplementedError

    def on_members_changed(self):
        """Handle a change of the registered members."""
        raise NotImplementedError


class SessionFleet:
    """Membership of this process in the fleet of session proxies.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    own_member : Member
    rng : random.Random
    process_state : ProcessState
    seed_addresses : iterable of (str, int)
        Proxies to ask for the deployment while the store does not answer.

    Attributes
    ----------
    members_by_name : dict of str to Member
        Registered proxies.
    election : PromoterElection
    watcher : StoreWatcher
    reference_failures : int
        Heartbeats that reference members did not answer; selects the next member.
    """

    def __init__(self, loop, store, own_member, rng, process_state, seed_addresses=()):
        self._loop = loop
        self._store = store
        self._own_member = own_member
        self._rng = rng
        self._process_state = process_state
        self._seed_addresses = tuple(
            address for address in seed_addresses if address != own_member.address
        )
        self._connections_by_address = {}
        self._heartbeats_by_member = {}
        self._reported_since_by_group = {}
        self._registering = False
        self._peer_answered_at = loop.clock.now()
        self._reference_partitioned = False
        self._contacts_by_domain = {}
        self._members_read_from_peer = False
        self._last_tick_at = loop.clock.now()
        self._closed = False
        self.reference_failures = 0
        self.members_by_name = {}
        self.election = promoter_election.PromoterElection(
            loop, store, PROXIES_KIND, own_member.name, lambda: self.members_by_name
        )
        self.watcher = store_watcher.StoreWatcher(
            loop,
            store,
            PROXIES_KIND,
            rng,
            self._apply_snapshot,
            self._apply_change,
            WATCH_PAUSE_SECONDS,
        )
        self._timer = None
        # The random delay lets the store answer before the first heartbeat and spreads
        # the heartbeats of proxies that start together.
        loop.call_at(
            loop.clock.now() + HEARTBEAT_INTERVAL_SECONDS * rng.random(), self._tick
        )

    def peers_indicate_partition(self, now):
        """Return whether no member answers or the reference member is partitioned."""
        return (
            self._reference_partitioned
            or now - self._peer_answered_at > PEERS_UNREACHABLE_SECONDS
        )

    @property
    def members_known(self):
        """Whether a list of members has been read from the store or a peer."""
        return self.watcher.revision > 0 or self._members_read_from_peer

    def view(self):
        """Return the ``View`` of this process for a peer, members included."""
        view = self._process_state.view()
        view.members = {
            MEMBER_PREFIX + name: heartbeats.encode_member(member)
            for name, member in self.members_by_name.items()
        }
        return view

    def contacts(self):
        """Return one ``reachability.Contact`` for each failure domain contacted."""
        return [
            reachability.Contact(domain, answered_at, failing)
            for domain, (answered_at, failing) in self._contacts_by_domain.items()
        ]

    def primary_reported_unreachable_since(self, group):
        """Return the instant since which many proxies do not reach a group's primary.

        Returns
        -------
        float or None
            None when no large share of the proxies reports it.
        """
        return self._reported_since_by_group.get(group)

    def dump(self):
        """Return the members and the state of the election, as plain values."""
        return {
            "members": sorted(self.members_by_name),
            **self.election.dump(),
        }

    def close(self):
        """Stop sending heartbeats and close the connections to members."""
        self._closed = True
        self.watcher.close()
        if self._timer is not None:
            self._timer.cancel()
        for connection in self._connections_by_address.values():
            connection.close()

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
        self._heartbeats_by_member[heartbeat.name] = (now, heartbeat)
        version, revision = self._process_state.versions()
        if heartbeat.version > version:
            member = self.members_by_name.get(heartbeat.name)
            if member is not None:
                self._loop.spawn(self._fetch_view(member.name, member.address))
        return http1.json_response(
            heartbeats.HeartbeatAnswer(
                version,
                revision,
                self.election.is_promoter,
                self._process_state.is_partitioned(),
            )
        )

    # Members and promoter in the store

    def _apply_snapshot(self, snapshot):
        self.members_by_name = {}
        for stored in snapshot.objects:
            self._apply_stored(stored)
        if all(
            stored.name != promoter_election.PROMOTER_NAME
            for stored in snapshot.objects
        ):
            self.election.record_deletion()
        self._process_state.on_members_changed()
        self._register_if_changed(snapshot)

    def _apply_change(self, change):
        if not change.deleted:
            self._apply_stored(change.stored)
        elif change.stored.name == promoter_election.PROMOTER_NAME:
            self.election.record_deletion()
        else:
            name = change.stored.name.removeprefix(MEMBER_PREFIX)
            self.members_by_name.pop(name, None)
            if name == self._own_member.name:
                self._loop.spawn(self._register_own_member(None))
        self._process_state.on_members_changed()

    def _apply_stored(self, stored):
        if stored.name == promoter_election.PROMOTER_NAME:
            self.election.apply_stored(stored)
            return
        member = heartbeats.decode_member(stored.name, stored.value)
        if member is not None:
            self.members_by_name[member.name] = member

    def _register_if_changed(self, snapshot):
        if self.members_by_name.get(self._own_member.name) == self._own_member:
            return
        name = MEMBER_PREFIX + self._own_member.name
        revisions = [
            stored.revision for stored in snapshot.objects if stored.name == name
        ]
        self._loop.spawn(self._register_own_member(revisions[0] if revisions else None))

    def _register_own_member(self, revision):
        """Write this process's entry, with retries until the store has it.

        Parameters
        ----------
        revision : int or None
            Revision of the entry to replace; None to create it.
        """
        if self._registering:
            return
        self._registering = True
        name = MEMBER_PREFIX + self._own_member.name
        value = heartbeats.encode_member(self._own_member)
        while not self._closed:
            try:
                if revision is None:
                    yield self._store.create(PROXIES_KIND, name, value)
                else:
                    yield self._store.replace(PROXIES_KIND, name, value, revision)
                break
            except errors.CassiahillError as error:
                event_log.event("registration_failed", cause=error.detail)
            yield self._loop.sleep_until(
                self._loop.clock.now() + REGISTRATION_RETRY_SECONDS
            )
            try:
                # An unanswered write may have succeeded.
                stored = yield self._store.get(PROXIES_KIND, name)
            except errors.CassiahillError as error:
                event_log.event("registration_failed", cause=error.detail)
                continue
            if stored is not None and stored.value == value:
                break
            revision = None if stored is None else stored.revision
        self.members_by_name[self._own_member.name] = self._own_member
        self._registering = False

    # Heartbeats to the promoter and to other failure domains

    def _tick(self):
        """Send heartbeats, and claim the role of the promoter when that is due."""
        if self._closed:
            return
        now = self._loop.clock.now()
        if now - self._last_tick_at > 2 * HEARTBEAT_INTERVAL_SECONDS:
            # This process was suspended, so missing answers do not show a failure.
            self.election.restart_timeout(now)
            self._peer_answered_at = now
            self._contacts_by_domain.clear()
        if self._process_state.is_partitioned():
            # In a partition, missing answers do not show that the promoter failed.
            self.election.restart_timeout(now)
        self._last_tick_at = now
        if self.election.is_promoter:
            self.election.restart_timeout(now)
            self._update_primary_reports(now)
        else:
            self._start_heartbeat(self._promoter_member())
            if self.watcher.revision:
                self.election.claim_if_due(now)
        self._start_heartbeat(self._process_state.reference_member())
        self._start_heartbeat(self._random_member_of_other_domain())
        if not self.members_known and self._seed_addresses:
            seed = self._rng.choice(self._seed_addresses)
            self._loop.spawn(self._fetch_view(f"{seed[0]}:{seed[1]}", seed))
        if self._process_state.is_store_unreachable():
            other_members = [
                member
                for member in self.members_by_name.values()
                if member != self._own_member
            ]
            if other_members:
                self._start_heartbeat(self._rng.choice(other_members))
        jitter = 0.9 + 0.2 * self._rng.random()
        self._timer = self._loop.call_at(
            now + HEARTBEAT_INTERVAL_SECONDS * jitter, self._tick
        )

    def _promoter_member(self):
        promoter = self.election.promoter
        return None if promoter is None else self.members_by_name.get(promoter.name)

    def _random_member_of_other_domain(self):
        """Return a random member of another failure domain, or None."""
        other_members = [
            member
            for member in self.members_by_name.values()
            if member.failure_domain != self._own_member.failure_domain
        ]
        return self._rng.choice(other_members) if other_members else None

    def _start_heartbeat(self, member):
        if member is not None and member.name != self._own_member.name:
            self._loop.spawn(self._exchange_heartbeat(member))

    def _exchange_heartbeat(self, member):
        """Send a heartbeat to a member and handle the answer; a task."""
        version, revision = self._process_state.versions()
        heartbeat = heartbeats.Heartbeat(
            self._own_member.name,
            version,
            revision,
            self._process_state.groups_without_primary(),
            self._process_state.connected_groups(),
        )
        deadline = self._loop.clock.now() + HEARTBEAT_TIMEOUT_SECONDS
        try:
            connection = self._connection_to(member.address)
            if connection.busy:
                return
            response = yield connection.request(
                "POST", HEARTBEAT_PATH, msgspec.json.encode(heartbeat), (), deadline
            )
            heartbeat_answer = heartbeats.decode_heartbeat_answer(response.body)
        except errors.CassiahillError:
            # ``PromoterElection`` acts on the time since the last answer.
            self._record_contact(member, answered=False)
            reference = self._process_state.reference_member()
            if reference is not None and reference.name == member.name:
                self.reference_failures += 1
            return
        self._peer_answered_at = self._loop.clock.now()
        self._record_contact(member, answered=True)
        reference = self._process_state.reference_member()
        if reference is not None and reference.name == member.name:
            self._reference_partitioned = heartbeat_answer.cut_off
        promoter = self.election.promoter
        if promoter is not None and promoter.name == member.name:
            if heartbeat_answer.promoter:
                self.election.restart_timeout(self._loop.clock.now())
            else:
                self.election.record_resignation(self._loop.clock.now())
        newer_servers = (
            heartbeat_answer.servers_revision > revision
            and self._process_state.is_store_unreachable()
        )
        if heartbeat_answer.version > version or newer_servers:
            yield from self._fetch_view(member.name, member.address)

    def _record_contact(self, member, answered):
        """Record whether a member of a failure domain answered a heartbeat."""
        now = self._loop.clock.now()
        answered_at, _ = self._contacts_by_domain.get(
            member.failure_domain, (now, False)
        )
        if answered:
            answered_at = now
        self._contacts_by_domain[member.failure_domain] = (answered_at, not answered)

    def _fetch_view(self, name, address):
        """Fetch a member's ``View`` and apply it; a task."""
        deadline = self._loop.clock.now() + 2 * HEARTBEAT_TIMEOUT_SECONDS
        try:
            connection = http1.ClientConnection(self._loop, address)
            response = yield connection.request("GET", VIEW_PATH, b"", (), deadline)
            view = heartbeats.decode_view(response.body)
            connection.close()
        except errors.CassiahillError as error:
            event_log.event("view_failed", peer=name, cause=repr(error))
            return
        self._process_state.apply_view(view, name)
        if not self.members_known and view.members:
            self._members_read_from_peer = True
            for stored_name, value in view.members.items():
                member = heartbeats.decode_member(stored_name, value)
                if member is not None:
                    self.members_by_name[member.name] = member
            self._process_state.on_members_changed()

    def _connection_to(self, address):
        connection = self._connections_by_address.get(address)
        if connection is None or connection.closed:
            connection = http1.ClientConnection(self._loop, address)
            self._connections_by_address[address] = connection
        return connection

    def _update_primary_reports(self, now):
        """Update since when many proxies report each primary as unreachable."""
        recent_heartbeats = [
            heartbeat
            for received_at, heartbeat in self._heartbeats_by_member.values()
            if now - received_at < REPORT_MAX_AGE_SECONDS
        ]
        groups = {
            group for heartbeat in recent_heartbeats for group in heartbeat.lacking
        }
        for group in groups | set(self._reported_since_by_group):
            unreachable_count = sum(
                group in heartbeat.lacking for heartbeat in recent_heartbeats
            )
            connected_count = 1 + sum(
                group in heartbeat.watched for heartbeat in recent_heartbeats
            )
            if (
                unreachable_count / connected_count
                >= takeover.UNREACHABLE_REPORTS_SHARE
            ):
                self._reported_since_by_group.setdefault(group, now)
            else:
                self._reported_since_by_group.pop(group, None)
