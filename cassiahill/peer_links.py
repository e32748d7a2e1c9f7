"""Authenticated connections between proxies.

Each side first sends a hello message with a random nonce. All later hashes of the link
are keyed with both nonces, so that a recorded connection cannot be replayed. Messages
are numbered without gaps, so that a repeated or lost message is noticed.
"""

import collections
import secrets
import struct

import msgspec

from cassiahill import envelopes, errors
from cassiahill.envelopes import Message

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HELLO_BYTES = 1024  # Limits the memory of an unauthenticated connection.
MAX_BATCH_BYTES = 65_536
HELLO_TIMEOUT_SECONDS = 5.0
NONCE_BYTES = 16
HELLO = "hello"
BATCH = "batch"
_LENGTH_PREFIX = struct.Struct(">I")
_batch_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(list[tuple[int, str, bytes]])


class PeerLink:
    """Framing, authentication, sequence numbers and batching of one connection.

    Parameters
    ----------
    loop : loop.EventLoop
    own_name : str
    fleet_secret : bytes
    role : {b"client", b"server"}
    handler : object
        Has the methods ``on_open(link)`` and ``on_message(link, message)`` and the
        counter ``refusals_by_reason``.
    """

    def __init__(self, loop, own_name, fleet_secret, role, handler):
        self._loop = loop
        self._own_name = own_name
        self._fleet_hasher = envelopes.fleet_hasher(fleet_secret)
        self._role = role
        self._handler = handler
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._buffer = bytearray()
        self._queued_messages = collections.deque()
        self._queued_bytes = 0
        self._send_hasher = self._receive_hasher = None
        self._last_queued_sequence = self._last_received_sequence = 0
        self.authenticated_peer = None
        self.stream = None

    @property
    def queued_bytes(self):
        """Bytes of the payloads that wait for the other end to read earlier ones."""
        return self._queued_bytes

    def start(self, stream):
        """Send the hello message on a stream that calls ``on_data`` with its input."""
        self.stream = stream
        stream.on_drained = self._flush
        self._loop.call_at(
            self._loop.clock.now() + HELLO_TIMEOUT_SECONDS, self._check_hello_deadline
        )
        self._write_frame(
            envelopes.encode(
                self._fleet_hasher, self._own_name, 0, 0, HELLO, self._nonce
            )
        )

    def send(self, request_sequence, kind, payload):
        """Queue one message; return its sequence.

        It is sent at the end of the loop's turn, or later if the other end is slow to
        read.

        Parameters
        ----------
        request_sequence : int
            Sequence of the request that the message answers, or 0.
        kind : str
        payload : bytes
        """
        if not self._queued_messages:
            self._loop.call_soon(self._flush)
        elif self._queued_bytes + len(payload) > MAX_BATCH_BYTES:
            self._flush()
        self._last_queued_sequence += 1
        self._queued_messages.append((request_sequence, kind, payload))
        self._queued_bytes += len(payload)
        return self._last_queued_sequence

    def _flush(self):
        """Send the queued messages as far as the other end reads them."""
        while (
            self._queued_messages
            and not self.stream.closed
            and not self.stream.is_congested
        ):
            self._write_batch(self._take_batch())

    def _take_batch(self):
        """Remove the next message, and as many more as fit into one batch."""
        batch_bytes = 0
        messages = []
        while self._queued_messages:
            payload_bytes = len(self._queued_messages[0][2])
            if messages and batch_bytes + payload_bytes > MAX_BATCH_BYTES:
                break
            messages.append(self._queued_messages.popleft())
            batch_bytes += payload_bytes
        self._queued_bytes -= batch_bytes
        return messages

    def _write_batch(self, messages):
        first_sequence = (
            self._last_queued_sequence - len(self._queued_messages) - len(messages) + 1
        )
        if len(messages) == 1:
            request_sequence, kind, payload = messages[0]
        else:
            # One envelope for all messages of a turn saves most of the CPU time.
            request_sequence, kind, payload = 0, BATCH, _batch_encoder.encode(messages)
        self._write_frame(
            envelopes.encode(
                self._send_hasher,
                self._own_name,
                first_sequence,
                request_sequence,
                kind,
                payload,
            )
        )

    def on_data(self, data):
        """Process received bytes, which may hold parts of frames."""
        self._buffer += data
        buffer, offset = self._buffer, 0
        while len(buffer) - offset >= _LENGTH_PREFIX.size and not self.stream.closed:
            (frame_bytes,) = _LENGTH_PREFIX.unpack_from(buffer, offset)
            if frame_bytes > (
                MAX_FRAME_BYTES if self.authenticated_peer else MAX_HELLO_BYTES
            ):
                self._refuse_and_close("oversized")
                return
            end_offset = offset + _LENGTH_PREFIX.size + frame_bytes
            if end_offset > len(buffer):
                break
            self._on_frame(
                bytes(memoryview(buffer)[offset + _LENGTH_PREFIX.size : end_offset])
            )
            offset = end_offset
        del buffer[:offset]

    def _on_frame(self, frame):
        try:
            message = envelopes.decode(
                self._receive_hasher or self._fleet_hasher, frame
            )
        except errors.PeerRejected as error:
            self._refuse_and_close(error.detail)
            return
        if self.authenticated_peer is None:
            self._on_hello(message)
        elif message.sender != self.authenticated_peer:
            self._refuse_and_close("another sender")
        elif message.sequence != self._last_received_sequence + 1:
            self._refuse_and_close("replayed sequence")
        elif message.kind == BATCH:
            self._on_batch(message)
        else:
            self._last_received_sequence += 1
            self._handler.on_message(self, message)

    def _on_batch(self, batch):
        try:
            messages = _batch_decoder.decode(batch.payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self._refuse_and_close("malformed batch")
            return
        for request_sequence, kind, payload in messages:
            if self.stream.closed:
                return
            self._last_received_sequence += 1
            self._handler.on_message(
                self,
                Message(
                    self.authenticated_peer,
                    self._last_received_sequence,
                    request_sequence,
                    kind,
                    payload,
                ),
            )

    def _on_hello(self, message):
        if message.kind != HELLO or len(message.payload) != NONCE_BYTES:
            self._refuse_and_close("no hello")
            return
        if self.stream.peer_name not in (None, message.sender):
            self._refuse_and_close("certificate of another proxy")
            return
        client_nonce, server_nonce = self._nonce, message.payload
        if self._role == b"server":
            client_nonce, server_nonce = server_nonce, client_nonce
        hashers = [
            envelopes.keyed_hasher(
                _link_key(self._fleet_hasher, client_nonce + server_nonce + role)
            )
            for role in (b"client", b"server")
        ]
        self._send_hasher, self._receive_hasher = (
            hashers if self._role == b"client" else reversed(hashers)
        )
        self.authenticated_peer = message.sender
        self._handler.on_open(self)

    def _write_frame(self, envelope):
        self.stream.write(_LENGTH_PREFIX.pack(len(envelope)) + envelope)

    def _check_hello_deadline(self):
        if self.authenticated_peer is None and not self.stream.closed:
            self._refuse_and_close("no hello in time")

    def _refuse_and_close(self, reason):
        self._handler.refusals_by_reason[reason] += 1
        self.stream.close()


def _link_key(hasher, nonces):
    hasher = hasher.copy()
    hasher.update(nonces)
    return hasher.digest()
