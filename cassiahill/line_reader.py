"""Splits received bytes into lines."""

from cassiahill import errors

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1024 * 1024


class LineReader:
    """Collects the bytes of one connection; a line ends with CR LF and nothing else."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def is_in_line(self):
        """Whether a line has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data):
        """Take received bytes and return the lines that are now complete.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        list of bytes
            Lines without their ends.

        Raises
        ------
        errors.RequestTooLarge
            If a line is longer than ``MAX_LINE_BYTES``.
        """
        buffer = self._buffer
        if not buffer:
            *lines, rest = data.split(LINE_END)
            buffer.extend(rest)
        else:
            # Only what is new is searched, because a line may come in many pieces.
            search_start = len(buffer) - len(LINE_END) + 1
            buffer.extend(data)
            if buffer.find(LINE_END, search_start) < 0:
                lines = []
            else:
                *lines, rest = bytes(buffer).split(LINE_END)
                buffer[:] = rest
        if max(map(len, [*lines, buffer])) > MAX_LINE_BYTES:
            raise errors.RequestTooLarge("the line is too long")
        return lines
