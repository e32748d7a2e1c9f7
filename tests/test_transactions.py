"""Tests of ``cassiahill.transactions``."""

import types
import unittest

from cassiahill import transactions
from tests import simulated_backend


class FakeGateway:
    """Gateway at which each transaction can be opened."""

    def begin(self, _server, _request_context, _term):
        """Return the server owner and its id of a transaction."""
        return "p1", "p1/1"
        yield


class FakeDispatcher:
    """Dispatcher with one group whose primary is ``s1``."""

    def prepare_request(self, request):
        """Return the values that the tested code uses of a routed request."""
        view = types.SimpleNamespace(term=1)
        monitor = types.SimpleNamespace(view=view)
        return types.SimpleNamespace(
            monitor=monitor, request_context=None, request=request
        )

    def wait_for_primary(self, _prepared_request):
        """Return the name of the primary."""
        return "s1"
        yield


class TransactionsTest(unittest.TestCase):
    def test_idle_transactions_are_removed(self):
        """Guards against memory used for callers that have disconnected."""
        loop = simulated_backend.SimulatedLoop()
        self.addCleanup(loop.close)
        open_transactions = transactions.OpenTransactions(
            loop, FakeDispatcher(), FakeGateway(), lambda: 0.0
        )
        request = types.SimpleNamespace(key=None, caller="c")
        loop.spawn(open_transactions.begin(request, None))
        self.assertEqual(open_transactions.count, 1)
        loop.run_for(transactions.IDLE_TIMEOUT_SECONDS + 2.0)
        self.assertEqual(open_transactions.count, 0)
