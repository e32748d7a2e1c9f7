"""Tests of ``cassiahill.freshness``."""

import math
import unittest

import attrs

from cassiahill import freshness
from cassiahill.freshness import Containment
from cassiahill.tokens import Mark
from tests import broken_session, builders

FIVE_SERVERS = ("s1", "s2", "s3", "s4", "s5")


def view_of(*statuses, servers=("s1", "s2", "s3"), view_type=freshness.GroupView):
    """Return a view with some recorded statuses."""
    view = view_type("g", servers)
    for status in statuses:
        view.record_status(status)
    return view


def primary(server="s1", **changes):
    """Return the status of a primary."""
    return builders.status(server, role="primary", **changes)


class AgeTest(unittest.TestCase):
    def test_age_counts_from_the_last_sample_that_the_replica_contains(self):
        """Guards against an age that ignores writes the replica has not received."""
        view = view_of(
            primary(position=5, sent_at=1.0),
            primary(position=6, sent_at=2.0),
            primary(position=9, sent_at=3.0),
            builders.status("s2", position=8, sent_at=3.5),
            builders.status("s3", position=4, sent_at=3.5),
        )
        self.assertEqual(view.age("s2", 4.0), 2.0)
        self.assertEqual(view.age("s3", 4.0), math.inf)
        self.assertEqual(view.age("s1", 4.0), 0.5)

    def test_replaced_primary_does_not_limit_the_age(self):
        """Guards against ages from a primary that only a minority still follows."""
        old_statuses = [
            builders.status(server, position=5, sent_at=1.0)
            for server in FIVE_SERVERS[1:]
        ]
        late_statuses = [primary(position=5, sent_at=61.0)]
        late_statuses.append(builders.status("s2", position=5, sent_at=61.0))
        statuses = [primary(position=5, sent_at=1.0), *old_statuses, *late_statuses]
        view = view_of(*statuses, servers=FIVE_SERVERS)
        self.assertEqual(view.age("s2", 61.0), 60.0)
        broken_view = view_of(
            *statuses, servers=FIVE_SERVERS, view_type=broken_session.UnconfirmedAge
        )
        self.assertEqual(broken_view.age("s2", 61.0), 0.0)

    def test_age_of_an_answer_follows_from_its_position(self):
        """Guards against stating the age of a later poll for an earlier answer."""
        view = view_of(
            primary(position=5, sent_at=1.0),
            primary(position=9, sent_at=3.0),
            builders.status("s2", position=9, sent_at=3.5),
        )
        self.assertEqual(view.age("s2", 4.0), 1.0)
        replica_target, primary_target = (
            view.read_target("s2", 1.5),
            view.read_target("s1", 1.5),
        )
        self.assertEqual(view.answer_age(replica_target, 5, 4.0), 3.0)
        self.assertEqual(view.answer_age(primary_target, 9, 4.0), 2.5)
        view.record_status(primary("s3", term=2, last_term=2, position=9, sent_at=3.9))
        self.assertEqual(view.answer_age(replica_target, 9, 4.0), math.inf)

    def test_only_old_samples_are_dropped(self):
        """Guards against unbounded memory, and ages from a wrong sample."""
        count = 3 * freshness.MAX_PRIMARY_SAMPLES
        view = view_of(
            *(
                primary(position=position, sent_at=float(position))
                for position in range(count)
            )
        )
        view.record_status(
            builders.status("s2", position=count - 10, sent_at=float(count))
        )
        self.assertEqual(view.age("s2", float(count)), 10.0)
        view.record_status(builders.status("s3", position=5, sent_at=float(count)))
        self.assertEqual(view.age("s3", float(count)), math.inf)


class ContainsTest(unittest.TestCase):
    def test_log_with_a_suffix_that_may_be_dropped_is_not_read(self):
        """Guards against reads of a log suffix that a replica is about to drop."""
        raised_status = builders.status("s2", term=2, last_term=1, position=10)
        self.assertIs(
            view_of(raised_status).contains("s2", Mark(1, 8)), Containment.WAIT
        )
        term_starts = ((1, 1), (2, 8))
        primary_status = primary(
            "s3", term=2, last_term=2, position=8, term_starts=term_starts
        )
        view = view_of(raised_status, primary_status)
        self.assertIs(view.contains("s2", Mark(1, 8)), Containment.WAIT)
        self.assertIs(view.contains("s3", Mark(1, 8)), Containment.DIVERGED)
        target = view.read_target("s2", 0.0)
        view.record_status(attrs.evolve(primary_status, server="s2", role="replica"))
        self.assertEqual(view.mark_after_read(target, 10), Mark(1, 10))
        self.assertEqual(view.answer_age(target, 10, 0.0), math.inf)

    def test_log_that_is_a_prefix_of_the_primarys_is_read(self):
        """Guards against needless waits for a lagging replica."""
        term_starts = ((1, 1), (2, 8))
        primary_status = primary(
            "s3", term=2, last_term=2, position=8, term_starts=term_starts
        )
        lagging_status = builders.status("s2", term=2, last_term=1, position=7)
        view = view_of(primary_status, lagging_status)
        self.assertIs(view.contains("s2", Mark(1, 7)), Containment.YES)
        self.assertEqual(
            view.mark_after_read(view.read_target("s2", 0.0), 7), Mark(1, 7)
        )

    def test_mark_of_a_dropped_term_has_diverged(self):
        """Guards against accepting a mark of a term without entries in the history."""
        term_starts = ((1, 1), (2, 3), (4, 7))
        view = view_of(
            primary(term=4, last_term=4, position=9, term_starts=term_starts),
        )
        self.assertIs(view.contains("s1", Mark(3, 5)), Containment.DIVERGED)
        self.assertIs(view.contains("s1", Mark(2, 6)), Containment.YES)

    def test_primary_contains_all_positions_of_its_term(self):
        """Guards against reads of own writes that wait for a poll of the primary."""
        view = view_of(primary(position=5))
        self.assertIs(view.contains("s1", Mark(1, 9)), Containment.YES)
        self.assertIs(view.contains("s1", Mark(2, 1)), Containment.WAIT)

    def test_mark_for_an_unknown_write_has_the_next_position(self):
        """Guards against a read that skips an own write of unknown outcome."""
        view = view_of(primary(position=5))
        self.assertEqual(view.mark_for_unknown_write(1), Mark(1, 6))
        self.assertEqual(view.mark_for_unknown_write(2), Mark(2, 1))
