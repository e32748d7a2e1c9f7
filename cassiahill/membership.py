"""SWIM membership of the proxies, as a state machine without I/O.

Each process probes one other member per second and piggybacks membership updates on
the probes. Updates of one member are ordered by (incarnation, state), and merging keeps
the highest, so that reordered or duplicate updates change nothing. Only the member
itself raises its incarnation, to refute a suspicion. Every process waits for its own
suspicion timeout before it declares a member dead, so that a single process with a
wrong view removes no member.
"""

import collections

from cassiahill import digests, swim
from cassiahill.swim import DEAD, LEAVING, LIVE, SUSPECTED

PROBE_INTERVAL_SECONDS = 1.0
DIRECT_PROBE_TIMEOUT_SECONDS = 0.3  # Indirect probes are sent after this time.
INDIRECT_PROBE_COUNT = 3
# Long enough for the suspicion to reach the member and its refutation to return.
SUSPICION_TIMEOUT_SECONDS = 4.0
# Time between pushes of pending updates; an update reaches 4,200 members in about 3 s.
GOSSIP_INTERVAL_SECONDS = 0.2
MAX_PENDING_VERIFICATIONS = 64
# Dead members are probed too, so that they are found again after a partition.
DEAD_PROBE_INTERVAL_SECONDS = 5.0
# Full comparisons find updates that were lost despite their retransmissions.
SYNC_INTERVAL_SECONDS = 30.0
# Time between comparisons while acknowledgements carry a different digest.
DIFFERING_SYNC_INTERVAL_SECONDS = 10.0
# Dead members are kept for longer than a partition between regions, which lasts up to
# an hour.
DEAD_RETENTION_SECONDS = 2 * 3600.0
MAX_INCARNATION_STEP = 1024
MAX_MEMBERS = 20_000
MAX_RELAYED_PROBES = 256
PROBE_RESULT_WINDOW = 16
# Share of the members that may be suspected at once because of other processes'
# suspicions. The limit rises with the share of this process's own probes that failed.
MAX_SUSPECTED_SHARE = 0.25
MIN_SUSPICION_LIMIT = 8  # members


