"""Tests of ``cassiahill.commit_confirmation`` in the executor of a session."""

import unittest

from cassiahill import commit_witnesses
from cassiahill.statements import Access, Code, Run
from tests.line_group import InMemoryServer
from tests.session_builders import TIMEOUT_SECONDS, GroupFixture


class CommitConfirmationTest(unittest.TestCase):
    """The primary is in the own failure domain, and no other known server is."""

    def setUp(self):
        self.fixture = make_proving_fixture()
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

    def test_commit_is_promised_once_a_replica_that_answers_has_it(self):
        """Guards against answers that are held back although there is no partition."""
        reply = self.start_write_behind_a_new_cut()
        self.fixture.servers.by_id["b"].unreachable = False
        self.fixture.servers.catch_up("b")
        for _ in range(5):
            self.fixture.loop.advance(0.1)
            state_settled(self.fixture)
        self.fixture.loop.advance(0.05)
        self.assertIsNone(reply.result().code)

    def test_replica_that_does_not_answer_delays_no_proof_by_another(self):
        """Guards against slow writes while one replica is cut off."""
        self.fixture.servers.by_id["b"].unreachable = True
        for _ in range(5):
            request = self.fixture.make_request(Run(Access.WRITE, "x"), Access.WRITE)
            reply = self.fixture.loop.spawn(self.session.run(request))
            self.fixture.loop.advance(0.1)
            self.assertIsNone(reply.result().code)

    def test_commit_is_not_held_back_while_other_domains_answer(self):
        """Guards against slow writes in groups that are seldom used."""
        for pause_seconds in (0.05, 0.15, 0.25, 0.35):
            self.fixture.loop.advance(pause_seconds)
            request = self.fixture.make_request(Run(Access.WRITE, "x"), Access.WRITE)
            reply = self.fixture.loop.spawn(self.session.run(request))
            self.fixture.loop.advance(0.05)
            self.assertIsNone(reply.result().code)


class RestartedReplicaTest(unittest.TestCase):
    """Replica ``b`` receives nothing, and ``c`` has restarted, which ends a pause."""

    def setUp(self):
        self.fixture = make_proving_fixture()
        self.fixture.servers.by_id["b"].not_receiving = True
        self.fixture.servers.restart("c")
        self.fixture.loop.advance(0.2)

    def start_write(self):
        """Start a write that only ``c`` acknowledges."""
        acknowledged_before = len(self.fixture.servers.acknowledged)
        request = self.fixture.make_request(Run(Access.WRITE, "w"), Access.WRITE)
        reply = self.fixture.loop.spawn(self.fixture.session().run(request))
        self.fixture.loop.advance(0.1)
        self.assertFalse(reply.done())
        self.assertEqual(
            len(self.fixture.servers.acknowledged), acknowledged_before + 1
        )
        return reply

    def test_commit_is_not_promised_without_a_statement_since_the_restart(self):
        """Guards against lost commits of a promotion that this process knows not of."""
        reply = self.start_write()
        self.fixture.loop.advance(TIMEOUT_SECONDS)
        self.assertEqual(reply.result().code, Code.OUTCOME_UNKNOWN)

    def test_commit_is_not_promised_on_the_word_of_its_former_primary(self):
        """Guards against a server that has stepped down and proves its own commits."""
        reply = self.start_write()
        self.fixture.servers.primary = None
        self.fixture.loop.advance(TIMEOUT_SECONDS)
        self.assertEqual(reply.result().code, Code.OUTCOME_UNKNOWN)

    def test_held_commit_is_promised_when_nothing_is_promoted(self):
        """Guards against unknown outcomes of a promotion that does not take place."""
        reply = self.start_write()
        state_settled(self.fixture)
        self.fixture.loop.advance(0.1)
        self.assertIsNone(reply.result().code)

    def test_writes_are_refused_at_once_without_a_replica_that_proves_them(self):
        """Guards against writes that wait for a proof which cannot come."""
        self.fixture.servers.restart("b")
        self.fixture.loop.advance(0.2)
        request = self.fixture.make_request(Run(Access.WRITE, "w"), Access.WRITE)
        reply = self.fixture.loop.spawn(self.fixture.session().run(request))
        self.fixture.loop.advance(0.01)
        self.assertTrue(reply.done())
        self.assertEqual(reply.result().code, Code.BUSY)


class LateStatementTest(unittest.TestCase):
    """Two statements whose answers overtake each other."""

    def test_older_statement_names_no_server_again(self):
        """Guards against commits of a replica that the promoter knows no more."""
        fixture = make_proving_fixture()
        now = fixture.loop.clock.now()
        witnesses = fixture.group.commit_witnesses
        witnesses.record_statement("ab", now, now)
        self.assertEqual(witnesses.usable_ids("a", now), ["b"])
        witnesses.record_statement("abc", now, now - 0.1)
        self.assertEqual(witnesses.usable_ids("a", now), ["b"])


class SilentPromoterTest(unittest.TestCase):
    """A process that has not heard of the promoter for long."""

    def test_replicas_prove_nothing_after_a_long_silence(self):
        """Guards against commits that only a replica behind a long cut has.

        The others have removed it, and wait for it no longer.
        """
        fixture = make_proving_fixture()
        session = fixture.session()
        self.assertIsNone(fixture.write(session).code)
        fixture.loop.advance(commit_witnesses.MAX_SILENCE_SECONDS)
        self.assertIsNotNone(fixture.write(session).code)


def make_proving_fixture():
    """Return a fixture whose promoter has just stated that nothing is promoted."""
    fixture = GroupFixture()
    fixture.group.start_proving_commits()
    state_settled(fixture)
    return fixture


def state_settled(fixture):
    """Let the promoter state that nothing is promoted."""
    now = fixture.loop.clock.now()
    fixture.group.commit_witnesses.record_statement("abc", now, now)


if __name__ == "__main__":
    unittest.main()
