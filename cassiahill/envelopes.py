"""Encoding of the authenticated envelopes on links and in datagrams.

The schema of the envelopes is in ``peers.capnp``.
"""

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
_HASHED_HEADER = struct.Struct(">QQHH")
# Cap'n Proto header: the number of segments minus one, and the first one's words.
_SEGMENT_TABLE = struct.Struct("<II")


class Message(NamedTuple):
    """A decoded envelope with a valid hash.

    ``request_sequence`` is the sequence of the request that the message answers, or 0.
    """

    sender: str
    sequence: int
    request_sequence: int
    kind: str
    payload: bytes


def fleet_hasher(fleet_secret):
    """Return the hash object keyed with the fleet's secret, which has any length."""
    return keyed_hasher(hashlib.blake2b(fleet_secret, digest_size=32).digest())


def keyed_hasher(key):
    """Return the keyed hash object that ``encode`` and ``decode`` take."""
    return hashlib.blake2b(key=key, digest_size=HASH_BYTES)


def _compute_hash(hasher, sender, sequence, request_sequence, kind, payload):
    sender, kind = sender.encode(), kind.encode()
    hasher = hasher.copy()
    hasher.update(
        b"".join(
            (
                _HASHED_HEADER.pack(sequence, request_sequence, len(sender), len(kind)),
                sender,
                kind,
                payload,
            )
        )
    )
    return hasher.digest()


def encode(hasher, sender, sequence, request_sequence, kind, payload):
    """Return the bytes of one envelope.

    Parameters
    ----------
    hasher : hash object of ``keyed_hasher``
    sender : str
        Name of the sending proxy.
    sequence : int
    request_sequence : int
        Sequence of the request that the message answers, or 0.
    kind : str
    payload : bytes
    """
    envelope = _Envelope.new_message()
    envelope.sender = sender
    envelope.sequence = sequence
    envelope.call = request_sequence
    envelope.kind = kind
    envelope.payload = payload
    envelope.hash = _compute_hash(
        hasher, sender, sequence, request_sequence, kind, payload
    )
    return envelope.to_bytes()


def decode(hasher, data):
    """Return the ``Message`` of an envelope.

    Parameters
    ----------
    hasher : hash object of ``keyed_hasher``
    data : bytes

    Raises
    ------
    errors.PeerRejected
        When the bytes are not an envelope or its hash is wrong.
    """
    try:
        message, received_hash = _read_envelope(data)
        expected_hash = _compute_hash(hasher, *message)
    except (capnp.KjException, ValueError, struct.error) as error:
        raise errors.PeerRejected("malformed envelope") from error
    if not secrets.compare_digest(received_hash, expected_hash):
        raise errors.PeerRejected("wrong hash")
    return message


def _read_envelope(data):
    # Reading a single segment directly takes half the time of ``from_bytes``, whose
    # context manager is needed only for several segments.
    extra_segments, words = _SEGMENT_TABLE.unpack_from(data)
    if extra_segments == 0:
        if len(data) != 8 + 8 * words:
            raise ValueError("the length does not match the segment table")
        return _message_and_hash(_Envelope.from_segments([data[8:]]))
    with _Envelope.from_bytes(data) as envelope:
        return _message_and_hash(envelope)


def _message_and_hash(envelope):
    message = Message(
        envelope.sender,
        envelope.sequence,
        envelope.call,
        envelope.kind,
        envelope.payload,
    )
    return message, envelope.hash
