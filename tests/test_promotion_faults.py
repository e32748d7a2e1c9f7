"""Faults of takeovers found in a review of the lost commits of a promotion."""

import unittest

from cassiahill import missing_commits
from cassiahill.catalog import GroupLimits
from cassiahill.loop import completed_future
from cassiahill.positions import LogPosition
from cassiahill.replica_statuses import ReplicaStatus
from cassiahill.statements import Access
from tests.promotion_builders import PromoterFixture
from tests.session_builders import GroupFixture


def start_second_promoter():
    """Return a fixture whose second promoter finds the primary draining at once."""
    promoter = PromoterFixture()
    promoter.start_promoter(["a", "b", "c"])
    promoter.run_for(1.0)
    promoter.start_promoter(["a", "b", "c"])
    promoter.register("a", draining=True)
    return promoter


class ClosingOrderTokenTest(unittest.TestCase):
    """An attempt that closes earlier orders itself."""

    def test_order_has_a_higher_token_than_the_closing_order(self):
        """The order after an own closing order has a lower token, and is refused.

        Where the platform checks no fences, a lower token breaks the rule ONE.
        """
        promoter = start_second_promoter()
        started_at = promoter.fixture.loop.clock.now()
        for _ in range(400):
            promoter.run_for(0.05)
            if promoter.fixture.servers.primary != "a":
                break
        self.assertNotEqual(promoter.fixture.servers.primary, "a")
        seconds = promoter.fixture.loop.clock.now() - started_at
        tokens = [token for _, token in promoter.platform.orders]
        self.assertEqual(tokens, sorted(tokens), f"{seconds:.2f} s until the effect")


class FormerPromoterTest(unittest.TestCase):
    """An attempt that ends after another process has become the promoter."""

    def test_former_promoter_lets_no_restarted_replica_prove_commits(self):
        """A failed attempt of a former promoter ends the guard of the newer one's."""
        promoter = PromoterFixture()
        promoter.start_promoter(["a", "b", "c"])
        promoter.run_for(1.0)
        is_promoter = [True]
        promoter._takeover._confirm_promoter = lambda strictly=False: completed_future(
            is_promoter[0]
        )
        clients = promoter.fixture.group
        promoter.register("a", draining=True)
        update_servers = promoter.evidence.update_servers
        calls = []

        def let_newer_promoter_act():
            calls.append(None)
            if len(calls) == 2:  # The check right before the order.
                is_promoter[0] = False
                promoter.servers["b"].paused_term = 9
                promoter.servers["c"].paused_term = 9
                promoter.fixture.servers.restart("c")
            return update_servers()

        promoter.evidence.update_servers = let_newer_promoter_act
        promoter.run_for(0.5)
        self.assertGreaterEqual(len(calls), 2)
        self.assertEqual(promoter.platform.orders, [])
        now = promoter.fixture.loop.clock.now()
        self.assertTrue(clients.pools_by_id["c"].connection_count)
        self.assertEqual(clients.commit_witnesses.usable_ids("a", now), ["b"])


class FormerPromoterLossTest(unittest.TestCase):
    """Commits held for the newer promoter's successor."""

    def test_held_commits_are_not_promised(self):
        """Clients are told of a commit that the newer promoter's successor lacks."""
        promoter = PromoterFixture()
        promoter.start_promoter(["a", "b", "c"])
        promoter.run_for(1.0)
        is_promoter = [True]
        promoter._takeover._confirm_promoter = lambda strictly=False: completed_future(
            is_promoter[0]
        )
        promoter.register("a", draining=True)
        update_servers = promoter.evidence.update_servers
        calls = []

        def let_newer_promoter_act():
            calls.append(None)
            if len(calls) == 2:
                # The newer promoter has paused c and ordered b, which receives nothing
                # from here on; c restarts, which ends its pause.
                is_promoter[0] = False
                promoter.platform.promote("orders", "b", 1000)
                promoter.servers["b"].paused_term = 0
                promoter.servers["b"].not_receiving = True
                promoter.fixture.servers.restart("c")
            return update_servers()

        promoter.evidence.update_servers = let_newer_promoter_act
        promoter.run_for(0.3)
        promoter.write(5)
        promoter.run_for(2.0)
        self.assertEqual(promoter.fixture.servers.primary, "b")
        self.assertEqual(promoter.lost_commits, [])


class SlowPlatformTest(unittest.TestCase):
    """A platform that carries out all orders, but answers after the timeout."""

    def test_new_promoter_orders_although_answers_are_late(self):
        """A new promoter waits for the answer to a closing order for ever."""
        promoter = start_second_promoter()
        promoter.platform.unanswered_count = 1000
        for _ in range(20):
            promoter.run_for(0.5)
            promoter.platform.carry_out_late_orders()
        self.assertEqual(promoter.platform.orders[0][0], "a")
        self.assertIn("c", promoter.platform.promoted_ids, promoter.platform.orders)


