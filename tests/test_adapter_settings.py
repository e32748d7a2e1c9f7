"""Tests of the adapter's settings: the regions of the failure domains."""

import unittest

from cassiahill import errors
from tests import adapter_path

with adapter_path.importable():
    from adapter import settings


def document(**changes):
    """Return a settings document with all required values."""
    return {
        "node": "front-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "internalPortRange": [7440, 7455],
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "platform": {"addr": "127.0.0.1:3"},
        **changes,
    }


class RegionSettingsTest(unittest.TestCase):
    def test_regions_are_read(self):
        """Guards against a process that takes a far failure domain for a near one."""
        decoded = settings.decode(document(zones={"a": "north", "b": "south"}))
        self.assertEqual(decoded.proxy.region_by_domain, {"a": "north", "b": "south"})

    def test_settings_without_regions(self):
        """Guards against a start that fails where the platform names no regions."""
        self.assertEqual(settings.decode(document()).proxy.region_by_domain, {})

    def test_invalid_region_is_a_finding(self):
        """Guards against a region that is no text and equals no other one."""
        with self.assertRaises(errors.InvalidSettings) as raised:
            settings.decode(document(zones={"a": 3}))
        self.assertIn("zones.a", str(raised.exception))


class ObjectSizeTest(unittest.TestCase):
    def test_size_of_the_largest_object(self):
        """Guards against objects that the store accepts and no process can read."""
        stated = {"addr": "127.0.0.1:3", "valueBytes": 4_194_304}
        decoded = settings.decode(document(platform=stated))
        self.assertEqual(decoded.store_value_bytes, 4_194_304)

    def test_size_that_is_not_stated(self):
        """Guards against a start that fails where the platform states no size."""
        self.assertEqual(settings.decode(document()).store_value_bytes, 1_048_576)

    def test_invalid_size(self):
        """Guards against a limit that no answer keeps, and against a failed start."""
        for size in (0, -1, "", True):
            stated = {"addr": "127.0.0.1:3", "valueBytes": size}
            decoded = settings.decode(document(platform=stated))
            self.assertEqual(decoded.store_value_bytes, 1_048_576, size)


if __name__ == "__main__":
    unittest.main()
