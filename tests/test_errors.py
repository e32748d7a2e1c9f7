"""Tests of ``cassiahill.errors`` and of the page that documents the codes."""

import pathlib
import re
import unittest

from cassiahill import errors


class ReferenceTest(unittest.TestCase):
    def test_page_lists_every_code(self):
        """Guards against a page that lacks a code or states another outcome for it."""
        page = pathlib.Path("docs/errors.md").read_text()
        rows = re.findall(r"^\| `(\w+)` \| (\d+) \| (\w+) \| (.+) \|$", page, re.M)
        expected = [
            (code, str(cls.http_status), cls.may_have_run.value)
            for code, cls in errors.by_code().items()
        ]
        self.assertEqual(sorted(row[:3] for row in rows), sorted(expected))

    def test_problem_round_trip(self):
        """Guards against a code or outcome that changes in the JSON form."""
        for code, cls in errors.by_code().items():
            problem = cls("detail", may_have_run="unknown").to_problem()
            restored = errors.from_problem(problem)
            self.assertIs(type(restored), cls, code)
            self.assertEqual(restored.to_problem(), problem)
