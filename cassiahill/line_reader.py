"""Splits received bytes into lines."""

from cassiahill import errors

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1024 * 1024


class LineReader:
    """Collects the bytes of one connection; a line ends with CR LF and nothing else."""

    def __init__(self):
        self._buffer = b""

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
        *lines, self._buffer = (self._buffer + data).split(LINE_END)
        if max(map(len, [*lines, self._buffer])) > MAX_LINE_BYTES:
            raise errors.RequestTooLarge("the line is too long")
        return lines
