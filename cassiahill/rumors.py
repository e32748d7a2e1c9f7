"""Messages, events and actions of the spreading of values."""

import math

import attrs
import msgspec

BATCH_BYTES = 900  # Leaves room for the envelope in a datagram of 1,200 bytes.


class Rumor(msgspec.Struct, array_like=True, frozen=True):
    """A generation of a value; ``value`` is absent when it has to be fetched.

    ``age`` counts the rounds of push so far. ``life_ms`` is the remaining life, or 0
    for a value that stays.
    """

    kind: str
    name: str
    generation: int
    digest: bytes
    age: int = 0
    life_ms: int = 0
    value: bytes | None = None


class Rumors(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Rumors that are pushed, or the answer to ``Want``."""

    rumors: tuple[Rumor, ...]


class Pull(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Offers a comparison; there is no answer when the digests are equal."""

    digest: int


class Buckets(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Answers ``Pull`` when the digests differ."""

    digests: tuple[int, ...]


class Want(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks for the rumors of some buckets; sent on a link."""

    buckets: tuple[int, ...]


WireMessage = Rumors | Pull | Buckets | Want


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class Publish:
    """A value that the own process got from the platform or observed."""

    kind: str
    name: str
    generation: int
    value: bytes
    life_ms: int = 0


@attrs.frozen
class MessageReceived:
    """A message of another proxy arrived."""

    sender: str
    message: object


@attrs.frozen
class BucketsReceived:
    """A proxy answered a ``RequestBuckets``."""

    peer: str
    answer: Rumors


@attrs.frozen
class BucketRequestFailed:
    """A proxy did not answer a ``RequestBuckets``."""

    peer: str


@attrs.frozen
class FetchResult:
    """The result of a ``FetchValue``; ``value`` is None when it failed."""

    peer: str
    kind: str
    name: str
    generation: int
    value: bytes | None


@attrs.frozen
class PeersChanged:
    """The live members, the own process included or not.

    ``neighbours`` are those in a fixed tree or graph.
    """

    names: tuple
    name_set: frozenset
    neighbours: tuple = ()


@attrs.frozen
class SendMessage:
    """Send a message in a datagram."""

    peer: str
    message: object


@attrs.frozen
class RequestBuckets:
    """Send ``Want`` on a link.

    It ends with ``BucketsReceived`` or ``BucketRequestFailed``.
    """

    peer: str
    want: Want


@attrs.frozen
class FetchValue:
    """Fetch a value from a peer; ends with ``FetchResult``."""

    peer: str
    kind: str
    name: str
    generation: int


@attrs.frozen
class ValueInstalled:
    """A higher generation was accepted."""

    kind: str
    name: str
    generation: int
    value: bytes


@attrs.frozen
class Ready:
    """Enough peers were asked; the process may serve."""


@attrs.define
class Held:
    """A value that a process holds; its value is None after its life."""

    generation: int
    digest: bytes
    value: bytes | None
    forget_at: float = math.inf
    expires_at: float = math.inf


@attrs.define
class Fetching:
    """A value that is being fetched."""

    rumor: Rumor
    sources: list
    asked_at: float


def batches(pushed):
    """Return ``Rumors`` messages that each fit a datagram."""
    messages, batch, size = [], [], 0
    for rumor in pushed:
        added = _size(rumor)
        if batch and size + added > BATCH_BYTES:
            messages.append(Rumors(tuple(batch)))
            batch, size = [], 0
        batch.append(rumor)
        size += added
    if batch:
        messages.append(Rumors(tuple(batch)))
    return messages


def _size(rumor):
    # An upper bound of the encoded bytes.
    return len(rumor.kind) + len(rumor.name) + len(rumor.value or b"") + 56
