"""Runs membership and rumor spreading on the event loop.

Datagrams carry probes, membership updates and rumors. Links carry comparisons of views
and the values that do not fit into a datagram. The proxy's ``PeerListener`` passes
requests whose kind starts with ``KIND_PREFIX`` to ``Gossip.handle_request``.
"""

import collections
import time
import zlib
from concurrent.futures import Future

import msgspec
from absl import logging

from cassiahill import errors, membership, peer_calls, rumor_spreading, rumors, swim
from cassiahill.loop import completed_future

KIND_PREFIX = "gossip."
SYNC_KIND = "gossip.sync"
BUCKETS_KIND = "gossip.want"
VALUE_KIND = "gossip.body"
MEMBERSHIP_KIND = "m"
SPREADING_KIND = "s"
HOST_VALUE_KIND = "host"  # Kind of the values that hold the states of hosts.
HOST_LEAVING = b"leaving"
HOST_LIVE = b"live"
TICK_INTERVAL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 2.0
MAX_CLIENTS = 64
MAX_VALUE_BYTES = 1024 * 1024
COMPRESSION_LEVEL = 6

_membership_decoder = msgspec.msgpack.Decoder(swim.WireMessage)
_rumor_decoder = msgspec.msgpack.Decoder(rumors.WireMessage)
_value_request_decoder = msgspec.msgpack.Decoder(tuple[str, str, int])
_encoder = msgspec.msgpack.Encoder()


