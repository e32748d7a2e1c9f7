"""Command line: runs a registered command and maps errors to exit codes.

A command is a plug-in of the kind ``command``. Its name is the one or two words that
select it, such as ``config check``.
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
    """Base class of commands; subclasses register themselves as plug-ins.

    Attributes
    ----------
    summary : str
        One line for ``--help``.
    """

    summary = ""

    def add_arguments(self, parser):
        """Add the command's arguments to an ``argparse`` parser."""

    def run(self, options):
        """Run the command and return its exit code.

        Parameters
        ----------
        options : argparse.Namespace

        Returns
        -------
        int

        Raises
        ------
        errors.CassiahillError
            ``main`` prints it and chooses the exit code.
        """
        raise NotImplementedError


def build_parser(commands_by_name):
    """Return the argument parser for all commands.

    Commands whose names have the same first of two words become subcommands of it.

    Parameters
    ----------
    commands_by_name : dict of str to type
        Subclasses of ``Command``.

    Returns
    -------
    argparse.ArgumentParser
    """
    parser = argparse.ArgumentParser(
        prog="cassiahill",
        description="Database proxy with session consistency.",
        epilog="exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict",
    )
    parser.add_argument("--version", action="version", version=__version__)
    top_level_parsers = parser.add_subparsers(metavar="COMMAND", required=True)
    parsers_by_group = {}
    for name, command_class in sorted(commands_by_name.items()):
        command = command_class()
        sibling_parsers = top_level_parsers
        group, _, last_word = name.rpartition(" ")
        if group:
            if group not in parsers_by_group:
                group_parser = top_level_parsers.add_parser(
                    group, help=f"{group} commands"
                )
                parsers_by_group[group] = group_parser.add_subparsers(
                    metavar="COMMAND", required=True
                )
            sibling_parsers = parsers_by_group[group]
        command_parser = sibling_parsers.add_parser(
            last_word, help=command.summary, description=command.summary
        )
        command_parser.add_argument(
            "--json", action="store_true", help="print JSON for scripts"
        )
        command.add_arguments(command_parser)
        command_parser.set_defaults(command=command)
    return parser


def main(argv=None):
    """Run the command that ``argv`` selects and return its exit code.

    Parameters
    ----------
    argv : list of str or None
        Arguments without the program's name; those of the process if None.

    Returns
    -------
    int
    """
    # Suppresses absl's warning about log lines before its flags are parsed.
    logging._warn_preinit_stderr = False
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # The commands use no absl flags; without this call absl would log a warning.
    flags.FLAGS.mark_as_parsed()
    kernel.load_all()
    options = build_parser(kernel.plugins("command")).parse_args(argv)
    try:
        code = options.command.run(options)
        sys.stdout.flush()
        return code
    except errors.InvalidSettings as error:
        _print_error(error, options)
        return EXIT_WRONG_USAGE
    except errors.Conflict as error:
        _print_error(error, options)
        return EXIT_CONFLICT
    except errors.CassiahillError as error:
        _print_error(error, options)
        return EXIT_FAILED
    except BrokenPipeError:
        # The reader of the output closed the pipe. Standard output is redirected, so
        # that the flush at exit does not fail again.
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


def _print_error(error, options):
    print(f"{error.code}: {error}", file=sys.stderr)
    if options.json:
        problem = error.to_problem()
        findings = getattr(error, "findings", ())
        if findings:
            problem["findings"] = [finding.to_json() for finding in findings]
        print_json(problem)