class Membership:
    """One process's view of the proxies in the fleet.

    Parameters
    ----------
    own_member : swim.Member
        This process.
    seeds : iterable of (str, int)
        Peer addresses to get the first members from.
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
        self._probe_order, self._probe = swim.ProbeOrder(rng), None
        self._last_sequence, self._relayed_probes_by_sequence = 0, {}
        self._next_probe_at = now + rng.random() * PROBE_INTERVAL_SECONDS
        self._next_dead_probe_at = now + DEAD_PROBE_INTERVAL_SECONDS
        self._next_gossip_at = self._next_sync_at = self._last_sync_at = now
        self._names_to_verify = collections.deque(maxlen=MAX_PENDING_VERIFICATIONS)
        self._probe_results = collections.deque(maxlen=PROBE_RESULT_WINDOW)
        self._suspicion_deadlines_by_name = {}
        self._dead_since_by_name = {}
        self._update_queue = swim.UpdateQueue()
        self._digests = digests.BucketDigests()
        self._toggle_digest(own_member)
        self._host_list_filter = swim.HostListFilter()

    def step(self, event, now):
        """Process one event and return the actions to perform.

        Parameters
        ----------
        event : swim.Tick, MessageReceived, HostList or LeaveFleet
        now : float
            Instant in seconds.

        Returns
        -------
        list of swim.SendMessage, MemberChanged or LeavingHostsChanged
        """
        match event:
            case swim.Tick():
                return self._tick(now)
            case swim.MessageReceived(sender, message):
                return self._on_message(sender, message, now)
            case swim.HostList():
                return self._on_host_list(event, now)
            case swim.LeaveFleet():
                return self._update_own_member(self.own_member.replace(state=LEAVING))
        raise TypeError(event)

    def eligible_members(self):
        """Return the names of the members that may be given requests.

        These are the live and suspected members, this process included, except those on
        leaving hosts.
        """
        return [
            member.name
            for member in self.members_by_name.values()
            if member.state <= SUSPECTED and member.name not in self.leaving_hosts
        ]

    @property
    def digest(self):
        """Hash of the members that are not dead; equal views have equal digests."""
        return self._digests.root

    def answer_sync(self, request):
        """Return the ``SyncAnswer`` to a ``SyncRequest``."""
        differing_buckets = self._digests.differing_buckets(request.digests)
        members = self.members_by_name.values() if differing_buckets else ()
        return swim.SyncAnswer(
            tuple(
                member
                for member in members
                if digests.bucket_of(member.name) in differing_buckets
            )
        )

    # Probes and timers

    def _tick(self, now):
        actions = self._send_gossip(now)
        actions += self._start_indirect_probes(now)
        if now >= self._next_probe_at:
            actions += self._start_probe(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + DEAD_PROBE_INTERVAL_SECONDS
            actions += self._probe_dead_member()
        if now >= self._next_sync_at:
            actions += self._start_sync(now)
        for name in [
            name
            for name, deadline in self._suspicion_deadlines_by_name.items()
            if deadline <= now
        ]:
            member = self.members_by_name[name]
            actions += self._install_member(member.replace(state=DEAD), now)
        self._drop_expired_dead_members(now)
        return actions

    def _send_gossip(self, now):
        """Ping one suspected member, and push pending updates to a random member."""
        if now < self._next_gossip_at:
            return []
        self._next_gossip_at = now + GOSSIP_INTERVAL_SECONDS
        actions = []
        if self._names_to_verify:
            member = self.members_by_name.get(self._names_to_verify.popleft())
            if member is not None and member.state == SUSPECTED:
                actions.append(self._make_ping(member, 0))
        if self._update_queue:
            for peer in self._random_live_members(1):
                ack = swim.Ack(0, self._updates_for(peer.name), self.digest)
                actions.append(swim.SendMessage(peer.peer_address, ack))
        return actions

    def _start_probe(self, now):
        self._next_probe_at = max(self._next_probe_at, now - PROBE_INTERVAL_SECONDS / 2)
        self._next_probe_at += PROBE_INTERVAL_SECONDS
        actions = self._end_unanswered_probe(now)
        target = self._probe_order.next_target(
            self.members_by_name, self.own_member.name
        )
        if target is not None:
            self._last_sequence += 1
            self._probe = swim.Probe(self._last_sequence, target.name, now)
            actions.append(self._make_ping(target, self._last_sequence))
        return actions

    def _start_indirect_probes(self, now):
        probe = self._probe
        if (
            probe is None
            or probe.indirect_sent
            or now < probe.started_at + DIRECT_PROBE_TIMEOUT_SECONDS
        ):
            return []
        probe.indirect_sent = True
        return [
            swim.SendMessage(
                helper.peer_address,
                swim.PingRequest(
                    probe.sequence, probe.target, self._updates_for(helper.name)
                ),
            )
            for helper in self._random_live_members(INDIRECT_PROBE_COUNT, probe.target)
        ]

    def _end_unanswered_probe(self, now):
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        self._probe_results.append(False)
        return self._suspect_member(self.members_by_name.get(probe.target), now)

    def _suspect_member(self, member, now):
        if member is None or member.state in (SUSPECTED, DEAD):
            return []
        if member.state == LEAVING:
            # A leaving member is stopping and may not refute the suspicion.
            self._suspicion_deadlines_by_name.setdefault(
                member.name, now + SUSPICION_TIMEOUT_SECONDS
            )
            return []
        return self._install_member(member.replace(state=SUSPECTED), now)

    def _probe_dead_member(self):
        dead_names = list(self._dead_since_by_name)
        names = [self._rng.choice(dead_names)] if dead_names else []
        return [self._make_ping(self.members_by_name[name], 0) for name in names]

    def _start_sync(self, now):
        self._last_sync_at = now
        self._next_sync_at = now + SYNC_INTERVAL_SECONDS * (0.5 + self._rng.random())
        peers = self._random_live_members(1)
        if peers:
            address = peers[0].peer_address
        elif self._seeds:
            self._next_sync_at = now + PROBE_INTERVAL_SECONDS
            address = self._rng.choice(self._seeds)
        else:
            return []
        return [
            swim.SendMessage(
                address, swim.SyncRequest(self.own_member, self._digests.to_tuple())
            )
        ]

    def _random_live_members(self, count, excluded=""):
        names = list(self.members_by_name)
        chosen_by_name = {}
        # Eight draws for each name suffice, because most members are live.
        for _ in range(8 * count):
            member = self.members_by_name[self._rng.choice(names)]
            if member.state == LIVE and member.name not in (
                self.own_member.name,
                excluded,
            ):
                chosen_by_name[member.name] = member
            if len(chosen_by_name) == count:
                break
        return list(chosen_by_name.values())

    def _make_ping(self, target, sequence):
        return swim.SendMessage(
            target.peer_address, swim.Ping(sequence, self._updates_for(target.name))
        )

    # Received messages and the updates in them

    def _on_message(self, sender, message, now):
        if isinstance(message, swim.SyncAnswer):
            return self._merge_sync_answer(message, now)
        updates = (
            (message.own_member,)
            if isinstance(message, swim.SyncRequest)
            else message.updates
        )
        sender_is_included = any(member.name == sender for member in updates)
        if sender == self.own_member.name or (
            sender not in self.members_by_name and not sender_is_included
        ):
            self.refusals_by_reason["unknown sender"] += 1
            return []
        actions = self._merge_updates(updates, now)
        sending_member = self.members_by_name.get(sender)
        if sending_member is None:
            return actions
        match message:
            case swim.Ping(sequence):
                ack = swim.Ack(sequence, self._updates_for(sender), self.digest)
                actions.append(swim.SendMessage(sending_member.peer_address, ack))
            case swim.Ack():
                actions += self._on_ack(sending_member, message, now)
            case swim.PingRequest(sequence, target):
                actions += self._relay_probe(sender, sequence, target)
        return actions

    def _on_ack(self, sending_member, ack, now):
        if sending_member.state == LEAVING:
            self._suspicion_deadlines_by_name.pop(sending_member.name, None)
        probe = self._probe
        if probe is not None and ack.sequence == probe.sequence:
            if sending_member.name == probe.target or probe.indirect_sent:
                self._probe = None
                self._probe_results.append(True)
        elif ack.sequence in self._relayed_probes_by_sequence:
            requester_name, sequence = self._relayed_probes_by_sequence.pop(
                ack.sequence
            )
            requester = self.members_by_name.get(requester_name)
            if requester is not None:
                relayed_ack = swim.Ack(
                    sequence, self._updates_for(requester.name), self.digest
                )
                return [swim.SendMessage(requester.peer_address, relayed_ack)]
        if ack.digest != self.digest:
            earliest_sync_at = self._last_sync_at + DIFFERING_SYNC_INTERVAL_SECONDS
            self._next_sync_at = min(self._next_sync_at, max(now, earliest_sync_at))
        return []

    def _relay_probe(self, sender, sequence, target):
        if target not in self.members_by_name or target == self.own_member.name:
            return []
        if len(self._relayed_probes_by_sequence) >= MAX_RELAYED_PROBES:
            self._relayed_probes_by_sequence.pop(
                next(iter(self._relayed_probes_by_sequence))
            )
        self._last_sequence += 1
        self._relayed_probes_by_sequence[self._last_sequence] = (sender, sequence)
        return [self._make_ping(self.members_by_name[target], self._last_sequence)]

    def _merge_sync_answer(self, answer, now):
        actions = self._merge_updates(answer.members, now)
        for member in answer.members:
            if member.state == LIVE and member.name != self.own_member.name:
                # Other processes learn of live members by their own synchronization.
                self._update_queue.discard(member.name)
        return actions

    def _merge_updates(self, updates, now):
        actions = []
        for member in updates:
            reason = self._refusal_reason(member)
            if reason:
                self.refusals_by_reason[reason] += 1
            elif member.name == self.own_member.name:
                actions += self._refute_suspicion(member)
            else:
                actions += self._accept_update(member, now)
        return actions

    def _refusal_reason(self, member):
        current = self.members_by_name.get(member.name)
        if not swim.is_well_formed(member, current):
            return "malformed news"
        if current is None:
            is_full = len(self.members_by_name) >= MAX_MEMBERS
            return "too many members" if is_full else ""
        if member.incarnation - current.incarnation > MAX_INCARNATION_STEP:
            return "incarnation too high"
        is_suspicion = (
            member.state in (SUSPECTED, DEAD) and member.precedence > current.precedence
        )
        if (
            not is_suspicion
            or current.state != LIVE
            or current.name == self.own_member.name
        ):
            return ""
        is_allowed = len(self._suspicion_deadlines_by_name) < self._suspicion_limit()
        return "" if is_allowed else "too many suspicions"

    def _suspicion_limit(self):
        # Many suspicions are accepted only as far as this process's probes fail too.
        failed_share = self._probe_results.count(False) / PROBE_RESULT_WINDOW
        return max(
            MIN_SUSPICION_LIMIT,
            (MAX_SUSPECTED_SHARE + failed_share) * len(self.members_by_name),
        )

    def _accept_update(self, member, now):
        current = self.members_by_name.get(member.name)
        if current is None:
            # A dead member that is unknown here, or forgotten, is not added.
            return [] if member.state == DEAD else self._install_member(member, now)
        if member.precedence <= current.precedence:
            return []
        if member.state == DEAD and current.state != DEAD:
            # A member is dead only after this process's own suspicion timeout, so
            # that it can refute the suspicion until then.
            if member.incarnation == current.incarnation:
                return self._suspect_member(current, now)
            member = member.replace(state=SUSPECTED)
        return self._install_member(member, now)

    def _refute_suspicion(self, member):
        if member.precedence < self.own_member.precedence or member == self.own_member:
            return []
        return self._update_own_member(
            self.own_member.replace(incarnation=member.incarnation + 1)
        )

    # Member states, the digest and the host list

    def _update_own_member(self, own_member):
        self._toggle_digest(self.own_member)
        self._toggle_digest(own_member)
        self.own_member = self.members_by_name[own_member.name] = own_member
        self._update_queue.add(own_member.name, len(self.members_by_name))
        return [swim.MemberChanged(own_member)]

    def _install_member(self, member, now):
        current = self.members_by_name.get(member.name)
        if current is not None:
            self._toggle_digest(current)
        self._toggle_digest(member)
        self.members_by_name[member.name] = member
        self._suspicion_deadlines_by_name.pop(member.name, None)
        self._dead_since_by_name.pop(member.name, None)
        if member.state == SUSPECTED:
            self._suspicion_deadlines_by_name[member.name] = (
                now + SUSPICION_TIMEOUT_SECONDS
            )
            self._names_to_verify.append(member.name)
        elif member.state == DEAD:
            self._dead_since_by_name[member.name] = now
        self._update_queue.add(member.name, len(self.members_by_name))
        return [swim.MemberChanged(member)]

    def _drop_expired_dead_members(self, now):
        oldest_name, dead_since = next(
            iter(self._dead_since_by_name.items()), (None, now)
        )
        if dead_since + DEAD_RETENTION_SECONDS <= now:
            del self.members_by_name[oldest_name]
            del self._dead_since_by_name[oldest_name]
            self._update_queue.discard(oldest_name)

    def _toggle_digest(self, member):
        # Dead members are left out, because processes forget them at different times.
        if member.state != DEAD:
            content = (member.incarnation, member.state, member.peer_address)
            self._digests.toggle_item(member.name, content)

    def _updates_for(self, receiver):
        """Return the updates for one message, those about the receiver first."""
        updates = [self.own_member]
        receiver_member = self.members_by_name.get(receiver)
        if receiver_member is not None and receiver_member.state != LIVE:
            updates.append(receiver_member)
        return tuple(self._update_queue.fill_message(updates, self.members_by_name))

    def _on_host_list(self, host_list, now):
        known_names = self.members_by_name.keys() - self._dead_since_by_name.keys()
        removed_names = self._host_list_filter.process_reading(
            host_list, known_names - {self.own_member.name}
        )
        if removed_names is None:
            self.refusals_by_reason["host list lost many members"] += 1
            return []
        actions = []
        # The host list lags, so that a removed member that still answers may refute.
        for name in sorted(removed_names):
            actions += self._suspect_member(self.members_by_name[name], now)
        if (
            self.own_member.name in host_list.leaving
            and self.own_member.state != LEAVING
        ):
            actions += self._update_own_member(self.own_member.replace(state=LEAVING))
        # A host keeps its leaving state until it is listed as live again.
        leaving = (self.leaving_hosts | host_list.leaving) - host_list.live
        if leaving != self.leaving_hosts:
            self.leaving_hosts = leaving
            actions.append(swim.LeavingHostsChanged(leaving))
        return actions
