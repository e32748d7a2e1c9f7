"""Digests of a set of named items, to find the differences between two processes."""

import xxhash

BUCKET_COUNT = 64


def bucket_of(name):
    """Return the number of the bucket that holds a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


class BucketDigests:
    """Hashes of the items in each bucket, independent of the order of changes."""

    def __init__(self):
        self._digests = [0] * BUCKET_COUNT
        self._root = None

    def toggle_item(self, name, content):
        """Add an item, or remove it when it was added with the same content.

        The hash of the item is combined with the bucket's hash by exclusive or, so that
        a second call undoes the first.
        """
        self._root = None
        self._digests[bucket_of(name)] ^= xxhash.xxh3_64_intdigest(
            f"{name}\0{content}".encode()
        )

    @property
    def root(self):
        """Hash of all buckets; cached, because every probe is acknowledged with it."""
        if self._root is None:
            self._root = xxhash.xxh3_64_intdigest(repr(self._digests).encode())
        return self._root

    def to_tuple(self):
        """Return the hashes of all buckets."""
        return tuple(self._digests)

    def differing_buckets(self, other_digests):
        """Return the numbers of the buckets whose hashes differ from those given."""
        return frozenset(
            bucket
            for bucket, (own_digest, other_digest) in enumerate(
                zip(self._digests, other_digests, strict=False)
            )
            if own_digest != other_digest
        )
