"""Tests of ``cassiahill.cli``, ``cassiahill.commands`` and ``cassiahill.porcelain``."""

import contextlib
import io
import json
import os
import pathlib
import ssl
import subprocess
import sys
import tempfile
import threading
import unittest
from concurrent.futures import Future

from cassiahill import cli, clock, errors, figures, http1, loop, objects, porcelain
from tests import operator_builders


def run(*argv):
    """Run a command; return its exit code, output and error output."""
    output, error_output = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(error_output),
    ):
        try:
            code = cli.main(list(map(str, argv)))
        except SystemExit as stop:
            code = stop.code
    return code, output.getvalue(), error_output.getvalue()


@contextlib.contextmanager
def server(handler, ssl_context=None):
    """Serve HTTP on a loop in a thread; yield ``ip:port``."""
    event_loop = loop.EventLoop(clock.SystemClock())
    http_server = http1.Server(event_loop, ("127.0.0.1", 0), handler, ssl_context)
    thread = threading.Thread(target=event_loop.run)
    thread.start()
    try:
        yield f"127.0.0.1:{http_server.address[1]}"
    finally:
        event_loop.call_soon_threadsafe(event_loop.stop)
        thread.join()
        http_server.close()
        event_loop.close()


class FolderTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory(prefix="cassiahill-"))
        )
        operator_builders.write_settings_folder(self.folder)

    def write(self, name, text):
        (self.folder / name).write_text(text)


class SettingsCommandsTest(FolderTest):
    def test_valid_folder(self):
        """Guards against a check that refuses a valid folder."""
        code, output, _ = run("config", "check", "--json", self.folder)
        self.assertEqual((code, json.loads(output)), (0, {"findings": []}))

    def test_proxy_with_wrong_settings(self):
        """Guards against a start that reports one wrong key at a time."""
        self.write("99.toml", "[proxy]\nname = 3\n[session]\ncurrent = 'k9'\n")
        code, _, error_output = run("proxy", "run", self.folder)
        self.assertEqual(code, 2)
        self.assertIn("99.toml:2: proxy.name", error_output)
        self.assertIn("99.toml:4: session.current", error_output)

    def test_findings_as_json(self):
        """Guards against scripts that must parse the text."""
        self.write("99.toml", "[proxy]\nnam = 'x'\n")
        code, output, _ = run("config", "check", "--json", self.folder)
        (finding,) = json.loads(output)["findings"]
        self.assertEqual((code, finding["line"], finding["key"]), (2, 2, "proxy.nam"))

    def test_reader_that_goes_away(self):
        """Guards against a traceback when the report is piped into a pager."""
        argv = [sys.executable, "-m", "cassiahill", "report", "--day", "2026-01-01"]
        argv += ["--figures", os.devnull]
        read_end, write_end = os.pipe()
        os.close(read_end)
        done = subprocess.run(argv, stdout=write_end, stderr=-1, check=False)
        os.close(write_end)
        self.assertEqual((done.returncode, done.stderr), (1, b""))

    def test_wrong_usage(self):
        """Guards against an exit code that scripts take for a failed call."""
        for argv in (["nothing"], ["status", "host:x"], ["config", "apply", "f"]):
            self.assertEqual(run(*argv)[0], 2, argv)


