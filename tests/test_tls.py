"""Tests of ``cassiahill.tls`` with servers and clients on an event loop."""

import pathlib
import tempfile
import unittest

from cassiahill import clock, errors, http1, loop, settings, tls
from tests import operator_builders

MAX_LOOP_STEPS = 500


class TlsTest(unittest.TestCase):
    def setUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.own_pem, self.other_pem = folder / "own.pem", folder / "other.pem"
        operator_builders.write_certificate(self.own_pem)
        operator_builders.write_certificate(self.other_pem)
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        files = settings.TlsFiles(str(self.own_pem), "", str(self.own_pem))
        self.server = http1.Server(
            self.loop, ("127.0.0.1", 0), self.handle_request, tls.server_context(files)
        )
        self.addCleanup(self.server.close)

    @staticmethod
    def handle_request(request, _connection):
        """Return the name in the caller's certificate and 300 kB of padding."""
        return http1.json_response({"caller": request.peer_name, "pad": "x" * 300_000})

    def send_request(self, files):
        """Send one request with the client's TLS files; return its future when done."""
        client = http1.ClientConnection(
            self.loop, self.server.address, tls.client_context(files)
        )
        self.addCleanup(client.close)
        future = client.request("GET", "/")
        for _ in range(MAX_LOOP_STEPS):
            if future.done():
                break
            self.loop.call_at(self.loop.clock.now() + 0.01, lambda: None)
            self.loop._run_once()
        return future

    def test_caller_is_named_by_its_certificate(self):
        """Guards against a caller that chooses its name, and truncated answers."""
        future = self.send_request(
            settings.TlsFiles(str(self.own_pem), "", str(self.own_pem))
        )
        body = http1.decode_response(future.result())
        self.assertEqual((body["caller"], len(body["pad"])), ("test", 300_000))

    def test_caller_without_a_certificate_is_refused(self):
        """Guards against serving a client that presents no certificate."""
        future = self.send_request(settings.TlsFiles("", "", str(self.own_pem)))
        self.assertIsInstance(future.exception(), errors.ConnectionLost)

    def test_server_with_an_untrusted_certificate_is_refused(self):
        """Guards against sending requests to a server of another authority."""
        future = self.send_request(
            settings.TlsFiles(str(self.own_pem), "", str(self.other_pem))
        )
        self.assertIsInstance(future.exception(), errors.ConnectionLost)

    def test_plain_text_on_a_tls_port_closes_only_its_connection(self):
        """Guards against a TLS port that answers in plain text or stops serving."""
        self.assertIsInstance(
            self.send_request(None).exception(), errors.ConnectionLost
        )
        self.test_caller_is_named_by_its_certificate()

    def test_missing_files_are_invalid_settings(self):
        """Guards against a port that is opened without the configured TLS."""
        files = settings.TlsFiles("/nowhere.pem", "", "")
        with self.assertRaises(errors.InvalidSettings):
            tls.server_context(files)
