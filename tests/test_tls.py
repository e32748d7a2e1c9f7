"""Tests of ``cassiahill.tls`` with servers and clients on the loop."""

import pathlib
import tempfile
import unittest

from cassiahill import clock, errors, http1, loop, settings, tls
from tests import operator_builders

STEPS = 500


class TlsTest(unittest.TestCase):
    def setUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.own, self.other = folder / "own.pem", folder / "other.pem"
        operator_builders.write_certificate(self.own)
        operator_builders.write_certificate(self.other)
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        files = settings.TlsFiles(str(self.own), "", str(self.own))
        self.server = http1.Server(
            self.loop, ("127.0.0.1", 0), self.answer, tls.server_context(files)
        )
        self.addCleanup(self.server.close)

    @staticmethod
    def answer(request, _connection):
        """Answer with the name in the caller's certificate."""
        return http1.json_response({"caller": request.peer_name, "pad": "x" * 300_000})

    def ask(self, files):
        """Send one request with the client's files; return the finished future."""
        client = http1.ClientConnection(
            self.loop, self.server.address, tls.client_context(files)
        )
        self.addCleanup(client.close)
        future = client.request("GET", "/")
        for _ in range(STEPS):
            if future.done():
                break
            self.loop.call_at(self.loop.clock.now() + 0.01, lambda: None)
            self.loop._run_once()
        return future

    def test_proven_caller_is_named_by_its_certificate(self):
        """Guards against a caller that chooses its name, and against cut answers."""
        future = self.ask(settings.TlsFiles(str(self.own), "", str(self.own)))
        body = http1.decode_response(future.result())
        self.assertEqual((body["caller"], len(body["pad"])), ("test", 300_000))

    def test_unproven_caller_is_refused(self):
        """Guards against a stranger that is served without a certificate."""
        future = self.ask(settings.TlsFiles("", "", str(self.own)))
        self.assertIsInstance(future.exception(), errors.ConnectionLost)

    def test_unproven_server_is_refused(self):
        """Guards against requests that are sent to a stranger."""
        future = self.ask(settings.TlsFiles(str(self.own), "", str(self.other)))
        self.assertIsInstance(future.exception(), errors.ConnectionLost)

    def test_plain_input_on_a_tls_port_ends_its_connection_only(self):
        """Guards against a port that answers strangers in plain text."""
        self.assertIsInstance(self.ask(None).exception(), errors.ConnectionLost)
        self.test_proven_caller_is_named_by_its_certificate()

    def test_missing_files_are_invalid_settings(self):
        """Guards against a port that is opened without its TLS."""
        files = settings.TlsFiles("/nowhere.pem", "", "")
        with self.assertRaises(errors.InvalidSettings):
            tls.server_context(files)
