"""Tests of ``cassiahill.session_owners`` and sessions relayed to another region."""

import types
import unittest
from unittest import mock

from cassiahill import group_owners, sessions
from cassiahill.catalog import Consistency
from cassiahill.heartbeats import Member
from cassiahill.session_owners import AVOID_OWNER_SECONDS, GroupOwnerRouting
from tests.region_builders import REGION_BY_DOMAIN, domains_of_fleet
from tests.session_builders import make_route
from tests.session_server import FixedRouting, LineClient, running_servers
from tests.stepped_loop import SteppedLoop

CONNECTION_LIMIT = 46


class RoutingAcrossRegionsTest(unittest.TestCase):
    def setUp(self):
        """Create the routing of a proxy in the region ``north``."""
        self.domains_by_name = domains_of_fleet(66)
        self.primary_domain = "south-a"
        self.partitioned = False
        self.members_by_name = members_by_name = {
            name: Member(name, (name, 1), (name, 2), domain)
            for name, domain in self.domains_by_name.items()
        }
        self.loop = SteppedLoop()
        self.routing = GroupOwnerRouting(
            self.loop,
            members_by_name["proxy-0"],
            types.SimpleNamespace(members_by_name=members_by_name, members_known=True),
            lambda: True,
            lambda _group: False,
            types.SimpleNamespace(is_partitioned=lambda: self.partitioned),
            REGION_BY_DOMAIN,
            lambda _group: self.primary_domain,
        )
        self.routing.update_owners("orders", CONNECTION_LIMIT)

    def targets_near_primary(self, consistency=Consistency.PRIMARY):
        """Return the members near the primary that a session is relayed to."""
        return self.routing.relay_targets_near_primary(make_route(consistency))

    def test_owners_in_the_primarys_region(self):
        """Guards against three round trips across for each read of the newest state."""
        targets = self.targets_near_primary()
        self.assertEqual(len(targets), 2)
        for member in targets:
            self.assertEqual(REGION_BY_DOMAIN[member.failure_domain], "south")

    def test_owners_are_chosen_again_only_after_a_change(self):
        """Guards against hashing of all members for each configuration and group."""
        with mock.patch.object(
            group_owners, "choose_owners", wraps=group_owners.choose_owners
        ) as choose_owners:
            count = self.routing.update_owners("orders", CONNECTION_LIMIT)
            self.assertEqual(count, 6)
            choose_owners.assert_not_called()
            self.routing.update_owners("orders", CONNECTION_LIMIT + 1)
            self.members_by_name.pop("proxy-1")
            self.routing.update_owners("orders", CONNECTION_LIMIT + 1)
            self.assertEqual(choose_owners.call_count, 2)

    def test_other_sessions_stay_in_the_own_region(self):
        """Guards against relays across for sessions that the own region serves."""
        self.assertEqual(self.targets_near_primary(Consistency.BOUNDED), [])
        domains = {
            member.failure_domain for member in self.routing.relay_targets("orders")
        }
        self.assertEqual({REGION_BY_DOMAIN[domain] for domain in domains}, {"north"})
        self.primary_domain = "north-c"
        self.assertEqual(self.targets_near_primary(), [])

    def test_owners_that_failed_are_left_out_for_a_while(self):
        """Guards against waits for each session while the link is cut."""
        for _ in range(3):
            for member in self.targets_near_primary():
                self.routing.record_owner_failure("orders", member)
        self.assertEqual(self.targets_near_primary(), [])
        self.loop.advance(2 * AVOID_OWNER_SECONDS)
        self.assertEqual(len(self.targets_near_primary()), 2)

    def test_session_is_misplaced_when_the_primary_leaves_its_region(self):
        """Guards against statements that cross twice after a promotion."""
        self.assertFalse(self.routing.is_misplaced("orders", "south-b"))
        self.primary_domain = None
        self.assertFalse(self.routing.is_misplaced("orders", "south-b"))
        self.primary_domain = "north-b"
        self.assertTrue(self.routing.is_misplaced("orders", "south-b"))

    def test_session_in_the_own_region_is_not_misplaced(self):
        """Guards against sessions closed again and again while the link is cut."""
        self.assertFalse(self.routing.is_misplaced("orders", "north-b"))

    def test_partitioned_process_asks_nobody_across(self):
        """Guards against attempts across in a process that reaches no other domain."""
        self.partitioned = True
        self.assertEqual(self.targets_near_primary(), [])


class NearPrimaryRouting(FixedRouting):
    """Serves every group, but prefers the owner near the primary."""

    primary_has_moved = False

    def is_misplaced(self, group, owner_domain):
        return self.primary_has_moved

    def relay_targets_near_primary(self, route):
        if route.consistency is Consistency.PRIMARY:
            return super().relay_targets(route.group)
        return []


def close_misplaced_after_idle_time(server):
    """Let the only session of a server be idle for long, and close it if misplaced."""
    (session,) = server._sessions
    session.last_active_at -= sessions.MIN_IDLE_SECONDS
    server.close_misplaced()


class RelayNearPrimaryTest(unittest.TestCase):
    def open_session(self, servers, database):
        """Open a session at the proxy that is itself an owner but far away."""
        servers.relaying_server.routing = NearPrimaryRouting(
            servers, serves_groups=True
        )
        client = LineClient(servers.relaying_server.address)
        self.addCleanup(client.close)
        self.assertEqual(client.open_session(database), [b"READY I -"])
        return client

    def test_owner_relays_sessions_that_need_a_far_primary(self):
        """Guards against an owner that serves them itself over the slow link."""
        with running_servers() as servers:
            self.open_session(servers, b"till")
            self.assertEqual(len(servers.owner_server), 1)

    def test_idle_session_is_closed_when_the_primary_moves(self):
        """Guards against sessions that stay far from their primary for good."""
        with running_servers() as servers:
            client = self.open_session(servers, b"till")
            server = servers.relaying_server
            servers.run_on_loop(server.close_misplaced)
            self.assertEqual(len(server), 1)
            server.routing.primary_has_moved = True
            servers.run_on_loop(lambda: close_misplaced_after_idle_time(server))
            self.assertEqual(client.read_line(), b"")

    def test_session_in_a_transaction_is_not_closed(self):
        """Guards against a transaction lost because the primary's region changed."""
        with running_servers() as servers:
            client = self.open_session(servers, b"till")
            server = servers.relaying_server
            client.exchange(b"QUERY 1 BEGIN", b"QUERY 2 WRITE a x")
            server.routing.primary_has_moved = True
            servers.run_on_loop(lambda: close_misplaced_after_idle_time(server))
            (answer,) = client.exchange(b"QUERY 3 COMMIT")
            self.assertEqual(answer[0], b"COMPLETE signature")

    def test_other_sessions_are_served_here(self):
        """Guards against relays of sessions whose reads replicas here may serve."""
        with running_servers() as servers:
            self.open_session(servers, b"shop")
            self.assertEqual(len(servers.owner_server), 0)

    def test_served_here_when_no_owner_near_the_primary_accepts(self):
        """Guards against a refused session while the link between regions is cut."""
        with running_servers() as servers:
            servers.owner_lacks_primary = True
            self.open_session(servers, b"till")
            self.assertEqual(len(servers.owner_server), 0)


if __name__ == "__main__":
    unittest.main()
