"""The session proxies of a deployment: who they are, and which one orders promotions.

Each proxy registers itself in the shared store. One object there names the promoter,
the only proxy that orders promotions; its revision gives the fencing token. Every proxy
sends pulses to the promoter, also to learn of a newer configuration when the store
turns it away. When the promoter is silent, the next proxy takes its place with a
conditional write. A promoter that still acts is then refused by its lower token.
"""

import attrs
import msgspec
import xxhash

from cassiahill import errors, eventlog, following, http1, reachability, takeover

KIND = "proxies"
MEMBER_PREFIX = "proxy."
PROMOTER_NAME = "promoter"
PULSE_PATH = "/v1/pulse"
VIEW_PATH = "/v1/view"
PULSE_SECONDS = 0.4
PULSE_TIMEOUT_SECONDS = 0.4
SILENT_SECONDS = 1.3  # Three pulses; a restart of the promoter takes longer.
RANK_SECONDS = 0.4  # The next proxy waits this long for the one before it.
FIRST_RANK_SECONDS = 0.05
REPORT_LIFE_SECONDS = 1.2
RESIGNED_SECONDS = 3.0
REGISTER_SECONDS = 1.0  # Between two attempts to write the own entry.
# All proxies register at the same time, and each change ends the watches of all.
WATCH_PAUSE_SECONDS = 2.0
LONELY_SECONDS = 1.2  # Three pulses.
CONFIRM_SECONDS = 0.25  # The store answers in milliseconds when it answers.
# One token for each order of a promoter: its tokens stay below the next promoter's.
TOKENS_PER_REVISION = 1000


class Pulse(msgspec.Struct):
    """What a proxy tells the promoter, or a peer while the store is away.

    ``watched`` names the groups whose servers it is connected to, and ``lacking`` those
    of them whose primary it does not reach.
    """

    name: str
    version: int
    servers_revision: int
    lacking: list[str] = []
    watched: list[str] = []


class PulseAnswer(msgspec.Struct):
    """Answer to a pulse."""

    version: int
    servers_revision: int
    promoter: bool
    cut_off: bool = False


class View(msgspec.Struct):
    """What a proxy has learned from the shared store, as it was written there."""

    configuration: object
    servers_revision: int
    servers: dict[str, object]
    members: dict[str, object] = {}


_pulse_decoder = msgspec.json.Decoder(Pulse)
_answer_decoder = msgspec.json.Decoder(PulseAnswer)
_view_decoder = msgspec.json.Decoder(View)


@attrs.frozen
class Member:
    """A registered proxy.

    Attributes
    ----------
    name : str
    address : tuple of (str, int)
        For pulses.
    relay_address : tuple of (str, int)
        For sessions that other proxies relay there.
    failure_domain : str
    incarnation : str
        Differs for each start of the process.
    """

    name: str
    address: tuple
    relay_address: tuple
    failure_domain: str
    incarnation: str


@attrs.frozen
class Promoter:
    """The proxy that orders promotions, as the store names it."""

    name: str
    incarnation: str
    revision: int


@attrs.define
class Tokens:
    """Fencing tokens of one promoter's term; each is given once."""

    revision: int
    given: int = 0

    def take(self):
        """Return the next token, or None when the term has none left."""
        if self.given >= TOKENS_PER_REVISION - 1:
            return None
        self.given += 1
        return self.revision * TOKENS_PER_REVISION + self.given


def _encode_member(member):
    return {
        "address": list(member.address),
        "relay_address": list(member.relay_address),
        "failure_domain": member.failure_domain,
        "incarnation": member.incarnation,
    }


