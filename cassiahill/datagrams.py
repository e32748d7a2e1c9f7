"""Authenticated UDP datagrams between proxies."""

import collections
import socket

from cassiahill import envelopes, errors
from cassiahill.loop import READ

MAX_DATAGRAM_BYTES = 1200  # Fits the smallest allowed IPv6 MTU, 1,280 bytes.
# A datagram is refused when its sequence number is this far below the sender's highest.
REPLAY_WINDOW_DATAGRAMS = 1024


class DatagramEndpoint:
    """UDP socket that sends and receives authenticated datagrams.

    Replayed datagrams are refused, and so are those older than the replay window.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    on_message : callable
        ``on_message(sender, kind, payload, source)`` gets each accepted message.
    fleet_secret : bytes
    own_name : str
    first_sequence : int
        Must be higher than every sequence number of earlier runs of this proxy, which
        stores none; the wall clock in nanoseconds is suitable.
    """

    def __init__(
        self, loop, address, on_message, fleet_secret, own_name, first_sequence
    ):
        self._loop = loop
        self._on_message = on_message
        self._hasher = envelopes.fleet_hasher(fleet_secret)
        self._own_name = own_name
        self._sequence = first_sequence
        self._replay_window_by_sender = {}
        self.refusals_by_reason = collections.Counter()
        self.sent_bytes = self.received_bytes = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self.address = self._sock.getsockname()
        loop.watch(self._sock, READ, self._on_ready)

    def send(self, address, kind, payload):
        """Send one datagram; return whether it was handed to the network."""
        self._sequence += 1
        data = envelopes.encode(
            self._hasher, self._own_name, self._sequence, 0, kind, payload
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

    def forget_sender(self, sender):
        """Delete the replay window of a dead member."""
        self._replay_window_by_sender.pop(sender, None)

    def close(self):
        """Close the socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()

    def _on_ready(self, _events):
        for _ in range(64):  # The limit leaves time for the loop's other sockets.
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            self.handle_datagram(data, source)

    def handle_datagram(self, data, source):
        """Verify one datagram and pass its message to ``on_message``."""
        self.received_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.refusals_by_reason["oversized"] += 1
            return
        try:
            message = envelopes.decode(self._hasher, data)
        except errors.PeerRejected as error:
            self.refusals_by_reason[error.detail] += 1
            return
        if self._is_replay(message):
            self.refusals_by_reason["replayed sequence"] += 1
            return
        self._on_message(message.sender, message.kind, message.payload, source)

    def _is_replay(self, message):
        highest_sequence, seen_bits = self._replay_window_by_sender.get(
            message.sender, (0, 0)
        )
        offset = message.sequence - highest_sequence
        if offset > 0:
            seen_bits = (
                seen_bits << offset if offset < REPLAY_WINDOW_DATAGRAMS else 0
            ) | 1
            seen_bits &= (1 << REPLAY_WINDOW_DATAGRAMS) - 1
            self._replay_window_by_sender[message.sender] = (
                message.sequence,
                seen_bits,
            )
            return False
        if offset <= -REPLAY_WINDOW_DATAGRAMS or seen_bits >> -offset & 1:
            return True
        self._replay_window_by_sender[message.sender] = (
            highest_sequence,
            seen_bits | 1 << -offset,
        )
        return False
