"""Tests of ``cassiahill.session_opening`` with owners that do not answer."""

import types
import unittest

from cassiahill import relays, session_opening
from cassiahill.caller_checks import CallerChecks
from cassiahill.heartbeats import Member
from cassiahill.loop import LoopFuture
from cassiahill.session_server import SessionRouting
from cassiahill.statements import OpenSession
from tests.session_builders import make_route
from tests.stepped_loop import SteppedLoop
from tests.tenant_builders import make_configuration

CLIENT_TIMEOUT_SECONDS = 2.0


def make_members(count):
    """Return members of one failure domain."""
    return [
        Member(f"owner-{index}", ("owner", index), ("owner", index), "domain-a")
        for index in range(count)
    ]


class SilentOwnersRouting(SessionRouting):
    """Names owners that do not answer.

    Parameters
    ----------
    is_known : callable
        Returns whether the deployment is known.
    """

    def __init__(self, is_known):
        self.knows_deployment = is_known
        self.failed_members = []
        self.local_fallbacks = 0

    def serves_group(self, group, tenant=None):
        return False

    def relay_targets(self, group, tenant=None):
        return make_members(6)[2:]

    def relay_targets_near_primary(self, _route):
        return make_members(2)

    def record_owner_failure(self, group, member):
        self.failed_members.append(member)

    def fall_back_to_local(self, group, tenant=None):
        self.local_fallbacks += 1
        return False


class SilentOwnersTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.closed = False
        self.known_at = 0.0
        self.routing = SilentOwnersRouting(
            lambda: self.loop.clock.now() >= self.known_at
        )

    def opening(self):
        """Return the opening of a session, whose owners do not answer."""
        configuration = make_configuration(None)
        server = types.SimpleNamespace(
            loop=self.loop,
            routing=self.routing,
            catalog=types.SimpleNamespace(route=lambda _database: make_route()),
            caller_checks=CallerChecks(lambda: configuration, self.loop.clock),
        )
        return session_opening.SessionOpening(
            server,
            OpenSession("shop", "u1"),
            b"STARTUP shop u1\r\n",
            False,
            lambda *_: types.SimpleNamespace(
                owner_accepted=LoopFuture(), close=lambda: None
            ),
            lambda: self.closed,
        )

    def test_client_is_answered_before_it_gives_up(self):
        """Guards against owners tried for a client that no longer waits."""
        for known_after in (0.0, 0.5, 1.4):
            started_at = self.loop.clock.now()
            self.known_at = started_at + known_after
            outcome = self.loop.result(self.opening().run())
            seconds = self.loop.clock.now() - started_at
            self.assertIsInstance(outcome, session_opening.Refused)
            self.assertLess(seconds, CLIENT_TIMEOUT_SECONDS - 0.1)
        self.assertTrue(self.routing.failed_members)

    def test_client_that_leaves_changes_no_routing(self):
        """Guards against sessions served here because one client has disconnected."""
        future = self.loop.spawn(self.opening().run())
        self.loop.advance(relays.OPEN_TIMEOUT_SECONDS / 2)
        self.closed = True
        self.loop.advance(CLIENT_TIMEOUT_SECONDS)
        self.assertTrue(future.done())
        self.assertEqual(self.routing.local_fallbacks, 0)


if __name__ == "__main__":
    unittest.main()
