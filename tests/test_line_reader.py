"""Tests of ``cassiahill.line_reader``."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cassiahill import errors
from cassiahill.line_reader import MAX_LINE_BYTES, LineReader
from tests import counting_bytes
from tests.counting_bytes import CountingBytes

# Line ends, their halves and what stands around them come up more often than by chance.
PIECES = st.lists(
    st.one_of(
        st.sampled_from([b"\r\n", b"\r", b"\n", b"\r\r\n", b"QUERY 1 READ a", b" "]),
        st.binary(max_size=5),
    ),
    max_size=30,
)


def read_in_cuts(stream, cuts):
    """Return the lines of a stream that arrives in pieces, and whether one is open."""
    reader = LineReader()
    lines = []
    positions = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    for start, end in zip(positions, positions[1:], strict=False):
        lines += reader.feed(stream[start:end])
    return lines, reader.is_in_line


class LineReaderTest(unittest.TestCase):
    @given(PIECES, st.lists(st.integers(0, 200), max_size=8))
    @example([b"WRITE a x\ny\r", b"\n", b"z"], [11, 12])
    @settings(derandomize=True, max_examples=2000, deadline=None)
    def test_lines_end_with_cr_lf_wherever_the_bytes_are_cut(self, pieces, cuts):
        """Guards against text that ends a line, and line ends that are missed."""
        stream = b"".join(pieces)
        *lines, rest = stream.split(b"\r\n")
        self.assertEqual(read_in_cuts(stream, cuts), (lines, bool(rest)))

    def test_line_in_many_small_pieces(self):
        """Guards against a line that is copied for each piece of one byte."""
        counting_bytes.reset_count()
        reader = LineReader()
        for _ in range(10_000):
            self.assertEqual(reader.feed(CountingBytes(b"x")), [])
        self.assertEqual(reader.feed(b"\r\n"), [b"x" * 10_000])
        self.assertFalse(reader.is_in_line)
        self.assertLessEqual(CountingBytes.copied_bytes, 10_000)

    def test_long_lines_are_refused(self):
        """Guards against a connection that fills the memory."""
        for data in (b"x" * (MAX_LINE_BYTES + 1), b"x" * MAX_LINE_BYTES + b"y\r\n"):
            with self.assertRaises(errors.RequestTooLarge):
                LineReader().feed(data)
        longest = b"x" * MAX_LINE_BYTES
        self.assertEqual(LineReader().feed(longest + b"\r\n"), [longest])


if __name__ == "__main__":
    unittest.main()
