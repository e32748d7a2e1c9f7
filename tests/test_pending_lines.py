"""Tests of ``cassiahill.pending_lines``."""

import unittest

from cassiahill import pending_lines
from cassiahill.pending_lines import PendingLines


class PendingLinesTest(unittest.TestCase):
    def fill(self, line):
        """Return a queue that was filled with a line until it is full."""
        lines = PendingLines()
        while not lines.is_full:
            lines.append(line, 1.0)
        return lines

    def test_many_short_lines(self):
        """Guards against a client that fills the memory with many lines."""
        lines = self.fill(b"x")
        self.assertEqual(len(lines), pending_lines.MAX_PENDING_LINES + 1)

    def test_few_long_lines(self):
        """Guards against a client that fills the memory with few long lines."""
        lines = self.fill(b"x" * (pending_lines.MAX_PENDING_BYTES // 2))
        self.assertEqual(len(lines), 3)

    def test_room_after_both_limits(self):
        """Guards against reading that is never resumed, or resumed too early."""
        for line in (b"x", b"x" * 100_000):
            lines = self.fill(line)
            full_count = len(lines)
            while not lines.has_room:
                self.assertEqual(lines.popleft(), (line, 1.0))
            self.assertGreater(len(lines), 0)
            self.assertLessEqual(len(lines), full_count // 2)

    def test_cleared_queue_is_empty(self):
        """Guards against lines that count for ever after they were dropped."""
        lines = self.fill(b"x" * 100_000)
        lines.clear()
        self.assertTrue(lines.has_room)
        self.assertFalse(lines)


if __name__ == "__main__":
    unittest.main()
