"""A short seeded run of the fault soak, with real processes."""

import pathlib
import signal
import subprocess
import sys
import tempfile
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


class StartTest(unittest.TestCase):
    def test_signal_for_changed_settings_during_the_start(self):
        """Guards against a process that ends by SIGHUP before it is loaded.

        Found by the soak with seed 212. A module of the libraries stands in for the
        time of loading: it waits for the test.
        """
        with tempfile.TemporaryDirectory() as folder:
            module = pathlib.Path(folder) / "msgspec.py"
            module.write_text(
                "import sys\nprint('loading', flush=True)\n"
                "sys.stdin.readline()\nraise SystemExit(7)\n"
            )
            process = subprocess.Popen(
                [sys.executable, "platform/run.py"],
                cwd=ROOT,
                env={"PYTHONPATH": folder},
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self.assertEqual(process.stdout.readline(), "loading\n")
            process.send_signal(signal.SIGHUP)
            process.communicate("go on\n", timeout=LIMIT_SECONDS)
            self.assertEqual(process.returncode, 7)


if __name__ == "__main__":
    unittest.main()
