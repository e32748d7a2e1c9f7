"""Tests of ``cassiahill.caller_checks``."""

import unittest

from cassiahill import clock, errors
from cassiahill.caller_checks import Caller, CallerChecks, RefusalReason
from cassiahill.statements import Code
from cassiahill.tenants import digest_key
from tests.session_builders import make_route
from tests.tenant_builders import (
    NORTH_KEY,
    SOUTH_KEY,
    UNKNOWN_KEY,
    make_configuration,
    make_tenants,
)

ROUTE = make_route()
PUBLIC_ROUTE = make_route(public=True)
NORTH_DIGEST = digest_key(NORTH_KEY)
NORTH_CALLER = Caller(NORTH_DIGEST, "north")


class CallerChecksTest(unittest.TestCase):
    def setUp(self):
        self.tenants = make_tenants(north=[NORTH_KEY], south=[SOUTH_KEY])
        self.is_young_enough = True
        self.admits = True
        self.admitted_names = []
        self.reasons = []
        self.checks = CallerChecks(
            lambda: make_configuration(self.tenants),
            clock.ManualClock(),
            lambda _now: self.is_young_enough,
            self.admit,
            self.reasons.append,
        )

    def admit(self, tenant_name, _now):
        self.admitted_names.append(tenant_name)
        return self.admits

    def refuse_all(self):
        """Let each of the checks refuse."""
        self.is_young_enough = self.admits = False
        self.tenants = make_tenants(south=[SOUTH_KEY])

    def refusal_code(self, starts_operation=True, caller=NORTH_CALLER, route=ROUTE):
        """Return the code of the refusal, or None."""
        reply = self.checks.refusal(caller, route, starts_operation)
        return None if reply is None else reply.code

    def test_key_identifies_its_tenant(self):
        """Guards against statements in the name of another tenant."""
        self.assertEqual(self.checks.identify(ROUTE, NORTH_DIGEST).tenant, "north")

    def test_unknown_key_under_an_old_configuration(self):
        """Guards against a key called unknown that a newer configuration has added."""
        self.is_young_enough = False
        with self.assertRaises(errors.ConfigurationUnproved):
            self.checks.identify(ROUTE, digest_key(UNKNOWN_KEY))
        self.assertEqual(self.reasons, [RefusalReason.OLD_CONFIGURATION])
        self.assertEqual(self.checks.identify(ROUTE, NORTH_DIGEST).tenant, "north")

    def test_unknown_key_is_refused(self):
        """Guards against a session for a caller whose key nobody holds."""
        for digest in (digest_key(UNKNOWN_KEY), digest_key(""), "", NORTH_KEY):
            with self.assertRaises(errors.Unauthenticated):
                self.checks.identify(ROUTE, digest)
        self.assertEqual(set(self.reasons), {RefusalReason.UNKNOWN_KEY})

    def test_callers_without_tenant_are_never_refused(self):
        """Guards against limits on public routes or deployments without tenants."""
        public_caller = self.checks.identify(PUBLIC_ROUTE, digest_key(UNKNOWN_KEY))
        self.assertIsNone(public_caller.tenant)
        self.refuse_all()
        self.assertIsNone(self.refusal_code(caller=public_caller, route=PUBLIC_ROUTE))
        self.tenants = None
        caller = self.checks.identify(ROUTE, digest_key(UNKNOWN_KEY))
        self.assertIsNone(caller.tenant)
        self.assertIsNone(self.refusal_code(caller=caller))

    def test_order_of_the_checks(self):
        """Guards against trust in an old configuration, and a wrongly counted key."""
        self.refuse_all()
        self.assertIs(self.refusal_code(), Code.BUSY)
        self.is_young_enough = True
        self.assertIs(self.refusal_code(), Code.UNAUTHENTICATED)
        self.assertEqual(self.admitted_names, [])
        self.tenants = make_tenants(north=[NORTH_KEY])
        self.assertIs(self.refusal_code(), Code.BUSY)
        self.assertEqual(self.admitted_names, ["north"])
        self.admits = True
        self.assertIsNone(self.refusal_code())
        self.assertEqual(
            self.reasons,
            [
                RefusalReason.OLD_CONFIGURATION,
                RefusalReason.REVOKED_KEY,
                RefusalReason.RATE_LIMIT,
            ],
        )

    def test_limit_counts_starts_of_operations_only(self):
        """Guards against a transaction that is cut off by its tenant's limit."""
        self.admits = False
        self.assertIsNone(self.refusal_code(starts_operation=False))
        self.assertEqual(self.admitted_names, [])

    def test_key_that_passes_to_another_tenant(self):
        """Guards against statements in the name of the tenant that lost the key."""
        self.tenants = make_tenants(north=["other"], south=[NORTH_KEY])
        self.assertIs(self.refusal_code(starts_operation=False), Code.UNAUTHENTICATED)
        renewed = self.checks.renew(NORTH_CALLER, ROUTE)
        self.assertEqual(renewed.tenant, "south")
        self.assertIsNone(self.refusal_code(caller=renewed))

    def test_route_that_is_no_longer_public(self):
        """Guards against a refusal of a valid key, or use without a key, after that."""
        for key, code in ((NORTH_KEY, None), (UNKNOWN_KEY, Code.UNAUTHENTICATED)):
            caller = self.checks.identify(PUBLIC_ROUTE, digest_key(key))
            renewed = self.checks.renew(caller, ROUTE)
            self.assertIs(self.refusal_code(caller=renewed), code)

    def test_renewal_without_tenants(self):
        """Guards against statements for a tenant that the deployment no longer has."""
        self.assertIsNone(self.checks.renew(NORTH_CALLER, PUBLIC_ROUTE).tenant)
        self.tenants = None
        self.assertIsNone(self.checks.renew(NORTH_CALLER, ROUTE).tenant)


if __name__ == "__main__":
    unittest.main()
