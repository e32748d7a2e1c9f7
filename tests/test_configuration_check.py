"""Tests of the check of a configuration document before it is sent."""

import contextlib
import io
import json
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from unittest import mock

from cassiahill import clock, errors
from cassiahill.loop import EventLoop
from tests import adapter_path
from tests.check_builders import (
    CLEAN_DOCUMENT,
    make_document,
    run_check,
    write_document,
)
from tests.log_lines import captured_log_lines
from tests.server_entries import SERVER_ENTRY
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY

with adapter_path.importable():
    from adapter import configuration_check, documents
    from adapter import configuration_command as _configuration_command  # noqa: F401
    from soak import store as stand_in

CHECK_SCRIPT = pathlib.Path(adapter_path.PLATFORM_DIRECTORY) / "check.py"
# Paths and values that the decoders drop or replace, and the place of the finding.
MALFORMED_VALUES = (
    (("version",), "7", "version"),
    (("version",), True, "version"),
    (("routes",), {}, "routes"),
    (("routes",), NORTH_KEY, "routes"),
    (("limits",), NORTH_KEY, "limits"),
    (("tenants",), NORTH_KEY, "tenants"),
    (("routes", 0), "x", "routes[0]"),
    (("routes", 0, "host"), 7, "routes[0].host"),
    (("routes", 0, "service"), None, "routes[0].service"),
    (("routes", 0, "kind"), "primry", "routes[0].kind"),
    (("routes", 0, "kind"), ["primary"], "routes[0].kind"),
    (("routes", 0, "timeoutMs"), "800", "routes[0].timeoutMs"),
    (("routes", 0, "timeoutMs"), 10**400, "routes[0].timeoutMs"),
    (("routes", 0, "latencySloMs"), True, "routes[0].latencySloMs"),
    (("routes", 1, "maxStalenessMs"), None, "routes[1].maxStalenessMs"),
    (("routes", 0, "priority"), 0.5, "routes[0].priority"),
    (("routes", 0, "public"), "yes", "routes[0].public"),
    (("services",), None, "services"),
    (("services", 0, "name"), [], "services[0].name"),
    (("services", 0, "maxConns"), 5.5, "services[0].maxConns"),
    (("services", 0, "syncReplicas"), "1", "services[0].syncReplicas"),
    (("limits",), [], "limits"),
    (("limits", "idleTxMs"), "3000", "limits.idleTxMs"),
    (("tenants",), {}, "tenants"),
    (("tenants",), None, "tenants"),
    (("tenants", 0), 7, "tenants[0]"),
    (("tenants", 0, "name"), "two words", "tenants[0].name"),
    (("tenants", 0, "apiKeys"), NORTH_KEY, "tenants[0].apiKeys"),
    (("tenants", 0, "apiKeys"), {NORTH_KEY: 1}, "tenants[0].apiKeys"),
    (("tenants", 0, "apiKeys", 0), NORTH_KEY + "\n", "tenants[0].apiKeys[0]"),
    (("tenants", 0, "ratePerS"), NORTH_KEY, "tenants[0].ratePerS"),
    (("tenants", 0, "ratePerS"), -1, "tenants[0].ratePerS"),
    (("tenants", 0, "burst"), [NORTH_KEY], "tenants[0].burst"),
    (("tenants", 0, "priority"), SOUTH_KEY, "tenants[0].priority"),
)


@contextlib.contextmanager
def running_store():
    """Run a stand-in of the store in a thread; yield it and its ``ip:port``."""
    event_loop = EventLoop(clock.SystemClock())
    server = stand_in.Store(event_loop, random.Random(1))
    thread = threading.Thread(target=event_loop.run)
    thread.start()
    try:
        yield server, f"127.0.0.1:{server.address[1]}"
    finally:
        event_loop.call_soon_threadsafe(event_loop.stop)
        thread.join()
        event_loop.close()


def check(document, in_force=None):
    """Return the report; fails when the check writes a log line."""
    with captured_log_lines() as lines:
        report = configuration_check.check_document(document, in_force)
    if lines:
        raise AssertionError(f"the check logs: {lines}")
    return report


