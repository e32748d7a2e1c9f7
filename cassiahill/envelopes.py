"""Authenticated envelopes of ``peers.capnp``, used on links and in datagrams."""

import hashlib
import importlib.resources
import os
import secrets
import struct
from typing import NamedTuple

import capnp

from cassiahill import errors

capnp.remove_import_hook()

with importlib.resources.as_file(
    importlib.resources.files("cassiahill").joinpath("peers.capnp")
) as _schema_path:
    _Envelope = capnp.load(os.fspath(_schema_path)).Envelope

HASH_BYTES = 16
_FIELDS = struct.Struct(">QQHH")
_ONE_SEGMENT = struct.Struct("<II")  # Segments less one, words of the first.


class Message(NamedTuple):
    """A decoded envelope whose hash was valid."""

    sender: str
    sequence: int
    call: int
    kind: str
    payload: bytes


def fleet_hasher(fleet_secret):
    """Return the hash state keyed with the fleet's secret, of any length."""
    return keyed(hashlib.blake2b(fleet_secret, digest_size=32).digest())


def keyed(key):
    """Return a keyed hash state for ``encode`` and ``decode``."""
    return hashlib.blake2b(key=key, digest_size=HASH_BYTES)


def _hash(key, sender, sequence, call, kind, payload):
    sender, kind = sender.encode(), kind.encode()
    state = key.copy()
    state.update(
        b"".join(
            (
                _FIELDS.pack(sequence, call, len(sender), len(kind)),
                sender,
                kind,
                payload,
            )
        )
    )
    return state.digest()


def encode(key, sender, sequence, call, kind, payload):
    """Return the bytes of one envelope, hashed with a key of ``keyed``."""
    envelope = _Envelope.new_message()
    envelope.sender = sender
    envelope.sequence = sequence
    envelope.call = call
    envelope.kind = kind
    envelope.payload = payload
    envelope.hash = _hash(key, sender, sequence, call, kind, payload)
    return envelope.to_bytes()


def decode(key, data):
    """Return the ``Message`` of an envelope.

    Raises
    ------
    errors.PeerRejected
        When the bytes are not an envelope or its hash is wrong.
    """
    try:
        message, received = _read(data)
        expected = _hash(key, *message)
    except (capnp.KjException, ValueError, struct.error) as error:
        raise errors.PeerRejected("malformed envelope") from error
    if not secrets.compare_digest(received, expected):
        raise errors.PeerRejected("wrong hash")
    return message


def _read(data):
    # Reading the only segment directly takes half the time of ``from_bytes``, whose
    # context manager is needed only for several segments.
    rest, words = _ONE_SEGMENT.unpack_from(data)
    if rest == 0:
        if len(data) != 8 + 8 * words:
            raise ValueError("the length does not match the segment table")
        return _fields(_Envelope.from_segments([data[8:]]))
    with _Envelope.from_bytes(data) as envelope:
        return _fields(envelope)


def _fields(envelope):
    message = Message(
        envelope.sender,
        envelope.sequence,
        envelope.call,
        envelope.kind,
        envelope.payload,
    )
    return message, envelope.hash
