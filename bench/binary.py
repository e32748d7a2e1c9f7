"""Builds ``dist/cassiahill``, one executable file, and checks it.

Run ``python -m bench.binary``. The file holds the package and the run-time libraries
of the virtual environment, in the versions that the lock file names; nothing is
downloaded.
"""

import argparse
import importlib.metadata
import json
import os
import pathlib
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 60
# Sources of compiled modules; they would take 8 MB of a host's memory.
SOURCE_SUFFIXES = {".c", ".cpp", ".h", ".hpp", ".pxd", ".pyx"}
CHECK_TOML = '[groups.g.servers.s]\naddress = "127.0.0.1:1"\nfailure_domain = "a"\n'
EMPTY_DAY = {"proxy": "p", "covered": [], "ended": False, "rows": []}


def main(argv=None):
    """Build and check the file; return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.binary", description=__doc__)
    parser.add_argument("--lock", default=ROOT / "requirements.lock", type=pathlib.Path)
    parser.add_argument("--output", default=ROOT / "dist", type=pathlib.Path)
    options = parser.parse_args(argv)
    binary = options.output.resolve() / "cassiahill"
    binary.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="cassiahill-") as folder:
        build(binary, options.lock, pathlib.Path(folder))
    print(f"built {binary}: {binary.stat().st_size} bytes")
    with tempfile.TemporaryDirectory(prefix="cassiahill-") as folder:
        check(binary, pathlib.Path(folder))
    return 0


def build(binary, lock, folder):
    """Collect the package and its libraries in a folder and make one file of them."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    versions = locked_versions(lock.read_text())
    for name in sorted(closure(project["dependencies"])):
        copy_distribution(name, versions, folder)
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "cassiahill", folder / "cassiahill", ignore=ignore)
    version = f"python{sys.version_info.major}.{sys.version_info.minor}"
    argv = [sys.executable, "-m", "shiv", "--site-packages", str(folder)]
    argv += ["--entry-point", "cassiahill.cli:main", "--output-file", str(binary)]
    argv += ["--reproducible", "--compressed", "--python", f"/usr/bin/env {version}"]
    subprocess.run(argv, check=True, timeout=TIMEOUT_SECONDS)


def normalized(name):
    """Return a distribution's name in its normal form."""
    return re.sub(r"[-_.]+", "-", name).lower()


def locked_versions(text):
    """Return the versions in the text of a lock file by distribution."""
    pairs = re.findall(r"^([A-Za-z0-9._-]+)==([^ \\\n]+)", text, re.MULTILINE)
    return {normalized(name): version for name, version in pairs}


def closure(requirements):
    """Return the names of installed distributions that requirements need."""
    needed = set()
    waiting = list(requirements)
    while waiting:
        requirement = waiting.pop()
        name = normalized(re.match(r"[A-Za-z0-9._-]+", requirement).group())
        if "extra ==" in requirement or name in needed:
            continue
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            if ";" in requirement:
                continue  # Needed on other platforms only.
            raise
        needed.add(name)
        waiting += distribution.requires or ()
    return needed


def copy_distribution(name, versions, folder):
    """Copy the files of an installed distribution in its locked version."""
    distribution = importlib.metadata.distribution(name)
    if versions.get(name) != distribution.version:
        raise SystemExit(
            f"{name} {distribution.version} is installed, but the lock file has "
            f"{versions.get(name, 'no version')}"
        )
    for file in distribution.files:
        if ".." in file.parts or "__pycache__" in file.parts:
            continue  # Scripts of the environment and caches are not imported.
        if file.suffix in SOURCE_SUFFIXES:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def check(binary, folder):
    """Run the file outside the source tree, without the environment's libraries."""
    (folder / "settings").mkdir()
    (folder / "settings" / "10.toml").write_text(CHECK_TOML)
    (folder / "day.json").write_text(json.dumps(EMPTY_DAY))
    environment = {
        # The interpreter that the environment was made from, without its packages.
        "PATH": f"{pathlib.Path(sys.executable).resolve().parent}:/usr/bin:/bin",
        "PYTHONPATH": "",
        "SHIV_ROOT": str(folder / "cache"),
    }
    for argv, expected in (
        (["--help"], "exit codes"),
        (["config", "check", "settings"], "no findings"),
        (["report", "--day", "2026-01-01", "--figures", "day.json"], "TOTAL"),
    ):
        result = subprocess.run(
            [binary, *argv],
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        if result.returncode or expected not in result.stdout:
            raise SystemExit(f"{argv} failed: {result.stdout}{result.stderr}")
        print(f"ran {' '.join(argv)}")
    check_one_process(binary, folder, environment)


def check_one_process(binary, folder, environment):
    """Check that a running command has no child process."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_SECONDS)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with subprocess.Popen(
            [binary, "status", address], cwd=folder, env=environment
        ) as process:
            # The command is past its start and waits for this answer.
            connection, _ = listener.accept()
            children = children_of(process.pid)
            body = b'{"proxy": "p"}'
            connection.recv(65_536)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.sendall(head + body)
            connection.close()
            code = process.wait(TIMEOUT_SECONDS)
    if children or code:
        raise SystemExit(f"exit code {code}, child processes: {children}")
    print("ran status: one process")


def children_of(process_id):
    """Return the ids of the child processes of all threads of a process."""
    tasks = pathlib.Path(f"/proc/{process_id}/task")
    texts = [(task / "children").read_text() for task in tasks.iterdir()]
    return [int(child) for text in texts for child in text.split()]


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(main())
