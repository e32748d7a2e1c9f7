"""Tests of ``cassiahill.settings`` and the modules that it checks with."""

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
    """Merge by listing every setting of a leaf in order and replaying the list."""
    merged = {}
    for document in documents:
        for path, value in _leaves((), document):
            node = merged
            for part in path[:-1]:
                if not isinstance(node.get(part), dict):
                    node[part] = {}
                node = node[part]
            if value != {} or not isinstance(node.get(path[-1]), dict):
                node[path[-1]] = value
    return merged


def _leaves(path, value):
    for key, child in value.items():
        if isinstance(child, dict) and child:
            yield from _leaves((*path, key), child)
        else:
            yield (*path, key), copy.deepcopy(child)


class MergeTest(unittest.TestCase):
    @hypothesis_settings(derandomize=True, deadline=None)
    @given(strategies.lists(DOCUMENTS, max_size=4))
    def test_merge_equals_a_naive_merge(self, documents):
        """Guards against a lost or reverted key, and against changed inputs."""
        before = copy.deepcopy(documents)
        self.assertEqual(settings.merge(documents), naive_merge(documents))
        self.assertEqual(documents, before)

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(DOCUMENTS)
    def test_every_key_has_its_line(self, document):
        """Guards against findings that point at another line."""
        text = "# first\n\n" + tomlkit.dumps(document)
        lines = validation.lines_by_path(text)
        for path, _ in _leaves((), document):
            line = text.split("\n")[lines[path] - 1]
            self.assertIn(path[-1], line)

    def test_lines_after_values_of_several_lines(self):
        """Guards against counting a bracket within a text as a header."""
        text = 'a = """\n[x]\nb = 1\n"""\n[t]\nc = [\n  1,\n  2,\n]\nd = { e = 1 }\n'
        lines = validation.lines_by_path(text)
        expected = {("a",): 1, ("t",): 5, ("t", "c"): 6, ("t", "d"): 10}
        self.assertEqual(lines, {**expected, ("t", "d", "e"): 10})


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory(prefix="cassiahill-"))
        )
        operator_builders.write_settings_folder(self.folder)

    def problems(self, text):
        (self.folder / "99-wrong.toml").write_text(text)
        _, found = settings.check_folder(self.folder, process=True)
        return {finding.key: str(finding) for finding in found}

    def test_valid_folder(self):
        """Guards against refusing the shape that deployments use."""
        loaded = settings.load(self.folder)
        self.assertEqual(loaded.name, "proxy-1")
        self.assertEqual(loaded.groups_by_name["fees"].promote, "majority")
        self.assertEqual(loaded.floors_by_rank["urgent"], 0.2)

    def test_all_findings_at_once(self):
        """Guards against a check that stops at the first wrong key."""
        problems = self.problems(
            "[proxy]\nfailuredomain = 1\ncaller_address = 'localhost:80'\n"
            "drain_deadline_ms = true\n[session]\ncurrent = 'k9'\n"
            "[groups.fees]\nacknowledge = 'logg'\nservers.fees-1.slots = 0\n"
            "[groups.'a b']\n[tls.callers]\nkey = '/nowhere'\n"
            "[admission.floors]\nurgent = 0.9\nlookup = 0.9\n"
        )
        self.assertEqual(
            sorted(problems),
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
        wrong = problems["groups.fees.acknowledge"]
        self.assertEqual(
            wrong,
            "99-wrong.toml:8: groups.fees.acknowledge: 'logg' is not allowed; "
            "allowed: log, term",
        )
        self.assertIn("did you mean failure_domain?", problems["proxy.failuredomain"])

    def test_checks_between_keys_run_beside_other_findings(self):
        """Guards against duplicates that show only after other corrections."""
        problems = self.problems(
            "[proxy]\ncaller_address = '127.0.0.1:1'\npeer_address = '127.0.0.1:1'\n"
            "name = 1\n[groups.g]\nx = 1\n[groups.g.servers.fees-1]\naddress = ''\n"
        )
        self.assertEqual(
            sorted(problems),
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
    def test_check_never_fails(self, data):
        """Guards against a check that ends in a traceback on a hostile document."""
        document = {}
        names = strategies.sampled_from(["*", "a", "urgent", "\x1b", "x" * 99, ""])
        for path in data.draw(
            strategies.lists(
                strategies.sampled_from([k.path for k in settings_keys.KEYS])
            )
        ):
            parts = [data.draw(names) if p == "*" else p for p in path.split(".")]
            parts = parts[: data.draw(strategies.integers(1, len(parts)))]
            value = data.draw(VALUES)
            for part in reversed(parts):
                value = {part: value}
            document = settings.merge([document, value])
        for finding in settings.check(document, process=True):
            self.assertTrue(str(finding).isprintable())

    def test_secret_is_not_shown(self):
        """Guards against secrets in terminals and logs."""
        problems = self.problems("[session.secrets]\nk1 = 'abcdefg-private'\n")
        self.assertNotIn("private", problems["session.secrets.k1"])

    def test_missing_process_tables(self):
        """Guards against a start without a name or secrets."""
        found = settings.check({}, process=True)
        keys = {finding.key for finding in found}
        self.assertLessEqual({"proxy.name", "session.current"}, keys)
        self.assertEqual(settings.check({}), [])

    def test_plain_links_only_on_loopback(self):
        """Guards against unencrypted links between hosts by oversight."""
        text = "[proxy]\ncaller_address = '10.0.0.1:80'\n"
        self.assertIn(
            "tls.callers is not set", self.problems(text)["proxy.caller_address"]
        )
        self.assertEqual(self.problems(text + "[tls]\nallow_plain = true\n"), {})

    def test_addresses(self):
        """Guards against names, which a process would have to look up."""
        for text in ("127.0.0.1:0", "10.0.0.1:65535", "[::1]:80", "[fe80::2]:1"):
            self.assertTrue(validation.is_address(text), text)
        for text in ("a:1", "1.2.3:4", "1.2.3.4", "1.2.3.4:65536", ":1", "1.2.3.4:-1"):
            self.assertFalse(validation.is_address(text), text)
        self.assertFalse(validation.is_address("1.2.3.4:" + "9" * 5000))
        self.assertFalse(validation.is_address("\0:1"))

    def test_duplicate_server_and_address(self):
        """Guards against one database in two groups."""
        problems = self.problems(
            "[groups.other.servers.fees-1]\naddress = '127.0.0.1:7001'\n"
            "failure_domain = 'a'\n"
        )
        self.assertIn("groups.other.servers.fees-1", problems)

    def test_files_that_cannot_be_read(self):
        """Guards against reporting only the first unreadable file."""
        (self.folder / "01-bytes.toml").write_bytes(b"a = '\xff'")
        (self.folder / "02-syntax.toml").write_text("a = 1\nb =\n")
        with self.assertRaises(errors.InvalidSettings) as caught:
            settings.load(self.folder)
        places = {(f.place.file, f.place.line) for f in caught.exception.findings}
        self.assertEqual(places, {("01-bytes.toml", 0), ("02-syntax.toml", 2)})

    def test_too_large(self):
        """Guards against a configuration that the platform cannot hold."""
        groups = {f"g{n}": {"acknowledge": "log"} for n in range(40_000)}
        (finding,) = settings.check({"groups": groups})
        self.assertIn("bytes", finding.problem)
        self.assertIn(str(settings_keys.MAX_DOCUMENT_BYTES), finding.allowed)

    def test_accepted_configuration_keeps_local_tables(self):
        """Guards against one host's name or secrets in the shared document."""
        document = settings.read_document(self.folder)
        shared = settings.shared_document(document)
        self.assertEqual(list(shared), ["groups"])
        merged = settings.with_configuration(document, {"groups": {}})
        self.assertEqual(merged["proxy"]["name"], "proxy-1")
        self.assertEqual(merged["groups"], {})

    def test_update_equals_a_full_build(self):
        """Guards against a group that keeps old settings after an update."""
        document = settings.read_document(self.folder)
        server = {"address": "127.0.0.1:9", "failure_domain": "b"}
        tables = [
            {},
            {"groups": {"a": {"servers": {"a-1": server}}}},
            {"groups": {"b": {"servers": {"b-1": server}}}},
            {"groups": {"a": {"servers": {"a-1": server}, "acknowledge": "term"}}},
            {"admission": {"floors": {"routine": 0.3}}},
            {"groups": {"fees": {"servers": {"fees-1": server}}}},
        ]
        current = settings.build_proxy_settings(document)
        for old, new in itertools.pairwise(tables * 2):
            current = settings.update_proxy_settings(current, document, old, new)
            full = settings.with_configuration(document, new)
            self.assertEqual(current, settings.build_proxy_settings(full))


class ReferenceTest(unittest.TestCase):
    def test_reference_lists_every_key(self):
        """Guards against a reference page that differs from the checks."""
        page = pathlib.Path("docs/configuration.md").read_text()
        self.assertIn(settings_keys.reference(), page)

    def test_example_of_the_page_is_valid(self):
        """Guards against an example that the check refuses."""
        page = pathlib.Path("docs/configuration.md").read_text()
        example = page.split("```toml\n")[1].split("```")[0]
        self.assertEqual(settings.check(tomllib.loads(example), process=True), [])
