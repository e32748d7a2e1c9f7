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


def run_command(*argv):
    """Run a command in this process; return its exit code, output and error output."""
    output, error_output = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(error_output),
    ):
        try:
            code = cli.main(list(map(str, argv)))
        except SystemExit as system_exit:
            code = system_exit.code
    return code, output.getvalue(), error_output.getvalue()


@contextlib.contextmanager
def serve_http(handler, ssl_context=None):
    """Serve HTTP in another thread; yield the server's ``ip:port``."""
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


class SettingsFolderTest(unittest.TestCase):
    """Base of tests with a valid settings folder."""

    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory(prefix="cassiahill-"))
        )
        operator_builders.write_settings_folder(self.folder)

    def write_file(self, name, text):
        (self.folder / name).write_text(text)


class SettingsCommandsTest(SettingsFolderTest):
    def test_config_check_accepts_a_valid_folder(self):
        """Guards against a check that rejects a valid folder."""
        code, output, _ = run_command("config", "check", "--json", self.folder)
        self.assertEqual((code, json.loads(output)), (0, {"findings": []}))

    def test_proxy_run_reports_all_invalid_settings(self):
        """Guards against a start that reports only the first invalid key."""
        self.write_file("99.toml", "[proxy]\nname = 3\n[session]\ncurrent = 'k9'\n")
        code, _, error_output = run_command("proxy", "run", self.folder)
        self.assertEqual(code, 2)
        self.assertIn("99.toml:2: proxy.name", error_output)
        self.assertIn("99.toml:4: session.current", error_output)

    def test_config_check_prints_findings_as_json(self):
        """Guards against findings that a script can only read from error messages."""
        self.write_file("99.toml", "[proxy]\nnam = 'x'\n")
        code, output, _ = run_command("config", "check", "--json", self.folder)
        (finding,) = json.loads(output)["findings"]
        self.assertEqual((code, finding["line"], finding["key"]), (2, 2, "proxy.nam"))

    def test_closed_output_pipe_ends_the_command_without_a_traceback(self):
        """Guards against a traceback when a pager is closed before the report ends."""
        argv = [sys.executable, "-m", "cassiahill", "report", "--day", "2026-01-01"]
        argv += ["--figures", os.devnull]
        read_end, write_end = os.pipe()
        os.close(read_end)
        process = subprocess.run(argv, stdout=write_end, stderr=-1, check=False)
        os.close(write_end)
        self.assertEqual((process.returncode, process.stderr), (1, b""))

    def test_wrong_usage_has_its_own_exit_code(self):
        """Guards against an exit code that scripts take for a failed request."""
        for argv in (["nothing"], ["status", "host:x"], ["config", "apply", "f"]):
            self.assertEqual(run_command(*argv)[0], 2, argv)


