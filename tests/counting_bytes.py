"""Received bytes that count what is copied to append them."""


class CountingBytes(bytes):
    """A piece of received data.

    Attributes
    ----------
    copied_bytes : int
        Bytes that concatenations with such pieces have copied, of all pieces together.
    """

    copied_bytes = 0

    def __radd__(self, other):
        CountingBytes.copied_bytes += len(other) + len(self)
        return bytes(other) + bytes(self)


def reset_count():
    """Start to count anew."""
    CountingBytes.copied_bytes = 0
