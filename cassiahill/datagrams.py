"""Authenticated datagrams between proxies over UDP."""

import collections
import socket

from cassiahill import envelopes, errors
from cassiahill.loop import READ

MAX_DATAGRAM_BYTES = 1200  # Fits an IPv6 path of the smallest allowed MTU, 1,280.
REPLAY_WINDOW = 1024  # Datagrams of one sender that may arrive out of order.


class DatagramEndpoint:
    """Authenticated datagrams; a replayed or much older one is refused.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    on_message : callable
        ``on_message(sender, kind, payload, source)``.
    fleet_secret : bytes
    own_name : str
    first_sequence : int
        Must be higher than in earlier runs of the same proxy, which keeps no state; the
        wall clock in nanoseconds is suitable.
    """

    def __init__(
        self, loop, address, on_message, fleet_secret, own_name, first_sequence
    ):
        self._loop = loop
        self._on_message = on_message
        self._key = envelopes.fleet_hasher(fleet_secret)
        self._own_name = own_name
        self._sequence = first_sequence
        self._seen_by_sender = {}
        self.refusals_by_reason = collections.Counter()
        self.sent_bytes = self.received_bytes = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self.address = self._sock.getsockname()
        loop.watch(self._sock, READ, self._on_ready)

    def send(self, address, kind, payload):
        """Send one datagram; return False when it is too large or was dropped."""
        self._sequence += 1
        data = envelopes.encode(
            self._key, self._own_name, self._sequence, 0, kind, payload
        )
        if len(data) > MAX_DATAGRAM_BYTES:
            self.refusals_by_reason["oversized"] += 1
            return False
        try:
            self._sock.sendto(data, address)
        except OSError:
            self.refusals_by_reason["not sent"] += 1
            return False
        self.sent_bytes += len(data)
        return True

    def forget(self, sender):
        """Drop the replay window of a member that has been removed."""
        self._seen_by_sender.pop(sender, None)

    def close(self):
        """Close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()

    def _on_ready(self, _events):
        for _ in range(64):  # Leaves time for the other sockets of the loop.
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            self.receive(data, source)

    def receive(self, data, source):
        """Check one datagram and pass it on."""
        self.received_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.refusals_by_reason["oversized"] += 1
            return
        try:
            message = envelopes.decode(self._key, data)
        except errors.PeerRejected as error:
            self.refusals_by_reason[error.detail] += 1
            return
        if self._is_replay(message):
            self.refusals_by_reason["replayed sequence"] += 1
            return
        self._on_message(message.sender, message.kind, message.payload, source)

    def _is_replay(self, message):
        highest, seen = self._seen_by_sender.get(message.sender, (0, 0))
        ahead = message.sequence - highest
        if ahead > 0:
            seen = (seen << ahead if ahead < REPLAY_WINDOW else 0) | 1
            seen &= (1 << REPLAY_WINDOW) - 1
            self._seen_by_sender[message.sender] = (message.sequence, seen)
            return False
        if ahead <= -REPLAY_WINDOW or seen >> -ahead & 1:
            return True
        self._seen_by_sender[message.sender] = (highest, seen | 1 << -ahead)
        return False
