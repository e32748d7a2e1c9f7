"""SWIM-like membership of the proxies, without I/O.

Each process probes one other a second and piggybacks news on the probes. News of one
member is ordered by (incarnation, state), and merging keeps the highest, so order and
duplication do not matter. Only the member itself raises its incarnation, to refute.
Every process waits out a suspicion itself, so one bad view removes nobody.
"""

import collections

from cassiahill import digests, swim
from cassiahill.swim import DEAD, LEAVING, LIVE, SUSPECTED

PROBE_SECONDS = 1.0
DIRECT_SECONDS = 0.3  # Without an answer after this, three others probe too.
INDIRECT_PROBES = 3
SUSPICION_SECONDS = 4.0  # Time for the news to spread and for its refutation.
GOSSIP_SECONDS = 0.2  # While there is news: reaches 4,200 members in about 3 s.
MAX_VERIFICATIONS = 64
DEAD_PROBE_SECONDS = 5.0  # Finds members again after a partition.
SYNC_SECONDS = 30.0  # Finds news that was lost in spite of its retransmission.
DIFFERING_SYNC_SECONDS = 10.0  # After an answer that shows another view.
FORGET_DEAD_SECONDS = 2 * 3600.0  # Partitions between regions last an hour.
MAX_INCARNATION_STEP = 1024
MAX_MEMBERS = 20_000
MAX_RELAYS = 256
PROBE_HISTORY = 16
CLAIM_SHARE = 0.25  # Of the members; more may be suspected when own probes fail too.
MIN_CLAIMS = 8


