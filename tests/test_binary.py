"""Tests of ``bench.binary``; the build itself runs with ``make binary``."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

from bench import binary


class BinaryTest(unittest.TestCase):
    def test_lock_file_names_are_normalized(self):
        """Guards against a missed version whose name is spelt otherwise in the file."""
        text = "# a==1\nAbsl.py==2.5.1 \\\n    --hash=x\nprometheus_client==0.26.0 \\\n"
        expected = {"absl-py": "2.5.1", "prometheus-client": "0.26.0"}
        self.assertEqual(binary.locked_versions(text), expected)

    def test_required_distributions_include_indirect_dependencies(self):
        """Guards against an executable that lacks a library at run time."""
        names = binary.required_distributions(["cryptography==50.0.2"])
        self.assertLessEqual({"cryptography", "cffi", "pycparser"}, names)

    def test_distribution_in_another_than_the_locked_version_is_rejected(self):
        """Guards against an executable with library versions that were not tested."""
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(SystemExit):
            binary.copy_distribution("attrs", {"attrs": "0"}, pathlib.Path(folder))

    def test_child_process_is_found(self):
        """Guards against a check for child processes that never finds any."""
        with subprocess.Popen([sys.executable, "-c", "input()"], stdin=-1) as child:
            self.assertIn(child.pid, binary.child_process_ids(os.getpid()))
            child.communicate(b"\n")
