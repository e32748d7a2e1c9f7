"""The commands of the command line, for operators and callers."""

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


def _parse_address(text):
    if not validation.is_address(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not ip:port")
    return settings.parse_address(text)


def _parse_day(text):
    try:
        return datetime.date.fromisoformat(text).isoformat()
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is not YYYY-MM-DD") from error


def _parse_seconds(text):
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= 3600:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds")
    return seconds


def add_connection_arguments(parser):
    """Add the arguments for the timeout and TLS."""
    argument_group = parser.add_argument_group("connection")
    argument_group.add_argument(
        "--timeout", type=_parse_seconds, default=10.0, metavar="SECONDS"
    )
    argument_group.add_argument(
        "--authority", metavar="FILE", help="PEM file; turns TLS on"
    )
    argument_group.add_argument(
        "--certificate", metavar="FILE", help="PEM file with the key"
    )


def ssl_context_from_options(options):
    """Return the TLS context that the arguments describe; None without TLS.

    Raises
    ------
    errors.InvalidSettings
        When a file cannot be read, or a certificate is given without an authority.
    """
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


def _endpoint_from_options(options):
    return porcelain.Endpoint(
        options.address, ssl_context_from_options(options), options.timeout
    )


class _ConfigurationCommand(cli.Command):
    """Base of commands that read a settings folder and connect to its platform."""

    def add_arguments(self, parser):
        parser.add_argument("folder", help="folder of TOML files")
        add_connection_arguments(parser)

    def platform_endpoint(self, document, options):
        return porcelain.platform_endpoint(
            document, ssl_context_from_options(options), options.timeout
        )


@kernel.register("command", "proxy run")
class ProxyRun(cli.Command):
    """Runs a proxy in the foreground until it is stopped."""

    summary = "run a proxy with the settings in a folder"

    def add_arguments(self, parser):
        """Add the folder argument."""
        parser.add_argument("folder", help="folder of TOML files")

    def run(self, options):
        """Check all settings, then run the proxy."""
        settings.load(options.folder)
        from cassiahill import proxy

        proxy.run(options.folder)
        return cli.EXIT_OK


@kernel.register("command", "config check")
class ConfigCheck(cli.Command):
    """Checks the settings in a folder and lists all findings."""

    summary = "check a folder and list all findings"

    def add_arguments(self, parser):
        """Add the folder argument."""
        parser.add_argument("folder", help="folder of TOML files")

    def run(self, options):
        """Check the folder; raise an error with all findings if there are any."""
        porcelain.read_checked_document(options.folder)
        if options.json:
            cli.print_json({"findings": []})
        else:
            print("no findings")
        return cli.EXIT_OK


@kernel.register("command", "config compare")
class ConfigCompare(_ConfigurationCommand):
    """Shows how a folder differs from the accepted configuration."""

    summary = "show what applying a folder would change, and the base generation"

    def run(self, options):
        """Print the accepted generation and one line for each difference."""
        document = porcelain.read_checked_document(options.folder)
        platform = self.platform_endpoint(document, options)
        current, changes = porcelain.compare_configuration(platform, document)
        if options.json:
            cli.print_json({"base": current.generation, "changes": changes})
        else:
            print(f"base generation {current.generation}")
            print("\n".join(map(str, changes)) or "no changes")
        return cli.EXIT_OK


@kernel.register("command", "config apply")
class ConfigApply(_ConfigurationCommand):
    """Makes the shared tables of a folder the accepted configuration."""

    summary = "make the shared tables of a folder the accepted configuration"

    def add_arguments(self, parser):
        """Add the arguments for the folder, the base generation and the author."""
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
        """Apply the folder and print the accepted generation.

        Raises
        ------
        errors.Conflict
            When another update was accepted first; the text names its changes.
        """
        document = porcelain.read_checked_document(options.folder)
        platform = self.platform_endpoint(document, options)
        accepted = porcelain.apply_configuration(
            platform, document, options.base, options.by
        )
        _print_accepted(accepted, options)
        return cli.EXIT_OK


@kernel.register("command", "config show")
class ConfigShow(_ConfigurationCommand):
    """Shows the accepted configuration."""

    summary = "show the accepted configuration, who made it and what it changed"

    def run(self, options):
        """Print the configuration as TOML, with its author and changes in a comment."""
        # The folder is not checked, so that an operator can show the configuration
        # although local settings are invalid.
        document = settings.read_document(options.folder)
        accepted = porcelain.show_configuration(
            self.platform_endpoint(document, options)
        )
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
    """Base of commands that send one request to an operator port and print the answer.

    ``send_request`` is the function of ``porcelain`` that sends the request.
    """

    send_request = None

    def add_arguments(self, parser):
        parser.add_argument(
            "address", type=_parse_address, help="operator port, ip:port"
        )
        add_connection_arguments(parser)

    def run(self, options):
        answer = type(self).send_request(_endpoint_from_options(options))
        if options.json:
            cli.print_json(answer)
        else:
            print("\n".join(_flattened_lines("", answer)))
        return cli.EXIT_OK


def _flattened_lines(key_path, value):
    """Yield a ``path.to.key = value`` line for each leaf of nested dictionaries."""
    if isinstance(value, dict) and value:
        for key, child_value in value.items():
            yield from _flattened_lines(
                f"{key_path}.{key}" if key_path else str(key), child_value
            )
    else:
        yield f"{key_path} = {value}"


@kernel.register("command", "status")
class Status(_OperatorCommand):
    """Shows a summary of a proxy's state."""

    summary = "show a summary of a proxy's state"
    send_request = staticmethod(porcelain.status)


@kernel.register("command", "dump")
class Dump(_OperatorCommand):
    """Shows the complete state of a proxy."""

    summary = "show the complete state of a proxy"
    send_request = staticmethod(porcelain.dump)


@kernel.register("command", "drain")
class Drain(_OperatorCommand):
    """Asks a proxy to shut down gracefully."""

    summary = "ask a proxy to shut down gracefully"
    send_request = staticmethod(porcelain.drain)


@kernel.register("command", "report")
class Report(cli.Command):
    """Prints the daily report."""

    summary = "print the daily report"

    def add_arguments(self, parser):
        """Add the arguments for the day, the layout and the source of the figures."""
        source_group = parser.add_mutually_exclusive_group(required=True)
        source_group.add_argument("--platform", type=_parse_address, metavar="IP:PORT")
        source_group.add_argument(
            "--figures", nargs="+", type=pathlib.Path, metavar="FILE"
        )
        parser.add_argument(
            "--day", type=_parse_day, required=True, metavar="YYYY-MM-DD"
        )
        parser.add_argument("--layout", metavar="FILE", help="layout in TOML")
        add_connection_arguments(parser)

    def run(self, options):
        """Print the report; missing figures are shown as gaps."""
        if options.platform is not None:
            platform = porcelain.Endpoint(
                options.platform, ssl_context_from_options(options), options.timeout
            )
            proxy_days, damaged = porcelain.read_figures(platform, options.day)
        else:
            proxy_days, damaged = porcelain.read_figure_files(options.figures)
        style = "json" if options.json else "paged"
        report = porcelain.daily_report(
            options.day, proxy_days, damaged, options.layout, style
        )
        if options.json:
            cli.print_json(report)
        else:
            sys.stdout.write(report)
        return cli.EXIT_OK


@kernel.register("command", "statement")
class SendStatement(cli.Command):
    """Sends one statement as a caller."""

    summary = "send one statement as a caller"

    def add_arguments(self, parser):
        """Add the arguments for the fields of the request."""
        parser.add_argument("address", type=_parse_address, help="caller port, ip:port")
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
        """Print the rows, separated by tabs, or the complete answer with ``--json``."""
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
        answer = porcelain.send_statement(
            _endpoint_from_options(options), options.caller, body
        )
        if options.json:
            cli.print_json(answer)
        else:
            print("\t".join(map(str, answer.get("columns", ()))))
            for row in answer.get("rows", ()):
                print("\t".join(map(str, row)))
        return cli.EXIT_OK


@kernel.register("command", "explain")
class Explain(cli.Command):
    """Prints the lines of log files that explain what happened to one request."""

    summary = "print the lines of log files that concern a request"

    def add_arguments(self, parser):
        """Add the arguments for the request's id and the log files."""
        parser.add_argument("request", metavar="ID", help="id of the request")
        parser.add_argument("files", nargs="+", metavar="FILE", help="log files")
        parser.add_argument(
            "--around",
            type=_parse_seconds,
            default=2.0,
            metavar="SECONDS",
            help="time before and after it for which state changes are shown",
        )

    def run(self, options):
        """Print the log lines that explain the request.

        Raises
        ------
        errors.NotFound
            When no line mentions the request.
        """
        raw_lines = []
        for path in options.files:
            content = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
            raw_lines.extend(content.splitlines())
        log_lines = request_trace.trace_request(
            raw_lines, options.request, options.around
        )
        if not log_lines:
            raise errors.NotFound(f"no line of request {options.request!r}")
        for log_line in log_lines:
            if options.json:
                cli.print_json(attrs.asdict(log_line))
            else:
                print(log_line)
        return cli.EXIT_OK
