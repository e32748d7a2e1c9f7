"""The commands of operators and callers."""

import argparse
import datetime
import pathlib
import ssl
import sys

import attrs
import tomlkit

from cassiahill import (
    cli,
    errors,
    kernel,
    porcelain,
    request_trace,
    settings,
    settings_keys,
    validation,
)


def _address(text):
    if not validation.is_address(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not ip:port")
    return settings.parse_address(text)


def _day(text):
    try:
        return datetime.date.fromisoformat(text).isoformat()
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is not YYYY-MM-DD") from error


def _seconds(text):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds")
    return value


def add_connection_arguments(parser):
    """Add the arguments that say how to connect."""
    group = parser.add_argument_group("connection")
    group.add_argument("--timeout", type=_seconds, default=10.0, metavar="SECONDS")
    group.add_argument("--authority", metavar="FILE", help="PEM file; turns TLS on")
    group.add_argument("--certificate", metavar="FILE", help="PEM file with the key")


def ssl_context_of(options):
    """Return the TLS context that the arguments describe; None for none."""
    if options.authority is None:
        if options.certificate is not None:
            raise errors.InvalidSettings("--certificate needs --authority")
        return None
    try:
        context = ssl.create_default_context(cafile=options.authority)
        if options.certificate is not None:
            context.load_cert_chain(options.certificate)
    except (OSError, ssl.SSLError) as error:
        raise errors.InvalidSettings(f"TLS files: {error}") from error
    return context


def _peer(options):
    return porcelain.Peer(options.address, ssl_context_of(options), options.timeout)


class _FolderCommand(cli.Command):
    def add_arguments(self, parser):
        parser.add_argument("folder", help="folder of TOML files")
        add_connection_arguments(parser)

    def platform(self, document, options):
        return porcelain.platform_of(document, ssl_context_of(options), options.timeout)


@kernel.register("command", "proxy run")
class ProxyRun(cli.Command):
    """Runs a proxy until it is told to stop."""

    summary = "run a proxy with the settings in a folder"

    def add_arguments(self, parser):
        """Add the folder."""
        parser.add_argument("folder", help="folder of TOML files")

    def run(self, options):
        """Check everything before anything starts, then serve."""
        settings.load(options.folder)
        from cassiahill import proxy

        proxy.run(options.folder)
        return cli.EXIT_OK


@kernel.register("command", "config check")
class ConfigCheck(cli.Command):
    """Lists everything that is wrong with a folder."""

    summary = "check a folder and list all findings"

    def add_arguments(self, parser):
        """Add the folder."""
        parser.add_argument("folder", help="folder of TOML files")

    def run(self, options):
        """Print the findings to standard error."""
        porcelain.checked_document(options.folder)
        if options.json:
            cli.print_json({"findings": []})
        else:
            print("no findings")
        return cli.EXIT_OK


@kernel.register("command", "config compare")
class ConfigCompare(_FolderCommand):
    """Shows what applying a folder would change."""

    summary = "show what applying a folder would change, and the base generation"

    def run(self, options):
        """Print the generation and one line for each difference."""
        document = porcelain.checked_document(options.folder)
        platform = self.platform(document, options)
        current, changes = porcelain.compare_configuration(platform, document)
        if options.json:
            cli.print_json({"base": current.generation, "changes": changes})
        else:
            print(f"base generation {current.generation}")
            print("\n".join(map(str, changes)) or "no changes")
        return cli.EXIT_OK


@kernel.register("command", "config apply")
class ConfigApply(_FolderCommand):
    """Makes a folder the accepted configuration."""

    summary = "make the shared tables of a folder the accepted configuration"

    def add_arguments(self, parser):
        """Add the folder, the base and the author."""
        super().add_arguments(parser)
        parser.add_argument(
            "--base",
            type=int,
            required=True,
            metavar="GENERATION",
            help="generation that config compare printed",
        )
        parser.add_argument("--by", help="author; the user's name if not given")

    def run(self, options):
        """Print what was accepted; a conflict names the other change."""
        document = porcelain.checked_document(options.folder)
        platform = self.platform(document, options)
        accepted = porcelain.apply_configuration(
            platform, document, options.base, options.by
        )
        _print_accepted(accepted, options)
        return cli.EXIT_OK


@kernel.register("command", "config show")
class ConfigShow(_FolderCommand):
    """Shows the accepted configuration."""

    summary = "show the accepted configuration, who made it and what it changed"

    def run(self, options):
        """Print the configuration as TOML, with comments for its origin."""
        # Wrong files do not keep an operator from seeing what is accepted.
        document = settings.read_document(options.folder)
        accepted = porcelain.show_configuration(self.platform(document, options))
        _print_accepted(accepted, options)
        if not options.json:
            print(tomlkit.dumps(accepted.document), end="")
        return cli.EXIT_OK


def _print_accepted(accepted, options):
    if options.json:
        cli.print_json(accepted)
    elif accepted.generation:
        print("# " + accepted.describe())
    else:
        print("# no configuration has been accepted yet")


class _OperatorCommand(cli.Command):
    call = None

    def add_arguments(self, parser):
        parser.add_argument("address", type=_address, help="operator port, ip:port")
        add_connection_arguments(parser)

    def run(self, options):
        answer = type(self).call(_peer(options))
        if options.json:
            cli.print_json(answer)
        else:
            print("\n".join(_lines("", answer)))
        return cli.EXIT_OK


def _lines(prefix, value):
    if isinstance(value, dict) and value:
        for key, child in value.items():
            yield from _lines(f"{prefix}.{key}" if prefix else str(key), child)
    else:
        yield f"{prefix} = {value}"


@kernel.register("command", "status")
class Status(_OperatorCommand):
    """Shows the state of a proxy in short."""

    summary = "show the state of a proxy in short"
    call = staticmethod(porcelain.status)


@kernel.register("command", "dump")
class Dump(_OperatorCommand):
    """Shows the whole state of a proxy."""

    summary = "show the whole state of a proxy"
    call = staticmethod(porcelain.dump)


@kernel.register("command", "drain")
class Drain(_OperatorCommand):
    """Asks a proxy to shut down gracefully."""

    summary = "ask a proxy to shut down gracefully"
    call = staticmethod(porcelain.drain)


@kernel.register("command", "report")
class Report(cli.Command):
    """Prints the daily report."""

    summary = "print the daily report"

    def add_arguments(self, parser):
        """Add the day, the layout and the source of the figures."""
        source = parser.add_mutually_exclusive_group(required=True)
        source.add_argument("--platform", type=_address, metavar="IP:PORT")
        source.add_argument("--figures", nargs="+", type=pathlib.Path, metavar="FILE")
        parser.add_argument("--day", type=_day, required=True, metavar="YYYY-MM-DD")
        parser.add_argument("--layout", metavar="FILE", help="layout in TOML")
        add_connection_arguments(parser)

    def run(self, options):
        """Print the report; missing figures are shown as gaps."""
        if options.platform is not None:
            peer = porcelain.Peer(
                options.platform, ssl_context_of(options), options.timeout
            )
            days, damaged = porcelain.read_figures(peer, options.day)
        else:
            days, damaged = porcelain.read_figure_files(options.figures)
        style = "json" if options.json else "paged"
        text = porcelain.daily_report(options.day, days, damaged, options.layout, style)
        if options.json:
            cli.print_json(text)
        else:
            sys.stdout.write(text)
        return cli.EXIT_OK


@kernel.register("command", "statement")
class Statement(cli.Command):
    """Sends one statement as a caller."""

    summary = "send one statement as a caller"

    def add_arguments(self, parser):
        """Add the fields of a statement."""
        parser.add_argument("address", type=_address, help="caller port, ip:port")
        parser.add_argument("group")
        parser.add_argument("sql")
        parser.add_argument("params", nargs="*", help="parameters, sent as strings")
        parser.add_argument("--kind", choices=("read", "write"), default="read")
        parser.add_argument(
            "--rank", choices=settings_keys.RANK_NAMES, default="routine"
        )
        parser.add_argument("--caller", default="operator")
        parser.add_argument("--key", help="idempotency key")
        parser.add_argument("--session", help="session token of an earlier answer")
        add_connection_arguments(parser)

    def run(self, options):
        """Print the rows, or the whole answer with ``--json``."""
        body = {
            "kind": options.kind,
            "group": options.group,
            "sql": options.sql,
            "params": options.params,
            "rank": options.rank,
            "timeout_ms": max(1, int(options.timeout * 1000)),
            "key": options.key,
            "session": options.session,
        }
        answer = porcelain.statement(_peer(options), options.caller, body)
        if options.json:
            cli.print_json(answer)
        else:
            print("\t".join(map(str, answer.get("columns", ()))))
            for row in answer.get("rows", ()):
                print("\t".join(map(str, row)))
        return cli.EXIT_OK


@kernel.register("command", "explain")
class Explain(cli.Command):
    """Prints what the logs tell of one request."""

    summary = "print the story of a request from log files"

    def add_arguments(self, parser):
        """Add the request's id and the files."""
        parser.add_argument("request", metavar="ID", help="id of the request")
        parser.add_argument("files", nargs="+", metavar="FILE", help="log files")
        parser.add_argument(
            "--around",
            type=_seconds,
            default=2.0,
            metavar="SECONDS",
            help="how far before and after it to show changes of belief",
        )

    def run(self, options):
        """Print the lines, or report that there is none."""
        texts = []
        for file in options.files:
            text = pathlib.Path(file).read_text(encoding="utf-8", errors="replace")
            texts.extend(text.splitlines())
        lines = request_trace.trace_request(texts, options.request, options.around)
        if not lines:
            raise errors.NotFound(f"no line of request {options.request!r}")
        for line in lines:
            if options.json:
                cli.print_json(attrs.asdict(line))
            else:
                print(line)
        return cli.EXIT_OK
