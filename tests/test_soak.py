"""A short seeded run of the fault soak, with real processes."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
SEEDS = ("1",)
SECONDS = "8"
LIMIT_SECONDS = 240  # For a busy machine; a run takes about half a minute.


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        """Guards against promises that are broken only by real processes."""
        argv = [sys.executable, "platform/soak/run.py", "--seconds", SECONDS]
        done = subprocess.run(
            [*argv, "--seeds", *SEEDS],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=LIMIT_SECONDS,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main()
