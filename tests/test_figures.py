"""Tests of ``cassiahill.figures``."""

import unittest
from unittest import mock

from cassiahill import errors, figures, objects

DAY = "2026-12-04"
# Start of DAY in seconds since the epoch.
MIDNIGHT = 1_796_342_400.0
# Far in the future.
DEADLINE = 1e12


class UnreachableStore(objects.MemoryObjectStore):
    """A store that is unreachable for puts as long as ``is_unreachable`` is set."""

    is_unreachable = False

    def put(self, *args):
        if self.is_unreachable:
            raise errors.PlatformUnavailable("the store is unreachable")
        return super().put(*args)


class FiguresTest(unittest.TestCase):
    def setUp(self):
        self.store = UnreachableStore()
        self.publisher = figures.FigurePublisher(self.store, "proxy-1.a")
        self.collector = figures.FigureCollector(MIDNIGHT)

    def count_request(self, second, count=1, group="fees"):
        """Count requests that end in the given second of the day."""
        for _ in range(count):
            self.collector.count_request(
                MIDNIGHT + second,
                group,
                "urgent",
                "done",
                0.004,
                read_from_replica=True,
            )

    def publish(self, second, ended=False):
        """Publish the batch up to a second of the day; return whether it is stored."""
        batch = self.collector.take_batch(MIDNIGHT + second)
        return self.publisher.publish(batch, DEADLINE, ended)

    def stored(self, day=DAY):
        """Return the stored ``ProxyDay``, or None."""
        proxy_days, damaged = figures.read_day(self.store, day, DEADLINE)
        self.assertEqual(damaged, [])
        return proxy_days[0] if proxy_days else None

    def test_batches_add_up(self):
        """Guards against a batch that replaces the figures of the previous one."""
        self.count_request(10, 3)
        self.publish(600)
        self.count_request(700, 2)
        self.publish(1200)
        stored = self.stored()
        (figure,) = stored.figures
        self.assertEqual((figure.hour, figure.tally.done), (0, 5))
        self.assertEqual(figure.tally.replica_reads, 5)
        self.assertAlmostEqual(figure.tally.latency_ms(99), 4.0, delta=0.1)
        self.assertEqual(stored.covered, ((0.0, 1200.0),))

    def test_outage_loses_no_figures(self):
        """Guards against dropping a batch whose put failed."""
        self.store.is_unreachable = True
        self.count_request(10)
        self.assertFalse(self.publish(600))
        self.store.is_unreachable = False
        self.count_request(700)
        self.assertTrue(self.publish(90_000, ended=True))
        self.assertEqual(self.stored().figures[0].tally.done, 2)
        self.assertEqual(self.stored().gap_hours(), set())

    def test_lost_batch_is_a_gap(self):
        """Guards against reporting the hours of a lost batch as idle."""
        self.publish(3600)
        self.collector.take_batch(MIDNIGHT + 7300)
        self.publish(86_400)
        self.assertEqual(self.stored().gap_hours(), {1, 2})

    def test_killed_process_is_a_gap(self):
        """Guards against reporting the hours after the process was killed as idle."""
        self.publish(80_000)
        self.assertEqual(self.stored().gap_hours(), {22, 23})
        self.assertEqual(self.stored().gap_hours(until_second=79_000), set())

    def test_ended_process_has_no_gap(self):
        """Guards against reporting a gap after each orderly shutdown."""
        self.publish(80_000, ended=True)
        self.assertEqual(self.stored().gap_hours(), set())

    def test_batch_over_midnight(self):
        """Guards against figures that are stored under the wrong day."""
        self.count_request(86_000)
        self.count_request(86_500, 2)
        self.publish(87_000)
        self.assertEqual(self.stored().figures[0].hour, 23)
        self.assertEqual(self.stored("2026-12-05").covered, ((0.0, 600.0),))
        self.assertEqual(self.stored("2026-12-05").figures[0].tally.done, 2)

    def test_memory_is_bounded(self):
        """Guards against memory use that grows with the length of an outage."""
        self.store.is_unreachable = True
        for day in range(5):
            self.publish(day * 86_400 + 600)
        self.assertEqual(self.publisher.dropped_days, 3)

    def test_groups_beyond_the_limit_are_counted_together(self):
        """Guards against dropping requests when there are too many groups."""
        for number in range(figures.MAX_BATCH_TALLIES + 50):
            self.count_request(1, group=f"g{number}")
        self.publish(600)
        stored_figures = self.stored().figures
        others = [
            figure for figure in stored_figures if figure.group == figures.OTHER_GROUPS
        ]
        self.assertEqual((len(stored_figures), others[0].tally.done), (301, 50))

    def test_latencies_beyond_the_object_size(self):
        """Guards against figures of a busy day that are too large to be stored."""
        for number in range(50):
            self.count_request(1, group=f"g{number}")
        with mock.patch.object(objects, "MAX_VALUE_BYTES", 5_500):
            self.assertTrue(self.publish(600))
        tallies = [figure.tally for figure in self.stored().figures]
        self.assertEqual(sum(tally.done for tally in tallies), 50)
        self.assertEqual({tally.latency_gap for tally in tallies}, {False, True})

    def test_damaged_objects_are_named(self):
        """Guards against an exception on a damaged object, and against ignoring it."""
        rows = '[[0,"g","urgent",1,0,0,0,0,0,"AAAA"]]'
        for number, value in enumerate(("", "[]", '{"rows": ' + rows + "}")):
            self.store.put(f"figures/{DAY}", str(number), value.encode(), None, 0.0)
        body = '{"proxy":"p","covered":[],"ended":true,"rows":' + rows + "}"
        self.store.put(f"figures/{DAY}", "3", body.encode(), None, 0.0)
        proxy_days, damaged = figures.read_day(self.store, DAY, DEADLINE)
        self.assertEqual((proxy_days, damaged), ([], ["0", "1", "2", "3"]))
