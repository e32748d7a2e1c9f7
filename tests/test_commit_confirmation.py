"""Tests of ``cassiahill.commit_confirmation`` in the executor of a session."""

import unittest

from cassiahill.announced_promotion import ANNOUNCEMENT_SECONDS
from cassiahill.statements import Access, Code, Run
from tests.line_group import InMemoryServer
from tests.session_builders import GroupFixture


class CommitConfirmationTest(unittest.TestCase):
    """The primary is in the own failure domain, and no other known server is."""

    def setUp(self):
        self.fixture = GroupFixture()
        self.session = self.fixture.session()

    def start_write_behind_a_new_cut(self):
        """Start a write that only a replica acknowledges which has just started.

        Returns
        -------
        loop.LoopFuture
            Future of the reply, some time after the acknowledgement.
        """
        servers = self.fixture.servers
        servers.by_id["b"].unreachable = servers.by_id["c"].unreachable = True
        self.fixture.loop.advance(0.2)
        log = servers.by_id["a"].log[:]
        servers.by_id["d"] = InMemoryServer("d", "domain-a", log, applied=1)
        request = self.fixture.make_request(Run(Access.WRITE, "late"), Access.WRITE)
        reply = self.fixture.loop.spawn(self.session.run(request))
        self.fixture.loop.advance(0.2)
        self.assertEqual(len(servers.acknowledged), 1)
        return reply

    def test_commit_acknowledged_before_the_partition_is_noticed_is_not_promised(self):
        """Guards against commits that others lose and clients were told of."""
        reply = self.start_write_behind_a_new_cut()
        self.assertFalse(reply.done())
        self.fixture.group.partitioned = True
        self.fixture.loop.advance(0.1)
        self.assertEqual(reply.result().code, Code.OUTCOME_UNKNOWN)

    def test_commit_is_promised_once_another_domain_answers(self):
        """Guards against answers that are held back although there is no partition."""
        reply = self.start_write_behind_a_new_cut()
        self.fixture.servers.by_id["b"].unreachable = False
        self.fixture.loop.advance(0.6)
        self.assertIsNone(reply.result().code)

    def test_commit_is_not_held_back_while_other_domains_answer(self):
        """Guards against slow writes in groups that are seldom used."""
        for pause_seconds in (0.05, 0.15, 0.25, 0.35):
            self.fixture.loop.advance(pause_seconds)
            request = self.fixture.make_request(Run(Access.WRITE, "x"), Access.WRITE)
            reply = self.fixture.loop.spawn(self.session.run(request))
            self.fixture.loop.advance(0.05)
            self.assertIsNone(reply.result().code)


class AnnouncedPromotionTest(unittest.TestCase):
    """Server ``b`` is about to be promoted and receives nothing."""

    def setUp(self):
        self.fixture = GroupFixture()
        self.fixture.servers.by_id["b"].not_receiving = True
        self.fixture.group.announce_promotion("b")

    def start_write(self):
        request = self.fixture.make_request(Run(Access.WRITE, "w"), Access.WRITE)
        reply = self.fixture.loop.spawn(self.fixture.session().run(request))
        self.fixture.loop.advance(0.1)
        self.assertFalse(reply.done())
        return reply

    def test_held_commit_is_not_promised_when_the_announcement_lapses(self):
        """Guards against lost commits while an order without an answer is repeated."""
        self.fixture.loop.advance(ANNOUNCEMENT_SECONDS - 0.3)
        reply = self.start_write()
        self.fixture.loop.advance(0.4)
        self.assertEqual(reply.result().code, Code.OUTCOME_UNKNOWN)

    def test_held_commit_is_promised_when_the_promotion_is_withdrawn(self):
        """Guards against unknown outcomes of a promotion that does not take place."""
        reply = self.start_write()
        self.fixture.group.announce_promotion(None)
        self.fixture.loop.advance(0.1)
        self.assertIsNone(reply.result().code)


if __name__ == "__main__":
    unittest.main()
