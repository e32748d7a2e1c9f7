"""Builds ``dist/cassiahill``, a single executable file, and checks that it runs.

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
COMMAND_TIMEOUT_SECONDS = 60
# Sources of compiled modules are left out; they would take 8 MB of a host's memory.
SOURCE_SUFFIXES = {".c", ".cpp", ".h", ".hpp", ".pxd", ".pyx"}
SAMPLE_SETTINGS = (
    '[groups.g.servers.s]\naddress = "127.0.0.1:1"\nfailure_domain = "a"\n'
)
EMPTY_FIGURES = {"proxy": "p", "covered": [], "ended": False, "rows": []}


def main(argv=None):
    """Build and check the executable; return the exit code."""
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


def build(binary, lock_file, library_folder):
    """Copy the package and its libraries to a folder and pack them into one file."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    versions = locked_versions(lock_file.read_text())
    for name in sorted(required_distributions(project["dependencies"])):
        copy_distribution(name, versions, library_folder)
    ignored_names = shutil.ignore_patterns("__pycache__")
    shutil.copytree(
        ROOT / "cassiahill", library_folder / "cassiahill", ignore=ignored_names
    )
    interpreter = f"python{sys.version_info.major}.{sys.version_info.minor}"
    argv = [sys.executable, "-m", "shiv", "--site-packages", str(library_folder)]
    argv += ["--entry-point", "cassiahill.cli:main", "--output-file", str(binary)]
    argv += [
        "--reproducible",
        "--compressed",
        "--python",
        f"/usr/bin/env {interpreter}",
    ]
    subprocess.run(argv, check=True, timeout=COMMAND_TIMEOUT_SECONDS)


def normalized_name(name):
    """Return the name of a distribution as the Python packaging rules normalize it."""
    return re.sub(r"[-_.]+", "-", name).lower()


def locked_versions(lock_text):
    """Return the versions that a lock file pins, by normalized distribution name."""
    name_version_pairs = re.findall(
        r"^([A-Za-z0-9._-]+)==([^ \\\n]+)", lock_text, re.MULTILINE
    )
    return {normalized_name(name): version for name, version in name_version_pairs}


def required_distributions(requirements):
    """Return the names of all distributions that requirements need, also indirectly."""
    required_names = set()
    pending_requirements = list(requirements)
    while pending_requirements:
        requirement = pending_requirements.pop()
        name = normalized_name(re.match(r"[A-Za-z0-9._-]+", requirement).group())
        if "extra ==" in requirement or name in required_names:
            continue
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            if ";" in requirement:
                continue  # Required on other platforms only.
            raise
        required_names.add(name)
        pending_requirements += distribution.requires or ()
    return required_names


def copy_distribution(name, versions, folder):
    """Copy the files of an installed distribution; exit if its version isn't locked."""
    distribution = importlib.metadata.distribution(name)
    if versions.get(name) != distribution.version:
        raise SystemExit(
            f"{name} {distribution.version} is installed, but the lock file has "
            f"{versions.get(name, 'no version')}"
        )
    for file in distribution.files:
        if ".." in file.parts or "__pycache__" in file.parts:
            continue  # Command scripts and bytecode caches are not needed.
        if file.suffix in SOURCE_SUFFIXES:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def check(binary, folder):
    """Run the file outside the source tree, without the environment's libraries."""
    (folder / "settings").mkdir()
    (folder / "settings" / "10.toml").write_text(SAMPLE_SETTINGS)
    (folder / "day.json").write_text(json.dumps(EMPTY_FIGURES))
    environment = {
        # The base interpreter of the virtual environment, without installed packages.
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
            timeout=COMMAND_TIMEOUT_SECONDS,
            check=False,
        )
        if result.returncode or expected not in result.stdout:
            raise SystemExit(f"{argv} failed: {result.stdout}{result.stderr}")
        print(f"ran {' '.join(argv)}")
    check_no_child_processes(binary, folder, environment)


def check_no_child_processes(binary, folder, environment):
    """Exit with an error if a running command has child processes or fails."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(COMMAND_TIMEOUT_SECONDS)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with subprocess.Popen(
            [binary, "status", address], cwd=folder, env=environment
        ) as process:
            # The command has started and waits for an answer to its request.
            connection, _ = listener.accept()
            child_ids = child_process_ids(process.pid)
            body = b'{"proxy": "p"}'
            connection.recv(65_536)
            response_head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.sendall(response_head + body)
            connection.close()
            exit_code = process.wait(COMMAND_TIMEOUT_SECONDS)
    if child_ids or exit_code:
        raise SystemExit(f"exit code {exit_code}, child processes: {child_ids}")
    print("ran status: one process")


def child_process_ids(process_id):
    """Return the ids of the child processes of all threads of a process."""
    threads_folder = pathlib.Path(f"/proc/{process_id}/task")
    id_lists = [
        (thread_folder / "children").read_text()
        for thread_folder in threads_folder.iterdir()
    ]
    return [int(child) for id_list in id_lists for child in id_list.split()]


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(main())
