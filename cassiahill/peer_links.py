"""Authenticated connections between proxies.

Both ends first send a random nonce. The hashes of the link are keyed with both nonces,
so that a recorded link cannot be replayed, and its sequence numbers have no gaps.
"""

import secrets
import struct

import msgspec

from cassiahill import envelopes, errors
from cassiahill.envelopes import Message

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HELLO_BYTES = 1024  # Limits what an unauthenticated connection can occupy.
MAX_BATCH_BYTES = 65_536
HELLO_SECONDS = 5.0
NONCE_BYTES = 16
HELLO = "hello"
BATCH = "batch"
_LENGTH = struct.Struct(">I")
_batch_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(list[tuple[int, str, bytes]])


class Link:
    """Framing, authentication, sequence numbers and batches of one connection.

    Parameters
    ----------
    loop : loop.EventLoop
    own_name : str
    fleet_secret : bytes
    role : {b"client", b"server"}
    owner : object
        Has ``on_open(link)``, ``on_message(link, message)`` and
        ``refusals_by_reason``.
    """

    def __init__(self, loop, own_name, fleet_secret, role, owner):
        self._loop = loop
        self._own_name = own_name
        self._fleet_key = envelopes.fleet_hasher(fleet_secret)
        self._role = role
        self._owner = owner
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._buffer = bytearray()
        self._out = []
        self._out_bytes = 0
        self._send_key = self._receive_key = None
        self._sent = self._received = 0
        self.peer = None
        self.stream = None

    def start(self, stream):
        """Send the hello on a stream, which calls ``on_data`` for what it receives."""
        self.stream = stream
        self._loop.call_at(self._loop.clock.now() + HELLO_SECONDS, self._expire_hello)
        self._write(
            envelopes.encode(self._fleet_key, self._own_name, 0, 0, HELLO, self._nonce)
        )

    def send(self, call, kind, payload):
        """Queue one message for this turn's write and return its sequence."""
        if not self._out:
            self._loop.call_soon(self._flush)
        elif self._out_bytes + len(payload) > MAX_BATCH_BYTES:
            self._flush()
        self._sent += 1
        self._out.append((call, kind, payload))
        self._out_bytes += len(payload)
        return self._sent

    def _flush(self):
        if not self._out:
            return
        messages, self._out, self._out_bytes = self._out, [], 0
        first = self._sent - len(messages) + 1
        if len(messages) == 1:
            call, kind, payload = messages[0]
        else:
            # One envelope for all messages of a turn saves most of their CPU time.
            call, kind, payload = 0, BATCH, _batch_encoder.encode(messages)
        self._write(
            envelopes.encode(self._send_key, self._own_name, first, call, kind, payload)
        )

    def on_data(self, data):
        """Take received bytes."""
        self._buffer += data
        buffer, offset = self._buffer, 0
        while len(buffer) - offset >= _LENGTH.size and not self.stream.closed:
            (length,) = _LENGTH.unpack_from(buffer, offset)
            if length > (MAX_FRAME_BYTES if self.peer else MAX_HELLO_BYTES):
                self._refuse("oversized")
                return
            end = offset + _LENGTH.size + length
            if end > len(buffer):
                break
            self._on_frame(bytes(memoryview(buffer)[offset + _LENGTH.size : end]))
            offset = end
        del buffer[:offset]

    def _on_frame(self, frame):
        try:
            message = envelopes.decode(self._receive_key or self._fleet_key, frame)
        except errors.PeerRejected as error:
            self._refuse(error.detail)
            return
        if self.peer is None:
            self._on_hello(message)
        elif message.sender != self.peer:
            self._refuse("another sender")
        elif message.sequence != self._received + 1:
            self._refuse("replayed sequence")
        elif message.kind == BATCH:
            self._on_batch(message)
        else:
            self._received += 1
            self._owner.on_message(self, message)

    def _on_batch(self, envelope):
        try:
            messages = _batch_decoder.decode(envelope.payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self._refuse("malformed batch")
            return
        for call, kind, payload in messages:
            if self.stream.closed:
                return
            self._received += 1
            self._owner.on_message(
                self, Message(self.peer, self._received, call, kind, payload)
            )

    def _on_hello(self, message):
        if message.kind != HELLO or len(message.payload) != NONCE_BYTES:
            self._refuse("no hello")
            return
        if self.stream.peer_name not in (None, message.sender):
            self._refuse("certificate of another proxy")
            return
        client, server = self._nonce, message.payload
        if self._role == b"server":
            client, server = server, client
        keys = [
            envelopes.keyed(_link_key(self._fleet_key, client + server + role))
            for role in (b"client", b"server")
        ]
        self._send_key, self._receive_key = (
            keys if self._role == b"client" else reversed(keys)
        )
        self.peer = message.sender
        self._owner.on_open(self)

    def _write(self, envelope):
        self.stream.write(_LENGTH.pack(len(envelope)) + envelope)

    def _expire_hello(self):
        if self.peer is None and not self.stream.closed:
            self._refuse("no hello in time")

    def _refuse(self, reason):
        self._owner.refusals_by_reason[reason] += 1
        self.stream.close()


def _link_key(fleet_hasher, nonces):
    state = fleet_hasher.copy()
    state.update(nonces)
    return state.digest()
