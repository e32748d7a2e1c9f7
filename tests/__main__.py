"""Runs all tests; failures listed in KNOWN-RED.txt are printed but do not fail the run.

Each module runs in a separate process. Hypothesis draws constants from all imported
modules, so the examples of one module would otherwise depend on the other modules.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
MAX_PROCESSES = 4
MODULE_TIMEOUT_SECONDS = 900
RESULT_PREFIX = "result: "


def known_red_ids():
    """Return the test ids in KNOWN-RED.txt: the first word of each ``test:`` line."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test:")}


def run_module(name):
    """Run one module in this process and print its result as the last line."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(suite)
    failed_ids = sorted({_test_id(test) for test, _ in result.failures + result.errors})
    failed_ids += [_test_id(test) for test in result.unexpectedSuccesses]
    counts = {"run": result.testsRun, "skipped": len(result.skipped), "bad": failed_ids}
    print(RESULT_PREFIX + json.dumps(counts))


def _test_id(test):
    """Return the id of a test; for a subtest, the id of the test that contains it."""
    return getattr(test, "test_case", test).id()


def run_in_process(name):
    """Run one module in a new process; return its counts and its output."""
    argv = [sys.executable, "-m", "tests", "--module", name]
    try:
        process = subprocess.run(
            argv,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
            check=False,
        )
        output = process.stdout
    except subprocess.TimeoutExpired as error:
        output = (
            f"{error.stdout}\n{name} did not end within {MODULE_TIMEOUT_SECONDS} s\n"
        )
    lines = output.rstrip().splitlines()
    if lines and lines[-1].startswith(RESULT_PREFIX):
        return json.loads(lines[-1].removeprefix(RESULT_PREFIX)), "\n".join(lines[:-1])
    return {"run": 1, "skipped": 0, "bad": [f"{name} (no result)"]}, output


def main(argv):
    """Run the named modules, or all; return the exit code."""
    parser = argparse.ArgumentParser(prog="tests", description=__doc__)
    parser.add_argument("--module", help="run one module in this process")
    parser.add_argument("names", nargs="*", help="modules; all when none is given")
    options = parser.parse_args(argv)
    if options.module:
        run_module(options.module)
        return 0
    names = options.names or sorted(
        f"tests.{path.stem}" for path in (ROOT / "tests").glob("test_*.py")
    )
    run = skipped = 0
    failed_ids = set()
    with ThreadPoolExecutor(MAX_PROCESSES) as executor:
        for name, (counts, output) in zip(
            names, executor.map(run_in_process, names), strict=True
        ):
            print(f"{name}: {counts['run']} run, {len(counts['bad'])} failed")
            if counts["bad"]:
                print(output)
            run += counts["run"]
            skipped += counts["skipped"]
            failed_ids |= set(counts["bad"])
    known_ids = known_red_ids()
    for test_id in sorted(failed_ids & known_ids):
        print(f"known red: {test_id}")
    failed_count = len(failed_ids - known_ids)
    passed = max(0, run - len(failed_ids) - skipped)
    print(f"{passed} passed, {failed_count} failed", end="")
    print(f", {skipped} skipped" if skipped else "")
    return 1 if failed_count or not run else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
