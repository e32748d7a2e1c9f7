"""Tests of ``cassiahill.platform_link``."""

import unittest

from cassiahill import errors, platform_link
from cassiahill.clock import ManualClock
from cassiahill.objects import ObjectStore

# In which a change must be in effect everywhere, and a part of it for spreading it.
CHANGE_SECONDS = 5.0
SPREAD_SECONDS = 1.0


class SilentStore(ObjectStore):
    """Never answers a watch, as if its request had been lost."""

    def __init__(self, clock):
        self._clock = clock

    def watch(self, kind, after_version, deadline):
        self._clock.advance(deadline - self._clock.now())
        raise errors.PlatformUnavailable("no answer before the deadline")


class LoopWithClock:
    """The part of the event loop that a watch uses."""

    def __init__(self, clock):
        self.clock = clock


class PlatformLinkTest(unittest.TestCase):
    def test_lost_watch_ends_in_time_for_the_change_that_it_hides(self):
        """Guards against a configuration that all readers learn of too late."""
        clock = ManualClock()
        link = platform_link.PlatformLink(
            LoopWithClock(clock), SilentStore(clock), None, "p1", "d1"
        )
        self.addCleanup(link.close)
        lost_at = clock.now()
        with self.assertRaises(errors.PlatformUnavailable):
            link._watch_configuration()
        waited_seconds = clock.now() - lost_at
        read_again_seconds = platform_link.READER_CHECK_INTERVAL_SECONDS
        self.assertLessEqual(
            waited_seconds + read_again_seconds, CHANGE_SECONDS - SPREAD_SECONDS
        )


if __name__ == "__main__":
    unittest.main()
