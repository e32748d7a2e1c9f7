"""Tests of the soak's checks of tenants with hand-made records of wrong proxies."""

import math
import random
import unittest

from cassiahill import clock
from tests import adapter_path

with adapter_path.importable():
    from soak import tenant_checks, tenants

REMOVED_AT = 100.0
LIMIT_WINDOW_START = 200.0


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.registry = tenants.TenantRegistry(random.Random(1), 2)
        self.traffic = tenants.Traffic(clock.SystemClock())
        self.key = self.registry.keys_of("tenant-0")[0]

    def record(self, request_id, sent_at, operation_id=None, **run_fields):
        """Record a request with the key, and its run 10 ms later."""
        self.traffic.requests_by_id[request_id] = tenants.SentRequest(
            run_fields.pop("key", self.key.text), sent_at, operation_id or request_id
        )
        fields = {"tenant_name": "tenant-0", "ran_at": sent_at + 0.01, **run_fields}
        self.traffic.runs.append(tenants.Run(request_id, **fields))

    def record_operations(self, count, start):
        """Record operations spread evenly over 4 s."""
        for number in range(count):
            self.record(f"{start}-{number}", start + 4.0 * number / count)

    def refuse(self, sent_at, in_touch_since=-math.inf):
        """Record the refusal of the key."""
        self.traffic.refusals.append(
            tenants.Refusal(self.key.text, sent_at, sent_at + 0.01, in_touch_since)
        )

    def assert_found(self, *fragments):
        """Check that each violation found contains the fragment in its place."""
        violations = tenant_checks.find_violations(self.registry, self.traffic)
        self.assertEqual(len(violations), len(fragments), violations)
        for violation, fragment in zip(violations, fragments, strict=True):
            self.assertIn(fragment, violation)


class CallerCheckTest(CheckTest):
    def test_own_tenant(self):
        """Guards against checks that report correct runs."""
        self.record("a", 1.0)
        self.assert_found()

    def test_name_of_another_tenant(self):
        """Guards against missing a run on another tenant's connection."""
        self.record("a", 1.0, tenant_name="tenant-1")
        self.assert_found("ran in the name of tenant-1")

    def test_unknown_key(self):
        """Guards against missing a run with a key that was never configured."""
        self.record("a", 1.0, key="soakkey-unknown")
        self.assert_found("no configuration held")

    def test_unknown_request(self):
        """Guards against missing a run that no client asked for."""
        self.traffic.runs.append(tenants.Run("a", "tenant-0", 1.0))
        self.assert_found("no client sent it")

    def test_key_in_a_text(self):
        """Guards against missing a key in a line, a log or a page."""
        self.traffic.search_for_keys("a log", f"caller={self.key.text}")
        self.assert_found("a key was found in a log")


class RevocationCheckTest(CheckTest):
    def setUp(self):
        super().setUp()
        self.key.removed_at = REMOVED_AT

    def test_sent_within_the_bound(self):
        """Guards against reporting a request that ran late but was sent in time."""
        self.record("a", REMOVED_AT + 4.9, ran_at=REMOVED_AT + 7.0)
        self.assert_found()

    def test_sent_after_the_bound(self):
        """Guards against missing a key that is accepted for too long."""
        self.record("a", REMOVED_AT + 5.1)
        self.assert_found("after the bound")

    def test_refusal_of_a_key_that_was_taken_away(self):
        """Guards against reporting the refusals that are meant."""
        self.refuse(REMOVED_AT + 0.1)
        self.assert_found()


class RefusalCheckTest(CheckTest):
    def test_key_of_all_versions(self):
        """Guards against missing the refusal of a key that was always there."""
        self.refuse(1.0, in_touch_since=0.9)
        self.assert_found("was refused")

    def test_key_added_by_a_version(self):
        """Guards against missing a version that is installed too late."""
        self.key.added_at = 100.0
        self.refuse(104.9)
        self.assert_found()
        self.refuse(105.1)
        self.assert_found("was refused")

    def test_processes_out_of_touch(self):
        """Guards against blaming processes that the version could not reach."""
        self.key.added_at = 100.0
        self.refuse(110.0, in_touch_since=106.0)
        self.assert_found()


class WindowCheckTest(CheckTest):
    def setUp(self):
        super().setUp()
        # (20 x 5 + 20) x 1.1 + 20 = 152; lowered (1 x 5 + 1) x 1.1 + 20 = 26.6.
        self.assertEqual(
            self.registry.limits_by_tenant["tenant-0"], [tenants.Limit(20.0, 20.0)]
        )

    def test_window_at_and_beyond_the_limit(self):
        """Guards against missing a window that is exceeded by one operation."""
        self.record_operations(152, LIMIT_WINDOW_START)
        self.assert_found()
        self.record("one more", LIMIT_WINDOW_START + 4.5)
        self.assert_found("153 operations of tenant-0")

    def test_statements_of_a_transaction(self):
        """Guards against counting a transaction or a repeated request twice."""
        self.record_operations(152, LIMIT_WINDOW_START)
        self.record("write", LIMIT_WINDOW_START, f"{LIMIT_WINDOW_START}-0")
        self.record("write", LIMIT_WINDOW_START, f"{LIMIT_WINDOW_START}-0")
        self.assert_found()

    def test_sliding_window(self):
        """Guards against windows that begin at fixed instants only."""
        self.record_operations(100, LIMIT_WINDOW_START)
        self.record_operations(100, LIMIT_WINDOW_START + 2.5)
        self.assert_found("were allowed")

    def test_lowered_limit(self):
        """Guards against a lower limit that never binds, or too early."""
        self.registry.lower_limit("tenant-0", LIMIT_WINDOW_START - 10.1)
        self.record_operations(27, LIMIT_WINDOW_START - 5.0)
        self.assert_found()
        self.record_operations(27, LIMIT_WINDOW_START)
        self.assert_found("27 operations of tenant-0")


if __name__ == "__main__":
    unittest.main()
