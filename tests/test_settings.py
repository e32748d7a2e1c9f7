"""Tests of ``cassiahill.settings``, ``settings_keys`` and their validation."""

import copy
import itertools
import pathlib
import tempfile
import tomllib
import unittest

import tomlkit
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from cassiahill import errors, settings, settings_keys, validation
from tests import operator_builders

NAMES = strategies.sampled_from("abc")
DOCUMENTS = strategies.recursive(
    strategies.dictionaries(NAMES, strategies.integers(0, 9), max_size=3),
    lambda inner: strategies.dictionaries(
        NAMES, strategies.one_of(strategies.integers(0, 9), inner), max_size=3
    ),
    max_leaves=8,
)


VALUES = strategies.one_of(
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
    strategies.booleans(),
    strategies.sampled_from(["127.0.0.1:1", "[::1]:2", "10.0.0.1:3", "log", "ab" * 16]),
    strategies.sampled_from([[], [1], ["127.0.0.1:1"], {}, {"a": {}}, 2**70]),
)


def naive_merge(documents):
    """Merge documents by setting each value at its path, one after the other."""
    merged = {}
    for document in documents:
        for path, value in _values_with_paths((), document):
            table = merged
            for name in path[:-1]:
                if not isinstance(table.get(name), dict):
                    table[name] = {}
                table = table[name]
            if value != {} or not isinstance(table.get(path[-1]), dict):
                table[path[-1]] = value
    return merged


def _values_with_paths(path, value):
    """Yield the path and a copy of each value or empty table within a table."""
    for key, child in value.items():
        if isinstance(child, dict) and child:
            yield from _values_with_paths((*path, key), child)
        else:
            yield (*path, key), copy.deepcopy(child)


