"""Command line: finds the registered commands, runs one, and maps errors to codes.

A command is a plug-in of the kind ``command``; its name is the words that select it.
"""

import argparse
import os
import sys

import msgspec
from absl import flags, logging

from cassiahill import __version__, errors, kernel

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_WRONG_USAGE = 2
EXIT_CONFLICT = 3


class Command:
    """One command; subclasses register themselves.

    Attributes
    ----------
    summary : str
        One line for ``--help``.
    """

    summary = ""

    def add_arguments(self, parser):
        """Add the command's arguments."""

    def run(self, options):
        """Run the command and return its exit code.

        Raises
        ------
        errors.CassiahillError
            Reported by ``main`` with the fitting exit code.
        """
        raise NotImplementedError


def build_parser(commands_by_name):
    """Return the parser of all commands; names of two words form a group."""
    parser = argparse.ArgumentParser(
        prog="cassiahill",
        description="Database proxy with session consistency.",
        epilog="exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict",
    )
    parser.add_argument("--version", action="version", version=__version__)
    top = parser.add_subparsers(metavar="COMMAND", required=True)
    groups = {}
    for name, command_class in sorted(commands_by_name.items()):
        command = command_class()
        target = top
        group, _, word = name.rpartition(" ")
        if group:
            if group not in groups:
                group_parser = top.add_parser(group, help=f"{group} commands")
                groups[group] = group_parser.add_subparsers(
                    metavar="COMMAND", required=True
                )
            target = groups[group]
        child = target.add_parser(
            word, help=command.summary, description=command.summary
        )
        child.add_argument("--json", action="store_true", help="print JSON for scripts")
        command.add_arguments(child)
        child.set_defaults(command=command)
    return parser


def main(argv=None):
    """Run one command and return its exit code."""
    # The library warns on the first line when its flags are not used.
    logging._warn_preinit_stderr = False
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    flags.FLAGS.mark_as_parsed()  # Otherwise absl warns, although no flags are used.
    kernel.load_all()
    options = build_parser(kernel.plugins("command")).parse_args(argv)
    try:
        code = options.command.run(options)
        sys.stdout.flush()
        return code
    except errors.InvalidSettings as error:
        _report(error, options)
        return EXIT_WRONG_USAGE
    except errors.Conflict as error:
        _report(error, options)
        return EXIT_CONFLICT
    except errors.CassiahillError as error:
        _report(error, options)
        return EXIT_FAILED
    except BrokenPipeError:
        # The reader of a long report has gone; the flush at exit must not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILED
    except OSError as error:
        print(f"failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED


def print_json(value):
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def _report(error, options):
    print(f"{error.code}: {error}", file=sys.stderr)
    if options.json:
        problem = error.to_problem()
        found = getattr(error, "findings", ())
        if found:
            problem["findings"] = [finding.to_json() for finding in found]
        print_json(problem)
