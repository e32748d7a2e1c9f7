"""Tests of ``cassiahill.busy_servers``."""

import random
import unittest

from cassiahill.busy_servers import (
    BASE_PAUSE_SECONDS,
    MAX_PAUSE_DOUBLINGS,
    STREAK_RESET_SECONDS,
    BusyServers,
)


class BusyServersTest(unittest.TestCase):
    def setUp(self):
        self.servers = BusyServers(random.Random(1))

    def pause_seconds(self, refused_at):
        """Record a refusal; return how long the server is paused after it."""
        self.servers.record_refusal("a", refused_at)
        seconds = 0.0
        while self.servers.is_paused("a", refused_at + seconds):
            seconds += 0.001
        return seconds

    def test_pause_grows_with_refusals_in_a_row(self):
        """Guards against many proxies that keep a server busy with refusals."""
        now = 10.0
        pauses = []
        for _ in range(8):
            pauses.append(self.pause_seconds(now))
            now += pauses[-1] + 0.001
        longest = 1.5 * BASE_PAUSE_SECONDS * 2**MAX_PAUSE_DOUBLINGS
        self.assertLessEqual(max(pauses), longest + 0.001)
        self.assertGreater(min(pauses[4:]), max(pauses[:2]))

    def test_pause_is_short_again_after_a_while(self):
        """Guards against a server that is avoided long after an overload."""
        for number in range(6):
            self.servers.record_refusal("a", 10.0 + number)
        now = 20.0 + STREAK_RESET_SECONDS
        self.assertLessEqual(self.pause_seconds(now), 1.5 * BASE_PAUSE_SECONDS + 0.001)

    def test_refusals_of_one_moment_count_once(self):
        """Guards against a long pause after several statements were refused at once."""
        for _ in range(20):
            self.servers.record_refusal("a", 10.0)
        self.assertFalse(self.servers.is_paused("a", 10.0 + 2 * BASE_PAUSE_SECONDS))

    def test_other_servers_are_not_paused(self):
        """Guards against a busy server that makes its whole group unavailable."""
        self.servers.record_refusal("a", 10.0)
        self.assertTrue(self.servers.is_paused("a", 10.0))
        self.assertFalse(self.servers.is_paused("b", 10.0))


if __name__ == "__main__":
    unittest.main()
