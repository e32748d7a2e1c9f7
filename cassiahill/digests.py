"""Digests of a set of named items, for finding differences between two processes."""

import xxhash

BUCKETS = 64


def bucket_of(name):
    """Return the bucket of a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


class BucketDigests:
    """One hash per bucket of names; independent of the order of changes."""

    def __init__(self):
        self._digests = [0] * BUCKETS
        self._root = None

    def toggle(self, name, content):
        """Add an item, or remove it when it was added with the same content."""
        self._root = None
        self._digests[bucket_of(name)] ^= xxhash.xxh3_64_intdigest(
            f"{name}\0{content}".encode()
        )

    @property
    def root(self):
        """Hash of all buckets; kept, because every probe's answer carries it."""
        if self._root is None:
            self._root = xxhash.xxh3_64_intdigest(repr(self._digests).encode())
        return self._root

    def to_tuple(self):
        """Return the hashes of all buckets."""
        return tuple(self._digests)

    def differing(self, digests):
        """Return the numbers of the buckets that differ from another process's."""
        return frozenset(
            number
            for number, (own, other) in enumerate(
                zip(self._digests, digests, strict=False)
            )
            if own != other
        )
