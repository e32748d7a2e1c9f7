"""Tests of ``standins.database``."""

import unittest

from standins import database, sqllog


class TruncateTest(unittest.TestCase):
    def test_truncate_drops_term_unknown_to_primary(self):
        """Guards against a replica that keeps entries of a term the primary lacks."""
        parser = database.build_parser()
        options = parser.parse_args(["--name", "s1", "--group", "g", "--port", "0"])
        replica = database.Database(options)
        self.addCleanup(replica.loop.close)
        self.addCleanup(replica.server.close)
        for term in (1, 1, 3, 3):
            replica.log.append(sqllog.LogEntry(term, []))
        replica._truncate_to_history([[1, 1], [2, 3], [4, 9]])
        self.assertEqual((replica.log.position, replica.log.last_term), (2, 1))
