"""Tests of ``cassiahill.server_absence``, alone and in a takeover."""

import math
import unittest

from cassiahill import errors
from cassiahill.server_absence import (
    REFUSED_ABSENCE_SECONDS,
    SILENT_ABSENCE_SECONDS,
    ServerAbsence,
)
from tests.takeover_builders import TakeoverTestCase

ALWAYS = -math.inf
FOREIGN_ID = "foreign"


class ServerAbsenceTest(unittest.TestCase):
    def setUp(self):
        self.absence = ServerAbsence()

    def test_refusals_for_long_while_the_entry_is_listed(self):
        """Guards against a promotion that waits for an entry of another writer."""
        self.absence.record_refusal(10.0)
        before = 10.0 + REFUSED_ABSENCE_SECONDS - 0.1
        self.assertFalse(self.absence.is_certain(before, ALWAYS))
        self.assertTrue(self.absence.is_certain(before + 0.1, ALWAYS))

    def test_store_that_was_away_proves_nothing(self):
        """Guards against leaving out a server that has crashed in an outage."""
        self.absence.record_refusal(10.0)
        self.assertFalse(self.absence.is_certain(100.0, math.inf))
        self.assertFalse(self.absence.is_certain(100.0, 95.0))

    def test_silence_proves_much_later(self):
        """Guards against leaving out a replica behind a cut."""
        self.absence.record_refusal(10.0)
        self.absence.record_silence(11.0)
        self.assertFalse(self.absence.is_certain(39.0, ALWAYS))
        later = 10.0 + SILENT_ABSENCE_SECONDS
        self.assertTrue(self.absence.is_certain(later, ALWAYS))

    def test_answer_ends_the_absence(self):
        """Guards against leaving out a server that starts and stops in turn."""
        self.absence.record_refusal(10.0)
        self.absence.record_answer()
        self.assertFalse(self.absence.is_certain(100.0, ALWAYS))


class ListedOnlyTest(TakeoverTestCase):
    """One of the listed replicas does not exist, and the primary is lost."""

    def setUp(self):
        self.set_up_group()
        self.listed_since = 0.0
        self.takeover._evidence.servers_listed_since = lambda: self.listed_since
        self.refuses = True
        servers = self.fixture.servers
        connect = self.fixture.group.servers._connect

        def connect_or_refuse(loop, dialect, server, on_closed):
            if server.server_id == FOREIGN_ID and self.refuses:
                raise errors.ConnectionLost("refused")
            return connect(loop, dialect, server, on_closed)

        self.fixture.group.servers._connect = connect_or_refuse
        servers.by_id[FOREIGN_ID] = type(servers.by_id["b"])(
            FOREIGN_ID, "domain-b", [], unreachable=True
        )
        self.fixture.group.put_server(servers.registered(FOREIGN_ID), None)
        self.run_for(0.5)
        servers.by_id["a"].unreachable = True

    def test_refusing_address_does_not_block_for_ever(self):
        """Guards against a group without a primary for as long as an entry stays."""
        self.run_for(REFUSED_ABSENCE_SECONDS - 1.0)
        self.assertEqual(self.orders.promotions, [])
        self.run_for(3.0)
        self.assertEqual(len(self.orders.promotions), 1)
        self.assert_nothing_acknowledged_is_lost()

    def test_silent_address_does_not_block_for_ever(self):
        """Guards against the same by an address that accepts and says nothing."""
        self.refuses = False
        self.run_for(SILENT_ABSENCE_SECONDS - 1.0)
        self.assertEqual(self.orders.promotions, [])
        self.run_for(3.0)
        self.assertEqual(len(self.orders.promotions), 1)

    def test_nothing_is_left_out_while_the_store_is_away(self):
        """Guards against leaving out a crashed server that nobody can have removed."""
        self.listed_since = math.inf
        self.run_for(60.0)
        self.assertEqual(self.orders.promotions, [])


if __name__ == "__main__":
    unittest.main()