class ConfigurationCommandsTest(SettingsFolderTest):
    def setUp(self):
        super().setUp()
        self.address = self.enterContext(operator_builders.platform_standin())
        platform_toml = f"[platform]\naddress = '127.0.0.1:{self.address[1]}'\n"
        self.write_file("90-platform.toml", platform_toml)

    def test_compare_apply_show(self):
        """Guards against an accepted configuration that differs from the folder."""
        code, output, _ = run_command("config", "compare", self.folder)
        self.assertEqual((code, output.splitlines()[0]), (0, "base generation 0"))
        self.assertIn(
            'groups.fees.servers.fees-1.failure_domain: (absent) -> "a"', output
        )
        self.assertEqual(run_command("config", "apply", self.folder, "--base", 0)[0], 0)
        code, output, _ = run_command("config", "show", self.folder)
        self.assertIn(
            '[groups.fees.servers.fees-1]\naddress = "127.0.0.1:7001"', output
        )
        self.assertNotIn("secret", output)
        self.assertIn("no changes", run_command("config", "compare", self.folder)[1])

    def test_apply_on_an_outdated_base_is_a_conflict(self):
        """Guards against overwriting a change that the operator has not seen."""
        argv = ("config", "apply", self.folder, "--base", 0, "--by")
        self.assertEqual(run_command(*argv, "alice")[0], 0)
        self.write_file("95.toml", "[groups.fees]\nacknowledge = 'term'\n")
        code, output, error_output = run_command(*argv, "bob", "--json")
        self.assertEqual((code, json.loads(output)["code"]), (3, "conflict"))
        self.assertIn("generation 1 by alice: groups.fees", error_output)

    def test_apply_succeeds_when_the_answer_is_lost(self):
        """Guards against reporting a failure after the platform accepted the update."""
        operator_builders.set_fault(self.address, lose_answers=1)
        code, output, _ = run_command(
            "config", "apply", self.folder, "--base", 0, "--json"
        )
        self.assertEqual((code, json.loads(output)["generation"]), (0, 1))

    def test_report_reads_figures_from_the_platform(self):
        """Guards against a report that does not find the stored figures."""
        store = objects.HttpObjectStore(self.address)
        collector = figures.FigureCollector(0.0)
        collector.count_request(1.0, "fees", "urgent", "done", 0.004)
        publisher = figures.FigurePublisher(store, "p.1")
        deadline = clock.SystemClock().now() + 20
        publisher.publish(collector.take_batch(600.0), deadline, ended=True)
        address = f"127.0.0.1:{self.address[1]}"
        argv = ("report", "--platform", address, "--day", "1970-01-01")
        self.assertRegex(run_command(*argv)[1], r"fees +00 +urgent +1 ")
        rows = json.loads(run_command(*argv, "--json")[1])["rows"]
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
        self.address = self.enterContext(serve_http(self.handle))

    def test_status_and_drain(self):
        """Guards against requests to paths that the operator port does not serve."""
        self.assertEqual(
            run_command("status", self.address)[1], "proxy = p\ngroups.g = 1\n"
        )
        code, output, error_output = run_command("drain", self.address, "--json")
        self.assertEqual((code, json.loads(output)["may_have_run"]), (1, "no"))
        self.assertIn("draining: the proxy is shutting down", error_output)
        self.assertEqual(self.requests[-1].path, "/drain")

    def test_statement_command_sends_all_fields(self):
        """Guards against a request without its rank, caller or parameters."""
        argv = ("--rank", "urgent", "--caller", "desk", "g", "SELECT ?", "7")
        code, output, _ = run_command("statement", self.address, *argv)
        self.assertEqual((code, output), (0, "n\n1\n"))
        body = json.loads(self.requests[0].body)
        self.assertEqual((body["rank"], body["params"]), ("urgent", ["7"]))
        self.assertEqual(self.requests[0].headers["caller"], "desk")

    def test_tls_accepts_only_the_given_authority(self):
        """Guards against commands that trust a certificate of an unknown authority."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        own_pem, other_pem = folder / "own.pem", folder / "other.pem"
        operator_builders.write_certificate(own_pem)
        operator_builders.write_certificate(other_pem)
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(own_pem)
        address = self.enterContext(serve_http(self.handle, context))
        self.assertEqual(run_command("status", address, "--authority", own_pem)[0], 0)
        self.assertEqual(run_command("status", address, "--authority", other_pem)[0], 1)
        self.assertEqual(
            run_command("status", address, "--authority", folder / "x")[0], 2
        )

    def test_server_that_does_not_answer(self):
        """Guards against a command that hangs, or that wrongly reports "not run"."""
        address = self.enterContext(serve_http(lambda *_: Future()))
        code, output, _ = run_command("dump", address, "--timeout", "0.2", "--json")
        self.assertEqual((code, json.loads(output)["may_have_run"]), (1, "unknown"))


class PorcelainTest(unittest.TestCase):
    def test_figures_are_expected_after_a_delay(self):
        """Guards against a report that marks the current hour as a gap."""
        self.assertEqual(porcelain.figures_expected_until("1970-01-01", 7200.0), 6900.0)
        self.assertEqual(porcelain.figures_expected_until("1970-01-01", 1e6), 86_400.0)
        self.assertEqual(porcelain.figures_expected_until("1970-01-01", 0.0), 0.0)
