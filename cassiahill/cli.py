"""Command line."""

import argparse


def main(argv=None):
    """Run one command and return its exit code."""
    parser = argparse.ArgumentParser(prog="cassiahill")
    commands = parser.add_subparsers(dest="command", required=True)
    proxy_parser = commands.add_parser("proxy")
    actions = proxy_parser.add_subparsers(dest="action", required=True)
    run_parser = actions.add_parser("run")
    run_parser.add_argument("folder")
    options = parser.parse_args(argv)
    from cassiahill import proxy

    proxy.run(options.folder)
    return 0