class Gossip:
    """Membership and rumor spreading of this proxy, with their sockets.

    Parameters
    ----------
    loop : loop.EventLoop
    own_member : swim.Member
        This proxy. Datagrams use its peer address, and so does the ``PeerListener``.
    seeds : iterable of (str, int)
        Peer addresses to get the first members from.
    fleet_secret : bytes
    rng : random.Random
    is_valid : callable, optional
        ``is_valid(kind, name, generation, value)`` returns whether to accept a value.
    ssl_context : ssl.SSLContext, optional
        For links.
    first_sequence : int, optional
        First sequence of the datagrams, by default the wall clock in nanoseconds. It
        has to be higher than in earlier runs of this proxy only.
    """

    def __init__(
        self,
        loop,
        own_member,
        seeds,
        fleet_secret,
        rng,
        is_valid=None,
        ssl_context=None,
        first_sequence=None,
    ):
        self._loop = loop
        self._own_name = own_member.name
        self._fleet_secret = fleet_secret
        self._ssl_context = ssl_context
        now = loop.clock.now()
        self.membership = membership.Membership(own_member, seeds, rng, now)
        self.spreader = rumor_spreading.RumorSpreader(
            own_member.name, fleet_secret, rng, now, is_valid=is_valid
        )
        self.ready = Future()
        self.refusals_by_reason = collections.Counter()
        self.on_member_changed = None
        self._subscribers_by_kind = collections.defaultdict(list)
        self._clients_by_address = {}
        self._peers_changed = True
        self._closed = False
        self._datagram_endpoint = peer_calls.DatagramEndpoint(
            loop,
            own_member.peer_address,
            self._on_datagram,
            fleet_secret,
            own_member.name,
            time.time_ns() if first_sequence is None else first_sequence,
        )
        self._tick()

    # Interface for the proxy

    def members(self):
        """Return the known members by name, dead ones included."""
        return dict(self.membership.members_by_name)

    def publish(self, kind, name, generation, value, lifetime_seconds=0.0):
        """Store a value here and spread it to the other proxies.

        Parameters
        ----------
        kind, name : str
        generation : int
            At least 1 and higher than that of every earlier value of the name.
        value : bytes
            At most ``MAX_VALUE_BYTES``.
        lifetime_seconds : float
            Seconds after which the value expires; 0 for never. A value that expires
            is only pushed, so that a few members may miss it.

        Raises
        ------
        errors.RequestTooLarge
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.RequestTooLarge(f"{kind}/{name} has {len(value)} bytes")
        event = rumors.Publish(
            kind, name, generation, value, int(lifetime_seconds * 1000)
        )
        self._step_spreader(event)

    def get(self, kind, name):
        """Return ``(generation, value)``; ``(0, None)`` when there is no value."""
        return self.spreader.get(kind, name)

    def subscribe(self, kind, callback):
        """Call ``callback(name, generation, value)`` for present and later values.

        For later values, the callback runs in the next turn of the loop.
        """
        self._subscribers_by_kind[kind].append(callback)
        for name in self.spreader.names(kind):
            callback(name, *self.spreader.get(kind, name))

    def update_host_list(self, live, leaving):
        """Process the platform's host list and spread the changes.

        Parameters
        ----------
        live, leaving : iterable of str
            Names of hosts.
        """
        hosts = swim.HostList(frozenset(live), frozenset(leaving))
        self._step_membership(hosts)

    def leaving_hosts(self):
        """Return the names of the leaving hosts, backend servers included.

        They get no new requests.
        """
        return {
            name
            for name in self.spreader.names(HOST_VALUE_KIND)
            if self.spreader.get(HOST_VALUE_KIND, name)[1] == HOST_LEAVING
        }

    def leave(self):
        """Announce that this process leaves; gossip continues until ``close``."""
        self._step_membership(swim.LeaveFleet())

    def handle_request(self, sender, kind, payload):
        """Answer a request of another proxy's ``Gossip``.

        Returns
        -------
        Future of bytes

        Raises
        ------
        errors.PeerRejected
        """
        try:
            answer = self._answer_request(sender, kind, payload)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.refusals_by_reason["malformed request"] += 1
            raise errors.PeerRejected("malformed gossip request") from error
        return completed_future(answer)

    def dump(self):
        """Return the state of membership and rumor spreading for operators."""
        members = self.membership.members_by_name.values()
        states = collections.Counter(
            swim.STATE_NAMES[member.state] for member in members
        )
        return {
            "own": msgspec.to_builtins(self.membership.own_member),
            "members_by_state": dict(states),
            "not_live": sorted(
                f"{member.name} {swim.STATE_NAMES[member.state]}"
                for member in members
                if member.state != swim.LIVE
            ),
            "membership_digest": f"{self.membership.digest:016x}",
            "values_digest": f"{self.spreader.digest:016x}",
            "ready": self.spreader.ready,
            "leaving_hosts": sorted(self.leaving_hosts()),
            "datagram_bytes_sent": self._datagram_endpoint.sent_bytes,
            "datagram_bytes_received": self._datagram_endpoint.received_bytes,
            "refusals_by_reason": {
                "membership": dict(self.membership.refusals_by_reason),
                "spreading": dict(self.spreader.refusals_by_reason),
                "datagrams": dict(self._datagram_endpoint.refusals_by_reason),
                "gossip": dict(self.refusals_by_reason),
            },
        }

    def close(self):
        """Stop the timer and close all sockets."""
        self._closed = True
        self._timer.cancel()
        self._datagram_endpoint.close()
        for client in self._clients_by_address.values():
            client.close()

    # Events of the timer and the network

    def _tick(self):
        now = self._loop.clock.now()
        self._timer = self._loop.call_at(now + TICK_INTERVAL_SECONDS, self._tick)
        self._step_membership(swim.Tick())
        if self._peers_changed:
            self._peers_changed = False
            names = tuple(
                member.name
                for member in self.membership.members_by_name.values()
                if member.state != swim.DEAD
            )
            self._step_spreader(rumors.PeersChanged(names, frozenset(names)))
        self._step_spreader(rumors.Tick())

    def _on_datagram(self, sender, kind, payload, _source):
        try:
            if kind == MEMBERSHIP_KIND:
                message = _membership_decoder.decode(payload)
                if isinstance(message, swim.SyncRequest | swim.SyncAnswer):
                    self.refusals_by_reason["link message in a datagram"] += 1
                    return
                self._step_membership(swim.MessageReceived(sender, message))
            elif kind == SPREADING_KIND:
                message = _rumor_decoder.decode(payload)
                self._step_spreader(rumors.MessageReceived(sender, message))
            else:
                self.refusals_by_reason["unknown kind"] += 1
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.refusals_by_reason["malformed datagram"] += 1

    def _answer_request(self, sender, kind, payload):
        if kind == SYNC_KIND:
            request = msgspec.msgpack.decode(payload, type=swim.SyncRequest)
            self._step_membership(swim.MessageReceived(sender, request))
            return _encoder.encode(self.membership.answer_sync(request))
        if kind == BUCKETS_KIND:
            bucket_request = msgspec.msgpack.decode(payload, type=rumors.BucketRequest)
            return _encoder.encode(
                self.spreader.answer_bucket_request(
                    bucket_request, self._loop.clock.now()
                )
            )
        if kind == VALUE_KIND:
            value_kind, name, requested = _value_request_decoder.decode(payload)
            generation, value = self.spreader.get(value_kind, name)
            if generation != requested or value is None:
                raise errors.NotFound(f"{value_kind}/{name} generation {requested}")
            return zlib.compress(value, COMPRESSION_LEVEL)
        raise errors.PeerRejected(f"unknown request {kind!r}")

    # Actions of the state machines

    def _step_membership(self, event):
        for action in self.membership.step(event, self._loop.clock.now()):
            match action:
                case swim.SendMessage(address, message):
                    if isinstance(message, swim.SyncRequest):
                        self._exchange_members(tuple(address), message)
                    else:
                        payload = _encoder.encode(message)
                        self._datagram_endpoint.send(
                            tuple(address), MEMBERSHIP_KIND, payload
                        )
                case swim.MemberChanged(member):
                    self._on_member_changed(member)
                case swim.LeavingHostsChanged(names):
                    self._publish_host_states(names)

    def _step_spreader(self, event):
        for action in self.spreader.step(event, self._loop.clock.now()):
            match action:
                case rumors.SendMessage(peer, message):
                    member = self.membership.members_by_name.get(peer)
                    if member is not None:
                        payload = _encoder.encode(message)
                        self._datagram_endpoint.send(
                            tuple(member.peer_address), SPREADING_KIND, payload
                        )
                case rumors.RequestBuckets(peer, bucket_request):
                    self._loop.spawn(self._request_buckets(peer, bucket_request))
                case rumors.FetchValue():
                    self._fetch_value(action)
                case rumors.ValueInstalled(kind, name, generation, value):
                    for callback in self._subscribers_by_kind[kind]:
                        self._loop.call_soon(callback, name, generation, value)
                case rumors.Ready():
                    self.ready.set_result(None)

    def _on_member_changed(self, member):
        self._peers_changed = True
        if member.state == swim.DEAD:
            self._datagram_endpoint.forget_sender(member.name)
        if self.on_member_changed is not None:
            self._loop.call_soon(self.on_member_changed, member)

    def _publish_host_states(self, names):
        for name in sorted(names | self.leaving_hosts()):
            generation, value = self.spreader.get(HOST_VALUE_KIND, name)
            state = HOST_LEAVING if name in names else HOST_LIVE
            if value != state:
                self.publish(HOST_VALUE_KIND, name, generation + 1, state)

    def _exchange_members(self, address, request):
        def on_answer(payload):
            answer = self._decode_answer(address, payload, swim.SyncAnswer)
            self._step_membership(swim.MessageReceived("", answer))

        self._call_peer(
            address, SYNC_KIND, _encoder.encode(request), on_answer, lambda: None
        )

    def _request_buckets(self, peer, bucket_request):
        """Request the rumors of buckets and pass on what comes; a task."""
        try:
            received = yield from self._collect_rumors(peer, bucket_request.buckets)
        except errors.CassiahillError:
            event = rumors.BucketRequestFailed(peer)
        else:
            event = rumors.BucketsReceived(peer, rumors.Rumors(received))
        if not self._closed:
            self._step_spreader(event)

    def _collect_rumors(self, peer, buckets):
        """Return the rumors of buckets, asked for in parts if they are too many."""
        member = self.membership.members_by_name.get(peer)
        if member is None:
            raise errors.NotFound(f"{peer} is no member")
        address = tuple(member.peer_address)
        request = _encoder.encode(rumors.BucketRequest(buckets))
        try:
            payload = yield self._start_call(address, BUCKETS_KIND, request)
        except errors.ResponseTooLarge:
            if len(buckets) == 1:
                raise
            middle = len(buckets) // 2
            first_part = yield from self._collect_rumors(peer, buckets[:middle])
            second_part = yield from self._collect_rumors(peer, buckets[middle:])
            return first_part + second_part
        return self._decode_answer(address, payload, rumors.Rumors).rumors

    def _fetch_value(self, fetch):
        key = (fetch.kind, fetch.name, fetch.generation)

        def on_answer(payload):
            decompressor = zlib.decompressobj()
            value = decompressor.decompress(payload, MAX_VALUE_BYTES)
            if not decompressor.eof:
                raise errors.PeerRejected("a value is too large or truncated")
            self._step_spreader(rumors.FetchResult(fetch.peer, *key, value))

        self._call_member(
            fetch.peer,
            VALUE_KIND,
            _encoder.encode(key),
            on_answer,
            lambda: self._step_spreader(rumors.FetchResult(fetch.peer, *key, None)),
        )

    def _call_member(self, name, kind, payload, on_answer, on_failure):
        member = self.membership.members_by_name.get(name)
        if member is None:
            on_failure()
        else:
            self._call_peer(
                tuple(member.peer_address), kind, payload, on_answer, on_failure
            )

    def _call_peer(self, address, kind, payload, on_answer, on_failure):
        def finish(done_future):
            if self._closed:
                return
            try:
                on_answer(done_future.result())
            except errors.CassiahillError:
                on_failure()
            except zlib.error:
                self._record_malformed_answer(address)
                on_failure()

        future = self._start_call(address, kind, payload)
        self._loop.when_done(future, lambda done: self._loop.call_soon(finish, done))

    def _start_call(self, address, kind, payload):
        """Send a call to a peer; return the future of the answer's bytes."""
        deadline = self._loop.clock.now() + CALL_TIMEOUT_SECONDS
        return self._client_for(address).call(kind, payload, deadline)

    def _decode_answer(self, address, payload, message_type):
        """Return the message in a peer's answer, or raise ``errors.PeerRejected``."""
        try:
            return msgspec.msgpack.decode(payload, type=message_type)
        except msgspec.MsgspecError as error:
            self._record_malformed_answer(address)
            raise errors.PeerRejected("malformed answer") from error

    def _record_malformed_answer(self, address):
        self.refusals_by_reason["malformed answer"] += 1
        logging.warning("event=malformed_answer address=%s", address)

    def _client_for(self, address):
        client = self._clients_by_address.pop(address, None)
        if client is None:
            client = peer_calls.PeerClient(
                self._loop,
                address,
                self._fleet_secret,
                self._own_name,
                self._ssl_context,
            )
        self._clients_by_address[address] = client  # Most recently used last.
        if len(self._clients_by_address) > MAX_CLIENTS:
            least_recent = next(iter(self._clients_by_address))
            self._clients_by_address.pop(least_recent).close()
        return client
