"""The session proxies of a deployment: who they are, and what they tell each other.

Each proxy registers itself in the shared store. It sends pulses to the promoter, to see
that it lives and to report lost primaries, and to peers, to see whether it is cut off.
The answers also tell of a newer configuration when the store turns the proxy away.
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
from cassiahill.heartbeats import MEMBER_PREFIX, PULSE_PATH, VIEW_PATH

KIND = "proxies"
PULSE_SECONDS = 0.4
PULSE_TIMEOUT_SECONDS = 0.4
REPORT_LIFE_SECONDS = 1.2
REGISTER_SECONDS = 1.0  # Between two attempts to write the own entry.
# All proxies register at the same time, and each change ends the watches of all.
WATCH_PAUSE_SECONDS = 2.0
LONELY_SECONDS = 1.2  # Three pulses.


class LocalState:
    """What the process tells its fleet, and what the fleet tells the process."""

    def versions(self):
        """Return the version of the configuration and the revision of the servers."""
        raise NotImplementedError

    def watched_groups(self):
        """Return the groups whose servers this process is connected to."""
        raise NotImplementedError

    def lacking_groups(self):
        """Return those of them whose primary it does not reach."""
        raise NotImplementedError

    def is_partitioned(self):
        """Return whether this process is cut off from the other failure domains."""
        raise NotImplementedError

    def view(self):
        """Return the ``View`` of configuration and servers for a peer."""
        raise NotImplementedError

    def store_is_away(self):
        """Return whether the store gives this process no answers."""
        raise NotImplementedError

    def guide(self):
        """Return a member whose contacts stand for one's own, or None."""
        raise NotImplementedError

    def take_view(self, view, peer):
        """Take a ``View`` of a peer that is newer in part."""
        raise NotImplementedError

    def members_changed(self):
        """Take note that members have come or gone."""
        raise NotImplementedError


