"""Tests of ``bench.binary``; the build itself runs with ``make binary``."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

from bench import binary


class BinaryTest(unittest.TestCase):
    def test_locked_versions(self):
        """Guards against names that differ only in case or separator."""
        text = "# a==1\nAbsl.py==2.5.1 \\\n    --hash=x\nprometheus_client==0.26.0 \\\n"
        expected = {"absl-py": "2.5.1", "prometheus-client": "0.26.0"}
        self.assertEqual(binary.locked_versions(text), expected)

    def test_closure_holds_dependencies_of_dependencies(self):
        """Guards against a file that lacks a library at run time."""
        names = binary.closure(["cryptography==50.0.2"])
        self.assertLessEqual({"cryptography", "cffi", "pycparser"}, names)

    def test_version_that_is_not_locked(self):
        """Guards against a file with other versions than the tested ones."""
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(SystemExit):
            binary.copy_distribution("attrs", {"attrs": "0"}, pathlib.Path(folder))

    def test_children_are_found(self):
        """Guards against a check for child processes that never finds any."""
        with subprocess.Popen([sys.executable, "-c", "input()"], stdin=-1) as child:
            self.assertIn(child.pid, binary.children_of(os.getpid()))
            child.communicate(b"\n")
