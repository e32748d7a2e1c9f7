"""Tests of ``cassiahill.gateway``: calls of other proxies that fail."""

import random
import types
import unittest

from cassiahill import errors, gateway, server_ownership
from cassiahill.loop import failed_future
from tests.stepped_loop import SteppedLoop


class OwnerCallTest(unittest.TestCase):
    def test_answer_that_is_too_large(self):
        """Guards against a healthy owner that is avoided because of one long read."""
        self.assert_suspected(errors.ResponseTooLarge("larger than a frame"), 0)

    def test_lost_connection(self):
        """Guards against further requests to an owner that is gone."""
        self.assert_suspected(errors.ConnectionLost("the link closed"), 1)

    def assert_suspected(self, error, expected_count):
        """Check whether an owner is suspected after a call that failed."""
        loop = SteppedLoop()
        names = [
            server_ownership.OwnerCandidate(name, "domain-a") for name in ("p1", "p2")
        ]
        proxy_gateway = gateway.Gateway(
            loop,
            names[0],
            types.SimpleNamespace(servers_by_name={}, backends_by_server={}),
            None,
            lambda _address: types.SimpleNamespace(
                call=lambda *_: failed_future(error), connected=True
            ),
            random.Random(1),
        )
        proxy_gateway.update_members(names, {"p2": ("p2", 1)})
        end = "any message"
        call = loop.spawn(proxy_gateway._call_owner("p2", "end", end, 1.0))
        self.assertIs(call.exception(), error)
        self.assertEqual(proxy_gateway.counts["owners_suspected"], expected_count)


if __name__ == "__main__":
    unittest.main()