class CheckDocumentTest(unittest.TestCase):
    def test_clean_document(self):
        """Guards against findings that train operators to ignore them."""
        self.assertEqual(check(CLEAN_DOCUMENT).findings, [])

    def test_malformed_values(self):
        """Guards against a value that proxies drop or replace without an error."""
        for path, value, place in MALFORMED_VALUES:
            with self.subTest(path=path, value=str(value)[:20]):
                report = check(make_document((path, value)))
                self.assertIn(place, [finding.place for finding in report.errors])

    def test_entries_are_those_that_proxies_use(self):
        """Guards against checks of values that differ from those of the decoders."""
        cases = [make_document()]
        for path, value, _ in MALFORMED_VALUES:
            if path != ("version",):
                cases.append(make_document((path, value)))
        for document in cases:
            entries = configuration_check._DocumentChecker(document).decode_entries()
            decoded = documents.decode_configuration(document)
            with self.subTest(document=document):
                self.assertEqual(entries.to_configuration(), decoded)

    def test_absent_fields_of_which_a_default_takes_the_place(self):
        """Guards against limits that nobody has chosen."""
        for path, text in (
            (("routes", 0, "kind"), "primary"),
            (("routes", 0, "timeoutMs"), "1 s"),
            (("routes", 0, "latencySloMs"), "0.25 s"),
            (("routes", 0, "priority"), "9"),
            (("services", 0, "maxConns"), "10"),
            (("limits", "idleTxMs"), "3 s"),
        ):
            document = make_document()
            entry = document
            for step in path[:-1]:
                entry = entry[step]
            del entry[path[-1]]
            with self.subTest(path=path):
                (finding,) = check(document).warnings[:1]
                self.assertIn(path[-1], finding.place)
                self.assertIn(f"absent: {text} is used", finding.problem)

    def test_misspelled_fields(self):
        """Guards against a limit that is ignored because of its spelling."""
        document = make_document(
            (("tenant",), []),
            (("routes", 1, "maxStalenesMs"), 5),
            (("tenants", 0, "apiKey"), [NORTH_KEY]),
        )
        self.assertEqual(
            [finding.allowed for finding in check(document).warnings],
            [
                "did you mean tenants?",
                "did you mean maxStalenessMs?",
                "did you mean apiKeys?",
            ],
        )

    def test_version_must_rise(self):
        """Guards against a version that proxies ignore as an older one."""
        for version in (7, 6):
            report = check(make_document((("version",), version)), CLEAN_DOCUMENT)
            (finding,) = report.errors
            self.assertEqual(finding.place, "version")
            self.assertEqual(finding.allowed, "8 or more")
        report = check(make_document((("version",), 8)), CLEAN_DOCUMENT)
        self.assertEqual(report, configuration_check.CheckReport([], []))

    def test_integers_that_no_text_can_show(self):
        """Guards against a traceback for integers beyond Python's limit of digits."""
        for path, _, place in MALFORMED_VALUES:
            report = check(make_document((path, 10**5000)))
            with self.subTest(path=path):
                self.assertIn(place, [finding.place for finding in report.errors])

    def test_checks_of_the_model_are_called(self):
        """Guards against a document of which only the types are checked."""
        report = check(make_document((("routes", 1, "host"), "shop")))
        (finding,) = report.errors
        self.assertEqual(finding.place, "routes[1] 'shop'")

    def test_unreadable_files(self):
        """Guards against a traceback, or a quoted key, for a file that is not JSON."""
        with tempfile.TemporaryDirectory(prefix="cassiahill-") as folder:
            path = pathlib.Path(folder) / "new.json"
            for content in (b"", b"[]", b'{"a": "\xff"}', NORTH_KEY.encode(), None):
                path.unlink(missing_ok=True)
                if content is not None:
                    path.write_bytes(content)
                with self.assertRaises(errors.InvalidSettings) as raised:
                    configuration_check.read_document(str(path))
                self.assertNotIn(NORTH_KEY, str(raised.exception))


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory(prefix="cassiahill-"))
        )
        self.in_force = self.write("old.json", CLEAN_DOCUMENT)

    def write(self, name, document):
        return write_document(self.folder, name, document)

    def test_clean_document(self):
        """Guards against an exit code that stops a script from sending."""
        self.assertEqual(run_check(self.in_force), (0, "no findings\n", ""))

    def test_warnings_alone_do_not_stop_a_script(self):
        """Guards against an operator who must ignore the exit code."""
        path = self.write("new.json", make_document((("routes", 1, "timeoutMs"), 4000)))
        code, output, error_output = run_check(path)
        self.assertEqual((code, error_output), (0, ""))
        self.assertIn("warning: routes[1] 'till':", output)

    def test_errors(self):
        """Guards against a script that sends a document with errors."""
        document = make_document((("version",), 8), (("routes", 1, "priority"), 10))
        code, output, error_output = run_check(self.write("new.json", document))
        self.assertEqual((code, output), (2, ""))
        self.assertEqual(
            error_output,
            "error: routes[1] 'till': the priority is 10; allowed: 0 to 9\n",
        )

    def test_json(self):
        """Guards against output that a script cannot read."""
        document = make_document(
            (("version",), 8),
            (("routes", 0, "priority"), 10),
            (("tenants", 0, "burst"), 100),
        )
        path = self.write("new.json", document)
        code, output, _ = run_check(path, "--in-force", self.in_force, "--json")
        report = json.loads(output)
        self.assertEqual(code, 2)
        self.assertEqual(
            report["findings"],
            [
                {
                    "severity": "error",
                    "place": "routes[0] 'shop'",
                    "problem": "the priority is 10",
                    "allowed": "0 to 9",
                }
            ],
        )
        self.assertEqual(
            [
                (change["place"], change["field"], change["before"], change["after"])
                for change in report["changes"]
            ],
            [
                ("route 'shop'", "priority", "0", "10"),
                ("tenant 'north'", "burst", "194", "100"),
            ],
        )

    def test_standard_input(self):
        """Guards against a check that scripts cannot feed through a pipe."""
        content = io.BytesIO(json.dumps(make_document((("version",), 8))).encode())
        with mock.patch.object(sys, "stdin", io.TextIOWrapper(content)):
            result = run_check("-", "--in-force", self.in_force)
        self.assertEqual(result, (0, "no findings\nno changes\n", ""))

    def test_version_in_force_as_the_store_returns_it(self):
        """Guards against a comparison with the envelope of a stored object."""
        stored = self.write(
            "stored.json",
            {"meta": {"name": "main", "revision": 3}, "spec": CLEAN_DOCUMENT},
        )
        code, _, error_output = run_check(self.in_force, "--in-force", stored)
        self.assertEqual(code, 2)
        self.assertIn("is 7, but 7 is in force", error_output)

    def test_version_in_force_from_the_store(self):
        """Guards against a comparison with a copy that is out of date."""
        with running_store() as (server, address):
            server.put("config", "main", CLEAN_DOCUMENT)
            server.put("servers", "s-1", {**SERVER_ENTRY, "slots": 60})
            server.put("servers", "s-2", {"slots": NORTH_KEY})
            path = self.write("new.json", make_document((("version",), 9)))
            result = run_check(path, "--store", address)
        slots_warning = (
            "warning: services[0] 'orders': 56 connections are fewer than the 60 slots "
            "of a server; allowed: 60 or more\n"
        )
        self.assertEqual(result, (0, slots_warning + "no changes\n", ""))

    def test_store_that_does_not_answer(self):
        """Guards against a traceback, or success, while the store is unreachable."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        code, output, error_output = run_check(
            self.in_force, "--store", f"127.0.0.1:{port}"
        )
        self.assertEqual((code, output), (1, ""))
        self.assertIn("platform_unavailable", error_output)

    def test_store_without_a_configuration(self):
        """Guards against comparing the first version with nothing, unnoticed."""
        with running_store() as (_, address):
            result = run_check(self.in_force, "--store", address)
        self.assertEqual(
            result, (1, "", "not_found: the store holds no configuration\n")
        )

    def test_wrong_store_address(self):
        """Guards against a traceback for an address that cannot be used."""
        code, _, error_output = run_check(self.in_force, "--store", "nowhere")
        self.assertEqual(code, 2)
        self.assertIn("is not ip:port", error_output)

    def test_no_output_holds_a_key(self):
        """Guards against keys in terminals, pipelines and their logs."""
        for path, value, _ in MALFORMED_VALUES:
            document = make_document(
                (path, value),
                (("spare",), {"apiKeys": [SOUTH_KEY]}),
            )
            if document["tenants"] and isinstance(document["tenants"], list):
                document["tenants"].append({"name": "east", "apiKeys": [SOUTH_KEY]})
                document["tenants"].append({NORTH_KEY: 1, "name": [NORTH_KEY]})
                document["tenants"].append({NORTH_KEY: 1, "name": "west"})
                document["tenants"].append(NORTH_KEY)
            changed = self.write("new.json", document)
            for arguments in (
                (changed, "--in-force", self.in_force),
                (changed, "--in-force", self.in_force, "--json"),
                (self.in_force, "--in-force", changed),
            ):
                with self.subTest(path=path), captured_log_lines() as lines:
                    _, *outputs = run_check(*arguments)
                    text = "".join((*outputs, *lines))
                    self.assertNotIn(NORTH_KEY, text)
                    self.assertNotIn(SOUTH_KEY, text)

    def test_output_is_stable(self):
        """Guards against output whose order changes with the seed of string hashes."""
        document = make_document(
            (("spare",), 1),
            (("other",), 2),
            (("routes", 0, "unknown"), 1),
            (("routes", 0, "extra"), 1),
        )
        path = self.write("new.json", document)
        outputs = set()
        for seed in ("1", "2", "3"):
            process = subprocess.run(
                [sys.executable, CHECK_SCRIPT, path],
                env={"PYTHONHASHSEED": seed},
                capture_output=True,
                check=True,
            )
            outputs.add((process.stdout, process.stderr))
        self.assertEqual(len(outputs), 1)
        self.assertEqual(len(outputs.pop()[0].splitlines()), 4)