class BusySuccessorTest(unittest.TestCase):
    """Replicas at which all connections of the proxy are in use."""

    def test_received_commit_is_promised(self):
        """Idle read transactions at the replicas make an outcome unknown."""
        fixture = GroupFixture()
        fixture.group.set_limits(fixture_limits(), 1)
        session = fixture.session()
        self.assertIsNone(fixture.write(session).code)
        transactions = []
        for _ in range(12):
            transaction = fixture.begin(read_only=True)
            one = fixture.session()
            fixture.run_in_transaction(one, transaction, "read 1", Access.READ)
            transactions.append(transaction)
        busy_ids = {
            transaction.lease.connection.server.server_id
            for transaction in transactions
            if transaction.lease is not None
        }
        full_ids = [
            server_id
            for server_id in "bc"
            if fixture.group.pools_by_id[server_id].acquire_any(
                fixture.loop.clock.now()
            )
            is None
        ]
        self.assertEqual(full_ids, ["b", "c"], busy_ids)
        self.assertIsNone(fixture.write(session).code)
        fixture.group.start_proving_commits()

        def state_settled():
            now = fixture.loop.clock.now()
            fixture.group.commit_witnesses.record_statement("abc", now, now)
            return now + 0.1

        fixture.loop.repeat(fixture.loop.clock.now(), state_settled)
        fixture.loop.advance(0.05)
        reply = fixture.write(session)
        self.assertIn(
            fixture.servers.by_id["a"].received,
            fixture.servers.by_id[full_ids[0]].log,
        )
        self.assertIsNone(reply.code)


def fixture_limits():
    """Return limits that allow this process two connections to a server."""
    return GroupLimits("orders", 4, True)


class UnreachedProxyTest(unittest.TestCase):
    """A proxy that the promoter's announcement does not reach."""

    def test_promotion_waits_for_a_proxy_that_serves_clients(self):
        """A proxy without the announcement promises what the successor lacks."""
        promoter = PromoterFixture()
        promoter.start_promoter(["a", "b", "c"])
        promoter.run_for(1.0)
        promoter.evidence.others_are_reachable = False
        promoter.register("a", draining=True)
        for _ in range(40):
            promoter.run_for(0.05)
            if promoter.platform.orders:
                break
        promoter.servers["c"].not_receiving = True
        promoter.fixture.servers.restart("b")
        promoter.write(1)
        promoter.run_for(2.0)
        self.assertEqual(promoter.fixture.servers.primary, "c")
        self.assertEqual(promoter.lost_commits, [])


class SecondIncidentTest(unittest.TestCase):
    """Commits that no replica has, twice, with a good primary in between."""

    def test_second_wait_is_as_long_as_the_first(self):
        """The wait for a holder counts from an earlier incident, so it is over."""
        promoter = PromoterFixture()
        promoter.start_promoter(["a", "b", "c"])
        promoter.run_for(1.0)
        servers = promoter.servers
        for incident in ("first", "second"):
            # Only a has the newest commits, as b, which acknowledged them, has lost
            # its log; a is back after 5 s, and all replicas catch up.
            servers["c"].not_receiving = True
            promoter.write(3)
            servers["b"].not_receiving = True
            del servers["b"].log[-3:]
            servers["b"].applied = len(servers["b"].log)
            servers["a"].unreachable = True
            promoter.run_for(5.0)
            self.assertEqual(promoter.platform.orders, [], incident)
            servers["a"].unreachable = False
            for server_id in "bc":
                servers[server_id].not_receiving = False
                servers[server_id].paused_term = 0
            promoter.run_for(2.0)
            promoter.write(1)
            for server_id in "bc":
                servers[server_id].log[:] = servers["a"].log
                servers[server_id].applied = len(servers["a"].log)
            promoter.run_for(40.0)
        self.assertEqual(promoter.lost_commits, [])


class RepeatedOrderTest(unittest.TestCase):
    """An order that is repeated after the successor has caught up slowly."""

    def test_nothing_is_promised_that_the_successor_may_lack(self):
        """Commits are promised again between the two orders, and are lost."""
        promoter = PromoterFixture()
        promoter.start_promoter(["a", "b", "c"])
        promoter.run_for(1.0)
        loop, servers = promoter.fixture.loop, promoter.servers
        promote = promoter.platform.promote

        def promote_slowly(group, server_id, token):
            def order():
                yield loop.sleep_until(loop.clock.now() + 0.8)  # The timeout.
                return (yield promote(group, server_id, token))

            return loop.spawn(order())

        promoter.platform.promote = promote_slowly
        promoter.platform.unanswered_count = 1
        # The old primary sends its last entry to the successor after 1.3 s.
        last_position = LogPosition(1, servers["a"].received.number + 1)
        servers["a"].log.append(last_position)
        started_at = loop.clock.now()

        def catch_up():
            servers["c"].log.append(last_position)

        loop.call_at(started_at + 1.3, catch_up)
        promoter.register("a", draining=True)
        while promoter.fixture.servers.primary == "a":
            promoter.run_for(0.05)
            if promoter.platform.orders:
                servers["c"].not_receiving = True
                if servers["b"].paused_term:
                    promoter.fixture.servers.restart("b")
                promoter.write(1)
            self.assertLess(loop.clock.now(), started_at + 20.0)
        self.assertEqual([one for one, _ in promoter.platform.orders], ["c", "c"])
        self.assertGreater(len(promoter.fixture.servers.acknowledged), 5)
        promoter.run_for(1.0)
        self.assertEqual(promoter.lost_commits, [])


class MissingCommitsTest(unittest.TestCase):
    """The wait for a server that has acknowledged commits."""

    def test_wait_starts_again_with_each_incident(self):
        """A wait that ended with the primary's return shortens the next one."""
        fixture = GroupFixture()
        group = fixture.group
        missing = missing_commits.MissingCommits(fixture.loop, group)
        successor = ReplicaStatus("b", False, LogPosition(1, 40))
        group.acknowledged_commits.record(LogPosition(1, 50), 0.0)
        self.assertTrue(missing.may_lack(successor, primary_answers=False))
        # The primary is back, and serves for a while; no attempt is made.
        fixture.loop.advance(40.0)
        group.acknowledged_commits.record(LogPosition(1, 90), 0.0)
        self.assertTrue(missing.may_lack(successor, primary_answers=False))


if __name__ == "__main__":
    unittest.main()
