"""Driver of membership and spreading on the event loop.

Datagrams carry probes, news and rumors; links carry the comparison of views and the
values that do not fit a datagram. The daemon's ``PeerListener`` passes requests whose
kind starts with ``KIND_PREFIX`` to ``Gossip.handle``.
"""

import collections
import time
import zlib
from concurrent.futures import Future

import msgspec
from absl import logging

from cassiahill import errors, membership, peer_calls, rumor_spreading, rumors, swim
from cassiahill.loop import completed

KIND_PREFIX = "gossip."
SYNC = "gossip.sync"
WANT = "gossip.want"
BODY = "gossip.body"
MEMBERSHIP = "m"
SPREADING = "s"
HOST = "host"  # Kind of the values that tell which hosts leave.
LEAVING = b"leaving"
LISTED = b"live"
TICK_SECONDS = 0.1
CALL_SECONDS = 2.0
MAX_CLIENTS = 64
MAX_VALUE_BYTES = 1024 * 1024
COMPRESSION_LEVEL = 6

_membership_decoder = msgspec.msgpack.Decoder(swim.WireMessage)
_rumor_decoder = msgspec.msgpack.Decoder(rumors.WireMessage)
_body_decoder = msgspec.msgpack.Decoder(tuple[str, str, int])
_encoder = msgspec.msgpack.Encoder()