class Membership:
    """View of the fleet held by one process.

    Parameters
    ----------
    own_member : swim.Member
    seeds : iterable of (str, int)
        Peer addresses that are asked for the members at the start.
    rng : random.Random
    now : float
        Instant in seconds.
    """

    def __init__(self, own_member, seeds, rng, now):
        self.own_member = own_member
        self._seeds = [
            tuple(seed) for seed in seeds if tuple(seed) != own_member.peer_address
        ]
        self._rng = rng
        self.members_by_name = {own_member.name: own_member}
        self.leaving_hosts = frozenset()
        self.refusals_by_reason = collections.Counter()
        self._order, self._probe = swim.ProbeOrder(rng), None
        self._number, self._relays_by_number = 0, {}
        self._next_probe_at = now + rng.random() * PROBE_SECONDS
        self._next_dead_probe_at = now + DEAD_PROBE_SECONDS
        self._next_gossip_at = self._next_sync_at = self._last_sync_at = now
        self._to_verify = collections.deque(maxlen=MAX_VERIFICATIONS)
        self._probe_results = collections.deque(maxlen=PROBE_HISTORY)
        self._deadlines_by_name = {}
        self._dead_since_by_name = {}
        self._queue = swim.NewsQueue()
        self._digests = digests.BucketDigests()
        self._toggle(own_member)
        self._host_filter = swim.HostListFilter()

    def step(self, event, now):
        """Take one event and return the actions.

        Parameters
        ----------
        event : swim.Tick, MessageReceived, HostList or LeaveFleet
        now : float
            Instant in seconds.

        Returns
        -------
        list of swim.SendMessage, Changed or HostsLeaving
        """
        match event:
            case swim.Tick():
                return self._tick(now)
            case swim.MessageReceived(sender, message):
                return self._receive(sender, message, now)
            case swim.HostList():
                return self._read_hosts(event, now)
            case swim.LeaveFleet():
                return self._set_own(self.own_member.replace(state=LEAVING))
        raise TypeError(event)

    def usable(self):
        """Return the names of the members that may get work, this process included."""
        return [
            member.name
            for member in self.members_by_name.values()
            if member.state <= SUSPECTED and member.name not in self.leaving_hosts
        ]

    @property
    def digest(self):
        """Hash of the view; equal views of the members not dead have equal digests."""
        return self._digests.root

    def answer_sync(self, request):
        """Return the ``SyncAnswer`` to a ``SyncRequest``."""
        differing = self._digests.differing(request.digests)
        members = self.members_by_name.values() if differing else ()
        return swim.SyncAnswer(
            tuple(m for m in members if digests.bucket_of(m.name) in differing)
        )

    # Probes and timers.

    def _tick(self, now):
        actions = self._gossip(now)
        actions += self._check_probe(now)
        if now >= self._next_probe_at:
            actions += self._start_probe(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + DEAD_PROBE_SECONDS
            actions += self._probe_dead()
        if now >= self._next_sync_at:
            actions += self._sync(now)
        for name in [n for n, at in self._deadlines_by_name.items() if at <= now]:
            member = self.members_by_name[name]
            actions += self._install(member.replace(state=DEAD), now)
        self._forget_dead(now)
        return actions

    def _gossip(self, now):
        """Verify one suspicion, and send pending news to one more member."""
        if now < self._next_gossip_at:
            return []
        self._next_gossip_at = now + GOSSIP_SECONDS
        actions = []
        if self._to_verify:
            suspect = self.members_by_name.get(self._to_verify.popleft())
            if suspect is not None and suspect.state == SUSPECTED:
                actions.append(self._ping(suspect, 0))
        if self._queue:
            for peer in self._random_live(1):
                news = swim.Ack(0, self._news(peer.name), self.digest)
                actions.append(swim.SendMessage(peer.peer_address, news))
        return actions

    def _start_probe(self, now):
        self._next_probe_at = max(self._next_probe_at, now - PROBE_SECONDS / 2)
        self._next_probe_at += PROBE_SECONDS
        actions = self._end_probe(now)
        target = self._order.next(self.members_by_name, self.own_member.name)
        if target is not None:
            self._number += 1
            self._probe = swim.Probe(self._number, target.name, now)
            actions.append(self._ping(target, self._number))
        return actions

    def _check_probe(self, now):
        probe = self._probe
        if probe is None or probe.indirect or now < probe.started_at + DIRECT_SECONDS:
            return []
        probe.indirect = True
        return [
            swim.SendMessage(
                helper.peer_address,
                swim.PingRequest(probe.number, probe.target, self._news(helper.name)),
            )
            for helper in self._random_live(INDIRECT_PROBES, probe.target)
        ]

    def _end_probe(self, now):
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        self._probe_results.append(False)
        return self._suspect(self.members_by_name.get(probe.target), now)

    def _suspect(self, member, now):
        if member is None or member.state in (SUSPECTED, DEAD):
            return []
        if member.state == LEAVING:
            # It announced its end, so it is not expected to refute.
            self._deadlines_by_name.setdefault(member.name, now + SUSPICION_SECONDS)
            return []
        return self._install(member.replace(state=SUSPECTED), now)

    def _probe_dead(self):
        dead = list(self._dead_since_by_name)
        names = [self._rng.choice(dead)] if dead else []
        return [self._ping(self.members_by_name[name], 0) for name in names]

    def _sync(self, now):
        self._last_sync_at = now
        self._next_sync_at = now + SYNC_SECONDS * (0.5 + self._rng.random())
        peers = self._random_live(1)
        if peers:
            address = peers[0].peer_address
        elif self._seeds:
            self._next_sync_at = now + PROBE_SECONDS
            address = self._rng.choice(self._seeds)
        else:
            return []
        return [
            swim.SendMessage(
                address, swim.SyncRequest(self.own_member, self._digests.to_tuple())
            )
        ]

    def _random_live(self, count, excluded=""):
        names = list(self.members_by_name)
        found_by_name = {}
        for _ in range(8 * count):  # Few members are not live.
            member = self.members_by_name[self._rng.choice(names)]
            if member.state == LIVE and member.name not in (
                self.own_member.name,
                excluded,
            ):
                found_by_name[member.name] = member
            if len(found_by_name) == count:
                break
        return list(found_by_name.values())

    def _ping(self, target, number):
        return swim.SendMessage(
            target.peer_address, swim.Ping(number, self._news(target.name))
        )

    # Messages.

    def _receive(self, sender, message, now):
        if isinstance(message, swim.SyncAnswer):
            return self._merge_sync(message, now)
        news = (
            (message.own_member,)
            if isinstance(message, swim.SyncRequest)
            else message.news
        )
        introduced = any(member.name == sender for member in news)
        if sender == self.own_member.name or (
            sender not in self.members_by_name and not introduced
        ):
            self.refusals_by_reason["unknown sender"] += 1
            return []
        actions = self._merge(news, now)
        known = self.members_by_name.get(sender)
        if known is None:
            return actions
        match message:
            case swim.Ping(number):
                ack = swim.Ack(number, self._news(sender), self.digest)
                actions.append(swim.SendMessage(known.peer_address, ack))
            case swim.Ack():
                actions += self._on_ack(known, message, now)
            case swim.PingRequest(number, target):
                actions += self._relay_probe(sender, number, target)
        return actions

    def _on_ack(self, known, ack, now):
        if known.state == LEAVING:
            self._deadlines_by_name.pop(known.name, None)
        probe = self._probe
        if probe is not None and ack.number == probe.number:
            if known.name == probe.target or probe.indirect:
                self._probe = None
                self._probe_results.append(True)
        elif ack.number in self._relays_by_number:
            asker, number = self._relays_by_number.pop(ack.number)
            asker = self.members_by_name.get(asker)
            if asker is not None:
                relayed = swim.Ack(number, self._news(asker.name), self.digest)
                return [swim.SendMessage(asker.peer_address, relayed)]
        if ack.digest != self.digest:
            hurried = self._last_sync_at + DIFFERING_SYNC_SECONDS
            self._next_sync_at = min(self._next_sync_at, max(now, hurried))
        return []

    def _relay_probe(self, sender, number, target):
        if target not in self.members_by_name or target == self.own_member.name:
            return []
        if len(self._relays_by_number) >= MAX_RELAYS:
            self._relays_by_number.pop(next(iter(self._relays_by_number)))
        self._number += 1
        self._relays_by_number[self._number] = (sender, number)
        return [self._ping(self.members_by_name[target], self._number)]

    def _merge_sync(self, answer, now):
        actions = self._merge(answer.members, now)
        for member in answer.members:
            if member.state == LIVE and member.name != self.own_member.name:
                # The others find it by their own exchange.
                self._queue.discard(member.name)
        return actions

    def _merge(self, news, now):
        actions = []
        for member in news:
            reason = self._objection(member)
            if reason:
                self.refusals_by_reason[reason] += 1
            elif member.name == self.own_member.name:
                actions += self._refute(member)
            else:
                actions += self._accept(member, now)
        return actions

    def _objection(self, member):
        known = self.members_by_name.get(member.name)
        if not swim.is_well_formed(member, known):
            return "malformed news"
        if known is None:
            full = len(self.members_by_name) >= MAX_MEMBERS
            return "too many members" if full else ""
        if member.incarnation - known.incarnation > MAX_INCARNATION_STEP:
            return "incarnation too high"
        claims = member.state in (SUSPECTED, DEAD) and member.key > known.key
        if not claims or known.state != LIVE or known.name == self.own_member.name:
            return ""
        allowed = len(self._deadlines_by_name) < self._suspicions_allowed()
        return "" if allowed else "too many suspicions"

    def _suspicions_allowed(self):
        # A view that holds many members failed is believed as far as own probes agree.
        failed = self._probe_results.count(False) / PROBE_HISTORY
        return max(MIN_CLAIMS, (CLAIM_SHARE + failed) * len(self.members_by_name))

    def _accept(self, member, now):
        known = self.members_by_name.get(member.name)
        if known is None:
            # Nothing is kept of a dead member that this process has forgotten.
            return [] if member.state == DEAD else self._install(member, now)
        if member.key <= known.key:
            return []
        if member.state == DEAD and known.state != DEAD:
            # Only the own deadline removes a member; it can refute until then.
            if member.incarnation == known.incarnation:
                return self._suspect(known, now)
            member = member.replace(state=SUSPECTED)
        return self._install(member, now)

    def _refute(self, member):
        if member.key < self.own_member.key or member == self.own_member:
            return []
        return self._set_own(
            self.own_member.replace(incarnation=member.incarnation + 1)
        )

    # The view.

    def _set_own(self, own_member):
        self._toggle(self.own_member)
        self._toggle(own_member)
        self.own_member = self.members_by_name[own_member.name] = own_member
        self._queue.add(own_member.name, len(self.members_by_name))
        return [swim.Changed(own_member)]

    def _install(self, member, now):
        known = self.members_by_name.get(member.name)
        if known is not None:
            self._toggle(known)
        self._toggle(member)
        self.members_by_name[member.name] = member
        self._deadlines_by_name.pop(member.name, None)
        self._dead_since_by_name.pop(member.name, None)
        if member.state == SUSPECTED:
            self._deadlines_by_name[member.name] = now + SUSPICION_SECONDS
            self._to_verify.append(member.name)
        elif member.state == DEAD:
            self._dead_since_by_name[member.name] = now
        self._queue.add(member.name, len(self.members_by_name))
        return [swim.Changed(member)]

    def _forget_dead(self, now):
        oldest, since = next(iter(self._dead_since_by_name.items()), (None, now))
        if since + FORGET_DEAD_SECONDS <= now:
            del self.members_by_name[oldest]
            del self._dead_since_by_name[oldest]
            self._queue.discard(oldest)

    def _toggle(self, member):
        # Dead members are left out, because processes forget them at different times.
        if member.state != DEAD:
            content = (member.incarnation, member.state, member.peer_address)
            self._digests.toggle(member.name, content)

    def _news(self, receiver):
        """Return the news for one message; what concerns the receiver comes first."""
        news = [self.own_member]
        about = self.members_by_name.get(receiver)
        if about is not None and about.state != LIVE:
            news.append(about)
        return tuple(self._queue.fill(news, self.members_by_name))

    def _read_hosts(self, hosts, now):
        known = self.members_by_name.keys() - self._dead_since_by_name.keys()
        removed = self._host_filter.read(hosts, known - {self.own_member.name})
        if removed is None:
            self.refusals_by_reason["host list lost many members"] += 1
            return []
        actions = []
        for name in sorted(removed):  # The list lags; a member that answers stays.
            actions += self._suspect(self.members_by_name[name], now)
        if self.own_member.name in hosts.leaving and self.own_member.state != LEAVING:
            actions += self._set_own(self.own_member.replace(state=LEAVING))
        # A host that left stays left until it is listed as live again.
        leaving = (self.leaving_hosts | hosts.leaving) - hosts.live
        if leaving != self.leaving_hosts:
            self.leaving_hosts = leaving
            actions.append(swim.HostsLeaving(leaving))
        return actions
