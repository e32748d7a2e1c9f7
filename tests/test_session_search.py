"""Runs ``tests.session_search`` on the real code and on faulty variants of it."""

import unittest
from unittest import mock

from cassiahill import line_connections, position_samples, statement_sender, statements
from cassiahill.catalog import Catalog
from tests import session_search

EXAMPLES = 120
BROKEN_EXAMPLES = 400


def setup_without_values(connection, values_by_name, shape):
    """Return a setup statement that ignores the values set on the connection."""
    if shape is not None and shape not in connection.names_by_shape:
        return statements.Prepare(connection.new_statement_name(), shape)
    return None


def oldest_position(self, _acknowledged_before, _last_commit=None):
    """Return the position of the oldest sample, whatever the read requires."""
    return self._samples[0].position if self._samples else None


def install_any_version(self, configuration):
    """Install every configuration, older ones too."""
    self.configuration = configuration
    return True


class SearchTest(unittest.TestCase):
    def test_sessions_see_only_allowed_state(self):
        """Guards against foreign session values, changed connections, stale reads."""
        session_search.search(session_search.SessionMachine, EXAMPLES)

    def test_newest_configuration_is_kept(self):
        """Guards against a configuration that is replaced by an older version."""
        session_search.search(session_search.ConfigurationMachine, EXAMPLES)


class BrokenVersionTest(unittest.TestCase):
    """Each test guards against a search that misses a known fault."""

    def search(self, machine, message):
        with self.assertRaisesRegex(AssertionError, message):
            session_search.search(machine, BROKEN_EXAMPLES)

    def test_values_not_reset_are_found(self):
        """Guards against missing that a connection keeps another session's values."""
        with mock.patch.object(line_connections, "next_setup", setup_without_values):
            self.search(session_search.SessionMachine, "values")

    def test_unproved_freshness_is_found(self):
        """Guards against missing that reads use the oldest position sample."""
        with mock.patch.object(
            position_samples.PrimaryPositions, "required_position", oldest_position
        ):
            self.search(session_search.SessionMachine, "too old")

    def test_shared_transaction_connection_is_found(self):
        """Guards against missing that a transaction shares its connection."""
        send = statement_sender.StatementSender.send

        def send_and_release(self, lease, request, required_position=None):
            reply = yield from send(self, lease, request, required_position)
            if lease.connection not in lease.pool._idle:
                lease.pool._idle.add(lease.connection, None)
            return reply

        with mock.patch.object(
            statement_sender.StatementSender, "send", send_and_release
        ):
            self.search(session_search.SessionMachine, "share|values|changed")

    def test_older_configuration_is_found(self):
        """Guards against missing that an older configuration is installed."""
        with mock.patch.object(Catalog, "install", install_any_version):
            self.search(session_search.ConfigurationMachine, "")


if __name__ == "__main__":
    unittest.main()
