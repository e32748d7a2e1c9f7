"""Searches sessions and configurations, and broken versions of them."""

import unittest
from unittest import mock

from cassiahill import line_connections, position_samples, statement_sender, statements
from cassiahill.catalog import Catalog
from tests import session_search

EXAMPLES = 120
BROKEN_EXAMPLES = 400


def keep_foreign_values(connection, values_by_name, shape):
    """Prepare a connection without a look at the values that it has."""
    if shape is not None and shape not in connection.names_by_shape:
        return statements.Prepare(connection.new_statement_name(), shape)
    return None


def oldest_proof(self, _oldest, _own_commit=None):
    """Return the position of the oldest proof, however young the read must be."""
    return self._samples[0].position if self._samples else None


def install_any(self, configuration):
    """Take each version."""
    self.configuration = configuration
    return True


class SearchTest(unittest.TestCase):
    def test_sessions(self):
        """Guards against foreign values, changed connections and reads too old."""
        session_search.search(session_search.SessionMachine, EXAMPLES)

    def test_configurations(self):
        """Guards against a version that goes back."""
        session_search.search(session_search.ConfigurationMachine, EXAMPLES)


class BrokenVersionTest(unittest.TestCase):
    """Each guards against a search that cannot fail."""

    def search(self, machine, message):
        with self.assertRaisesRegex(AssertionError, message):
            session_search.search(machine, BROKEN_EXAMPLES)

    def test_values_are_not_reset(self):
        """A connection keeps what another session has set."""
        with mock.patch.object(line_connections, "next_setup", keep_foreign_values):
            self.search(session_search.SessionMachine, "values")

    def test_freshness_is_not_proved(self):
        """A read takes the oldest proof."""
        with mock.patch.object(
            position_samples.PrimaryPositions, "required", oldest_proof
        ):
            self.search(session_search.SessionMachine, "too old")

    def test_transaction_gives_its_connection_back(self):
        """A transaction shares its connection with others."""
        ask = statement_sender.LeaseSteps.ask

        def ask_and_give_back(self, lease, job, after=None):
            reply = yield from ask(self, lease, job, after)
            if lease.connection not in lease.pool._idle:
                lease.pool._idle.append(lease.connection)
            return reply

        with mock.patch.object(statement_sender.LeaseSteps, "ask", ask_and_give_back):
            self.search(session_search.SessionMachine, "share|values|changed")

    def test_version_goes_back(self):
        """A configuration is replaced by an older one."""
        with mock.patch.object(Catalog, "install", install_any):
            self.search(session_search.ConfigurationMachine, "")


if __name__ == "__main__":
    unittest.main()