class MergeTest(unittest.TestCase):
    @hypothesis_settings(derandomize=True, deadline=None)
    @given(strategies.lists(DOCUMENTS, max_size=4))
    def test_merge_equals_a_naive_merge(self, documents):
        """Guards against a lost or outdated key, and against changed inputs."""
        before = copy.deepcopy(documents)
        self.assertEqual(settings.merge(documents), naive_merge(documents))
        self.assertEqual(documents, before)

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(DOCUMENTS)
    def test_line_of_every_key(self, document):
        """Guards against findings that name a wrong line."""
        toml_text = "# first\n\n" + tomlkit.dumps(document)
        line_numbers = validation.lines_by_path(toml_text)
        for path, _ in _values_with_paths((), document):
            line = toml_text.split("\n")[line_numbers[path] - 1]
            self.assertIn(path[-1], line)

    def test_lines_after_multiline_values(self):
        """Guards against taking a bracket in a multiline string for a table header."""
        toml_text = (
            'a = """\n[x]\nb = 1\n"""\n[t]\nc = [\n  1,\n  2,\n]\nd = { e = 1 }\n'
        )
        line_numbers = validation.lines_by_path(toml_text)
        expected = {("a",): 1, ("t",): 5, ("t", "c"): 6, ("t", "d"): 10}
        self.assertEqual(line_numbers, {**expected, ("t", "d", "e"): 10})


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory(prefix="cassiahill-"))
        )
        operator_builders.write_settings_folder(self.folder)

    def finding_texts(self, toml_text):
        """Return the findings on the folder with one more file, as text by key."""
        (self.folder / "99-wrong.toml").write_text(toml_text)
        _, all_findings = settings.check_folder(
            self.folder, require_process_tables=True
        )
        return {finding.key: str(finding) for finding in all_findings}

    def test_valid_folder(self):
        """Guards against refusing a folder of the form that deployments use."""
        loaded_settings = settings.load(self.folder)
        self.assertEqual(loaded_settings.name, "proxy-1")
        self.assertEqual(loaded_settings.groups_by_name["fees"].promote, "majority")
        self.assertEqual(loaded_settings.floors_by_rank["urgent"], 0.2)

    def test_all_findings_at_once(self):
        """Guards against a check that stops at the first wrong key."""
        texts_by_key = self.finding_texts(
            "[proxy]\nfailuredomain = 1\ncaller_address = 'localhost:80'\n"
            "drain_deadline_ms = true\n[session]\ncurrent = 'k9'\n"
            "[groups.fees]\nacknowledge = 'logg'\nservers.fees-1.slots = 0\n"
            "[groups.'a b']\n[tls.callers]\nkey = '/nowhere'\n"
            "[admission.floors]\nurgent = 0.9\nlookup = 0.9\n"
        )
        self.assertEqual(
            sorted(texts_by_key),
            [
                "admission.floors",
                "groups.a b",
                "groups.fees.acknowledge",
                "groups.fees.servers.fees-1.slots",
                "proxy.caller_address",
                "proxy.drain_deadline_ms",
                "proxy.failuredomain",
                "session.current",
                "tls.callers.certificate",
                "tls.callers.key",
            ],
        )
        finding_text = texts_by_key["groups.fees.acknowledge"]
        self.assertEqual(
            finding_text,
            "99-wrong.toml:8: groups.fees.acknowledge: 'logg' is not allowed; "
            "allowed: log, term",
        )
        self.assertIn(
            "did you mean failure_domain?", texts_by_key["proxy.failuredomain"]
        )

    def test_duplicates_are_reported_with_other_findings(self):
        """Guards against duplicates that are reported only once all else is valid."""
        texts_by_key = self.finding_texts(
            "[proxy]\ncaller_address = '127.0.0.1:1'\npeer_address = '127.0.0.1:1'\n"
            "name = 1\n[groups.g]\nx = 1\n[groups.g.servers.fees-1]\naddress = ''\n"
        )
        self.assertEqual(
            sorted(texts_by_key),
            [
                "groups.g.servers.fees-1",
                "groups.g.servers.fees-1.address",
                "groups.g.servers.fees-1.failure_domain",
                "groups.g.x",
                "proxy.name",
                "proxy.peer_address",
            ],
        )

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(strategies.data())
    def test_check_of_arbitrary_documents(self, data):
        """Guards against a check that raises an exception on a malformed document."""
        document = {}
        names = strategies.sampled_from(["*", "a", "urgent", "\x1b", "x" * 99, ""])
        for path in data.draw(
            strategies.lists(
                strategies.sampled_from([key.path for key in settings_keys.KEYS])
            )
        ):
            parts = [
                data.draw(names) if part == "*" else part for part in path.split(".")
            ]
            parts = parts[: data.draw(strategies.integers(1, len(parts)))]
            value = data.draw(VALUES)
            for part in reversed(parts):
                value = {part: value}
            document = settings.merge([document, value])
        for finding in settings.check(document, require_process_tables=True):
            self.assertTrue(str(finding).isprintable())

    def test_secret_is_not_shown(self):
        """Guards against findings that print a secret."""
        texts_by_key = self.finding_texts("[session.secrets]\nk1 = 'abcdefg-private'\n")
        self.assertNotIn("private", texts_by_key["session.secrets.k1"])

    def test_missing_process_tables(self):
        """Guards against starting a process without a name or session secrets."""
        all_findings = settings.check({}, require_process_tables=True)
        keys = {finding.key for finding in all_findings}
        self.assertLessEqual({"proxy.name", "session.current"}, keys)
        self.assertEqual(settings.check({}), [])

    def test_links_without_tls_only_on_loopback(self):
        """Guards against unencrypted links between hosts that are set up by mistake."""
        toml_text = "[proxy]\ncaller_address = '10.0.0.1:80'\n"
        self.assertIn(
            "tls.callers is not set",
            self.finding_texts(toml_text)["proxy.caller_address"],
        )
        self.assertEqual(
            self.finding_texts(toml_text + "[tls]\nallow_plain = true\n"), {}
        )

    def test_addresses(self):
        """Guards against host names as addresses, which would need a DNS lookup."""
        for address in ("127.0.0.1:0", "10.0.0.1:65535", "[::1]:80", "[fe80::2]:1"):
            self.assertTrue(validation.is_address(address), address)
        for address in (
            "a:1",
            "1.2.3:4",
            "1.2.3.4",
            "1.2.3.4:65536",
            ":1",
            "1.2.3.4:-1",
        ):
            self.assertFalse(validation.is_address(address), address)
        self.assertFalse(validation.is_address("1.2.3.4:" + "9" * 5000))
        self.assertFalse(validation.is_address("\0:1"))

    def test_duplicate_server_and_address(self):
        """Guards against one backend server in two groups."""
        texts_by_key = self.finding_texts(
            "[groups.other.servers.fees-1]\naddress = '127.0.0.1:7001'\n"
            "failure_domain = 'a'\n"
        )
        self.assertIn("groups.other.servers.fees-1", texts_by_key)

    def test_unreadable_files(self):
        """Guards against reporting only the first unreadable file."""
        (self.folder / "01-bytes.toml").write_bytes(b"a = '\xff'")
        (self.folder / "02-syntax.toml").write_text("a = 1\nb =\n")
        with self.assertRaises(errors.InvalidSettings) as caught:
            settings.load(self.folder)
        locations = {
            (finding.location.file, finding.location.line)
            for finding in caught.exception.findings
        }
        self.assertEqual(locations, {("01-bytes.toml", 0), ("02-syntax.toml", 2)})

    def test_document_size_limit(self):
        """Guards against a configuration that is too large for the platform."""
        groups = {f"g{number}": {"acknowledge": "log"} for number in range(40_000)}
        (finding,) = settings.check({"groups": groups})
        self.assertIn("bytes", finding.problem)
        self.assertIn(str(settings_keys.MAX_DOCUMENT_BYTES), finding.allowed)

    def test_accepted_configuration_keeps_local_tables(self):
        """Guards against local settings such as secrets in the shared document."""
        document = settings.read_document(self.folder)
        shared = settings.shared_document(document)
        self.assertEqual(list(shared), ["groups"])
        merged = settings.with_shared_tables(document, {"groups": {}})
        self.assertEqual(merged["proxy"]["name"], "proxy-1")
        self.assertEqual(merged["groups"], {})

    def test_update_equals_full_build(self):
        """Guards against a group that has old settings after an update."""
        document = settings.read_document(self.folder)
        server = {"address": "127.0.0.1:9", "failure_domain": "b"}
        shared_tables = [
            {},
            {"groups": {"a": {"servers": {"a-1": server}}}},
            {"groups": {"b": {"servers": {"b-1": server}}}},
            {"groups": {"a": {"servers": {"a-1": server}, "acknowledge": "term"}}},
            {"admission": {"floors": {"routine": 0.3}}},
            {"groups": {"fees": {"servers": {"fees-1": server}}}},
        ]
        current = settings.build_proxy_settings(document)
        for old, new in itertools.pairwise(shared_tables * 2):
            current = settings.update_proxy_settings(current, document, old, new)
            full_document = settings.with_shared_tables(document, new)
            self.assertEqual(current, settings.build_proxy_settings(full_document))


class ReferenceTest(unittest.TestCase):
    def test_reference_lists_every_key(self):
        """Guards against a reference page that differs from ``settings_keys.KEYS``."""
        page = pathlib.Path("docs/configuration.md").read_text()
        self.assertIn(settings_keys.reference(), page)

    def test_example_in_reference_is_valid(self):
        """Guards against an example that has findings."""
        page = pathlib.Path("docs/configuration.md").read_text()
        example = page.split("```toml\n")[1].split("```")[0]
        self.assertEqual(
            settings.check(tomllib.loads(example), require_process_tables=True), []
        )