class ConfigurationCommandsTest(FolderTest):
    def setUp(self):
        super().setUp()
        self.address = self.enterContext(operator_builders.platform_standin())
        text = f"[platform]\naddress = '127.0.0.1:{self.address[1]}'\n"
        self.write("90-platform.toml", text)

    def test_compare_apply_show(self):
        """Guards against a configuration that does not arrive as it was checked."""
        code, output, _ = run("config", "compare", self.folder)
        self.assertEqual((code, output.splitlines()[0]), (0, "base generation 0"))
        self.assertIn(
            'groups.fees.servers.fees-1.failure_domain: (absent) -> "a"', output
        )
        self.assertEqual(run("config", "apply", self.folder, "--base", 0)[0], 0)
        code, output, _ = run("config", "show", self.folder)
        self.assertIn(
            '[groups.fees.servers.fees-1]\naddress = "127.0.0.1:7001"', output
        )
        self.assertNotIn("secret", output)
        self.assertIn("no changes", run("config", "compare", self.folder)[1])

    def test_conflict(self):
        """Guards against replacing another operator's change unseen."""
        argv = ("config", "apply", self.folder, "--base", 0, "--by")
        self.assertEqual(run(*argv, "alice")[0], 0)
        self.write("95.toml", "[groups.fees]\nacknowledge = 'term'\n")
        code, output, error_output = run(*argv, "bob", "--json")
        self.assertEqual((code, json.loads(output)["code"]), (3, "conflict"))
        self.assertIn("generation 1 by alice: groups.fees", error_output)

    def test_lost_answer(self):
        """Guards against a failed exit code for an accepted configuration."""
        operator_builders.set_fault(self.address, lose_answers=1)
        code, output, _ = run("config", "apply", self.folder, "--base", 0, "--json")
        self.assertEqual((code, json.loads(output)["generation"]), (0, 1))

    def test_report_of_the_platform(self):
        """Guards against figures that are stored but not found."""
        store = objects.HttpObjectStore(self.address)
        collector = figures.FigureCollector(0.0)
        collector.count_request(1.0, "fees", "urgent", "done", 0.004)
        publisher = figures.FigurePublisher(store, "p.1")
        deadline = clock.SystemClock().now() + 20
        publisher.publish(collector.take_batch(600.0), deadline, ended=True)
        address = f"127.0.0.1:{self.address[1]}"
        argv = ("report", "--platform", address, "--day", "1970-01-01")
        self.assertRegex(run(*argv)[1], r"fees +00 +urgent +1 ")
        rows = json.loads(run(*argv, "--json")[1])["rows"]
        self.assertEqual((rows[0]["done"], rows[1]["done"]), (1, None))


class ServiceCommandsTest(unittest.TestCase):
    def handle(self, request, _connection):
        self.requests.append(request)
        match (request.method, request.path):
            case ("POST", "/v1/statements"):
                return http1.json_response({"columns": ["n"], "rows": [[1]]})
            case ("GET", "/status"):
                return http1.json_response({"proxy": "p", "groups": {"g": 1}})
        raise errors.Draining("the proxy is shutting down")

    def setUp(self):
        self.requests = []
        self.address = self.enterContext(server(self.handle))

    def test_status_and_drain(self):
        """Guards against calls of other paths than the operator port serves."""
        self.assertEqual(run("status", self.address)[1], "proxy = p\ngroups.g = 1\n")
        code, output, error_output = run("drain", self.address, "--json")
        self.assertEqual((code, json.loads(output)["may_have_run"]), (1, "no"))
        self.assertIn("draining: the proxy is shutting down", error_output)
        self.assertEqual(self.requests[-1].path, "/drain")

    def test_statement(self):
        """Guards against a statement without its rank, caller or parameters."""
        argv = ("--rank", "urgent", "--caller", "desk", "g", "SELECT ?", "7")
        code, output, _ = run("statement", self.address, *argv)
        self.assertEqual((code, output), (0, "n\n1\n"))
        body = json.loads(self.requests[0].body)
        self.assertEqual((body["rank"], body["params"]), ("urgent", ["7"]))
        self.assertEqual(self.requests[0].headers["caller"], "desk")

    def test_tls(self):
        """Guards against commands that accept a server of an unknown authority."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        own, other = folder / "own.pem", folder / "other.pem"
        operator_builders.write_certificate(own)
        operator_builders.write_certificate(other)
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(own)
        address = self.enterContext(server(self.handle, context))
        self.assertEqual(run("status", address, "--authority", own)[0], 0)
        self.assertEqual(run("status", address, "--authority", other)[0], 1)
        self.assertEqual(run("status", address, "--authority", folder / "x")[0], 2)

    def test_silent_server(self):
        """Guards against a command that hangs, and against a false 'not run'."""
        address = self.enterContext(server(lambda *_: Future()))
        code, output, _ = run("dump", address, "--timeout", "0.2", "--json")
        self.assertEqual((code, json.loads(output)["may_have_run"]), (1, "unknown"))


class PorcelainTest(unittest.TestCase):
    def test_figures_are_expected_some_time_later(self):
        """Guards against marking the running hour as a gap."""
        self.assertEqual(porcelain.expected_until("1970-01-01", 7200.0), 6900.0)
        self.assertEqual(porcelain.expected_until("1970-01-01", 1e6), 86_400.0)
        self.assertEqual(porcelain.expected_until("1970-01-01", 0.0), 0.0)