def _decode_member(stored_name, value):
    """Return the member that an object describes, or None for another writer's."""
    if not stored_name.startswith(MEMBER_PREFIX):
        return None
    try:
        return Member(
            stored_name.removeprefix(MEMBER_PREFIX),
            (str(value["address"][0]), int(value["address"][1])),
            (str(value["relay_address"][0]), int(value["relay_address"][1])),
            str(value["failure_domain"]),
            str(value["incarnation"]),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        eventlog.event("member_unreadable", name=stored_name, cause=repr(error))
        return None


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

    def is_cut_off(self):
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
    store : sharedstore.SharedStore
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
        self._tokens = None
        self._claiming = False
        self._registering = False
        self._heard_at = loop.clock.now()
        self._answered_at = loop.clock.now()
        self._guide_cut_off = False
        self._contacts_by_domain = {}
        self._members_from_peer = False
        self._resigned_until = float("-inf")
        self._woken_at = loop.clock.now()
        self._closed = False
        self.leaving = False
        self.silent_guides = 0  # Moves on to the next guide.
        self.members_by_name = {}
        self.promoter = None
        self.follower = following.KindFollower(
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

    @property
    def is_promoter(self):
        """Whether this process may order promotions, as far as it knows."""
        resigned = self._loop.clock.now() < self._resigned_until
        return self._tokens is not None and not self.leaving and not resigned

    def next_token(self):
        """Return a fencing token for one order, or None."""
        return self._tokens.take() if self.is_promoter else None

    def confirm(self):
        """Return the future of whether the store still names this process.

        Without an answer of the store the process goes on with the tokens that it
        has: a successor's orders carry higher ones.
        """
        return self._loop.spawn(self._confirm())

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
            MEMBER_PREFIX + name: _encode_member(member)
            for name, member in self.members_by_name.items()
        }
        return view

    def resign(self):
        """Let another proxy order promotions, because this one cannot."""
        if self.is_promoter:
            self._resigned_until = self._loop.clock.now() + RESIGNED_SECONDS
            eventlog.event("promoter_resigns")

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
            "promoter": None if self.promoter is None else self.promoter.name,
            "is_promoter": self.is_promoter,
            "tokens_given": 0 if self._tokens is None else self._tokens.given,
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
        try:
            pulse = _pulse_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise errors.MalformedRequest("not a pulse") from error
        now = self._loop.clock.now()
        self._reports_by_name[pulse.name] = (now, pulse)
        version, revision = self._local.versions()
        if pulse.version > version:
            member = self.members_by_name.get(pulse.name)
            if member is not None:
                self._loop.spawn(self._fetch_view(member.name, member.address))
        return http1.json_response(
            PulseAnswer(version, revision, self.is_promoter, self._local.is_cut_off())
        )

    # Members and promoter, as the store has them

    def _take_snapshot(self, snapshot):
        self.members_by_name = {}
        promoter = None
        for stored in snapshot.objects:
            self._take_stored(stored)
            promoter = promoter or stored.name == PROMOTER_NAME
        if not promoter:
            self.promoter = None
        self._local.members_changed()
        self._register_if_needed(snapshot)
        self._check_tokens()

    def _take_change(self, change):
        if not change.deleted:
            self._take_stored(change.stored)
        elif change.stored.name == PROMOTER_NAME:
            self.promoter = None
        else:
            name = change.stored.name.removeprefix(MEMBER_PREFIX)
            self.members_by_name.pop(name, None)
        self._local.members_changed()
        self._check_tokens()

    def _take_stored(self, stored):
        value = stored.value if isinstance(stored.value, dict) else {}
        incarnation = str(value.get("incarnation"))
        if stored.name == PROMOTER_NAME:
            known = self.promoter
            if known is None or stored.revision > known.revision:
                holder = str(value.get("holder"))
                self.promoter = Promoter(holder, incarnation, stored.revision)
                self._heard_at = self._loop.clock.now()
                eventlog.event(
                    "promoter_changed", holder=holder, revision=stored.revision
                )
            return
        member = _decode_member(stored.name, value)
        if member is not None:
            self.members_by_name[member.name] = member

    def _check_tokens(self):
        """Stop ordering when the store names another promoter."""
        promoter = self.promoter
        if self._tokens is None or promoter is None:
            return
        own = (self._own.name, self._own.incarnation)
        if (promoter.name, promoter.incarnation) == own:
            return
        if promoter.revision > self._tokens.revision:
            self._tokens = None
            eventlog.event("promoter_lost", to=promoter.name)

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
        value = _encode_member(self._own)
        while not self._closed:
            try:
                if revision is None:
                    yield self._store.create(KIND, name, value)
                else:
                    yield self._store.replace(KIND, name, value, revision)
                break
            except errors.CassiahillError as error:
                eventlog.event("registration_failed", cause=error.detail)
            yield self._loop.sleep_until(self._loop.clock.now() + REGISTER_SECONDS)
            try:
                # The entry may be there: a write without an answer may have succeeded.
                stored = yield self._store.get(KIND, name)
            except errors.CassiahillError as error:
                eventlog.event("registration_failed", cause=error.detail)
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
            self._heard_at = now
            self._answered_at = now
            self._contacts_by_domain.clear()
        self._woken_at = now
        if self.is_promoter:
            self._heard_at = now
            self._collect_reports(now)
        else:
            self._send_pulse(self._promoter_member())
            self._consider_claim(now)
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
        if self.promoter is None:
            return None
        return self.members_by_name.get(self.promoter.name)

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
        pulse = Pulse(
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
            answer = _answer_decoder.decode(response.body)
        except (errors.CassiahillError, msgspec.DecodeError):
            # The silence itself is what counts; see ``_consider_claim``.
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
        promoter = self.promoter
        if promoter is not None and promoter.name == member.name:
            if answer.promoter:
                self._heard_at = self._loop.clock.now()
            else:
                # It leaves or has resigned: no need to wait for its silence.
                self._heard_at = min(
                    self._heard_at, self._loop.clock.now() - SILENT_SECONDS
                )
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
            view = _view_decoder.decode(response.body)
            client.close()
        except (errors.CassiahillError, msgspec.DecodeError) as error:
            eventlog.event("view_failed", peer=name, cause=repr(error))
            return
        self._local.take_view(view, name)
        if not self.members_are_known and view.members:
            self._members_from_peer = True
            for stored_name, value in view.members.items():
                member = _decode_member(stored_name, value)
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
            if lacking / watching >= takeover.REPORTED_SHARE:
                self._reported_since_by_group.setdefault(group, now)
            else:
                self._reported_since_by_group.pop(group, None)

    # The promoter's place

    def _rank(self):
        """Return this proxy's place among those that may follow the promoter."""
        gone = None if self.promoter is None else self.promoter.name
        names = {name for name in self.members_by_name if name != gone}
        names.add(self._own.name)
        seed = 0 if self.promoter is None else self.promoter.revision
        ordered = sorted(
            names, key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed)
        )
        return ordered.index(self._own.name)

    def _consider_claim(self, now):
        if self._claiming or self.leaving or not self.follower.revision:
            return
        if now < self._resigned_until:
            return
        promoter = self.promoter
        if promoter is None:
            wait = FIRST_RANK_SECONDS * self._rank()
        elif promoter.name == self._own.name:
            wait = 0.0
        else:
            wait = SILENT_SECONDS + RANK_SECONDS * self._rank()
        if now - self._heard_at >= wait:
            self._claiming = True
            self._loop.spawn(self._claim(promoter))

    def _claim(self, promoter):
        value = {"holder": self._own.name, "incarnation": self._own.incarnation}
        try:
            if promoter is None:
                stored = yield self._store.create(KIND, PROMOTER_NAME, value)
            else:
                stored = yield self._store.replace(
                    KIND, PROMOTER_NAME, value, promoter.revision
                )
            self._own_claim(stored)
        except errors.Conflict:
            yield from self._learn_promoter()
        except errors.CassiahillError as error:
            eventlog.event("claim_failed", cause=error.detail)
            yield from self._learn_promoter()
        finally:
            self._claiming = False

    def _learn_promoter(self):
        """Read who the promoter is; an unanswered claim may have succeeded."""
        try:
            stored = yield self._store.get(KIND, PROMOTER_NAME)
        except errors.CassiahillError as error:
            eventlog.event("promoter_unknown", cause=error.detail)
            return
        if stored is None:
            return
        self._take_stored(stored)
        if stored.value == {
            "holder": self._own.name,
            "incarnation": self._own.incarnation,
        }:
            self._own_claim(stored)

    def _confirm(self):
        deadline = self._loop.clock.now() + CONFIRM_SECONDS
        late = errors.PlatformUnavailable("no answer in time")
        try:
            stored = yield self._loop.with_deadline(
                self._store.get(KIND, PROMOTER_NAME), deadline, late
            )
        except errors.CassiahillError as error:
            eventlog.event("promoter_unconfirmed", cause=error.detail)
            return self.is_promoter
        if stored is not None:
            self._take_stored(stored)
            self._check_tokens()
        return self.is_promoter

    def _own_claim(self, stored):
        if self._tokens is None or stored.revision > self._tokens.revision:
            self._tokens = Tokens(stored.revision)
            eventlog.event("promoter_gained", revision=stored.revision)
