"""Tests of ``cassiahill.tenants``."""

import unittest

from cassiahill import statements, tenants
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY, make_tenants


class TenantDirectoryTest(unittest.TestCase):
    def test_key_of_two_tenants_identifies_none(self):
        """Guards against a caller that is taken for another tenant's."""
        directory = make_tenants(north=["shared", NORTH_KEY], south=["shared"])
        shared_digest = tenants.digest_key("shared")
        self.assertNotIn(shared_digest, directory.by_key_digest)
        self.assertEqual(
            directory.names_by_shared_digest, {shared_digest: {"north", "south"}}
        )
        holder = directory.by_key_digest[tenants.digest_key(NORTH_KEY)]
        self.assertEqual(holder.name, "north")

    def test_printed_values_hold_no_key_or_digest(self):
        """Guards against a key in a log line that prints one of these values."""
        directory = make_tenants(north=[NORTH_KEY], south=[SOUTH_KEY])
        opening = statements.OpenSession("shop", NORTH_KEY)
        printed = f"{directory!r} {opening!r}"
        for key in (NORTH_KEY, SOUTH_KEY):
            self.assertNotIn(key, printed)
            self.assertNotIn(tenants.digest_key(key), printed)


if __name__ == "__main__":
    unittest.main()
