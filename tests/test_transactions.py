"""Tests of ``cassiahill.transactions``."""

import types
import unittest

from cassiahill import transactions
from tests import simulated


class FakeGateway:
    """Gateway whose transactions always open."""

    def begin(self, _server, _work, _term):
        """Return an owner and an id."""
        return "p1", "p1/1"
        yield


class FakeDispatcher:
    """Dispatcher with one group whose primary is ``s1``."""

    def turn(self, request):
        """Return what a request's turn needs here."""
        view = types.SimpleNamespace(term=1)
        monitor = types.SimpleNamespace(view=view)
        return types.SimpleNamespace(
            monitor=monitor, request_context=None, request=request
        )

    def primary(self, _turn):
        """Return the primary."""
        return "s1"
        yield


class TransactionsTest(unittest.TestCase):
    def test_silent_transactions_are_forgotten(self):
        """Guards against memory that callers who went away keep."""
        loop = simulated.SimulatedLoop()
        self.addCleanup(loop.close)
        table = transactions.OpenTransactions(
            loop, FakeDispatcher(), FakeGateway(), lambda: 0.0
        )
        request = types.SimpleNamespace(key=None, caller="c")
        loop.spawn(table.begin(request, None))
        self.assertEqual(table.count, 1)
        loop.run_for(transactions.FORGET_AFTER + 2.0)
        self.assertEqual(table.count, 0)
