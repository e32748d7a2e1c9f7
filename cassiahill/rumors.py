"""Messages, events and actions of rumor spreading."""

import math

import attrs
import msgspec

# Leaves room for the envelope in a datagram of 1,200 bytes.
MAX_RUMOR_BATCH_BYTES = 900


class Rumor(msgspec.Struct, array_like=True, frozen=True):
    """One generation of a value, as it is spread among the proxies.

    Attributes
    ----------
    kind, name : str
    generation : int
    digest : bytes
        Keyed hash of the value, its name and its generation.
    push_count : int
        Rounds in which the rumor was pushed so far.
    lifetime_ms : int
        Remaining lifetime in milliseconds; 0 for a value that does not expire.
    value : bytes or None
        None when the value is large and has to be fetched from the sender.
    """

    kind: str
    name: str
    generation: int
    digest: bytes
    push_count: int = 0
    lifetime_ms: int = 0
    value: bytes | None = None


class Rumors(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Pushes rumors to a peer, or answers a ``BucketRequest``."""

    rumors: tuple[Rumor, ...]


class PullRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Asks a peer to compare digests; equal digests get no answer."""

    digest: int


class PullAnswer(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Answers a ``PullRequest`` with the digests of all buckets when they differ."""

    digests: tuple[int, ...]


class BucketRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks for the rumors of some buckets; sent on a link."""

    buckets: tuple[int, ...]


WireMessage = Rumors | PullRequest | PullAnswer | BucketRequest


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class Publish:
    """The local process has a new value, read from the platform or observed."""

    kind: str
    name: str
    generation: int
    value: bytes
    lifetime_ms: int = 0


@attrs.frozen
class MessageReceived:
    """A message from another proxy arrived."""

    sender: str
    message: object


@attrs.frozen
class BucketsReceived:
    """A proxy answered the request of ``RequestBuckets``."""

    peer: str
    answer: Rumors


@attrs.frozen
class BucketRequestFailed:
    """A proxy did not answer the request of ``RequestBuckets``."""

    peer: str


@attrs.frozen
class FetchResult:
    """The result of ``FetchValue``; ``value`` is None when it failed."""

    peer: str
    kind: str
    name: str
    generation: int
    value: bytes | None


@attrs.frozen
class PeersChanged:
    """The members that are not dead changed.

    ``names`` may include the local process. ``neighbours`` are the members adjacent to
    it in a fixed tree or graph, if there is one.
    """

    names: tuple
    name_set: frozenset
    neighbours: tuple = ()


@attrs.frozen
class SendMessage:
    """Asks the driver to send a message in a datagram."""

    peer: str
    message: object


@attrs.frozen
class RequestBuckets:
    """Asks the driver to send a ``BucketRequest`` on a link.

    The event ``BucketsReceived`` or ``BucketRequestFailed`` follows.
    """

    peer: str
    bucket_request: BucketRequest


@attrs.frozen
class FetchValue:
    """Asks the driver to fetch a value from a peer; ``FetchResult`` follows."""

    peer: str
    kind: str
    name: str
    generation: int


@attrs.frozen
class ValueInstalled:
    """Tells that a higher generation of a value was accepted."""

    kind: str
    name: str
    generation: int
    value: bytes


@attrs.frozen
class Ready:
    """Tells that enough peers have answered for the process to serve."""


@attrs.define
class StoredValue:
    """A generation that this process holds; its value is None once it has expired."""

    generation: int
    digest: bytes
    value: bytes | None
    delete_at: float = math.inf
    expires_at: float = math.inf


@attrs.define
class PendingFetch:
    """A value that is being fetched, and the peers that it can be fetched from."""

    rumor: Rumor
    sources: list
    requested_at: float


def pack_rumors(rumors):
    """Return ``Rumors`` messages that each fit into a datagram."""
    messages, batch, batch_bytes = [], [], 0
    for rumor in rumors:
        rumor_bytes = _max_encoded_bytes(rumor)
        if batch and batch_bytes + rumor_bytes > MAX_RUMOR_BATCH_BYTES:
            messages.append(Rumors(tuple(batch)))
            batch, batch_bytes = [], 0
        batch.append(rumor)
        batch_bytes += rumor_bytes
    if batch:
        messages.append(Rumors(tuple(batch)))
    return messages


def _max_encoded_bytes(rumor):
    # An upper bound: 56 bytes cover the other fields and the encoding's headers.
    return len(rumor.kind) + len(rumor.name) + len(rumor.value or b"") + 56