class SessionFleet:
    """The part of one process among the session proxies.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    own : Member
    rng : random.Random
    local : LocalState
    seed_addresses : iterable of (str, int)
        Proxies to ask for the deployment while the store gives no answers.
    """

    def __init__(self, loop, store, own, rng, local, seed_addresses=()):
        self._loop = loop
        self._store = store
        self._own = own
        self._rng = rng
        self._local = local
        self._seed_addresses = tuple(
            address for address in seed_addresses if address != own.address
        )
        self._clients_by_address = {}
        self._reports_by_name = {}
        self._reported_since_by_group = {}
        self._registering = False
        self._answered_at = loop.clock.now()
        self._guide_cut_off = False
        self._contacts_by_domain = {}
        self._members_from_peer = False
        self._woken_at = loop.clock.now()
        self._closed = False
        self.silent_guides = 0  # Moves on to the next guide.
        self.members_by_name = {}
        self.place = promoter_election.PromoterPlace(
            loop, store, KIND, own.name, lambda: self.members_by_name
        )
        self.follower = store_watcher.KindFollower(
            loop,
            store,
            KIND,
            rng,
            self._take_snapshot,
            self._take_change,
            WATCH_PAUSE_SECONDS,
        )
        self._timer = None
        # By then the store has answered, and proxies that started together spread out.
        loop.call_at(loop.clock.now() + PULSE_SECONDS * rng.random(), self._tick)

    def peers_are_cut_off(self, now):
        """Return whether the guide is cut off, or no peer answers."""
        return self._guide_cut_off or now - self._answered_at > LONELY_SECONDS

    @property
    def members_are_known(self):
        """Whether a list of the members has been read."""
        return self.follower.revision > 0 or self._members_from_peer

    def view(self):
        """Return what this process knows, for a peer."""
        view = self._local.view()
        view.members = {
            MEMBER_PREFIX + name: heartbeats.encode_member(member)
            for name, member in self.members_by_name.items()
        }
        return view

    def contacts(self):
        """Return what is known of the paths to other failure domains."""
        return [
            reachability.Contact(domain, answered_at, failing)
            for domain, (answered_at, failing) in self._contacts_by_domain.items()
        ]

    def reported_since(self, group):
        """Return since when many proxies lack the group's primary, or None."""
        return self._reported_since_by_group.get(group)

    def dump(self):
        """Return the state as plain values."""
        return {
            "members": sorted(self.members_by_name),
            **self.place.dump(),
        }

    def close(self):
        """Stop taking part."""
        self._closed = True
        self.follower.close()
        if self._timer is not None:
            self._timer.cancel()
        for client in self._clients_by_address.values():
            client.close()

    def answer(self, body):
        """Return the response to a peer's pulse.

        Raises
        ------
        errors.MalformedRequest
        """
        pulse = heartbeats.decode_pulse(body)
        now = self._loop.clock.now()
        self._reports_by_name[pulse.name] = (now, pulse)
        version, revision = self._local.versions()
        if pulse.version > version:
            member = self.members_by_name.get(pulse.name)
            if member is not None:
                self._loop.spawn(self._fetch_view(member.name, member.address))
        return http1.json_response(
            heartbeats.PulseAnswer(
                version, revision, self.place.is_promoter, self._local.is_partitioned()
            )
        )

    # Members and promoter, as the store has them

    def _take_snapshot(self, snapshot):
        self.members_by_name = {}
        for stored in snapshot.objects:
            self._take_stored(stored)
        if all(one.name != promoter_election.PROMOTER_NAME for one in snapshot.objects):
            self.place.take_deletion()
        self._local.members_changed()
        self._register_if_needed(snapshot)

    def _take_change(self, change):
        if not change.deleted:
            self._take_stored(change.stored)
        elif change.stored.name == promoter_election.PROMOTER_NAME:
            self.place.take_deletion()
        else:
            name = change.stored.name.removeprefix(MEMBER_PREFIX)
            self.members_by_name.pop(name, None)
            if name == self._own.name:
                self._loop.spawn(self._register(None))
        self._local.members_changed()

    def _take_stored(self, stored):
        if stored.name == promoter_election.PROMOTER_NAME:
            self.place.take_stored(stored)
            return
        member = heartbeats.decode_member(stored.name, stored.value)
        if member is not None:
            self.members_by_name[member.name] = member

    def _register_if_needed(self, snapshot):
        if self.members_by_name.get(self._own.name) == self._own:
            return
        name = MEMBER_PREFIX + self._own.name
        revisions = [one.revision for one in snapshot.objects if one.name == name]
        self._loop.spawn(self._register(revisions[0] if revisions else None))

    def _register(self, revision):
        """Write the own entry, again and again until the store has it."""
        if self._registering:
            return
        self._registering = True
        name = MEMBER_PREFIX + self._own.name
        value = heartbeats.encode_member(self._own)
        while not self._closed:
            try:
                if revision is None:
                    yield self._store.create(KIND, name, value)
                else:
                    yield self._store.replace(KIND, name, value, revision)
                break
            except errors.CassiahillError as error:
                event_log.event("registration_failed", cause=error.detail)
            yield self._loop.sleep_until(self._loop.clock.now() + REGISTER_SECONDS)
            try:
                # The entry may be there: a write without an answer may have succeeded.
                stored = yield self._store.get(KIND, name)
            except errors.CassiahillError as error:
                event_log.event("registration_failed", cause=error.detail)
                continue
            if stored is not None and stored.value == value:
                break
            revision = None if stored is None else stored.revision
        self.members_by_name[self._own.name] = self._own
        self._registering = False

    # Pulses

    def _tick(self):
        if self._closed:
            return
        now = self._loop.clock.now()
        if now - self._woken_at > 2 * PULSE_SECONDS:
            # This process stood still: the silence of others proves nothing.
            self.place.heard(now)
            self._answered_at = now
            self._contacts_by_domain.clear()
        if self._local.is_partitioned():
            # Behind a cut, the promoter's silence proves nothing.
            self.place.heard(now)
        self._woken_at = now
        if self.place.is_promoter:
            self.place.heard(now)
            self._collect_reports(now)
        else:
            self._send_pulse(self._promoter_member())
            if self.follower.revision:
                self.place.consider_claim(now)
        self._send_pulse(self._local.guide())
        self._send_pulse(self._member_elsewhere())
        if not self.members_are_known and self._seed_addresses:
            seed = self._rng.choice(self._seed_addresses)
            self._loop.spawn(self._fetch_view(f"{seed[0]}:{seed[1]}", seed))
        if self._local.store_is_away():
            others = [one for one in self.members_by_name.values() if one != self._own]
            if others:
                self._send_pulse(self._rng.choice(others))
        jitter = 0.9 + 0.2 * self._rng.random()
        self._timer = self._loop.call_at(now + PULSE_SECONDS * jitter, self._tick)

    def _promoter_member(self):
        promoter = self.place.promoter
        return None if promoter is None else self.members_by_name.get(promoter.name)

    def _member_elsewhere(self):
        """Return a member of another failure domain, a different one each time."""
        others = [
            member
            for member in self.members_by_name.values()
            if member.failure_domain != self._own.failure_domain
        ]
        return self._rng.choice(others) if others else None

    def _send_pulse(self, member):
        if member is not None and member.name != self._own.name:
            self._loop.spawn(self._pulse(member))

    def _pulse(self, member):
        version, revision = self._local.versions()
        pulse = heartbeats.Pulse(
            self._own.name,
            version,
            revision,
            self._local.lacking_groups(),
            self._local.watched_groups(),
        )
        deadline = self._loop.clock.now() + PULSE_TIMEOUT_SECONDS
        try:
            client = self._client(member.address)
            if client.busy:
                return
            response = yield client.request(
                "POST", PULSE_PATH, msgspec.json.encode(pulse), (), deadline
            )
            answer = heartbeats.decode_answer(response.body)
        except errors.CassiahillError:
            # The silence itself is what counts; see ``PromoterPlace``.
            self._note_contact(member, answered=False)
            guide = self._local.guide()
            if guide is not None and guide.name == member.name:
                self.silent_guides += 1
            return
        self._answered_at = self._loop.clock.now()
        self._note_contact(member, answered=True)
        guide = self._local.guide()
        if guide is not None and guide.name == member.name:
            self._guide_cut_off = answer.cut_off
        promoter = self.place.promoter
        if promoter is not None and promoter.name == member.name:
            if answer.promoter:
                self.place.heard(self._loop.clock.now())
            else:
                self.place.released(self._loop.clock.now())
        newer_servers = (
            answer.servers_revision > revision and self._local.store_is_away()
        )
        if answer.version > version or newer_servers:
            yield from self._fetch_view(member.name, member.address)

    def _note_contact(self, member, answered):
        now = self._loop.clock.now()
        answered_at, _ = self._contacts_by_domain.get(
            member.failure_domain, (now, False)
        )
        if answered:
            answered_at = now
        self._contacts_by_domain[member.failure_domain] = (answered_at, not answered)

    def _fetch_view(self, name, address):
        deadline = self._loop.clock.now() + 2 * PULSE_TIMEOUT_SECONDS
        try:
            client = http1.ClientConnection(self._loop, address)
            response = yield client.request("GET", VIEW_PATH, b"", (), deadline)
            view = heartbeats.decode_view(response.body)
            client.close()
        except errors.CassiahillError as error:
            event_log.event("view_failed", peer=name, cause=repr(error))
            return
        self._local.take_view(view, name)
        if not self.members_are_known and view.members:
            self._members_from_peer = True
            for stored_name, value in view.members.items():
                member = heartbeats.decode_member(stored_name, value)
                if member is not None:
                    self.members_by_name[member.name] = member
            self._local.members_changed()

    def _client(self, address):
        client = self._clients_by_address.get(address)
        if client is None or client.closed:
            client = http1.ClientConnection(self._loop, address)
            self._clients_by_address[address] = client
        return client

    def _collect_reports(self, now):
        fresh = [
            pulse
            for at, pulse in self._reports_by_name.values()
            if now - at < REPORT_LIFE_SECONDS
        ]
        groups = {group for pulse in fresh for group in pulse.lacking}
        for group in groups | set(self._reported_since_by_group):
            lacking = sum(group in pulse.lacking for pulse in fresh)
            watching = 1 + sum(group in pulse.watched for pulse in fresh)
            if lacking / watching >= takeover.UNREACHABLE_REPORTS_SHARE:
                self._reported_since_by_group.setdefault(group, now)
            else:
                self._reported_since_by_group.pop(group, None)