class Gossip:
    """One proxy's part in membership and spreading.

    Parameters
    ----------
    loop : loop.EventLoop
    own_member : swim.Member
        Its peer address is used by the datagrams here and by the daemon's listener.
    seeds : iterable of (str, int)
    fleet_secret : bytes
    rng : random.Random
    check : callable, optional
        ``check(kind, name, generation, value)`` refuses invalid values.
    ssl_context : ssl.SSLContext, optional
        For links.
    first_sequence : int, optional
        First sequence of the datagrams; by default the wall clock in nanoseconds,
        which only this process's own earlier runs are compared with.
    """

    def __init__(
        self,
        loop,
        own_member,
        seeds,
        fleet_secret,
        rng,
        check=None,
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
            own_member.name, fleet_secret, rng, now, check=check
        )
        self.ready = Future()
        self.refusals_by_reason = collections.Counter()
        self.on_membership = None
        self._subscribers_by_kind = collections.defaultdict(list)
        self._clients_by_address = {}
        self._peers_changed = True
        self._closed = False
        self._endpoint = peer_calls.DatagramEndpoint(
            loop,
            own_member.peer_address,
            self._on_datagram,
            fleet_secret,
            own_member.name,
            time.time_ns() if first_sequence is None else first_sequence,
        )
        self._tick()

    # What the daemon calls.

    def members(self):
        """Return the known members by name, dead ones included."""
        return dict(self.membership.members_by_name)

    def publish(self, kind, name, generation, value, life=0.0):
        """Spread a value; it is installed here at once.

        Parameters
        ----------
        kind, name : str
        generation : int
            At least 1 and higher than that of every earlier value of the name.
        value : bytes
            At most ``MAX_VALUE_BYTES``.
        life : float
            Seconds after which the value is dropped; 0 keeps it. A value with a life
            is only pushed, so that a few members may miss it.

        Raises
        ------
        errors.RequestTooLarge
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.RequestTooLarge(f"{kind}/{name} has {len(value)} bytes")
        event = rumors.Publish(kind, name, generation, value, int(life * 1000))
        self._step_spreader(event)

    def get(self, kind, name):
        """Return ``(generation, value)``; ``(0, None)`` when nothing is known."""
        return self.spreader.get(kind, name)

    def subscribe(self, kind, callback):
        """Call ``callback(name, generation, value)`` for held and later values.

        Later values are passed in the next turn of the loop.
        """
        self._subscribers_by_kind[kind].append(callback)
        for name in self.spreader.names(kind):
            callback(name, *self.spreader.get(kind, name))

    def observe_hosts(self, live, leaving):
        """Take a reading of the platform's host list and spread what it changed."""
        hosts = swim.HostList(frozenset(live), frozenset(leaving))
        self._step_membership(hosts)

    def leaving_hosts(self):
        """Return the names of the hosts, backend servers too, that get no new work."""
        return {
            name
            for name in self.spreader.names(HOST)
            if self.spreader.get(HOST, name)[1] == LEAVING
        }

    def leave(self):
        """Announce that this process leaves; it still takes part until ``close``."""
        self._step_membership(swim.LeaveFleet())

    def handle(self, sender, kind, payload):
        """Answer a request that another proxy's gossip sent on a link.

        Returns
        -------
        Future of bytes

        Raises
        ------
        errors.PeerRejected
        """
        try:
            answer = self._answer(sender, kind, payload)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.refusals_by_reason["malformed request"] += 1
            raise errors.PeerRejected("malformed gossip request") from error
        return completed(answer)

    def dump(self):
        """Return the state for the operator endpoint."""
        members = self.membership.members_by_name.values()
        states = collections.Counter(swim.STATE_NAMES[m.state] for m in members)
        return {
            "own": msgspec.to_builtins(self.membership.own_member),
            "members_by_state": dict(states),
            "not_live": sorted(
                f"{m.name} {swim.STATE_NAMES[m.state]}"
                for m in members
                if m.state != swim.LIVE
            ),
            "membership_digest": f"{self.membership.digest:016x}",
            "values_digest": f"{self.spreader.digest:016x}",
            "ready": self.spreader.ready,
            "leaving_hosts": sorted(self.leaving_hosts()),
            "datagram_bytes_sent": self._endpoint.sent_bytes,
            "datagram_bytes_received": self._endpoint.received_bytes,
            "refusals_by_reason": {
                "membership": dict(self.membership.refusals_by_reason),
                "spreading": dict(self.spreader.refusals_by_reason),
                "datagrams": dict(self._endpoint.refusals_by_reason),
                "gossip": dict(self.refusals_by_reason),
            },
        }

    def close(self):
        """Stop taking part and close all sockets."""
        self._closed = True
        self._timer.cancel()
        self._endpoint.close()
        for client in self._clients_by_address.values():
            client.close()

    # Events in.

    def _tick(self):
        now = self._loop.clock.now()
        self._timer = self._loop.call_at(now + TICK_SECONDS, self._tick)
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
            if kind == MEMBERSHIP:
                message = _membership_decoder.decode(payload)
                if isinstance(message, swim.SyncRequest | swim.SyncAnswer):
                    self.refusals_by_reason["link message in a datagram"] += 1
                    return
                self._step_membership(swim.MessageReceived(sender, message))
            elif kind == SPREADING:
                message = _rumor_decoder.decode(payload)
                self._step_spreader(rumors.MessageReceived(sender, message))
            else:
                self.refusals_by_reason["unknown kind"] += 1
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.refusals_by_reason["malformed datagram"] += 1

    def _answer(self, sender, kind, payload):
        if kind == SYNC:
            request = msgspec.msgpack.decode(payload, type=swim.SyncRequest)
            self._step_membership(swim.MessageReceived(sender, request))
            return _encoder.encode(self.membership.answer_sync(request))
        if kind == WANT:
            want = msgspec.msgpack.decode(payload, type=rumors.Want)
            return _encoder.encode(
                self.spreader.answer_bucket_request(want, self._loop.clock.now())
            )
        if kind == BODY:
            value_kind, name, wanted = _body_decoder.decode(payload)
            generation, value = self.spreader.get(value_kind, name)
            if generation != wanted or value is None:
                raise errors.NotFound(f"{value_kind}/{name} generation {wanted}")
            return zlib.compress(value, COMPRESSION_LEVEL)
        raise errors.PeerRejected(f"unknown request {kind!r}")

    # Actions out.

    def _step_membership(self, event):
        for action in self.membership.step(event, self._loop.clock.now()):
            match action:
                case swim.SendMessage(address, message):
                    if isinstance(message, swim.SyncRequest):
                        self._sync(tuple(address), message)
                    else:
                        payload = _encoder.encode(message)
                        self._endpoint.send(tuple(address), MEMBERSHIP, payload)
                case swim.Changed(member):
                    self._member_changed(member)
                case swim.HostsLeaving(names):
                    self._publish_leaving(names)

    def _step_spreader(self, event):
        for action in self.spreader.step(event, self._loop.clock.now()):
            match action:
                case rumors.SendMessage(peer, message):
                    member = self.membership.members_by_name.get(peer)
                    if member is not None:
                        payload = _encoder.encode(message)
                        self._endpoint.send(
                            tuple(member.peer_address), SPREADING, payload
                        )
                case rumors.RequestBuckets(peer, want):
                    self._ask(peer, want)
                case rumors.FetchValue():
                    self._fetch(action)
                case rumors.ValueInstalled(kind, name, generation, value):
                    for callback in self._subscribers_by_kind[kind]:
                        self._loop.call_soon(callback, name, generation, value)
                case rumors.Ready():
                    self.ready.set_result(None)

    def _member_changed(self, member):
        self._peers_changed = True
        if member.state == swim.DEAD:
            self._endpoint.forget(member.name)
        if self.on_membership is not None:
            self._loop.call_soon(self.on_membership, member)

    def _publish_leaving(self, names):
        for name in sorted(names | self.leaving_hosts()):
            generation, value = self.spreader.get(HOST, name)
            state = LEAVING if name in names else LISTED
            if value != state:
                self.publish(HOST, name, generation + 1, state)

    def _sync(self, address, request):
        def merge(sender_and_answer):
            answer = msgspec.msgpack.decode(sender_and_answer, type=swim.SyncAnswer)
            self._step_membership(swim.MessageReceived("", answer))

        self._call(address, SYNC, _encoder.encode(request), merge, lambda: None)

    def _ask(self, peer, want):
        def take(payload):
            answer = msgspec.msgpack.decode(payload, type=rumors.Rumors)
            self._step_spreader(rumors.BucketsReceived(peer, answer))

        self._call_member(
            peer,
            WANT,
            _encoder.encode(want),
            take,
            lambda: self._step_spreader(rumors.BucketRequestFailed(peer)),
        )

    def _fetch(self, fetch):
        key = (fetch.kind, fetch.name, fetch.generation)

        def take(payload):
            inflater = zlib.decompressobj()
            value = inflater.decompress(payload, MAX_VALUE_BYTES)
            if not inflater.eof:
                raise errors.PeerRejected("a value is too large or truncated")
            self._step_spreader(rumors.FetchResult(fetch.peer, *key, value))

        self._call_member(
            fetch.peer,
            BODY,
            _encoder.encode(key),
            take,
            lambda: self._step_spreader(rumors.FetchResult(fetch.peer, *key, None)),
        )

    def _call_member(self, name, kind, payload, take, give_up):
        member = self.membership.members_by_name.get(name)
        if member is None:
            give_up()
        else:
            self._call(tuple(member.peer_address), kind, payload, take, give_up)

    def _call(self, address, kind, payload, take, give_up):
        deadline = self._loop.clock.now() + CALL_SECONDS
        future = self._client(address).call(kind, payload, deadline)

        def finish(done):
            if self._closed:
                return
            try:
                take(done.result())
            except errors.CassiahillError:
                give_up()
            except (msgspec.MsgspecError, zlib.error):
                self.refusals_by_reason["malformed answer"] += 1
                logging.warning("event=malformed_answer address=%s", address)
                give_up()

        self._loop.when_done(future, lambda done: self._loop.call_soon(finish, done))

    def _client(self, address):
        client = self._clients_by_address.pop(address, None)
        if client is None:
            client = peer_calls.PeerClient(
                self._loop,
                address,
                self._fleet_secret,
                self._own_name,
                self._ssl_context,
            )
        self._clients_by_address[address] = client  # Moves it to the end.
        if len(self._clients_by_address) > MAX_CLIENTS:
            oldest = next(iter(self._clients_by_address))
            self._clients_by_address.pop(oldest).close()
        return client
