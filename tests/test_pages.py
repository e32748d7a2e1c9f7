"""Runs the Python blocks of the tutorial and of the page on embedding."""

import contextlib
import io
import pathlib
import re
import unittest

from tests.fake_proxy import FakeProxy

DOCS = pathlib.Path(__file__).parent.parent / "docs"
ANSWER = {
    "columns": ["status"],
    "rows": [["paid"]],
    "row_count": 1,
    "session": "token",
    "transaction": "1",
    "outcome": "done",
    "answer": {"row_count": 1},
    "age_ms": 3.0,
}


def blocks(name):
    """Return the Python blocks of a page."""
    return re.findall(r"```python\n(.*?)```", (DOCS / name).read_text(), re.DOTALL)


class PagesTest(unittest.TestCase):
    def test_embedding(self):
        """Guards against a page whose examples no longer work, each alone."""
        found = blocks("embedding.md")
        self.assertEqual(len(found), 7)
        for number, block in enumerate(found):
            with self.subTest(number):
                exec(compile(block, f"embedding.md block {number}", "exec"), {})

    def test_tutorial(self):
        """Guards against a tutorial that names arguments the client does not have."""
        proxy = FakeProxy(default=(200, ANSWER, False))
        self.addCleanup(proxy.close)
        namespace = {}
        found = blocks("tutorial.md")
        self.assertEqual(len(found), 7)
        with contextlib.redirect_stdout(io.StringIO()):
            for block in found:
                local = block.replace("7101", str(proxy.address[1]))
                exec(compile(local, "tutorial.md", "exec"), namespace)
        namespace["client"].close()
        self.assertGreater(len(proxy.requests), 10)
