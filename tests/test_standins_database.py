"""Tests of ``standins.database``."""

import unittest

from standins import database, sqllog


class TruncateTest(unittest.TestCase):
    def test_drops_a_term_that_the_primary_does_not_have(self):
        """Guards against a replica that keeps entries of a lost term."""
        parser = database.build_parser()
        options = parser.parse_args(["--name", "s1", "--group", "g", "--port", "0"])
        replica = database.Database(options)
        self.addCleanup(replica.loop.close)
        self.addCleanup(replica.server.close)
        for term in (1, 1, 3, 3):
            replica.log.append(sqllog.Entry(term, []))
        replica._truncate([[1, 1], [2, 3], [4, 9]])
        self.assertEqual((replica.log.position, replica.log.last_term), (2, 1))
